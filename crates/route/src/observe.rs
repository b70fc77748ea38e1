//! Updates of the state of backend servers: reports, headers, digests and liveness.

use rand::RngExt;
use types::{
    AdapterId, BackendId, Deadline, Incarnation, Instant, LoadReport, Micros, ModelId, ServerNotice,
};

use crate::{
    backend::{LeavingBy, Resident},
    event::{Action, BackendLoad, BackendRegistration, Liveness},
    requests::Phase,
    router::{Router, Scope},
};

/// Returns a checksum of the residents that is equal on all hosts and never zero.
fn checksum_residents(residents: &[types::Resident]) -> u16 {
    let mut sorted: Vec<_> = residents.iter().collect();
    sorted.sort_unstable();
    let mut hasher = blake3::Hasher::new();
    for resident in sorted {
        hasher.update(resident.name.as_bytes());
        hasher.update(&[0]);
        hasher.update(resident.version.as_str().as_bytes());
        hasher.update(&[u8::from(resident.adapter)]);
    }
    let hash = hasher.finalize();
    let [low, high, ..] = *hash.as_bytes();
    u16::from_le_bytes([low, high]).max(1)
}

/// Percentage of the named time by which the return to a server is spread.
const HOLD_OFF_SPREAD_PERCENT: u64 = 10;

impl Router {
    fn backend_index(&self, id: &BackendId) -> Option<u32> {
        self.names.as_ref()?.backend(id)
    }

    /// Returns the incarnation of a backend server that has not announced that it leaves.
    fn running_incarnation(&self, backend: u32) -> Option<Incarnation> {
        let b = &self.backends[backend as usize];
        b.incarnation.filter(|_| b.leaving_by.is_none())
    }

    /// Records a crash if another incarnation has replaced one without notice and connections broke there.
    fn record_replaced(
        &mut self,
        now: Instant,
        id: &BackendId,
        before: Option<Incarnation>,
        current: Incarnation,
        out: &mut Vec<Action>,
    ) {
        if let Some(ended) = before.filter(|ended| *ended != current) {
            self.record_unnoticed_crash(now, id, ended, out);
        }
    }

