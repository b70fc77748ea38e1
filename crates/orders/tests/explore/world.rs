//! Simulation of two hosts, one engine and the platform in virtual time, driven by a seeded
//! schedule.

use orders::{CopyState, Ledger, Limits, NewOrder, Record, SendOutcome, Sender};
use types::{Bytes, Epoch, Instant, LoadReport, Order, OrderId, OrderOp, VersionTag};

use crate::{
    engine::Engine,
    host::{Host, Rng, Scenario, new_host},
};

pub const MS: u64 = 1_000;
pub const S: u64 = 1_000_000;

pub const MEMORY: Bytes = Bytes::new(10);
/// Names and sizes of the models.
const MODELS: [(&str, u64); 4] = [("a", 5), ("b", 4), ("c", 3), ("d", 6)];
const CALL_TIMEOUT: u64 = 2 * S;

#[derive(Clone, Debug)]
pub enum SimEvent {
    Tick,
    LeaseCall(u64, lease::Action<u64>),
    LeaseResult(u64, lease::Event<u64>),
    RecordCall(u64, orders::Action<u64>),
    RecordResult(u64, orders::Event<u64>),
    /// The process sends an order.
    SendOrder(u64, Order),
    /// An order reaches the engine over a connection to one of its incarnations.
    OrderArrived(u64, Order, u64),
    SendFinished(u64, Order, SendOutcome),
    Report(u64, LoadReport),
    SenderStopped(Epoch, Sender),
    OrderFinished(u64, OrderId),
    Fault,
}

pub struct World {
    pub scenario: Scenario,
    pub rng: Rng,
    pub now: u64,
    /// Due time, host, incarnation of the host's process, event.
    pub queue: Vec<(u64, usize, u64, SimEvent)>,
    pub lease: Option<(lease::Record, u64)>,
    pub record: Option<(Record, u64)>,
    /// Revision of the last write.
    pub revision: u64,
    pub platform_down_until: u64,
    pub engine: Engine,
    pub hosts: Vec<Host>,
    /// Number of ids handed out for calls, orders and attempts.
    pub ids: u64,
    /// Epoch of the last term that began.
    pub last_epoch: Epoch,
    /// Highest epoch under which a ledger became ready.
    pub ready_epoch: Epoch,
    pub faults_until: u64,
    pub violation: Option<String>,
    /// Number of lease terms that began.
    pub terms: u64,
    /// Number of orders that were closed.
    pub closed: u64,
}

impl World {
    pub fn new(scenario: Scenario) -> Self {
        let mut rng = Rng(scenario.seed);
        let hosts = (0..2)
            .map(|i| new_host(i, 1, 980 + rng.below(41), scenario))
            .collect();
        let mut world = Self {
            scenario,
            rng,
            now: S,
            queue: Vec::new(),
            lease: None,
            record: None,
            revision: 0,
            platform_down_until: 0,
            engine: Engine::new(scenario.fences, scenario.seed.is_multiple_of(2)),
            hosts,
            ids: 0,
            last_epoch: Epoch::new(0),
            ready_epoch: Epoch::new(0),
            faults_until: 0,
            violation: None,
            terms: 0,
            closed: 0,
        };
        for h in 0..2 {
            world.push(0, h, SimEvent::Tick);
        }
        world.push(S, 0, SimEvent::Fault);
        world
    }

    /// Runs for a period with faults, then for a period without.
    pub fn run(&mut self, fault_period: u64, fault_free_period: u64) {
        self.faults_until = fault_period;
        while self.violation.is_none() {
            let next = (0..self.queue.len()).min_by_key(|i| self.queue[*i].0);
            let Some(next) = next else { break };
            if self.queue[next].0 > fault_period + fault_free_period {
                break;
            }
            let (at, h, process, event) = self.queue.swap_remove(next);
            self.now = at;
            self.handle(h, process, event);
            self.check();
        }
        if fault_free_period > 0 && self.violation.is_none() {
            self.check_orders_closed();
        }
    }

    pub(crate) fn push(&mut self, delay: u64, h: usize, event: SimEvent) {
        let process = self.hosts[h].process;
        self.queue.push((self.now + delay, h, process, event));
    }

    pub(crate) fn next_id(&mut self) -> u64 {
        self.ids += 1;
        self.ids
    }

    pub(crate) fn faults_active(&self) -> bool {
        self.now < self.faults_until
    }

    pub(crate) fn delay(&mut self) -> u64 {
        let max = match self.rng.below(24) {
            0 if self.faults_active() => 8 * S,
            1 | 2 if self.faults_active() => S,
            _ => 20 * MS,
        };
        self.rng.below(max) + 1
    }

    pub(crate) fn loses_message(&mut self) -> bool {
        self.faults_active() && self.rng.one_in(16)
    }

    pub(crate) fn local_time(&self, h: usize) -> Instant {
        Instant::from_micros(self.now * self.hosts[h].clock_rate / 1_000)
    }

