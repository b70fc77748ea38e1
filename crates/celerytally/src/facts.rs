//! Collects the facts of the report from every part of the process.

use std::sync::{Arc, OnceLock};

use config::InForce;
use peer::{Member, MemberState};
use report::{Facts, ModelCopies, Report};
use route::Liveness;
use types::{BackendId, Bytes, Clock, DataCentreId, HostId, ModelId};

use crate::serve::Host;

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

    fn report(&self) -> Report {
        let facts = self.host.get().map(|host| collect(host));
        Report::new(&facts.unwrap_or_else(|| Facts::new("starting")))
    }
}

impl gate::Reporter for Reporter {
    fn text(&self) -> String {
        self.report().to_string()
    }

    fn json(&self) -> serde_json::Value {
        self.report().json()
    }
}

fn collect(host: &Host) -> Facts {
    let members = host.exchange.members().borrow().clone();
    let mut facts = Facts::new("no deployment");
    hosts(&mut facts, host, &members);
    counts(&mut facts, host);
    if let Some(in_force) = host.gate.dispatcher().in_force() {
        facts.deployment.clone_from(&in_force.deployment.name);
        backends(&mut facts, host);
        models(&mut facts, host, &in_force);
        data_centres(&mut facts, host, &in_force, &members);
    }
    facts
}

fn hosts(facts: &mut Facts, host: &Host, members: &[Member]) {
    let convergence = host.exchange.convergence();
    facts.version = (convergence.lowest.get() > 0).then_some(convergence.lowest);
    facts.stragglers = convergence.stragglers;
    let silent = |m: &&Member| matches!(m.state, MemberState::Gone | MemberState::Suspected);
    let names: Vec<HostId> = members
        .iter()
        .filter(silent)
        .map(|m| m.id.clone())
        .collect();
    facts.hosts = (count(members.len() - names.len()), count(members.len()));
    facts.silent_hosts = names;
    facts.platform_away = host.platform_is_away();
    facts.draining = host.is_draining();
}

fn backends(facts: &mut Facts, host: &Host) {
    let now = host.clock.now();
    let (mut known, mut live) = (0, 0);
    let (mut dead, mut leaving): (Vec<BackendId>, Vec<BackendId>) = (Vec::new(), Vec::new());
    host.gate.dispatcher().with_router(|router| {
        for view in router.backends(now).filter(|view| view.local) {
            known += 1;
            match view.load.liveness {
                Liveness::Live => live += 1,
                Liveness::Leaving => leaving.push(view.id.clone()),
                Liveness::Dead => dead.push(view.id.clone()),
            }
        }
    });
    facts.backends = (live, known);
    facts.dead_backends = dead;
    facts.leaving_backends = leaving;
}

fn models(facts: &mut Facts, host: &Host, in_force: &InForce) {
    let deployment = &in_force.deployment;
    facts.models = count(deployment.models.len());
    let mut missing: Vec<ModelId> = host
        .gate
        .dispatcher()
        .with_router(|router| router.missing().cloned().collect());
    missing.sort();
    let floor = place::floor(deployment, Bytes::ZERO).unwrap_or_default();
    for model in &deployment.models {
        let here = u32::from(missing.binary_search(&model.id).is_err());
        let ready = here + host.elsewhere.copies(&model.id);
        let wanted = floor.iter().filter(|copy| copy.model == model.id).count();
        let wanted = count(wanted);
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

fn data_centres(facts: &mut Facts, host: &Host, in_force: &InForce, members: &[Member]) {
    let reachable = |dc: &DataCentreId| {
        let gone = |m: &&Member| m.state != MemberState::Gone;
        members.iter().filter(gone).any(|m| m.dc == *dc)
    };
    let silent = host.elsewhere.silent();
    for dc in &in_force.deployment.data_centres {
        let known = members.iter().any(|m| m.dc == dc.id);
        if !known || dc.id == host.dc {
            continue;
        }
        if !reachable(&dc.id) || silent.contains(&dc.id) {
            facts.cut_off.push(dc.id.clone());
        }
    }
    let status = host.control.status.borrow().clone();
    facts.moves = (status.loads, status.unloads);
    let held = members.iter().any(|m| m.dc == host.dc && m.holds.is_some());
    if !held && !status.authority {
        facts.no_controller.push(host.dc.clone());
    }
}

fn counts(facts: &mut Facts, host: &Host) {
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
