//! Mutable state of a placement round.

use types::Bytes;

use crate::input::{CopyState, Demand, ModelCopy, Move, PlanInput};

/// Copy of a model on a worker, with the moves of this round applied.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlannedCopy {
    /// Index of the worker.
    pub worker: usize,
    /// Whether the copy has the configured version.
    pub current: bool,
    pub state: CopyState,
    /// Whether the worker is live.
    pub live: bool,
}

impl PlannedCopy {
    /// Returns whether the copy serves requests.
    pub(crate) fn is_serving(self) -> bool {
        self.live && self.state == CopyState::Ready
    }

    /// Returns whether the copy serves the configured version or will serve it after its load.
    pub(crate) fn will_serve_current(self) -> bool {
        self.live && self.current && self.state != CopyState::Unloading
    }
}

/// Input of a round and the moves planned so far.
///
/// Workers and models are identified by their index in the input.
pub(crate) struct Round<'a> {
    pub input: &'a PlanInput,
    /// Free memory by worker, in bytes; a planned load reduces it, a planned unload does not
    /// increase it.
    pub free: Vec<u64>,
    /// Memory by worker that pending unloads will free, in bytes.
    pub freeing: Vec<u64>,
    /// Copies by model.
    pub copies: Vec<Vec<PlannedCopy>>,
    /// Number of copies that the floor requires, by model.
    pub floor: Vec<u32>,
    /// Loads that may still be planned.
    pub remaining_loads: u32,
    pub moves: Vec<Move>,
}

impl<'a> Round<'a> {
    pub(crate) fn new(input: &'a PlanInput) -> Self {
        let mut round = Self {
            input,
            free: Vec::with_capacity(input.workers.len()),
            freeing: vec![0; input.workers.len()],
            copies: vec![Vec::new(); input.demand.len()],
            floor: vec![0; input.demand.len()],
            remaining_loads: input.max_loads,
            moves: Vec::new(),
        };
        for (w, worker) in input.workers.iter().enumerate() {
            let used: Bytes = worker.copies.iter().map(|c| c.bytes).sum();
            round.free.push(worker.memory.saturating_sub(used).get());
            for copy in &worker.copies {
                if copy.state == CopyState::Unloading {
                    round.freeing[w] += copy.bytes.get();
                }
                round.add_copy(w, copy);
            }
        }
        for placement in &input.floor {
            if let Some(m) = round.model_index(&placement.model) {
                round.floor[m] += 1;
            }
        }
        round
    }

    fn add_copy(&mut self, worker: usize, copy: &ModelCopy) {
        let Some(m) = self.model_index(&copy.model) else {
            return;
        };
        self.copies[m].push(PlannedCopy {
            worker,
            current: copy.version == self.input.demand[m].version,
            state: copy.state,
            live: self.input.workers[worker].live,
        });
    }

    pub(crate) fn model_index(&self, id: &types::ModelId) -> Option<usize> {
        self.input.demand.binary_search_by(|d| d.model.cmp(id)).ok()
    }

    pub(crate) fn demand(&self, m: usize) -> &'a Demand {
        &self.input.demand[m]
    }

    pub(crate) fn serving_copies(&self, m: usize) -> usize {
        self.copies[m].iter().filter(|c| c.is_serving()).count()
    }

    pub(crate) fn ready_elsewhere(&self, m: usize) -> bool {
        let elsewhere = &self.input.ready_elsewhere;
        elsewhere.binary_search(&self.demand(m).model).is_ok()
    }

    /// Returns whether a worker is live, has memory for a model, and does not hold its configured
    /// version.
    pub(crate) fn can_load(&self, worker: usize, m: usize) -> bool {
        self.remaining_loads > 0
            && self.input.workers[worker].live
            && self.free[worker] >= self.demand(m).bytes.get()
            && !self.holds_current(worker, m)
    }

    /// Returns whether a worker holds, loads or unloads the configured version of a model.
    pub(crate) fn holds_current(&self, worker: usize, m: usize) -> bool {
        self.copies[m]
            .iter()
            .any(|c| c.worker == worker && c.current)
    }

    pub(crate) fn order_load(&mut self, worker: usize, m: usize) {
        let demand = self.demand(m);
        self.remaining_loads -= 1;
        self.free[worker] -= demand.bytes.get();
        self.copies[m].push(PlannedCopy {
            worker,
            current: true,
            state: CopyState::Loading,
            live: true,
        });
        self.moves.push(Move::Load {
            worker: self.input.workers[worker].id.clone(),
            model: demand.model.clone(),
            version: demand.version.clone(),
            bytes: demand.bytes,
        });
    }

    /// Plans the unload of the ready copy at an index of the model's list.
    pub(crate) fn order_unload(&mut self, m: usize, at: usize) {
        let planned = self.copies[m][at];
        self.copies[m][at].state = CopyState::Unloading;
        let worker = &self.input.workers[planned.worker];
        let demand = self.demand(m);
        let copy = worker.copies.iter().find(|c| {
            c.model == demand.model
                && c.state == CopyState::Ready
                && (c.version == demand.version) == planned.current
        });
        if let Some(copy) = copy {
            self.freeing[planned.worker] += copy.bytes.get();
            self.moves.push(Move::Unload {
                worker: worker.id.clone(),
                model: copy.model.clone(),
                version: copy.version.clone(),
            });
        }
    }

    /// Reserves memory for a load that waits for unloads, so that no other load uses it.
    pub(crate) fn reserve_memory(&mut self, worker: usize, m: usize) {
        let bytes = self.demand(m).bytes.get();
        let now = self.free[worker].min(bytes);
        self.free[worker] -= now;
        self.freeing[worker] = self.freeing[worker].saturating_sub(bytes - now);
    }

    /// Returns whether a ready copy can be unloaded while the floor stays satisfied.
    pub(crate) fn has_surplus(&self, m: usize) -> bool {
        let ready = self.copies[m]
            .iter()
            .filter(|c| c.will_serve_current() && c.is_serving());
        ready.count() > (self.floor[m] as usize).max(1)
    }
}
