//! Runs a reference deployment on loopback and checks its promises.

use std::{fs, sync::Arc, time::Duration};

use standin::harness::{Cluster, Layout};
use tokio::{
    signal,
    time::{Instant, interval, sleep},
};
use toml::{Table, Value};

use crate::{
    Failure, steps,
    traffic::{self, Mix, Tally},
};

/// Entry hosts of both reference deployments.
const HOSTS: usize = 7;

/// Pace of the weight store in both example files.
const WEIGHT_STORE_RATE: &str = r#"weight_store_rate = "1.4/s""#;

/// Pace of the weight store in the demo, whose engines load in milliseconds.
const DEMO_WEIGHT_STORE_RATE: &str = r#"weight_store_rate = "14/s""#;

/// Bounds the wait for the report to say that the intended state holds.
const OK_LIMIT: Duration = Duration::from_mins(1);

/// Pause between two looks at the report.
const POLL: Duration = Duration::from_millis(250);

/// Pause between two progress lines.
const PROGRESS: Duration = Duration::from_secs(3);

/// Builds, starts a deployment, sends load and checks what came back.
pub(crate) fn run(deployment: &str, keep: bool) -> Result<(), Failure> {
    let token = match deployment {
        "te-awa" => "demo-counter",
        "nour" => "demo-dispatch",
        _ => return Err(format!("no deployment {deployment}; te-awa or nour")),
    };
    let path = steps::root()
        .join("examples")
        .join(format!("{deployment}.toml"));
    let text = fs::read_to_string(&path).map_err(|e| format!("{}: {e}", path.display()))?;
    // At the pace of the reference deployments the first loads alone take up to a minute.
    let text = text.replace(WEIGHT_STORE_RATE, DEMO_WEIGHT_STORE_RATE);
    println!("for the demo: {DEMO_WEIGHT_STORE_RATE} in place of {WEIGHT_STORE_RATE}");
    steps::build()?;
    let runtime = tokio::runtime::Runtime::new().map_err(|e| e.to_string())?;
    runtime.block_on(async {
        tokio::select! {
            result = demo(&text, token, keep) => result,
            _ = signal::ctrl_c() => Err("interrupted; everything is stopped".to_owned()),
        }
    })
}

