//! State machine of the record of one backend server.

use types::{Bytes, Epoch, HostId, Incarnation, Instant, LoadReport, Micros, OrderId, Resident};

use crate::{
    copies::{self, Copy},
    event::{Action, Event, Limits, NewOrder, SendOutcome},
    record::{PendingOrder, Record, Sender, is_adapter, is_load},
    track::{Sample, Track},
};

/// Time between two attempts while the platform fails.
const RETRY_AFTER: Micros = Micros::from_millis(500);

/// Time between two questions about a former holder.
const PROVE_EVERY: Micros = Micros::from_secs(1);

/// Protections of a ledger; a test switches one off to show that it is needed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Checks {
    /// Whether the epoch of the record is raised before anything else is done with it.
    pub raise_epoch_first: bool,
    /// Whether an order is recorded before it is sent.
    pub record_before_send: bool,
    /// Whether a former holder's order is kept until no copy of it can arrive any more.
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

/// Ledger of one backend server for one term of a lease holder.
#[derive(Clone, Debug, PartialEq)]
pub struct Ledger<R> {
    sender: Sender,
    limits: Limits,
    checks: Checks,
    stored: Option<(Record, R)>,
    state: State,
    call: Option<Call>,
    must_read: bool,
    next_try: Instant,
    /// Instant before which a second failure delays the next attempt.
    calm_from: Instant,
    next_prove: Instant,
    wants: Vec<NewOrder>,
    tracks: Vec<Track>,
    view: Option<View>,
    /// Reports sampled before this instant say nothing new.
    news_after: Instant,
    proofs: Vec<(Sender, Instant)>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    /// The record does not carry the epoch of this term yet.
    Raising,
    Ready,
    Superseded,
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum Call {
    Read,
    Write(Record),
}

/// What the newest report says about the engine's memory.
#[derive(Clone, Debug, Eq, PartialEq)]
struct View {
    incarnation: Incarnation,
    memory: Bytes,
    residents: Vec<Resident>,
}

impl<R: Clone + Eq> Ledger<R> {
    /// Makes the ledger of a backend server for a term.
    #[must_use]
    pub fn new(host: HostId, epoch: Epoch, limits: Limits) -> Self {
        Self {
            sender: Sender { host, epoch },
            limits,
            checks: Checks::default(),
            stored: None,
            state: State::Raising,
            call: None,
            must_read: true,
            next_try: Instant::ZERO,
            calm_from: Instant::ZERO,
            next_prove: Instant::ZERO,
            wants: Vec::new(),
            tracks: Vec::new(),
            view: None,
            news_after: Instant::ZERO,
            proofs: Vec::new(),
        }
    }

    /// Switches protections off, for tests that show what each of them prevents.
    #[must_use]
    pub fn with_checks(mut self, checks: Checks) -> Self {
        self.checks = checks;
        self
    }

    /// Returns the record as last read or written.
    #[must_use]
    pub fn record(&self) -> Option<&Record> {
        self.stored.as_ref().map(|(record, _)| record)
    }

    /// Tells whether the record carries the epoch of this term.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.state == State::Ready
    }

    /// Tells whether the engine reported since the record was raised.
    #[must_use]
    pub fn has_report(&self) -> bool {
        self.view.is_some()
    }

    /// Returns the copies on the backend server, wanted changes included.
    #[must_use]
    pub fn copies(&self) -> Vec<Copy> {
        self.record()
            .map(|record| copies::of(record, &self.wants))
            .unwrap_or_default()
    }

    /// Takes an event and appends the actions that follow from it.
    pub fn step(&mut self, now: Instant, ev: Event<R>, out: &mut Vec<Action<R>>) {
        if self.state == State::Superseded {
            return;
        }
        match ev {
            Event::Tick => self.prove(now, out),
            Event::Read(object) => self.read(now, object, out),
            Event::Written(revision) => self.written(now, revision, out),
            Event::ReadFailed | Event::Refused | Event::Unanswered => self.failed(now),
            Event::Submit(wants) => self.want(now, wants, out),
            Event::SendFinished {
                id,
                outcome: answer,
            } => self.posted(now, id, answer, out),
            Event::Report { report, asked } => self.report(now, &report, asked),
            Event::SenderStopped(sender) => self.proofs.push((sender, now)),
            Event::Limits(limits) => self.limits = limits,
        }
        self.act(now, out);
    }

    /// Reads the record next; the first failure is followed up at once, others are paced.
    fn failed(&mut self, now: Instant) {
        self.call = None;
        self.must_read = true;
        self.next_try = self.calm_from.max(now);
        self.calm_from = self.next_try + RETRY_AFTER;
    }

