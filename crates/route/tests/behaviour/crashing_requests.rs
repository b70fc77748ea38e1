//! Requests that crash each server which begins to run them, and the ways in which a crash may be missed.

use config::Deployment;
use rand::RngExt;
use route::{Action, CrashUpdate, Event, Failure, Fingerprint, TrialReply, TrialRequest};
use types::{Code, Micros, PromptPart, RequestId, RetryReason};

use crate::{
    fixture::{Host, LOCAL, deployment},
    fleet::{CRASHING_REQUEST, Fleet, MAX_LATER_REQUESTS, SHARED},
};

/// Request that crashes servers. Its fingerprint sorts behind all others.
const CRASHING: Fingerprint = Fingerprint::new(u128::MAX);

/// Part of all prompts.
const SHARED_PART: u64 = 1;

/// Number of requests that a server runs beside the crashing one.
const IN_FLIGHT: u64 = 300;

/// Returns the deployment of the fixture with servers that run any number of requests.
fn roomy_deployment() -> Deployment {
    let mut all = deployment();
    for server in &mut all.backends {
        server.max_in_flight = 10_000;
    }
    all
}

fn host() -> Host {
    let mut host = Host::new(|cfg| {
        cfg.suspect_slots = false;
        cfg.retry_budget = false;
        cfg.forwarding = false;
    });
    host.configure(2, roomy_deployment());
    host
}

/// Sends the crashing request, for which other hosts grant each trial. Returns it with its server, or `None` if
/// it is refused.
fn send_crashing(host: &mut Host) -> Option<(RequestId, String)> {
    let id = host.send(|r| {
        r.fingerprint = CRASHING;
        r.idempotent = false;
        r.options.parts = vec![PromptPart::new(SHARED_PART)];
    });
    let trial = host.out.iter().find_map(|action| match action {
        Action::RequestTrial { trial, .. } => Some(*trial),
        _ => None,
    });
    if let Some(TrialRequest { suspect, .. }) = trial {
        let reply = TrialReply::Granted;
        host.step(Event::TrialReply { id, suspect, reply });
    }
    host.dispatched().pop().map(|(_, server)| (id, server))
}

/// Sends harmless requests, each with a part of its own. Returns those that a server runs.
fn send_harmless(host: &mut Host, server: &str, first_part: u64) -> Vec<RequestId> {
    let mut there = Vec::new();
    for number in 0..IN_FLIGHT * 3 {
        let parts = vec![
            PromptPart::new(SHARED_PART),
            PromptPart::new(first_part + number),
        ];
        let id = host.send(|r| r.options.parts = parts);
        if host.dispatched().iter().any(|(_, to)| to == server) {
            there.push(id);
        }
    }
    there
}

/// Returns the updates on crashes that the host shared in the last step.
fn shared_updates(host: &Host) -> Vec<CrashUpdate> {
    let updates = host.out.iter().filter_map(|action| match action {
        Action::ShareCrashes(update) => Some(update.clone()),
        _ => None,
    });
    updates.collect()
}

fn names_crashing(update: &CrashUpdate) -> bool {
    let suspect = route::Suspect::Request(CRASHING);
    update
        .crashes
        .iter()
        .any(|crash| crash.suspects.contains(&suspect))
}

/// Returns whether the host refuses the crashing request because it crashes servers.
fn refuses_crashing(host: &mut Host) -> bool {
    send_crashing(host);
    host.refused()
        .iter()
        .any(|(_, code)| *code == Code::CrashingRequest)
}

/// Guards against a crashing request that is cut off from the report of a crash because many others were
/// in flight.
#[test]
fn a_request_that_crashes_servers_among_hundreds_is_refused() {
    let mut host = host();
    for incarnation in 1..=2 {
        let (id, server) = send_crashing(&mut host).expect("a server");
        let harmless = send_harmless(&mut host, &server, 1_000 * incarnation);
        host.crash(&server, incarnation);
        host.fail(id, RetryReason::Crash, true);
        for id in harmless {
            host.fail(id, RetryReason::Crash, true);
        }
        for worker in LOCAL {
            host.report(worker, incarnation + 1, 0, &["m1"]);
        }
        host.advance(5_000);
    }

    assert!(refuses_crashing(&mut host));
}

/// Guards against a crashing request that is missing in what other hosts are told of a crash.
#[test]
fn other_hosts_learn_of_a_request_that_crashes_servers_among_hundreds() {
    let (mut first, mut second) = (host(), host());
    for (host, other) in [(true, false), (false, true)] {
        let pair = if host {
            (&mut first, &mut second)
        } else {
            (&mut second, &mut first)
        };
        let (_, server) = send_crashing(pair.0).expect("a server");
        let harmless = send_harmless(pair.0, &server, 1_000 + u64::from(other) * 5_000);
        assert!(!harmless.is_empty());
        pair.0.crash(&server, 1 + u64::from(other));
        for update in shared_updates(pair.0) {
            pair.1.step(Event::CrashUpdate(update));
        }
        for worker in LOCAL {
            pair.0.report(worker, 2, 0, &["m1"]);
            pair.1.report(worker, 2, 0, &["m1"]);
        }
    }

    assert!(refuses_crashing(&mut first));
    assert!(refuses_crashing(&mut second));
}

/// Guards against a crashing request whose caller had left, so that its host does not notice the crash that
/// other hosts report.
#[test]
fn a_host_adds_its_requests_to_a_crash_that_another_host_reports() {
    let (mut observer, mut sender) = (host(), host());
    let (id, server) = send_crashing(&mut sender).expect("a server");
    sender.step(Event::Cancel(id));
    sender.advance(200);
    let harmless = send_harmless(&mut observer, &server, 1_000);
    assert!(!harmless.is_empty());
    observer.crash(&server, 1);

    for update in shared_updates(&observer) {
        sender.step(Event::CrashUpdate(update));
    }

    let added: Vec<CrashUpdate> = shared_updates(&sender);
    assert!(added.iter().any(names_crashing), "{added:?}");
}

