//! Collects the facts of the report from the parts of the process.

use std::sync::{Arc, OnceLock};

use config::InForce;
use futures::future::join_all;
use peer::{Member, MemberState};
use report::{Facts, LocalFacts, ModelCopies, Report};
use route::Liveness;
use serde_json::Value;
use types::{Clock, DataCentreId, HostId, ModelId};

use crate::host::Host;

/// Hosts of a data centre that are asked in turn before it counts as cut off.
const MAX_HOSTS_ASKED: usize = 2;

/// Source of the report; without a host until the process has built it.
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
            Some(host) => collect_facts(host).await,
            None => Facts::new("starting"),
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
        let local = self.host.get().map(|host| local_facts(host));
        serde_json::to_value(local.unwrap_or_default()).unwrap_or_default()
    }
}

async fn collect_facts(host: &Host) -> Facts {
    let members = host.exchange.members().borrow().clone();
    let mut facts = Facts::new("no deployment");
    add_hosts(&mut facts, host, &members);
    add_counters(&mut facts, host);
    if let Some(in_force) = host.gate.dispatcher().active_config() {
        facts.deployment.clone_from(&in_force.deployment.name);
        add_models(&mut facts, host, &in_force);
        add_data_centres(&mut facts, host, &in_force, &members).await;
    }
    facts
}

/// Returns the facts of this host's own data centre.
fn local_facts(host: &Host) -> LocalFacts {
    let now = host.clock.now();
    let status = host.control.status.borrow().clone();
    let mut facts = LocalFacts {
        moves: (status.loads, status.unloads),
        ..LocalFacts::default()
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

/// Fetches the facts of a data centre from one of its hosts, the controller's host first.
///
/// Only the controller's host counts the moves, so the facts of another host report none.
async fn fetch_data_centre(
    host: &Host,
    dc: &DataCentreId,
    members: &[Member],
) -> Option<LocalFacts> {
    let usable = |m: &&Member| m.dc == *dc && m.state != MemberState::Gone;
    let mut hosts: Vec<&Member> = members.iter().filter(usable).collect();
    hosts.sort_by_key(|m| (m.lease_epoch.is_none(), m.state != MemberState::Alive));
    for member in hosts.into_iter().take(MAX_HOSTS_ASKED) {
        if member.id == host.id {
            return Some(local_facts(host));
        }
        if let Some(facts) = host.fetch_local_facts(member.addr).await {
            return Some(facts);
        }
    }
    None
}

fn add_hosts(facts: &mut Facts, host: &Host, members: &[Member]) {
    let convergence = host.exchange.convergence();
    facts.version = (convergence.lowest.get() > 0).then_some(convergence.lowest);
    facts.stragglers = convergence.stragglers;
    let silent = |m: &&Member| matches!(m.state, MemberState::Gone | MemberState::Suspected);
    let names: Vec<HostId> = members
        .iter()
        .filter(silent)
        .map(|m| m.id.clone())
        .collect();
    facts.hosts = (
        saturating_u32(members.len() - names.len()),
        saturating_u32(members.len()),
    );
    facts.silent_hosts = names;
    facts.platform_away = host.is_platform_unavailable();
    facts.draining = host.is_draining();
}

fn add_models(facts: &mut Facts, host: &Host, in_force: &InForce) {
    let deployment = &in_force.deployment;
    facts.models = saturating_u32(deployment.models.len());
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
        let ready = here + host.remote_models.copies(&model.id);
        let first = floor.partition_point(|id| **id < model.id);
        let wanted = saturating_u32(floor[first..].partition_point(|id| **id == model.id));
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

async fn add_data_centres(facts: &mut Facts, host: &Host, in_force: &InForce, members: &[Member]) {
    let dcs = &in_force.deployment.data_centres;
    let known = dcs
        .iter()
        .filter(|dc| members.iter().any(|m| m.dc == dc.id));
    let asked = known.map(async |dc| {
        (
            dc.id.clone(),
            fetch_data_centre(host, &dc.id, members).await,
        )
    });
    for (dc, answer) in join_all(asked).await {
        match answer {
            Some(local) => facts.add(local),
            None => facts.cut_off.push(dc),
        }
    }
    let status = host.control.status.borrow().clone();
    let held = |m: &Member| m.dc == host.dc && m.lease_epoch.is_some();
    if !members.iter().any(held) && !status.authority {
        facts.no_controller.push(host.dc.clone());
    }
}

fn add_counters(facts: &mut Facts, host: &Host) {
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

fn saturating_u32(n: usize) -> u32 {
    u32::try_from(n).unwrap_or(u32::MAX)
}