    fn read(&mut self, now: Instant, object: Option<(Record, R)>, out: &mut Vec<Action<R>>) {
        self.call = None;
        self.must_read = false;
        match object {
            Some((record, _)) if record.epoch > self.sender.epoch => {
                self.supersede(record.epoch, out);
            }
            Some((record, revision)) => {
                let raised = record.epoch == self.sender.epoch || !self.checks.raise_epoch_first;
                self.store(now, record, revision, raised, out);
            }
            // A record that was deleted is written again with everything that it held.
            None => {
                self.state = State::Raising;
                let lost = self.stored.take().map(|(record, _)| record);
                self.write_new(lost.unwrap_or_default(), out);
            }
        }
    }

    fn write_new(&mut self, base: Record, out: &mut Vec<Action<R>>) {
        let record = Record {
            epoch: self.sender.epoch,
            write: base.write + 1,
            memory: self.limits.memory,
            adapter_pool: self.limits.adapter_pool,
            ..base
        };
        self.call = Some(Call::Write(record.clone()));
        out.push(Action::Create(record));
    }

    fn written(&mut self, now: Instant, revision: R, out: &mut Vec<Action<R>>) {
        if let Some(Call::Write(record)) = self.call.take() {
            self.store(now, record, revision, true, out);
        }
    }

    /// Takes over a record that is on the platform.
    fn store(
        &mut self,
        now: Instant,
        record: Record,
        revision: R,
        raised: bool,
        out: &mut Vec<Action<R>>,
    ) {
        let ids: Vec<OrderId> = record.pending().map(|p| p.id).collect();
        let closed = self.tracks.iter().filter(|t| !ids.contains(&t.id));
        out.extend(closed.map(|t| Action::Closed(t.id)));
        self.tracks.retain(|t| ids.contains(&t.id));
        for id in &ids {
            if !self.tracks.iter().any(|t| t.id == *id) {
                self.tracks.push(Track::new(*id));
            }
        }
        self.wants.retain(|w| !ids.contains(&w.id));
        self.stored = Some((record, revision));
        if raised && self.state == State::Raising {
            self.state = State::Ready;
            // Only a later sample is newer than every report that a former holder acted on.
            self.news_after = now;
            out.push(Action::Ready);
        } else if !raised {
            self.state = State::Raising;
        }
    }

    fn supersede(&mut self, epoch: Epoch, out: &mut Vec<Action<R>>) {
        self.state = State::Superseded;
        out.push(Action::Superseded(epoch));
    }

    fn want(&mut self, now: Instant, wants: Vec<NewOrder>, out: &mut Vec<Action<R>>) {
        if !self.checks.record_before_send {
            for want in &wants {
                let mut track = Track::new(want.id);
                track.end_post(now, SendOutcome::Lost);
                self.tracks.push(track);
                let order = self.pending(want).order(self.sender.epoch);
                out.push(Action::Send(order));
            }
        }
        self.wants.extend(wants);
    }

    fn pending(&self, want: &NewOrder) -> PendingOrder {
        PendingOrder {
            id: want.id,
            op: want.op,
            name: want.name.clone(),
            version: want.version.clone(),
            bytes: want.bytes,
            senders: vec![self.sender.clone()],
        }
    }

    fn posted(&mut self, now: Instant, id: OrderId, answer: SendOutcome, out: &mut Vec<Action<R>>) {
        if let SendOutcome::Stale(epoch) = answer
            && epoch > self.sender.epoch
        {
            return self.supersede(epoch, out);
        }
        if let Some(track) = self.tracks.iter_mut().find(|t| t.id == id) {
            track.end_post(now, answer);
        }
    }

    fn report(&mut self, now: Instant, report: &LoadReport, asked: Instant) {
        let sample = Sample::new(report, asked, now);
        let Some((record, _)) = &self.stored else {
            return;
        };
        if self.state != State::Ready || sample.after < self.news_after {
            return;
        }
        self.news_after = sample.before;
        for order in record.pending() {
            let final_word = self.is_final(order, &sample);
            if let Some(track) = self.tracks.iter_mut().find(|t| t.id == order.id) {
                track.report(order, &sample, final_word);
            }
        }
        let mut residents = report.residents.clone();
        residents.sort_unstable();
        self.view = Some(View {
            incarnation: report.incarnation,
            memory: report.memory,
            residents,
        });
    }

    /// Tells whether no other host can send a copy of an order that arrives after a sample.
    fn is_final(&self, order: &PendingOrder, sample: &Sample<'_>) -> bool {
        if !self.checks.await_former_senders {
            return true;
        }
        if self.limits.fences && sample.report.fence >= self.sender.epoch {
            return true;
        }
        let mut others = order.senders.iter().filter(|s| **s != self.sender);
        others.all(|s| {
            let mut proofs = self.proofs.iter();
            proofs.any(|(gone, at)| gone == s && *at <= sample.after)
        })
    }

