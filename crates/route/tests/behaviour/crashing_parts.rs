//! Parts of prompts that crash each server which begins to answer a request with them.
//!
//! Several hosts share their evidence, as they do by datagrams.

use rand::{RngExt, SeedableRng, rngs::StdRng};
use route::{Action, CrashUpdate, Event, MAX_TRIALS, RoutingRequest, Suspect, TrialReply, Verdict};
use types::{Code, Micros, PromptPart, RequestId, RetryReason};

use crate::fixture::{Host, LOCAL, model};

/// Time after the fifth crash from which at most [`MAX_LATER`] requests may reach servers.
const STABLE_WINDOW: Micros = Micros::from_secs(4);
const CRASHES: usize = 5;
const MAX_LATER: usize = 3;

/// Seeds of the simulations. Those above 3 failed once: trials were repeated, sound parts confirmed by
/// trials among other crashes, or never tried because a stronger part could not be tried.
const SEEDS: [u64; 11] = [0, 1, 2, 3, 6, 16, 51, 68, 98, 179, 286];

const SHARED: u64 = 1;
const CRASHING: u64 = 666;

/// Duration of a step of the simulation.
const STEP_MS: u64 = 20;

/// Steps from the dispatch of a request with a crashing part to the crash.
const CRASH_STEPS: u64 = 3;

/// Steps from the crash of a server to its restart.
const RESTART_STEPS: u64 = 40;

/// Steps between two trials of one suspect.
const TRIAL_STEPS: u64 = 100;

/// Request that a server runs.
struct Run {
    host: usize,
    id: RequestId,
    server: usize,
    ends: u64,
    crashes: bool,
}

/// Hosts and servers on virtual time.
struct Fleet {
    hosts: Vec<Host>,
    rng: StdRng,
    step: u64,
    incarnations: Vec<u64>,
    /// Step of the restart of each server that is down.
    down: Vec<Option<u64>>,
    runs: Vec<Run>,
    /// Granted trials and the step of each.
    trials: Vec<(Suspect, u64)>,
    crashing: Vec<u64>,
    /// Parts of the requests that were sent, by host and id.
    sent: Vec<(usize, RequestId, Vec<u64>)>,
    /// Steps at which requests with crashing parts reached servers, and the part.
    arrivals: Vec<(u64, u64)>,
    crashes: Vec<(u64, u64)>,
    sound: Vec<(u64, bool)>,
}

impl Fleet {
    fn new(hosts: u64, seed: u64, crashing: &[u64]) -> Self {
        let host = |n| {
            let mut host = Host::seeded(seed * 100 + n, |cfg| {
                cfg.suspect_slots = false;
                cfg.retry_budget = false;
                cfg.forwarding = false;
            });
            for worker in LOCAL {
                host.report(worker, 1, 0, &["m1", "m2"]);
            }
            host
        };
        Self {
            hosts: (0..hosts).map(host).collect(),
            rng: StdRng::seed_from_u64(seed),
            step: 0,
            incarnations: vec![1; LOCAL.len()],
            down: vec![None; LOCAL.len()],
            runs: Vec::new(),
            trials: Vec::new(),
            crashing: crashing.to_vec(),
            sent: Vec::new(),
            arrivals: Vec::new(),
            crashes: Vec::new(),
            sound: Vec::new(),
        }
    }

    fn crashing_part(&self, parts: &[u64]) -> Option<u64> {
        parts.iter().copied().find(|p| self.crashing.contains(p))
    }

    /// Feeds an event to a host and performs what follows from it at all hosts.
    fn feed(&mut self, host: usize, event: Event) {
        let mut events = vec![(host, event)];
        while !events.is_empty() {
            let (host, event) = events.remove(0);
            self.hosts[host].step(event);
            for action in std::mem::take(&mut self.hosts[host].out) {
                events.extend(self.perform(host, action));
            }
        }
    }

