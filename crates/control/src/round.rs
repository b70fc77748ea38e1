//! Placement rounds: moves of models and adapters become wanted orders.

use config::Deployment;
use metrics::counter;
use orders::{Adapter, Copy, CopyState, NewOrder, SlotEvent, limit_share, plan_adapters};
use place::{Move, PlanInput};
use store::{Platform, Revision};
use types::{BackendId, Clock, Instant, Micros, OrderId, OrderOp, score};

use crate::{
    controller::{Controller, Issued},
    event::{BackendClient, Peers, Status},
    term::{self, Managed, Surroundings, Term},
};

/// Time between two placement rounds without a change.
const ROUND: Micros = Micros::from_secs(1);

/// Time without further loads on a worker after a load that had no effect.
const REST: Micros = Micros::from_secs(10);

fn is_load(mv: &Move) -> bool {
    matches!(mv, Move::Load { .. })
}

impl<P: Platform, C: Clock, E: BackendClient, N: Peers> Controller<P, C, E, N> {
    /// Runs a placement round.
    pub(crate) fn round(&mut self) {
        let now = self.now();
        self.next_round = now + ROUND;
        let Some((input, busy)) = self.plan_input(now) else {
            return;
        };
        self.note_floor(term::below_floor(&input));
        let mut moves = (self.settings.planner.plan)(&input);
        if let Some(term) = &self.term {
            moves.retain(|mv| match mv {
                Move::Load { worker, .. } => term.takes_loads(worker, now),
                Move::Unload { .. } => true,
            });
        }
        let loads = moves.iter().filter(|mv| is_load(mv)).count();
        self.step_slots(SlotEvent::Need(busy + loads));
        let ready = self.term.as_ref().map_or(0, |t| t.slots.usable(now));
        // A load without a slot is planned again in the round after its slot is there.
        let mut allowed = ready.saturating_sub(busy);
        for mv in moves {
            if is_load(&mv) {
                if allowed == 0 {
                    continue;
                }
                allowed -= 1;
                if let Some(term) = &mut self.term {
                    term.recent.push(now);
                }
            }
            let (backend, want) = term::want(mv, OrderId::random(&mut self.rng));
            self.issue(&backend, vec![want]);
        }
        self.adapt();
    }

    fn issue(&mut self, backend: &BackendId, wants: Vec<NewOrder>) {
        self.issued.extend(wants.iter().map(|w| Issued {
            id: w.id,
            op: w.op,
            backend: backend.clone(),
            name: w.name.clone(),
        }));
        self.step_worker(backend, orders::Event::Submit(wants));
    }

    /// Returns the input of a round and the loads that occupy the weight store.
    fn plan_input(&mut self, now: Instant) -> Option<(PlanInput, usize)> {
        let (term, config) = (self.term.as_mut()?, self.config.as_ref()?);
        // Without an inventory every worker would look dead.
        let known = !self.live.is_empty() && term.is_settled(now, &self.live);
        if self.lease.authority(now) != Some(term.epoch) || !known {
            return None;
        }
        let limits = config.deployment.limits;
        let busy = term.busy(now, &limits);
        let slots = usize::try_from(limits.weight_store_slots).unwrap_or(usize::MAX);
        let input = term.input(&Surroundings {
            deployment: &config.deployment,
            settings: &self.settings,
            floor: &self.floor,
            live: &self.live,
            demand: &self.demand,
            ready_elsewhere: self.calls.peers.ready_elsewhere(),
            loads: u32::try_from(slots.saturating_sub(busy)).unwrap_or(u32::MAX),
        });
        Some((input, busy))
    }

    /// Notes that a model or adapter is asked for.
    pub(crate) fn wanted(&mut self, name: String) {
        let now = self.now();
        let Some(config) = &self.config else { return };
        let adapters = &config.deployment.adapters;
        if adapters
            .binary_search_by(|a| a.id.as_str().cmp(&name))
            .is_err()
        {
            // A model is planned for by its demand; the round only comes sooner.
            self.next_round = Instant::ZERO;
            return;
        }
        match self.used.binary_search_by(|(known, _)| known.cmp(&name)) {
            Ok(at) => self.used[at].1 = now,
            Err(at) => self.used.insert(at, (name, now)),
        }
        self.adapt();
    }

    /// Runs a round of adapter moves, one record write for each backend server.
    fn adapt(&mut self) {
        let now = self.now();
        let (Some(term), Some(config)) = (&self.term, &self.config) else {
            return;
        };
        if self.lease.authority(now) != Some(term.epoch) || !term.is_settled(now, &self.live) {
            return;
        }
        let deployment = &config.deployment;
        let dcs: Vec<_> = deployment
            .data_centres
            .iter()
            .map(|d| d.id.clone())
            .collect();
        let limit = limit_share(deployment.limits.adapter_loads, &dcs, &self.settings.dc);
        let limit = usize::try_from(limit).unwrap_or(usize::MAX);
        let mut loads = limit.saturating_sub(term.loading(true));
        let sites = sites(term, &self.live);
        let mut batches = Vec::new();
        for (at, copies) in &sites {
            let id = &term.workers[*at].id;
            let Ok(b) = deployment.backends.binary_search_by(|b| b.id.cmp(id)) else {
                continue;
            };
            let wanted = wanted_on(deployment, &sites, term, *at, &self.used);
            let pool = deployment.backends[b].adapter_pool;
            let moves = plan_adapters(copies, pool, &wanted, loads);
            let started = moves.iter().filter(|m| m.op == OrderOp::LoadAdapter);
            loads = loads.saturating_sub(started.count());
            batches.push((id.clone(), moves));
        }
        for (id, moves) in batches.into_iter().filter(|(_, moves)| !moves.is_empty()) {
            let wants: Vec<NewOrder> = moves
                .into_iter()
                .map(|m| NewOrder {
                    id: OrderId::random(&mut self.rng),
                    op: m.op,
                    name: m.name,
                    version: m.version,
                    bytes: m.bytes,
                })
                .collect();
            self.issue(&id, wants);
        }
    }