async fn demo(text: &str, token: &str, keep: bool) -> Result<(), Failure> {
    let started = Instant::now();
    let layout = Layout::of(text, HOSTS, token);
    let cluster = waiting("starting the processes", Cluster::start(layout)).await;
    cluster.apply(text).await;
    println!("applied after {:.1?}", started.elapsed());
    waiting("waiting for readiness", cluster.wait_ready()).await;
    let served = waiting("waiting for every model", reported(&cluster, every_model)).await;
    println!("every model answers after {:.1?}", started.elapsed());
    let cluster = Arc::new(cluster);
    let mix = Arc::new(mix(text));
    let tally = waiting("sending the load", traffic::send(&cluster, &mix)).await;
    let ok = waiting(
        "waiting for the report to say OK",
        reported(&cluster, is_ok),
    )
    .await;
    println!("settled after {:.1?}", started.elapsed());
    let mut faults = check(&cluster, &tally).await;
    let report = cluster.hosts[0].report().await;
    println!("\n{report}");
    print_figures(&cluster, &tally, accelerators(text)).await;
    if !(served && ok) {
        faults.push("the report does not say OK".to_owned());
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
    if faults.is_empty() {
        println!("every check held");
        return Ok(());
    }
    Err(format!("checks failed:\n{}", faults.join("\n")))
}

/// Prints a line now and then until a step is done.
async fn waiting<F: Future>(what: &str, step: F) -> F::Output {
    let mut ticks = interval(PROGRESS);
    let started = Instant::now();
    tokio::pin!(step);
    loop {
        tokio::select! {
            output = &mut step => return output,
            _ = ticks.tick() => println!("{what} ({} s)", started.elapsed().as_secs()),
        }
    }
}

/// Tells whether a report says that every model answers.
fn every_model(report: &str) -> bool {
    let models = report.split("models ").nth(1).unwrap_or_default();
    let counts = models.lines().next().and_then(|line| line.split_once('/'));
    counts.is_some_and(|(ready, all)| ready == all && ready != "0")
}

fn is_ok(report: &str) -> bool {
    report.starts_with("OK\n")
}

/// Waits until the report of the first host fulfils a condition.
async fn reported(cluster: &Cluster, holds: fn(&str) -> bool) -> bool {
    let until = Instant::now() + OK_LIMIT;
    loop {
        let report = cluster.hosts[0].report().await;
        if holds(&report) {
            return true;
        }
        if Instant::now() > until {
            println!("{report}");
            return false;
        }
        sleep(POLL).await;
    }
}

fn names(file: &Table, list: &str, keep: impl Fn(&Table) -> bool) -> Vec<String> {
    let entries = file
        .get(list)
        .and_then(Value::as_array)
        .into_iter()
        .flatten();
    let tables = entries.filter_map(Value::as_table).filter(|t| keep(t));
    let names = tables.filter_map(|t| t["name"].as_str());
    names.map(ToOwned::to_owned).collect()
}

fn mix(text: &str) -> Mix {
    let file: Table = text.parse().expect("a deployment file");
    let plain = names(&file, "services", |s| s["kind"].as_str() == Some("plain"));
    Mix {
        models: names(&file, "models", |_| true),
        adapters: names(&file, "adapters", |_| true),
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

/// Returns every promise that did not hold.
async fn check(cluster: &Cluster, tally: &Tally) -> Vec<Failure> {
    let mut faults: Vec<Failure> = Vec::new();
    faults.extend(tally.spoilt.iter().map(|s| format!("not whole: {s}")));
    let runs: Vec<_> = cluster
        .backends
        .iter()
        .flat_map(|b| b.started(""))
        .collect();
    for booking in &tally.bookings {
        let count = runs.iter().filter(|run| run.key == booking.key).count();
        let right = match (booking.status, booking.ran.as_str()) {
            (201, _) | (_, "yes") => count == 1,
            (_, "no") => count == 0,
            _ => count <= 1,
        };
        if !right {
            faults.push(format!("{booking:?} ran {count} times"));
        }
    }
    for backend in &cluster.backends {
        let counts = &backend.state().await["counts"];
        let overcommits = counts["overcommits"].as_u64().unwrap_or_default();
        if overcommits > 0 {
            faults.push(format!(
                "memory overcommitted {overcommits} times: {counts}"
            ));
        }
    }
    if tally.in_time == 0 {
        faults.push("no request was answered in time".to_owned());
    }
    faults
}

async fn print_figures(cluster: &Cluster, tally: &Tally, accelerators: i64) {
    let (mut loads, mut unloads, mut adapters) = (0, 0, 0);
    for backend in &cluster.backends {
        let counts = backend.state().await;
        let count = |key: &str| counts["counts"][key].as_u64().unwrap_or_default();
        loads += count("loads");
        unloads += count("unloads");
        adapters += count("adapter_loads");
    }
    let booked = tally.bookings.iter().filter(|b| b.status == 201).count();
    let attainment = tally.attainment();
    println!(
        "requests: {} sent, {} in time, {} refused, {} of {} bookings made",
        tally.sent,
        tally.in_time,
        tally.refused,
        booked,
        tally.bookings.len()
    );
    println!(
        "attainment: {:.1}%, {:.2}% per accelerator; first token median {} ms, p95 {} ms",
        100.0 * attainment,
        100.0 * attainment / accelerators as f64,
        tally.first_token_ms(50.0),
        tally.first_token_ms(95.0)
    );
    println!("moves: {loads} loads, {unloads} unloads; {adapters} adapter loads");
}