    fn perform(&mut self, host: usize, action: Action) -> Vec<(usize, Event)> {
        match action {
            Action::Dispatch { id, backend, .. } => {
                return self.dispatch(host, id, backend.as_str());
            }
            Action::Refuse { id, .. } => self.record_refusal(host, id),
            Action::ShareCrashes(update) => {
                let others = (0..self.hosts.len()).filter(|h| *h != host);
                return others
                    .map(|h| (h, Event::CrashUpdate(update.clone())))
                    .collect();
            }
            Action::RequestTrial { id, suspect } => {
                let reply = self.grant(suspect);
                return vec![(host, Event::TrialReply { id, suspect, reply })];
            }
            _ => {}
        }
        Vec::new()
    }

    fn grant(&mut self, suspect: Suspect) -> TrialReply {
        let granted: Vec<u64> = self
            .trials
            .iter()
            .filter(|t| t.0 == suspect)
            .map(|t| t.1)
            .collect();
        if granted.len() == usize::from(MAX_TRIALS) {
            return TrialReply::Exhausted;
        }
        if granted.iter().any(|at| self.step - at < TRIAL_STEPS) {
            return TrialReply::Denied;
        }
        self.trials.push((suspect, self.step));
        TrialReply::Granted
    }

    fn parts_of(&self, host: usize, id: RequestId) -> Vec<u64> {
        let sent = self.sent.iter().rev().find(|s| (s.0, s.1) == (host, id));
        sent.expect("a request that was sent").2.clone()
    }

    fn dispatch(&mut self, host: usize, id: RequestId, backend: &str) -> Vec<(usize, Event)> {
        let server = LOCAL.iter().position(|w| *w == backend).expect("a worker");
        if self.down[server].is_some() {
            let failure = route::Failure {
                reason: RetryReason::Unreachable,
                may_have_run: false,
                answered: false,
                resumes: false,
            };
            return vec![(host, Event::Failed { id, failure })];
        }
        let parts = self.parts_of(host, id);
        let crashing = self.crashing_part(&parts);
        match crashing {
            Some(part) => self.arrivals.push((self.step, part)),
            None => self.sound.push((self.step, true)),
        }
        let duration = match crashing {
            Some(_) => CRASH_STEPS,
            None => self.rng.random_range(5..25),
        };
        self.runs.push(Run {
            host,
            id,
            server,
            ends: self.step + duration,
            crashes: crashing.is_some(),
        });
        Vec::new()
    }

    fn record_refusal(&mut self, host: usize, id: RequestId) {
        let parts = self.parts_of(host, id);
        if self.crashing_part(&parts).is_none() {
            self.sound.push((self.step, false));
        }
    }

    fn send(&mut self, host: usize, parts: &[u64], change: impl FnOnce(&mut RoutingRequest)) {
        let mut request = self.hosts[host].request();
        request.options.parts = parts.iter().map(|p| PromptPart::new(*p)).collect();
        change(&mut request);
        self.sent.push((host, request.id, parts.to_vec()));
        self.feed(host, Event::Arrive(request));
    }

    /// Ends a server: all that runs there fails.
    fn crash(&mut self, server: usize, part: u64) {
        self.down[server] = Some(self.step + RESTART_STEPS);
        self.crashes.push((self.step, part));
        let incarnation = types::Incarnation::new(self.incarnations[server]);
        let backend: types::BackendId = LOCAL[server].parse().expect("a name");
        let ended: Vec<Run> = self.runs.extract_if(.., |r| r.server == server).collect();
        for run in ended {
            let backend = backend.clone();
            self.feed(
                run.host,
                Event::Crashed {
                    backend,
                    incarnation,
                },
            );
            let failure = route::Failure {
                reason: RetryReason::Crash,
                may_have_run: true,
                answered: false,
                resumes: true,
            };
            self.feed(
                run.host,
                Event::Failed {
                    id: run.id,
                    failure,
                },
            );
        }
    }

