//! Simulated fleet: hosts that share their evidence, as they do by datagrams, and servers that crash.

use rand::{RngExt, SeedableRng, rngs::StdRng};
use route::{
    Action, Event, Fingerprint, MAX_TRIALS, RoutingRequest, Settings, Suspect, TrialReply,
    TrialRequest, Verdict,
};
use types::{Micros, PromptPart, RequestId, RetryReason};

use crate::fixture::{Host, LOCAL, deployment, load_report};

/// Time after crash number [`BOUND_CRASHES`] from which at most [`MAX_LATER_REQUESTS`] requests with a
/// crashing part may reach servers.
pub const STABLE_WINDOW: Micros = Micros::from_secs(4);
/// Number of crashes after which the bound holds.
pub const BOUND_CRASHES: usize = 5;
/// Maximum number of requests with a crashing part that may reach servers later.
pub const MAX_LATER_REQUESTS: usize = 3;

/// Part of most prompts.
pub const SHARED: u64 = 1;

/// Part that crashes servers.
pub const CRASHING: u64 = 666;

/// Number that stands for the crashing request among the parts that crash servers.
pub const CRASHING_REQUEST: u64 = 999;

/// Fingerprint of the crashing request.
pub const CRASHING_FINGERPRINT: Fingerprint = Fingerprint::new(u128::MAX);

/// Number of crashes by the crashing request after which the bound holds.
pub const BOUND_REQUEST_CRASHES: usize = 3;

/// Harmless part of prompts of its own.
pub const HARMLESS: u64 = 50;

/// Duration of a step of the simulation.
pub const STEP_MS: u64 = 20;

/// Steps from the dispatch of a request with a crashing part to the crash.
pub const CRASH_STEPS: u64 = 3;

/// Steps from the crash of a server to its restart, unless a test sets another time.
pub const RESTART_STEPS: u64 = 40;

/// Steps between two trials of one suspect.
pub const TRIAL_STEPS: u64 = 100;

/// Expected time to load a model that no server holds.
const LOAD_ON_DEMAND: Micros = Micros::from_millis(600);

/// Number of requests that a roomy server runs, and that a host queues.
const ROOMY: u32 = 200;

/// Request that a server runs.
pub struct Run {
    host: usize,
    pub id: RequestId,
    pub server: usize,
    /// Step at which the request or the server ends.
    ends: u64,
    /// Whether the request crashes the server.
    crashes: bool,
}

/// Hosts and servers on virtual time.
pub struct Fleet {
    pub hosts: Vec<Host>,
    pub rng: StdRng,
    pub step: u64,
    incarnations: Vec<u64>,
    /// Steps from the crash of a server to its restart.
    pub restart_steps: u64,
    /// Parts of all harmless requests.
    pub shared: Vec<u64>,
    /// Models of each server.
    models: [&'static [&'static str]; LOCAL.len()],
    /// Step of the restart of each server that is down.
    down: Vec<Option<u64>>,
    pub runs: Vec<Run>,
    /// Suspects of the granted trials, with the step of each.
    trials: Vec<(Suspect, u64)>,
    /// Parts that crash servers.
    crashing: Vec<u64>,
    /// Parts of the requests that were sent, by host and id.
    sent: Vec<(usize, RequestId, Vec<u64>)>,
    /// Steps at which requests with crashing parts reached servers, with the part.
    arrivals: Vec<(u64, u64)>,
    /// Steps at which servers crashed, with the part that caused it; zero for another cause.
    pub crashes: Vec<(u64, u64)>,
    /// Steps at which harmless requests were dispatched or refused, with whether they were dispatched.
    harmless: Vec<(u64, bool)>,
}

impl Fleet {
    /// Creates a fleet whose servers hold all models.
    pub fn new(hosts: u64, seed: u64, crashing: &[u64]) -> Self {
        let models: &[&str] = &["m1", "m2"];
        Self::with_hosts(hosts, seed, crashing, [models; LOCAL.len()], |_| {})
    }