    pub(crate) fn handle(&mut self, h: usize, process: u64, event: SimEvent) {
        let host = &self.hosts[h];
        let in_process = !matches!(
            event,
            SimEvent::LeaseCall(..)
                | SimEvent::RecordCall(..)
                | SimEvent::OrderArrived(..)
                | SimEvent::OrderFinished(..)
                | SimEvent::Fault
        );
        if in_process && (process != host.process || !host.alive) {
            return;
        }
        if in_process && self.now < host.frozen_until {
            let due = host.frozen_until + self.rng.below(5 * MS);
            self.queue.push((due, h, process, event));
            return;
        }
        match event {
            SimEvent::Tick => self.tick(h),
            SimEvent::LeaseCall(call, action) => self.lease_call(h, process, call, action),
            SimEvent::LeaseResult(call, event) => {
                if self.hosts[h].lease_call == call {
                    self.hosts[h].lease_call = 0;
                    self.step_lease(h, event);
                }
            }
            SimEvent::RecordCall(call, action) => self.record_call(h, process, call, action),
            SimEvent::RecordResult(call, event) => {
                if self.hosts[h].record_call == call {
                    self.hosts[h].record_call = 0;
                    self.step_ledger(h, event);
                }
            }
            SimEvent::SendOrder(attempt, order) => self.send_order(h, attempt, order),
            SimEvent::OrderArrived(attempt, order, incarnation) => {
                self.accept_order(h, process, attempt, &order, incarnation);
            }
            SimEvent::SendFinished(attempt, order, outcome) => {
                self.send_finished(h, attempt, &order, outcome);
            }
            SimEvent::Report(asked, report) => {
                let asked = Instant::from_micros(asked);
                self.step_ledger(h, orders::Event::Report { report, asked });
            }
            SimEvent::SenderStopped(epoch, sender) => {
                if self.hosts[h].term == Some(epoch) {
                    self.step_ledger(h, orders::Event::SenderStopped(sender));
                }
            }
            SimEvent::OrderFinished(incarnation, id) => {
                if incarnation == self.engine.incarnation {
                    self.engine.finish(id);
                }
            }
            SimEvent::Fault => self.fault(),
        }
    }

    pub(crate) fn tick(&mut self, h: usize) {
        self.push(500 * MS, h, SimEvent::Tick);
        self.step_lease(h, lease::Event::Tick);
        self.step_ledger(h, orders::Event::Tick);
        if self.hosts[h].term.is_none() {
            return;
        }
        if self.rng.one_in(2) {
            self.ask_report(h);
        }
        if self.rng.one_in(2) {
            self.submit_order(h);
        }
    }

    pub(crate) fn ask_report(&mut self, h: usize) {
        let asked = self.local_time(h).as_micros();
        let lag = if self.rng.one_in(2) { 1_500 * MS } else { 0 };
        let report = self.engine.report(self.now, lag);
        let delay = self.delay();
        if !self.loses_message() {
            self.push(delay, h, SimEvent::Report(asked, report));
        }
    }

    pub(crate) fn submit_order(&mut self, h: usize) {
        let Some(ledger) = &self.hosts[h].ledger else {
            return;
        };
        let copies = ledger.copies();
        let at = usize::try_from(self.rng.below(4)).unwrap();
        let (name, bytes) = MODELS[at];
        let op = match copies.iter().find(|c| c.name == name).map(|c| c.state) {
            None => OrderOp::Load,
            Some(CopyState::Ready) => OrderOp::Unload,
            Some(_) => return,
        };
        let order = NewOrder {
            id: OrderId::new(u128::from(self.next_id())),
            op,
            name: name.to_owned(),
            version: version(),
            bytes: Bytes::new(bytes),
        };
        self.step_ledger(h, orders::Event::Submit(vec![order]));
    }

    pub(crate) fn step_lease(&mut self, h: usize, event: lease::Event<u64>) {
        let now = self.local_time(h);
        let mut out = Vec::new();
        self.hosts[h].lease.step(now, event, &mut out);
        for action in out {
            match action {
                lease::Action::Acquired(epoch) => self.start_term(h, epoch),
                lease::Action::Lost(_) => {
                    self.hosts[h].term = None;
                    self.hosts[h].ledger = None;
                    self.hosts[h].record_call = 0;
                }
                action => self.call_lease(h, action),
            }
        }
    }

    pub(crate) fn start_term(&mut self, h: usize, epoch: Epoch) {
        if epoch <= self.last_epoch {
            self.violation = Some(format!("epoch {epoch} began after {}", self.last_epoch));
        }
        self.last_epoch = epoch;
        self.terms += 1;
        let limits = Limits {
            memory: MEMORY,
            adapter_pool: Bytes::ZERO,
            fences: self.scenario.fences,
        };
        let host = &mut self.hosts[h];
        host.term = Some(epoch);
        host.ledger =
            Some(Ledger::new(host.id.clone(), epoch, limits).with_checks(self.scenario.orders));
        self.step_ledger(h, orders::Event::Tick);
    }