    /// Lets time pass: runs end, servers crash and restart.
    fn advance(&mut self) {
        self.step += 1;
        for host in 0..self.hosts.len() {
            self.hosts[host].now = self.hosts[host].now + Micros::from_millis(STEP_MS);
            self.feed(host, Event::Tick);
        }
        while let Some(at) = self.runs.iter().position(|r| r.ends <= self.step) {
            let run = self.runs.remove(at);
            if run.crashes {
                let parts = self.parts_of(run.host, run.id);
                let part = self.crashing_part(&parts).expect("a crashing part");
                self.runs.push(run);
                let server = self.runs.last().expect("the run").server;
                self.crash(server, part);
            } else {
                let finished = Event::Finished {
                    id: run.id,
                    tokens: 10,
                    ok: true,
                };
                self.feed(run.host, finished);
            }
        }
        for (server, name) in LOCAL.iter().enumerate() {
            if self.down[server].is_some_and(|at| at <= self.step) {
                self.down[server] = None;
                self.incarnations[server] += 1;
                let incarnation = self.incarnations[server];
                for host in 0..self.hosts.len() {
                    let report = crate::fixture::load_report(incarnation, 0, &["m1", "m2"], 0);
                    let backend = name.parse().expect("a name");
                    self.feed(host, Event::Report { backend, report });
                }
            }
        }
    }

    /// Sends sound requests for a number of steps, and besides what `also` sends.
    fn run(&mut self, steps: u64, mut also: impl FnMut(&mut Self)) {
        for _ in 0..steps {
            self.advance();
            let host = self.rng.random_range(0..self.hosts.len());
            let subject = 100 + self.rng.random_range(0..30);
            self.send(host, &[SHARED, subject], |_| {});
            also(self);
        }
    }

    /// Returns the number of requests with a part that reached servers after the bound.
    fn arrivals_after_bound(&self, part: u64) -> usize {
        let crashes: Vec<u64> = self
            .crashes
            .iter()
            .filter(|c| c.1 == part)
            .map(|c| c.0)
            .collect();
        let Some(fifth) = crashes.get(CRASHES - 1) else {
            return 0;
        };
        let bound = fifth + STABLE_WINDOW.get() / 1_000 / STEP_MS;
        let later = self.arrivals.iter().filter(|a| a.1 == part && a.0 > bound);
        later.count()
    }

    fn blocks(&self, host: usize, part: u64) -> Option<Verdict> {
        let now = self.hosts[host].now;
        let blocked = self.hosts[host].router.blocked_suspects(now);
        let suspect = Suspect::Part(PromptPart::new(part));
        blocked
            .iter()
            .find(|b| b.suspect == suspect)
            .map(|b| b.verdict)
    }

    /// Returns the share of the sound requests since a step that began at a server.
    fn share_begun(&self, since: u64) -> f64 {
        let all: Vec<bool> = self
            .sound
            .iter()
            .filter(|s| s.0 >= since)
            .map(|s| s.1)
            .collect();
        all.iter().filter(|begun| **begun).count() as f64 / all.len().max(1) as f64
    }
}

/// Sends a request with the parts at a random host every seventh step.
fn seldom(parts: &'static [u64]) -> impl FnMut(&mut Fleet) {
    move |fleet| {
        if fleet.step.is_multiple_of(7) {
            let host = fleet.rng.random_range(0..fleet.hosts.len());
            fleet.send(host, parts, |_| {});
        }
    }
}

/// Asserts that all hosts block the part, that few requests reached servers after the bound, and that
/// sound requests are served.
fn assert_held(fleet: &Fleet, parts: &[u64], case: &str) {
    for part in parts {
        let later = fleet.arrivals_after_bound(*part);
        assert!(later <= MAX_LATER, "{case}: {later} later");
        for host in 0..fleet.hosts.len() {
            assert!(fleet.blocks(host, *part).is_some(), "{case}: host {host}");
        }
    }
    for sound in std::iter::once(SHARED).chain(100..130) {
        for host in 0..fleet.hosts.len() {
            assert_eq!(fleet.blocks(host, sound), None, "{case}: part {sound}");
        }
    }
    let share = fleet.share_begun(fleet.step - 100);
    assert!(share > 0.9, "{case}: {share} of the sound requests began");
}

/// Guards against requests of which no two are alike and that crash one server after the other, wherever
/// the crashing part stands between sound ones.
#[test]
fn a_crashing_part_is_blocked_on_all_hosts_wherever_it_stands() {
    let prompts: [&'static [u64]; 4] = [
        &[SHARED, CRASHING],
        &[CRASHING, SHARED],
        &[SHARED, CRASHING, 110],
        &[CRASHING],
    ];
    for parts in prompts {
        for seed in SEEDS {
            let mut fleet = Fleet::new(3, seed, &[CRASHING]);
            fleet.run(50, |_| {});
            fleet.run(900, seldom(parts));
            assert_held(&fleet, &[CRASHING], &format!("{parts:?}, seed {seed}"));
        }
    }
}

