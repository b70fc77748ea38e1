//! State machine that maintains the record of one backend server.

use types::{Bytes, Epoch, HostId, Incarnation, Instant, LoadReport, Micros, OrderId, Resident};

use crate::{
    copies::{self, Copy},
    event::{Action, Event, Limits, NewOrder, SendOutcome},
    progress::{Progress, Sample},
    record::{PendingOrder, Record, Sender, is_adapter, is_load},
};

/// Interval between platform calls that keep failing.
const RETRY_INTERVAL: Micros = Micros::from_millis(500);

/// Interval between two checks of whether former senders have stopped.
const SENDER_CHECK_INTERVAL: Micros = Micros::from_secs(1);

/// Safety mechanisms of a ledger; tests disable one at a time to show that it is needed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Checks {
    /// Raise the epoch of the record before using it in any other way.
    pub raise_epoch_first: bool,
    /// Record an order before sending it.
    pub record_before_send: bool,
    /// Keep an order of a former lease holder until none of its attempts can still arrive.
    pub await_former_senders: bool,
}

impl Default for Checks {
    fn default() -> Self {
        Self {
            raise_epoch_first: true,
            record_before_send: true,
            await_former_senders: true,
        }
    }
}

/// Order ledger of one backend server for one term of a lease holder.
///
/// `R` is the revision type of the platform, which conditional updates compare.
#[derive(Clone, Debug, PartialEq)]
pub struct Ledger<R> {
    sender: Sender,
    limits: Limits,
    checks: Checks,
    /// Record and its revision, as last read or written.
    stored: Option<(Record, R)>,
    state: State,
    in_flight: Option<Call>,
    needs_read: bool,
    next_call: Instant,
    /// Earliest instant of the call that follows the next failure.
    next_retry: Instant,
    next_sender_check: Instant,
    /// Orders that are submitted and not recorded yet.
    new_orders: Vec<NewOrder>,
    progress: Vec<Progress>,
    engine: Option<EngineMemory>,
    /// Reports that may have been sampled before this instant are ignored as stale.
    min_sample_time: Instant,
    /// Senders that can send no more orders, with the instant at which that was known.
    stopped_senders: Vec<(Sender, Instant)>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    /// The record does not carry the epoch of this term yet.
    RaisingEpoch,
    /// The record carries the epoch of this term.
    Ready,
    /// A holder with a higher epoch exists; the ledger is inactive.
    Superseded,
}

/// Platform call that has no result yet.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Call {
    Read,
    Write(Record),
}

/// Memory of the engine according to the newest report.
#[derive(Clone, Debug, Eq, PartialEq)]
struct EngineMemory {
    incarnation: Incarnation,
    memory: Bytes,
    residents: Vec<Resident>,
}

impl<R: Clone + Eq> Ledger<R> {
    /// Creates the ledger of a backend server for the term of `epoch`, held by `host`.
    #[must_use]
    pub fn new(host: HostId, epoch: Epoch, limits: Limits) -> Self {
        Self {
            sender: Sender { host, epoch },
            limits,
            checks: Checks::default(),
            stored: None,
            state: State::RaisingEpoch,
            in_flight: None,
            needs_read: true,
            next_call: Instant::ZERO,
            next_retry: Instant::ZERO,
            next_sender_check: Instant::ZERO,
            new_orders: Vec::new(),
            progress: Vec::new(),
            engine: None,
            min_sample_time: Instant::ZERO,
            stopped_senders: Vec::new(),
        }
    }

    /// Replaces the safety mechanisms; tests use this to disable one of them.
    #[must_use]
    pub fn with_checks(mut self, checks: Checks) -> Self {
        self.checks = checks;
        self
    }

    /// Returns the record as last read or written, or `None` while none is known to exist.
    #[must_use]
    pub fn record(&self) -> Option<&Record> {
        self.stored.as_ref().map(|(record, _)| record)
    }

