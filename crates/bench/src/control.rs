//! Placement controllers of the data centres, the weight store, and orders to workers.

use place::{CopyState, Demand, ModelCopy, Move, PlanInput};
use types::{Bytes, Instant, Micros, ModelId};

use crate::{
    spec::BASE_TOKENS,
    world::{Pending, World, dc_id, index},
};

impl World<'_> {
    pub(crate) fn floor(&self) -> Vec<place::Placement> {
        place::floor(&self.deployment, place::memory_headroom(&self.deployment))
            .expect("the reference deployments fit")
    }

    pub(crate) fn place(&mut self) {
        let now = self.now;
        self.store.retain(|done| *done > now);
        for dc in 0..self.spec.dcs {
            let input = self.input(dc);
            let wants = std::mem::take(&mut self.wants[dc]);
            let used = |c: &place::Placement| {
                let last = self.workers[index(c.worker.as_str())].last_used.iter();
                last.filter(|l| l.0 == c.model)
                    .map(|l| l.1)
                    .max()
                    .unwrap_or_default()
            };
            for m in self.place.plan(&input, &wants, &used) {
                self.order(m);
            }
        }
    }

    pub(crate) fn input(&self, dc: usize) -> PlanInput {
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
            copies: w.held.clone(),
        });
        let others = |m: &&ModelId| (0..self.spec.dcs).any(|d| d != dc && self.ready_in(d, m));
        let models = self.deployment.models.iter().map(|m| &m.id);
        let mut floor = self.floor();
        floor.retain(|c| self.workers[index(c.worker.as_str())].dc == dc);
        PlanInput {
            objective: self.spec.objective,
            workers: workers.collect(),
            demand: demand.collect(),
            floor,
            ready_elsewhere: models.filter(others).cloned().collect(),
            base_tokens_per_second: BASE_TOKENS * 0.8,
            max_loads: u32::try_from(self.store.len())
                .map_or(0, |busy| self.spec.slots.saturating_sub(busy)),
        }
    }

    pub(crate) fn order(&mut self, m: Move) {
        self.out.moves += 1;
        match m {
            Move::Load {
                worker,
                model,
                version,
                bytes,
            } => {
                // Loads beyond the slots wait for the earliest that ends.
                let length = Micros::new(u64::from(self.spec.slots) * 1_000_000 * 10 / 14);
                self.store.sort_unstable();
                let queued = self.store.len().checked_sub(self.spec.slots as usize);
                let start = queued.map_or(self.now, |at| self.store[at]);
                self.store.push(start + length);
                let state = CopyState::Loading;
                let held = ModelCopy {
                    model,
                    version,
                    bytes,
                    state,
                };
                self.set(start + length, index(worker.as_str()), held);
            }
            Move::Unload {
                worker,
                model,
                version,
            } => {
                let w = index(worker.as_str());
                let is = |h: &&ModelCopy| h.model == model && h.version == version;
                let bytes = self.workers[w]
                    .held
                    .iter()
                    .find(is)
                    .map_or(Bytes::ZERO, |h| h.bytes);
                let state = CopyState::Unloading;
                let held = ModelCopy {
                    model,
                    version,
                    bytes,
                    state,
                };
                self.set(self.now + Micros::from_millis(500), w, held);
            }
        }
    }

    /// Enters an order and checks that the worker's memory holds it.
    pub(crate) fn set(&mut self, at: Instant, w: usize, held: ModelCopy) {
        let worker = &mut self.workers[w];
        worker
            .held
            .retain(|h| h.model != held.model || h.version != held.version);
        worker.held.push(held.clone());
        worker
            .held
            .sort_by(|a, b| (&a.model, &a.version).cmp(&(&b.model, &b.version)));
        assert!(
            worker.used() <= worker.memory,
            "memory of worker {w} is overcommitted"
        );
        self.pending.push(Pending {
            at,
            worker: w,
            held,
        });
    }

    pub(crate) fn finish_orders(&mut self) {
        let now = self.now;
        while let Some(at) = self.pending.iter().position(|p| p.at <= now) {
            let order = self.pending.remove(at);
            let held = &mut self.workers[order.worker].held;
            let same =
                |h: &ModelCopy| h.model == order.held.model && h.version == order.held.version;
            if order.held.state == CopyState::Unloading {
                held.retain(|h| !same(h));
            } else if let Some(h) = held.iter_mut().find(|h| same(h)) {
                h.state = CopyState::Ready;
            }
        }
    }
}
