//! Placement rounds, which turn moves of models and adapters into orders.

use config::Deployment;
use metrics::counter;
use orders::{Adapter, Copy, CopyState, NewOrder, SlotEvent, limit_share, plan_adapters};
use place::{Move, PlanInput};
use store::{Platform, Revision};
use types::{BackendId, Clock, Instant, Micros, OrderId, OrderOp, rendezvous_score};

use crate::{
    controller::{Controller, IssuedOrder},
    event::{BackendClient, Peers, Status},
    term::{self, ManagedBackend, RoundContext, Term},
};

/// Interval between placement rounds while nothing changes.
const ROUND_INTERVAL: Micros = Micros::from_secs(1);

/// Time without further model loads on a worker after a failed load.
const FAILED_LOAD_BACKOFF: Micros = Micros::from_secs(10);

fn is_load(mv: &Move) -> bool {
    matches!(mv, Move::Load { .. })
}

impl<P: Platform, C: Clock, B: BackendClient, N: Peers> Controller<P, C, B, N> {
    /// Runs a placement round.
    pub(crate) fn run_round(&mut self) {
        let now = self.now();
        self.next_round = now + ROUND_INTERVAL;
        let Some((input, active_loads)) = self.round_input(now) else {
            return;
        };
        self.publish_below_floor(term::below_floor(&input));
        let mut moves = (self.settings.planner.plan)(&input);
        if let Some(term) = &self.term {
            moves.retain(|mv| match mv {
                Move::Load { worker, .. } => term.accepts_loads(worker, now),
                Move::Unload { .. } => true,
            });
        }
        let loads = moves.iter().filter(|mv| is_load(mv)).count();
        self.step_slots(SlotEvent::Need(active_loads + loads));
        let ready = self.term.as_ref().map_or(0, |t| t.slots.usable(now));
        // A load without a slot is planned again in the round that follows the slot's acquisition.
        let mut allowed = ready.saturating_sub(active_loads);
        for mv in moves {
            if is_load(&mv) {
                if allowed == 0 {
                    continue;
                }
                allowed -= 1;
                if let Some(term) = &mut self.term {
                    term.recent_loads.push(now);
                }
            }
            let (backend, order) = term::order_for_move(mv, OrderId::random(&mut self.rng));
            self.issue_orders(&backend, vec![order]);
        }
        self.place_adapters();
    }

    fn issue_orders(&mut self, backend: &BackendId, orders: Vec<NewOrder>) {
        self.issued_orders
            .extend(orders.iter().map(|order| IssuedOrder {
                id: order.id,
                op: order.op,
                backend: backend.clone(),
                name: order.name.clone(),
            }));
        self.step_backend(backend, orders::Event::Submit(orders));
    }

    /// Returns the input of a round and the number of active loads from the weight store.
    fn round_input(&mut self, now: Instant) -> Option<(PlanInput, usize)> {
        let (term, config) = (self.term.as_mut()?, self.config.as_ref()?);
        // Without an inventory every worker would count as dead.
        let known = !self.live_backends.is_empty() && term.is_settled(now, &self.live_backends);
        if self.lease.authority(now) != Some(term.epoch) || !known {
            return None;
        }
        let limits = config.deployment.limits;
        let active_loads = term.active_store_loads(now, &limits);
        let slots = usize::try_from(limits.weight_store_slots).unwrap_or(usize::MAX);
        let input = term.placement_input(&RoundContext {
            deployment: &config.deployment,
            settings: &self.settings,
            floor: &self.floor,
            live: &self.live_backends,
            demand: &self.demand,
            ready_elsewhere: self.calls.peers.ready_elsewhere(),
            loads: u32::try_from(slots.saturating_sub(active_loads)).unwrap_or(u32::MAX),
        });
        Some((input, active_loads))
    }

    /// Handles a request for a model or adapter that is not resident.
    pub(crate) fn handle_request(&mut self, name: String) {
        let now = self.now();
        let Some(config) = &self.config else { return };
        let adapters = &config.deployment.adapters;
        if adapters
            .binary_search_by(|a| a.id.as_str().cmp(&name))
            .is_err()
        {
            // Models are placed by their demand; the request only triggers the next round early.
            self.next_round = Instant::ZERO;
            return;
        }
        match self
            .adapter_uses
            .binary_search_by(|(known, _)| known.cmp(&name))
        {
            Ok(at) => self.adapter_uses[at].1 = now,
            Err(at) => self.adapter_uses.insert(at, (name, now)),
        }
        self.place_adapters();
    }