/// Guards against a crash at a server that was tried beside a silent one and teaches nothing.
#[test]
fn a_crash_of_a_server_that_was_to_take_over_is_recorded() {
    let mut host = host();
    let id = host.send(|r| r.fingerprint = CRASHING);
    host.step(Event::Stalled(id));
    assert_eq!(host.dispatched().len(), 1);

    let failure = Failure {
        reason: RetryReason::Crash,
        may_have_run: true,
        answered: false,
        resumes: false,
    };
    let failure = Some(failure);
    host.step(Event::TakeoverFailed { id, failure });

    let shared = shared_updates(&host);
    assert!(shared.iter().any(names_crashing), "{:?}", host.out);
}

/// Returns the deployment without a server.
fn deployment_without(server: &str) -> Deployment {
    let mut all = roomy_deployment();
    all.backends.retain(|b| b.id.as_str() != server);
    all
}

/// Guards against a crash that teaches nothing because the platform removed the server's entry first.
#[test]
fn a_crash_of_a_server_whose_entry_is_gone_is_recorded() {
    let mut host = host();
    for round in 1..=2 {
        let (id, server) = send_crashing(&mut host).expect("a server");
        host.configure(10 * round, deployment_without(&server));

        host.crash(&server, round);
        host.fail(id, RetryReason::Crash, true);

        host.configure(10 * round + 1, roomy_deployment());
        for worker in LOCAL {
            host.report(worker, round + 1, 0, &["m1"]);
        }
    }

    assert!(refuses_crashing(&mut host));
}

/// Guards against a crash that teaches nothing because the server is back, or cannot be reached, when its
/// port is checked.
#[test]
fn a_response_that_broke_shortly_before_a_new_incarnation_counts_as_a_crash() {
    let mut host = host();
    for incarnation in 1..=2 {
        let (id, _) = send_crashing(&mut host).expect("a server");
        host.fail(id, RetryReason::Truncated, true);
        host.advance(1_500);

        for worker in LOCAL {
            host.report(worker, incarnation + 1, 0, &["m1"]);
        }
    }

    assert!(refuses_crashing(&mut host));
}

/// Guards against a paused host that takes a response for sustained because time has passed.
#[test]
fn a_response_is_not_sustained_because_its_host_was_paused() {
    let mut host = host();
    for incarnation in 1..=2 {
        let (id, server) = send_crashing(&mut host).expect("a server");
        host.step(Event::FirstByte(id));
        host.now = host.now + Micros::from_secs(3);
        host.step(Event::Tick);

        host.crash(&server, incarnation);
        host.fail(id, RetryReason::Crash, true);
        for worker in LOCAL {
            host.report(worker, incarnation + 1, 0, &["m1"]);
        }
    }

    assert!(refuses_crashing(&mut host));
}

/// Steps from the crash of the only server with a model to its restart, more than the time after which the
/// bound on further requests holds.
const LONG_RESTART_STEPS: u64 = 220;

/// Guards against copies of a crashing request that are sent without limit before its second crash: those in
/// flight at the first crash, and those that wait for the only server with their model and are sent at once
/// when it is back.
#[test]
fn few_copies_of_a_crashing_request_are_sent_though_many_are_in_flight_and_waiting() {
    for (seed, interval) in (0..20).flat_map(|seed| [(seed, 1), (seed, 3), (seed, 11)]) {
        let case = format!("seed {seed}, each {interval} steps");
        let models = [&["m1"][..], &["m2"], &["m2"]];
        let mut fleet = Fleet::with_models(3, seed, &[CRASHING_REQUEST], models);
        fleet.restart_steps = LONG_RESTART_STEPS;
        fleet.run(50, |_| {});
        fleet.run(900, |fleet| {
            if fleet.step.is_multiple_of(interval) {
                let host = fleet.rng.random_range(0..fleet.hosts.len());
                fleet.send_crashing_request(host, &[SHARED]);
            }
        });

        let later = fleet.arrivals_after_bound(CRASHING_REQUEST);
        assert!(later <= MAX_LATER_REQUESTS, "{case}: {later} later");
        let share = fleet.dispatched_share(fleet.step - 100);
        assert!(share > 0.9, "{case}: {share} of the harmless requests");
    }
}

/// Guards against harmless requests that wait for other hosts after the crash of their server.
#[test]
fn a_request_in_flight_at_one_crash_is_sent_again_at_once() {
    let mut host = host();
    let id = host.send(|_| {});
    let (_, server) = host.dispatched().pop().expect("a server");

    host.crash(&server, 1);
    host.fail(id, RetryReason::Crash, true);

    assert_eq!(host.dispatched().len(), 1, "{:?}", host.out);
}

/// Guards against a repetition of a harmless request that is refused, or waits, after its trial was answered.
#[test]
fn a_response_to_a_trial_lets_all_copies_of_a_request_pass() {
    let mut host = host();
    let id = host.send(|r| r.fingerprint = CRASHING);
    let (_, server) = host.dispatched().pop().expect("a server");
    host.crash(&server, 1);
    host.step(Event::Cancel(id));
    let (trial, _) = send_crashing(&mut host).expect("a trial");
    let waiting = host.send(|r| r.fingerprint = CRASHING);
    assert!(host.dispatched().is_empty());

    host.finish(trial);

    let dispatched: Vec<RequestId> = host.dispatched().iter().map(|d| d.0).collect();
    assert_eq!(dispatched, [waiting]);
}