/// Guards against a second crashing part that hides behind the first one.
#[test]
fn two_crashing_parts_are_both_blocked() {
    for seed in SEEDS {
        let mut fleet = Fleet::new(3, seed, &[CRASHING, 667]);
        fleet.run(50, |_| {});
        let (mut first, mut second) = (seldom(&[SHARED, CRASHING]), seldom(&[SHARED, 667]));
        fleet.run(1_200, |fleet| {
            first(fleet);
            second(fleet);
        });
        assert_held(&fleet, &[CRASHING, 667], &format!("seed {seed}"));
    }
}

/// Guards against evidence that counts for one model only.
#[test]
fn a_part_that_crashes_servers_of_several_models_is_blocked_for_all() {
    let mut fleet = Fleet::new(3, 1, &[CRASHING]);
    fleet.run(900, |fleet| {
        if fleet.step.is_multiple_of(9) {
            let target = model(["m1", "m2"][usize::try_from(fleet.step / 9 % 2).unwrap_or(0)]);
            let host = fleet.rng.random_range(0..3);
            fleet.send(host, &[SHARED, CRASHING], |r| r.target = target);
        }
    });
    assert_held(&fleet, &[CRASHING], "two models");
}

/// Guards against sound parts that are blocked because servers crash for other reasons.
#[test]
fn sound_parts_are_not_blocked_by_crashes_with_other_causes() {
    for seed in SEEDS {
        let mut fleet = Fleet::new(3, seed, &[]);
        fleet.run(900, |fleet| {
            // One server, or all of them at once.
            match fleet.step % 90 {
                0 => fleet.crash(0, 0),
                45 => (0..LOCAL.len()).for_each(|server| fleet.crash(server, 0)),
                _ => {}
            }
        });
        fleet.run(600, |_| {});
        assert_held(&fleet, &[], &format!("seed {seed}"));
    }
}

/// Crashes the server of a request with a part of its own as soon as it runs, several times.
fn block_sound_part(fleet: &mut Fleet, part: u64) {
    for _ in 0..3 {
        fleet.send(0, &[part], |r| r.idempotent = false);
        let server = fleet.runs.last().expect("a run").server;
        fleet.crash(server, 0);
        for _ in 0..=RESTART_STEPS {
            fleet.advance();
        }
    }
}

/// Guards against a sound part that stays blocked after three coincidences.
#[test]
fn a_blocked_part_is_cleared_by_a_trial_that_is_answered() {
    const SOUND: u64 = 50;
    let mut fleet = Fleet::new(3, 1, &[]);
    block_sound_part(&mut fleet, SOUND);
    assert_eq!(fleet.blocks(1, SOUND), Some(Verdict::Suspected));

    fleet.run(100, seldom(&[SOUND]));

    for host in 0..3 {
        assert_eq!(fleet.blocks(host, SOUND), None, "host {host}");
    }
    assert!(fleet.share_begun(fleet.step - 50) > 0.9);
}

/// Guards against a part that stays blocked although a request that ran meanwhile was answered.
#[test]
fn a_response_at_any_host_clears_a_part_everywhere() {
    const SOUND: u64 = 50;
    let mut fleet = Fleet::new(3, 1, &[]);
    fleet.send(2, &[SOUND], |_| {});
    let slow = fleet.runs.pop().expect("a run");
    for number in 1..=3 {
        for host in 0..3 {
            fleet.feed(
                host,
                Event::CrashUpdate(crash_of_elsewhere(number, &[SOUND])),
            );
        }
        (0..20).for_each(|_| fleet.advance());
    }
    assert_eq!(fleet.blocks(1, SOUND), Some(Verdict::Suspected));

    fleet.feed(
        2,
        Event::Finished {
            id: slow.id,
            tokens: 1,
            ok: true,
        },
    );

    for host in 0..3 {
        assert_eq!(fleet.blocks(host, SOUND), None, "host {host}");
    }
}

