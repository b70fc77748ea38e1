//! State machine of one candidate.

use types::{AttemptId, Epoch, HostId, Instant, Micros};

use crate::record::{Action, Event, Record};

/// Renewals within one duration, so that two may be lost before authority ends.
const RENEWALS: u64 = 3;

/// Share of the duration that covers clock drift and the time between a check and its effect.
const MARGIN_DIVISOR: u64 = 10;

/// Share of the duration between two attempts while the platform fails.
const PACE_DIVISOR: u64 = 20;

/// Unresolved writes whose send times are kept; older ones count as expired.
const MAX_DOUBTS: usize = 8;

/// Protections of a lease; a test switches one off to show that it is needed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Checks {
    /// Whether a candidate waits until the object was unchanged for the whole duration.
    pub wait_full_duration: bool,
    /// Whether the holder stops a margin before the end of its validity.
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

/// Identity and times of a candidate.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Params {
    /// Host.
    pub host: HostId,
    /// Random id of the process.
    pub process: AttemptId,
    /// Time for which a renewal gives authority.
    pub duration: Micros,
    /// Time between two reads of a candidate.
    pub poll_interval: Micros,
    /// Protections.
    pub checks: Checks,
}

/// Candidate for the lease of a data centre, or its holder.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Lease<R> {
    params: Params,
    /// Object as last seen, with the instant since when it is unchanged.
    seen: Option<Seen<R>>,
    /// Current term of this process.
    term: Option<Term>,
    call: Option<Call>,
    /// Writes without an answer.
    doubts: Vec<Write>,
    /// Highest epoch seen anywhere.
    floor: Epoch,
    renewal: u64,
    /// The object must be read before anything is written.
    must_read: bool,
    next_read: Instant,
    next_write: Instant,
    resigned: bool,
}

#[derive(Clone, Debug, Eq, PartialEq)]
struct Seen<R> {
    object: Option<(Record, R)>,
    since: Instant,
    /// Instant at which it was last seen unchanged.
    confirmed: Instant,
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
    /// Makes a candidate that has seen nothing yet.
    #[must_use]
    pub fn new(params: Params) -> Self {
        Self {
            params,
            seen: None,
            term: None,
            call: None,
            doubts: Vec::new(),
            floor: Epoch::new(0),
            renewal: 0,
            must_read: true,
            next_read: Instant::ZERO,
            next_write: Instant::ZERO,
            resigned: false,
        }
    }

    /// Returns the epoch under which this process may act now.
    #[must_use]
    pub fn authority(&self, now: Instant) -> Option<Epoch> {
        let term = self.term?;
        (now < self.end_of(term)).then_some(term.epoch)
    }

    /// Returns the holder and epoch that the object named when it was last seen.
    #[must_use]
    pub fn holder(&self) -> Option<(&HostId, Epoch)> {
        let (record, _) = self.seen.as_ref()?.object.as_ref()?;
        record.holder.as_ref().map(|host| (host, record.epoch))
    }

    /// Tells whether a resigned process has nothing left to write.
    #[must_use]
    pub fn is_released(&self) -> bool {
        self.resigned && self.call.is_none() && self.doubts.is_empty() && self.own().is_none()
    }

    /// Sets the time between two reads of a candidate.
    pub fn set_poll_interval(&mut self, interval: Micros) {
        if interval < self.params.poll_interval {
            self.next_read = Instant::ZERO;
        }
        self.params.poll_interval = interval;
    }

    /// Takes an event and appends the actions that follow from it.
    pub fn step(&mut self, now: Instant, ev: Event<R>, out: &mut Vec<Action<R>>) {
        self.lapse(now, out);
        match ev {
            Event::Tick => {}
            Event::Read(object) => self.read(now, object, out),
            Event::ReadFailed => self.read_failed(now),
            Event::Written(revision) => self.written(now, revision, out),
            Event::Refused => self.refused(now),
            Event::Unanswered => self.unanswered(now),
            Event::EpochSeen(epoch) => self.epoch_seen(epoch, out),
            Event::Release => self.hand_over(out),
        }
        if self.call.is_none() {
            self.act(now, out);
        }
    }

    fn end_of(&self, term: Term) -> Instant {
        let margin = if self.params.checks.expiry_margin {
            self.params.duration.get() / MARGIN_DIVISOR
        } else {
            0
        };
        term.valid_from + Micros::new(self.params.duration.get() - margin)
    }

    /// Ends a term whose validity is over; it never resumes, so an epoch has one stretch of time.
    fn lapse(&mut self, now: Instant, out: &mut Vec<Action<R>>) {
        if self.term.is_some() && self.authority(now).is_none() {
            self.lose(out);
        }
    }

    fn lose(&mut self, out: &mut Vec<Action<R>>) {
        if let Some(term) = self.term.take() {
            out.push(Action::Lost(term.epoch));
        }
    }

    fn is_own(&self, record: &Record) -> bool {
        record.holder.is_some() && record.process == self.params.process
    }

    /// Returns the object if it was last seen in the hands of this process.
    fn own(&self) -> Option<(&Record, &R)> {
        let (record, revision) = self.seen.as_ref()?.object.as_ref()?;
        self.is_own(record).then_some((record, revision))
    }

