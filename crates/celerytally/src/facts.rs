//! Collects the facts of the report from every part of the process.

use std::sync::{Arc, OnceLock};

use config::ActiveConfig;
use futures::future::join_all;
use peer::{Member, MemberState};
use report::{DataCentreStatus, DeploymentStatus, ModelCopies, Report};
use route::Liveness;
use serde_json::Value;
use types::{Clock, DataCentreId, HostId, ModelId};

use crate::host::Host;

/// Hosts of a data centre that are asked in turn before it counts as cut off.
const ASKED: usize = 2;

/// Source of the report; it is empty until the host is complete.
#[derive(Clone, Debug, Default)]
pub(crate) struct Reporter {
    host: Arc<OnceLock<Arc<Host>>>,
}

impl Reporter {
    pub(crate) fn set(&self, host: Arc<Host>) {
        // The process has one host, so the cell is empty.
        drop(self.host.set(host));
    }

    async fn report(&self) -> Report {
        let facts = match self.host.get() {
            Some(host) => collect(host).await,
            None => DeploymentStatus::new("starting"),
        };
        Report::new(&facts)
    }
}

impl gate::Reporter for Reporter {
    async fn text(&self) -> String {
        self.report().await.to_string()
    }

    async fn json(&self) -> Value {
        self.report().await.json()
    }

    fn local(&self) -> Value {
        let local = self.host.get().map(|host| local(host));
        serde_json::to_value(local.unwrap_or_default()).unwrap_or_default()
    }
}

async fn collect(host: &Host) -> DeploymentStatus {
    let members = host.exchange.members().borrow().clone();
    let mut facts = DeploymentStatus::new("no deployment");
    hosts(&mut facts, host, &members);
    counts(&mut facts, host);
    if let Some(in_force) = host.gate.dispatcher().active_config() {
        facts.deployment.clone_from(&in_force.deployment.name);
        models(&mut facts, host, &in_force);
        data_centres(&mut facts, host, &in_force, &members).await;
    }
    facts
}

/// Returns what this host knows about its own data centre.
fn local(host: &Host) -> DataCentreStatus {
    let now = host.clock.now();
    let status = host.control.status.borrow().clone();
    let mut facts = DataCentreStatus {
        moves: (status.loads, status.unloads),
        ..DataCentreStatus::default()
    };
    host.gate.dispatcher().with_router(|router| {
        for view in router.backends(now).filter(|view| view.local) {
            facts.backends.1 += 1;
            match view.load.liveness {
                Liveness::Live => facts.backends.0 += 1,
                Liveness::Leaving => facts.leaving_backends.push(view.id.clone()),
                Liveness::Dead => facts.dead_backends.push(view.id.clone()),
            }
        }
    });
    facts
}

/// Asks the hosts of a data centre for its facts, the controller's host first.
///
/// Only that host counts the moves, so without authority another one knows of none.
async fn ask(host: &Host, dc: &DataCentreId, members: &[Member]) -> Option<DataCentreStatus> {
    let usable = |m: &&Member| m.dc == *dc && m.state != MemberState::Gone;
    let mut hosts: Vec<&Member> = members.iter().filter(usable).collect();
    hosts.sort_by_key(|m| (m.lease_epoch.is_none(), m.state != MemberState::Alive));
    for member in hosts.into_iter().take(ASKED) {
        if member.id == host.id {
            return Some(local(host));
        }
        if let Some(facts) = host.ask_local(member.addr).await {
            return Some(facts);
        }
    }
    None
}

fn hosts(facts: &mut DeploymentStatus, host: &Host, members: &[Member]) {
    let convergence = host.exchange.convergence();
    facts.version = (convergence.lowest.get() > 0).then_some(convergence.lowest);
    facts.outdated_hosts = convergence.stragglers;
    let silent = |m: &&Member| matches!(m.state, MemberState::Gone | MemberState::Suspected);
    let names: Vec<HostId> = members
        .iter()
        .filter(silent)
        .map(|m| m.id.clone())
        .collect();
    facts.hosts = (count(members.len() - names.len()), count(members.len()));
    facts.silent_hosts = names;
    facts.platform_unavailable = host.platform_is_away();
    facts.draining = host.is_draining();
}

fn models(facts: &mut DeploymentStatus, host: &Host, in_force: &ActiveConfig) {
    let deployment = &in_force.deployment;
    facts.models = count(deployment.models.len());
    let mut missing: Vec<ModelId> = host
        .gate
        .dispatcher()
        .with_router(|router| router.unavailable_models().cloned().collect());
    missing.sort();
    let copies = place::floor(deployment, place::memory_headroom(deployment)).unwrap_or_default();
    let mut floor: Vec<&ModelId> = copies.iter().map(|copy| &copy.model).collect();
    floor.sort();
    for model in &deployment.models {
        let here = u32::from(missing.binary_search(&model.id).is_err());
        let ready = here + host.elsewhere.copies(&model.id);
        let first = floor.partition_point(|id| **id < model.id);
        let wanted = count(floor[first..].partition_point(|id| **id == model.id));
        if ready == 0 {
            facts.unreachable_models.push(model.id.clone());
        } else if ready < wanted {
            facts.below_floor.push(ModelCopies {
                model: model.id.clone(),
                ready,
                floor: wanted,
            });
        }
    }
}

async fn data_centres(
    facts: &mut DeploymentStatus,
    host: &Host,
    in_force: &ActiveConfig,
    members: &[Member],
) {
    let dcs = &in_force.deployment.data_centres;
    let known = dcs
        .iter()
        .filter(|dc| members.iter().any(|m| m.dc == dc.id));
    let asked = known.map(async |dc| (dc.id.clone(), ask(host, &dc.id, members).await));
    for (dc, answer) in join_all(asked).await {
        match answer {
            Some(local) => facts.add_data_centre(local),
            None => facts.unreachable_data_centres.push(dc),
        }
    }
    let status = host.control.status.borrow().clone();
    let held = |m: &Member| m.dc == host.dc && m.lease_epoch.is_some();
    if !members.iter().any(held) && !status.authority {
        facts.no_controller.push(host.dc.clone());
    }
}

fn counts(facts: &mut DeploymentStatus, host: &Host) {
    let counters = host.gate.counters();
    facts.in_time = (counters.requests_in_time(), counters.requests());
    let mut refusals: Vec<(u16, u64)> = counters
        .refusals()
        .map(|(code, n)| (code.number(), n))
        .collect();
    refusals.sort_by(|a, b| b.1.cmp(&a.1).then(a.0.cmp(&b.0)));
    facts.refusals = refusals;
    facts.retries = counters.retries().map(|(_, n)| n).sum();
}

fn count(n: usize) -> u32 {
    u32::try_from(n).unwrap_or(u32::MAX)
}