/// Returns a report of the crash of a server on which no request of the test runs.
fn crash_of_elsewhere(incarnation: u64, parts: &[u64]) -> CrashUpdate {
    let suspects = parts.iter().map(|p| Suspect::Part(PromptPart::new(*p)));
    let report = route::CrashReport {
        backend: "w9".parse().expect("a name"),
        incarnation: types::Incarnation::new(incarnation),
        age: Micros::ZERO,
        suspects: suspects.collect(),
    };
    CrashUpdate {
        crashes: vec![report],
        ..CrashUpdate::default()
    }
}

/// Guards against a host that starts later, or was away, and sends what the others block.
#[test]
fn a_host_that_starts_later_learns_what_is_blocked() {
    let mut fleet = Fleet::new(3, 1, &[CRASHING]);
    fleet.run(600, seldom(&[SHARED, CRASHING]));
    let now = fleet.hosts[0].now;
    let update = CrashUpdate {
        blocked: fleet.hosts[0].router.blocked_suspects(now),
        ..CrashUpdate::default()
    };
    let mut late = Host::new(|cfg| cfg.suspect_slots = false);

    late.step(Event::CrashUpdate(update));
    let id = late.send(|r| r.options.parts = vec![PromptPart::new(CRASHING)]);

    assert_eq!(late.refused(), [(id, Code::CrashingPart)]);
}

/// Returns the update of another host that has confirmed that a part crashes servers.
fn confirmed(part: PromptPart) -> Event {
    let blocked = route::BlockedSuspect {
        suspect: Suspect::Part(part),
        verdict: Verdict::Confirmed,
        age: Micros::ZERO,
    };
    Event::CrashUpdate(CrashUpdate {
        blocked: vec![blocked],
        ..CrashUpdate::default()
    })
}

/// Guards against a queued request, or a repetition, that reaches a server after its part was blocked.
#[test]
fn what_waits_when_a_part_is_blocked_is_refused() {
    let mut host = Host::empty(|cfg| cfg.suspect_slots = false);
    host.report("w1", 1, crate::fixture::LIMIT, &["m1"]);
    let part = PromptPart::new(CRASHING);
    let waiting = host.send(|r| r.options.parts = vec![part]);
    assert!(host.dispatched().is_empty());

    host.step(confirmed(part));

    assert_eq!(host.refused(), [(waiting, Code::CrashingPart)]);
}

/// Guards against blocked parts that are forgotten while requests with them still come, and against ones
/// that are kept forever.
#[test]
fn a_blocked_part_is_kept_as_long_as_requests_with_it_come() {
    let mut host = Host::new(|cfg| cfg.suspect_slots = false);
    let part = PromptPart::new(CRASHING);
    host.step(confirmed(part));
    for _ in 0..5 {
        host.advance(400_000);
        let id = host.send(|r| r.options.parts = vec![part]);
        assert_eq!(host.refused(), [(id, Code::CrashingPart)]);
    }
    host.advance(600_000);
    host.send(|r| r.options.parts = vec![part]);
    assert_eq!(host.dispatched().len(), 1);
}

/// Guards against memory that grows with the parts that callers invent.
#[test]
fn invented_parts_do_not_displace_a_blocked_one_and_take_bounded_memory() {
    let mut fleet = Fleet::new(1, 1, &[CRASHING]);
    fleet.run(600, seldom(&[SHARED, CRASHING]));
    for number in 0..1_000 {
        let parts: Vec<u64> = (0..40).map(|n| 10_000 + number * 40 + n).collect();
        fleet.feed(0, Event::CrashUpdate(crash_of_elsewhere(number, &parts)));
    }

    assert_eq!(fleet.blocks(0, CRASHING), Some(Verdict::Confirmed));
    assert!(fleet.hosts[0].router.memory_bytes() < 1 << 20);
}

/// Guards against the requests that shared servers with a crashing part, and stay refused after it was
/// found.
#[test]
fn requests_that_were_in_flight_at_explained_crashes_are_not_refused() {
    let mut host = Host::new(|cfg| cfg.suspect_slots = false);
    let fingerprint = route::Fingerprint::new(77);
    let suspects = vec![
        Suspect::Part(PromptPart::new(CRASHING)),
        Suspect::Request(fingerprint),
    ];
    for number in 1..=3 {
        host.advance(1_000);
        let report = route::CrashReport {
            backend: "w9".parse().expect("a name"),
            incarnation: types::Incarnation::new(number),
            age: Micros::ZERO,
            suspects: suspects.clone(),
        };
        host.step(Event::CrashUpdate(CrashUpdate {
            crashes: vec![report],
            ..CrashUpdate::default()
        }));
    }

    host.send(|r| r.fingerprint = fingerprint);

    assert_eq!(host.dispatched().len(), 1, "{:?}", host.out);
}

