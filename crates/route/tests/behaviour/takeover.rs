//! Requests whose server has stalled while another one is tried.

use proptest::prelude::*;
use route::{Event, Failure, LatencyMetric, RetryLimits, Settings};
use types::{Micros, RequestId, RetryReason};

use crate::fixture::{Host, LOCAL, deployment};

fn settings(cfg: &mut Settings) {
    cfg.latency_metric = LatencyMetric::FirstToken;
    cfg.sampled_candidates = 0;
    cfg.dc = None;
    cfg.forwarding = false;
    cfg.in_flight_limits = false;
    cfg.deadline_margin = 1.0;
    cfg.retry_limits = Some(RetryLimits {
        window: Micros::from_secs(10),
        ratio: 0.2,
        slack: 2.0,
    });
}

fn host() -> Host {
    let mut host = Host::empty(settings);
    // A host has no slack in its retry budget until it has run for a window.
    host.advance(10_000);
    for worker in LOCAL {
        host.report(worker, 1, 0, &["m1"]);
    }
    host
}

/// Sends a request that two servers may run. Returns it with its server.
fn send(host: &mut Host) -> (RequestId, String) {
    let id = host.send(|r| r.options.max_attempts = Some(2));
    (id, selected(host).expect("a server"))
}

/// Returns the server of the dispatch in the last step, if any.
fn selected(host: &Host) -> Option<String> {
    host.dispatched().pop().map(|d| d.1)
}

fn stall(host: &mut Host, id: RequestId) -> Option<String> {
    host.step(Event::Stalled(id));
    selected(host)
}

fn take_over(host: &mut Host, id: RequestId) {
    host.step(Event::TakenOver { id, failure: None });
}

fn fail_takeover(host: &mut Host, id: RequestId, may_have_run: bool) {
    let failure = Failure {
        reason: RetryReason::Refused,
        may_have_run,
        answered: false,
        resumes: false,
    };
    host.step(Event::TakeoverFailed {
        id,
        failure: Some(failure),
    });
}

/// Returns the servers of the requests in flight, with their numbers.
fn in_flight(host: &Host) -> Vec<(String, u16)> {
    let loads = host.router.sent_loads(host.now);
    let mut loads: Vec<_> = loads
        .into_iter()
        .map(|(b, load)| (b.to_string(), load.requests))
        .collect();
    loads.retain(|(_, requests)| *requests > 0);
    loads
}

/// Guards against a router that forgets the attempt at a stalled server, which goes on.
#[test]
fn a_stalled_request_counts_at_both_servers_until_it_is_taken_over() {
    let mut host = host();
    let (id, first) = send(&mut host);

    let second = stall(&mut host, id).expect("another server");
    let both = in_flight(&host);
    take_over(&mut host, id);
    let after = in_flight(&host);
    host.finish(id);

    assert_ne!(first, second);
    assert_eq!(both.len(), 2, "{both:?}");
    assert_eq!(after, [(second, 1)]);
    assert_eq!(in_flight(&host), []);
}

/// Guards against a request that is refused because the server that was to take it over failed.
#[test]
fn a_request_stays_at_its_stalled_server_when_the_takeover_fails() {
    for may_have_run in [false, true] {
        let mut host = host();
        let (id, first) = send(&mut host);
        stall(&mut host, id).expect("another server");

        fail_takeover(&mut host, id, may_have_run);

        assert_eq!(host.refused(), []);
        assert_eq!(in_flight(&host), [(first, 1)]);
        // A route with two attempts lets the request run at no third server.
        assert_eq!(stall(&mut host, id).is_none(), may_have_run);
        take_over(&mut host, id);
        host.finish(id);
        assert_eq!(in_flight(&host), []);
    }
}

/// Guards against a stream that loses its only replacement: the other server was cancelled because the
/// stalled one went on, which failed later.
#[test]
fn a_server_whose_attempt_was_cancelled_gets_the_request_when_the_stalled_one_fails() {
    let mut host = host();
    let (id, _) = send(&mut host);
    let second = stall(&mut host, id).expect("another server");
    host.step(Event::TakeoverFailed { id, failure: None });

    host.fail(id, RetryReason::Truncated, true);

    assert_eq!(selected(&host), Some(second));
}

/// Guards against a request that is given up though its first server was only silent: the one that took it
/// over has failed, and the route allows no third one.
#[test]
fn a_silent_server_gets_the_request_again_when_the_one_that_took_over_fails() {
    let mut host = host();
    let (id, first) = send(&mut host);
    let second = stall(&mut host, id).expect("another server");
    take_over(&mut host, id);

    host.fail(id, RetryReason::Truncated, true);
    let again = selected(&host);
    host.fail(id, RetryReason::Truncated, true);

    assert_ne!(first, second);
    assert_eq!(again, Some(first));
    // A server that has failed does not get it again.
    assert_eq!(selected(&host), None);
    assert_eq!(host.refused().len(), 1);
}

