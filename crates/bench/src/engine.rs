//! Adapter loads and load reports of the workers.

use std::sync::Arc;

use place::CopyState;
use route::Event;
use types::{Bytes, Epoch, Incarnation, Instant, LoadReport, Micros, ModelId, Resident};

use crate::{simulation::Simulation, spec::GIB};

impl Simulation<'_> {
    /// Returns the instant at which an adapter is loaded, and starts the load if necessary.
    pub(crate) fn ensure_adapter(&mut self, w: usize, adapter: usize, model: &ModelId) -> Instant {
        if self.workers[w].touch_adapter(adapter) {
            return self.now;
        }
        let loading = self
            .adapter_loads
            .iter()
            .find(|l| l.1 == w && l.2 == adapter);
        if let Some(loading) = loading {
            return loading.0;
        }
        self.load_adapter(w, adapter, model.clone())
    }

    pub(crate) fn load_adapter(&mut self, w: usize, adapter: usize, model: ModelId) -> Instant {
        let in_flight = self.adapter_loads.len() + 1;
        let limit = u64::from(self.spec.adapter_limit);
        let done = self.now + Micros::new(5_000 * (in_flight as u64).max(limit) / limit);
        self.adapter_loads.push((done, w, adapter, model));
        self.metrics.adapter_loads = self.metrics.adapter_loads.max(in_flight);
        done
    }

    pub(crate) fn complete_adapter_loads(&mut self) {
        let now = self.now;
        while let Some(at) = self.adapter_loads.iter().position(|l| l.0 <= now) {
            let (_, w, adapter, model) = self.adapter_loads.remove(at);
            self.workers[w].add_adapter(adapter);
            for host in self.hosts_of(self.workers[w].dc) {
                let ev = Event::Resident {
                    backend: self.deployment.backends[w].id.clone(),
                    model: model.clone(),
                    adapter: Some(self.deployment.adapters[adapter].id.clone()),
                };
                self.send_event(host, ev);
            }
        }
        let share = self.spec.adapter_limit as usize / self.spec.dcs;
        for (dc, adapter, model) in std::mem::take(&mut self.adapter_requests) {
            let here = |l: &&(Instant, usize, usize, ModelId)| self.workers[l.1].dc == dc;
            if self.adapter_loads.iter().filter(here).count() >= share {
                self.adapter_requests.push((dc, adapter, model));
                continue;
            }
            let holders = (0..self.workers.len())
                .filter(|&w| self.workers[w].dc == dc && self.workers[w].is_ready(&model));
            let target = holders.min_by_key(|&w| (self.workers[w].running.len(), w));
            if let Some(w) = target {
                self.load_adapter(w, adapter, model);
            }
        }
    }

    pub(crate) fn report(&self, w: usize, age: Micros) -> Arc<LoadReport> {
        let worker = &self.workers[w];
        let resident = |name: &str, bytes, adapter| Resident {
            name: name.to_owned(),
            version: "v1".parse().expect("a name"),
            bytes,
            adapter,
        };
        let ready = worker.copies.iter().filter(|h| h.state == CopyState::Ready);
        let models = ready.map(|h| resident(h.model.as_str(), h.bytes, false));
        let name = |a: &usize| self.deployment.adapters[*a].id.as_str();
        let adapters = worker
            .adapters
            .iter()
            .map(|a| resident(name(a), Bytes::new(GIB), true));
        #[expect(clippy::cast_possible_truncation, reason = "a batch is small")]
        Arc::new(LoadReport {
            incarnation: Incarnation::new(1),
            leaving: false,
            memory: worker.memory,
            used: worker.memory_used(),
            in_flight: worker.running.len() as u32,
            queued: worker.waiting.len() as u32,
            tokens_per_second: 0.0,
            residents: models.chain(adapters).collect(),
            orders: Vec::new(),
            age_ms: age.get() / 1_000,
            fence: Epoch::default(),
        })
    }

    pub(crate) fn publish(&mut self) {
        let age = self.case.report_age();
        for w in 0..self.workers.len() {
            if self.workers[w].live {
                let report = self.report(w, age);
                self.reports.push((self.now + age, w, report));
            }
        }
    }

    pub(crate) fn deliver(&mut self, w: usize, report: &Arc<LoadReport>) {
        if !self.workers[w].live {
            return;
        }
        for host in self.hosts_of(self.workers[w].dc) {
            let backend = self.deployment.backends[w].id.clone();
            let report = Arc::clone(report);
            self.send_event(host, Event::Report { backend, report });
        }
    }
}