    pub(crate) fn call_lease(&mut self, h: usize, action: lease::Action<u64>) {
        let call = self.next_id();
        self.hosts[h].lease_call = call;
        let failed = match action {
            lease::Action::Read => lease::Event::ReadFailed,
            _ => lease::Event::Unanswered,
        };
        self.push(CALL_TIMEOUT, h, SimEvent::LeaseResult(call, failed));
        self.maybe_freeze(h);
        self.send(h, SimEvent::LeaseCall(call, action));
    }

    /// Sends a message that may be delayed, lost or duplicated.
    pub(crate) fn send(&mut self, h: usize, event: SimEvent) {
        let delay = self.delay();
        if self.loses_message() {
            return;
        }
        if self.loses_message() {
            let duplicate_delay = self.delay();
            self.push(duplicate_delay, h, event.clone());
        }
        self.push(delay, h, event);
    }

    /// May suspend a host between a check and the call that the check permitted.
    pub(crate) fn maybe_freeze(&mut self, h: usize) {
        if self.faults_active() && self.rng.one_in(40) {
            self.hosts[h].frozen_until = self.now + self.rng.below(12 * S);
        }
    }

    pub(crate) fn respond(&mut self, h: usize, process: u64, event: SimEvent) {
        let delay = self.delay();
        if !self.loses_message() {
            self.queue.push((self.now + delay, h, process, event));
        }
    }

    pub(crate) fn step_ledger(&mut self, h: usize, event: orders::Event<u64>) {
        let now = self.local_time(h);
        let Some(epoch) = self.hosts[h].term else {
            return;
        };
        let Some(ledger) = &mut self.hosts[h].ledger else {
            return;
        };
        let mut out = Vec::new();
        ledger.step(now, event, &mut out);
        for action in out {
            self.perform(h, epoch, action);
        }
    }

    pub(crate) fn perform(&mut self, h: usize, epoch: Epoch, action: orders::Action<u64>) {
        use orders::Action;
        match action {
            Action::CheckSender(sender) => self.check_sender(h, epoch, sender),
            Action::Ready => self.ready_epoch = self.ready_epoch.max(epoch),
            Action::Closed(_) => self.closed += 1,
            Action::Declined(_) => {}
            Action::Superseded(newer) => self.step_lease(h, lease::Event::EpochSeen(newer)),
            _ if self.hosts[h].lease.authority(self.local_time(h)) != Some(epoch) => {
                self.step_lease(h, lease::Event::Tick);
            }
            Action::Send(order) => {
                let attempt = self.next_id();
                self.hosts[h].sending.push((attempt, order.clone()));
                self.maybe_freeze(h);
                let gap = self.rng.below(5 * MS);
                self.push(gap, h, SimEvent::SendOrder(attempt, order));
            }
            call => self.call_record(h, call),
        }
    }

    pub(crate) fn call_record(&mut self, h: usize, action: orders::Action<u64>) {
        let call = self.next_id();
        self.hosts[h].record_call = call;
        let failed = match action {
            orders::Action::Read => orders::Event::ReadFailed,
            _ => orders::Event::Unanswered,
        };
        self.push(CALL_TIMEOUT, h, SimEvent::RecordResult(call, failed));
        self.maybe_freeze(h);
        self.send(h, SimEvent::RecordCall(call, action));
    }

    pub(crate) fn check_sender(&mut self, h: usize, epoch: Epoch, sender: Sender) {
        let other = &self.hosts[usize::from(sender.host != self.hosts[0].id)];
        // The platform's member list drops a dead host after five seconds.
        let listed = other.alive || self.now < other.died_at + 5 * S;
        let responds = other.alive && self.now >= other.frozen_until;
        let may_send = other.term.is_some_and(|term| term <= sender.epoch)
            || other.sending.iter().any(|(_, o)| o.fence == sender.epoch);
        if !listed || (responds && !may_send) {
            let delay = self.delay();
            self.push(delay, h, SimEvent::SenderStopped(epoch, sender));
        }
    }

    pub(crate) fn send_order(&mut self, h: usize, attempt: u64, order: Order) {
        let incarnation = self.engine.incarnation;
        self.push(
            CALL_TIMEOUT,
            h,
            SimEvent::SendFinished(attempt, order.clone(), SendOutcome::Lost),
        );
        self.send(h, SimEvent::OrderArrived(attempt, order, incarnation));
    }

    pub(crate) fn send_finished(
        &mut self,
        h: usize,
        attempt: u64,
        order: &Order,
        outcome: SendOutcome,
    ) {
        let sending = &mut self.hosts[h].sending;
        let Some(at) = sending.iter().position(|(id, _)| *id == attempt) else {
            return;
        };
        sending.swap_remove(at);
        if self.hosts[h].term == Some(order.fence) {
            self.step_ledger(
                h,
                orders::Event::SendFinished {
                    id: order.id,
                    outcome,
                },
            );
        }
    }
}

fn version() -> VersionTag {
    "v1".parse().unwrap()
}
