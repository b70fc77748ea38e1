//! Runs the soak test with selected seeds.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::{Failure, steps};

/// Seeds to run.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SeedSelection {
    /// A single seed.
    pub(crate) seed: Option<u64>,
    /// Number of seeds, starting at 0.
    pub(crate) count: Option<u64>,
    /// Minutes for variable to run new seeds.
    pub(crate) minutes: Option<u64>,
}

/// Upper bound of new seeds, so that they fit in the request ids.
const MAX_SEED: u64 = 1_000_000;

/// Runs the selected seeds, or the default seeds of the test if none are selected.
pub(crate) fn run(selection: SeedSelection) -> Result<(), Failure> {
    steps::build()?;
    let Some(minutes) = selection.minutes else {
        let seed = selection.seed.map(|s| ("SOAK_SEED", s));
        return run_test(seed.or(selection.count.map(|s| ("SOAK_SEEDS", s))));
    };
    let until = Instant::now() + Duration::from_secs(minutes.saturating_mul(60));
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let first = since_epoch.as_secs() % MAX_SEED;
    for seed in (first..).take_while(|_| Instant::now() < until) {
        run_test(Some(("SOAK_SEED", seed % MAX_SEED)))?;
    }
    Ok(())
}

fn run_test(variable: Option<(&str, u64)>) -> Result<(), Failure> {
    let args = [
        "test",
        "--locked",
        "--package",
        "platform",
        "--test",
        "fleet",
    ];
    let only = ["--", "soak", "--nocapture"];
    let mut command = steps::cargo(&[&args[..], &only[..]].concat());
    if let Some((name, value)) = variable {
        println!("== soak {name}={value}");
        command.env(name, value.to_string());
    }
    match command.status() {
        Ok(status) if status.success() => Ok(()),
        Ok(status) => Err(format!("the soak failed with {variable:?}: {status}")),
        Err(e) => Err(format!("soak: {e}")),
    }
}
