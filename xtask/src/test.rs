//! Runs every test but the known failures, and these one by one.

use std::{
    io::{BufRead, BufReader},
    process::Stdio,
};

use serde_json::Value;

use crate::{
    Failure,
    known_red::{self, Entry},
    steps,
};

/// What the test runner said.
#[derive(Debug, Default)]
struct Outcome {
    closing: Vec<String>,
    failed: Vec<String>,
}

/// Runs every test of the workspace.
pub(crate) fn run() -> Result<(), Failure> {
    let mut red = known_red::read()?;
    // Goals of the policy bench are no tests; `bench --check` reads and prints their entries.
    red.retain(|entry| entry.package != "bench");
    // The integration tests start the stand-ins and the program.
    steps::build()?;
    let mut all = Outcome::default();
    for args in commands(&red)? {
        all.run(&args)?;
    }
    println!("== closing lines of the test runner");
    all.closing.iter().for_each(|line| println!("{line}"));
    let mut faults = all.failed;
    for entry in &red {
        println!("known red: {}", entry.line);
        faults.extend(recheck(entry)?);
    }
    println!("{}", sum(&all.closing));
    if faults.is_empty() {
        return Ok(());
    }
    Err(faults.join("\n       "))
}

/// Returns the arguments of each run, which together cover every test that is not known red.
fn commands(red: &[Entry]) -> Result<Vec<Vec<String>>, Failure> {
    let mut packages: Vec<&str> = red.iter().map(|entry| entry.package.as_str()).collect();
    packages.sort_unstable();
    packages.dedup();
    let mut all = vec![strings(&["--workspace"])];
    for package in &packages {
        all[0].extend(strings(&["--exclude", package]));
    }
    for package in packages {
        all.push(strings(&["--package", package, "--lib", "--bins"]));
        all.push(strings(&["--package", package, "--doc"]));
        for target in test_targets(package)? {
            let mut args = strings(&["--package", package, "--test", &target]);
            let skipped = red
                .iter()
                .filter(|e| e.package == package && e.target == target);
            let skipped: Vec<&str> = skipped.map(|entry| entry.test.as_str()).collect();
            if !skipped.is_empty() {
                args.extend(strings(&["--", "--exact"]));
            }
            for test in skipped {
                args.extend(strings(&["--skip", test]));
            }
            all.push(args);
        }
    }
    Ok(all)
}

fn strings(args: &[&str]) -> Vec<String> {
    args.iter().map(ToString::to_string).collect()
}

/// Returns the integration tests of a package.
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

impl Outcome {
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
                self.closing.push(line);
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

/// Runs a known failure alone and returns what is wrong with its entry.
fn recheck(entry: &Entry) -> Result<Option<Failure>, Failure> {
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

/// Adds up the closing lines.
fn sum(closing: &[String]) -> String {
    let count = |word: &str| -> u64 {
        let words = closing
            .iter()
            .map(|line| line.split([' ', ';', '.']).collect::<Vec<_>>());
        words
            .filter_map(|words| {
                let at = words.iter().position(|w| *w == word)?;
                words.get(at.checked_sub(1)?)?.parse::<u64>().ok()
            })
            .sum()
    };
    let (passed, failed, ignored) = (count("passed"), count("failed"), count("ignored"));
    format!("total: {passed} passed, {failed} failed, {ignored} ignored")
}
