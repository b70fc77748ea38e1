//! Orders to one worker that carries out an order only at the number of orders it expects.
//!
//! The worker itself is the record: an order names the number of orders that the worker has
//! accepted before, so a late copy of an order is refused once a newer one was accepted. An order
//! without an answer is therefore repeated unchanged until the number rises, and its memory counts
//! as used until then.

use types::{AdapterId, Bytes, HeldModel, Instant, Micros, ModelId, OrderOp, WorkerState};

/// Time after which an order without an effect is sent again.
const REPEAT_AFTER: Micros = Micros::from_millis(400);

/// Time for which the effect of an accepted adapter order is awaited before it counts.
const ADAPTER_DELAY: Micros = Micros::from_millis(8);

/// What an order asks of a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OrderSpec {
    /// Operation.
    pub op: OrderOp,
    /// Model, or the model of the adapter.
    pub model: ModelId,
    /// Adapter, for operations on adapters.
    pub adapter: Option<AdapterId>,
}

/// How sending an order ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SequencedOutcome {
    /// The worker carries it out.
    Accepted,
    /// What it asks for holds already.
    Holds,
    /// Another order is under way, or the number of orders differs.
    Conflict,
    /// A holder with a higher fencing token exists.
    Fenced,
    /// Another process answers at the address, or the order makes no sense to it.
    Refused,
    /// No answer came; the order may be carried out later.
    Lost,
}

/// Order that was sent and is not settled.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Pending {
    task: OrderSpec,
    expect: u64,
    /// Whether an attempt is on its way.
    sending: bool,
    repeat_at: Instant,
}

/// Orders to one worker, and what it is known to hold.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SequencedWorker {
    state: WorkerState,
    /// Whether the worker itself reported since this host took charge.
    reported: bool,
    /// Whether the number of orders is in doubt, so that any report replaces it.
    in_doubt: bool,
    pending: Option<Pending>,
    /// Accepted order that is not yet seen to be done.
    accepted: Option<OrderSpec>,
}

impl SequencedWorker {
    /// Returns what the worker holds, with the effects of orders on adapters.
    #[must_use]
    pub fn state(&self) -> &WorkerState {
        &self.state
    }

    /// Tells whether the worker reported since this host took charge.
    #[must_use]
    pub fn has_report(&self) -> bool {
        self.reported
    }

    /// Returns the order on a model that may be under way.
    #[must_use]
    pub fn model_order(&self) -> Option<&OrderSpec> {
        let sent = self.pending.as_ref().map(|p| &p.task);
        let model = |t: &&OrderSpec| t.adapter.is_none();
        self.accepted.as_ref().filter(model).or(sent.filter(model))
    }

    /// Tells whether the report of the worker is awaited to settle an order.
    #[must_use]
    pub fn awaits_report(&self) -> bool {
        self.pending.is_some() || self.accepted.is_some() || self.state.busy || !self.reported
    }

    /// Takes the state that the worker itself reported.
    ///
    /// Reports lag: one that knows of fewer orders than were accepted says nothing.
    pub fn apply_report(&mut self, state: WorkerState) {
        self.take(state, true);
    }

    /// Takes the state that the worker registered, which counts until its first report.
    ///
    /// A registration does not tell the number of orders, so within a life reports go before it.
    pub fn apply_registration(&mut self, state: WorkerState) {
        if state.incarnation > self.state.incarnation || !self.reported {
            self.take(state, false);
        }
    }

    fn take(&mut self, state: WorkerState, reported: bool) {
        if state.incarnation < self.state.incarnation {
            return;
        }
        if state.incarnation > self.state.incarnation {
            *self = Self::default();
        } else if state.orders < self.state.orders && !(reported && self.in_doubt) {
            return;
        }
        if self
            .pending
            .as_ref()
            .is_some_and(|p| state.orders > p.expect)
        {
            self.pending = None;
        }
        // A registration does not say whether an order is under way.
        if reported && self.accepted.as_ref().is_some_and(|t| is_done(t, &state)) {
            self.accepted = None;
        }
        self.reported |= reported;
        self.in_doubt &= !reported;
        let busy = if reported {
            state.busy
        } else {
            self.state.busy
        };
        self.state = WorkerState { busy, ..state };
    }

    /// Tells whether a task was sent and is not settled.
    #[must_use]
    pub fn is_pending(&self, task: &OrderSpec) -> bool {
        self.pending.as_ref().is_some_and(|p| p.task == *task)
    }

    /// Tells whether an order on a model may be sent now.
    #[must_use]
    pub fn may_order_model(&self) -> bool {
        self.may_order_adapter() && self.accepted.is_none() && !self.state.busy
    }

