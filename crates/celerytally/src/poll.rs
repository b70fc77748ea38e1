//! Polls load reports of backend servers, divided between the entry hosts, within a byte budget.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use control::Event as ControlEvent;
use engine::Server;
use peer::{Member, MemberState};
use route::{Event, Liveness};
use tokio::{
    task::JoinSet,
    time::{MissedTickBehavior, interval},
};
use types::{BackendId, Clock, HostId, Instant, LoadReport, Micros};

use crate::host::Host;

const PERIOD: Duration = Duration::from_secs(1);

/// Hosts that poll each backend server; the second one covers a first one that hangs.
const POLLERS_PER_BACKEND: usize = 2;

/// Consecutive failed polls after which a server that accepts connections counts as dead.
const MAX_FAILURES: u32 = 3;

/// Bytes per second for polls and the peer exchange together, out of 7 KB/s for control traffic.
///
/// The rest is for the platform and for the polls of the data centre's controller.
const BYTES_PER_SECOND: u64 = 5_000;

/// Bytes per second for polls even if the peer exchange uses the whole budget.
const MIN_BYTES_PER_SECOND: u64 = 600;

/// Seconds of unused budget that accumulate for a burst.
const BURST_SECONDS: u64 = 3;

/// Time after which this host polls a server that is assigned to other hosts.
///
/// In between, their digests carry its load and show when its resident models change.
const MAX_REPORT_AGE: Micros = Micros::from_secs(30);

/// Estimated bytes of the headers of a poll and its response.
const HEADER_BYTES: u64 = 200;

/// Backend servers whose resident models differ from the last report according to a digest, sorted.
#[derive(Debug, Default)]
pub(crate) struct StaleBackends(Mutex<Vec<BackendId>>);

impl StaleBackends {
    pub(crate) fn insert(&self, id: BackendId) {
        let mut list = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if let Err(at) = list.binary_search(&id) {
            list.insert(at, id);
        }
    }

    fn remove(&self, id: &BackendId) {
        let mut list = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        list.retain(|known| known != id);
    }

    fn contains(&self, id: &BackendId) -> bool {
        let list = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        list.binary_search(id).is_ok()
    }
}

/// State of the polls of one backend server.
#[derive(Debug)]
struct PollState {
    id: BackendId,
    /// Instant of the last poll.
    last_poll: Option<Instant>,
    /// Estimated bytes of the next poll, from the last report.
    estimated_bytes: u64,
    /// Consecutive failed polls.
    failures: u32,
}

/// Schedule of the polls of this host.
#[derive(Debug, Default)]
struct Schedule {
    /// Sorted by id.
    polled: Vec<PollState>,
    /// Bytes available for polls.
    credit: u64,
    /// Total bytes of the peer exchange at the last round.
    exchange_bytes: u64,
}

#[derive(Debug)]
enum Outcome {
    Answered(Arc<LoadReport>),
    /// The connection was refused: no process listens on the address.
    Refused,
    Failed,
}

/// Polls the backend servers of the data centre until the task is aborted.
pub(crate) async fn run(host: Arc<Host>) {
    let mut schedule = Schedule::default();
    let mut ticks = interval(PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        schedule.add_credit(&host);
        let mut polls = JoinSet::new();
        for server in schedule.select(&host) {
            polls.spawn(poll(Arc::clone(&host), server));
        }
        while let Some(result) = polls.join_next().await {
            if let Ok((id, outcome)) = result {
                schedule.record(&host, &id, &outcome);
            }
        }
    }
}

async fn poll(host: Arc<Host>, server: Server) -> (BackendId, Outcome) {
    let requested_at = host.clock.now();
    let outcome = match host.client.load_report(&server).await {
        Ok(report) => {
            let report = Arc::new(report);
            host.gate.dispatcher().feed(Event::Report {
                backend: server.id.clone(),
                report: Arc::clone(&report),
            });
            // If the queue of the controller is full, it gets the next report.
            drop(host.control.events.try_send(ControlEvent::Report {
                backend: server.id.clone(),
                report: (*report).clone(),
                requested_at,
            }));
            Outcome::Answered(report)
        }
        Err(e) if e.category() == engine::Category::Unreachable => Outcome::Refused,
        Err(_) => Outcome::Failed,
    };
    (server.id, outcome)
}

