//! Runs all tests, with each known failure in a run of its own.

use std::{
    io::{BufRead, BufReader},
    process::Stdio,
};

use serde_json::Value;

use crate::{
    Failure,
    known_red::{self, KnownFailure},
    steps,
};

/// Output of the test runs.
#[derive(Debug, Default)]
struct TestRun {
    summaries: Vec<String>,
    failed: Vec<String>,
}

/// Runs every test of the workspace.
pub(crate) fn run() -> Result<(), Failure> {
    let mut known_failures = known_red::read()?;
    // Goals of the policy bench are checked by `bench --check`, not by cargo test.
    known_failures.retain(|entry| entry.package != "bench");
    // The integration tests start the stand-ins and celerytally as processes.
    steps::build()?;
    let mut all = TestRun::default();
    for args in test_commands(&known_failures)? {
        all.run(&args)?;
    }
    println!("== test results");
    all.summaries.iter().for_each(|line| println!("{line}"));
    let mut errors = all.failed;
    for entry in &known_failures {
        println!("known red: {}", entry.line);
        errors.extend(check_known_failure(entry)?);
    }
    println!("{}", total(&all.summaries));
    if errors.is_empty() {
        return Ok(());
    }
    Err(errors.join("\n       "))
}

/// Returns the arguments of each run. Together the runs cover every test that is not listed in
/// `KNOWN-RED.txt`.
fn test_commands(known_failures: &[KnownFailure]) -> Result<Vec<Vec<String>>, Failure> {
    let mut packages: Vec<&str> = known_failures
        .iter()
        .map(|entry| entry.package.as_str())
        .collect();
    packages.sort_unstable();
    packages.dedup();
    let mut all = vec![to_strings(&["--workspace"])];
    for package in &packages {
        all[0].extend(to_strings(&["--exclude", package]));
    }
    for package in packages {
        all.push(to_strings(&["--package", package, "--lib", "--bins"]));
        all.push(to_strings(&["--package", package, "--doc"]));
        for target in test_targets(package)? {
            let mut args = to_strings(&["--package", package, "--test", &target]);
            let skipped = known_failures
                .iter()
                .filter(|e| e.package == package && e.target == target);
            let skipped: Vec<&str> = skipped.map(|entry| entry.test.as_str()).collect();
            if !skipped.is_empty() {
                args.extend(to_strings(&["--", "--exact"]));
            }
            for test in skipped {
                args.extend(to_strings(&["--skip", test]));
            }
            all.push(args);
        }
    }
    Ok(all)
}

fn to_strings(args: &[&str]) -> Vec<String> {
    args.iter().map(ToString::to_string).collect()
}

/// Returns the names of the integration test targets of a package.
fn test_targets(package: &str) -> Result<Vec<String>, Failure> {
    let args = ["metadata", "--locked", "--no-deps", "--format-version", "1"];
    let output = steps::cargo(&args).output().map_err(|e| e.to_string())?;
    let metadata: Value = serde_json::from_slice(&output.stdout).map_err(|e| e.to_string())?;
    let packages = metadata["packages"].as_array().into_iter().flatten();
    let package = packages.filter(|p| p["name"] == package);
    let targets = package.filter_map(|p| p["targets"].as_array()).flatten();
    let tests = targets.filter(|t| t["kind"][0] == "test");
    Ok(tests
        .filter_map(|t| t["name"].as_str().map(ToOwned::to_owned))
        .collect())
}

impl TestRun {
    fn run(&mut self, args: &[String]) -> Result<(), Failure> {
        let mut full = vec!["test", "--locked", "--no-fail-fast"];
        full.extend(args.iter().map(String::as_str));
        println!("== cargo {}", full.join(" "));
        let mut child = steps::cargo(&full)
            .stdout(Stdio::piped())
            .spawn()
            .map_err(|e| format!("cargo test: {e}"))?;
        for line in BufReader::new(child.stdout.take().expect("a piped output")).lines() {
            let line = line.map_err(|e| e.to_string())?;
            println!("{line}");
            if line.starts_with("test result:") {
                self.summaries.push(line);
            }
        }
        let status = child.wait().map_err(|e| e.to_string())?;
        if !status.success() {
            self.failed
                .push(format!("failed: cargo {}", full.join(" ")));
        }
        Ok(())
    }
}

/// Runs a known failure alone and returns an error if the test passes or does not exist.
fn check_known_failure(entry: &KnownFailure) -> Result<Option<Failure>, Failure> {
    let args = [
        "test",
        "--locked",
        "--package",
        &entry.package,
        "--test",
        &entry.target,
        "--",
        "--exact",
        &entry.test,
    ];
    let output = steps::cargo(&args).output().map_err(|e| e.to_string())?;
    let text = String::from_utf8_lossy(&output.stdout);
    Ok(if !text.contains("running 1 test") {
        Some(format!(
            "KNOWN-RED.txt names a test that does not exist: {}",
            entry.test
        ))
    } else if output.status.success() {
        Some(format!(
            "{} passes: remove it from KNOWN-RED.txt",
            entry.test
        ))
    } else {
        None
    })
}

/// Adds up the counts of the result lines.
fn total(summaries: &[String]) -> String {
    let count = |label: &str| -> u64 {
        let words = summaries
            .iter()
            .map(|line| line.split([' ', ';', '.']).collect::<Vec<_>>());
        words
            .filter_map(|words| {
                let at = words.iter().position(|w| *w == label)?;
                words.get(at.checked_sub(1)?)?.parse::<u64>().ok()
            })
            .sum()
    };
    let (passed, failed, ignored) = (count("passed"), count("failed"), count("ignored"));
    format!("total: {passed} passed, {failed} failed, {ignored} ignored")
}
