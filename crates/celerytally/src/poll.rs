//! Polling of load reports, divided between the entry hosts and held within a byte budget.

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

/// Hosts that poll each backend server; the second covers a first that is frozen.
const POLLERS: usize = 2;

/// Reports that must fail in a row before a server that accepts connections counts as dead.
const MISSES: u32 = 3;

/// Bytes a second for polls and the exchange together, out of the 7 KB/s for control.
///
/// The rest is for the platform and for the polls of the data centre's controller.
const BUDGET: u64 = 5_000;

/// Bytes a second for polls even if the exchange needs the whole budget.
const MIN_BUDGET: u64 = 600;

/// Seconds of the budget that may be saved up for a burst.
const BURST_SECONDS: u64 = 3;

/// Time after which a server that falls to other hosts is polled all the same.
///
/// Digests tell of its load, and of its residents when they change.
const REFRESH: Micros = Micros::from_secs(30);

/// Bytes of the headers of a poll and its answer.
const HEADER_BYTES: u64 = 200;

/// Backend servers whose residents changed according to a digest, sorted.
#[derive(Debug, Default)]
pub(crate) struct Changed(Mutex<Vec<BackendId>>);

impl Changed {
    pub(crate) fn add(&self, id: BackendId) {
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

/// What is known of the polls of one backend server.
#[derive(Debug)]
struct Polled {
    id: BackendId,
    /// Instant of the last poll.
    last: Option<Instant>,
    /// Bytes of the last report.
    bytes: u64,
    /// Polls that failed in a row.
    misses: u32,
}

/// Schedule of the polls of this host.
#[derive(Debug, Default)]
struct Schedule {
    /// Sorted by id.
    polled: Vec<Polled>,
    /// Bytes that may be spent.
    credit: u64,
    /// Bytes of the exchange at the last round.
    exchanged: u64,
}

#[derive(Debug)]
enum Outcome {
    Answered(Arc<LoadReport>),
    /// No process listens there.
    Refused,
    Missed,
}

/// Polls the backend servers of the data centre until the task is aborted.
pub(crate) async fn run(host: Arc<Host>) {
    let mut schedule = Schedule::default();
    let mut ticks = interval(PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        schedule.earn(&host);
        let mut polls = JoinSet::new();
        for server in schedule.due(&host) {
            polls.spawn(poll(Arc::clone(&host), server));
        }
        while let Some(result) = polls.join_next().await {
            if let Ok((id, outcome)) = result {
                schedule.note(&host, &id, &outcome);
            }
        }
    }
}

async fn poll(host: Arc<Host>, server: Server) -> (BackendId, Outcome) {
    let asked = host.clock.now();
    let outcome = match host.client.load_report(&server).await {
        Ok(report) => {
            let report = Arc::new(report);
            host.gate.dispatcher().feed(Event::Report {
                backend: server.id.clone(),
                report: Arc::clone(&report),
            });
            // A controller that lags gets the next report.
            drop(host.control.events.try_send(ControlEvent::Report {
                backend: server.id.clone(),
                report: (*report).clone(),
                requested_at: asked,
            }));
            Outcome::Answered(report)
        }
        Err(e) if e.category() == engine::Category::Unreachable => Outcome::Refused,
        Err(_) => Outcome::Missed,
    };
    (server.id, outcome)
}

impl Schedule {
    /// Adds the budget of one round, less what the exchange took in the last one.
    fn earn(&mut self, host: &Host) {
        let traffic = host.exchange.traffic();
        let exchanged: u64 = traffic.iter().map(|t| t.sent + t.received).sum();
        let taken = exchanged.saturating_sub(self.exchanged);
        self.exchanged = exchanged;
        let budget = BUDGET.saturating_sub(taken).max(MIN_BUDGET);
        self.credit = (self.credit + budget).min(budget * BURST_SECONDS);
    }

    /// Returns the backend servers to poll now, as far as the credit goes, at least one.
    fn due(&mut self, host: &Host) -> Vec<Server> {
        let now = host.clock.now();
        let mut ranked = self.ranked(host, now);
        ranked.sort();
        let mut due = Vec::new();
        for (_, at) in ranked {
            let polled = &mut self.polled[at];
            let Some(server) = host.servers.find(&polled.id) else {
                continue;
            };
            if self.credit < polled.bytes && !due.is_empty() {
                break;
            }
            self.credit = self.credit.saturating_sub(polled.bytes);
            polled.last = Some(now);
            host.changed.remove(&polled.id);
            due.push(server);
        }
        due
    }

    /// Returns the servers that may be polled, by urgency and the instant of the last poll.
    fn ranked(&mut self, host: &Host, now: Instant) -> Vec<((u8, Option<Instant>), usize)> {
        let Some(in_force) = host.gate.dispatcher().active_config() else {
            return Vec::new();
        };
        let local = in_force.deployment.backends.iter();
        self.keep(local.filter(|b| b.dc == host.dc).map(|b| &b.id));
        let members = host.exchange.members().borrow().clone();
        let alive = |m: &&Member| m.dc == host.dc && m.state == MemberState::Alive;
        let names: Vec<&str> = members
            .iter()
            .filter(alive)
            .map(|m| m.id.as_str())
            .collect();
        let urgency = |polled: &Polled| {
            let overdue = polled.last.is_none_or(|last| now.since(last) >= REFRESH);
            if overdue || host.changed.contains(&polled.id) {
                Some(0)
            } else {
                falls_to(&host.id, &polled.id, &names).then_some(1)
            }
        };
        let polled = self.polled.iter().enumerate();
        polled
            .filter_map(|(at, p)| Some(((urgency(p)?, p.last), at)))
            .collect()
    }

    /// Keeps the schedule in step with the configured servers, which come sorted.
    fn keep<'a>(&mut self, ids: impl Iterator<Item = &'a BackendId>) {
        let mut old = std::mem::take(&mut self.polled).into_iter().peekable();
        for id in ids {
            while old.next_if(|p| p.id < *id).is_some() {}
            let polled = old.next_if(|p| p.id == *id);
            self.polled.push(polled.unwrap_or_else(|| Polled {
                id: id.clone(),
                last: None,
                bytes: HEADER_BYTES,
                misses: 0,
            }));
        }
    }

    fn note(&mut self, host: &Host, id: &BackendId, outcome: &Outcome) {
        let Ok(at) = self.polled.binary_search_by(|p| p.id.cmp(id)) else {
            return;
        };
        let polled = &mut self.polled[at];
        if let Outcome::Answered(report) = outcome {
            polled.misses = 0;
            polled.bytes = bytes(report);
            return;
        }
        polled.misses += 1;
        polled.bytes = HEADER_BYTES;
        let refused = matches!(outcome, Outcome::Refused);
        if refused || polled.misses >= MISSES {
            if polled.misses == if refused { 1 } else { MISSES } {
                tracing::warn!(backend = %id, "backend server does not answer");
            }
            host.gate.dispatcher().feed(Event::Liveness {
                backend: id.clone(),
                liveness: Liveness::Dead,
            });
        }
    }
}

/// Returns about the bytes of a report on the wire.
fn bytes(report: &LoadReport) -> u64 {
    let body = serde_json::to_vec(report).map_or(0, |body| body.len() as u64);
    HEADER_BYTES + body
}

fn falls_to(host: &HostId, backend: &BackendId, alive: &[&str]) -> bool {
    let ranked = types::rendezvous_rank(backend.as_str(), alive);
    // A host that does not see itself among the members polls everything.
    alive.is_empty()
        || ranked
            .into_iter()
            .take(POLLERS)
            .any(|name| name == host.as_str())
}
