//! Platform, engine and faults of the explored world.

use orders::Record;
use types::Order;

use crate::{
    host::host,
    world::{Ev, S, World},
};

impl World {
    pub(crate) fn lease_call(
        &mut self,
        h: usize,
        life: u64,
        call: u64,
        action: lease::Action<u64>,
    ) {
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

    pub(crate) fn commit_lease(&mut self, record: lease::Record) -> lease::Event<u64> {
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

    pub(crate) fn record_call(
        &mut self,
        h: usize,
        life: u64,
        call: u64,
        action: orders::Action<u64>,
    ) {
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

    pub(crate) fn commit_record(&mut self, record: Record) -> orders::Event<u64> {
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

    pub(crate) fn arrive(
        &mut self,
        h: usize,
        life: u64,
        post: u64,
        order: &Order,
        incarnation: u64,
    ) {
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

    pub(crate) fn fault(&mut self) {
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
    pub(crate) fn hand_over(&mut self, h: usize) {
        if self.hosts[h].alive && self.now >= self.hosts[h].frozen_until {
            self.hosts[h].resigned = true;
            self.step_lease(h, lease::Event::Release);
        }
    }

    pub(crate) fn revive(&mut self, h: usize) {
        let old = &self.hosts[h];
        if old.alive && (!old.resigned || !old.sending.is_empty()) {
            return;
        }
        self.hosts[h] = host(h, old.life + 1, old.rate, self.setup);
        self.push(0, h, Ev::Tick);
    }
}
