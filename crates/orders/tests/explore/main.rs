//! Randomized simulation of lease and orders under message delay, loss and duplication, suspended
//! and crashed hosts, engine restarts and platform outages.
//!
//! Guards against overcommitted memory, two lease holders at once, decreasing epochs and copies
//! that count as ready while they are being unloaded. Each safety mechanism is also disabled to
//! show that the simulation finds the failure that the mechanism prevents.

mod check;
mod engine;
mod environment;
mod host;
mod world;

use std::{thread, time::Instant};

use host::Scenario;
use world::{S, World};

/// Schedules of each exploration; `EXPLORE_SCHEDULES` overrides the number for long runs.
const SCHEDULES: u64 = 60_000;
const THREADS: u32 = 4;
/// Duration of the period with faults, in microseconds of virtual time.
const FAULT_PERIOD: u64 = 30 * S;
/// Duration of the period without faults, in microseconds of virtual time.
const FAULT_FREE_PERIOD: u64 = 30 * S;

/// One schedule in this many continues without faults, to check that pending orders are closed.
const PROGRESS_EVERY: u64 = 8;

#[derive(Debug, Default)]
struct Summary {
    schedules: u64,
    terms: u64,
    closed: u64,
    violation: Option<(Scenario, String)>,
}

fn explore(seeds: impl Iterator<Item = u64>, scenario: Scenario) -> Summary {
    let mut summary = Summary::default();
    for seed in seeds {
        let scenario = Scenario { seed, ..scenario };
        let mut world = World::new(scenario);
        let fault_free_period = if seed.is_multiple_of(PROGRESS_EVERY) {
            FAULT_FREE_PERIOD
        } else {
            0
        };
        world.run(FAULT_PERIOD, fault_free_period);
        summary.schedules += 1;
        summary.terms += world.terms;
        summary.closed += world.closed;
        if let Some(violation) = world.violation {
            summary.violation = Some((scenario, violation));
            break;
        }
    }
    summary
}

fn schedules() -> u64 {
    let set = std::env::var("EXPLORE_SCHEDULES").ok();
    set.and_then(|n| n.parse().ok()).unwrap_or(SCHEDULES)
}

fn explore_all(scenario: Scenario) {
    let (started, count) = (Instant::now(), schedules());
    let workers: Vec<_> = (0..THREADS)
        .map(|t| {
            thread::spawn(move || {
                explore(
                    (0..count).filter(move |s| s % u64::from(THREADS) == u64::from(t)),
                    scenario,
                )
            })
        })
        .collect();
    let mut total = Summary::default();
    for worker in workers {
        let summary = worker.join().unwrap();
        total.schedules += summary.schedules;
        total.terms += summary.terms;
        total.closed += summary.closed;
        total.violation = total.violation.or(summary.violation);
    }
    println!(
        "explored {} schedules (seeds 0..{}), fences={}: {} terms, {} orders closed, {:.1?}",
        total.schedules,
        count,
        scenario.fences,
        total.terms,
        total.closed,
        started.elapsed()
    );
    assert_eq!(total.violation.map(|(s, v)| (s.seed, v)), None);
}

/// Returns the seed and text of the first violation, which the disabled mechanism would prevent.
fn find(scenario: Scenario) -> (u64, String) {
    let summary = explore(0..SCHEDULES, scenario);
    let (found, violation) = summary
        .violation
        .expect("the exploration finds no violation");
    println!("found after {} schedules: {violation}", summary.schedules);
    (found.seed, violation)
}

#[test]
fn engines_that_ignore_the_token_are_never_overcommitted() {
    explore_all(Scenario::default());
}

#[test]
fn engines_that_enforce_the_token_are_never_overcommitted() {
    explore_all(Scenario {
        fences: true,
        ..Scenario::default()
    });
}

#[test]
fn without_raising_epochs_first_a_former_holder_still_records_orders() {
    let mut scenario = Scenario::default();
    scenario.orders.raise_epoch_first = false;
    let (_, violation) = find(scenario);
    assert!(violation.contains("wrote the record"), "{violation}");
}

#[test]
fn without_recording_first_unreserved_memory_is_in_use() {
    let mut scenario = Scenario::default();
    scenario.orders.record_before_send = false;
    let (_, violation) = find(scenario);
    assert!(violation.contains("in use"), "{violation}");
}

#[test]
fn without_awaiting_former_senders_an_order_arrives_late() {
    let mut scenario = Scenario::default();
    scenario.orders.await_former_senders = false;
    let (_, violation) = find(scenario);
    assert!(
        violation.contains("in use") || violation.contains("counted"),
        "{violation}"
    );
}

#[test]
fn without_a_margin_two_hosts_have_authority() {
    let mut scenario = Scenario::default();
    scenario.lease.expiry_margin = false;
    let (_, violation) = find(scenario);
    assert!(violation.contains("two hosts"), "{violation}");
}

#[test]
fn without_waiting_the_whole_duration_two_hosts_have_authority() {
    let mut scenario = Scenario::default();
    scenario.lease.wait_full_duration = false;
    let (_, violation) = find(scenario);
    assert!(violation.contains("two hosts"), "{violation}");
}
