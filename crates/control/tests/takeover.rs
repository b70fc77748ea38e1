//! Cost of a takeover in platform calls and virtual time.
//!
//! Guards against a takeover that overloads the platform or leaves a data centre without a
//! controller for long. Targets: authority within the lease duration, plus a quarter of it for the
//! poll interval, plus 2 s; two calls per backend server and at most 16 others; at most five writes
//! per model load, including those that acquire and release its weight-store slot.

mod support;

use std::time::Duration;

use control::Settings;
use support::{RunningController, TestSite};
use tokio::time::Instant;

const SETTLE_BOUND: Duration = Duration::from_mins(2);

/// Maximum number of calls of a takeover that do not depend on the number of backend servers.
const MAX_FIXED_CALLS: u64 = 16;

const MAX_WRITES_PER_LOAD: u64 = 5;

fn recovery_bound() -> Duration {
    let lease = Duration::from(Settings::DEFAULT_LEASE_DURATION);
    lease + lease / 4 + Duration::from_secs(2)
}

async fn start_and_settle(site: &TestSite, host: &str) -> RunningController {
    let mut running = site.start(host).await;
    let floor = site.deployment.models.len();
    running
        .wait_until("the floor", SETTLE_BOUND, |s| {
            s.authority
                && s.unready_records.is_empty()
                && s.pending_orders == 0
                && s.loads >= floor as u64
        })
        .await;
    running
}

async fn takeover(workers: usize) -> (u64, Duration) {
    let site = TestSite::new(workers);
    let first = start_and_settle(&site, "h1").await;
    let mut second = site.start("h2").await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    first.task.abort();
    site.peers
        .removed_hosts
        .lock()
        .unwrap()
        .push("h1".parse().unwrap());
    let (died, before) = (Instant::now(), site.platform.calls());
    second
        .wait_until("the takeover", SETTLE_BOUND, |s| {
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
        assert!(
            calls <= 2 * workers as u64 + MAX_FIXED_CALLS,
            "{calls} calls"
        );
        assert!(time <= recovery_bound(), "{time:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_load_costs_few_writes() {
    for workers in [4, 108] {
        let site = TestSite::new(workers);
        let running = start_and_settle(&site, "h1").await;
        let (reads, writes, _) = site.platform.calls();
        let loads = running.status().loads;
        println!(
            "{workers} workers: {loads} loads, {reads} reads, {writes} writes since the start"
        );
        let fixed = 2 * workers as u64 + MAX_FIXED_CALLS;
        assert!(
            writes <= MAX_WRITES_PER_LOAD * loads + fixed,
            "{writes} writes for {loads} loads"
        );
        for (id, engine) in site.backends.lock().iter() {
            assert!(engine.peak_memory.get() <= 30, "{id} overcommitted");
        }
    }
}

#[tokio::test(start_paused = true)]
async fn a_stopping_holder_hands_over_without_waiting() {
    let site = TestSite::new(4);
    let first = start_and_settle(&site, "h1").await;
    let mut second = site.start("h2").await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    first.stop.cancel();
    first.task.await.unwrap();
    let bound = Duration::from(Settings::DEFAULT_LEASE_DURATION) / 4 + Duration::from_secs(1);
    second
        .wait_until("the hand-over", bound, |s| s.authority)
        .await;
}
