//! Explores claims of one key under resends, crossing answers, death and outage at each step.
//!
//! Guards against a request that runs twice and against a "not run" reply that is not true. Each
//! mechanism is also switched off to show that the exploration finds the second run.

mod world;

use claim::Checks;
use world::{Bounds, Choose, World};

const RANDOM_SCHEDULES: u64 = 200_000;

/// Enumerates all sequences of choices, the last one varying fastest.
#[derive(Debug, Default)]
struct Odometer {
    /// Choice and number of alternatives at each step.
    path: Vec<(usize, usize)>,
    at: usize,
}

impl Odometer {
    /// Moves on to the next sequence; false when all were seen.
    fn advance(&mut self) -> bool {
        self.at = 0;
        while let Some((choice, n)) = self.path.pop() {
            if choice + 1 < n {
                self.path.push((choice + 1, n));
                return true;
            }
        }
        false
    }
}

impl Choose for Odometer {
    fn choose(&mut self, n: usize) -> usize {
        if self.at == self.path.len() {
            self.path.push((0, n));
        }
        self.at += 1;
        self.path[self.at - 1].0
    }
}

/// Draws choices from a generator with a fixed sequence for each seed (`SplitMix64`).
struct Random(u64);

impl Choose for Random {
    fn choose(&mut self, n: usize) -> usize {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        usize::try_from((z ^ (z >> 31)) % n as u64).unwrap()
    }
}

/// Runs every schedule within bounds; returns their number and the first violation.
fn exhaust(bounds: Bounds, checks: Checks) -> (u64, Option<String>) {
    let mut choices = Odometer::default();
    let mut schedules = 0;
    loop {
        let mut world = World::new(bounds, checks);
        world.run(&mut choices);
        schedules += 1;
        if world.violation.is_some() || !choices.advance() {
            return (schedules, world.violation);
        }
    }
}

const SMALL: Bounds = Bounds {
    attempts: 2,
    faults: 2,
    ticks: 1,
};

#[test]
fn all_schedules_of_two_attempts_with_few_faults_run_at_most_once() {
    let (schedules, violation) = exhaust(SMALL, Checks::default());
    println!("explored all {schedules} schedules of {SMALL:?}");
    assert_eq!(violation, None);
}

#[test]
fn random_schedules_of_many_attempts_run_at_most_once() {
    let bounds = Bounds {
        attempts: 4,
        faults: 8,
        ticks: 4,
    };
    let mut ran = 0;
    for seed in 0..RANDOM_SCHEDULES {
        let mut world = World::new(bounds, Checks::default());
        world.run(&mut Random(seed));
        ran += world.runs();
        assert_eq!(world.violation, None, "seed {seed}");
    }
    println!(
        "explored {RANDOM_SCHEDULES} schedules (seeds 0..{RANDOM_SCHEDULES}) of {bounds:?}: {ran} ran"
    );
}

#[test]
fn without_reading_back_a_request_runs_twice() {
    let checks = Checks {
        read_back: false,
        ..Checks::default()
    };
    let (schedules, violation) = exhaust(SMALL, checks);
    println!("found after {schedules} schedules");
    assert_eq!(violation.as_deref(), Some("the request ran twice"));
}

#[test]
fn without_claiming_first_a_request_runs_twice() {
    let checks = Checks {
        claim_first: false,
        ..Checks::default()
    };
    let (schedules, violation) = exhaust(SMALL, checks);
    println!("found after {schedules} schedules");
    assert_eq!(violation.as_deref(), Some("the request ran twice"));
}
