//! Two hosts, one engine and the platform on virtual time, driven by a seeded schedule.

use orders::{CopyState, Ledger, Limits, NewOrder, Record, SendOutcome, Sender};
use types::{Bytes, Epoch, Instant, LoadReport, Order, OrderId, OrderOp, VersionTag};

use crate::{
    engine::Engine,
    host::{Host, Rng, Setup, host},
};

pub const MS: u64 = 1_000;
pub const S: u64 = 1_000_000;

pub const MEMORY: Bytes = Bytes::new(10);
const MODELS: [(&str, u64); 4] = [("a", 5), ("b", 4), ("c", 3), ("d", 6)];
const CALL_TIMEOUT: u64 = 2 * S;

#[derive(Clone, Debug)]
pub enum Ev {
    Tick,
    LeaseCall(u64, lease::Action<u64>),
    LeaseBack(u64, lease::Event<u64>),
    RecordCall(u64, orders::Action<u64>),
    RecordBack(u64, orders::Event<u64>),
    /// An order leaves the process.
    Leave(u64, Order),
    /// An order reaches the engine on a connection to one of its lives.
    Arrive(u64, Order, u64),
    Posted(u64, Order, SendOutcome),
    Report(u64, LoadReport),
    Gone(Epoch, Sender),
    Finish(u64, OrderId),
    Fault,
}

pub struct World {
    pub setup: Setup,
    pub rng: Rng,
    pub now: u64,
    /// Due time, host, life of the host's process, event.
    pub queue: Vec<(u64, usize, u64, Ev)>,
    pub lease: Option<(lease::Record, u64)>,
    pub record: Option<(Record, u64)>,
    /// Write of the previous revision number.
    pub revision: u64,
    pub platform_down_until: u64,
    pub engine: Engine,
    pub hosts: Vec<Host>,
    pub numbers: u64,
    pub became: Epoch,
    pub acting: Epoch,
    pub faults_until: u64,
    pub violation: Option<String>,
    pub terms: u64,
    pub closed: u64,
}

impl World {
    pub fn new(setup: Setup) -> Self {
        let mut rng = Rng(setup.seed);
        let hosts = (0..2)
            .map(|i| host(i, 1, 980 + rng.below(41), setup))
            .collect();
        let mut world = Self {
            setup,
            rng,
            now: S,
            queue: Vec::new(),
            lease: None,
            record: None,
            revision: 0,
            platform_down_until: 0,
            engine: Engine::new(setup.fences, setup.seed.is_multiple_of(2)),
            hosts,
            numbers: 0,
            became: Epoch::new(0),
            acting: Epoch::new(0),
            faults_until: 0,
            violation: None,
            terms: 0,
            closed: 0,
        };
        for h in 0..2 {
            world.push(0, h, Ev::Tick);
        }
        world.push(S, 0, Ev::Fault);
        world
    }

    /// Runs with faults for a time, then without for another.
    pub fn run(&mut self, faulty: u64, calm: u64) {
        self.faults_until = faulty;
        while self.violation.is_none() {
            let next = (0..self.queue.len()).min_by_key(|i| self.queue[*i].0);
            let Some(next) = next else { break };
            if self.queue[next].0 > faulty + calm {
                break;
            }
            let (at, h, life, ev) = self.queue.swap_remove(next);
            self.now = at;
            self.handle(h, life, ev);
            self.check();
        }
        if calm > 0 && self.violation.is_none() {
            self.check_progress();
        }
    }

    pub(crate) fn push(&mut self, delay: u64, h: usize, ev: Ev) {
        let life = self.hosts[h].life;
        self.queue.push((self.now + delay, h, life, ev));
    }

    pub(crate) fn number(&mut self) -> u64 {
        self.numbers += 1;
        self.numbers
    }

    pub(crate) fn faulty(&self) -> bool {
        self.now < self.faults_until
    }

    pub(crate) fn delay(&mut self) -> u64 {
        let most = match self.rng.below(24) {
            0 if self.faulty() => 8 * S,
            1 | 2 if self.faulty() => S,
            _ => 20 * MS,
        };
        self.rng.below(most) + 1
    }

    pub(crate) fn lost(&mut self) -> bool {
        self.faulty() && self.rng.one_in(16)
    }

    pub(crate) fn local(&self, h: usize) -> Instant {
        Instant::from_micros(self.now * self.hosts[h].rate / 1_000)
    }