    pub(crate) fn step_slots(&mut self, ev: SlotEvent<Revision>) {
        let now = self.now();
        let Some(term) = &mut self.term else { return };
        if matches!(ev, SlotEvent::Written(..)) {
            self.next_round = Instant::ZERO;
        }
        let mut out = Vec::new();
        term.slots.step(now, ev, &mut out);
        for action in out {
            self.calls.slot(term.epoch, action);
        }
    }

    /// Counts a closed order of this process.
    pub(crate) fn closed(&mut self, id: OrderId) {
        self.next_round = Instant::ZERO;
        let Some(at) = self.issued.iter().position(|issued| issued.id == id) else {
            return;
        };
        let order = self.issued.swap_remove(at);
        if order.op == OrderOp::Load {
            self.rest_after_failure(&order);
        }
        let name = match order.op {
            OrderOp::Load => "load",
            OrderOp::Unload => "unload",
            OrderOp::LoadAdapter => "load_adapter",
            OrderOp::UnloadAdapter => "unload_adapter",
        };
        counter!("celerytally_moves_total", "op" => name).increment(1);
        self.status.send_modify(|status| match order.op {
            OrderOp::Load => status.loads += 1,
            OrderOp::Unload => status.unloads += 1,
            OrderOp::LoadAdapter | OrderOp::UnloadAdapter => {}
        });
    }

    /// Gives a worker a rest after a load that had no effect, instead of loading at every round.
    fn rest_after_failure(&mut self, order: &Issued) {
        let until = self.now() + REST;
        let Some(term) = &mut self.term else { return };
        let Some(at) = term.find(&order.backend) else {
            return;
        };
        let worker = &mut term.workers[at];
        let copies = worker.ledger.copies();
        if !copies.iter().any(|c| !c.adapter && c.name == order.name) {
            counter!("celerytally_loads_failed_total").increment(1);
            worker.rest_until = until;
        }
    }

    fn note_floor(&self, below: Vec<types::ModelId>) {
        self.status.send_if_modified(|status| {
            let changed = status.below_floor != below;
            status.below_floor = below;
            changed
        });
    }

    pub(crate) fn publish(&self) {
        let holder = self.lease.holder();
        let authority = self.lease.authority(self.now()).is_some();
        let term = self.term.as_ref().filter(|_| authority);
        let unraised = term.map_or_else(Vec::new, |t| {
            let open = t.workers.iter().filter(|w| !w.ledger.is_ready());
            open.map(|w| w.id.clone()).collect()
        });
        let pending = term.map_or(0, Term::pending);
        self.status.send_if_modified(|status| {
            let next = Status {
                holder: holder.map(|(host, _)| host.clone()),
                epoch: holder.map(|(_, epoch)| epoch),
                authority,
                below_floor: if authority {
                    status.below_floor.clone()
                } else {
                    Vec::new()
                },
                pending_orders: pending,
                unready_records: unraised,
                loads: status.loads,
                unloads: status.unloads,
            };
            let changed = next != *status;
            *status = next;
            changed
        });
    }
}

/// Returns the live workers whose state is known, by position, with their copies.
fn sites(term: &Term, live: &[BackendId]) -> Vec<(usize, Vec<Copy>)> {
    let known = |w: &Managed| {
        w.ledger.is_ready() && w.ledger.has_report() && live.binary_search(&w.id).is_ok()
    };
    let workers = term.workers.iter().enumerate().filter(|(_, w)| known(w));
    workers.map(|(at, w)| (at, w.ledger.copies())).collect()
}

/// Returns the adapters that belong on a worker.
///
/// An adapter belongs on one worker that holds its model, chosen by rendezvous hash, and may stay
/// on others that hold its model.
fn wanted_on(
    deployment: &Deployment,
    sites: &[(usize, Vec<Copy>)],
    term: &Term,
    at: usize,
    used: &[(String, Instant)],
) -> Vec<Adapter> {
    let holds = |copies: &[Copy], name: &str, adapter: bool| {
        let mut copies = copies
            .iter()
            .filter(|c| c.adapter == adapter && c.name == name);
        copies.any(|c| c.state == CopyState::Ready)
    };
    let mut wanted = Vec::new();
    for a in &deployment.adapters {
        let (name, model) = (a.id.as_str(), a.model.as_str());
        let rank = |site: usize| score(name, term.workers[site].id.as_str(), 1.0);
        let hosts = sites
            .iter()
            .filter(|(_, copies)| holds(copies, model, false));
        let hosts: Vec<_> = hosts.collect();
        let Some((_, copies)) = hosts.iter().find(|(site, _)| *site == at) else {
            continue;
        };
        let first = hosts.iter().map(|(site, _)| *site);
        let first = first.max_by(|a, b| rank(*a).total_cmp(&rank(*b)));
        if first == Some(at) || holds(copies, name, true) {
            let last = used.binary_search_by(|(known, _)| known.as_str().cmp(name));
            wanted.push(Adapter {
                name: name.to_owned(),
                version: a.version.clone(),
                bytes: a.bytes,
                last_used: last.map_or(Instant::ZERO, |i| used[i].1),
            });
        }
    }
    wanted
}
