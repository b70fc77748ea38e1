//! Workers that have crashed while the platform still lists them.

#[path = "support/holder.rs"]
mod holder;

use control::FleetEvent;
use holder::{Holder, id, model, state};
use orders::SequencedOutcome;
use types::Incarnation;

/// Time within which the controller must react to a crash that callers' requests show, in milliseconds.
const REACTION_MS: u64 = 600;

fn crash(holder: &mut Holder, worker: &str, incarnation: u64) {
    holder.step(FleetEvent::Crashed {
        worker: id(worker),
        incarnation: Incarnation::new(incarnation),
    });
}

/// Guards against callers who wait for a model whose only worker has crashed until its entry expires.
#[test]
fn the_copies_of_a_crashed_worker_are_replaced_before_its_entry_expires() {
    let mut holder = Holder::new();
    holder.silent.push(id("w1"));

    crash(&mut holder, "w1", 1);
    holder.request("m1");
    holder.advance(REACTION_MS);

    let replaced = (id("w2"), model("m1"));
    assert!(holder.loads.contains(&replaced), "{:?}", holder.loads);
    assert_eq!(holder.loads_at("w1"), 0);
}

/// Guards against loads that follow a crash which only some hosts see, as their network resets connections.
#[test]
fn the_copies_of_a_worker_that_reports_are_not_replaced() {
    let mut holder = Holder::new();

    crash(&mut holder, "w1", 1);
    holder.request("m1");
    holder.advance(REACTION_MS);

    assert!(holder.loads.is_empty(), "{:?}", holder.loads);
    assert_eq!(holder.replies, [vec![id("w1")]]);
}

/// Guards against a worker that stays unused after a network was cut between it and the controller.
#[test]
fn a_worker_that_reports_again_is_used_again() {
    let mut holder = Holder::new();
    holder.silent.push(id("w1"));
    crash(&mut holder, "w1", 1);
    holder.advance(3_000);

    holder.silent.clear();
    holder.advance(1_500);
    holder.forget();
    holder.request("m1");

    assert_eq!(holder.replies, [vec![id("w1")]]);
}

/// Guards against a late notice of a crash that concerns the next process of a worker.
#[test]
fn a_crash_of_an_earlier_incarnation_has_no_effect() {
    let mut holder = Holder::new();
    holder.register(&[("w1", state(2, &["m1"])), ("w2", state(1, &["m2"]))]);
    holder.advance(500);
    holder.forget();

    crash(&mut holder, "w1", 1);
    holder.advance(100);

    assert!(holder.calls.is_empty(), "{:?}", holder.calls);
}

/// Guards against copies that are replaced because the network of the controller is cut: on the large deployment it
/// loaded what it could not reach on the workers that it could, in place of what these held.
#[test]
fn the_copies_of_workers_that_only_the_controller_cannot_reach_are_not_replaced() {
    let mut holder = Holder::new();
    holder.silent.push(id("w1"));

    holder.advance(10_000);
    holder.request("m1");
    holder.advance(REACTION_MS);

    assert!(holder.loads.is_empty(), "{:?}", holder.loads);
}

/// Guards against a worker that gets no orders because its time of day was set back before it restarted.
#[test]
fn a_worker_that_restarts_with_an_earlier_birth_gets_orders() {
    let mut holder = Holder::new();
    holder.register(&[("w1", state(9, &["m1"])), ("w2", state(9, &["m2"]))]);
    holder.advance(500);
    holder.silent.push(id("w1"));
    crash(&mut holder, "w1", 9);
    holder.advance(500);

    holder.silent.clear();
    holder.register(&[("w1", state(5, &[]))]);
    holder.forget();
    holder.request("m1");
    holder.advance(REACTION_MS);

    let loaded = (id("w1"), model("m1"));
    assert!(holder.loads.contains(&loaded), "{:?}", holder.loads);
}

/// Guards against the late outcome of an order to the former process of a worker that counts for the next one.
#[test]
fn an_order_to_a_former_process_does_not_count_for_one_with_an_earlier_birth() {
    let mut holder = Holder::new();
    holder.register(&[("w1", state(9, &[])), ("w2", state(9, &["m2"]))]);
    holder.outcome = SequencedOutcome::Lost;
    holder.advance(500);
    holder.request("m1");
    holder.advance(300);
    let (worker, _) = holder.loads.first().cloned().expect("an order");

    holder.register(&[("w1", state(5, &[])), ("w2", state(5, &["m2"]))]);
    holder.step(FleetEvent::OrderResult {
        worker,
        expect: 0,
        outcome: SequencedOutcome::Holds,
    });

    assert!(holder.replies.is_empty(), "{:?}", holder.replies);
}

/// Guards against as many calls to a worker as hosts report its crash.
#[test]
fn a_crash_that_many_hosts_report_leads_to_few_calls() {
    const HOSTS: usize = 195;
    let mut holder = Holder::new();

    for _ in 0..HOSTS {
        crash(&mut holder, "w1", 1);
    }

    let calls = holder.calls.iter().filter(|w| **w == id("w1")).count();
    assert_eq!(calls, 1);
}
