//! Invariants of the router under random sequences of events.

use std::collections::BTreeMap;

use config::Priority;
use proptest::prelude::*;
use route::{Action, Event, Fingerprint, Liveness, SlotTable};
use types::{Deadline, ExecutionStatus, Micros, RequestId, RetryReason};

use crate::fixture::{Host, LIMIT, LOCAL};

/// Random input.
#[derive(Clone, Debug)]
enum Op {
    Send {
        idempotent: bool,
        priority: u8,
    },
    Finish(usize),
    Fail {
        at: usize,
        reason: RetryReason,
        ran: bool,
    },
    Set(usize, Liveness),
    Crash(usize),
    Report {
        at: usize,
        in_flight: u32,
    },
    Pass(u64),
    Slot(bool),
}

fn ops() -> impl Strategy<Value = Vec<Op>> {
    let reason = prop::sample::select(vec![
        RetryReason::Unreachable,
        RetryReason::ConnectionLost,
        RetryReason::Leaving,
        RetryReason::Refused,
        RetryReason::NotResident,
    ]);
    let state = prop::sample::select(vec![Liveness::Live, Liveness::Leaving, Liveness::Dead]);
    let op = prop_oneof![
        8 => (any::<bool>(), 0..3_u8)
            .prop_map(|(idempotent, priority)| Op::Send { idempotent, priority }),
        4 => any::<usize>().prop_map(Op::Finish),
        4 => (any::<usize>(), reason, any::<bool>())
            .prop_map(|(at, reason, ran)| Op::Fail { at, reason, ran }),
        1 => (0..3_usize, state).prop_map(|(at, state)| Op::Set(at, state)),
        1 => (0..3_usize).prop_map(Op::Crash),
        3 => (0..3_usize, 0..6_u32).prop_map(|(at, in_flight)| Op::Report { at, in_flight }),
        2 => (1..600_u64).prop_map(Op::Pass),
        1 => any::<bool>().prop_map(Op::Slot),
    ];
    prop::collection::vec(op, 1..120)
}

/// State of the requests and servers as seen from outside the router.
#[derive(Default)]
struct Observer {
    idempotent: BTreeMap<RequestId, bool>,
    running: BTreeMap<RequestId, String>,
    asking: Vec<RequestId>,
    ran: Vec<RequestId>,
    down: BTreeMap<String, bool>,
    incarnations: [u64; 3],
}

impl Observer {
    fn check(&mut self, host: &Host) {
        for action in &host.out {
            match action {
                Action::Dispatch { id, backend, .. } => {
                    self.asking.retain(|a| a != id);
                    let server = backend.to_string();
                    assert!(
                        !self.down.get(&server).copied().unwrap_or(false),
                        "{server} is down"
                    );
                    let again = self.ran.contains(id) && !self.idempotent[id];
                    assert!(!again, "{id} runs twice");
                    assert!(self.running.insert(*id, server.clone()).is_none());
                    let on = self.running.values().filter(|s| **s == server).count();
                    assert!(on <= LIMIT as usize, "{on} on {server}");
                }
                Action::Refuse { id, code, .. } => {
                    self.asking.retain(|a| a != id);
                    assert!(
                        self.idempotent.remove(id).is_some(),
                        "one outcome per request"
                    );
                    assert!(!self.running.contains_key(id));
                    let wrong_code = code.ran() == ExecutionStatus::No && self.ran.contains(id);
                    assert!(!wrong_code, "{id} may have run, refused with {code}");
                }
                Action::RequestSlot { id, .. } => self.asking.push(*id),
                _ => {}
            }
        }
    }

    fn pick(&self, at: usize) -> Option<(RequestId, String)> {
        let at = at % self.running.len().max(1);
        let picked = self.running.iter().nth(at);
        picked.map(|(id, server)| (*id, server.clone()))
    }

