//! Failed attempts.

use types::{Code, ExecutionStatus, RetryReason};

use crate::fixture::{Host, order};

/// A non-idempotent request must not run twice.
#[test]
fn a_non_idempotent_request_that_may_have_run_is_never_sent_again() {
    let mut host = Host::new(|_| {});
    let booking = host.send(|t| t.idempotent = false);
    host.fail(booking, RetryReason::ConnectionLost, true);
    assert!(host.dispatched().is_empty());
    assert_eq!(host.refused(), [(booking, Code::ConnectionCut)]);
}

#[test]
fn without_the_rule_it_is_sent_again() {
    let mut host = Host::new(|cfg| cfg.at_most_once = false);
    let booking = host.send(|t| t.idempotent = false);
    host.fail(booking, RetryReason::ConnectionLost, true);
    assert_eq!(host.dispatched().len(), 1);
}

/// A request that did not run must be retried rather than refused.
#[test]
fn a_request_that_did_not_run_goes_to_another_server() {
    let mut host = Host::new(|_| {});
    let booking = host.send(|t| t.idempotent = false);
    let (_, first) = host.dispatched().remove(0);
    host.fail(booking, RetryReason::Unreachable, false);
    let (_, second) = host.dispatched().remove(0);
    assert_ne!(first, second);
}

/// A request that may have run must not be refused as not run.
#[test]
fn a_refusal_after_an_attempt_never_says_not_run() {
    let mut host = Host::new(|cfg| cfg.max_attempts = 9);
    let id = host.send(|_| {});
    host.fail(id, RetryReason::ConnectionLost, true);
    host.fail(id, RetryReason::Unreachable, false);
    host.fail(id, RetryReason::Unreachable, false);
    let (_, code) = host.refused()[0];
    assert_ne!(code.ran(), ExecutionStatus::No, "{code}");
}

/// Returns the number of retries of 100 requests whose first attempt is cut.
fn retries(budget: bool) -> usize {
    let mut host = Host::new(|cfg| cfg.retry_budget = budget);
    let mut retried = 0;
    for _ in 0..100 {
        let id = host.send(|_| {});
        host.fail(id, RetryReason::ConnectionLost, true);
        retried += host.dispatched().len();
        host.step(route::Event::Cancel(id));
    }
    retried
}

/// Retries must not double the load in an outage.
#[test]
fn retries_stay_within_the_budget() {
    assert_eq!(retries(true), 10);
}

#[test]
fn without_a_budget_every_failure_is_retried() {
    assert_eq!(retries(false), 100);
}

/// A retry must not append to a response that the caller already reads.
#[test]
fn an_answer_that_has_begun_is_not_started_again() {
    let mut host = Host::new(|_| {});
    let id = host.send(|_| {});
    host.step(route::Event::Failed {
        id,
        failure: route::Failure {
            reason: RetryReason::ConnectionLost,
            may_have_run: true,
            answered: true,
            resumes: false,
        },
    });
    assert_eq!(host.refused(), [(id, Code::StreamInterrupted)]);
}

/// A request to a plain service must not be retried after its only server crashed.
#[test]
fn an_order_ends_with_its_first_attempt() {
    let mut host = Host::new(|_| {});
    let id = host.send(order);
    host.fail(id, RetryReason::Crash, true);
    assert_eq!(host.refused(), [(id, Code::BackendCrashed)]);
}
