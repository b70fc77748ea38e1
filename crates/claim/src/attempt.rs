//! State machine of one attempt to run a request with an idempotency key.

use types::{AttemptId, Code, Instant};

use crate::event::{Action, Event, Outcome, Owner, Record, Reply, State};

/// Maximum number of claim writes in one attempt; allows for two lost messages.
const MAX_CLAIM_WRITES: u32 = 3;

/// Safeguards against running a request twice.
///
/// Tests disable one at a time to show that the request then runs twice.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Checks {
    /// Whether a write without a response is verified by a read; if not, it counts as successful.
    pub read_back: bool,
    /// Whether the claim must be stored before the request is dispatched; if not, both start
    /// concurrently.
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

/// State machine of one attempt to run the request of an idempotency key.
///
/// The driver executes the actions one at a time and passes each result to [`Claim::step`]. It
/// tracks the revision of the record that it last read or wrote, and makes [`Action::Store`]
/// conditional on that revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Claim {
    attempt: AttemptId,
    body_hash: String,
    owner: Option<Owner>,
    checks: Checks,
    phase: Phase,
    writes: u32,
    /// Whether a call to the platform is outstanding.
    call_pending: bool,
    /// Whether a write without a response may still take effect.
    in_doubt: bool,
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum Phase {
    Idle,
    /// The claim is being created, or a withdrawn one is being replaced.
    Claiming,
    /// The request was dispatched and has not ended.
    Running,
    /// The outcome is being stored.
    Storing(State),
    /// The claim is being withdrawn; the request will not be dispatched.
    Withdrawing,
    Ended,
}

impl Claim {
    /// Creates an attempt for a request with the given hash of its body.
    #[must_use]
    pub fn new(attempt: AttemptId, body_hash: String) -> Self {
        Self {
            attempt,
            body_hash,
            owner: None,
            checks: Checks::default(),
            phase: Phase::Idle,
            writes: 0,
            call_pending: false,
            in_doubt: false,
        }
    }

    /// Sets the process that runs the attempt, which is stored in the record for other hosts.
    #[must_use]
    pub fn with_owner(mut self, owner: Owner) -> Self {
        self.owner = Some(owner);
        self
    }

    /// Replaces the safeguards, for tests that disable one of them.
    #[must_use]
    pub fn with_checks(mut self, checks: Checks) -> Self {
        self.checks = checks;
        self
    }

    /// Returns whether the attempt has ended and ignores further events.
    #[must_use]
    pub fn is_ended(&self) -> bool {
        self.phase == Phase::Ended
    }

    /// Processes an event and appends the resulting actions to `out`.
    pub fn step(&mut self, _now: Instant, ev: Event, out: &mut Vec<Action>) {
        if !matches!(ev, Event::Start | Event::Tick | Event::Done(_)) {
            self.call_pending = false;
        }
        match self.phase.clone() {
            Phase::Idle => self.step_idle(&ev, out),
            Phase::Claiming => self.step_claiming(ev, out),
            Phase::Running => self.step_running(ev, out),
            Phase::Storing(target) => self.step_storing(&target, &ev, out),
            Phase::Withdrawing => self.step_withdrawing(&ev, out),
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

    fn step_idle(&mut self, ev: &Event, out: &mut Vec<Action>) {
        if *ev != Event::Start {
            return;
        }
        self.phase = Phase::Claiming;
        self.write(Action::Create(self.record(State::Dispatched)), out);
        if !self.checks.claim_first {
            self.dispatch(out);
        }
    }

    fn step_claiming(&mut self, ev: Event, out: &mut Vec<Action>) {
        match ev {
            Event::Exists(record) | Event::ReadBack(Some(record)) => {
                self.handle_existing(record, Code::OutcomeUnknown, out);
            }
            Event::OwnerAlive(record) => self.handle_existing(record, Code::StillRunning, out),
            Event::ReadBack(None) => {
                self.write_or_give_up(Action::Create(self.record(State::Dispatched)), out);
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

    /// Handles the record that the platform already stores for the key.
    ///
    /// `dispatched` is the code of the refusal if another attempt has dispatched the request.
    fn handle_existing(&mut self, record: Record, dispatched: Code, out: &mut Vec<Action>) {
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
            State::Dispatched => self.refuse(dispatched, out),
            State::Finished(Some(answer)) => {
                out.push(Action::Reply(Reply::Stored(answer)));
                self.end(out);
            }
            State::Finished(None) => self.refuse(Code::AlreadyRan, out),
            State::Withdrawn => {
                self.write_or_give_up(Action::Store(self.record(State::Dispatched)), out);
            }
        }
    }

    fn step_running(&mut self, ev: Event, out: &mut Vec<Action>) {
        let Event::Done(outcome) = ev else { return };
        out.push(Action::Reply(Reply::Outcome));
        let target = match outcome {
            Outcome::NotRun(_) => State::Withdrawn,
            Outcome::Finished(answer) => State::Finished(answer),
            // The record stays `Dispatched`, so later attempts report an unknown outcome.
            Outcome::Unknown(_) => return self.end(out),
        };
        self.phase = Phase::Storing(target.clone());
        self.call(Action::Store(self.record(target)), out);
    }

    fn step_storing(&mut self, target: &State, ev: &Event, out: &mut Vec<Action>) {
        match ev {
            Event::Tick if !self.call_pending => self.call(Action::Read, out),
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

    /// Ensures that no earlier write of this attempt can leave a claim in place.
    ///
    /// Storing a withdrawn record changes the revision, so a delayed conditional write of this
    /// attempt fails.
    fn step_withdrawing(&mut self, ev: &Event, out: &mut Vec<Action>) {
        let withdrawn = self.record(State::Withdrawn);
        match ev {
            Event::Created | Event::Stored => self.end(out),
            Event::Tick if !self.call_pending => self.call(Action::Read, out),
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
        self.call_pending = true;
        out.push(action);
    }

    fn write(&mut self, action: Action, out: &mut Vec<Action>) {
        self.writes += 1;
        self.call(action, out);
    }

    fn write_or_give_up(&mut self, action: Action, out: &mut Vec<Action>) {
        if self.writes < MAX_CLAIM_WRITES {
            self.write(action, out);
        } else {
            self.give_up(out);
        }
    }

    fn dispatch(&mut self, out: &mut Vec<Action>) {
        self.phase = Phase::Running;
        out.push(Action::Dispatch);
    }

    /// Refuses the request as not run; it is not dispatched afterwards.
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
