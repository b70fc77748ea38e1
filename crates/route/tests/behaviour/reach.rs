//! Backend servers that are out of reach or silent, replayed for the troubles that showed them.

use route::{Event, LatencyMetric, RetryLimits, SentLoad, Settings};
use types::{Code, Deadline, Micros, RetryReason};

use crate::fixture::{Host, LOCAL, order};

fn first_token(cfg: &mut Settings) {
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
    let mut host = Host::empty(first_token);
    for worker in LOCAL {
        host.report(worker, 1, 0, &["m1"]);
    }
    host
}

/// Returns the worker of the last step's dispatch.
fn chosen(host: &Host) -> String {
    host.dispatched().pop().expect("a dispatch").1
}

fn suspected(worker: &str, hosts: u16) -> (types::BackendId, SentLoad) {
    let load = SentLoad {
        unreachable_reports: hosts,
        ..SentLoad::default()
    };
    (worker.parse().expect("a name"), load)
}

/// Replays a cut: requests went on to a server behind it on connections that stayed open, and it
/// counted as failing only after their callers had left.
#[test]
fn a_server_that_owes_an_answer_gets_no_further_request() {
    let mut host = host();
    host.send(|_| {});
    let silent = chosen(&host);

    host.pass(450);
    let later: Vec<String> = (0..6)
        .map(|_| {
            host.send(|_| {});
            chosen(&host)
        })
        .collect();

    assert!(later.iter().all(|w| *w != silent), "{silent} in {later:?}");
}

/// Guards against a busy server that is avoided although it answers.
#[test]
fn a_server_that_answers_other_requests_is_not_overdue() {
    let mut host = host();
    let mut sent = Vec::new();
    for _ in 0..6 {
        let id = host.send(|_| {});
        sent.push((id, chosen(&host)));
    }
    host.pass(350);
    for worker in LOCAL {
        let one = sent
            .iter()
            .position(|(_, w)| w == worker)
            .expect("a request");
        host.finish(sent.remove(one).0);
    }

    host.pass(200);
    let loads = host.router.sent_loads(host.now);

    assert!(
        loads.iter().all(|(_, l)| l.unreachable_reports == 0),
        "{loads:?}"
    );
}

/// Replays a crash of many servers in a large fleet: each host lost a request to each of them.
#[test]
fn a_server_that_several_hosts_cannot_reach_is_avoided() {
    let mut host = host();
    let until = Deadline::after(host.now, Micros::from_secs(1));

    host.step(Event::PeerLoad {
        host: None,
        sent: vec![suspected("w1", 2), suspected("w2", 1)],
        until,
    });
    let chosen: Vec<String> = (0..8)
        .map(|_| {
            host.send(|_| {});
            chosen(&host)
        })
        .collect();

    assert!(chosen.iter().all(|w| w != "w1"), "{chosen:?}");
    assert!(chosen.iter().any(|w| w == "w2"), "{chosen:?}");
}

/// Guards against a request lost every half second to a server that stays away.
#[test]
fn a_server_that_stays_out_of_reach_is_left_alone_for_longer_each_time() {
    let mut host = host();
    for worker in ["w2", "w3"] {
        host.set(worker, route::Liveness::Dead);
    }
    for _ in 0..2 {
        let id = host.send(|_| {});
        host.fail(id, RetryReason::Unreachable, false);
        host.pass(510);
    }

    host.send(|_| {});
    let after_half_a_second = host.dispatched().len();
    host.pass(500);
    host.send(|_| {});

    assert_eq!(after_half_a_second, 0);
    assert_eq!(host.dispatched().len(), 1);
}

/// Replays a booking whose servers were all out of reach: nothing had run, but the answer said that
/// it might have, so that its caller could not come back.
#[test]
fn a_request_that_reached_no_server_is_refused_as_not_run() {
    let mut host = host();
    let id = host.send(order);
    host.fail(id, RetryReason::Unreachable, false);
    host.pass(600);
    host.fail(id, RetryReason::Unreachable, false);

    let refused: Vec<Code> = host.refused().into_iter().map(|r| r.1).collect();

    assert_eq!(refused, [Code::Unreachable]);
}

/// Replays even load over data centres: three of four requests left theirs although its own server
/// was as fast, and bytes between data centres are dear.
#[test]
fn a_server_of_the_own_data_centre_is_chosen_where_others_are_as_fast() {
    let mut host = Host::empty(|cfg| {
        first_token(cfg);
        cfg.preferred_dc = Some("b".parse().expect("a name"));
    });
    for worker in ["w1", "w2", "w3", "w9"] {
        host.report(worker, 1, 0, &["m1"]);
    }

    let alone = host.send(|_| {});
    let first = chosen(&host);
    host.finish(alone);
    let until = Deadline::after(host.now, Micros::from_secs(1));
    let busy = SentLoad {
        requests: 3,
        prefill_seconds: 0.5,
        ..SentLoad::default()
    };
    host.step(Event::PeerLoad {
        host: None,
        sent: vec![("w9".parse().expect("a name"), busy)],
        until,
    });
    host.send(|_| {});

    assert_eq!(first, "w9");
    assert_ne!(chosen(&host), "w9");
}