    /// Orders adapter loads and unloads, with one record write per backend server.
    fn place_adapters(&mut self) {
        let now = self.now();
        let (Some(term), Some(config)) = (&self.term, &self.config) else {
            return;
        };
        if self.lease.authority(now) != Some(term.epoch)
            || !term.is_settled(now, &self.live_backends)
        {
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
        let mut loads = limit.saturating_sub(term.count_loading(true));
        let reported = reported_workers(term, &self.live_backends);
        let mut batches = Vec::new();
        for (at, copies) in &reported {
            let id = &term.workers[*at].id;
            let Ok(b) = deployment.backends.binary_search_by(|b| b.id.cmp(id)) else {
                continue;
            };
            let wanted = adapters_for_worker(deployment, &reported, term, *at, &self.adapter_uses);
            let pool = deployment.backends[b].adapter_pool;
            let moves = plan_adapters(copies, pool, &wanted, loads);
            let started = moves.iter().filter(|m| m.op == OrderOp::LoadAdapter);
            loads = loads.saturating_sub(started.count());
            batches.push((id.clone(), moves));
        }
        for (id, moves) in batches.into_iter().filter(|(_, moves)| !moves.is_empty()) {
            let orders: Vec<NewOrder> = moves
                .into_iter()
                .map(|m| NewOrder {
                    id: OrderId::random(&mut self.rng),
                    op: m.op,
                    name: m.name,
                    version: m.version,
                    bytes: m.bytes,
                })
                .collect();
            self.issue_orders(&id, orders);
        }
    }

    pub(crate) fn step_slots(&mut self, event: SlotEvent<Revision>) {
        let now = self.now();
        let Some(term) = &mut self.term else { return };
        if matches!(event, SlotEvent::Written(..)) {
            self.next_round = Instant::ZERO;
        }
        let mut actions = Vec::new();
        term.slots.step(now, event, &mut actions);
        for action in actions {
            self.calls.access_slots(term.epoch, action);
        }
    }

    /// Counts a closed order that this process issued.
    pub(crate) fn handle_closed_order(&mut self, id: OrderId) {
        self.next_round = Instant::ZERO;
        let Some(at) = self.issued_orders.iter().position(|order| order.id == id) else {
            return;
        };
        let order = self.issued_orders.swap_remove(at);
        if order.op == OrderOp::Load {
            self.back_off_after_failed_load(&order);
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

    /// Pauses loads on a worker after a failed load, which would otherwise be retried every round.
    fn back_off_after_failed_load(&mut self, order: &IssuedOrder) {
        let until = self.now() + FAILED_LOAD_BACKOFF;
        let Some(term) = &mut self.term else { return };
        let Some(at) = term.position(&order.backend) else {
            return;
        };
        let worker = &mut term.workers[at];
        let copies = worker.ledger.copies();
        if !copies.iter().any(|c| !c.adapter && c.name == order.name) {
            counter!("celerytally_loads_failed_total").increment(1);
            worker.no_loads_until = until;
        }
    }

    fn publish_below_floor(&self, below: Vec<types::ModelId>) {
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
        let unready_records = term.map_or_else(Vec::new, |t| {
            let unready = t.workers.iter().filter(|w| !w.ledger.is_ready());
            unready.map(|w| w.id.clone()).collect()
        });
        let pending_orders = term.map_or(0, Term::pending_orders);
        self.status.send_if_modified(|status| {
            let new = Status {
                holder: holder.map(|(host, _)| host.clone()),
                epoch: holder.map(|(_, epoch)| epoch),
                authority,
                below_floor: if authority {
                    status.below_floor.clone()
                } else {
                    Vec::new()
                },
                pending_orders,
                unready_records,
                loads: status.loads,
                unloads: status.unloads,
            };
            let changed = new != *status;
            *status = new;
            changed
        });
    }
}

/// Returns the positions and copies of the live workers whose state is known.
fn reported_workers(term: &Term, live: &[BackendId]) -> Vec<(usize, Vec<Copy>)> {
    let known = |w: &ManagedBackend| {
        w.ledger.is_ready() && w.ledger.has_report() && live.binary_search(&w.id).is_ok()
    };
    let workers = term.workers.iter().enumerate().filter(|(_, w)| known(w));
    workers.map(|(at, w)| (at, w.ledger.copies())).collect()
}

/// Returns the adapters that may be resident on a worker.
///
/// Each adapter is placed on one of the workers that hold its model, chosen by rendezvous hashing.
/// It may stay on others that hold both the model and the adapter.
fn adapters_for_worker(
    deployment: &Deployment,
    reported: &[(usize, Vec<Copy>)],
    term: &Term,
    at: usize,
    adapter_uses: &[(String, Instant)],
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
        let rank = |worker: usize| rendezvous_score(name, term.workers[worker].id.as_str(), 1.0);
        let holders = reported
            .iter()
            .filter(|(_, copies)| holds(copies, model, false));
        let holders: Vec<_> = holders.collect();
        let Some((_, copies)) = holders.iter().find(|(worker, _)| *worker == at) else {
            continue;
        };
        let preferred = holders.iter().map(|(worker, _)| *worker);
        let preferred = preferred.max_by(|a, b| rank(*a).total_cmp(&rank(*b)));
        if preferred == Some(at) || holds(copies, name, true) {
            let last_use = adapter_uses.binary_search_by(|(known, _)| known.as_str().cmp(name));
            wanted.push(Adapter {
                name: name.to_owned(),
                version: a.version.clone(),
                bytes: a.bytes,
                last_used: last_use.map_or(Instant::ZERO, |i| adapter_uses[i].1),
            });
        }
    }
    wanted
}
