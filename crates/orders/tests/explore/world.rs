//! Two hosts, one engine and the platform on virtual time, driven by a seeded schedule.

use lease::Lease;
use orders::{Answer, Copy, CopyState, Ledger, Limits, Record, Sender, Want};
use types::{
    AttemptId, Bytes, Epoch, HostId, Instant, LoadReport, Micros, Order, OrderId, OrderOp,
    VersionTag,
};

use crate::engine::Engine;

pub const MS: u64 = 1_000;
pub const S: u64 = 1_000_000;

const DURATION: Micros = Micros::from_secs(4);
const MEMORY: Bytes = Bytes::new(10);
const MODELS: [(&str, u64); 4] = [("a", 5), ("b", 4), ("c", 3), ("d", 6)];
const CALL_TIMEOUT: u64 = 2 * S;

/// What a schedule runs with.
#[derive(Clone, Copy, Debug, Default)]
pub struct Setup {
    pub seed: u64,
    pub fences: bool,
    pub lease: lease::Checks,
    pub orders: orders::Checks,
}

/// Generator with a fixed sequence for each seed (`SplitMix64`).
#[derive(Clone, Debug)]
pub struct Rng(pub u64);

impl Rng {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    pub fn below(&mut self, n: u64) -> u64 {
        self.next() % n
    }

    pub fn one_in(&mut self, n: u64) -> bool {
        self.below(n) == 0
    }
}

#[derive(Clone, Debug)]
enum Ev {
    Tick,
    LeaseCall(u64, lease::Action<u64>),
    LeaseBack(u64, lease::Event<u64>),
    RecordCall(u64, orders::Action<u64>),
    RecordBack(u64, orders::Event<u64>),
    /// An order leaves the process.
    Leave(u64, Order),
    /// An order reaches the engine on a connection to one of its lives.
    Arrive(u64, Order, u64),
    Posted(u64, Order, Answer),
    Report(u64, LoadReport),
    Gone(Epoch, Sender),
    Finish(u64, OrderId),
    Fault,
}

struct Host {
    id: HostId,
    life: u64,
    alive: bool,
    died: u64,
    resigned: bool,
    frozen_until: u64,
    rate: u64,
    lease: Lease<u64>,
    ledger: Option<Ledger<u64>>,
    term: Option<Epoch>,
    lease_call: u64,
    record_call: u64,
    /// Number and epoch of the orders that are being sent.
    sending: Vec<(u64, Order)>,
}

pub struct World {
    setup: Setup,
    rng: Rng,
    now: u64,
    /// Due time, host, life of the host's process, event.
    queue: Vec<(u64, usize, u64, Ev)>,
    lease: Option<(lease::Record, u64)>,
    record: Option<(Record, u64)>,
    /// Write of the previous revision number.
    revision: u64,
    platform_down_until: u64,
    engine: Engine,
    hosts: Vec<Host>,
    numbers: u64,
    became: Epoch,
    acting: Epoch,
    faults_until: u64,
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
            engine: Engine::new(setup.fences),
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

    fn push(&mut self, delay: u64, h: usize, ev: Ev) {
        let life = self.hosts[h].life;
        self.queue.push((self.now + delay, h, life, ev));
    }

    fn number(&mut self) -> u64 {
        self.numbers += 1;
        self.numbers
    }

    fn faulty(&self) -> bool {
        self.now < self.faults_until
    }

    fn delay(&mut self) -> u64 {
        let most = match self.rng.below(24) {
            0 if self.faulty() => 8 * S,
            1 | 2 if self.faulty() => S,
            _ => 20 * MS,
        };
        self.rng.below(most) + 1
    }

    fn lost(&mut self) -> bool {
        self.faulty() && self.rng.one_in(16)
    }

    fn local(&self, h: usize) -> Instant {
        Instant::from_micros(self.now * self.hosts[h].rate / 1_000)
    }

