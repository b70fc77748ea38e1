//! Runs a reference deployment on loopback and checks the results of a mixed load.

use std::{fs, sync::Arc, time::Duration};

use standin::harness::{Cluster, Layout};
use tokio::{
    signal,
    time::{Instant, interval, sleep},
};
use toml::{Table, Value};

use crate::{
    Failure, steps,
    traffic::{self, LoadResult, LoadTargets},
};

/// Entry hosts of both reference deployments.
const HOSTS: usize = 7;

/// Load rate of the weight store in both example files.
const WEIGHT_STORE_RATE: &str = r#"weight_store_rate = "1.4/s""#;

/// Load rate of the weight store in the demo, whose engines load in milliseconds.
const DEMO_WEIGHT_STORE_RATE: &str = r#"weight_store_rate = "14/s""#;

/// Longest wait for the report to meet a condition.
const REPORT_TIMEOUT: Duration = Duration::from_mins(1);

/// Interval between two reads of the report.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Interval between two progress lines.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(3);

/// Builds the programs, starts a deployment, sends load and checks the results.
pub(crate) fn run(deployment: &str, keep: bool) -> Result<(), Failure> {
    let token = match deployment {
        "te-awa" => "demo-counter",
        "nour" => "demo-dispatch",
        _ => {
            return Err(format!(
                "unknown deployment {deployment}; expected te-awa or nour"
            ));
        }
    };
    let path = steps::root()
        .join("examples")
        .join(format!("{deployment}.toml"));
    let text = fs::read_to_string(&path).map_err(|e| format!("{}: {e}", path.display()))?;
    // At the rate of the reference deployments the first loads take up to a minute.
    let text = text.replace(WEIGHT_STORE_RATE, DEMO_WEIGHT_STORE_RATE);
    println!("for the demo: {DEMO_WEIGHT_STORE_RATE} in place of {WEIGHT_STORE_RATE}");
    steps::build()?;
    let runtime = tokio::runtime::Runtime::new().map_err(|e| e.to_string())?;
    runtime.block_on(async {
        tokio::select! {
            outcome = demo(&text, token, keep) => outcome,
            _ = signal::ctrl_c() => Err("interrupted; everything is stopped".to_owned()),
        }
    })
}

async fn demo(text: &str, token: &str, keep: bool) -> Result<(), Failure> {
    let started = Instant::now();
    let layout = Layout::of(text, HOSTS, token);
    let cluster = with_progress("starting the processes", Cluster::start(layout)).await;
    cluster.apply(text).await;
    println!("applied after {:.1?}", started.elapsed());
    with_progress("waiting for readiness", cluster.wait_ready()).await;
    let served = with_progress(
        "waiting for every model",
        wait_for_report(&cluster, all_models_ready),
    )
    .await;
    println!("every model answers after {:.1?}", started.elapsed());
    let cluster = Arc::new(cluster);
    let targets = Arc::new(targets(text));
    let result = with_progress("sending the load", traffic::send(&cluster, &targets)).await;
    let ok = with_progress(
        "waiting for the report to say OK",
        wait_for_report(&cluster, is_ok),
    )
    .await;
    println!("settled after {:.1?}", started.elapsed());
    let mut failures = check_results(&cluster, &result).await;
    let report = cluster.hosts[0].report().await;
    println!("\n{report}");
    print_figures(&cluster, &result, accelerators(text)).await;
    if !(served && ok) {
        failures.push("the report does not say OK".to_owned());
    }
    println!("finished after {:.1?}", started.elapsed());
    if keep {
        let addrs = cluster
            .hosts
            .iter()
            .map(|host| format!("{} {}", host.name, host.http));
        println!(
            "running until Ctrl-C:\n{}",
            addrs.collect::<Vec<_>>().join("\n")
        );
        std::future::pending::<()>().await;
    }
    if failures.is_empty() {
        println!("every check held");
        return Ok(());
    }
    Err(format!("checks failed:\n{}", failures.join("\n")))
}

/// Prints progress lines until a step completes.
async fn with_progress<F: Future>(what: &str, step: F) -> F::Output {
    let mut ticks = interval(PROGRESS_INTERVAL);
    let started = Instant::now();
    tokio::pin!(step);
    loop {
        tokio::select! {
            output = &mut step => return output,
            _ = ticks.tick() => println!("{what} ({} s)", started.elapsed().as_secs()),
        }
    }
}

