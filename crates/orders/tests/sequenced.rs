//! Orders to a worker that checks the number of orders before.

use orders::{OrderSpec, SequencedOutcome, SequencedWorker};
use types::{Bytes, HeldModel, Incarnation, Instant, OrderOp, WorkerState};

const GIB: u64 = 1 << 30;

fn state(life: u64, orders: u64, models: &[(&str, &[&str])]) -> WorkerState {
    let held = |(id, adapters): &(&str, &[&str])| HeldModel {
        id: id.parse().expect("a name"),
        adapters: adapters
            .iter()
            .map(|a| a.parse().expect("a name"))
            .collect(),
    };
    WorkerState {
        incarnation: Incarnation::new(life),
        orders,
        models: models.iter().map(held).collect(),
        ..WorkerState::default()
    }
}

fn task(op: OrderOp, model: &str, adapter: Option<&str>) -> OrderSpec {
    OrderSpec {
        op,
        model: model.parse().expect("a name"),
        adapter: adapter.map(|a| a.parse().expect("a name")),
    }
}

fn reported(life: u64, orders: u64, models: &[(&str, &[&str])]) -> SequencedWorker {
    let mut ledger = SequencedWorker::default();
    ledger.apply_report(state(life, orders, models));
    ledger
}

const fn at(millis: u64) -> Instant {
    Instant::from_micros(millis * 1_000)
}

/// Guards against overcommitted memory while it is unknown whether a load was accepted.
#[test]
fn a_load_without_an_answer_is_repeated_unchanged_and_keeps_its_memory() {
    let mut ledger = reported(1, 7, &[("m1", &[])]);
    let load = task(OrderOp::Load, "m2", None);
    let expect = ledger.begin_send(at(0), load.clone());

    ledger.finish_send(expect, SequencedOutcome::Lost);
    ledger.apply_report(state(1, 7, &[("m1", &[])]));

    assert_eq!(ledger.reserved(|_| Bytes::new(GIB)), Bytes::new(2 * GIB));
    assert!(!ledger.may_order_model());
    assert_eq!(ledger.take_resend(at(100)), None);
    assert_eq!(ledger.take_resend(at(500)), Some((load, 7)));
}

/// Guards against taking a late report for news, which would order the same load again.
#[test]
fn a_report_from_before_an_accepted_order_says_nothing() {
    let mut ledger = reported(1, 0, &[]);
    let expect = ledger.begin_send(at(0), task(OrderOp::Load, "m1", None));
    ledger.finish_send(expect, SequencedOutcome::Accepted);

    ledger.apply_report(state(1, 0, &[]));

    assert!(!ledger.may_order_model());
    ledger.apply_report(state(1, 1, &[("m1", &[])]));
    assert!(ledger.may_order_model());
}

/// Guards against a storm of refused orders behind the unload of an adapter in use.
#[test]
fn the_unload_of_an_adapter_in_use_holds_up_other_orders_until_it_is_done() {
    let mut ledger = reported(1, 3, &[("m1", &["m1:a1"])]);
    let expect = ledger.begin_send(at(0), task(OrderOp::UnloadAdapter, "m1", Some("m1:a1")));

    let done = ledger.finish_send(expect, SequencedOutcome::Accepted);

    assert_eq!(done, None);
    assert!(!ledger.may_order_adapter());
    ledger.apply_report(state(1, 4, &[("m1", &[])]));
    assert!(ledger.may_order_adapter());
}

/// Guards against a number of orders that was counted too high, after which no report would count.
#[test]
fn a_conflict_makes_the_next_report_count_whatever_it_says() {
    let mut ledger = reported(1, 5, &[("m1", &["m1:a1"])]);
    let unload = task(OrderOp::UnloadAdapter, "m1", Some("m1:a1"));
    let expect = ledger.begin_send(at(0), unload);
    ledger.finish_send(expect, SequencedOutcome::Holds);
    let expect = ledger.begin_send(at(1), task(OrderOp::LoadAdapter, "m1", Some("m1:a2")));
    ledger.finish_send(expect, SequencedOutcome::Conflict);

    ledger.apply_report(state(1, 5, &[("m1", &["m1:a1"])]));

    assert_eq!(ledger.state().orders, 5);
    assert!(ledger.may_order_adapter());
}

/// Guards against counting on what a worker held before it restarted.
#[test]
fn a_new_life_forgets_orders_and_copies() {
    let mut ledger = reported(1, 9, &[("m1", &[])]);
    ledger.begin_send(at(0), task(OrderOp::Load, "m2", None));

    ledger.apply_registration(state(2, 0, &[]));

    assert!(ledger.state().models.is_empty());
    assert!(!ledger.may_order_model());
    ledger.apply_report(state(2, 0, &[]));
    assert!(ledger.may_order_model());
}

/// Guards against a registration, which does not tell the orders, that undoes what is known.
#[test]
fn within_a_life_reports_go_before_registrations() {
    let mut ledger = reported(1, 2, &[("m1", &[]), ("m2", &[])]);

    ledger.apply_registration(state(1, 0, &[("m1", &[])]));

    assert_eq!(ledger.state().models.len(), 2);
    assert_eq!(ledger.state().orders, 2);
}
