//! Orders to a worker that checks the order count as a precondition.
//!
//! No record is stored: an order names the number of orders that the worker must have accepted
//! before, like a compare-and-set, so the worker refuses a late duplicate once it has accepted a
//! newer order. An order without a response is therefore resent unchanged until the order count
//! rises, and its memory counts as used until then.

use types::{AdapterId, Bytes, Instant, Micros, ModelId, OrderOp, ServedModel, WorkerState};

/// Interval between attempts to send an order whose effect is unknown.
const RESEND_INTERVAL: Micros = Micros::from_millis(400);

/// Delay after which an accepted adapter load is assumed to have taken effect.
const ADAPTER_DELAY: Micros = Micros::from_millis(8);

/// Specification of an order to a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OrderSpec {
    /// Operation.
    pub op: OrderOp,
    /// Model, or the base model of the adapter.
    pub model: ModelId,
    /// Adapter, for operations on adapters.
    pub adapter: Option<AdapterId>,
}

/// Outcome of an attempt to send an order to a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SequencedOutcome {
    /// The worker accepted the order and is carrying it out.
    Accepted,
    /// The requested state holds already.
    Holds,
    /// The worker is carrying out another order, or its order count differs from the expected one.
    Conflict,
    /// The worker has seen a higher fencing token.
    Fenced,
    /// The order is invalid for the worker, or another process uses its address.
    Refused,
    /// No response arrived; the order may still be carried out.
    Lost,
}

/// Order that was sent and whose effect is unknown.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Pending {
    order: OrderSpec,
    /// Order count that the order expects.
    expect: u64,
    /// Whether an attempt is in flight.
    sending: bool,
    /// Earliest instant of the next attempt.
    next_send: Instant,
}

/// State of one worker that accepts orders in sequence, and the order that is pending for it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SequencedWorker {
    state: WorkerState,
    /// Whether a report arrived since this value was created, the worker restarted or an order was
    /// rejected.
    has_report: bool,
    /// Whether the known order count may be wrong, so that the next report replaces it.
    count_uncertain: bool,
    pending: Option<Pending>,
    /// Accepted order that no report has shown as finished yet.
    accepted: Option<OrderSpec>,
}

impl SequencedWorker {
    /// Returns the last known state, including the expected effect of adapter orders.
    #[must_use]
    pub fn state(&self) -> &WorkerState {
        &self.state
    }

    /// Returns whether the state is based on a report of the worker.
    #[must_use]
    pub fn has_report(&self) -> bool {
        self.has_report
    }

    /// Returns the model order that the worker may be carrying out.
    #[must_use]
    pub fn model_order(&self) -> Option<&OrderSpec> {
        let sent = self.pending.as_ref().map(|p| &p.order);
        let model = |o: &&OrderSpec| o.adapter.is_none();
        self.accepted.as_ref().filter(model).or(sent.filter(model))
    }

    /// Returns whether a report is needed to learn the state of the worker or settle an order.
    #[must_use]
    pub fn awaits_report(&self) -> bool {
        self.pending.is_some() || self.accepted.is_some() || self.state.busy || !self.has_report
    }

    /// Applies a state that the worker reported.
    ///
    /// Reports can lag behind, so one with a lower order count than already accepted is ignored.
    pub fn apply_report(&mut self, state: WorkerState) {
        self.update(state, true);
    }

    /// Applies a state that the worker registered, which is used until its first report.
    ///
    /// A registration lacks the order count, so reports of the same incarnation take precedence.
    pub fn apply_registration(&mut self, state: WorkerState) {
        if state.incarnation > self.state.incarnation || !self.has_report {
            self.update(state, false);
        }
    }

    fn update(&mut self, state: WorkerState, reported: bool) {
        if state.incarnation < self.state.incarnation {
            return;
        }
        if state.incarnation > self.state.incarnation {
            *self = Self::default();
        } else if state.orders < self.state.orders && !(reported && self.count_uncertain) {
            return;
        }
        if self
            .pending
            .as_ref()
            .is_some_and(|p| state.orders > p.expect)
        {
            self.pending = None;
        }
        // A registration does not state whether the worker is carrying out an order.
        if reported
            && self
                .accepted
                .as_ref()
                .is_some_and(|o| is_finished(o, &state))
        {
            self.accepted = None;
        }
        self.has_report |= reported;
        self.count_uncertain &= !reported;
        let busy = if reported {
            state.busy
        } else {
            self.state.busy
        };
        self.state = WorkerState { busy, ..state };
    }

    /// Returns whether this order was sent and its effect is unknown.
    #[must_use]
    pub fn is_pending(&self, order: &OrderSpec) -> bool {
        self.pending.as_ref().is_some_and(|p| p.order == *order)
    }

    /// Returns whether a model order may be sent now.
    #[must_use]
    pub fn may_order_model(&self) -> bool {
        self.may_order_adapter()
    }

