//! Simulation of concurrent attempts for one key, driven by a sequence of choices.

use claim::{Action, Checks, Claim, Event, Outcome, Record, Reply, State};
use types::{AttemptId, Code, ExecutionStatus, Instant};

/// Source of the choices of a schedule.
pub trait ChoiceSource {
    /// Returns a number below `n`.
    fn choose(&mut self, n: usize) -> usize;
}

#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    pub attempts: usize,
    pub faults: usize,
    pub ticks: usize,
}

/// Outcome of a call to the platform.
#[derive(Clone, Copy, Debug, PartialEq)]
enum CallFate {
    Completed,
    /// The call has no effect and no response.
    RequestLost,
    /// The call takes effect, but its response is lost.
    ResponseLost,
    /// The call has no response and is applied later, if its condition still holds.
    Delayed,
    /// The platform refuses the call as unavailable.
    Unavailable,
    /// The host crashes after the call took effect.
    HostCrash,
}

const FATES: [CallFate; 6] = [
    CallFate::Completed,
    CallFate::RequestLost,
    CallFate::ResponseLost,
    CallFate::Delayed,
    CallFate::Unavailable,
    CallFate::HostCrash,
];

#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    Start,
    Call(usize, CallFate),
    ApplyDelayed(usize),
    Tick(usize),
    Finish(usize),
    FailBeforeRun(usize),
    LoseOutcome(usize),
    CrashBeforeRun(usize),
    CrashAfterRun(usize),
}

struct Attempt {
    claim: Claim,
    call: Option<Action>,
    /// Revision that the driver last read or wrote.
    revision: u64,
    running: bool,
    alive: bool,
    ran: bool,
    ticks: usize,
    replies: Vec<Reply>,
    dispatches: u32,
}

pub struct Simulation {
    bounds: Bounds,
    checks: Checks,
    attempts: Vec<Attempt>,
    object: Option<(Record, u64)>,
    delayed: Vec<(Action, u64)>,
    revision: u64,
    faults: usize,
    pub violation: Option<String>,
}

fn id(i: usize) -> AttemptId {
    AttemptId::new(i as u128 + 1)
}

impl Simulation {
    pub fn new(bounds: Bounds, checks: Checks) -> Self {
        Self {
            bounds,
            checks,
            attempts: Vec::new(),
            object: None,
            delayed: Vec::new(),
            revision: 0,
            faults: 0,
            violation: None,
        }
    }

    pub fn run(&mut self, source: &mut impl ChoiceSource) {
        loop {
            let steps = self.possible_steps();
            if steps.is_empty() || self.violation.is_some() {
                break;
            }
            let choice = source.choose(steps.len());
            self.perform(steps[choice]);
            self.check_invariants();
        }
        if let Some((record, _)) = &self.object
            && record.state == State::Dispatched
            && self
                .attempts
                .iter()
                .zip(0..)
                .any(|(a, i)| id(i) == record.attempt && a.claim.is_ended() && a.dispatches == 0)
        {
            let left = "an attempt that dispatched nothing left its claim behind";
            self.violation.get_or_insert(left.to_owned());
        }
    }

    pub fn runs(&self) -> usize {
        self.attempts.iter().filter(|a| a.ran).count()
    }

