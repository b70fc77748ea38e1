//! Attempts for one key on two hosts and the platform, driven by a sequence of choices.

use claim::{Action, Checks, Claim, Event, Outcome, Record, Reply, State};
use types::{AttemptId, Code, Instant, Ran};

/// Source of the choices of a schedule.
pub trait Choose {
    /// Returns a number below `n`.
    fn choose(&mut self, n: usize) -> usize;
}

#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    pub attempts: usize,
    pub faults: usize,
    pub ticks: usize,
}

/// How a call to the platform goes.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fate {
    Answered,
    /// It has no effect and no answer.
    Lost,
    /// It takes effect and its answer is lost.
    AnswerLost,
    /// It has no answer and takes effect later, if it still can.
    Late,
    /// The platform is away and says so.
    Away,
    /// The host dies after the call took effect.
    Dies,
}

const FATES: [Fate; 6] = [
    Fate::Answered,
    Fate::Lost,
    Fate::AnswerLost,
    Fate::Late,
    Fate::Away,
    Fate::Dies,
];

#[derive(Clone, Copy, Debug, PartialEq)]
enum Move {
    Start,
    Call(usize, Fate),
    Land(usize),
    Tick(usize),
    Finish(usize),
    FailBeforeRun(usize),
    Lose(usize),
    DieBeforeRun(usize),
    DieAfterRun(usize),
}

struct Attempt {
    claim: Claim,
    call: Option<Action>,
    /// Revision that the driver last saw or wrote.
    revision: u64,
    running: bool,
    alive: bool,
    ran: bool,
    ticks: usize,
    replies: Vec<Reply>,
    dispatches: u32,
}

pub struct World {
    bounds: Bounds,
    checks: Checks,
    attempts: Vec<Attempt>,
    object: Option<(Record, u64)>,
    late: Vec<(Action, u64)>,
    revision: u64,
    faults: usize,
    pub violation: Option<String>,
}

fn id(i: usize) -> AttemptId {
    AttemptId::new(i as u128 + 1)
}

impl World {
    pub fn new(bounds: Bounds, checks: Checks) -> Self {
        Self {
            bounds,
            checks,
            attempts: Vec::new(),
            object: None,
            late: Vec::new(),
            revision: 0,
            faults: 0,
            violation: None,
        }
    }

