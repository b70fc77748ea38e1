//! State machine of one candidate for a lease.

use types::{AttemptId, Epoch, HostId, Instant, Micros};

use crate::record::{Action, Event, Record};

/// Renewals per lease duration; two may be lost before the authority ends.
const RENEWALS_PER_DURATION: u64 = 3;

/// Divisor of the duration that gives the margin before the lease expires.
///
/// The margin covers clock drift and the delay between a check of the authority and its use.
const EXPIRY_MARGIN_DIVISOR: u64 = 10;

/// Divisor of the duration that gives the interval between retries while the platform fails.
const RETRY_INTERVAL_DIVISOR: u64 = 20;

/// Maximum number of writes without a response that are tracked; older ones count as expired.
const MAX_UNRESOLVED_WRITES: usize = 8;

/// Safeguards against two holders at the same time.
///
/// Tests disable one at a time to show that it is needed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Checks {
    /// Whether a candidate waits until the object has not changed for the whole duration.
    pub wait_full_duration: bool,
    /// Whether the authority of the holder ends a margin before the lease expires.
    pub expiry_margin: bool,
}

impl Default for Checks {
    fn default() -> Self {
        Self {
            wait_full_duration: true,
            expiry_margin: true,
        }
    }
}

/// Identity and timing of a candidate.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Params {
    /// Host that the candidate runs on.
    pub host: HostId,
    /// Random id of the process.
    pub process: AttemptId,
    /// Time from a renewal until the lease expires.
    pub duration: Micros,
    /// Time between two reads of a candidate.
    pub poll_interval: Micros,
    /// Whether earlier processes of the host have ended for sure, so that a lease of theirs needs no wait.
    pub predecessors_ended: bool,
    /// Safeguards that are enabled.
    pub checks: Checks,
}

/// State machine of a process that competes for the lease of a data centre or holds it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Lease<R> {
    params: Params,
    /// Lease object as last read or written.
    observed: Option<Observation<R>>,
    /// Current term of this process.
    term: Option<Term>,
    call: Option<Call>,
    /// Writes without a response, which may still take effect.
    unresolved_writes: Vec<Write>,
    /// Highest epoch observed in the lease object, in other records or in refusals of engines.
    highest_epoch: Epoch,
    renewal: u64,
    /// Whether the object must be read before the next write.
    read_required: bool,
    next_read: Instant,
    next_write: Instant,
    /// Time before which the lease is not acquired, as a takeover that a restore removed may still hold.
    barred_until: Instant,
    releasing: bool,
}

