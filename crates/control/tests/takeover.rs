//! Takeover of a data centre, counted in platform calls and virtual time.
//!
//! Guards against a takeover that overloads the platform or leaves a data centre without a
//! controller for long. Targets: authority within the lease duration plus a quarter of it (the
//! time between two looks) plus 2 s; two calls per backend server and at most 16 others; at most
//! five writes per model load, which include taking and giving back its weight-store slot.

mod support;

use std::time::Duration;

use control::Settings;
use support::{Running, Site};
use tokio::time::Instant;

const SETTLED: Duration = Duration::from_mins(2);

/// Calls of a takeover that do not depend on the number of backend servers.
const FIXED_CALLS: u64 = 16;

const WRITES_PER_LOAD: u64 = 5;

fn recovery_bound() -> Duration {
    let lease = Duration::from(Settings::DEFAULT_LEASE_DURATION);
    lease + lease / 4 + Duration::from_secs(2)
}

async fn settled(site: &Site, host: &str) -> Running {
    let mut running = site.start(host).await;
    let floor = site.deployment.models.len();
    running
        .until("the floor", SETTLED, |s| {
            s.authority
                && s.unready_records.is_empty()
                && s.pending_orders == 0
                && s.loads >= floor as u64
        })
        .await;
    running
}

async fn takeover(workers: usize) -> (u64, Duration) {
    let site = Site::new(workers);
    let first = settled(&site, "h1").await;
    let mut second = site.start("h2").await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    first.task.abort();
    site.peers.gone.lock().unwrap().push("h1".parse().unwrap());
    let (died, before) = (Instant::now(), site.platform.calls());
    second
        .until("the takeover", SETTLED, |s| {
            s.authority && s.unready_records.is_empty()
        })
        .await;
    let after = site.platform.calls();
    (after.0 + after.1 - before.0 - before.1, died.elapsed())
}

#[tokio::test(start_paused = true)]
async fn a_takeover_costs_two_calls_per_backend_server_and_a_lease_of_time() {
    for workers in [4, 108] {
        let (calls, time) = takeover(workers).await;
        println!("{workers} workers: {calls} platform calls, {time:?} after the death");
        assert!(calls <= 2 * workers as u64 + FIXED_CALLS, "{calls} calls");
        assert!(time <= recovery_bound(), "{time:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_load_costs_few_writes() {
    for workers in [4, 108] {
        let site = Site::new(workers);
        let running = settled(&site, "h1").await;
        let (reads, writes, _) = site.platform.calls();
        let loads = running.status().loads;
        println!(
            "{workers} workers: {loads} loads, {reads} reads, {writes} writes since the start"
        );
        let fixed = 2 * workers as u64 + FIXED_CALLS;
        assert!(
            writes <= WRITES_PER_LOAD * loads + fixed,
            "{writes} writes for {loads} loads"
        );
        for (id, engine) in site.fleet.lock().iter() {
            assert!(engine.most.get() <= 30, "{id} overcommitted");
        }
    }
}

#[tokio::test(start_paused = true)]
async fn a_stopping_holder_hands_over_without_waiting() {
    let site = Site::new(4);
    let first = settled(&site, "h1").await;
    let mut second = site.start("h2").await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    first.stop.cancel();
    first.task.await.unwrap();
    let look = Duration::from(Settings::DEFAULT_LEASE_DURATION) / 4 + Duration::from_secs(1);
    second.until("the hand-over", look, |s| s.authority).await;
}