    fn prove(&mut self, now: Instant, out: &mut Vec<Action<R>>) {
        if now < self.next_prove || self.state != State::Ready {
            return;
        }
        self.next_prove = now + PROVE_EVERY;
        let Some((record, _)) = &self.stored else {
            return;
        };
        let mut open: Vec<&Sender> = record
            .pending()
            .flat_map(|p| &p.senders)
            .filter(|s| **s != self.sender && !self.proofs.iter().any(|(gone, _)| gone == *s))
            .collect();
        open.sort_unstable();
        open.dedup();
        out.extend(open.into_iter().cloned().map(Action::CheckSender));
    }

    fn act(&mut self, now: Instant, out: &mut Vec<Action<R>>) {
        if self.state == State::Superseded {
            return;
        }
        if self.call.is_none() && now >= self.next_try {
            self.call_platform(out);
        }
        if self.state == State::Ready {
            self.post(now, out);
        }
    }

    fn call_platform(&mut self, out: &mut Vec<Action<R>>) {
        if self.must_read {
            self.call = Some(Call::Read);
            out.push(Action::Read);
            return;
        }
        let Some((stored, revision)) = self.stored.clone() else {
            return;
        };
        let record = self.next_record(&stored, out);
        // A new life of the engine alone is not worth a write; the next one notes it.
        let same = Record {
            incarnation: stored.incarnation,
            ..record.clone()
        };
        if same != stored {
            let record = Record {
                write: stored.write + 1,
                ..record
            };
            self.call = Some(Call::Write(record.clone()));
            out.push(Action::Update(record, revision));
        }
    }

    /// Returns the record as it should be: raised, closed, reconciled and with the wanted orders.
    fn next_record(&mut self, stored: &Record, out: &mut Vec<Action<R>>) -> Record {
        let mut record = stored.clone();
        record.epoch = self.sender.epoch;
        record.memory = self.limits.memory;
        record.adapter_pool = self.limits.adapter_pool;
        let closable = |p: &PendingOrder| self.tracks.iter().any(|t| t.id == p.id && t.closable);
        record.loads.retain(|p| !closable(p));
        record.unloads.retain(|p| !closable(p));
        for pending in record.loads.iter_mut().chain(&mut record.unloads) {
            if !pending.senders.contains(&self.sender) {
                pending.senders.push(self.sender.clone());
            }
        }
        if let Some(view) = &self.view {
            record.incarnation = view.incarnation;
            if view.memory > Bytes::ZERO {
                record.memory = record.memory.min(view.memory);
            }
            record.residents.clone_from(&view.residents);
        }
        if self.state == State::Ready {
            self.add_wants(&mut record, out);
        }
        record
    }

    fn add_wants(&mut self, record: &mut Record, out: &mut Vec<Action<R>>) {
        let mut wants = std::mem::take(&mut self.wants);
        wants.retain(|want| {
            let mut pending = self.pending(want);
            // An unload keeps the memory of its copy reserved, whatever the caller says.
            if let Some(r) = record.resident(pending.key()) {
                pending.bytes = pending.bytes.max(r.bytes);
            }
            let accepted = self.view.is_some() && fits(record, &pending);
            if accepted {
                record.list_mut(want.op).push(pending);
            } else {
                out.push(Action::Declined(want.id));
            }
            accepted
        });
        self.wants = wants;
    }

    /// Sends the recorded orders that are due.
    fn post(&mut self, now: Instant, out: &mut Vec<Action<R>>) {
        let Some((record, _)) = &self.stored else {
            return;
        };
        for order in record.pending() {
            let may = order.senders.contains(&self.sender) || !self.checks.raise_epoch_first;
            let track = self.tracks.iter_mut().find(|t| t.id == order.id);
            if let Some(track) = track
                && may
                && track.is_due(now)
            {
                track.start_post();
                out.push(Action::Send(order.order(self.sender.epoch)));
            }
        }
    }
}

/// Tells whether an order makes sense on a record and its memory is free.
fn fits(record: &Record, order: &PendingOrder) -> bool {
    if record.is_pending(order.key()) || record.resident(order.key()).is_some() == is_load(order.op)
    {
        return false;
    }
    if !is_load(order.op) {
        return true;
    }
    let adapters = record.reserved_adapters();
    let (used, room) = if is_adapter(order.op) {
        (adapters, record.adapter_pool)
    } else {
        let models = record.reserved().saturating_sub(adapters);
        (models, record.memory.saturating_sub(record.adapter_pool))
    };
    used + order.bytes <= room && record.reserved() + order.bytes <= record.memory
}
