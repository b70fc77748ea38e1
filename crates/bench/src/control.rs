//! Placement controllers of the data centres, weight store and orders to workers.

use place::{CopyState, Demand, ModelCopy, Move, PlanInput};
use types::{Bytes, Instant, Micros, ModelId};

use crate::{
    simulation::{PendingOrder, Simulation, dc_id, name_index},
    spec::BASE_TOKENS_PER_SECOND,
};

impl Simulation<'_> {
    pub(crate) fn floor(&self) -> Vec<place::Placement> {
        place::floor(&self.deployment, place::memory_headroom(&self.deployment))
            .expect("the reference deployments fit")
    }

    pub(crate) fn run_placement(&mut self) {
        let now = self.now;
        self.weight_loads.retain(|done| *done > now);
        for dc in 0..self.spec.dcs {
            let input = self.plan_input(dc);
            let requested = std::mem::take(&mut self.placement_requests[dc]);
            let last_used = |c: &place::Placement| {
                let last = self.workers[name_index(c.worker.as_str())].last_used.iter();
                last.filter(|l| l.0 == c.model)
                    .map(|l| l.1)
                    .max()
                    .unwrap_or_default()
            };
            for m in self.place.plan(&input, &requested, &last_used) {
                self.execute_move(m);
            }
        }
    }

    pub(crate) fn plan_input(&self, dc: usize) -> PlanInput {
        let mut rates = vec![(0.0, 0.0); self.deployment.models.len()];
        for host in self.hosts_of(dc) {
            for (sum, rate) in rates.iter_mut().zip(self.hosts[host].demand(self.now)) {
                *sum = (sum.0 + rate.0, sum.1 + rate.1);
            }
        }
        let demand = self
            .deployment
            .models
            .iter()
            .zip(rates)
            .map(|(m, rate)| Demand {
                model: m.id.clone(),
                version: m.version.clone(),
                bytes: m.bytes,
                priority: m.priority.get(),
                tokens_per_second: rate.0,
                missed_per_second: rate.1,
            });
        let workers = self.workers.iter().enumerate().filter(|(_, w)| w.dc == dc);
        let workers = workers.map(|(at, w)| place::Worker {
            id: self.deployment.backends[at].id.clone(),
            dc: dc_id(dc),
            memory: w.memory,
            accelerators: 1,
            speed: w.speed,
            live: w.live,
            copies: w.copies.clone(),
        });
        let others = |m: &&ModelId| (0..self.spec.dcs).any(|d| d != dc && self.ready_in(d, m));
        let models = self.deployment.models.iter().map(|m| &m.id);
        let mut floor = self.floor();
        floor.retain(|c| self.workers[name_index(c.worker.as_str())].dc == dc);
        PlanInput {
            objective: self.spec.objective,
            workers: workers.collect(),
            demand: demand.collect(),
            floor,
            ready_elsewhere: models.filter(others).cloned().collect(),
            base_tokens_per_second: BASE_TOKENS_PER_SECOND * 0.8,
            max_loads: u32::try_from(self.weight_loads.len())
                .map_or(0, |busy| self.spec.slots.saturating_sub(busy)),
        }
    }

    pub(crate) fn execute_move(&mut self, m: Move) {
        self.metrics.moves += 1;
        match m {
            Move::Load {
                worker,
                model,
                version,
                bytes,
            } => {
                // When all slots are busy, a load starts as soon as an earlier one ends.
                let length = Micros::new(u64::from(self.spec.slots) * 1_000_000 * 10 / 14);
                self.weight_loads.sort_unstable();
                let queued = self
                    .weight_loads
                    .len()
                    .checked_sub(self.spec.slots as usize);
                let start = queued.map_or(self.now, |at| self.weight_loads[at]);
                self.weight_loads.push(start + length);
                let state = CopyState::Loading;
                let copy = ModelCopy {
                    model,
                    version,
                    bytes,
                    state,
                };
                self.enqueue_order(start + length, name_index(worker.as_str()), copy);
            }
            Move::Unload {
                worker,
                model,
                version,
            } => {
                let w = name_index(worker.as_str());
                let is = |h: &&ModelCopy| h.model == model && h.version == version;
                let bytes = self.workers[w]
                    .copies
                    .iter()
                    .find(is)
                    .map_or(Bytes::ZERO, |h| h.bytes);
                let state = CopyState::Unloading;
                let copy = ModelCopy {
                    model,
                    version,
                    bytes,
                    state,
                };
                self.enqueue_order(self.now + Micros::from_millis(500), w, copy);
            }
        }
    }

    /// Adds an order and asserts that its model copy fits in the worker's memory.
    pub(crate) fn enqueue_order(&mut self, at: Instant, w: usize, copy: ModelCopy) {
        let worker = &mut self.workers[w];
        worker
            .copies
            .retain(|h| h.model != copy.model || h.version != copy.version);
        worker.copies.push(copy.clone());
        worker
            .copies
            .sort_by(|a, b| (&a.model, &a.version).cmp(&(&b.model, &b.version)));
        assert!(
            worker.memory_used() <= worker.memory,
            "memory of worker {w} is overcommitted"
        );
        self.pending.push(PendingOrder {
            at,
            worker: w,
            copy,
        });
    }

    pub(crate) fn complete_orders(&mut self) {
        let now = self.now;
        while let Some(at) = self.pending.iter().position(|p| p.at <= now) {
            let order = self.pending.remove(at);
            let copies = &mut self.workers[order.worker].copies;
            let same =
                |h: &ModelCopy| h.model == order.copy.model && h.version == order.copy.version;
            if order.copy.state == CopyState::Unloading {
                copies.retain(|h| !same(h));
            } else if let Some(h) = copies.iter_mut().find(|h| same(h)) {
                h.state = CopyState::Ready;
            }
        }
    }
}
