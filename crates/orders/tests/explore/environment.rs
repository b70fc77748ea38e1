//! Platform calls, engine calls and faults of the simulation.

use orders::Record;
use types::Order;

use crate::{
    host::new_host,
    world::{S, SimEvent, World},
};

impl World {
    pub(crate) fn lease_call(
        &mut self,
        h: usize,
        process: u64,
        call: u64,
        action: lease::Action<u64>,
    ) {
        if self.now < self.platform_down_until {
            return;
        }
        let at = self.lease.as_ref().map(|(_, revision)| *revision);
        let event = match action {
            lease::Action::Create(record) if at.is_none() => self.commit_lease(record),
            lease::Action::Update(record, on) if at == Some(on) => self.commit_lease(record),
            lease::Action::Read => lease::Event::Read(self.lease.clone()),
            _ => lease::Event::Refused,
        };
        self.respond(h, process, SimEvent::LeaseResult(call, event));
    }

    pub(crate) fn commit_lease(&mut self, record: lease::Record) -> lease::Event<u64> {
        if self
            .lease
            .as_ref()
            .is_some_and(|(old, _)| record.epoch < old.epoch)
        {
            self.violation = Some("the epoch of the lease decreased".to_owned());
        }
        self.revision += 1;
        self.lease = Some((record, self.revision));
        lease::Event::Written(self.revision)
    }

    pub(crate) fn record_call(
        &mut self,
        h: usize,
        process: u64,
        call: u64,
        action: orders::Action<u64>,
    ) {
        if self.now < self.platform_down_until {
            return;
        }
        let at = self.record.as_ref().map(|(_, revision)| *revision);
        let event = match action {
            orders::Action::Create(record) if at.is_none() => self.commit_record(record),
            orders::Action::Update(record, on) if at == Some(on) => self.commit_record(record),
            orders::Action::Read => orders::Event::Read(self.record.clone()),
            _ => orders::Event::Refused,
        };
        self.respond(h, process, SimEvent::RecordResult(call, event));
    }

    pub(crate) fn commit_record(&mut self, record: Record) -> orders::Event<u64> {
        if record.epoch < self.ready_epoch {
            self.violation = Some(format!(
                "epoch {} wrote the record after epoch {} was ready",
                record.epoch, self.ready_epoch
            ));
        }
        self.revision += 1;
        self.record = Some((record, self.revision));
        orders::Event::Written(self.revision)
    }

    pub(crate) fn accept_order(
        &mut self,
        h: usize,
        process: u64,
        attempt: u64,
        order: &Order,
        incarnation: u64,
    ) {
        if incarnation != self.engine.incarnation {
            return;
        }
        let refuse = self.faults_active() && self.rng.one_in(12);
        let (outcome, runs) = self.engine.accept_order(order, refuse);
        if runs {
            let run_time = self.rng.below(3 * S);
            self.push(run_time, h, SimEvent::OrderFinished(incarnation, order.id));
        }
        self.respond(
            h,
            process,
            SimEvent::SendFinished(attempt, order.clone(), outcome),
        );
    }

    pub(crate) fn fault(&mut self) {
        if !self.faults_active() {
            for h in 0..2 {
                self.restart_host(h);
                self.hosts[h].frozen_until = self.hosts[h].frozen_until.min(self.now + S);
            }
            return self.push(S, 0, SimEvent::Fault);
        }
        let h = usize::try_from(self.rng.below(2)).unwrap();
        let span = self.rng.below(10 * S);
        match self.rng.below(8) {
            0 | 1 => self.hosts[h].frozen_until = self.now + span,
            2 => {
                self.hosts[h].alive = false;
                self.hosts[h].died_at = self.now;
                self.hosts[h].sending.clear();
            }
            3 | 4 => self.restart_host(h),
            5 => self.platform_down_until = self.now + span,
            6 => self.engine.restart(),
            _ => self.hand_over(h),
        }
        let pause = self.rng.below(4 * S);
        self.push(pause, 0, SimEvent::Fault);
    }

    /// Hands over the lease; a later fault event restarts the process.
    pub(crate) fn hand_over(&mut self, h: usize) {
        if self.hosts[h].alive && self.now >= self.hosts[h].frozen_until {
            self.hosts[h].handed_over = true;
            self.step_lease(h, lease::Event::Release);
        }
    }

    pub(crate) fn restart_host(&mut self, h: usize) {
        let old = &self.hosts[h];
        if old.alive && (!old.handed_over || !old.sending.is_empty()) {
            return;
        }
        self.hosts[h] = new_host(h, old.process + 1, old.clock_rate, self.scenario);
        self.push(0, h, SimEvent::Tick);
    }
}