    fn handle(&mut self, h: usize, life: u64, ev: Ev) {
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
                    self.step_ledger(h, orders::Event::Gone(sender));
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

    fn tick(&mut self, h: usize) {
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

    fn ask_report(&mut self, h: usize) {
        let asked = self.local(h).as_micros();
        let lag = if self.rng.one_in(2) { 1_500 * MS } else { 0 };
        let report = self.engine.report(self.now, lag);
        let delay = self.delay();
        if !self.lost() {
            self.push(delay, h, Ev::Report(asked, report));
        }
    }

    fn want(&mut self, h: usize) {
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
        let want = Want {
            id: OrderId::new(u128::from(self.number())),
            op,
            name: name.to_owned(),
            version: version(),
            bytes: Bytes::new(bytes),
        };
        self.step_ledger(h, orders::Event::Want(want));
    }

    fn step_lease(&mut self, h: usize, ev: lease::Event<u64>) {
        let now = self.local(h);
        let mut out = Vec::new();
        self.hosts[h].lease.step(now, ev, &mut out);
        for action in out {
            match action {
                lease::Action::Became(epoch) => self.became(h, epoch),
                lease::Action::Lost(_) => {
                    self.hosts[h].term = None;
                    self.hosts[h].ledger = None;
                    self.hosts[h].record_call = 0;
                }
                action => self.call_lease(h, action),
            }
        }
    }

    fn became(&mut self, h: usize, epoch: Epoch) {
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

    fn call_lease(&mut self, h: usize, action: lease::Action<u64>) {
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
    fn send(&mut self, h: usize, ev: Ev) {
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
    fn maybe_freeze(&mut self, h: usize) {
        if self.faulty() && self.rng.one_in(40) {
            self.hosts[h].frozen_until = self.now + self.rng.below(12 * S);
        }
    }

    fn answer(&mut self, h: usize, life: u64, ev: Ev) {
        let delay = self.delay();
        if !self.lost() {
            self.queue.push((self.now + delay, h, life, ev));
        }
    }

    fn lease_call(&mut self, h: usize, life: u64, call: u64, action: lease::Action<u64>) {
        if self.now < self.platform_down_until {
            return;
        }
        let at = self.lease.as_ref().map(|(_, revision)| *revision);
        let ev = match action {
            lease::Action::Create(record) if at.is_none() => self.commit_lease(record),
            lease::Action::Update(record, on) if at == Some(on) => self.commit_lease(record),
            lease::Action::Read => lease::Event::Read(self.lease.clone()),
            _ => lease::Event::Refused,
        };
        self.answer(h, life, Ev::LeaseBack(call, ev));
    }

    fn commit_lease(&mut self, record: lease::Record) -> lease::Event<u64> {
        if self
            .lease
            .as_ref()
            .is_some_and(|(old, _)| record.epoch < old.epoch)
        {
            self.violation = Some("the epoch of the lease fell".to_owned());
        }
        self.revision += 1;
        self.lease = Some((record, self.revision));
        lease::Event::Written(self.revision)
    }

    fn step_ledger(&mut self, h: usize, ev: orders::Event<u64>) {
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

    fn perform(&mut self, h: usize, epoch: Epoch, action: orders::Action<u64>) {
        use orders::Action;
        match action {
            Action::Prove(sender) => self.prove(h, epoch, sender),
            Action::Raised => self.acting = self.acting.max(epoch),
            Action::Closed(_) => self.closed += 1,
            Action::Declined(_) => {}
            Action::Superseded(newer) => self.step_lease(h, lease::Event::EpochSeen(newer)),
            _ if self.hosts[h].lease.authority(self.local(h)) != Some(epoch) => {
                self.step_lease(h, lease::Event::Tick);
            }
            Action::Post(order) => {
                let post = self.number();
                self.hosts[h].sending.push((post, order.clone()));
                self.maybe_freeze(h);
                let gap = self.rng.below(5 * MS);
                self.push(gap, h, Ev::Leave(post, order));
            }
            call => self.call_record(h, call),
        }
    }

    fn call_record(&mut self, h: usize, action: orders::Action<u64>) {
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

    fn record_call(&mut self, h: usize, life: u64, call: u64, action: orders::Action<u64>) {
        if self.now < self.platform_down_until {
            return;
        }
        let at = self.record.as_ref().map(|(_, revision)| *revision);
        let ev = match action {
            orders::Action::Create(record) if at.is_none() => self.commit_record(record),
            orders::Action::Update(record, on) if at == Some(on) => self.commit_record(record),
            orders::Action::Read => orders::Event::Read(self.record.clone()),
            _ => orders::Event::Refused,
        };
        self.answer(h, life, Ev::RecordBack(call, ev));
    }

    fn commit_record(&mut self, record: Record) -> orders::Event<u64> {
        if record.epoch < self.acting {
            self.violation = Some(format!(
                "epoch {} wrote the record while epoch {} acted",
                record.epoch, self.acting
            ));
        }
        self.revision += 1;
        self.record = Some((record, self.revision));
        orders::Event::Written(self.revision)
    }

    fn prove(&mut self, h: usize, epoch: Epoch, sender: Sender) {
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

    fn leave(&mut self, h: usize, post: u64, order: Order) {
        let incarnation = self.engine.incarnation;
        self.push(
            CALL_TIMEOUT,
            h,
            Ev::Posted(post, order.clone(), Answer::Lost),
        );
        self.send(h, Ev::Arrive(post, order, incarnation));
    }

    fn arrive(&mut self, h: usize, life: u64, post: u64, order: &Order, incarnation: u64) {
        if incarnation != self.engine.incarnation {
            return;
        }
        let refuse = self.faulty() && self.rng.one_in(12);
        let (answer, runs) = self.engine.arrive(order, refuse);
        if runs {
            let takes = self.rng.below(3 * S);
            self.push(takes, h, Ev::Finish(incarnation, order.id));
        }
        self.answer(h, life, Ev::Posted(post, order.clone(), answer));
    }

    fn posted(&mut self, h: usize, post: u64, order: &Order, answer: Answer) {
        let sending = &mut self.hosts[h].sending;
        let Some(at) = sending.iter().position(|(p, _)| *p == post) else {
            return;
        };
        sending.swap_remove(at);
        if self.hosts[h].term == Some(order.fence) {
            self.step_ledger(
                h,
                orders::Event::Posted {
                    id: order.id,
                    answer,
                },
            );
        }
    }

    fn fault(&mut self) {
        if !self.faulty() {
            for h in 0..2 {
                self.revive(h);
                self.hosts[h].frozen_until = self.hosts[h].frozen_until.min(self.now + S);
            }
            return self.push(S, 0, Ev::Fault);
        }
        let h = usize::try_from(self.rng.below(2)).unwrap();
        let span = self.rng.below(10 * S);
        match self.rng.below(8) {
            0 | 1 => self.hosts[h].frozen_until = self.now + span,
            2 => {
                self.hosts[h].alive = false;
                self.hosts[h].died = self.now;
                self.hosts[h].sending.clear();
            }
            3 | 4 => self.revive(h),
            5 => self.platform_down_until = self.now + span,
            6 => self.engine.restart(),
            _ => self.hand_over(h),
        }
        let pause = self.rng.below(4 * S);
        self.push(pause, 0, Ev::Fault);
    }

    /// Hands over the lease; the process is restarted later.
    fn hand_over(&mut self, h: usize) {
        if self.hosts[h].alive && self.now >= self.hosts[h].frozen_until {
            self.hosts[h].resigned = true;
            self.step_lease(h, lease::Event::HandOver);
        }
    }

    fn revive(&mut self, h: usize) {
        let old = &self.hosts[h];
        if old.alive && (!old.resigned || !old.sending.is_empty()) {
            return;
        }
        self.hosts[h] = host(h, old.life + 1, old.rate, self.setup);
        self.push(0, h, Ev::Tick);
    }

    fn check(&mut self) {
        let reserved = self
            .record
            .as_ref()
            .map_or(Bytes::ZERO, |(r, _)| r.reserved());
        let used = self.engine.used();
        let holders = (0..2).filter(|h| {
            let host = &self.hosts[*h];
            host.alive && host.lease.authority(self.local(*h)).is_some()
        });
        let found = if used > MEMORY {
            format!("{used} in use, {MEMORY} present")
        } else if used > reserved {
            format!("{used} in use, {reserved} reserved")
        } else if reserved > MEMORY {
            format!("{reserved} reserved, {MEMORY} present")
        } else if holders.count() > 1 {
            "two hosts have authority".to_owned()
        } else if let Some(name) = self.counted_in_error() {
            format!("copy of {name} counted while its unload is open")
        } else {
            return;
        };
        let at = self.now;
        self.violation.get_or_insert(format!("{found} at {at} us"));
    }

    /// Finds a copy that a holder counts although an unload of it can still take effect.
    fn counted_in_error(&self) -> Option<String> {
        let open = |name: &str| {
            let leaving = self.hosts.iter().flat_map(|h| &h.sending).map(|(_, o)| o);
            let queued = self.queue.iter().filter_map(|(_, _, _, ev)| match ev {
                Ev::Arrive(_, order, life) if *life == self.engine.incarnation => Some(order),
                _ => None,
            });
            let mut all = leaving.chain(queued).chain(&self.engine.running);
            all.any(|o| {
                let running = self.engine.running.iter().any(|r| r.id == o.id);
                let new = !self.engine.knows(o.id) && !self.engine.refuses(o);
                o.op == OrderOp::Unload && o.name == name && (running || new)
            })
        };
        let (record, _) = self.record.as_ref()?;
        for host in &self.hosts {
            if host.term != Some(record.epoch) || !host.alive {
                continue;
            }
            let copies: Vec<Copy> = host.ledger.as_ref()?.copies();
            let mut ready = copies.iter().filter(|c| c.state == CopyState::Ready);
            if let Some(copy) = ready.find(|c| open(&c.name)) {
                return Some(copy.name.clone());
            }
        }
        None
    }

    /// Checks that orders are closed once nothing fails any more.
    fn check_progress(&mut self) {
        let holder = (0..2).find(|h| self.hosts[*h].lease.authority(self.local(*h)).is_some());
        let foreign = self.record.as_ref().is_some_and(|(record, _)| {
            let epoch = record.epoch;
            record
                .pending()
                .any(|p| p.senders.iter().any(|s| s.epoch != epoch))
        });
        if holder.is_none() {
            self.violation = Some("nobody holds the lease after the faults".to_owned());
        } else if foreign {
            self.violation = Some("a former holder's order stays open".to_owned());
        }
    }
}

fn version() -> VersionTag {
    "v1".parse().unwrap()
}

fn host(i: usize, life: u64, rate: u64, setup: Setup) -> Host {
    let id: HostId = format!("h{i}").parse().unwrap();
    let attempt = u128::from(life) * 2 + u128::from(i == 1);
    Host {
        lease: Lease::new(lease::Params {
            host: id.clone(),
            attempt: AttemptId::new(attempt),
            duration: DURATION,
            poll: Micros::from_secs(1),
            checks: setup.lease,
        }),
        id,
        life,
        alive: true,
        died: 0,
        resigned: false,
        frozen_until: 0,
        rate,
        ledger: None,
        term: None,
        lease_call: 0,
        record_call: 0,
        sending: Vec::new(),
    }
}
