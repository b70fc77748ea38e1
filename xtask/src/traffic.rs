//! Sends a bounded mixed load to the entry hosts of the demo and records the results.

use std::{sync::Arc, time::Duration};

use hdrhistogram::Histogram;
use rand::{Rng, RngExt, SeedableRng, rngs::StdRng};
use reqwest::Method;
use standin::{
    answer,
    harness::{Cluster, Reply},
};
use tokio::{task::JoinSet, time::Instant};

/// Concurrent callers.
const CALLERS: u64 = 24;

/// Requests per caller.
const REQUESTS_PER_CALLER: u32 = 40;

/// Longest time for which new requests are sent.
const LOAD_TIMEOUT: Duration = Duration::from_secs(25);

/// Target of the example files for the time to the first token.
const FIRST_TOKEN_TARGET: Duration = Duration::from_millis(490);

/// Models, adapters and plain service that the load addresses.
pub(crate) struct LoadTargets {
    pub(crate) models: Vec<String>,
    pub(crate) adapters: Vec<String>,
    /// Name of the plain service.
    pub(crate) plain: String,
}

/// Request with an idempotency key, with the status of its answer.
#[derive(Clone, Debug)]
pub(crate) struct Booking {
    pub(crate) key: String,
    pub(crate) status: u16,
    pub(crate) ran: String,
}

/// Results of the load.
#[derive(Default)]
pub(crate) struct LoadResult {
    pub(crate) sent: u64,
    pub(crate) in_time: u64,
    pub(crate) refused: u64,
    /// Answers that were incomplete or belonged to another request.
    pub(crate) corrupt: Vec<String>,
    pub(crate) bookings: Vec<Booking>,
    first_tokens_ms: Vec<u64>,
}

impl LoadResult {
    fn merge(&mut self, other: Self) {
        self.sent += other.sent;
        self.in_time += other.in_time;
        self.refused += other.refused;
        self.corrupt.extend(other.corrupt);
        self.bookings.extend(other.bookings);
        self.first_tokens_ms.extend(other.first_tokens_ms);
    }

    /// Returns the share of requests that were answered in time.
    pub(crate) fn attainment(&self) -> f64 {
        self.in_time as f64 / self.sent.max(1) as f64
    }

    /// Returns a percentile of the time to the first token in milliseconds.
    pub(crate) fn first_token_ms(&self, percentile: f64) -> u64 {
        let mut histogram = Histogram::<u64>::new(3).expect("three digits are supported");
        for ms in &self.first_tokens_ms {
            histogram.saturating_record(*ms);
        }
        histogram.value_at_percentile(percentile)
    }

    fn record_generation(&mut self, what: &str, prompt: &str, tokens: usize, reply: &Reply) {
        if reply.status != 200 {
            self.refused += 1;
            return;
        }
        let whole = answer::is_whole(prompt, tokens, &reply.text);
        // A stream that ends with an error event is reported as failed, so it may be incomplete.
        let has_error = !reply.body["error"].is_null();
        let complete = whole && reply.done;
        if !complete && !has_error {
            self.corrupt.push(format!("{what}: {reply:?}"));
        }
        let first = u64::try_from(reply.first.as_millis()).unwrap_or(u64::MAX);
        self.first_tokens_ms.push(first);
        if whole && reply.first <= FIRST_TOKEN_TARGET {
            self.in_time += 1;
        }
    }
}

/// Sends the load and waits until it ends.
pub(crate) async fn send(cluster: &Arc<Cluster>, targets: &Arc<LoadTargets>) -> LoadResult {
    let mut callers = JoinSet::new();
    let until = Instant::now() + LOAD_TIMEOUT;
    for seed in 0..CALLERS {
        let (cluster, targets) = (Arc::clone(cluster), Arc::clone(targets));
        callers.spawn(async move {
            let mut rng = StdRng::seed_from_u64(seed);
            let mut result = LoadResult::default();
            for n in 0..REQUESTS_PER_CALLER {
                if Instant::now() < until {
                    let label = format!("caller {seed} request {n}");
                    send_one(&cluster, &targets, &label, &mut rng, &mut result).await;
                }
            }
            result
        });
    }
    let mut all = LoadResult::default();
    while let Some(result) = callers.join_next().await {
        all.merge(result.expect("a caller does not panic"));
    }
    all
}

fn pick<'a, R: Rng>(list: &'a [String], rng: &mut R) -> &'a str {
    &list[rng.random_range(0..list.len())]
}

async fn send_one(
    cluster: &Cluster,
    targets: &LoadTargets,
    label: &str,
    rng: &mut StdRng,
    result: &mut LoadResult,
) {
    let host = &cluster.hosts[rng.random_range(0..cluster.hosts.len())];
    let tokens = rng.random_range(4..24);
    result.sent += 1;
    match rng.random_range(0..10) {
        0..5 => {
            let model = pick(&targets.models, rng);
            let reply = host.stream(model, label, tokens).await;
            result.record_generation(model, label, tokens, &reply);
        }
        5..7 => {
            let adapter = pick(&targets.adapters, rng);
            let reply = host.stream(adapter, label, tokens).await;
            result.record_generation(adapter, label, tokens, &reply);
        }
        7..9 => {
            let key = label.replace(' ', "-");
            let path = format!("{}/slots", targets.plain);
            let reply = host.plain(Method::POST, &path, &key, label).await;
            let echoed = reply.body["echo"] == label;
            record_plain(result, reply.status == 201, echoed, label);
            let ran = reply.ran().to_owned();
            let status = reply.status;
            result.bookings.push(Booking { key, status, ran });
        }
        _ => {
            let path = format!("{}/status", targets.plain);
            let reply = host.plain(Method::GET, &path, "", "").await;
            record_plain(
                result,
                reply.status == 200,
                reply.body["number"].is_u64(),
                label,
            );
        }
    }
}

fn record_plain(result: &mut LoadResult, ok: bool, valid: bool, label: &str) {
    match (ok, valid) {
        (true, true) => result.in_time += 1,
        (true, false) => result.corrupt.push(label.to_owned()),
        (false, _) => result.refused += 1,
    }
}
