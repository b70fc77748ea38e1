//! Replies of an attempt to a record that already exists for its key.
//!
//! Guards against a retry that runs the request again, and against a key that stays blocked after
//! a request that did not run.

use claim::{Action, Answer, Claim, Event, Outcome, Record, Reply, State};
use types::{AttemptId, Code, Instant};

fn record(state: State) -> Record {
    Record {
        attempt: AttemptId::new(1),
        body_hash: "body".to_owned(),
        state,
        owner: None,
    }
}

fn started(body_hash: &str) -> Claim {
    let mut claim = Claim::new(AttemptId::new(2), body_hash.to_owned());
    step(&mut claim, Event::Start);
    claim
}

fn step(claim: &mut Claim, ev: Event) -> Vec<Action> {
    let mut out = Vec::new();
    claim.step(Instant::ZERO, ev, &mut out);
    out
}

fn refusal(code: Code) -> Vec<Action> {
    vec![Action::Reply(Reply::Refuse(code)), Action::End]
}

#[test]
fn a_finished_request_replays_its_stored_response() {
    let answer = Answer {
        status: 201,
        content_type: "application/json".to_owned(),
        body: b"{}".to_vec(),
    };
    let found = record(State::Finished(Some(answer.clone())));
    let out = step(&mut started("body"), Event::Exists(found));
    assert_eq!(out, [Action::Reply(Reply::Stored(answer)), Action::End]);
}

#[test]
fn a_finished_request_without_a_stored_response_is_refused_as_already_run() {
    let out = step(
        &mut started("body"),
        Event::Exists(record(State::Finished(None))),
    );
    assert_eq!(out, refusal(Code::AlreadyRan));
}

#[test]
fn a_dispatched_request_is_still_running_only_if_its_owner_is_alive() {
    let running = step(
        &mut started("body"),
        Event::OwnerAlive(record(State::Dispatched)),
    );
    let owner_dead = step(
        &mut started("body"),
        Event::Exists(record(State::Dispatched)),
    );
    assert_eq!(running, refusal(Code::StillRunning));
    assert_eq!(owner_dead, refusal(Code::OutcomeUnknown));
}

#[test]
fn a_key_with_another_body_is_refused() {
    let out = step(
        &mut started("other"),
        Event::Exists(record(State::Withdrawn)),
    );
    assert_eq!(out, refusal(Code::KeyReused));
}

#[test]
fn a_request_that_was_not_run_frees_its_key() {
    let mut first = started("body");
    step(&mut first, Event::Created);
    let out = step(&mut first, Event::Done(Outcome::NotRun(Code::Unreachable)));
    let Some(Action::Store(withdrawn)) = out.last() else {
        panic!("the claim is not withdrawn: {out:?}");
    };
    let mut second = Claim::new(AttemptId::new(3), "body".to_owned());
    step(&mut second, Event::Start);
    let out = step(&mut second, Event::Exists(withdrawn.clone()));
    assert!(matches!(out.as_slice(), [Action::Store(r)] if r.state == State::Dispatched));
    assert_eq!(step(&mut second, Event::Stored), [Action::Dispatch]);
}

#[test]
fn a_write_that_the_platform_refuses_needs_no_withdrawal() {
    assert_eq!(
        step(&mut started("body"), Event::Refused),
        refusal(Code::ClaimStoreAway)
    );
}