    /// Tells whether an order on an adapter may be sent now.
    #[must_use]
    pub fn may_order_adapter(&self) -> bool {
        let unloads = |t: &OrderSpec| t.op == OrderOp::UnloadAdapter;
        let free = !self.accepted.as_ref().is_some_and(unloads);
        self.reported && self.pending.is_none() && free
    }

    /// Notes an order that is sent now; returns the number of orders that it expects.
    pub fn begin_send(&mut self, now: Instant, task: OrderSpec) -> u64 {
        let expect = self.state.orders;
        self.pending = Some(Pending {
            task,
            expect,
            sending: true,
            repeat_at: now + REPEAT_AFTER,
        });
        expect
    }

    /// Returns the order that must be sent again because nothing is known of its effect.
    pub fn take_resend(&mut self, now: Instant) -> Option<(OrderSpec, u64)> {
        let pending = self.pending.as_mut()?;
        if pending.sending || now < pending.repeat_at {
            return None;
        }
        pending.sending = true;
        pending.repeat_at = now + REPEAT_AFTER;
        Some((pending.task.clone(), pending.expect))
    }

    /// Takes the outcome of sending an order that expected a number of orders.
    ///
    /// Returns the task if it is done or will be within the time of an adapter load.
    pub fn finish_send(&mut self, expect: u64, outcome: SequencedOutcome) -> Option<OrderSpec> {
        let pending = self.pending.as_mut().filter(|p| p.expect == expect)?;
        pending.sending = false;
        let task = pending.task.clone();
        match outcome {
            SequencedOutcome::Accepted if task.op == OrderOp::UnloadAdapter => {
                // The adapter is in use; the worker counts the order once its requests have ended,
                // and refuses others until then.
                self.pending = None;
                self.accepted = Some(task);
                None
            }
            SequencedOutcome::Accepted => {
                self.pending = None;
                self.state.orders += 1;
                self.apply(&task);
                task.adapter.is_some().then_some(task)
            }
            SequencedOutcome::Holds => {
                self.pending = None;
                // An adapter that nobody uses is unloaded at once, and that counts as an order.
                self.state.orders += u64::from(task.op == OrderOp::UnloadAdapter);
                self.apply(&task);
                self.accepted = None;
                Some(task)
            }
            SequencedOutcome::Conflict | SequencedOutcome::Fenced | SequencedOutcome::Refused => {
                self.pending = None;
                self.reported = false;
                self.in_doubt = true;
                None
            }
            SequencedOutcome::Lost => None,
        }
    }

    fn apply(&mut self, task: &OrderSpec) {
        let found = self
            .state
            .models
            .binary_search_by(|m| m.id.cmp(&task.model));
        match (&task.adapter, found) {
            (None, _) => self.accepted = Some(task.clone()),
            (Some(adapter), Ok(at)) => apply_adapter(&mut self.state.models[at], task.op, adapter),
            (Some(_), Err(_)) => {}
        }
    }

    /// Returns the memory that is or may come to be in use, adapters left out.
    #[must_use]
    pub fn reserved(&self, size: impl Fn(&ModelId) -> Bytes) -> Bytes {
        let held = self.state.models.iter().map(|m| &m.id);
        let coming = [
            self.accepted.as_ref(),
            self.pending.as_ref().map(|p| &p.task),
        ];
        let coming = coming.into_iter().flatten();
        let coming = coming.filter(|t| t.op == OrderOp::Load).map(|t| &t.model);
        let mut all: Vec<&ModelId> = held.chain(coming).collect();
        all.sort();
        all.dedup();
        all.into_iter().map(size).sum()
    }

    /// Returns the time after which an accepted order on an adapter has its effect.
    #[must_use]
    pub const fn adapter_delay() -> Micros {
        ADAPTER_DELAY
    }
}

/// Tells whether a report shows that an accepted order is done.
fn is_done(task: &OrderSpec, state: &WorkerState) -> bool {
    let Some(adapter) = &task.adapter else {
        return !state.busy;
    };
    let held = state.model(&task.model);
    held.is_none_or(|m| m.adapters.binary_search(adapter).is_err())
}

fn apply_adapter(held: &mut HeldModel, op: OrderOp, adapter: &AdapterId) {
    match (op, held.adapters.binary_search(adapter)) {
        (OrderOp::LoadAdapter, Err(at)) => held.adapters.insert(at, adapter.clone()),
        (OrderOp::UnloadAdapter, Ok(at)) => drop(held.adapters.remove(at)),
        _ => {}
    }
}