    /// Returns whether the record carries the epoch of this term.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.state == State::Ready
    }

    /// Returns whether a report was sampled since the epoch of the record was raised.
    #[must_use]
    pub fn has_report(&self) -> bool {
        self.engine.is_some()
    }

    /// Returns the copies on the backend server, including the effect of submitted orders.
    #[must_use]
    pub fn copies(&self) -> Vec<Copy> {
        self.record()
            .map(|record| copies::of(record, &self.new_orders))
            .unwrap_or_default()
    }

    /// Handles an event and appends the resulting actions to `out`.
    pub fn step(&mut self, now: Instant, event: Event<R>, out: &mut Vec<Action<R>>) {
        if self.state == State::Superseded {
            return;
        }
        match event {
            Event::Tick => self.check_senders(now, out),
            Event::Read(object) => self.handle_read(now, object, out),
            Event::Written(revision) => self.handle_written(now, revision, out),
            Event::ReadFailed | Event::Refused | Event::Unanswered => self.handle_failed_call(now),
            Event::Submit(new_orders) => self.submit(now, new_orders, out),
            Event::SendFinished { id, outcome } => {
                self.handle_send_finished(now, id, outcome, out);
            }
            Event::Report { report, asked } => self.handle_report(now, &report, asked),
            Event::SenderStopped(sender) => self.stopped_senders.push((sender, now)),
            Event::Limits(limits) => self.limits = limits,
        }
        self.emit_actions(now, out);
    }

    /// Schedules a read of the record: immediately after a first failure, at the retry interval
    /// after further ones.
    fn handle_failed_call(&mut self, now: Instant) {
        self.in_flight = None;
        self.needs_read = true;
        self.next_call = self.next_retry.max(now);
        self.next_retry = self.next_call + RETRY_INTERVAL;
    }

    fn handle_read(&mut self, now: Instant, object: Option<(Record, R)>, out: &mut Vec<Action<R>>) {
        self.in_flight = None;
        self.needs_read = false;
        match object {
            Some((record, _)) if record.epoch > self.sender.epoch => {
                self.supersede(record.epoch, out);
            }
            Some((record, revision)) => {
                let raised = record.epoch == self.sender.epoch || !self.checks.raise_epoch_first;
                self.adopt(now, record, revision, raised, out);
            }
            // A deleted record is created again with its last known content, so that no
            // reservation is lost.
            None => {
                self.state = State::RaisingEpoch;
                let deleted = self.stored.take().map(|(record, _)| record);
                self.create(deleted.unwrap_or_default(), out);
            }
        }
    }

    /// Creates the record from `base` with the epoch and limits of this term.
    fn create(&mut self, base: Record, out: &mut Vec<Action<R>>) {
        let record = Record {
            epoch: self.sender.epoch,
            write: base.write + 1,
            memory: self.limits.memory,
            adapter_pool: self.limits.adapter_pool,
            ..base
        };
        self.in_flight = Some(Call::Write(record.clone()));
        out.push(Action::Create(record));
    }

    fn handle_written(&mut self, now: Instant, revision: R, out: &mut Vec<Action<R>>) {
        if let Some(Call::Write(record)) = self.in_flight.take() {
            self.adopt(now, record, revision, true, out);
        }
    }

    /// Adopts a record that was read or written, and reports the orders it no longer contains.
    fn adopt(
        &mut self,
        now: Instant,
        record: Record,
        revision: R,
        raised: bool,
        out: &mut Vec<Action<R>>,
    ) {
        let ids: Vec<OrderId> = record.pending().map(|p| p.id).collect();
        let closed = self.progress.iter().filter(|p| !ids.contains(&p.id));
        out.extend(closed.map(|p| Action::Closed(p.id)));
        self.progress.retain(|p| ids.contains(&p.id));
        for id in &ids {
            if !self.progress.iter().any(|p| p.id == *id) {
                self.progress.push(Progress::new(*id));
            }
        }
        self.new_orders.retain(|o| !ids.contains(&o.id));
        self.stored = Some((record, revision));
        if raised && self.state == State::RaisingEpoch {
            self.state = State::Ready;
            // A former holder may have acted on any report that was sampled before this instant.
            self.min_sample_time = now;
            out.push(Action::Ready);
        } else if !raised {
            self.state = State::RaisingEpoch;
        }
    }

    /// Stops the ledger because a holder with a higher epoch exists.
    fn supersede(&mut self, epoch: Epoch, out: &mut Vec<Action<R>>) {
        self.state = State::Superseded;
        out.push(Action::Superseded(epoch));
    }

    /// Queues orders for the next write of the record.
    fn submit(&mut self, now: Instant, new_orders: Vec<NewOrder>, out: &mut Vec<Action<R>>) {
        if !self.checks.record_before_send {
            for new_order in &new_orders {
                let mut progress = Progress::new(new_order.id);
                progress.finish_send(now, SendOutcome::Lost);
                self.progress.push(progress);
                let order = self.pending(new_order).order(self.sender.epoch);
                out.push(Action::Send(order));
            }
        }
        self.new_orders.extend(new_orders);
    }

    fn pending(&self, new_order: &NewOrder) -> PendingOrder {
        PendingOrder {
            id: new_order.id,
            op: new_order.op,
            name: new_order.name.clone(),
            version: new_order.version.clone(),
            bytes: new_order.bytes,
            senders: vec![self.sender.clone()],
        }
    }

    fn handle_send_finished(
        &mut self,
        now: Instant,
        id: OrderId,
        outcome: SendOutcome,
        out: &mut Vec<Action<R>>,
    ) {
        if let SendOutcome::Stale(epoch) = outcome
            && epoch > self.sender.epoch
        {
            return self.supersede(epoch, out);
        }
        if let Some(progress) = self.progress.iter_mut().find(|p| p.id == id) {
            progress.finish_send(now, outcome);
        }
    }

    fn handle_report(&mut self, now: Instant, report: &LoadReport, asked: Instant) {
        let sample = Sample::new(report, asked, now);
        let Some((record, _)) = &self.stored else {
            return;
        };
        if self.state != State::Ready || sample.not_before < self.min_sample_time {
            return;
        }
        self.min_sample_time = sample.not_after;
        for order in record.pending() {
            let all_senders_covered = self.all_senders_covered(order, &sample);
            if let Some(progress) = self.progress.iter_mut().find(|p| p.id == order.id) {
                progress.apply_report(order, &sample, all_senders_covered);
            }
        }
        let mut residents = report.residents.clone();
        residents.sort_unstable();
        self.engine = Some(EngineMemory {
            incarnation: report.incarnation,
            memory: report.memory,
            residents,
        });
    }

    /// Returns whether no attempt of another sender can reach the engine after `sample`.
    ///
    /// That holds if the engine rejects lower epochs and had seen the epoch of this term, or if
    /// every other sender was known to have stopped before the sample was taken.
    fn all_senders_covered(&self, order: &PendingOrder, sample: &Sample<'_>) -> bool {
        if !self.checks.await_former_senders {
            return true;
        }
        if self.limits.fences && sample.report.fence >= self.sender.epoch {
            return true;
        }
        let mut others = order.senders.iter().filter(|s| **s != self.sender);
        others.all(|s| {
            let mut stopped = self.stopped_senders.iter();
            stopped.any(|(sender, at)| sender == s && *at <= sample.not_before)
        })
    }

    /// Requests a check of each former sender that may still send a pending order.
    fn check_senders(&mut self, now: Instant, out: &mut Vec<Action<R>>) {
        if now < self.next_sender_check || self.state != State::Ready {
            return;
        }
        self.next_sender_check = now + SENDER_CHECK_INTERVAL;
        let Some((record, _)) = &self.stored else {
            return;
        };
        let mut active: Vec<&Sender> = record
            .pending()
            .flat_map(|p| &p.senders)
            .filter(|s| **s != self.sender && !self.has_stopped(s))
            .collect();
        active.sort_unstable();
        active.dedup();
        out.extend(active.into_iter().cloned().map(Action::CheckSender));
    }

    fn has_stopped(&self, sender: &Sender) -> bool {
        self.stopped_senders.iter().any(|(s, _)| s == sender)
    }

    /// Starts the next platform call and the sends that are due.
    fn emit_actions(&mut self, now: Instant, out: &mut Vec<Action<R>>) {
        if self.state == State::Superseded {
            return;
        }
        if self.in_flight.is_none() && now >= self.next_call {
            self.start_platform_call(out);
        }
        if self.state == State::Ready {
            self.send_due(now, out);
        }
    }

    /// Reads the record if its state is unknown, otherwise writes it if it has changed.
    fn start_platform_call(&mut self, out: &mut Vec<Action<R>>) {
        if self.needs_read {
            self.in_flight = Some(Call::Read);
            out.push(Action::Read);
            return;
        }
        let Some((stored, revision)) = self.stored.clone() else {
            return;
        };
        let record = self.next_record(&stored, out);
        // A changed incarnation alone does not cause a write; the next write includes it.
        let unchanged = Record {
            incarnation: stored.incarnation,
            ..record.clone()
        };
        if unchanged != stored {
            let record = Record {
                write: stored.write + 1,
                ..record
            };
            self.in_flight = Some(Call::Write(record.clone()));
            out.push(Action::Update(record, revision));
        }
    }

    /// Returns the record that should be stored next.
    ///
    /// It has the epoch and limits of this term, no closed orders, this sender on each remaining
    /// order, the residents of the newest report, and the submitted orders that are admissible.
    fn next_record(&mut self, stored: &Record, out: &mut Vec<Action<R>>) -> Record {
        let mut record = stored.clone();
        record.epoch = self.sender.epoch;
        record.memory = self.limits.memory;
        record.adapter_pool = self.limits.adapter_pool;
        let closable = |order: &PendingOrder| {
            let mut progress = self.progress.iter();
            progress.any(|p| p.id == order.id && p.closable)
        };
        record.loads.retain(|p| !closable(p));
        record.unloads.retain(|p| !closable(p));
        for pending in record.loads.iter_mut().chain(&mut record.unloads) {
            if !pending.senders.contains(&self.sender) {
                pending.senders.push(self.sender.clone());
            }
        }
        if let Some(engine) = &self.engine {
            record.incarnation = engine.incarnation;
            if engine.memory > Bytes::ZERO {
                record.memory = record.memory.min(engine.memory);
            }
            record.residents.clone_from(&engine.residents);
        }
        if self.state == State::Ready {
            self.add_new_orders(&mut record, out);
        }
        record
    }

    /// Adds the submitted orders to `record` and declines those that are not admissible.
    fn add_new_orders(&mut self, record: &mut Record, out: &mut Vec<Action<R>>) {
        let mut new_orders = std::mem::take(&mut self.new_orders);
        new_orders.retain(|new_order| {
            let mut pending = self.pending(new_order);
            // The memory of a resident copy stays reserved until its unload is confirmed, even if
            // the caller gave a smaller size.
            if let Some(r) = record.resident(pending.key()) {
                pending.bytes = pending.bytes.max(r.bytes);
            }
            let accepted = self.engine.is_some() && is_admissible(record, &pending);
            if accepted {
                record.list_mut(new_order.op).push(pending);
            } else {
                out.push(Action::Declined(new_order.id));
            }
            accepted
        });
        self.new_orders = new_orders;
    }

    /// Sends the recorded orders whose next attempt is due.
    fn send_due(&mut self, now: Instant, out: &mut Vec<Action<R>>) {
        let Some((record, _)) = &self.stored else {
            return;
        };
        for order in record.pending() {
            let may_send = order.senders.contains(&self.sender) || !self.checks.raise_epoch_first;
            let progress = self.progress.iter_mut().find(|p| p.id == order.id);
            if let Some(progress) = progress
                && may_send
                && progress.is_due(now)
            {
                progress.begin_send();
                out.push(Action::Send(order.order(self.sender.epoch)));
            }
        }
    }
}

/// Returns whether an order can be added to a record.
///
/// Only one order per model or adapter may be pending. A load needs free memory and an absent
/// copy; an unload needs a resident copy.
fn is_admissible(record: &Record, order: &PendingOrder) -> bool {
    if record.is_pending(order.key()) || record.resident(order.key()).is_some() == is_load(order.op)
    {
        return false;
    }
    if !is_load(order.op) {
        return true;
    }
    let adapters = record.reserved_adapters();
    let (used, available) = if is_adapter(order.op) {
        (adapters, record.adapter_pool)
    } else {
        let models = record.reserved().saturating_sub(adapters);
        (models, record.memory.saturating_sub(record.adapter_pool))
    };
    used + order.bytes <= available && record.reserved() + order.bytes <= record.memory
}
