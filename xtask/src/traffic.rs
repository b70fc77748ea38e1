//! Bounded mixed load on the entry hosts of the demo, and what came back.

use std::{sync::Arc, time::Duration};

use hdrhistogram::Histogram;
use rand::{Rng, RngExt, SeedableRng, rngs::StdRng};
use reqwest::Method;
use standin::{
    answer,
    harness::{Cluster, Reply},
};
use tokio::{task::JoinSet, time::Instant};

/// Callers that send at the same time.
const CALLERS: u64 = 24;

/// Requests of each caller.
const REQUESTS: u32 = 40;

/// Bounds the load whatever the answers.
const LOAD_LIMIT: Duration = Duration::from_secs(25);

/// Target of the deployment files for the first token.
const FIRST_TOKEN: Duration = Duration::from_millis(490);

/// What the demo sends.
pub(crate) struct Mix {
    pub(crate) models: Vec<String>,
    pub(crate) adapters: Vec<String>,
    /// Name of the plain service.
    pub(crate) plain: String,
}

/// Keyed booking and the status of its answer.
#[derive(Clone, Debug)]
pub(crate) struct Booking {
    pub(crate) key: String,
    pub(crate) status: u16,
    pub(crate) ran: String,
}

/// What came back.
#[derive(Default)]
pub(crate) struct Tally {
    pub(crate) sent: u64,
    pub(crate) in_time: u64,
    pub(crate) refused: u64,
    /// Answers that were not whole or not the caller's own.
    pub(crate) spoilt: Vec<String>,
    pub(crate) bookings: Vec<Booking>,
    first_ms: Vec<u64>,
}

impl Tally {
    fn add(&mut self, other: Self) {
        self.sent += other.sent;
        self.in_time += other.in_time;
        self.refused += other.refused;
        self.spoilt.extend(other.spoilt);
        self.bookings.extend(other.bookings);
        self.first_ms.extend(other.first_ms);
    }

    /// Returns the share of requests that were answered in time.
    pub(crate) fn attainment(&self) -> f64 {
        self.in_time as f64 / self.sent.max(1) as f64
    }

    /// Returns a percentile of the time to the first token in milliseconds.
    pub(crate) fn first_token_ms(&self, percentile: f64) -> u64 {
        let mut histogram = Histogram::<u64>::new(3).expect("three digits are supported");
        for ms in &self.first_ms {
            histogram.saturating_record(*ms);
        }
        histogram.value_at_percentile(percentile)
    }

    fn generated(&mut self, what: &str, prompt: &str, tokens: usize, reply: &Reply) {
        if reply.status != 200 {
            self.refused += 1;
            return;
        }
        let whole = answer::is_whole(prompt, tokens, &reply.text);
        // A stream that ends with an error event does not pass for a complete one.
        let explicit = !reply.body["error"].is_null();
        let complete = whole && reply.done;
        if !complete && !explicit {
            self.spoilt.push(format!("{what}: {reply:?}"));
        }
        let first = u64::try_from(reply.first.as_millis()).unwrap_or(u64::MAX);
        self.first_ms.push(first);
        if whole && reply.first <= FIRST_TOKEN {
            self.in_time += 1;
        }
    }
}

/// Sends the load and waits for its end.
pub(crate) async fn send(cluster: &Arc<Cluster>, mix: &Arc<Mix>) -> Tally {
    let mut callers = JoinSet::new();
    let until = Instant::now() + LOAD_LIMIT;
    for seed in 0..CALLERS {
        let (cluster, mix) = (Arc::clone(cluster), Arc::clone(mix));
        callers.spawn(async move {
            let mut rng = StdRng::seed_from_u64(seed);
            let mut tally = Tally::default();
            for n in 0..REQUESTS {
                if Instant::now() < until {
                    let label = format!("caller {seed} request {n}");
                    one(&cluster, &mix, &label, &mut rng, &mut tally).await;
                }
            }
            tally
        });
    }
    let mut all = Tally::default();
    while let Some(tally) = callers.join_next().await {
        all.add(tally.expect("a caller does not panic"));
    }
    all
}

fn pick<'a, R: Rng>(list: &'a [String], rng: &mut R) -> &'a str {
    &list[rng.random_range(0..list.len())]
}

async fn one(cluster: &Cluster, mix: &Mix, label: &str, rng: &mut StdRng, tally: &mut Tally) {
    let host = &cluster.hosts[rng.random_range(0..cluster.hosts.len())];
    let tokens = rng.random_range(4..24);
    tally.sent += 1;
    match rng.random_range(0..10) {
        0..5 => {
            let model = pick(&mix.models, rng);
            let reply = host.stream(model, label, tokens).await;
            tally.generated(model, label, tokens, &reply);
        }
        5..7 => {
            let adapter = pick(&mix.adapters, rng);
            let reply = host.stream(adapter, label, tokens).await;
            tally.generated(adapter, label, tokens, &reply);
        }
        7..9 => {
            let key = label.replace(' ', "-");
            let path = format!("{}/slots", mix.plain);
            let reply = host.plain(Method::POST, &path, &key, label).await;
            let echoed = reply.body["echo"] == label;
            count_plain(tally, reply.status == 201, echoed, label);
            let ran = reply.ran().to_owned();
            let status = reply.status;
            tally.bookings.push(Booking { key, status, ran });
        }
        _ => {
            let path = format!("{}/status", mix.plain);
            let reply = host.plain(Method::GET, &path, "", "").await;
            count_plain(
                tally,
                reply.status == 200,
                reply.body["number"].is_u64(),
                label,
            );
        }
    }
}

fn count_plain(tally: &mut Tally, ok: bool, right: bool, label: &str) {
    match (ok, right) {
        (true, true) => tally.in_time += 1,
        (true, false) => tally.spoilt.push(label.to_owned()),
        (false, _) => tally.refused += 1,
    }
}