    pub fn run(&mut self, source: &mut impl Choose) {
        loop {
            let moves = self.moves();
            if moves.is_empty() || self.violation.is_some() {
                break;
            }
            let choice = source.choose(moves.len());
            self.perform(moves[choice]);
            self.check();
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

    fn moves(&self) -> Vec<Move> {
        let mut moves = Vec::new();
        let faulty = self.faults < self.bounds.faults;
        for (i, a) in self.attempts.iter().enumerate().filter(|(_, a)| a.alive) {
            if a.call.is_some() {
                let fates = if faulty { &FATES[..] } else { &FATES[..1] };
                moves.extend(fates.iter().map(|f| Move::Call(i, *f)));
            }
            if a.running {
                moves.extend([Move::Finish(i), Move::FailBeforeRun(i)]);
                if faulty {
                    moves.extend([Move::Lose(i), Move::DieBeforeRun(i), Move::DieAfterRun(i)]);
                }
            }
            let idle = a.call.is_none() && !a.running && !a.claim.is_ended();
            if idle && a.ticks < self.bounds.ticks {
                moves.push(Move::Tick(i));
            }
        }
        moves.extend((0..self.late.len()).map(Move::Land));
        if self.attempts.len() < self.bounds.attempts {
            moves.push(Move::Start);
        }
        moves
    }

    fn perform(&mut self, mv: Move) {
        match mv {
            Move::Start => self.start(),
            Move::Call(i, fate) => self.call(i, fate),
            Move::Land(at) => {
                let (action, on) = self.late.swap_remove(at);
                self.apply(&action, on);
            }
            Move::Tick(i) => {
                self.attempts[i].ticks += 1;
                self.step(i, Event::Tick);
            }
            Move::Finish(i) => self.done(i, true, Outcome::Finished(None)),
            Move::FailBeforeRun(i) => self.done(i, false, Outcome::NotRun(Code::Unreachable)),
            Move::Lose(i) => {
                self.faults += 1;
                self.done(i, true, Outcome::Unknown(Code::ConnectionCut));
            }
            Move::DieBeforeRun(i) => self.die(i, false),
            Move::DieAfterRun(i) => self.die(i, true),
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

    fn die(&mut self, i: usize, ran: bool) {
        self.faults += 1;
        self.attempts[i].ran |= ran;
        self.attempts[i].alive = false;
    }

    fn done(&mut self, i: usize, ran: bool, outcome: Outcome) {
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

    fn call(&mut self, i: usize, fate: Fate) {
        let Some(action) = self.attempts[i].call.take() else {
            return;
        };
        self.faults += usize::from(fate != Fate::Answered);
        let on = self.attempts[i].revision;
        let is_read = action == Action::Read;
        let answer = match fate {
            Fate::Answered | Fate::AnswerLost | Fate::Dies => self.apply(&action, on),
            Fate::Late if !is_read => {
                self.late.push((action.clone(), on));
                Event::Unanswered
            }
            Fate::Lost | Fate::Late => Event::Unanswered,
            Fate::Away => Event::Refused,
        };
        let failed = if is_read {
            Event::ReadFailed
        } else if matches!(action, Action::Store(_)) {
            Event::StoreFailed
        } else if fate == Fate::Away {
            Event::Refused
        } else {
            Event::Unanswered
        };
        match fate {
            Fate::Dies => self.attempts[i].alive = false,
            Fate::Answered => {
                // A refused write tells the driver nothing about the revision.
                if let Some((_, revision)) = &self.object
                    && answer != Event::StoreFailed
                {
                    self.attempts[i].revision = *revision;
                }
                let answer = self.known_alive(answer);
                self.step(i, answer);
            }
            _ => self.step(i, failed),
        }
    }

    /// Reports a record whose process is known to be alive as such, as the driver does.
    fn known_alive(&self, answer: Event) -> Event {
        let alive = |r: &Record| {
            (0..self.attempts.len()).any(|i| id(i) == r.attempt && self.attempts[i].alive)
        };
        match answer {
            Event::Exists(r) if alive(&r) => Event::OwnerAlive(r),
            other => other,
        }
    }

    fn apply(&mut self, action: &Action, on: u64) -> Event {
        let at = self.object.as_ref().map(|(_, revision)| *revision);
        match (action, &self.object) {
            (Action::Read, object) => Event::ReadBack(object.clone().map(|(r, _)| r)),
            (Action::Create(_), Some((found, _))) => Event::Exists(found.clone()),
            (Action::Create(record), None) => self.commit(record, Event::Created),
            (Action::Store(record), _) if at == Some(on) => self.commit(record, Event::Stored),
            _ => Event::StoreFailed,
        }
    }

    fn commit(&mut self, record: &Record, ev: Event) -> Event {
        self.revision += 1;
        self.object = Some((record.clone(), self.revision));
        ev
    }

    fn check(&mut self) {
        let found = if self.runs() > 1 {
            "the request ran twice"
        } else if self.attempts.iter().any(|a| a.dispatches > 1) {
            "an attempt dispatched twice"
        } else if self.attempts.iter().any(|a| a.replies.len() > 1) {
            "an attempt replied twice"
        } else if self.attempts.iter().any(said_not_run_and_ran) {
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

fn said_not_run_and_ran(a: &Attempt) -> bool {
    let not_run = |r: &Reply| matches!(r, Reply::Refuse(code) if code.ran() == Ran::No);
    a.replies.iter().any(not_run) && (a.ran || a.running || a.dispatches > 0)
}