#[derive(Clone, Debug, Eq, PartialEq)]
struct Observation<R> {
    object: Option<(Record, R)>,
    unchanged_since: Instant,
    /// Instant at which it was last found unchanged.
    last_confirmed: Instant,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Term {
    epoch: Epoch,
    /// Instant before the last successful renewal was sent.
    valid_from: Instant,
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum Call {
    Read,
    Write(Write),
}

#[derive(Clone, Debug, Eq, PartialEq)]
struct Write {
    record: Record,
    sent: Instant,
}

impl<R: Clone + Eq> Lease<R> {
    /// Creates a candidate that has not read the lease object yet.
    #[must_use]
    pub fn new(params: Params) -> Self {
        Self {
            params,
            observed: None,
            term: None,
            call: None,
            unresolved_writes: Vec::new(),
            highest_epoch: Epoch::new(0),
            renewal: 0,
            read_required: true,
            next_read: Instant::ZERO,
            next_write: Instant::ZERO,
            barred_until: Instant::ZERO,
            releasing: false,
        }
    }

    /// Returns the epoch that this process may use for orders at `now`, if it holds the lease.
    #[must_use]
    pub fn authority(&self, now: Instant) -> Option<Epoch> {
        let term = self.term?;
        (now < self.term_end(term)).then_some(term.epoch)
    }

    /// Returns the holder and the epoch of the lease object as last read or written.
    #[must_use]
    pub fn holder(&self) -> Option<(&HostId, Epoch)> {
        let (record, _) = self.observed.as_ref()?.object.as_ref()?;
        record.holder.as_ref().map(|host| (host, record.epoch))
    }

    /// Returns whether the lease was released and no write is outstanding.
    #[must_use]
    pub fn is_released(&self) -> bool {
        self.releasing
            && self.call.is_none()
            && self.unresolved_writes.is_empty()
            && self.own_object().is_none()
    }

    /// Sets the time between two reads of the lease object.
    pub fn set_poll_interval(&mut self, interval: Micros) {
        if interval < self.params.poll_interval {
            self.next_read = Instant::ZERO;
        }
        self.params.poll_interval = interval;
    }

    /// Processes an event and appends the resulting actions to `out`.
    pub fn step(&mut self, now: Instant, ev: Event<R>, out: &mut Vec<Action<R>>) {
        self.expire_term(now, out);
        match ev {
            Event::Tick => {}
            Event::Read(object) => self.on_read(now, object, out),
            Event::ReadFailed => self.on_read_failed(now),
            Event::Written(revision) => self.on_written(now, revision, out),
            Event::Refused => self.on_refused(now),
            Event::Unanswered => self.on_unanswered(now),
            Event::EpochSeen(epoch) => self.on_epoch_seen(epoch, out),
            Event::StoreRestored(epoch) => self.on_restored(now, epoch, out),
            Event::Release => self.on_release(out),
        }
        if self.call.is_none() {
            self.start_due_call(now, out);
        }
    }

    fn term_end(&self, term: Term) -> Instant {
        let margin = if self.params.checks.expiry_margin {
            self.params.duration.get() / EXPIRY_MARGIN_DIVISOR
        } else {
            0
        };
        term.valid_from + Micros::new(self.params.duration.get() - margin)
    }

    /// Ends an expired term.
    ///
    /// A term never resumes, so the authority under one epoch is a single interval of time.
    fn expire_term(&mut self, now: Instant, out: &mut Vec<Action<R>>) {
        if self.term.is_some() && self.authority(now).is_none() {
            self.end_term(out);
        }
    }

    fn end_term(&mut self, out: &mut Vec<Action<R>>) {
        if let Some(term) = self.term.take() {
            out.push(Action::Lost(term.epoch));
        }
    }

    fn is_own(&self, record: &Record) -> bool {
        record.holder.is_some() && record.process == self.params.process
    }

    /// Returns the lease object if this process held it when it was last read or written.
    fn own_object(&self) -> Option<(&Record, &R)> {
        let (record, revision) = self.observed.as_ref()?.object.as_ref()?;
        self.is_own(record).then_some((record, revision))
    }

    fn on_read(&mut self, now: Instant, object: Option<(Record, R)>, out: &mut Vec<Action<R>>) {
        self.call = None;
        self.read_required = false;
        self.next_read = now + self.params.poll_interval;
        match &object {
            Some((record, _)) if self.is_own(record) => {
                self.resolve_writes(now, &record.clone(), out);
            }
            _ => {
                self.end_term(out);
                // Once the revision has changed, earlier conditional writes can't take effect.
                if self.observed.as_ref().is_some_and(|o| o.object != object) {
                    self.unresolved_writes.clear();
                }
            }
        }
        if let Some((record, _)) = &object {
            self.highest_epoch = self.highest_epoch.max(record.epoch);
        }
        self.observe(now, object);
    }

    fn observe(&mut self, now: Instant, object: Option<(Record, R)>) {
        match &mut self.observed {
            Some(observed) if observed.object == object => observed.last_confirmed = now,
            _ => {
                self.observed = Some(Observation {
                    object,
                    unchanged_since: now,
                    last_confirmed: now,
                });
            }
        }
    }

    /// Applies a write without a response if the object shows that it took effect.
    fn resolve_writes(&mut self, now: Instant, record: &Record, out: &mut Vec<Action<R>>) {
        let found = self.unresolved_writes.iter().find(|w| w.record == *record);
        if let Some(write) = found.cloned() {
            self.unresolved_writes.clear();
            self.begin_or_extend_term(now, &write, out);
        }
    }

    fn begin_or_extend_term(&mut self, now: Instant, write: &Write, out: &mut Vec<Action<R>>) {
        let fresh = Term {
            epoch: write.record.epoch,
            valid_from: write.sent,
        };
        match &mut self.term {
            Some(term) if term.epoch == fresh.epoch => {
                term.valid_from = term.valid_from.max(fresh.valid_from);
            }
            // A late renewal of an ended term does not begin one: its epoch is not a new maximum.
            _ => {
                let begins = fresh.epoch > self.highest_epoch && !self.releasing;
                if begins && now < self.term_end(fresh) {
                    self.term = Some(fresh);
                    out.push(Action::Acquired(fresh.epoch));
                }
            }
        }
        self.highest_epoch = self.highest_epoch.max(write.record.epoch);
    }

    fn on_written(&mut self, now: Instant, revision: R, out: &mut Vec<Action<R>>) {
        let Some(Call::Write(write)) = self.call.take() else {
            return;
        };
        self.unresolved_writes.clear();
        if write.record.holder.is_some() {
            self.begin_or_extend_term(now, &write, out);
        }
        self.observe(now, Some((write.record, revision)));
    }

    fn on_read_failed(&mut self, now: Instant) {
        self.call = None;
        self.next_read = now + self.retry_interval();
    }

    fn on_refused(&mut self, now: Instant) {
        self.call = None;
        self.read_required = true;
        self.next_read = now;
    }

    fn on_unanswered(&mut self, now: Instant) {
        if let Some(Call::Write(write)) = self.call.take() {
            if self.unresolved_writes.len() == MAX_UNRESOLVED_WRITES {
                self.unresolved_writes.remove(0);
            }
            self.unresolved_writes.push(write);
        }
        self.read_required = true;
        self.next_read = now;
    }

    fn retry_interval(&self) -> Micros {
        Micros::new(self.params.duration.get() / RETRY_INTERVAL_DIVISOR)
    }

    fn on_epoch_seen(&mut self, epoch: Epoch, out: &mut Vec<Action<R>>) {
        self.highest_epoch = self.highest_epoch.max(epoch);
        if self.term.is_some_and(|term| term.epoch < epoch) {
            self.end_term(out);
        }
    }

    /// Starts over after a restore, which may have removed writes of this process and of others.
    ///
    /// Nobody else can have acquired a lease that was valid until now. Otherwise, another process may have
    /// acquired it in a write that the restore removed, and has authority for at most the duration.
    fn on_restored(&mut self, now: Instant, epoch: Epoch, out: &mut Vec<Action<R>>) {
        if self.term.is_none() {
            self.barred_until = now + self.params.duration;
        }
        self.end_term(out);
        self.highest_epoch = self.highest_epoch.max(epoch);
        self.unresolved_writes.clear();
        self.read_required = true;
        self.next_read = now;
    }

    fn on_release(&mut self, out: &mut Vec<Action<R>>) {
        self.releasing = true;
        self.end_term(out);
    }

    /// Starts the next read or write if one is due.
    fn start_due_call(&mut self, now: Instant, out: &mut Vec<Action<R>>) {
        let may_write = !self.read_required && now >= self.next_write;
        if may_write && let Some((epoch, hold)) = self.due_write(now) {
            return self.start_write(now, epoch, hold, out);
        }
        let idle = self.releasing && self.unresolved_writes.is_empty() && !self.read_required;
        let renewing = self.term.is_some() && !self.read_required;
        if now >= self.next_read && !idle && !renewing {
            self.next_read = now + self.params.poll_interval;
            self.call = Some(Call::Read);
            out.push(Action::Read);
        }
    }

    /// Returns the epoch of the write that is due, and whether it takes or keeps the lease.
    fn due_write(&self, now: Instant) -> Option<(Epoch, bool)> {
        if self.releasing {
            return self.own_object().map(|(record, _)| (record.epoch, false));
        }
        let Some(term) = self.term else {
            return (now >= self.barred_until && self.may_acquire())
                .then(|| (self.highest_epoch.next(), true));
        };
        let interval = Micros::new(self.params.duration.get() / RENEWALS_PER_DURATION);
        let retry = !self.unresolved_writes.is_empty();
        (retry || now >= term.valid_from + interval).then_some((term.epoch, true))
    }

    /// Returns whether the lease is free, was held by an ended process of this host, or has not been renewed
    /// for its whole duration.
    ///
    /// The time without a change is measured between reads, because a candidate that reads rarely
    /// does not notice renewals after its last read.
    fn may_acquire(&self) -> bool {
        let Some(observed) = &self.observed else {
            return false;
        };
        let waited = observed.last_confirmed.since(observed.unchanged_since);
        let Some((record, _)) = &observed.object else {
            // The holder of a deleted lease object may still have authority.
            return self.highest_epoch == Epoch::new(0) || waited >= self.params.duration;
        };
        record.holder.is_none()
            || self.is_own(record)
            || (self.params.predecessors_ended && record.holder.as_ref() == Some(&self.params.host))
            || !self.params.checks.wait_full_duration
            || waited >= record.duration
    }

    fn start_write(&mut self, now: Instant, epoch: Epoch, hold: bool, out: &mut Vec<Action<R>>) {
        self.renewal += 1;
        self.next_write = now + self.retry_interval();
        let record = Record {
            holder: hold.then(|| self.params.host.clone()),
            epoch,
            duration: self.params.duration,
            process: self.params.process,
            renewal: self.renewal,
        };
        self.call = Some(Call::Write(Write {
            record: record.clone(),
            sent: now,
        }));
        let object = self.observed.as_ref().and_then(|o| o.object.clone());
        out.push(match object {
            Some((_, revision)) => Action::Update(record, revision),
            None => Action::Create(record),
        });
    }
}
