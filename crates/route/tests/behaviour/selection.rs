//! Selection of a backend server or of another data centre.

use std::collections::BTreeMap;

use route::{Action, BackendLoad, Event, Liveness};
use types::{Code, Incarnation, Micros, RetryReason};

use crate::fixture::{Host, LIMIT, deployment, id, model, order};

/// Returns the number of requests per server for `n` requests.
fn spread(host: &mut Host, n: usize) -> BTreeMap<String, usize> {
    let mut per_server = BTreeMap::new();
    for _ in 0..n {
        host.send(|_| {});
        for (_, backend) in host.dispatched() {
            *per_server.entry(backend).or_insert(0) += 1;
        }
    }
    per_server
}

/// A server known to be leaving or dead must not get new work.
#[test]
fn leaving_and_dead_servers_get_no_work() {
    let mut host = Host::new(|_| {});
    host.set("w1", Liveness::Leaving);
    host.set("w2", Liveness::Dead);
    let used = spread(&mut host, 4);
    assert_eq!(used.keys().collect::<Vec<_>>(), ["w3"]);
}

#[test]
fn without_liveness_a_leaving_server_gets_work() {
    let mut host = Host::new(|cfg| cfg.liveness = false);
    host.set("w1", Liveness::Leaving);
    assert!(spread(&mut host, 9).contains_key("w1"));
}

/// A delayed platform list must not revive a leaving server.
#[test]
fn a_server_that_reports_itself_as_leaving_gets_no_work_until_it_restarts() {
    let mut host = Host::new(|_| {});
    let first = host.send(|_| {});
    let (_, left) = host.dispatched().remove(0);
    host.fail(first, RetryReason::Leaving, false);
    host.set(&left, Liveness::Live);
    host.report(&left, 1, 0, &["m1"]);
    assert!(!spread(&mut host, 5).contains_key(&left));
    host.advance(10);
    host.report(&left, 2, 0, &["m1"]);
    assert!(spread(&mut host, 6).contains_key(&left));
}

/// A digest from a peer that reports a leaving server must not be ignored.
#[test]
fn a_digest_reports_a_leaving_server() {
    let mut host = Host::new(|_| {});
    host.step(Event::Digest {
        backend: id("w1"),
        load: BackendLoad {
            incarnation: Incarnation::new(1),
            liveness: Liveness::Leaving,
            in_flight: 0,
            own: 0,
            tokens_per_second: 0,
            residents: 0,
        },
        age: Micros::from_millis(900),
    });
    assert!(!spread(&mut host, 8).contains_key("w1"));
}

/// No server has more requests in flight than its limit.
#[test]
fn requests_in_flight_stay_within_the_limit() {
    let mut host = Host::new(|_| {});
    let used = spread(&mut host, 20);
    assert!(used.values().all(|&n| n <= LIMIT as usize), "{used:?}");
    assert_eq!(host.router.queue_len(), 8);
}

#[test]
fn without_limits_a_server_gets_more_than_it_runs() {
    let mut host = Host::new(|cfg| cfg.in_flight_limits = false);
    let used = spread(&mut host, 20);
    assert!(used.values().any(|&n| n > LIMIT as usize), "{used:?}");
}

/// Requests must not all go to the server that an old report shows as idle.
#[test]
fn own_requests_correct_a_stale_report() {
    let sent_to_idle = |corrected: bool| {
        let mut host = Host::new(|cfg| {
            cfg.report_correction = corrected;
            cfg.in_flight_limits = false;
        });
        host.report("w1", 1, 0, &["m1"]);
        host.report("w2", 1, 3, &["m1"]);
        host.report("w3", 1, 3, &["m1"]);
        spread(&mut host, 9).get("w1").copied().unwrap_or_default()
    };
    assert!(sent_to_idle(true) <= 5);
    assert_eq!(sent_to_idle(false), 9);
}

/// Own requests must not count twice, in the report and as in flight.
#[test]
fn an_aged_report_is_compared_with_the_own_requests_of_its_time() {
    let mut host = Host::new(|_| {});
    host.advance(1_000);
    let sent: Vec<_> = (0..3).map(|_| host.send(|_| {})).collect();
    host.advance(500);
    for id in sent {
        host.finish(id);
    }
    // Measured 300 ms ago, when the three requests were still in flight.
    for worker in crate::fixture::LOCAL {
        host.report_aged(worker, 1, 1, &["m1"], 300);
    }
    let now = host.now;
    let seen: Vec<_> = host
        .router
        .backends(now)
        .map(|b| b.load.in_flight)
        .collect();
    assert_eq!(seen, [0; 6]);
}

/// Requests go to the worker that has their prompt prefix cached.
#[test]
fn a_cached_prefix_attracts_requests_until_an_event_gap() {
    let mut host = Host::new(|_| {});
    let prefix = Event::PrefixCached {
        backend: id("w3"),
        prefix: 42,
    };
    let to_w3 = |host: &mut Host| {
        let sent = host.send(|t| {
            t.prompt_tokens = 10_000;
            t.prefixes = vec![42];
            t.idempotent = false;
        });
        let hit = host.dispatched()[0].1 == "w3";
        host.fail(sent, RetryReason::ConnectionLost, true);
        hit
    };
    host.step(prefix);
    assert!((0..10).all(|_| to_w3(&mut host)));
    host.step(Event::PrefixGap(id("w3")));
    let mut without_hints = Host::new(|cfg| cfg.prefix_hints = false);
    assert!(!(0..10).all(|_| to_w3(&mut without_hints)));
}

