//! A request that was dispatched before its suspect record arrived.
//!
//! It did not run in a suspect slot, so its second crash confirmed no cause and it took down a
//! third server.

use route::{Action, Event, Fingerprint, SuspectRecord, SuspectState};
use types::{Code, Incarnation, RetryReason};

use crate::fixture::Host;

const CRASHING: Fingerprint = Fingerprint::new(666);

/// Returns the suspect record that another host shares after the first crash.
fn first_crash() -> SuspectRecord {
    SuspectRecord {
        fingerprint: CRASHING,
        state: SuspectState::Suspected,
        backend: "w9".parse().expect("a name"),
        incarnation: Incarnation::new(1),
    }
}

#[test]
fn a_request_whose_record_arrived_late_is_confirmed_at_its_second_crash() {
    let mut host = Host::new(|_| {});
    let id = host.send(|t| t.fingerprint = CRASHING);
    let (_, backend) = host.dispatched().remove(0);

    host.step(Event::Suspects(vec![first_crash()]));
    host.crash(&backend, 1);

    let confirmed = host.out.iter().any(|action| {
        matches!(action, Action::ShareSuspects(records)
            if records.iter().any(|m| m.state == SuspectState::Confirmed))
    });
    assert!(confirmed, "{:?}", host.out);
    host.fail(id, RetryReason::Crash, true);
    host.send(|t| t.fingerprint = CRASHING);
    let refused = host.out.iter().any(
        |action| matches!(action, Action::Refuse { code, .. } if *code == Code::CrashingRequest),
    );
    assert!(refused, "{:?}", host.out);
}

#[test]
fn of_two_requests_without_a_slot_none_is_confirmed() {
    let mut host = Host::new(|_| {});
    for worker in ["w2", "w3"] {
        host.report(worker, 1, 4, &["m1"]);
    }
    let other = Fingerprint::new(667);
    host.send(|t| t.fingerprint = CRASHING);
    host.send(|t| t.fingerprint = other);

    let mut second = first_crash();
    second.fingerprint = other;
    host.step(Event::Suspects(vec![first_crash(), second]));
    host.crash("w1", 1);

    let records = host
        .out
        .iter()
        .filter(|a| matches!(a, Action::ShareSuspects(_)));
    assert_eq!(records.count(), 0, "{:?}", host.out);
}
