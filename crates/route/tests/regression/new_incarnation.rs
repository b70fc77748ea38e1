//! A server that restarted got no requests for a while, because its new process inherited the cooldown and the
//! failures of the last one.

use types::{Micros, RetryReason};

use crate::fixture::Host;

/// Returns a host on which attempts at its only worker failed because the worker could not be reached.
fn host_after_failures() -> Host {
    let mut host = Host::empty(|cfg| cfg.forwarding = false);
    host.report("w1", 1, 0, &["m1"]);
    for _ in 0..4 {
        let id = host.send(|_| {});
        host.fail(id, RetryReason::Unreachable, false);
        host.now = host.now + Micros::from_millis(10);
    }
    assert!(!sends(&mut host));
    host
}

/// Sends a request and returns whether the worker gets it.
fn sends(host: &mut Host) -> bool {
    let id = host.send(|_| {});
    host.dispatched().iter().any(|(sent, _)| *sent == id)
}

/// Guards against a new process that is not used because its predecessor could not be reached.
#[test]
fn a_new_incarnation_is_used_at_once() {
    let mut host = host_after_failures();

    host.report("w1", 2, 0, &["m1"]);

    assert!(sends(&mut host));
}

/// Guards against a report of the same process that ends its cooldown.
#[test]
fn a_cooldown_outlasts_reports_of_the_same_incarnation() {
    let mut host = host_after_failures();

    host.report("w1", 1, 0, &["m1"]);

    assert!(!sends(&mut host));
}