    pub(crate) fn report(
        &mut self,
        now: Instant,
        id: &BackendId,
        report: &LoadReport,
        out: &mut Vec<Action>,
    ) {
        let Some(backend) = self.backend_index(id) else {
            return;
        };
        let age = Micros::from_millis(report.age_ms);
        let measured_at = Instant::from_micros(now.as_micros().saturating_sub(age.get()));
        let before = self.running_incarnation(backend);
        let b = &mut self.backends[backend as usize];
        if !b.accept_incarnation(report.incarnation, measured_at) {
            return;
        }
        self.record_replaced(now, id, before, report.incarnation, out);
        let b = &mut self.backends[backend as usize];
        #[expect(
            clippy::cast_possible_truncation,
            reason = "single precision suffices for a rate"
        )]
        let rate = report.tokens_per_second as f32;
        b.tokens_per_second = rate;
        b.measure(report.in_flight.saturating_add(report.queued), measured_at);
        if report.leaving {
            b.set_leaving(LeavingBy::Server);
        } else if b.leaving_by.is_none() {
            b.liveness = Liveness::Live;
        }
        b.residents_checksum = checksum_residents(&report.residents);
        let (residents, adapters) = self.residents_of(now, backend, report);
        self.set_residents(backend, residents, adapters);
        self.dispatch_queued(now, Scope::Backend(backend), out);
    }

    fn residents_of(
        &self,
        now: Instant,
        backend: u32,
        report: &LoadReport,
    ) -> (Vec<Resident>, Vec<u16>) {
        let Some(names) = &self.names else {
            return (Vec::new(), Vec::new());
        };
        let b = &self.backends[backend as usize];
        let (mut residents, mut adapters) = (Vec::new(), Vec::new());
        for resident in &report.residents {
            if resident.adapter {
                adapters.extend(names.adapter_named(&resident.name));
            } else if let Some(model) = names.model_named(&resident.name) {
                let slowdown = b.model_slowdown(model);
                residents.push(Resident {
                    model,
                    slowdown,
                    since: now,
                });
            }
        }
        residents.sort_unstable_by_key(|r| r.model);
        residents.dedup_by_key(|r| r.model);
        adapters.sort_unstable();
        adapters.dedup();
        (residents, adapters)
    }

    /// Replaces the residents of a backend server and updates the holders per model.
    pub(crate) fn set_residents(
        &mut self,
        backend: u32,
        residents: Vec<Resident>,
        adapters: Vec<u16>,
    ) {
        let b = &mut self.backends[backend as usize];
        let same = b.residents.len() == residents.len()
            && b.residents
                .iter()
                .zip(&residents)
                .all(|(a, r)| a.model == r.model);
        b.adapters = adapters;
        if same {
            return;
        }
        let old = std::mem::replace(&mut b.residents, residents);
        for resident in &mut b.residents {
            if let Ok(at) = old.binary_search_by_key(&resident.model, |r| r.model) {
                resident.since = old[at].since;
            }
        }
        if !b.local {
            return;
        }
        for r in old {
            self.holders[usize::from(r.model)].retain(|&h| h != backend);
        }
        for r in &self.backends[backend as usize].residents {
            let holders = &mut self.holders[usize::from(r.model)];
            let at = holders.partition_point(|&h| h < backend);
            holders.insert(at, backend);
        }
    }

    /// Applies a finished load without waiting for the next report.
    pub(crate) fn loaded(
        &mut self,
        now: Instant,
        id: &BackendId,
        model: &ModelId,
        adapter: Option<&AdapterId>,
        out: &mut Vec<Action>,
    ) {
        let Some(backend) = self.backend_index(id) else {
            return;
        };
        let Some(names) = &self.names else {
            return;
        };
        let adapter = adapter.map(|a| names.adapter(a));
        let model = names.model(model);
        let b = &mut self.backends[backend as usize];
        let (mut residents, mut adapters) = (b.residents.clone(), b.adapters.clone());
        if let Some(adapter) = adapter {
            if let Some(adapter) = adapter
                && let Err(at) = adapters.binary_search(&adapter)
            {
                adapters.insert(at, adapter);
            }
        } else if let Some(model) = model
            && let Err(at) = residents.binary_search_by_key(&model, |r| r.model)
        {
            let resident = Resident {
                model,
                slowdown: 1.0,
                since: now,
            };
            residents.insert(at, resident);
        }
        self.set_residents(backend, residents, adapters);
        self.forget_tried(backend, model);
        self.dispatch_queued(now, Scope::Backend(backend), out);
    }

    /// Lets the queued requests for a model use a server that did not run them but holds the model now.
    ///
    /// It may be the only holder, to which no other server is added.
    fn forget_tried(&mut self, backend: u32, model: Option<u16>) {
        for slot in self.requests.slots() {
            if let Some(entry) = self.requests.get_mut(slot)
                && entry.phase == Phase::Queued
                && entry.model == model
            {
                entry.forget_tried(backend);
            }
        }
    }

    pub(crate) fn load_headers(
        &mut self,
        now: Instant,
        id: &BackendId,
        total: u32,
        out: &mut Vec<Action>,
    ) {
        let Some(backend) = self.backend_index(id) else {
            return;
        };
        let grew = {
            let b = &mut self.backends[backend as usize];
            let before = b.others;
            b.measure(total, now);
            b.others >= before
        };
        if !grew {
            self.dispatch_queued(now, Scope::Backend(backend), out);
        }
    }

    /// Applies a peer's view, where it is newer than the own state.
    pub(crate) fn digest(
        &mut self,
        now: Instant,
        id: &BackendId,
        load: BackendLoad,
        age: Micros,
        out: &mut Vec<Action>,
    ) {
        let Some(backend) = self.backend_index(id) else {
            return;
        };
        let measured_at = Instant::from_micros(now.as_micros().saturating_sub(age.get()));
        let before = self.running_incarnation(backend);
        let b = &mut self.backends[backend as usize];
        if !b.accept_incarnation(load.incarnation, measured_at) {
            return;
        }
        self.record_replaced(now, id, before, load.incarnation, out);
        let b = &mut self.backends[backend as usize];
        match load.liveness {
            Liveness::Leaving => b.set_leaving(LeavingBy::Server),
            Liveness::Dead if measured_at >= b.measured_at && !b.local => self.set_dead(backend),
            Liveness::Live if b.leaving_by.is_none() && measured_at >= b.measured_at => {
                b.liveness = Liveness::Live;
            }
            _ => {}
        }
        let b = &mut self.backends[backend as usize];
        let before = b.others;
        if b.measure(u32::from(load.in_flight), measured_at) {
            b.others = b.others.max(load.own);
            b.tokens_per_second = load.tokens_per_second as f32;
        }
        if b.others < before {
            self.dispatch_queued(now, Scope::Backend(backend), out);
        }
    }

    /// Applies the registration of a backend server.
    pub(crate) fn registered(
        &mut self,
        now: Instant,
        id: &BackendId,
        registration: &BackendRegistration,
        out: &mut Vec<Action>,
    ) {
        let Some(backend) = self.backend_index(id) else {
            return;
        };
        let before = self.running_incarnation(backend);
        let b = &mut self.backends[backend as usize];
        let new_incarnation = b.incarnation != Some(registration.incarnation);
        if !b.accept_registration(registration.incarnation, now) {
            return;
        }
        self.record_replaced(now, id, before, registration.incarnation, out);
        let b = &mut self.backends[backend as usize];
        if let Some(time) = registration.terminates_in {
            b.terminates_at = b.terminates_at.min(Deadline::after(now, time));
        }
        if registration.leaving {
            b.set_leaving(LeavingBy::Server);
        } else if b.leaving_by.is_none() {
            b.liveness = Liveness::Live;
        }
        if new_incarnation {
            // A new process has an empty prefix cache, also for models that the previous process
            // held.
            self.set_residents(backend, Vec::new(), Vec::new());
        }
        let (residents, adapters) =
            self.registered_residents(now, backend, registration, new_incarnation);
        self.set_residents(backend, residents, adapters);
        self.dispatch_queued(now, Scope::Backend(backend), out);
    }

    /// Returns the residents according to a registration.
    ///
    /// Registrations do not list adapters that were loaded or unloaded since, so within an
    /// incarnation the adapters known from other sources are kept.
    fn registered_residents(
        &self,
        now: Instant,
        backend: u32,
        registration: &BackendRegistration,
        new_incarnation: bool,
    ) -> (Vec<Resident>, Vec<u16>) {
        let b = &self.backends[backend as usize];
        let Some(names) = &self.names else {
            return (Vec::new(), Vec::new());
        };
        let models = registration.models.iter().filter_map(|m| names.model(m));
        let resident = |model| Resident {
            model,
            slowdown: b.model_slowdown(model),
            since: now,
        };
        let mut residents: Vec<Resident> = models.map(resident).collect();
        residents.sort_unstable_by_key(|r| r.model);
        residents.dedup_by_key(|r| r.model);
        let listed = registration
            .adapters
            .iter()
            .filter_map(|a| names.adapter(a));
        let mut adapters: Vec<u16> = if new_incarnation {
            listed.collect()
        } else {
            b.adapters.clone()
        };
        adapters.sort_unstable();
        (residents, adapters)
    }

    /// Applies the liveness that the platform or the driver reports.
    ///
    /// The list of the platform lags, so it does not revive a server that reported itself as
    /// leaving; only a new incarnation of the process does.
    pub(crate) fn liveness(
        &mut self,
        now: Instant,
        id: &BackendId,
        liveness: Liveness,
        out: &mut Vec<Action>,
    ) {
        let Some(backend) = self.backend_index(id) else {
            return;
        };
        let b = &mut self.backends[backend as usize];
        match liveness {
            Liveness::Live if b.leaving_by == Some(LeavingBy::Server) => {}
            Liveness::Live => {
                b.leaving_by = None;
                b.liveness = Liveness::Live;
            }
            Liveness::Leaving if b.leaving_by.is_none() => b.set_leaving(LeavingBy::Platform),
            Liveness::Leaving => {}
            Liveness::Dead => self.set_dead(backend),
        }
        self.dispatch_queued(now, Scope::All, out);
    }

    /// Applies what a backend server announced in a response of its current incarnation.
    pub(crate) fn announced(
        &mut self,
        now: Instant,
        id: &BackendId,
        incarnation: Option<Incarnation>,
        notice: ServerNotice,
        out: &mut Vec<Action>,
    ) {
        let Some(backend) = self.backend_index(id) else {
            return;
        };
        // Hosts that were turned away together should not return together.
        let spread = self.rng.random_range(0..=HOLD_OFF_SPREAD_PERCENT);
        let b = &mut self.backends[backend as usize];
        if incarnation.is_some() && b.incarnation != incarnation {
            return;
        }
        if notice.leaving {
            b.set_leaving(LeavingBy::Server);
        }
        if let Some(time) = notice.hold_off {
            let time = time.min(ServerNotice::MAX_HOLD_OFF).get();
            let until = Deadline::after(now, Micros::new(time + time * spread / 100));
            b.held_off_until = b.held_off_until.max(until);
        }
        self.dispatch_queued(now, Scope::Backend(backend), out);
    }

    pub(crate) fn prefix(&mut self, id: &BackendId, prefix: u64) {
        if let Some(backend) = self.backend_index(id) {
            self.backends[backend as usize].prefixes.insert(prefix);
        }
    }

    pub(crate) fn prefix_gap(&mut self, id: &BackendId) {
        if let Some(backend) = self.backend_index(id) {
            self.backends[backend as usize].prefixes.clear();
        }
    }
}