/// A request for a model in another data centre must be forwarded rather than refused, and must not
/// be forwarded twice.
#[test]
fn a_request_for_a_remote_model_is_forwarded_once() {
    let mut host = Host::new(|_| {});
    host.step(Event::RemoteModels {
        dc: "b".parse().expect("a name"),
        models: vec!["m2".parse().expect("a name")],
    });
    host.send(|t| t.target = model("m2"));
    assert!(matches!(&host.out[0], Action::Forward { dc, .. } if dc.as_str() == "b"));
    let twice = host.send(|t| {
        t.target = model("m2");
        t.forwarded = true;
    });
    assert_eq!(host.refused(), [(twice, Code::NotResident)]);
}

/// Different causes must have different result codes.
#[test]
fn refusals_name_their_reason() {
    let mut host = Host::new(|_| {});
    let absent = host.send(|t| t.target = model("m2"));
    assert_eq!(host.refused(), [(absent, Code::NotResident)]);
    assert!(
        matches!(&host.out[0], Action::RequestPlacement { model, .. } if model.as_str() == "m2")
    );
    for worker in crate::fixture::LOCAL {
        host.set(worker, Liveness::Dead);
    }
    let dead = host.send(|_| {});
    assert_eq!(host.refused(), [(dead, Code::NoBackend)]);
    let unknown = host.send(|t| t.target = model("m3"));
    assert_eq!(host.refused(), [(unknown, Code::UnknownModel)]);
}

/// A plain service must not be lost with its server in one data centre.
#[test]
fn a_plain_request_is_forwarded_when_the_local_server_is_gone() {
    let mut host = Host::new(|_| {});
    host.set("p1", Liveness::Leaving);
    host.send(order);
    assert!(matches!(&host.out[0], Action::Forward { dc, .. } if dc.as_str() == "b"));
}

/// State must not be lost when indexes change with a new configuration.
#[test]
fn a_new_configuration_keeps_requests_and_views() {
    let mut host = Host::new(|_| {});
    let running = host.send(|_| {});
    let (_, backend) = host.dispatched().remove(0);
    let mut changed = deployment();
    changed.models.remove(1);
    changed.models.insert(0, changed.models[0].clone());
    changed.models[0].id = "a0".parse().expect("a name");
    changed.backends.remove(0);
    host.configure(2, changed);
    let now = host.now;
    let own = |host: &Host| {
        let mut views = host.router.backends(now);
        views.find(|b| b.id.as_str() == backend).map(|b| b.load.own)
    };
    assert_eq!(own(&host), Some(1));
    host.finish(running);
    assert_eq!(own(&host), Some(0));
    host.send(|_| {});
    assert_eq!(host.dispatched().len(), 1);
}

/// A model whose data centre has no capacity must not be refused as not resident.
#[test]
fn a_request_refused_elsewhere_is_forwarded_again_until_its_deadline() {
    let mut host = Host::new(|_| {});
    host.step(Event::RemoteModels {
        dc: "b".parse().expect("a name"),
        models: vec!["m2".parse().expect("a name")],
    });
    let forwards = |host: &Host| {
        let is = |a: &&Action| matches!(a, Action::Forward { .. });
        host.out.iter().filter(is).count()
    };
    let id = host.send(|t| t.target = model("m2"));
    let mut sent = forwards(&host);
    for _ in 0..50 {
        if forwards(&host) > 0 {
            host.fail(id, RetryReason::Refused, false);
        }
        if !host.refused().is_empty() {
            break;
        }
        host.advance(100);
        sent += forwards(&host);
    }
    assert_eq!(host.refused(), [(id, Code::DeadlineUnreachable)]);
    assert_eq!(sent, 5, "the pauses of 0.2, 0.4, 0.8 and 1.6 s double");
}

/// Returns the mean batch size of a new request after 16 hosts with the same old reports sent ten
/// requests each.
///
/// The reports show two requests on a quarter of 48 workers and more on the others.
fn mean_batch(choices: u32) -> f64 {
    const LOADS: [u32; 4] = [2, 5, 9, 5];
    let mut deployment = deployment();
    let names: Vec<String> = (0..48).map(|at| format!("x{at:02}")).collect();
    deployment.backends.clear();
    for name in &names {
        let mut worker = crate::fixture::server(name, "a", "chat");
        worker.max_in_flight = 64;
        deployment.backends.push(worker);
    }
    let mut total: BTreeMap<String, usize> = BTreeMap::new();
    for seed in 0..16 {
        let mut host = Host::seeded(seed, |cfg| cfg.sampled_candidates = choices);
        host.configure(2, deployment.clone());
        for (name, load) in names.iter().zip(LOADS.into_iter().cycle()) {
            host.report(name, 1, load, &["m1"]);
        }
        for (server, n) in spread(&mut host, 10) {
            *total.entry(server).or_insert(0) += n;
        }
    }
    let loads = names.iter().zip(LOADS.into_iter().cycle());
    let batches = loads.map(|(name, load)| {
        let sent = total.get(name).copied().unwrap_or_default();
        sent * (sent + load as usize)
    });
    batches.sum::<usize>() as f64 / 160.0
}

/// Hosts must not all send to the servers that the last reports show as idle.
#[test]
fn a_few_random_choices_spread_the_hosts() {
    let (few, all) = (mean_batch(2), mean_batch(0));
    println!("mean batch {few} with two choices, {all} with all");
    assert!(few < 0.8 * all);
}
