//! Polling of load reports, divided between the entry hosts of the data centre.

use std::{sync::Arc, time::Duration};

use control::Event as ControlEvent;
use engine::Server;
use peer::{Member, MemberState};
use route::{Event, Liveness};
use tokio::{
    task::JoinSet,
    time::{MissedTickBehavior, interval},
};
use types::{BackendId, Clock, HostId};

use crate::serve::Host;

/// Time between two reports of a backend server to the same host.
const PERIOD: Duration = Duration::from_secs(1);

/// Hosts that poll each backend server; the second covers a first that is frozen.
const POLLERS: usize = 2;

/// Polls a second of the backend servers that fall to other hosts.
///
/// Digests carry their load but not their residents, which change rarely: 108 workers are seen
/// anew every 27 s, and a few within a second.
const EXTRA_POLLS: usize = 4;

/// Reports that must fail in a row before a server that accepts connections counts as dead.
const MISSES: u32 = 3;

/// Failed polls in a row by backend server, sorted by id.
#[derive(Debug, Default)]
struct Misses(Vec<(BackendId, u32)>);

impl Misses {
    fn clear(&mut self, id: &BackendId) {
        self.0.retain(|(known, _)| known != id);
    }

    /// Counts a failed poll and returns the failures in a row.
    fn count(&mut self, id: &BackendId) -> u32 {
        match self.0.binary_search_by(|(known, _)| known.cmp(id)) {
            Ok(at) => {
                self.0[at].1 += 1;
                self.0[at].1
            }
            Err(at) => {
                self.0.insert(at, (id.clone(), 1));
                1
            }
        }
    }
}

/// Polls the backend servers that fall to this host until the task is aborted.
pub(crate) async fn run(host: Arc<Host>) {
    let mut misses = Misses::default();
    let mut next = 0;
    let mut ticks = interval(PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let mut polls = JoinSet::new();
        for server in due(&host, &mut next) {
            polls.spawn(poll(Arc::clone(&host), server));
        }
        while let Some(result) = polls.join_next().await {
            if let Ok((id, outcome)) = result {
                note(&host, &mut misses, &id, outcome);
            }
        }
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Outcome {
    Answered,
    /// No process listens there.
    Refused,
    Missed,
}

async fn poll(host: Arc<Host>, server: Server) -> (BackendId, Outcome) {
    let asked = host.clock.now();
    let outcome = match host.client.load(&server).await {
        Ok(report) => {
            let report = Arc::new(report);
            host.gate.dispatcher().feed(Event::Report {
                backend: server.id.clone(),
                report: Arc::clone(&report),
            });
            // A controller that lags gets the next report.
            drop(host.control.events.try_send(ControlEvent::Report {
                backend: server.id.clone(),
                report: Arc::unwrap_or_clone(report),
                asked,
            }));
            Outcome::Answered
        }
        Err(e) if e.category() == engine::Category::Unreachable => Outcome::Refused,
        Err(_) => Outcome::Missed,
    };
    (server.id, outcome)
}

fn note(host: &Host, misses: &mut Misses, id: &BackendId, outcome: Outcome) {
    match outcome {
        Outcome::Answered => misses.clear(id),
        Outcome::Refused | Outcome::Missed => {
            let failures = misses.count(id);
            if outcome == Outcome::Refused || failures >= MISSES {
                if failures == 1 || failures == MISSES {
                    tracing::warn!(backend = %id, "backend server does not answer");
                }
                host.gate.dispatcher().feed(Event::Liveness {
                    backend: id.clone(),
                    liveness: Liveness::Dead,
                });
            }
        }
    }
}

/// Returns the backend servers to poll now: those that fall to this host and a few others in turn.
fn due(host: &Host, next: &mut usize) -> Vec<Server> {
    let Some(in_force) = host.gate.dispatcher().in_force() else {
        return Vec::new();
    };
    let members = host.exchange.members().borrow().clone();
    let alive = |m: &&Member| m.dc == host.dc && m.state == MemberState::Alive;
    let names: Vec<&str> = members
        .iter()
        .filter(alive)
        .map(|m| m.id.as_str())
        .collect();
    let local = in_force.deployment.backends.iter();
    let local = local.filter(|b| b.dc == host.dc).map(|b| &b.id);
    let (mut due, others): (Vec<&BackendId>, Vec<&BackendId>) =
        local.partition(|id| falls_to(&host.id, id, &names));
    for _ in 0..EXTRA_POLLS.min(others.len()) {
        due.push(others[*next % others.len()]);
        *next = next.wrapping_add(1);
    }
    due.into_iter()
        .filter_map(|id| host.servers.find(id))
        .collect()
}

fn falls_to(host: &HostId, backend: &BackendId, alive: &[&str]) -> bool {
    let ranked = types::rank(backend.as_str(), alive);
    // A host that does not see itself among the members polls everything.
    alive.is_empty()
        || ranked
            .into_iter()
            .take(POLLERS)
            .any(|name| name == host.as_str())
}
