//! Requests that crash backend servers.

use route::{Action, Event, Fingerprint, SuspectState};
use types::{Code, RequestId, RetryReason};

use crate::fixture::{Host, LOCAL};

const CRASHING: Fingerprint = Fingerprint::new(666);

/// Sends the crashing request until it gets no server any more; returns the crashes.
///
/// Every crashed server restarts at once and the caller resends after each error.
fn crashes(suspects: bool) -> usize {
    let mut host = Host::new(|cfg| cfg.suspects = suspects);
    let mut lives = [1_u64; 3];
    let mut crashes = 0;
    for _ in 0..5 {
        let id = host.send(|t| t.fingerprint = CRASHING);
        while let Some(server) = runs_on(&mut host, id) {
            crashes += 1;
            let at = LOCAL.iter().position(|w| *w == server).expect("a worker");
            host.crash(&server, lives[at]);
            host.fail(id, RetryReason::Crash, true);
            let outcome = std::mem::take(&mut host.out);
            lives[at] += 1;
            host.now = host.now + types::Micros::from_millis(100);
            host.report(&server, lives[at], 0, &["m1"]);
            host.out.splice(0..0, outcome);
        }
    }
    crashes
}

/// Server to which the last step sent a request, granting a suspect slot if one is asked for.
fn runs_on(host: &mut Host, id: RequestId) -> Option<String> {
    if host.asked().is_some_and(|(asked, _)| asked == id) {
        host.step(Event::SlotReply { id, granted: true });
    }
    let mut sent = host.dispatched().into_iter();
    sent.find(|(d, _)| *d == id).map(|(_, backend)| backend)
}

/// Guards against a request that takes down one server after the other.
#[test]
fn a_crashing_request_takes_down_at_most_two_servers() {
    assert_eq!(crashes(true), 2);
}

#[test]
fn without_suspects_it_takes_down_more() {
    assert!(crashes(false) > 2);
}

/// Crashes `w` under a request and an innocent one, and returns their ids.
fn crash_with_two(host: &mut Host) -> (RequestId, RequestId) {
    for worker in ["w2", "w3"] {
        host.report(worker, 1, 4, &["m1"]);
    }
    let crashing = host.send(|t| t.fingerprint = CRASHING);
    let innocent = host.send(|_| {});
    host.crash("w1", 1);
    for worker in ["w2", "w3"] {
        host.pass(1);
        host.report(worker, 1, 0, &["m1"]);
    }
    (crashing, innocent)
}

/// Guards against conviction of a request that shared a server with the cause.
#[test]
fn the_cause_is_convicted_and_the_innocent_is_cleared() {
    let mut host = Host::new(|_| {});
    let (crashing, innocent) = crash_with_two(&mut host);
    host.fail(crashing, RetryReason::Crash, true);
    let on = runs_on(&mut host, crashing).expect("a slot");
    host.fail(innocent, RetryReason::Crash, true);
    let other = runs_on(&mut host, innocent).expect("a slot");
    assert_ne!(on, other, "one suspect per server");
    host.crash(&on, 1);
    assert_eq!(host.shared()[0].state, SuspectState::Confirmed);
    assert_eq!(host.shared()[0].fingerprint, CRASHING);
    host.fail(crashing, RetryReason::Crash, true);
    assert_eq!(host.refused(), [(crashing, Code::BackendCrashed)]);
    host.finish(innocent);
    let again = host.send(|t| t.fingerprint = Fingerprint::new(2));
    assert!(host.asked().is_none());
    assert_eq!(host.dispatched()[0].0, again);
}

/// Guards against a resend that reaches another host before the news of the suspect.
#[test]
fn marks_are_shared_before_the_refusal() {
    let mut host = Host::new(|_| {});
    let booking = host.send(|t| t.idempotent = false);
    host.fail(booking, RetryReason::Crash, true);
    let share = |a: &Action| matches!(a, Action::ShareSuspects(_));
    let refuse = |a: &Action| matches!(a, Action::Refuse { .. });
    let shared = host.out.iter().position(share).expect("marks");
    let refused = host.out.iter().position(refuse).expect("a refusal");
    assert!(shared < refused);
}

/// Guards against a conviction that ends early or never.
#[test]
fn a_conviction_lasts_ten_minutes() {
    let mut host = Host::new(|_| {});
    host.step(Event::Suspects(vec![route::SuspectRecord {
        fingerprint: CRASHING,
        state: SuspectState::Confirmed,
        backend: "w1".parse().expect("a name"),
        incarnation: types::Incarnation::new(1),
    }]));
    host.pass(599_999);
    let early = host.send(|t| t.fingerprint = CRASHING);
    assert_eq!(host.refused(), [(early, Code::CrashingRequest)]);
    host.pass(1);
    host.send(|t| t.fingerprint = CRASHING);
    assert_eq!(host.dispatched().len(), 1);
}

/// Guards against two suspects on one server, whose crash would convict neither.
#[test]
fn a_second_suspect_waits_for_a_server_without_one() {
    let mut host = Host::new(|_| {});
    let (crashing, innocent) = crash_with_two(&mut host);
    host.set("w3", route::Liveness::Dead);
    host.fail(crashing, RetryReason::Crash, true);
    assert_eq!(runs_on(&mut host, crashing).as_deref(), Some("w2"));
    host.fail(innocent, RetryReason::Crash, true);
    assert!(host.asked().is_none() && host.dispatched().is_empty());
    host.finish(crashing);
    assert_eq!(runs_on(&mut host, innocent).as_deref(), Some("w2"));
}

/// Guards against a suspect that runs although nobody granted it.
#[test]
fn a_suspect_without_an_answer_is_refused_and_not_run() {
    let mut host = Host::new(|_| {});
    let first = host.send(|t| t.idempotent = false);
    let fingerprint = Fingerprint::new(1);
    host.fail(first, RetryReason::Crash, true);
    let resent = host.send(|t| t.fingerprint = fingerprint);
    assert!(host.asked().is_some());
    host.pass(1_000);
    assert_eq!(host.refused(), [(resent, Code::SuspectNotAdmitted)]);
}

/// Guards against a caller who hangs up just before each crash.
#[test]
fn an_abandoned_request_is_a_suspect_too() {
    let mut host = Host::new(|_| {});
    let id = host.send(|t| t.fingerprint = CRASHING);
    let (_, server) = host.dispatched().remove(0);
    host.step(Event::Cancel(id));
    host.crash(&server, 1);
    assert_eq!(host.shared()[0].fingerprint, CRASHING);
}