    fn read(&mut self, now: Instant, object: Option<(Record, R)>, out: &mut Vec<Action<R>>) {
        self.call = None;
        self.must_read = false;
        self.next_read = now + self.params.poll_interval;
        match &object {
            Some((record, _)) if self.is_own(record) => self.resolve(now, &record.clone(), out),
            _ => {
                self.lose(out);
                // A write on an earlier revision can't take effect any more once it has changed.
                if self.seen.as_ref().is_some_and(|s| s.object != object) {
                    self.doubts.clear();
                }
            }
        }
        if let Some((record, _)) = &object {
            self.floor = self.floor.max(record.epoch);
        }
        self.observe(now, object);
    }

    fn observe(&mut self, now: Instant, object: Option<(Record, R)>) {
        match &mut self.seen {
            Some(seen) if seen.object == object => seen.confirmed = now,
            _ => {
                self.seen = Some(Seen {
                    object,
                    since: now,
                    confirmed: now,
                });
            }
        }
    }

    /// Credits a write of this process that is found in the object.
    fn resolve(&mut self, now: Instant, record: &Record, out: &mut Vec<Action<R>>) {
        let found = self.doubts.iter().find(|w| w.record == *record);
        if let Some(write) = found.cloned() {
            self.doubts.clear();
            self.granted(now, &write, out);
        }
    }

    fn granted(&mut self, now: Instant, write: &Write, out: &mut Vec<Action<R>>) {
        let fresh = Term {
            epoch: write.record.epoch,
            valid_from: write.sent,
        };
        match &mut self.term {
            Some(term) if term.epoch == fresh.epoch => {
                term.valid_from = term.valid_from.max(fresh.valid_from);
            }
            // A renewal of a term that is over begins nothing: its epoch is not above the floor.
            _ => {
                let begins = fresh.epoch > self.floor && !self.resigned;
                if begins && now < self.end_of(fresh) {
                    self.term = Some(fresh);
                    out.push(Action::Acquired(fresh.epoch));
                }
            }
        }
        self.floor = self.floor.max(write.record.epoch);
    }

    fn written(&mut self, now: Instant, revision: R, out: &mut Vec<Action<R>>) {
        let Some(Call::Write(write)) = self.call.take() else {
            return;
        };
        self.doubts.clear();
        if write.record.holder.is_some() {
            self.granted(now, &write, out);
        }
        self.observe(now, Some((write.record, revision)));
    }

    fn read_failed(&mut self, now: Instant) {
        self.call = None;
        self.next_read = now + self.pace();
    }

    fn refused(&mut self, now: Instant) {
        self.call = None;
        self.must_read = true;
        self.next_read = now;
    }

    fn unanswered(&mut self, now: Instant) {
        if let Some(Call::Write(write)) = self.call.take() {
            if self.doubts.len() == MAX_DOUBTS {
                self.doubts.remove(0);
            }
            self.doubts.push(write);
        }
        self.must_read = true;
        self.next_read = now;
    }

    fn pace(&self) -> Micros {
        Micros::new(self.params.duration.get() / PACE_DIVISOR)
    }

    fn epoch_seen(&mut self, epoch: Epoch, out: &mut Vec<Action<R>>) {
        self.floor = self.floor.max(epoch);
        if self.term.is_some_and(|term| term.epoch < epoch) {
            self.lose(out);
        }
    }

    fn hand_over(&mut self, out: &mut Vec<Action<R>>) {
        self.resigned = true;
        self.lose(out);
    }

    /// Starts the next call if one is due.
    fn act(&mut self, now: Instant, out: &mut Vec<Action<R>>) {
        let may_write = !self.must_read && now >= self.next_write;
        if may_write && let Some((epoch, hold)) = self.due(now) {
            return self.write(now, epoch, hold, out);
        }
        let idle = self.resigned && self.doubts.is_empty() && !self.must_read;
        let renewing = self.term.is_some() && !self.must_read;
        if now >= self.next_read && !idle && !renewing {
            self.next_read = now + self.params.poll_interval;
            self.call = Some(Call::Read);
            out.push(Action::Read);
        }
    }

    /// Returns the epoch of the write that is due and whether it holds the lease.
    fn due(&self, now: Instant) -> Option<(Epoch, bool)> {
        if self.resigned {
            return self.own().map(|(record, _)| (record.epoch, false));
        }
        let Some(term) = self.term else {
            return self.may_take().then(|| (self.floor.next(), true));
        };
        let interval = Micros::new(self.params.duration.get() / RENEWALS);
        let retry = !self.doubts.is_empty();
        (retry || now >= term.valid_from + interval).then_some((term.epoch, true))
    }

    /// Tells whether the object was unchanged for so long that its holder has stopped.
    ///
    /// Only reads count: between two of them, a host that looks seldom knows nothing of renewals.
    fn may_take(&self) -> bool {
        let Some(seen) = &self.seen else {
            return false;
        };
        let waited = seen.confirmed.since(seen.since);
        let Some((record, _)) = &seen.object else {
            // The holder of an object that was deleted may still act.
            return self.floor == Epoch::new(0) || waited >= self.params.duration;
        };
        record.holder.is_none()
            || self.is_own(record)
            || !self.params.checks.wait_full_duration
            || waited >= record.duration
    }

    fn write(&mut self, now: Instant, epoch: Epoch, hold: bool, out: &mut Vec<Action<R>>) {
        self.renewal += 1;
        self.next_write = now + self.pace();
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
        let object = self.seen.as_ref().and_then(|s| s.object.clone());
        out.push(match object {
            Some((_, revision)) => Action::Update(record, revision),
            None => Action::Create(record),
        });
    }
}