/// Returns whether a report counts every model as ready.
fn all_models_ready(report: &str) -> bool {
    let models = report.split("models ").nth(1).unwrap_or_default();
    let counts = models.lines().next().and_then(|line| line.split_once('/'));
    counts.is_some_and(|(ready, all)| ready == all && ready != "0")
}

fn is_ok(report: &str) -> bool {
    report.starts_with("OK\n")
}

/// Waits until the report of the first host meets a condition; returns `false` on a timeout.
async fn wait_for_report(cluster: &Cluster, holds: fn(&str) -> bool) -> bool {
    let until = Instant::now() + REPORT_TIMEOUT;
    loop {
        let report = cluster.hosts[0].report().await;
        if holds(&report) {
            return true;
        }
        if Instant::now() > until {
            println!("{report}");
            return false;
        }
        sleep(POLL_INTERVAL).await;
    }
}

fn entry_names(file: &Table, list: &str, keep: impl Fn(&Table) -> bool) -> Vec<String> {
    let entries = file
        .get(list)
        .and_then(Value::as_array)
        .into_iter()
        .flatten();
    let tables = entries.filter_map(Value::as_table).filter(|t| keep(t));
    let names = tables.filter_map(|t| t["name"].as_str());
    names.map(ToOwned::to_owned).collect()
}

fn targets(text: &str) -> LoadTargets {
    let file: Table = text.parse().expect("a deployment file");
    let plain = entry_names(&file, "services", |s| s["kind"].as_str() == Some("plain"));
    LoadTargets {
        models: entry_names(&file, "models", |_| true),
        adapters: entry_names(&file, "adapters", |_| true),
        plain: plain.into_iter().next().expect("a plain service"),
    }
}

fn accelerators(text: &str) -> i64 {
    let file: Table = text.parse().expect("a deployment file");
    let backends = file.get("backends").and_then(Value::as_array);
    let counts = backends.into_iter().flatten();
    counts
        .filter_map(|b| b.get("accelerators")?.as_integer())
        .sum()
}

/// Returns a message for each failed check.
async fn check_results(cluster: &Cluster, result: &LoadResult) -> Vec<Failure> {
    let mut failures: Vec<Failure> = Vec::new();
    failures.extend(
        result
            .corrupt
            .iter()
            .map(|s| format!("incomplete or wrong answer: {s}")),
    );
    let runs: Vec<_> = cluster
        .backends
        .iter()
        .flat_map(|b| b.started(""))
        .collect();
    for booking in &result.bookings {
        let count = runs.iter().filter(|run| run.key == booking.key).count();
        let valid = match (booking.status, booking.ran.as_str()) {
            (201, _) | (_, "yes") => count == 1,
            (_, "no") => count == 0,
            _ => count <= 1,
        };
        if !valid {
            failures.push(format!("{booking:?} ran {count} times"));
        }
    }
    for backend in &cluster.backends {
        let counts = &backend.state().await["counts"];
        let overcommits = counts["overcommits"].as_u64().unwrap_or_default();
        if overcommits > 0 {
            failures.push(format!(
                "memory overcommitted {overcommits} times: {counts}"
            ));
        }
    }
    if result.in_time == 0 {
        failures.push("no request was answered in time".to_owned());
    }
    failures
}

async fn print_figures(cluster: &Cluster, result: &LoadResult, accelerators: i64) {
    let (mut loads, mut unloads, mut adapters) = (0, 0, 0);
    for backend in &cluster.backends {
        let counts = backend.state().await;
        let count = |key: &str| counts["counts"][key].as_u64().unwrap_or_default();
        loads += count("loads");
        unloads += count("unloads");
        adapters += count("adapter_loads");
    }
    let booked = result.bookings.iter().filter(|b| b.status == 201).count();
    let attainment = result.attainment();
    println!(
        "requests: {} sent, {} in time, {} refused, {} of {} bookings made",
        result.sent,
        result.in_time,
        result.refused,
        booked,
        result.bookings.len()
    );
    println!(
        "attainment: {:.1}%, {:.2}% per accelerator; first token median {} ms, p95 {} ms",
        100.0 * attainment,
        100.0 * attainment / accelerators as f64,
        result.first_token_ms(50.0),
        result.first_token_ms(95.0)
    );
    println!("moves: {loads} loads, {unloads} unloads; {adapters} adapter loads");
}
