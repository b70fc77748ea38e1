//! Probes of backend servers that seemed to crash.

use route::{BackendRegistration, Event};
use types::{Incarnation, RetryReason};

use crate::fixture::{Host, LOCAL, id};

/// Time after a crash from which a server is probed, in milliseconds.
const PROBE_MS: u64 = 1_000;

fn register(host: &mut Host, worker: &str, incarnation: u64) {
    host.step(Event::Registered {
        backend: id(worker),
        registration: BackendRegistration {
            incarnation: Incarnation::new(incarnation),
            models: vec!["m1".parse().expect("a name")],
            ..BackendRegistration::default()
        },
    });
}

/// Returns a host whose workers are registered with the platform.
fn host() -> Host {
    let mut host = Host::empty(|cfg| {
        cfg.suspect_slots = false;
        cfg.forwarding = false;
    });
    for worker in LOCAL {
        register(&mut host, worker, 1);
    }
    host
}

/// Sends a request and returns the worker that gets it.
fn send(host: &mut Host) -> Option<(types::RequestId, String)> {
    host.send(|_| {});
    host.dispatched().pop()
}

/// Guards against servers that are never used again after a network reset their connections for a while.
#[test]
fn servers_that_all_seemed_to_crash_are_used_again_while_they_are_registered() {
    let mut host = host();
    for worker in LOCAL {
        host.crash(worker, 1);
    }
    assert_eq!(send(&mut host), None);

    host.advance(PROBE_MS + 1);
    let probes = LOCAL.map(|_| send(&mut host).expect("a probe"));
    for (request, _) in probes {
        host.finish(request);
    }

    let workers: Vec<String> = (0..12).filter_map(|_| Some(send(&mut host)?.1)).collect();
    assert_eq!(workers.len(), 12, "{workers:?}");
}

/// Guards against many requests that meet a server which has crashed.
#[test]
fn a_server_that_seemed_to_crash_gets_a_single_request_until_it_responds() {
    let mut host = host();
    for worker in LOCAL {
        host.crash(worker, 1);
    }
    host.advance(PROBE_MS + 1);

    let mut workers: Vec<String> = (0..12).filter_map(|_| Some(send(&mut host)?.1)).collect();

    workers.sort_unstable();
    assert_eq!(workers, LOCAL);
}

/// Guards against a probe that fails and lets the next requests through.
#[test]
fn a_failed_probe_takes_the_server_out_of_use_again() {
    let mut host = host();
    for worker in LOCAL {
        host.crash(worker, 1);
    }
    host.advance(PROBE_MS + 1);
    for _ in LOCAL {
        let (request, _) = send(&mut host).expect("a probe");
        host.fail(request, RetryReason::Unreachable, false);
        host.step(Event::Cancel(request));
    }

    host.advance(PROBE_MS / 2);
    assert_eq!(send(&mut host), None);
    host.advance(PROBE_MS);
    assert!(send(&mut host).is_some());
}

/// Guards against a process that has ended and is probed although its entry is gone or names another one.
#[test]
fn only_the_registered_process_is_probed() {
    let mut host = host();
    for worker in LOCAL {
        host.crash(worker, 1);
        host.report(worker, 2, 0, &[]);
        host.crash(worker, 2);
    }

    host.advance(2 * PROBE_MS);

    assert_eq!(send(&mut host), None);
}
