//! Requests that crash backend servers.

use route::{Action, Event, Fingerprint, SuspectState};
use types::{Code, RequestId, RetryReason};

use crate::fixture::{Host, LOCAL};

const CRASHING: Fingerprint = Fingerprint::new(666);

/// Sends the crashing request until no server gets it any more, and returns the number of crashes.
///
/// Every crashed server restarts immediately, and the caller resends after each error.
fn crashes(suspects: bool) -> usize {
    let mut host = Host::new(|cfg| cfg.suspects = suspects);
    let mut incarnations = [1_u64; 3];
    let mut crashes = 0;
    for _ in 0..5 {
        let id = host.send(|t| t.fingerprint = CRASHING);
        while let Some(server) = runs_on(&mut host, id) {
            crashes += 1;
            let at = LOCAL.iter().position(|w| *w == server).expect("a worker");
            host.crash(&server, incarnations[at]);
            host.fail(id, RetryReason::Crash, true);
            let outcome = std::mem::take(&mut host.out);
            incarnations[at] += 1;
            host.now = host.now + types::Micros::from_millis(100);
            host.report(&server, incarnations[at], 0, &["m1"]);
            host.out.splice(0..0, outcome);
        }
    }
    crashes
}

/// Returns the server to which the last step dispatched a request; a requested suspect slot is
/// granted.
fn runs_on(host: &mut Host, id: RequestId) -> Option<String> {
    if host.slot_requested().is_some_and(|(asked, _)| asked == id) {
        host.step(Event::SlotReply { id, granted: true });
    }
    let mut sent = host.dispatched().into_iter();
    sent.find(|(d, _)| *d == id).map(|(_, backend)| backend)
}

/// A crashing request must not take down one server after the other.
#[test]
fn a_crashing_request_takes_down_at_most_two_servers() {
    assert_eq!(crashes(true), 2);
}

#[test]
fn without_suspects_it_takes_down_more() {
    assert!(crashes(false) > 2);
}

/// Crashes `w1` while it runs the crashing request and another one, and returns their ids.
fn crash_with_two(host: &mut Host) -> (RequestId, RequestId) {
    for worker in ["w2", "w3"] {
        host.report(worker, 1, 4, &["m1"]);
    }
    let crashing = host.send(|t| t.fingerprint = CRASHING);
    let other = host.send(|_| {});
    host.crash("w1", 1);
    for worker in ["w2", "w3"] {
        host.advance(1);
        host.report(worker, 1, 0, &["m1"]);
    }
    (crashing, other)
}

/// A request that shared a server with the cause of a crash must not be confirmed as the cause.
#[test]
fn the_cause_is_confirmed_and_the_other_suspect_is_cleared() {
    let mut host = Host::new(|_| {});
    let (crashing, other) = crash_with_two(&mut host);
    host.fail(crashing, RetryReason::Crash, true);
    let on = runs_on(&mut host, crashing).expect("a slot");
    host.fail(other, RetryReason::Crash, true);
    let other_server = runs_on(&mut host, other).expect("a slot");
    assert_ne!(on, other_server, "one suspect per server");
    host.crash(&on, 1);
    assert_eq!(host.shared()[0].state, SuspectState::Confirmed);
    assert_eq!(host.shared()[0].fingerprint, CRASHING);
    host.fail(crashing, RetryReason::Crash, true);
    assert_eq!(host.refused(), [(crashing, Code::BackendCrashed)]);
    host.finish(other);
    let again = host.send(|t| t.fingerprint = Fingerprint::new(2));
    assert!(host.slot_requested().is_none());
    assert_eq!(host.dispatched()[0].0, again);
}

/// A resend must not reach another host before the suspect record does.
#[test]
fn suspect_records_are_shared_before_the_refusal() {
    let mut host = Host::new(|_| {});
    let booking = host.send(|t| t.idempotent = false);
    host.fail(booking, RetryReason::Crash, true);
    let share = |a: &Action| matches!(a, Action::ShareSuspects(_));
    let refuse = |a: &Action| matches!(a, Action::Refuse { .. });
    let shared = host.out.iter().position(share).expect("suspect records");
    let refused = host.out.iter().position(refuse).expect("a refusal");
    assert!(shared < refused);
}

/// A confirmation must neither expire early nor last forever.
#[test]
fn a_confirmation_lasts_ten_minutes() {
    let mut host = Host::new(|_| {});
    host.step(Event::Suspects(vec![route::SuspectRecord {
        fingerprint: CRASHING,
        state: SuspectState::Confirmed,
        backend: "w1".parse().expect("a name"),
        incarnation: types::Incarnation::new(1),
    }]));
    host.advance(599_999);
    let early = host.send(|t| t.fingerprint = CRASHING);
    assert_eq!(host.refused(), [(early, Code::CrashingRequest)]);
    host.advance(1);
    host.send(|t| t.fingerprint = CRASHING);
    assert_eq!(host.dispatched().len(), 1);
}

/// Two suspects on one server would leave the cause of its next crash unknown.
#[test]
fn a_second_suspect_waits_for_a_server_without_one() {
    let mut host = Host::new(|_| {});
    let (crashing, other) = crash_with_two(&mut host);
    host.set("w3", route::Liveness::Dead);
    host.fail(crashing, RetryReason::Crash, true);
    assert_eq!(runs_on(&mut host, crashing).as_deref(), Some("w2"));
    host.fail(other, RetryReason::Crash, true);
    assert!(host.slot_requested().is_none() && host.dispatched().is_empty());
    host.finish(crashing);
    assert_eq!(runs_on(&mut host, other).as_deref(), Some("w2"));
}

/// A suspect must not run without a granted slot.
#[test]
fn a_suspect_whose_slot_request_times_out_is_refused_and_not_run() {
    let mut host = Host::new(|_| {});
    let first = host.send(|t| t.idempotent = false);
    let fingerprint = Fingerprint::new(1);
    host.fail(first, RetryReason::Crash, true);
    let resent = host.send(|t| t.fingerprint = fingerprint);
    assert!(host.slot_requested().is_some());
    host.advance(1_000);
    assert_eq!(host.refused(), [(resent, Code::SuspectNotAdmitted)]);
}

/// A caller that cancels just before each crash must not hide the cause.
#[test]
fn an_abandoned_request_is_a_suspect_too() {
    let mut host = Host::new(|_| {});
    let id = host.send(|t| t.fingerprint = CRASHING);
    let (_, server) = host.dispatched().remove(0);
    host.step(Event::Cancel(id));
    host.crash(&server, 1);
    assert_eq!(host.shared()[0].fingerprint, CRASHING);
}
