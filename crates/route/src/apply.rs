//! Putting a configuration into force without losing what was learned.

use types::Code;

use crate::{
    backend::Backend,
    event::Action,
    flight::Phase,
    names::{Names, Renumbering},
    router::Router,
};

/// Index of a backend server that is no longer configured.
const GONE: u32 = u32::MAX;

impl Router {
    /// Takes over a newer configuration.
    pub(crate) fn apply(&mut self, new: Names, out: &mut Vec<Action>) {
        let map = match &self.names {
            Some(old) => Renumbering::new(old, &new),
            None => Renumbering::default(),
        };
        self.renumber_backends(&map, &new);
        self.renumber_remotes(&map, &new);
        let models = new.deployment().models.len();
        self.demand = renumbered(&map.models, std::mem::take(&mut self.demand), models);
        self.model_paces = renumbered(&map.models, std::mem::take(&mut self.model_paces), models);
        let adapters = new.deployment().adapters.len();
        let uses = std::mem::take(&mut self.adapter_uses);
        self.adapter_uses = renumbered(&map.adapters, uses, adapters);
        let services = new.deployment().services.len();
        let windows = std::mem::take(&mut self.retry_windows);
        self.retry_windows = renumbered(&map.services, windows, services);
        self.wanted.clear();
        self.unplaceable.clear();
        self.names = Some(new);
        self.rebuild_lists();
        self.sum_if_heard();
        self.renumber_flights(&map, out);
    }

    /// Adds up the requests of peers again, if there are any; digests count otherwise.
    fn sum_if_heard(&mut self) {
        if !self.peer_loads.is_empty() {
            self.sum_peer_loads();
        }
    }

    fn renumber_backends(&mut self, map: &Renumbering, new: &Names) {
        let servers = &new.deployment().backends;
        let mut backends: Vec<Backend> = servers.iter().map(|_| Backend::new()).collect();
        for (old, to) in std::mem::take(&mut self.backends)
            .into_iter()
            .zip(&map.backends)
        {
            if let Some(to) = to {
                backends[*to as usize] = old;
            }
        }
        for (b, server) in backends.iter_mut().zip(servers) {
            b.local = self.cfg.dc.as_ref().is_none_or(|dc| *dc == server.dc);
            b.far = self
                .cfg
                .preferred_dc
                .as_ref()
                .is_some_and(|dc| *dc != server.dc);
            b.service = new.service(&server.service).unwrap_or(u16::MAX);
            b.max_in_flight = u16::try_from(server.max_in_flight.max(1)).unwrap_or(u16::MAX);
            #[expect(
                clippy::cast_possible_truncation,
                reason = "single precision suffices for a relative speed"
            )]
            let speed = server.speed.max(0.01) as f32;
            b.speed = speed;
            b.residents.retain_mut(|r| {
                keep(&map.models, r.model)
                    .inspect(|m| r.model = *m)
                    .is_some()
            });
            b.residents.sort_unstable_by_key(|r| r.model);
            b.adapters
                .retain_mut(|a| keep(&map.adapters, *a).inspect(|to| *a = *to).is_some());
            b.adapters.sort_unstable();
        }
        self.backends = backends;
        self.departed.retain_mut(|d| {
            let to = map.backends.get(d.backend as usize).copied().flatten();
            to.inspect(|to| d.backend = *to).is_some()
        });
    }

    fn renumber_remotes(&mut self, map: &Renumbering, new: &Names) {
        let old = std::mem::take(&mut self.remotes);
        let dcs = new.deployment().data_centres.len();
        self.remotes = renumbered(&map.dcs, old, dcs);
        for remote in &mut self.remotes {
            let kept = remote.models.iter().filter_map(|&m| keep(&map.models, m));
            remote.models = kept.collect();
            remote.models.sort_unstable();
        }
    }

    fn rebuild_lists(&mut self) {
        let Some(names) = &self.names else {
            return;
        };
        self.holders = vec![Vec::new(); names.deployment().models.len()];
        self.members = vec![Vec::new(); names.deployment().services.len()];
        for (at, b) in (0_u32..).zip(&self.backends).filter(|(_, b)| b.local) {
            if let Some(members) = self.members.get_mut(usize::from(b.service)) {
                members.push(at);
            }
            for r in &b.residents {
                self.holders[usize::from(r.model)].push(at);
            }
        }
    }

    /// Renumbers the requests; those whose service or model is gone are refused if they wait.
    fn renumber_flights(&mut self, map: &Renumbering, out: &mut Vec<Action>) {
        self.waiting = vec![0; self.demand.len()];
        for slot in self.flights.slots() {
            let Some(flight) = self.flights.get_mut(slot) else {
                continue;
            };
            let service = keep(&map.services, flight.service);
            let model = flight.model.map(|m| keep(&map.models, m));
            let adapter = flight.adapter.map(|a| keep(&map.adapters, a));
            let backend_of = |b: u32| map.backends.get(b as usize).copied().flatten();
            for tried in &mut flight.tried {
                *tried = backend_of(*tried).unwrap_or(GONE);
            }
            for tried in &mut flight.tried_dcs {
                *tried = keep(&map.dcs, *tried).unwrap_or(u16::MAX);
            }
            match &mut flight.phase {
                Phase::Running { backend, .. } | Phase::Asking { backend, .. } => {
                    *backend = backend_of(*backend).unwrap_or(GONE);
                }
                Phase::Forwarded { dc } => *dc = keep(&map.dcs, *dc).unwrap_or(u16::MAX),
                Phase::Queued => {}
            }
            let lost = service.is_none() || model == Some(None) || adapter == Some(None);
            let queued = flight.phase == Phase::Queued;
            let rank = flight.rank;
            flight.service = service.unwrap_or(u16::MAX);
            flight.model = model.flatten();
            flight.adapter = adapter.flatten();
            flight.withdrawn |= lost;
            if queued && lost {
                self.queue.remove(rank);
                self.refuse(slot, Code::UnknownModel, None, out);
            } else if queued {
                let model = self.flights.get(slot).and_then(|f| f.model);
                self.count_waiting(model, true);
            }
        }
    }
}

fn keep<T: Copy>(map: &[Option<T>], from: u16) -> Option<T> {
    map.get(usize::from(from)).copied().flatten()
}

/// Moves entries to their new indexes; entries without an old one start empty.
fn renumbered<T: Default>(map: &[Option<u16>], old: Vec<T>, len: usize) -> Vec<T> {
    let mut new: Vec<T> = (0..len).map(|_| T::default()).collect();
    for (entry, to) in old.into_iter().zip(map) {
        if let Some(to) = to {
            new[usize::from(*to)] = entry;
        }
    }
    new
}