    fn apply(&mut self, host: &mut Host, op: &Op) {
        host.out.clear();
        match *op {
            Op::Send {
                idempotent,
                priority,
            } => {
                let mut request = host.request();
                request.idempotent = idempotent;
                request.priority = Priority::new(priority);
                request.deadline = Deadline::after(host.now, Micros::from_secs(2));
                self.idempotent.insert(request.id, idempotent);
                host.step(Event::Arrive(request));
            }
            Op::Finish(at) => {
                let Some((id, _)) = self.pick(at) else { return };
                self.running.remove(&id);
                self.idempotent.remove(&id);
                host.finish(id);
            }
            Op::Fail { at, reason, ran } => {
                let Some((id, server)) = self.pick(at) else {
                    return;
                };
                self.running.remove(&id);
                if ran {
                    self.ran.push(id);
                }
                if reason == RetryReason::Leaving {
                    self.down.insert(server, true);
                }
                host.fail(id, reason, ran);
            }
            Op::Set(at, state) => {
                let server = LOCAL[at].to_owned();
                if state == Liveness::Live {
                    self.restart(host, at);
                } else {
                    self.down.insert(server, true);
                    host.set(LOCAL[at], state);
                }
            }
            Op::Crash(at) => self.crash(host, at),
            Op::Report { at, in_flight } => {
                if !self.down.get(LOCAL[at]).copied().unwrap_or(false) {
                    host.report(LOCAL[at], self.incarnations[at] + 1, in_flight, &["m1"]);
                }
            }
            Op::Pass(millis) => host.advance(millis),
            Op::Slot(granted) => {
                let Some(id) = self.asking.pop() else { return };
                host.step(Event::SlotReply { id, granted });
            }
        }
        self.check(host);
    }

    /// Restarts a server with a new incarnation, which is live whatever its state was.
    fn restart(&mut self, host: &mut Host, at: usize) {
        self.incarnations[at] += 1;
        self.down.insert(LOCAL[at].to_owned(), false);
        host.now = host.now + Micros::from_millis(1);
        host.set(LOCAL[at], Liveness::Live);
        self.check(host);
        host.report(LOCAL[at], self.incarnations[at] + 1, 0, &["m1"]);
    }

    fn crash(&mut self, host: &mut Host, at: usize) {
        self.down.insert(LOCAL[at].to_owned(), true);
        host.crash(LOCAL[at], self.incarnations[at] + 1);
        self.check(host);
        let there = self.running.iter().filter(|(_, s)| *s == LOCAL[at]);
        let there: Vec<RequestId> = there.map(|(id, _)| *id).collect();
        for id in there {
            self.running.remove(&id);
            self.ran.push(id);
            host.fail(id, RetryReason::Crash, true);
            self.check(host);
        }
        host.out.clear();
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    /// No work goes to servers that are leaving or dead, no server exceeds its in-flight limit, no
    /// non-idempotent request runs twice, every request has one outcome, and no request that may
    /// have run is refused as not run.
    #[test]
    fn no_sequence_of_events_breaks_an_invariant(ops in ops()) {
        let mut host = Host::new(|_| {});
        let mut observer = Observer::default();
        for op in &ops {
            observer.apply(&mut host, op);
        }
    }
}

/// Two hosts that share suspect records and a slot table, with three workers that restart
/// immediately.
struct Fleet {
    hosts: [Host; 2],
    slots: SlotTable,
    incarnations: [u64; 3],
    crashes: usize,
    /// Running requests: host, id, worker, and whether the request crashes its worker.
    running: Vec<(usize, RequestId, usize, bool)>,
}

impl Fleet {
    fn new(suspects: bool) -> Self {
        let host = || Host::new(|cfg| cfg.suspects = suspects);
        Self {
            hosts: [host(), host()],
            slots: SlotTable::new(Micros::from_secs(600)),
            incarnations: [1; 3],
            crashes: 0,
            running: Vec::new(),
        }
    }

