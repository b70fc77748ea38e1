//! Tracking of the epochs under which this process may send orders.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use types::Epoch;

/// Current epoch, retired epochs and orders in flight of this process.
#[derive(Clone, Debug, Default)]
pub struct EpochTracker {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    current: Option<Epoch>,
    /// Highest epoch that was retired; no term at or below it may begin.
    retired: Epoch,
    /// Epoch of each order that is being sent.
    in_flight: Vec<Epoch>,
}

/// Guard of an order that is being sent; dropped once no more of the order can leave the process.
#[derive(Debug)]
pub(crate) struct InFlightOrder {
    tracker: EpochTracker,
    epoch: Epoch,
}

impl EpochTracker {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Retires an epoch if no order of it can leave this process any more.
    ///
    /// Returns whether the epoch is retired. Once it is, no term with this or a lower epoch begins
    /// in this process.
    #[must_use]
    pub fn try_retire(&self, epoch: Epoch) -> bool {
        let mut state = self.lock();
        let open = state.current.is_some_and(|current| current <= epoch)
            || state.in_flight.contains(&epoch);
        if !open {
            state.retired = state.retired.max(epoch);
        }
        !open
    }

    /// Returns whether an epoch was retired, usually at the request of a peer.
    pub(crate) fn is_retired(&self, epoch: Epoch) -> bool {
        self.lock().retired >= epoch
    }

    /// Begins a term unless its epoch was retired; returns whether it began.
    pub(crate) fn begin(&self, epoch: Epoch) -> bool {
        let mut state = self.lock();
        let allowed = epoch > state.retired;
        if allowed {
            state.current = Some(epoch);
        }
        allowed
    }

    pub(crate) fn end(&self) {
        self.lock().current = None;
    }

    /// Registers an order that is about to be sent; returns `None` if its term is over.
    pub(crate) fn begin_sending(&self, epoch: Epoch) -> Option<InFlightOrder> {
        let mut state = self.lock();
        if state.current != Some(epoch) {
            return None;
        }
        state.in_flight.push(epoch);
        Some(InFlightOrder {
            tracker: self.clone(),
            epoch,
        })
    }

    pub(crate) fn is_sending(&self) -> bool {
        !self.lock().in_flight.is_empty()
    }
}

impl Drop for InFlightOrder {
    fn drop(&mut self) {
        let mut state = self.tracker.lock();
        if let Some(at) = state.in_flight.iter().position(|e| *e == self.epoch) {
            state.in_flight.swap_remove(at);
        }
    }
}