    /// Returns whether an adapter order may be sent now.
    ///
    /// A worker refuses all orders while it loads or unloads a model, which takes seconds.
    #[must_use]
    pub fn may_order_adapter(&self) -> bool {
        self.has_report && self.pending.is_none() && self.accepted.is_none() && !self.state.busy
    }

    /// Registers the first attempt to send an order and returns the order count that it expects.
    pub fn begin_send(&mut self, now: Instant, order: OrderSpec) -> u64 {
        let expect = self.state.orders;
        self.pending = Some(Pending {
            order,
            expect,
            sending: true,
            next_send: now + RESEND_INTERVAL,
        });
        expect
    }

    /// Returns the pending order and its expected order count if another attempt is due, and
    /// registers that attempt.
    pub fn take_resend(&mut self, now: Instant) -> Option<(OrderSpec, u64)> {
        let pending = self.pending.as_mut()?;
        if pending.sending || now < pending.next_send {
            return None;
        }
        pending.sending = true;
        pending.next_send = now + RESEND_INTERVAL;
        Some((pending.order.clone(), pending.expect))
    }

    /// Applies the outcome of an attempt to send the order that expected the order count `expect`.
    ///
    /// Returns the order if it has taken effect or will within [`Self::adapter_delay`].
    pub fn finish_send(&mut self, expect: u64, outcome: SequencedOutcome) -> Option<OrderSpec> {
        let pending = self.pending.as_mut().filter(|p| p.expect == expect)?;
        pending.sending = false;
        let order = pending.order.clone();
        match outcome {
            SequencedOutcome::Accepted if order.op == OrderOp::UnloadAdapter => {
                // The adapter is in use: the worker counts the order once the requests that use it
                // have ended, and refuses other orders until then.
                self.pending = None;
                self.accepted = Some(order);
                None
            }
            SequencedOutcome::Accepted => {
                self.pending = None;
                self.state.orders = self.state.orders.saturating_add(1);
                self.apply_effect(&order);
                order.adapter.is_some().then_some(order)
            }
            SequencedOutcome::Holds => {
                self.pending = None;
                // An unused adapter is unloaded immediately, which the worker counts as an order.
                let counted = u64::from(order.op == OrderOp::UnloadAdapter);
                self.state.orders = self.state.orders.saturating_add(counted);
                self.apply_effect(&order);
                self.accepted = None;
                Some(order)
            }
            SequencedOutcome::Conflict | SequencedOutcome::Fenced | SequencedOutcome::Refused => {
                self.pending = None;
                self.has_report = false;
                self.count_uncertain = true;
                None
            }
            SequencedOutcome::Lost => None,
        }
    }

    /// Applies the expected effect of an accepted order to the known state.
    fn apply_effect(&mut self, order: &OrderSpec) {
        let found = self
            .state
            .models
            .binary_search_by(|m| m.id.cmp(&order.model));
        match (&order.adapter, found) {
            (None, _) => self.accepted = Some(order.clone()),
            (Some(adapter), Ok(at)) => apply_adapter(&mut self.state.models[at], order.op, adapter),
            (Some(_), Err(_)) => {}
        }
    }

    /// Returns the memory of models that is or may come into use; `size` gives that of one model.
    #[must_use]
    pub fn reserved(&self, size: impl Fn(&ModelId) -> Bytes) -> Bytes {
        let held = self.state.models.iter().map(|m| &m.id);
        let loading = [
            self.accepted.as_ref(),
            self.pending.as_ref().map(|p| &p.order),
        ];
        let loading = loading.into_iter().flatten();
        let loading = loading.filter(|o| o.op == OrderOp::Load).map(|o| &o.model);
        let mut all: Vec<&ModelId> = held.chain(loading).collect();
        all.sort();
        all.dedup();
        all.into_iter().map(size).sum()
    }

    /// Returns the delay after which an accepted adapter load is assumed to have taken effect.
    #[must_use]
    pub const fn adapter_delay() -> Micros {
        ADAPTER_DELAY
    }
}

/// Returns whether a report shows that an accepted order has finished.
fn is_finished(order: &OrderSpec, state: &WorkerState) -> bool {
    let Some(adapter) = &order.adapter else {
        return !state.busy;
    };
    let held = state.model(&order.model);
    held.is_none_or(|m| m.adapters.binary_search(adapter).is_err())
}

fn apply_adapter(held: &mut ServedModel, op: OrderOp, adapter: &AdapterId) {
    match (op, held.adapters.binary_search(adapter)) {
        (OrderOp::LoadAdapter, Err(at)) => held.adapters.insert(at, adapter.clone()),
        (OrderOp::UnloadAdapter, Ok(at)) => drop(held.adapters.remove(at)),
        _ => {}
    }
}
