//! Model checking of the claims of one key under retries, reordered responses, crashes and outages.
//!
//! Guards against a request that runs twice and against a "not run" reply for a request that ran.
//! Each safeguard is also disabled once, to show that the exploration then finds a second run.

mod simulation;

use claim::Checks;
use simulation::{Bounds, ChoiceSource, Simulation};

const RANDOM_SCHEDULES: u64 = 200_000;

/// Enumerates all sequences of choices in lexicographic order.
#[derive(Debug, Default)]
struct ExhaustiveChoices {
    /// Choice and number of alternatives of each step.
    choices: Vec<(usize, usize)>,
    position: usize,
}

impl ExhaustiveChoices {
    /// Advances to the next sequence; returns false after the last one.
    fn advance(&mut self) -> bool {
        self.position = 0;
        while let Some((choice, n)) = self.choices.pop() {
            if choice + 1 < n {
                self.choices.push((choice + 1, n));
                return true;
            }
        }
        false
    }
}

impl ChoiceSource for ExhaustiveChoices {
    fn choose(&mut self, n: usize) -> usize {
        if self.position == self.choices.len() {
            self.choices.push((0, n));
        }
        self.position += 1;
        self.choices[self.position - 1].0
    }
}

/// Pseudorandom choices from a seeded `SplitMix64` generator.
struct RandomChoices(u64);

impl ChoiceSource for RandomChoices {
    fn choose(&mut self, n: usize) -> usize {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        usize::try_from((z ^ (z >> 31)) % n as u64).unwrap()
    }
}

/// Runs all schedules within the bounds, up to the first violation.
///
/// Returns the number of schedules that ran and the violation.
fn run_all_schedules(bounds: Bounds, checks: Checks) -> (u64, Option<String>) {
    let mut choices = ExhaustiveChoices::default();
    let mut schedules = 0;
    loop {
        let mut simulation = Simulation::new(bounds, checks);
        simulation.run(&mut choices);
        schedules += 1;
        if simulation.violation.is_some() || !choices.advance() {
            return (schedules, simulation.violation);
        }
    }
}

const SMALL_BOUNDS: Bounds = Bounds {
    attempts: 2,
    faults: 2,
    ticks: 1,
};

#[test]
fn all_schedules_of_two_attempts_with_few_faults_run_at_most_once() {
    let (schedules, violation) = run_all_schedules(SMALL_BOUNDS, Checks::default());
    println!("explored all {schedules} schedules of {SMALL_BOUNDS:?}");
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
        let mut simulation = Simulation::new(bounds, Checks::default());
        simulation.run(&mut RandomChoices(seed));
        ran += simulation.runs();
        assert_eq!(simulation.violation, None, "seed {seed}");
    }
    println!(
        "explored {RANDOM_SCHEDULES} schedules (seeds 0..{RANDOM_SCHEDULES}) of {bounds:?}: {ran} ran"
    );
}

#[test]
fn without_the_read_after_a_lost_response_a_request_runs_twice() {
    let checks = Checks {
        read_back: false,
        ..Checks::default()
    };
    let (schedules, violation) = run_all_schedules(SMALL_BOUNDS, checks);
    println!("found after {schedules} schedules");
    assert_eq!(violation.as_deref(), Some("the request ran twice"));
}

#[test]
fn without_claiming_first_a_request_runs_twice() {
    let checks = Checks {
        claim_first: false,
        ..Checks::default()
    };
    let (schedules, violation) = run_all_schedules(SMALL_BOUNDS, checks);
    println!("found after {schedules} schedules");
    assert_eq!(violation.as_deref(), Some("the request ran twice"));
}