    /// Creates a fleet with a roomy server for each list of models, where requests wait for a missing model.
    pub fn with_models(
        hosts: u64,
        seed: u64,
        crashing: &[u64],
        models: [&'static [&'static str]; LOCAL.len()],
    ) -> Self {
        let mut fleet = Self::with_hosts(hosts, seed, crashing, models, |cfg| {
            cfg.load_on_demand = Some(LOAD_ON_DEMAND);
        });
        for host in &mut fleet.hosts {
            let mut roomy = deployment();
            roomy.limits.queue = ROOMY;
            for server in &mut roomy.backends {
                server.max_in_flight = ROOMY;
            }
            host.configure(2, roomy);
        }
        fleet
    }

    fn with_hosts(
        hosts: u64,
        seed: u64,
        crashing: &[u64],
        models: [&'static [&'static str]; LOCAL.len()],
        change: impl Fn(&mut Settings),
    ) -> Self {
        let host = |n| {
            let mut host = Host::seeded(seed * 100 + n, |cfg| {
                cfg.suspect_slots = false;
                cfg.retry_budget = false;
                cfg.forwarding = false;
                change(cfg);
            });
            for (worker, models) in LOCAL.iter().zip(models) {
                host.report(worker, 1, 0, models);
            }
            host
        };
        Self {
            hosts: (0..hosts).map(host).collect(),
            rng: StdRng::seed_from_u64(seed),
            step: 0,
            incarnations: vec![1; LOCAL.len()],
            restart_steps: RESTART_STEPS,
            shared: vec![SHARED],
            models,
            down: vec![None; LOCAL.len()],
            runs: Vec::new(),
            trials: Vec::new(),
            crashing: crashing.to_vec(),
            sent: Vec::new(),
            arrivals: Vec::new(),
            crashes: Vec::new(),
            harmless: Vec::new(),
        }
    }

    fn crashing_part(&self, parts: &[u64]) -> Option<u64> {
        parts.iter().copied().find(|p| self.crashing.contains(p))
    }

    /// Feeds an event to a host and performs the resulting actions at all hosts.
    pub fn feed(&mut self, host: usize, event: Event) {
        let mut events = vec![(host, event)];
        while !events.is_empty() {
            let (host, event) = events.remove(0);
            self.hosts[host].step(event);
            for action in std::mem::take(&mut self.hosts[host].out) {
                events.extend(self.perform(host, action));
            }
        }
    }

    /// Performs an action and returns the events that follow, each with its host.
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
            Action::RequestTrial { id, trial } => {
                let suspect = trial.suspect;
                let reply = self.grant_trial(trial);
                return vec![(host, Event::TrialReply { id, suspect, reply })];
            }
            _ => {}
        }
        Vec::new()
    }

    /// Replies to a request for a trial as the granting hosts do.
    fn grant_trial(&mut self, trial: TrialRequest) -> TrialReply {
        let TrialRequest { suspect, answered } = trial;
        if let Some(age) = answered {
            let answered_at = self.step.saturating_sub(age.get() / 1_000 / STEP_MS);
            self.trials.retain(|t| t.0 != suspect || t.1 >= answered_at);
        }
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
            None => self.harmless.push((self.step, true)),
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
            self.harmless.push((self.step, false));
        }
    }

    pub fn send(&mut self, host: usize, parts: &[u64], change: impl FnOnce(&mut RoutingRequest)) {
        let mut request = self.hosts[host].request();
        request.options.parts = parts.iter().map(|p| PromptPart::new(*p)).collect();
        change(&mut request);
        self.sent.push((host, request.id, parts.to_vec()));
        self.feed(host, Event::Arrive(request));
    }

    /// Sends the crashing request with harmless parts to a host.
    pub fn send_crashing_request(&mut self, host: usize, parts: &[u64]) {
        let mut request = self.hosts[host].request();
        request.fingerprint = CRASHING_FINGERPRINT;
        request.options.parts = parts.iter().map(|p| PromptPart::new(*p)).collect();
        self.sent.push((host, request.id, vec![CRASHING_REQUEST]));
        self.feed(host, Event::Arrive(request));
    }

    /// Crashes a server because of a part, and fails all requests that run there.
    pub fn crash(&mut self, server: usize, part: u64) {
        self.down[server] = Some(self.step + self.restart_steps);
        let incarnation = types::Incarnation::new(self.incarnations[server]);
        let backend: types::BackendId = LOCAL[server].parse().expect("a name");
        let ended: Vec<Run> = self.runs.extract_if(.., |r| r.server == server).collect();
        // Each copy of a request that is at a server when it crashes counts as a crash by the request.
        let copies = ended.iter().filter(|r| r.crashes).count();
        let crashes = if part == CRASHING_REQUEST { copies } else { 1 };
        self.crashes
            .extend(std::iter::repeat_n((self.step, part), crashes));
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

    /// Advances by one step: requests end, and servers crash and restart.
    pub fn advance(&mut self) {
        self.step += 1;
        for host in 0..self.hosts.len() {
            self.hosts[host].now = self.hosts[host].now + Micros::from_millis(STEP_MS);
            self.feed(host, Event::Tick);
        }
        self.end_due_runs();
        self.restart_due_servers();
    }

    /// Finishes the requests whose time is over, or crashes their servers.
    fn end_due_runs(&mut self) {
        while let Some(at) = self.runs.iter().position(|r| r.ends <= self.step) {
            let run = self.runs.remove(at);
            if run.crashes {
                let parts = self.parts_of(run.host, run.id);
                let part = self.crashing_part(&parts).expect("a crashing part");
                let server = run.server;
                // The crash fails this request after all others on the server.
                self.runs.push(run);
                self.crash(server, part);
            } else {
                let finished = Event::Finished {
                    id: run.id,
                    tokens: 10,
                    ok: true,
                    is_harmless: true,
                };
                self.feed(run.host, finished);
            }
        }
    }

    /// Restarts the servers whose downtime is over; each reports to all hosts.
    fn restart_due_servers(&mut self) {
        for (server, name) in LOCAL.iter().enumerate() {
            if self.down[server].is_some_and(|at| at <= self.step) {
                self.down[server] = None;
                self.incarnations[server] += 1;
                let incarnation = self.incarnations[server];
                for host in 0..self.hosts.len() {
                    let report = load_report(incarnation, 0, self.models[server], 0);
                    let backend = name.parse().expect("a name");
                    self.feed(host, Event::Report { backend, report });
                }
            }
        }
    }

    /// Advances by a number of steps. In each, a harmless request is sent and `each_step` is called.
    pub fn run(&mut self, steps: u64, mut each_step: impl FnMut(&mut Self)) {
        for _ in 0..steps {
            self.advance();
            let host = self.rng.random_range(0..self.hosts.len());
            let topic = 100 + self.rng.random_range(0..30);
            let parts: Vec<u64> = self.shared.iter().copied().chain([topic]).collect();
            self.send(host, &parts, |_| {});
            each_step(self);
        }
    }

    /// Returns the number of requests with a part that reached servers after the bound.
    pub fn arrivals_after_bound(&self, part: u64) -> usize {
        let bound_crashes = if part == CRASHING_REQUEST {
            BOUND_REQUEST_CRASHES
        } else {
            BOUND_CRASHES
        };
        let crashes: Vec<u64> = self
            .crashes
            .iter()
            .filter(|c| c.1 == part)
            .map(|c| c.0)
            .collect();
        let Some(fifth) = crashes.get(bound_crashes - 1) else {
            return 0;
        };
        let bound = fifth + STABLE_WINDOW.get() / 1_000 / STEP_MS;
        let later = self.arrivals.iter().filter(|a| a.1 == part && a.0 > bound);
        later.count()
    }

    /// Returns the verdict of a host on a part, if it blocks the part.
    pub fn verdict_at(&self, host: usize, part: u64) -> Option<Verdict> {
        let now = self.hosts[host].now;
        let blocked = self.hosts[host].router.blocked_suspects(now);
        let suspect = Suspect::Part(PromptPart::new(part));
        blocked
            .iter()
            .find(|b| b.suspect == suspect)
            .map(|b| b.verdict)
    }

    /// Returns the share of the harmless requests since a step that were dispatched.
    pub fn dispatched_share(&self, since: u64) -> f64 {
        let all: Vec<bool> = self
            .harmless
            .iter()
            .filter(|(step, _)| *step >= since)
            .map(|(_, is_dispatched)| *is_dispatched)
            .collect();
        let dispatched = all.iter().filter(|is_dispatched| **is_dispatched).count();
        dispatched as f64 / all.len().max(1) as f64
    }
}
