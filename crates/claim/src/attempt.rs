//! State machine of one attempt.

use types::{AttemptId, Code, Instant};

use crate::event::{Action, Event, Outcome, Owner, Record, Reply, State};

/// Claim writes that an attempt tries before it gives up; they cover two lost messages.
const MAX_WRITES: u32 = 3;

/// Protections of a claim; a test switches one off to show that it is needed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Checks {
    /// Whether a write without an answer is read back; otherwise it counts as done.
    pub read_back: bool,
    /// Whether the claim is written before the dispatch; otherwise both start together.
    pub claim_first: bool,
}

impl Default for Checks {
    fn default() -> Self {
        Self {
            read_back: true,
            claim_first: true,
        }
    }
}

/// One attempt to run the request of an idempotency key.
///
/// The driver performs the actions one at a time and feeds back what came of each. It keeps the
/// revision of the record that it last saw or wrote, and makes [`Action::Store`] conditional on it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Claim {
    attempt: AttemptId,
    body_hash: String,
    owner: Option<Owner>,
    checks: Checks,
    phase: Phase,
    writes: u32,
    /// A call to the platform has no answer yet.
    waiting: bool,
    /// A write without an answer may still take effect.
    in_doubt: bool,
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum Phase {
    Idle,
    /// The claim is being created or taken over.
    Claiming,
    /// The request was dispatched.
    Running,
    /// The outcome is being stored.
    Storing(State),
    /// The claim is being withdrawn; nothing is ever dispatched.
    Withdrawing,
    Ended,
}

impl Claim {
    /// Makes an attempt for a request whose body has a hash.
    #[must_use]
    pub fn new(attempt: AttemptId, body_hash: String) -> Self {
        Self {
            attempt,
            body_hash,
            owner: None,
            checks: Checks::default(),
            phase: Phase::Idle,
            writes: 0,
            waiting: false,
            in_doubt: false,
        }
    }

    /// Names the process that runs the attempt, for hosts that find its record.
    #[must_use]
    pub fn with_owner(mut self, owner: Owner) -> Self {
        self.owner = Some(owner);
        self
    }

    /// Switches protections off, for tests that show what each of them prevents.
    #[must_use]
    pub fn with_checks(mut self, checks: Checks) -> Self {
        self.checks = checks;
        self
    }

    /// Tells whether nothing more is to be done.
    #[must_use]
    pub fn is_ended(&self) -> bool {
        self.phase == Phase::Ended
    }

    /// Takes an event and appends the actions that follow from it.
    pub fn step(&mut self, _now: Instant, ev: Event, out: &mut Vec<Action>) {
        if !matches!(ev, Event::Start | Event::Tick | Event::Done(_)) {
            self.waiting = false;
        }
        match self.phase.clone() {
            Phase::Idle => self.begin(&ev, out),
            Phase::Claiming => self.claiming(ev, out),
            Phase::Running => self.running(ev, out),
            Phase::Storing(target) => self.storing(&target, &ev, out),
            Phase::Withdrawing => self.withdrawing(&ev, out),
            Phase::Ended => {}
        }
    }

    fn record(&self, state: State) -> Record {
        Record {
            attempt: self.attempt,
            body_hash: self.body_hash.clone(),
            state,
            owner: self.owner.clone(),
        }
    }

    fn begin(&mut self, ev: &Event, out: &mut Vec<Action>) {
        if *ev != Event::Start {
            return;
        }
        self.phase = Phase::Claiming;
        self.write(Action::Create(self.record(State::Dispatched)), out);
        if !self.checks.claim_first {
            self.dispatch(out);
        }
    }

    fn claiming(&mut self, ev: Event, out: &mut Vec<Action>) {
        match ev {
            Event::Exists(record) | Event::ReadBack(Some(record)) => {
                self.found(record, Code::OutcomeUnknown, out);
            }
            Event::OwnerAlive(record) => self.found(record, Code::StillRunning, out),
            Event::ReadBack(None) => {
                self.try_write(Action::Create(self.record(State::Dispatched)), out);
            }
            Event::Unanswered | Event::StoreFailed if self.checks.read_back => {
                self.in_doubt = true;
                self.call(Action::Read, out);
            }
            Event::Created | Event::Stored | Event::Unanswered | Event::StoreFailed => {
                self.dispatch(out);
            }
            Event::Refused | Event::ReadFailed => self.give_up(out),
            Event::Start | Event::Done(_) | Event::Tick => {}
        }
    }