/// Guards against a refusal as possibly run when neither the stalled server nor the other one ran the
/// request.
#[test]
fn a_request_that_both_servers_refused_has_not_run() {
    let mut host = host();
    let (id, _) = send(&mut host);
    stall(&mut host, id).expect("another server");
    let failure = Failure {
        reason: RetryReason::Refused,
        may_have_run: false,
        answered: false,
        resumes: false,
    };

    host.step(Event::TakenOver {
        id,
        failure: Some(failure),
    });
    host.fail(id, RetryReason::Refused, false);
    while let Some((id, _)) = host.dispatched().pop() {
        host.fail(id, RetryReason::Refused, false);
    }

    let refused: Vec<_> = host.refused().into_iter().map(|r| r.1.ran()).collect();
    assert_eq!(refused, [types::ExecutionStatus::No]);
}

/// Guards against a takeover that exceeds the retry budget, the route's attempts or the promise to run
/// a request once, and against one that no server can serve.
#[test]
fn a_request_that_must_not_be_sent_again_is_not_taken_over() {
    let mut host = host();
    let (taken, _) = send(&mut host);
    stall(&mut host, taken).expect("another server");
    take_over(&mut host, taken);
    let once = host.send(|r| r.idempotent = false);
    let single = host.send(|r| r.options.max_attempts = Some(1));

    assert_eq!(stall(&mut host, taken), None);
    assert_eq!(stall(&mut host, once), None);
    assert_eq!(stall(&mut host, single), None);
    let taken = (0..10)
        .filter(|_| {
            let (id, _) = send(&mut host);
            stall(&mut host, id).is_some()
        })
        .count();
    assert!(taken < 5, "{taken} takeovers exceed the budget");
}

/// Guards against a request at a removed server, or a panic, when the configuration changes during a
/// takeover.
#[test]
fn a_takeover_survives_a_configuration_without_the_stalled_server() {
    let mut host = host();
    let (id, first) = send(&mut host);
    let second = stall(&mut host, id).expect("another server");
    let mut without = deployment();
    without.backends.retain(|b| b.id.as_str() != first);

    host.configure(2, without);
    fail_takeover(&mut host, id, false);

    assert_eq!(host.refused(), []);
    assert_eq!(in_flight(&host), [], "{second}");
    host.finish(id);
}

/// Guards against a crash of the stalled server that is not attributed to the request.
#[test]
fn a_request_is_suspected_when_its_stalled_server_crashes() {
    let mut host = host();
    let (id, first) = send(&mut host);
    stall(&mut host, id).expect("another server");

    host.crash(&first, 1);

    let suspected = host.shared();
    assert_eq!(
        suspected.first().map(|s| s.fingerprint),
        host.fingerprint(id)
    );
}

#[derive(Clone, Copy, Debug)]
enum Op {
    Send,
    Stall(usize),
    TakenOver(usize),
    TakeoverFailed(usize, bool),
    Finish(usize),
    Fail(usize),
    Cancel(usize),
    Crash(usize),
    Configure,
}

fn ops() -> impl Strategy<Value = Vec<Op>> {
    let op = prop_oneof![
        4 => Just(Op::Send),
        4 => any::<usize>().prop_map(Op::Stall),
        2 => any::<usize>().prop_map(Op::TakenOver),
        2 => (any::<usize>(), any::<bool>()).prop_map(|(at, ran)| Op::TakeoverFailed(at, ran)),
        2 => any::<usize>().prop_map(Op::Finish),
        2 => any::<usize>().prop_map(Op::Fail),
        1 => any::<usize>().prop_map(Op::Cancel),
        1 => (0..LOCAL.len()).prop_map(Op::Crash),
        1 => Just(Op::Configure),
    ];
    prop::collection::vec(op, 1..80)
}

proptest! {
    /// Guards against load that is counted for ever at a server after events in any order, also ones
    /// that a driver must not send.
    #[test]
    fn no_load_remains_after_all_requests_have_ended(ops in ops()) {
        let mut host = host();
        let mut ids = Vec::new();
        let mut version = 1;
        for op in ops {
            let id = |at: usize| ids.get(at % ids.len().max(1)).copied().unwrap_or(RequestId::new(0));
            match op {
                Op::Send => ids.push(host.send(|r| r.options.max_attempts = Some(2))),
                Op::Stall(at) => host.step(Event::Stalled(id(at))),
                Op::TakenOver(at) => take_over(&mut host, id(at)),
                Op::TakeoverFailed(at, ran) => fail_takeover(&mut host, id(at), ran),
                Op::Finish(at) => host.finish(id(at)),
                Op::Fail(at) => host.fail(id(at), RetryReason::ConnectionLost, true),
                Op::Cancel(at) => host.step(Event::Cancel(id(at))),
                Op::Crash(at) => host.crash(LOCAL[at], 1),
                Op::Configure => {
                    version += 1;
                    host.configure(version, deployment());
                }
            }
        }

        for id in ids {
            host.step(Event::Cancel(id));
        }

        prop_assert_eq!(in_flight(&host), []);
    }
}