    fn possible_steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        let may_fail = self.faults < self.bounds.faults;
        for (i, a) in self.attempts.iter().enumerate().filter(|(_, a)| a.alive) {
            if a.call.is_some() {
                let fates = if may_fail { &FATES[..] } else { &FATES[..1] };
                steps.extend(fates.iter().map(|f| Step::Call(i, *f)));
            }
            if a.running {
                steps.extend([Step::Finish(i), Step::FailBeforeRun(i)]);
                if may_fail {
                    steps.extend([
                        Step::LoseOutcome(i),
                        Step::CrashBeforeRun(i),
                        Step::CrashAfterRun(i),
                    ]);
                }
            }
            let idle = a.call.is_none() && !a.running && !a.claim.is_ended();
            if idle && a.ticks < self.bounds.ticks {
                steps.push(Step::Tick(i));
            }
        }
        steps.extend((0..self.delayed.len()).map(Step::ApplyDelayed));
        if self.attempts.len() < self.bounds.attempts {
            steps.push(Step::Start);
        }
        steps
    }

    fn perform(&mut self, step: Step) {
        match step {
            Step::Start => self.start(),
            Step::Call(i, fate) => self.call(i, fate),
            Step::ApplyDelayed(at) => {
                let (action, expected) = self.delayed.swap_remove(at);
                self.apply(&action, expected);
            }
            Step::Tick(i) => {
                self.attempts[i].ticks += 1;
                self.step(i, Event::Tick);
            }
            Step::Finish(i) => self.finish(i, true, Outcome::Finished(None)),
            Step::FailBeforeRun(i) => self.finish(i, false, Outcome::NotRun(Code::Unreachable)),
            Step::LoseOutcome(i) => {
                self.faults += 1;
                self.finish(i, true, Outcome::Unknown(Code::ConnectionCut));
            }
            Step::CrashBeforeRun(i) => self.crash(i, false),
            Step::CrashAfterRun(i) => self.crash(i, true),
        }
    }

    fn start(&mut self) {
        let i = self.attempts.len();
        let claim = Claim::new(id(i), "body".to_owned()).with_checks(self.checks);
        self.attempts.push(Attempt {
            claim,
            call: None,
            revision: 0,
            running: false,
            alive: true,
            ran: false,
            ticks: 0,
            replies: Vec::new(),
            dispatches: 0,
        });
        self.step(i, Event::Start);
    }

    fn crash(&mut self, i: usize, ran: bool) {
        self.faults += 1;
        self.attempts[i].ran |= ran;
        self.attempts[i].alive = false;
    }

    fn finish(&mut self, i: usize, ran: bool, outcome: Outcome) {
        self.attempts[i].ran |= ran;
        self.attempts[i].running = false;
        self.step(i, Event::Done(outcome));
    }

    fn step(&mut self, i: usize, ev: Event) {
        let mut out = Vec::new();
        let attempt = &mut self.attempts[i];
        attempt.claim.step(Instant::ZERO, ev, &mut out);
        for action in out {
            match action {
                Action::Dispatch => {
                    attempt.dispatches += 1;
                    attempt.running = true;
                }
                Action::Reply(reply) => attempt.replies.push(reply),
                Action::End => {}
                call => attempt.call = Some(call),
            }
        }
    }

    fn call(&mut self, i: usize, fate: CallFate) {
        let Some(action) = self.attempts[i].call.take() else {
            return;
        };
        self.faults += usize::from(fate != CallFate::Completed);
        let expected = self.attempts[i].revision;
        let is_read = action == Action::Read;
        let result = match fate {
            CallFate::Completed | CallFate::ResponseLost | CallFate::HostCrash => {
                self.apply(&action, expected)
            }
            CallFate::Delayed if !is_read => {
                self.delayed.push((action.clone(), expected));
                Event::Unanswered
            }
            CallFate::RequestLost | CallFate::Delayed => Event::Unanswered,
            CallFate::Unavailable => Event::Refused,
        };
        let failed = if is_read {
            Event::ReadFailed
        } else if matches!(action, Action::Store(_)) {
            Event::StoreFailed
        } else if fate == CallFate::Unavailable {
            Event::Refused
        } else {
            Event::Unanswered
        };
        match fate {
            CallFate::HostCrash => self.attempts[i].alive = false,
            CallFate::Completed => {
                // The response to a refused write does not contain the revision.
                if let Some((_, revision)) = &self.object
                    && result != Event::StoreFailed
                {
                    self.attempts[i].revision = *revision;
                }
                let result = self.with_owner_state(result);
                self.step(i, result);
            }
            _ => self.step(i, failed),
        }
    }

    /// Replaces [`Event::Exists`] by [`Event::OwnerAlive`] if the owner is alive, like the driver.
    fn with_owner_state(&self, result: Event) -> Event {
        let is_alive = |r: &Record| {
            (0..self.attempts.len()).any(|i| id(i) == r.attempt && self.attempts[i].alive)
        };
        match result {
            Event::Exists(r) if is_alive(&r) => Event::OwnerAlive(r),
            other => other,
        }
    }

    fn apply(&mut self, action: &Action, expected: u64) -> Event {
        let current = self.object.as_ref().map(|(_, revision)| *revision);
        match (action, &self.object) {
            (Action::Read, object) => Event::ReadBack(object.clone().map(|(r, _)| r)),
            (Action::Create(_), Some((found, _))) => Event::Exists(found.clone()),
            (Action::Create(record), None) => self.commit(record, Event::Created),
            (Action::Store(record), _) if current == Some(expected) => {
                self.commit(record, Event::Stored)
            }
            _ => Event::StoreFailed,
        }
    }

    fn commit(&mut self, record: &Record, ev: Event) -> Event {
        self.revision += 1;
        self.object = Some((record.clone(), self.revision));
        ev
    }

    fn check_invariants(&mut self) {
        let found = if self.runs() > 1 {
            "the request ran twice"
        } else if self.attempts.iter().any(|a| a.dispatches > 1) {
            "an attempt dispatched twice"
        } else if self.attempts.iter().any(|a| a.replies.len() > 1) {
            "an attempt replied twice"
        } else if self.attempts.iter().any(refused_as_not_run_but_ran) {
            "a request that was refused as not run ran"
        } else if self.runs() == 0 && self.object.as_ref().is_some_and(|(r, _)| finished(r)) {
            "a request that never ran is recorded as finished"
        } else {
            return;
        };
        self.violation = Some(found.to_owned());
    }
}

fn finished(record: &Record) -> bool {
    matches!(record.state, State::Finished(_))
}

fn refused_as_not_run_but_ran(a: &Attempt) -> bool {
    let not_run = |r: &Reply| matches!(r, Reply::Refuse(code) if code.ran() == ExecutionStatus::No);
    a.replies.iter().any(not_run) && (a.ran || a.running || a.dispatches > 0)
}