impl Schedule {
    /// Adds the budget of one round, less the bytes that the peer exchange used since the last one.
    fn add_credit(&mut self, host: &Host) {
        let traffic = host.exchange.traffic();
        let exchange_bytes: u64 = traffic.iter().map(|t| t.sent + t.received).sum();
        let used = exchange_bytes.saturating_sub(self.exchange_bytes);
        self.exchange_bytes = exchange_bytes;
        let budget = BYTES_PER_SECOND
            .saturating_sub(used)
            .max(MIN_BYTES_PER_SECOND);
        self.credit = (self.credit + budget).min(budget * BURST_SECONDS);
    }

    /// Returns the backend servers to poll now: as many as the credit allows, and at least one.
    fn select(&mut self, host: &Host) -> Vec<Server> {
        let now = host.clock.now();
        let mut candidates = self.candidates(host, now);
        candidates.sort();
        let mut selected = Vec::new();
        for (_, at) in candidates {
            let polled = &mut self.polled[at];
            let Some(server) = host.servers.find(&polled.id) else {
                continue;
            };
            if self.credit < polled.estimated_bytes && !selected.is_empty() {
                break;
            }
            self.credit = self.credit.saturating_sub(polled.estimated_bytes);
            polled.last_poll = Some(now);
            host.stale_backends.remove(&polled.id);
            selected.push(server);
        }
        selected
    }

    /// Returns the indices of the servers that may be polled, with priority and last poll.
    fn candidates(&mut self, host: &Host, now: Instant) -> Vec<((u8, Option<Instant>), usize)> {
        let Some(in_force) = host.gate.dispatcher().active_config() else {
            return Vec::new();
        };
        let local = in_force.deployment.backends.iter();
        self.retain_configured(local.filter(|b| b.dc == host.dc).map(|b| &b.id));
        let members = host.exchange.members().borrow().clone();
        let alive = |m: &&Member| m.dc == host.dc && m.state == MemberState::Alive;
        let names: Vec<&str> = members
            .iter()
            .filter(alive)
            .map(|m| m.id.as_str())
            .collect();
        let priority = |polled: &PollState| {
            let overdue = polled
                .last_poll
                .is_none_or(|last| now.since(last) >= MAX_REPORT_AGE);
            if overdue || host.stale_backends.contains(&polled.id) {
                Some(0)
            } else {
                is_assigned(&host.id, &polled.id, &names).then_some(1)
            }
        };
        let polled = self.polled.iter().enumerate();
        polled
            .filter_map(|(at, p)| Some(((priority(p)?, p.last_poll), at)))
            .collect()
    }

    /// Drops the states of removed servers and adds those of new ones; `ids` must be sorted.
    fn retain_configured<'a>(&mut self, ids: impl Iterator<Item = &'a BackendId>) {
        let mut old = std::mem::take(&mut self.polled).into_iter().peekable();
        for id in ids {
            while old.next_if(|p| p.id < *id).is_some() {}
            let polled = old.next_if(|p| p.id == *id);
            self.polled.push(polled.unwrap_or_else(|| PollState {
                id: id.clone(),
                last_poll: None,
                estimated_bytes: HEADER_BYTES,
                failures: 0,
            }));
        }
    }

    fn record(&mut self, host: &Host, id: &BackendId, outcome: &Outcome) {
        let Ok(at) = self.polled.binary_search_by(|p| p.id.cmp(id)) else {
            return;
        };
        let polled = &mut self.polled[at];
        if let Outcome::Answered(report) = outcome {
            polled.failures = 0;
            polled.estimated_bytes = estimate_bytes(report);
            return;
        }
        polled.failures += 1;
        polled.estimated_bytes = HEADER_BYTES;
        let refused = matches!(outcome, Outcome::Refused);
        if refused || polled.failures >= MAX_FAILURES {
            if polled.failures == if refused { 1 } else { MAX_FAILURES } {
                tracing::warn!(backend = %id, "backend server does not answer");
            }
            host.gate.dispatcher().feed(Event::Liveness {
                backend: id.clone(),
                liveness: Liveness::Dead,
            });
        }
    }
}

/// Estimates the bytes of a poll that is answered with a report.
fn estimate_bytes(report: &LoadReport) -> u64 {
    let body = serde_json::to_vec(report).map_or(0, |body| body.len() as u64);
    HEADER_BYTES + body
}

fn is_assigned(host: &HostId, backend: &BackendId, alive: &[&str]) -> bool {
    let ranked = types::rank(backend.as_str(), alive);
    // A host that sees no live members, not even itself, polls every server.
    alive.is_empty()
        || ranked
            .into_iter()
            .take(POLLERS_PER_BACKEND)
            .any(|name| name == host.as_str())
}
