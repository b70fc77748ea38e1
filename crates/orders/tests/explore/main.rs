//! Explores lease and orders under delay, loss, duplication, freeze, crash and outage.
//!
//! Guards against overcommitted memory, two holders at once, falling epochs and copies that are
//! counted while they are being unloaded. Each mechanism is also switched off to show that the
//! exploration finds the fault that the mechanism prevents.

mod check;
mod engine;
mod host;
mod surroundings;
mod world;

use std::{thread, time::Instant};

use host::Setup;
use world::{S, World};

/// Schedules of each exploration; `EXPLORE_SCHEDULES` sets another number for a long run.
const SCHEDULES: u64 = 60_000;
const THREADS: u32 = 4;
const FAULTY: u64 = 30 * S;
const CALM: u64 = 30 * S;

/// One schedule in this many also runs on without faults, to check that open orders are closed.
const PROGRESS_EVERY: u64 = 8;

#[derive(Debug, Default)]
struct Tally {
    schedules: u64,
    terms: u64,
    closed: u64,
    violation: Option<(Setup, String)>,
}

fn explore(seeds: impl Iterator<Item = u64>, setup: Setup) -> Tally {
    let mut tally = Tally::default();
    for seed in seeds {
        let setup = Setup { seed, ..setup };
        let mut world = World::new(setup);
        let calm = if seed.is_multiple_of(PROGRESS_EVERY) {
            CALM
        } else {
            0
        };
        world.run(FAULTY, calm);
        tally.schedules += 1;
        tally.terms += world.terms;
        tally.closed += world.closed;
        if let Some(violation) = world.violation {
            tally.violation = Some((setup, violation));
            break;
        }
    }
    tally
}

fn schedules() -> u64 {
    let set = std::env::var("EXPLORE_SCHEDULES").ok();
    set.and_then(|n| n.parse().ok()).unwrap_or(SCHEDULES)
}

fn explore_all(setup: Setup) {
    let (started, count) = (Instant::now(), schedules());
    let workers: Vec<_> = (0..THREADS)
        .map(|t| {
            thread::spawn(move || {
                explore(
                    (0..count).filter(move |s| s % u64::from(THREADS) == u64::from(t)),
                    setup,
                )
            })
        })
        .collect();
    let mut sum = Tally::default();
    for worker in workers {
        let tally = worker.join().unwrap();
        sum.schedules += tally.schedules;
        sum.terms += tally.terms;
        sum.closed += tally.closed;
        sum.violation = sum.violation.or(tally.violation);
    }
    println!(
        "explored {} schedules (seeds 0..{}), fences={}: {} terms, {} orders closed, {:.1?}",
        sum.schedules,
        count,
        setup.fences,
        sum.terms,
        sum.closed,
        started.elapsed()
    );
    assert_eq!(sum.violation.map(|(s, v)| (s.seed, v)), None);
}

/// Returns the first violation that a switched-off mechanism leads to.
fn find(setup: Setup) -> (u64, String) {
    let tally = explore(0..SCHEDULES, setup);
    let (found, violation) = tally.violation.expect("the exploration finds no violation");
    println!("found after {} schedules: {violation}", tally.schedules);
    (found.seed, violation)
}

#[test]
fn engines_that_ignore_the_token_are_never_overcommitted() {
    explore_all(Setup::default());
}

#[test]
fn engines_that_enforce_the_token_are_never_overcommitted() {
    explore_all(Setup {
        fences: true,
        ..Setup::default()
    });
}

#[test]
fn without_raising_epochs_first_a_former_holder_still_records_orders() {
    let mut setup = Setup::default();
    setup.orders.raise_epoch_first = false;
    let (_, violation) = find(setup);
    assert!(violation.contains("wrote the record"), "{violation}");
}

#[test]
fn without_recording_first_memory_is_in_use_that_nobody_reserved() {
    let mut setup = Setup::default();
    setup.orders.record_before_send = false;
    let (_, violation) = find(setup);
    assert!(violation.contains("in use"), "{violation}");
}

#[test]
fn without_awaiting_proof_a_former_holders_order_arrives_late() {
    let mut setup = Setup::default();
    setup.orders.await_former_senders = false;
    let (_, violation) = find(setup);
    assert!(
        violation.contains("in use") || violation.contains("counted"),
        "{violation}"
    );
}

#[test]
fn without_a_margin_two_hosts_have_authority() {
    let mut setup = Setup::default();
    setup.lease.expiry_margin = false;
    let (_, violation) = find(setup);
    assert!(violation.contains("two hosts"), "{violation}");
}

#[test]
fn without_waiting_the_whole_duration_two_hosts_have_authority() {
    let mut setup = Setup::default();
    setup.lease.wait_full_duration = false;
    let (_, violation) = find(setup);
    assert!(violation.contains("two hosts"), "{violation}");
}
