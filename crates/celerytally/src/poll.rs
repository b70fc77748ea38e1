//! Polling of load reports, divided between the entry hosts of the data centre.

use std::{sync::Arc, time::Duration};

use control::Event as ControlEvent;
use engine::Server;
use peer::MemberState;
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
    let mut ticks = interval(PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let mut polls = JoinSet::new();
        for server in assigned(&host) {
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

/// Returns the backend servers of this data centre that this host polls.
fn assigned(host: &Host) -> Vec<Server> {
    let Some(in_force) = host.gate.dispatcher().in_force() else {
        return Vec::new();
    };
    let members = host.exchange.members().borrow().clone();
    let alive: Vec<HostId> = members
        .iter()
        .filter(|m| m.dc == host.dc && m.state == MemberState::Alive)
        .map(|m| m.id.clone())
        .collect();
    let names: Vec<&str> = alive.iter().map(HostId::as_str).collect();
    let local = in_force.deployment.backends.iter();
    local
        .filter(|b| b.dc == host.dc)
        .filter(|b| {
            let ranked = types::rank(b.id.as_str(), &names);
            let first = ranked.into_iter().take(POLLERS);
            // A host that does not see itself among the members polls everything.
            names.is_empty() || first.into_iter().any(|name| name == host.id.as_str())
        })
        .filter_map(|b| host.servers.find(&b.id))
        .collect()
}