    pub(crate) fn handle(&mut self, h: usize, life: u64, ev: Ev) {
        let host = &self.hosts[h];
        let in_process = !matches!(
            ev,
            Ev::LeaseCall(..) | Ev::RecordCall(..) | Ev::Arrive(..) | Ev::Finish(..) | Ev::Fault
        );
        if in_process && (life != host.life || !host.alive) {
            return;
        }
        if in_process && self.now < host.frozen_until {
            let due = host.frozen_until + self.rng.below(5 * MS);
            self.queue.push((due, h, life, ev));
            return;
        }
        match ev {
            Ev::Tick => self.tick(h),
            Ev::LeaseCall(call, action) => self.lease_call(h, life, call, action),
            Ev::LeaseBack(call, ev) => {
                if self.hosts[h].lease_call == call {
                    self.hosts[h].lease_call = 0;
                    self.step_lease(h, ev);
                }
            }
            Ev::RecordCall(call, action) => self.record_call(h, life, call, action),
            Ev::RecordBack(call, ev) => {
                if self.hosts[h].record_call == call {
                    self.hosts[h].record_call = 0;
                    self.step_ledger(h, ev);
                }
            }
            Ev::Leave(post, order) => self.leave(h, post, order),
            Ev::Arrive(post, order, incarnation) => self.arrive(h, life, post, &order, incarnation),
            Ev::Posted(post, order, answer) => self.posted(h, post, &order, answer),
            Ev::Report(asked, report) => {
                let asked = Instant::from_micros(asked);
                self.step_ledger(h, orders::Event::Report { report, asked });
            }
            Ev::Gone(epoch, sender) => {
                if self.hosts[h].term == Some(epoch) {
                    self.step_ledger(h, orders::Event::SenderStopped(sender));
                }
            }
            Ev::Finish(incarnation, id) => {
                if incarnation == self.engine.incarnation {
                    self.engine.finish(id);
                }
            }
            Ev::Fault => self.fault(),
        }
    }

    pub(crate) fn tick(&mut self, h: usize) {
        self.push(500 * MS, h, Ev::Tick);
        self.step_lease(h, lease::Event::Tick);
        self.step_ledger(h, orders::Event::Tick);
        if self.hosts[h].term.is_none() {
            return;
        }
        if self.rng.one_in(2) {
            self.ask_report(h);
        }
        if self.rng.one_in(2) {
            self.want(h);
        }
    }

    pub(crate) fn ask_report(&mut self, h: usize) {
        let asked = self.local(h).as_micros();
        let lag = if self.rng.one_in(2) { 1_500 * MS } else { 0 };
        let report = self.engine.report(self.now, lag);
        let delay = self.delay();
        if !self.lost() {
            self.push(delay, h, Ev::Report(asked, report));
        }
    }

    pub(crate) fn want(&mut self, h: usize) {
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
        let want = NewOrder {
            id: OrderId::new(u128::from(self.number())),
            op,
            name: name.to_owned(),
            version: version(),
            bytes: Bytes::new(bytes),
        };
        self.step_ledger(h, orders::Event::Submit(vec![want]));
    }

    pub(crate) fn step_lease(&mut self, h: usize, ev: lease::Event<u64>) {
        let now = self.local(h);
        let mut out = Vec::new();
        self.hosts[h].lease.step(now, ev, &mut out);
        for action in out {
            match action {
                lease::Action::Acquired(epoch) => self.became(h, epoch),
                lease::Action::Lost(_) => {
                    self.hosts[h].term = None;
                    self.hosts[h].ledger = None;
                    self.hosts[h].record_call = 0;
                }
                action => self.call_lease(h, action),
            }
        }
    }

    pub(crate) fn became(&mut self, h: usize, epoch: Epoch) {
        if epoch <= self.became {
            self.violation = Some(format!("epoch {epoch} began after {}", self.became));
        }
        self.became = epoch;
        self.terms += 1;
        let limits = Limits {
            memory: MEMORY,
            adapter_pool: Bytes::ZERO,
            fences: self.setup.fences,
        };
        let host = &mut self.hosts[h];
        host.term = Some(epoch);
        host.ledger =
            Some(Ledger::new(host.id.clone(), epoch, limits).with_checks(self.setup.orders));
        self.step_ledger(h, orders::Event::Tick);
    }

    pub(crate) fn call_lease(&mut self, h: usize, action: lease::Action<u64>) {
        let call = self.number();
        self.hosts[h].lease_call = call;
        let failed = match action {
            lease::Action::Read => lease::Event::ReadFailed,
            _ => lease::Event::Unanswered,
        };
        self.push(CALL_TIMEOUT, h, Ev::LeaseBack(call, failed));
        self.maybe_freeze(h);
        self.send(h, Ev::LeaseCall(call, action));
    }

