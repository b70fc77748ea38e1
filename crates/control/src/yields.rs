//! Answers to the question whether an epoch was given up.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use types::Epoch;

/// Epochs that this process holds or still sends orders of.
#[derive(Clone, Debug, Default)]
pub struct Yields {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    current: Option<Epoch>,
    /// Highest epoch that was answered as given up; no term at or below it may begin.
    barred: Epoch,
    /// Epoch of each order that is being sent.
    sending: Vec<Epoch>,
}

/// Order that is being sent; dropping it says that no more of it leaves the process.
#[derive(Debug)]
pub(crate) struct Sending {
    yields: Yields,
    epoch: Epoch,
}

impl Yields {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells whether no order of an epoch can leave this process any more.
    ///
    /// Once the answer is yes, no term with this or a lower epoch begins here.
    #[must_use]
    pub fn gave_up(&self, epoch: Epoch) -> bool {
        let mut state = self.lock();
        let open =
            state.current.is_some_and(|current| current <= epoch) || state.sending.contains(&epoch);
        if !open {
            state.barred = state.barred.max(epoch);
        }
        !open
    }

    /// Tells whether a peer learned that an epoch was given up.
    pub(crate) fn was_told(&self, epoch: Epoch) -> bool {
        self.lock().barred >= epoch
    }

    /// Begins a term unless its epoch was answered as given up.
    pub(crate) fn begin(&self, epoch: Epoch) -> bool {
        let mut state = self.lock();
        let allowed = epoch > state.barred;
        if allowed {
            state.current = Some(epoch);
        }
        allowed
    }

    pub(crate) fn end(&self) {
        self.lock().current = None;
    }

    /// Registers an order that is about to be sent, unless its term is over.
    pub(crate) fn sending(&self, epoch: Epoch) -> Option<Sending> {
        let mut state = self.lock();
        if state.current != Some(epoch) {
            return None;
        }
        state.sending.push(epoch);
        Some(Sending {
            yields: self.clone(),
            epoch,
        })
    }

    pub(crate) fn is_sending(&self) -> bool {
        !self.lock().sending.is_empty()
    }
}

impl Drop for Sending {
    fn drop(&mut self) {
        let mut state = self.yields.lock();
        if let Some(at) = state.sending.iter().position(|e| *e == self.epoch) {
            state.sending.swap_remove(at);
        }
    }
}