/// Guards against a host that was paused between the grant of a trial and its use.
#[test]
fn a_trial_that_was_granted_too_long_ago_is_not_used() {
    let part = PromptPart::new(CRASHING);
    let suspect = Suspect::Part(part);
    for (pause, is_sent) in [
        (Micros::from_millis(900), true),
        (Micros::from_secs(3), false),
    ] {
        let mut host = Host::new(|cfg| cfg.suspect_slots = false);
        for number in 1..=3 {
            host.advance(1_000);
            host.step(Event::CrashUpdate(crash_of_elsewhere(number, &[CRASHING])));
        }
        host.advance(1_000);
        let id = host.send(|r| r.options.parts = vec![part]);
        assert_eq!(host.out, [Action::RequestTrial { id, suspect }]);

        host.now = host.now + pause;
        let reply = TrialReply::Granted;
        host.step(Event::TrialReply { id, suspect, reply });

        assert_eq!(!host.dispatched().is_empty(), is_sent, "{pause:?}");
    }
}

/// Guards against a blocked sound part that waits for the trials of another one without end: one sound
/// part was still blocked nine seconds after the faults of seed 1019 of the soak.
#[test]
fn a_blocked_part_is_tried_soon_though_a_stronger_one_is_not_decided() {
    const STRONGER: u64 = 667;
    let mut host = Host::new(|cfg| cfg.suspect_slots = false);
    for number in 1..=4 {
        host.advance(1_000);
        host.step(Event::CrashUpdate(crash_of_elsewhere(number, &[STRONGER])));
    }
    let part = PromptPart::new(CRASHING);
    let suspect = Suspect::Part(part);
    host.step(Event::CrashUpdate(CrashUpdate {
        blocked: vec![route::BlockedSuspect {
            suspect,
            verdict: Verdict::Suspected,
            age: Micros::ZERO,
        }],
        ..CrashUpdate::default()
    }));
    for _ in 0..10 {
        host.advance(500);
        let id = host.send(|r| r.options.parts = vec![PromptPart::new(STRONGER)]);
        if host
            .out
            .iter()
            .any(|a| matches!(a, Action::RequestTrial { .. }))
        {
            host.step(Event::TrialReply {
                id,
                suspect: Suspect::Part(PromptPart::new(STRONGER)),
                reply: TrialReply::Denied,
            });
        }
    }

    let id = host.send(|r| r.options.parts = vec![part]);

    assert_eq!(host.out, [Action::RequestTrial { id, suspect }]);
}

/// Guards against a message of another host that ends the process or blocks what is sound.
#[test]
fn extreme_news_of_crashes_are_harmless() {
    let mut host = Host::new(|cfg| cfg.suspect_slots = false);
    let part = Suspect::Part(PromptPart::new(u64::MAX));
    for age in [Micros::ZERO, Micros::new(u64::MAX)] {
        let report = route::CrashReport {
            backend: "unknown".parse().expect("a name"),
            incarnation: types::Incarnation::new(u64::MAX),
            age,
            suspects: vec![part; 10_000],
        };
        host.step(Event::CrashUpdate(CrashUpdate {
            crashes: vec![report; 3],
            responses: vec![route::ResponseReport { suspect: part, age }; 3],
            blocked: vec![
                route::BlockedSuspect {
                    suspect: part,
                    verdict: Verdict::Suspected,
                    age: Micros::new(u64::MAX),
                };
                3
            ],
        }));
    }
    let id = RequestId::new(9);
    let reply = TrialReply::Exhausted;
    host.step(Event::TrialReply {
        id,
        suspect: part,
        reply,
    });

    host.send(|r| r.options.parts = vec![PromptPart::new(7)]);

    assert_eq!(host.dispatched().len(), 1);
}