    /// Sends a message that may be late, lost or duplicated.
    pub(crate) fn send(&mut self, h: usize, ev: Ev) {
        let delay = self.delay();
        if self.lost() {
            return;
        }
        if self.lost() {
            let again = self.delay();
            self.push(again, h, ev.clone());
        }
        self.push(delay, h, ev);
    }

    /// Freezes a host between a check and the call that the check allowed.
    pub(crate) fn maybe_freeze(&mut self, h: usize) {
        if self.faulty() && self.rng.one_in(40) {
            self.hosts[h].frozen_until = self.now + self.rng.below(12 * S);
        }
    }

    pub(crate) fn answer(&mut self, h: usize, life: u64, ev: Ev) {
        let delay = self.delay();
        if !self.lost() {
            self.queue.push((self.now + delay, h, life, ev));
        }
    }

    pub(crate) fn step_ledger(&mut self, h: usize, ev: orders::Event<u64>) {
        let now = self.local(h);
        let Some(epoch) = self.hosts[h].term else {
            return;
        };
        let Some(ledger) = &mut self.hosts[h].ledger else {
            return;
        };
        let mut out = Vec::new();
        ledger.step(now, ev, &mut out);
        for action in out {
            self.perform(h, epoch, action);
        }
    }

    pub(crate) fn perform(&mut self, h: usize, epoch: Epoch, action: orders::Action<u64>) {
        use orders::Action;
        match action {
            Action::CheckSender(sender) => self.prove(h, epoch, sender),
            Action::Ready => self.acting = self.acting.max(epoch),
            Action::Closed(_) => self.closed += 1,
            Action::Declined(_) => {}
            Action::Superseded(newer) => self.step_lease(h, lease::Event::EpochSeen(newer)),
            _ if self.hosts[h].lease.authority(self.local(h)) != Some(epoch) => {
                self.step_lease(h, lease::Event::Tick);
            }
            Action::Send(order) => {
                let post = self.number();
                self.hosts[h].sending.push((post, order.clone()));
                self.maybe_freeze(h);
                let gap = self.rng.below(5 * MS);
                self.push(gap, h, Ev::Leave(post, order));
            }
            call => self.call_record(h, call),
        }
    }

    pub(crate) fn call_record(&mut self, h: usize, action: orders::Action<u64>) {
        let call = self.number();
        self.hosts[h].record_call = call;
        let failed = match action {
            orders::Action::Read => orders::Event::ReadFailed,
            _ => orders::Event::Unanswered,
        };
        self.push(CALL_TIMEOUT, h, Ev::RecordBack(call, failed));
        self.maybe_freeze(h);
        self.send(h, Ev::RecordCall(call, action));
    }

    pub(crate) fn prove(&mut self, h: usize, epoch: Epoch, sender: Sender) {
        let other = &self.hosts[usize::from(sender.host != self.hosts[0].id)];
        // The platform's list learns of a dead host five seconds later.
        let listed = other.alive || self.now < other.died + 5 * S;
        let answers = other.alive && self.now >= other.frozen_until;
        let open = other.term.is_some_and(|term| term <= sender.epoch)
            || other.sending.iter().any(|(_, o)| o.fence == sender.epoch);
        if !listed || (answers && !open) {
            let delay = self.delay();
            self.push(delay, h, Ev::Gone(epoch, sender));
        }
    }

    pub(crate) fn leave(&mut self, h: usize, post: u64, order: Order) {
        let incarnation = self.engine.incarnation;
        self.push(
            CALL_TIMEOUT,
            h,
            Ev::Posted(post, order.clone(), SendOutcome::Lost),
        );
        self.send(h, Ev::Arrive(post, order, incarnation));
    }

    pub(crate) fn posted(&mut self, h: usize, post: u64, order: &Order, answer: SendOutcome) {
        let sending = &mut self.hosts[h].sending;
        let Some(at) = sending.iter().position(|(p, _)| *p == post) else {
            return;
        };
        sending.swap_remove(at);
        if self.hosts[h].term == Some(order.fence) {
            self.step_ledger(
                h,
                orders::Event::SendFinished {
                    id: order.id,
                    outcome: answer,
                },
            );
        }
    }
}

fn version() -> VersionTag {
    "v1".parse().unwrap()
}