    /// Acts on the record that the platform holds for the key.
    fn found(&mut self, record: Record, running: Code, out: &mut Vec<Action>) {
        if record.attempt == self.attempt {
            return match record.state {
                State::Dispatched => self.dispatch(out),
                State::Finished(_) | State::Withdrawn => self.give_up(out),
            };
        }
        if record.body_hash != self.body_hash {
            return self.refuse(Code::KeyReused, out);
        }
        match record.state {
            State::Dispatched => self.refuse(running, out),
            State::Finished(Some(answer)) => {
                out.push(Action::Reply(Reply::Stored(answer)));
                self.end(out);
            }
            State::Finished(None) => self.refuse(Code::AlreadyRan, out),
            State::Withdrawn => self.try_write(Action::Store(self.record(State::Dispatched)), out),
        }
    }

    fn running(&mut self, ev: Event, out: &mut Vec<Action>) {
        let Event::Done(outcome) = ev else { return };
        out.push(Action::Reply(Reply::Outcome));
        let target = match outcome {
            Outcome::NotRun(_) => State::Withdrawn,
            Outcome::Finished(answer) => State::Finished(answer),
            // The record stays "dispatched", which later attempts read as an unknown outcome.
            Outcome::Unknown(_) => return self.end(out),
        };
        self.phase = Phase::Storing(target.clone());
        self.call(Action::Store(self.record(target)), out);
    }

    fn storing(&mut self, target: &State, ev: &Event, out: &mut Vec<Action>) {
        match ev {
            Event::Tick if !self.waiting => self.call(Action::Read, out),
            Event::Exists(r) | Event::OwnerAlive(r) | Event::ReadBack(Some(r))
                if r.attempt == self.attempt && r.state != *target =>
            {
                self.call(Action::Store(self.record(target.clone())), out);
            }
            Event::Stored | Event::Exists(_) | Event::OwnerAlive(_) | Event::ReadBack(_) => {
                self.end(out);
            }
            _ => {}
        }
    }

    /// Makes sure that no write of this attempt can leave a claim behind.
    ///
    /// Writing a withdrawn record changes the revision, so a late write of this attempt fails.
    fn withdrawing(&mut self, ev: &Event, out: &mut Vec<Action>) {
        let withdrawn = self.record(State::Withdrawn);
        match ev {
            Event::Created | Event::Stored => self.end(out),
            Event::Tick if !self.waiting => self.call(Action::Read, out),
            Event::ReadBack(None) => self.call(Action::Create(withdrawn), out),
            Event::Exists(r) | Event::OwnerAlive(r) | Event::ReadBack(Some(r)) => {
                let own = r.attempt == self.attempt;
                match (own, &r.state) {
                    (true, State::Dispatched) | (false, State::Withdrawn) => {
                        self.call(Action::Store(withdrawn), out);
                    }
                    _ => self.end(out),
                }
            }
            _ => {}
        }
    }

    fn call(&mut self, action: Action, out: &mut Vec<Action>) {
        self.waiting = true;
        out.push(action);
    }

    fn write(&mut self, action: Action, out: &mut Vec<Action>) {
        self.writes += 1;
        self.call(action, out);
    }

    fn try_write(&mut self, action: Action, out: &mut Vec<Action>) {
        if self.writes < MAX_WRITES {
            self.write(action, out);
        } else {
            self.give_up(out);
        }
    }

    fn dispatch(&mut self, out: &mut Vec<Action>) {
        self.phase = Phase::Running;
        out.push(Action::Dispatch);
    }

    /// Refuses the request as not run; after this, nothing is ever dispatched.
    fn give_up(&mut self, out: &mut Vec<Action>) {
        if !self.in_doubt {
            return self.refuse(Code::ClaimStoreAway, out);
        }
        out.push(Action::Reply(Reply::Refuse(Code::ClaimUnresolved)));
        self.phase = Phase::Withdrawing;
    }

    fn refuse(&mut self, code: Code, out: &mut Vec<Action>) {
        out.push(Action::Reply(Reply::Refuse(code)));
        self.end(out);
    }

    fn end(&mut self, out: &mut Vec<Action>) {
        self.phase = Phase::Ended;
        out.push(Action::End);
    }
}
