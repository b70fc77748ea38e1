//! Placement of adapters that callers wait for.

use orders::OrderSpec;
use types::{AdapterId, BackendId, Instant, Micros, OrderOp, rendezvous_score};

use super::{Fleet, FleetAction, PlacementRequest};

/// Time without use after which an adapter may be evicted for another one.
///
/// Hosts report the adapters in use every second, so one that goes unreported for longer is idle.
/// Unloading an adapter that is in use would block every other order to its worker.
const ADAPTER_IDLE_TIME: Micros = Micros::from_millis(1_800);

impl Fleet {
    /// Orders loads of the adapters that callers wait for.
    pub(super) fn place_adapters(&mut self, now: Instant, actions: &mut Vec<FleetAction>) {
        let wanted = self.requests.iter().map(|r| r.item.clone());
        let mut wanted: Vec<PlacementRequest> = wanted.filter(|i| i.adapter.is_some()).collect();
        wanted.sort();
        wanted.dedup();
        for item in wanted {
            let task = OrderSpec {
                op: OrderOp::LoadAdapter,
                model: item.model,
                adapter: item.adapter,
            };
            if !self.is_being_sent(now, &task) {
                self.place_adapter(now, task, item.worker.as_ref(), actions);
            }
        }
    }

    /// Returns whether an order was sent, has an unknown effect and will be sent again.
    fn is_being_sent(&self, now: Instant, task: &OrderSpec) -> bool {
        let mut pending = self.workers.iter().filter(|w| w.ledger.is_pending(task));
        pending.any(|w| self.is_usable(w) && !self.is_held_off(now, w))
    }

    fn place_adapter(
        &mut self,
        now: Instant,
        task: OrderSpec,
        required: Option<&BackendId>,
        actions: &mut Vec<FleetAction>,
    ) {
        let Some(adapter) = task.adapter.clone() else {
            return;
        };
        let mut eligible = self.holders(&task.model, None);
        eligible.retain(|at| {
            let worker = &self.workers[*at];
            let on_worker = required.is_none_or(|id| worker.registration.id == *id);
            on_worker && worker.ledger.may_order_adapter() && !self.is_held_off(now, worker)
        });
        let rank = |at: &usize| {
            let id = self.workers[*at].registration.id.as_str();
            rendezvous_score(adapter.as_str(), id, 1.0)
        };
        eligible.sort_by(|a, b| rank(b).total_cmp(&rank(a)));
        let free = eligible
            .iter()
            .copied()
            .find(|at| self.free_adapter_slots(*at) > 0);
        if let Some(at) = free {
            self.record_use_on_worker(at, &adapter, now);
            return self.issue(now, at, task, actions);
        }
        let candidates = eligible
            .iter()
            .filter_map(|at| self.least_recently_used_adapter(*at, now));
        if let Some((_, at, unload)) = candidates.min_by_key(|(used, ..)| *used) {
            self.issue(now, at, unload, actions);
        }
    }

    fn free_adapter_slots(&self, at: usize) -> usize {
        let worker = &self.workers[at];
        let engine = self.engine_spec(&worker.registration.service);
        let slots = engine.map_or(0, |e| e.adapter_slots as usize);
        slots.saturating_sub(worker.ledger.state().adapters())
    }

    fn record_use_on_worker(&mut self, at: usize, adapter: &AdapterId, now: Instant) {
        let uses = &mut self.workers[at].adapter_uses;
        match uses.binary_search_by(|(a, _)| a.cmp(adapter)) {
            Ok(found) => uses[found].1 = now,
            Err(place) => uses.insert(place, (adapter.clone(), now)),
        }
    }

    /// Returns the last use of the least recently used adapter of a worker, and the task that
    /// unloads it.
    ///
    /// Returns `None` if every adapter was used within [`ADAPTER_IDLE_TIME`].
    fn least_recently_used_adapter(
        &self,
        at: usize,
        now: Instant,
    ) -> Option<(Instant, usize, OrderSpec)> {
        let worker = &self.workers[at];
        let last_use = |adapter: &AdapterId| {
            let found = worker
                .adapter_uses
                .binary_search_by(|(a, _)| a.cmp(adapter));
            found.map_or(Instant::ZERO, |found| worker.adapter_uses[found].1)
        };
        let held = worker.ledger.state().models.iter();
        let held = held.flat_map(|m| m.adapters.iter().map(move |a| (&m.id, a)));
        let (used, model, adapter) = held
            .map(|(m, a)| (last_use(a), m, a))
            .min_by_key(|(used, ..)| *used)?;
        let is_idle = now.since(used) >= ADAPTER_IDLE_TIME;
        is_idle.then(|| {
            let task = OrderSpec {
                op: OrderOp::UnloadAdapter,
                model: model.clone(),
                adapter: Some(adapter.clone()),
            };
            (used, at, task)
        })
    }
}