    /// Performs the actions of the last step of a host and of the resulting steps.
    fn act(&mut self, at: usize, crashing: Fingerprint) {
        for action in std::mem::take(&mut self.hosts[at].out) {
            match action {
                Action::Dispatch { id, backend, .. } => {
                    let server = LOCAL.iter().position(|w| *w == backend.as_str());
                    let crashes_worker = self.hosts[at].fingerprint(id) == Some(crashing);
                    self.running
                        .push((at, id, server.expect("a local worker"), crashes_worker));
                }
                Action::RequestSlot {
                    id,
                    fingerprint,
                    backend,
                } => {
                    let now = self.hosts[at].now;
                    let granted = self.slots.grant(now, fingerprint, &backend);
                    self.hosts[at].step(Event::SlotReply { id, granted });
                    self.act(at, crashing);
                }
                Action::ShareSuspects(records) => {
                    self.slots.apply(&records);
                    self.hosts[1 - at].step(Event::Suspects(records));
                    self.act(1 - at, crashing);
                }
                _ => {}
            }
        }
    }

    /// Crashes the worker of the first running request that crashes its worker.
    fn crash(&mut self, crashing: Fingerprint) -> bool {
        let Some(&(.., server, _)) = self.running.iter().find(|r| r.3) else {
            return false;
        };
        self.crashes += 1;
        let there = |r: &&(usize, RequestId, usize, bool)| r.2 == server;
        let lost: Vec<_> = self.running.iter().filter(there).copied().collect();
        self.running.retain(|r| r.2 != server);
        for at in 0..2 {
            self.hosts[at].crash(LOCAL[server], self.incarnations[server]);
            self.act(at, crashing);
        }
        for (at, id, ..) in lost {
            self.hosts[at].fail(id, RetryReason::Crash, true);
            self.act(at, crashing);
        }
        self.incarnations[server] += 1;
        for at in 0..2 {
            self.hosts[at].now = self.hosts[at].now + Micros::from_millis(60);
            self.hosts[at].report(LOCAL[server], self.incarnations[server], 0, &["m1"]);
            self.act(at, crashing);
        }
        true
    }
}

/// Returns the number of crashes caused by one request that its caller resends through the given
/// hosts, among other requests.
fn crashes(suspects: bool, sends: &[(usize, bool)], finish: &[usize]) -> usize {
    let crashing = Fingerprint::new(u128::MAX);
    let mut fleet = Fleet::new(suspects);
    for (step, &(at, crashes_worker)) in sends.iter().enumerate() {
        fleet.hosts[at].send(|t| {
            t.id = RequestId::new(step as u128 + 1);
            t.fingerprint = if crashes_worker {
                crashing
            } else {
                Fingerprint::new(step as u128 + 1)
            };
            t.output_tokens = 5;
        });
        fleet.act(at, crashing);
        // The caller resends only after an error, so its earlier request has ended.
        while fleet.crash(crashing) {}
        let done = finish
            .get(step)
            .and_then(|f| fleet.running.get(f % 8).copied());
        if let Some((at, id, ..)) = done {
            fleet.running.retain(|r| r.1 != id);
            fleet.hosts[at].finish(id);
            fleet.act(at, crashing);
        }
        for at in 0..2 {
            fleet.hosts[at].advance(60);
            fleet.act(at, crashing);
        }
        while fleet.crash(crashing) {}
    }
    fleet.crashes
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// A crashing request takes down at most two servers, whatever other requests run and through
    /// whichever hosts it is sent.
    #[test]
    fn a_crashing_request_is_bounded_in_any_traffic(
        sends in prop::collection::vec((0..2_usize, prop::bool::weighted(0.3)), 1..40),
        finish in prop::collection::vec(any::<usize>(), 40),
    ) {
        prop_assert!(crashes(true, &sends, &finish) <= 2);
    }
}

#[test]
fn without_suspects_resends_take_down_server_after_server() {
    assert!(crashes(false, &[(0, true), (1, true), (0, true)], &[]) > 2);
}
