//! Working state of a placement round.

use types::Bytes;

use crate::input::{CopyState, Demand, ModelCopy, Move, PlanInput};

/// Copy on a worker, with the moves of this round applied.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Spot {
    pub worker: usize,
    pub current: bool,
    pub state: CopyState,
    pub live: bool,
}

impl Spot {
    /// Tells whether the copy serves requests now.
    pub(crate) fn serves(self) -> bool {
        self.live && self.state == CopyState::Ready
    }

    /// Tells whether the copy serves or will serve the version in force.
    pub(crate) fn counts(self) -> bool {
        self.live && self.current && self.state != CopyState::Unloading
    }
}

/// Input of a round and the moves decided so far.
pub(crate) struct Round<'a> {
    pub input: &'a PlanInput,
    /// Free memory per worker; a load takes it at once, an unload does not give it back.
    pub free: Vec<u64>,
    /// Memory per worker that unloads under way will give back.
    pub freeing: Vec<u64>,
    /// Copies per model.
    pub spots: Vec<Vec<Spot>>,
    /// Copies that the floor asks for, per model.
    pub floor: Vec<u32>,
    /// Loads that may still be ordered.
    pub loads: u32,
    pub moves: Vec<Move>,
}

impl<'a> Round<'a> {
    pub(crate) fn new(input: &'a PlanInput) -> Self {
        let mut round = Self {
            input,
            free: Vec::with_capacity(input.workers.len()),
            freeing: vec![0; input.workers.len()],
            spots: vec![Vec::new(); input.demand.len()],
            floor: vec![0; input.demand.len()],
            loads: input.max_loads,
            moves: Vec::new(),
        };
        for (w, worker) in input.workers.iter().enumerate() {
            let held: Bytes = worker.copies.iter().map(|h| h.bytes).sum();
            round.free.push(worker.memory.saturating_sub(held).get());
            for held in &worker.copies {
                if held.state == CopyState::Unloading {
                    round.freeing[w] += held.bytes.get();
                }
                round.note(w, held);
            }
        }
        for copy in &input.floor {
            if let Some(m) = round.model(&copy.model) {
                round.floor[m] += 1;
            }
        }
        round
    }

    fn note(&mut self, worker: usize, held: &ModelCopy) {
        let Some(m) = self.model(&held.model) else {
            return;
        };
        self.spots[m].push(Spot {
            worker,
            current: held.version == self.input.demand[m].version,
            state: held.state,
            live: self.input.workers[worker].live,
        });
    }

    pub(crate) fn model(&self, id: &types::ModelId) -> Option<usize> {
        self.input.demand.binary_search_by(|d| d.model.cmp(id)).ok()
    }

    pub(crate) fn demand(&self, m: usize) -> &'a Demand {
        &self.input.demand[m]
    }

    pub(crate) fn serving(&self, m: usize) -> usize {
        self.spots[m].iter().filter(|s| s.serves()).count()
    }

    pub(crate) fn ready_elsewhere(&self, m: usize) -> bool {
        let elsewhere = &self.input.ready_elsewhere;
        elsewhere.binary_search(&self.demand(m).model).is_ok()
    }

    /// Tells whether a worker may load a model: live, with room, and without the same version.
    pub(crate) fn can_load(&self, worker: usize, m: usize) -> bool {
        self.loads > 0
            && self.input.workers[worker].live
            && self.free[worker] >= self.demand(m).bytes.get()
            && !self.holds_current(worker, m)
    }

    /// Tells whether a worker holds, loads or unloads the version in force.
    pub(crate) fn holds_current(&self, worker: usize, m: usize) -> bool {
        self.spots[m]
            .iter()
            .any(|s| s.worker == worker && s.current)
    }

    pub(crate) fn load(&mut self, worker: usize, m: usize) {
        let demand = self.demand(m);
        self.loads -= 1;
        self.free[worker] -= demand.bytes.get();
        self.spots[m].push(Spot {
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

    /// Orders the unload of the ready copy at a position of the model's list.
    pub(crate) fn unload(&mut self, m: usize, at: usize) {
        let spot = self.spots[m][at];
        self.spots[m][at].state = CopyState::Unloading;
        let worker = &self.input.workers[spot.worker];
        let demand = self.demand(m);
        let held = worker.copies.iter().find(|h| {
            h.model == demand.model
                && h.state == CopyState::Ready
                && (h.version == demand.version) == spot.current
        });
        if let Some(held) = held {
            self.freeing[spot.worker] += held.bytes.get();
            self.moves.push(Move::Unload {
                worker: worker.id.clone(),
                model: held.model.clone(),
                version: held.version.clone(),
            });
        }
    }

    /// Sets memory aside for a load that waits for unloads, so that no other load takes it.
    pub(crate) fn claim(&mut self, worker: usize, m: usize) {
        let bytes = self.demand(m).bytes.get();
        let now = self.free[worker].min(bytes);
        self.free[worker] -= now;
        self.freeing[worker] = self.freeing[worker].saturating_sub(bytes - now);
    }

    /// Tells whether a ready copy of the model can go without hurting the floor.
    pub(crate) fn has_surplus(&self, m: usize) -> bool {
        let ready = self.spots[m].iter().filter(|s| s.counts() && s.serves());
        ready.count() > (self.floor[m] as usize).max(1)
    }
}
