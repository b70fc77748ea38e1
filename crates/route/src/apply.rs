//! Switch to a new configuration that preserves the learned state.

use rand::RngExt;
use types::{BackendId, Code, Incarnation, Instant};

use crate::{
    backend::Backend,
    dispatch::micros,
    event::Action,
    names::{IndexMapping, NameIndex},
    requests::Phase,
    router::Router,
};

/// Minimum time, in seconds, after which callers of a removed service return; at most twice of it.
///
/// Other hosts apply a new configuration some tenths of a second later.
const WITHDRAWN_RETRY_SECONDS: f64 = 0.3;

/// New indexes of the backend servers by their old ones. Those of removed servers do not change any more.
#[derive(Debug, Default)]
struct BackendMapping(Vec<u32>);

impl BackendMapping {
    fn new_index(&self, old: u32) -> u32 {
        self.0.get(old as usize).copied().unwrap_or(old)
    }
}

impl Router {
    /// Replaces the configuration by a newer one.
    pub(crate) fn apply(&mut self, now: Instant, new: NameIndex, out: &mut Vec<Action>) {
        let map = match &self.names {
            Some(old) => IndexMapping::new(old, &new),
            None => IndexMapping::default(),
        };
        let ended = self.removed_without_notice(&map);
        let backends = self.remap_backends(now, &map, &new);
        self.remap_remote_dcs(&map, &new);
        let models = new.deployment().models.len();
        self.demand = remapped(&map.models, std::mem::take(&mut self.demand), models);
        self.model_slowdowns = remapped(
            &map.models,
            std::mem::take(&mut self.model_slowdowns),
            models,
        );
        let adapters = new.deployment().adapters.len();
        let uses = std::mem::take(&mut self.adapter_uses);
        self.adapter_uses = remapped(&map.adapters, uses, adapters);
        let services = new.deployment().services.len();
        let windows = std::mem::take(&mut self.retry_windows);
        self.retry_windows = remapped(&map.services, windows, services);
        self.placement_requests.clear();
        self.rejected_placements.clear();
        self.names = Some(new);
        self.rebuild_lists();
        self.sum_if_heard();
        self.remap_requests(&map, &backends, out);
        for (id, incarnation) in ended {
            self.record_unnoticed_crash(now, &id, incarnation, out);
        }
        self.forget_unused_servers();
    }

    /// Returns the servers that the new configuration lacks although they have not announced that they leave.
    fn removed_without_notice(&self, map: &IndexMapping) -> Vec<(BackendId, Incarnation)> {
        let Some(names) = &self.names else {
            return Vec::new();
        };
        let servers = (0_u32..).zip(self.backends.iter().zip(&map.backends));
        let removed = servers.filter(|(_, (b, to))| to.is_none() && b.leaving_by.is_none());
        removed
            .filter_map(|(at, (b, _))| Some((names.backend_id(at).clone(), b.incarnation?)))
            .collect()
    }

    /// Removes the names of the removed servers at which no request runs any more.
    fn forget_unused_servers(&mut self) {
        let mut used: Vec<u32> = self.abandoned.iter().map(|a| a.backend).collect();
        for (_, entry) in self.requests.iter() {
            let phases = entry.attempts_in_progress().map(|a| a.phase);
            used.extend(phases.filter_map(Phase::backend));
        }
        self.removed.retain(|index| used.contains(&index));
    }

    /// Recomputes the load sent by peers, if peers have reported any; otherwise the loads from
    /// digests remain.
    fn sum_if_heard(&mut self) {
        if !self.peer_loads.is_empty() {
            self.sum_peer_loads();
        }
    }

    /// Moves the backend servers to their new indexes. Returns the mapping.
    fn remap_backends(
        &mut self,
        now: Instant,
        map: &IndexMapping,
        new: &NameIndex,
    ) -> BackendMapping {
        let servers = &new.deployment().backends;
        let mut backends: Vec<Backend> = servers.iter().map(|_| Backend::new()).collect();
        let mut is_new = vec![true; servers.len()];
        let before = std::mem::take(&mut self.backends);
        let mut moved = BackendMapping::default();
        for (at, (old, to)) in (0_u32..).zip(before.into_iter().zip(&map.backends)) {
            match (to, &self.names) {
                (Some(to), _) => {
                    backends[*to as usize] = old;
                    is_new[*to as usize] = false;
                    moved.0.push(*to);
                }
                (None, Some(names)) => {
                    let id = names.backend_id(at);
                    self.departed.record(now, id, &old);
                    moved.0.push(self.removed.add(id));
                }
                (None, None) => {}
            }
        }
        for (at, server) in servers.iter().enumerate().filter(|(at, _)| is_new[*at]) {
            self.departed.restore(now, &server.id, &mut backends[at]);
        }
        for (b, server) in backends.iter_mut().zip(servers) {
            b.local = self.cfg.dc.as_ref().is_none_or(|dc| *dc == server.dc);
            b.outside_preferred_dc = self
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
                new_index(&map.models, r.model)
                    .inspect(|m| r.model = *m)
                    .is_some()
            });
            b.residents.sort_unstable_by_key(|r| r.model);
            b.adapters.retain_mut(|a| {
                new_index(&map.adapters, *a)
                    .inspect(|to| *a = *to)
                    .is_some()
            });
            b.adapters.sort_unstable();
        }
        self.backends = backends;
        for abandoned in &mut self.abandoned {
            abandoned.backend = moved.new_index(abandoned.backend);
        }
        moved
    }

    fn remap_remote_dcs(&mut self, map: &IndexMapping, new: &NameIndex) {
        let old = std::mem::take(&mut self.remote_dcs);
        let dcs = new.deployment().data_centres.len();
        self.remote_dcs = remapped(&map.dcs, old, dcs);
        for remote in &mut self.remote_dcs {
            let kept = remote
                .models
                .iter()
                .filter_map(|&m| new_index(&map.models, m));
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

    /// Refuses a request whose service, model or adapter was removed.
    ///
    /// The route of a removed service may lead to another one now, so the caller may return.
    pub(crate) fn refuse_withdrawn(&mut self, slot: u32, code: Code, out: &mut Vec<Action>) {
        let may_return = code == Code::UnknownService;
        let spread = 1.0 + self.rng.random::<f64>();
        let retry_after = may_return.then(|| micros(WITHDRAWN_RETRY_SECONDS * spread));
        self.refuse(slot, code, retry_after, out);
    }

    /// Maps the requests to the new indexes; queued requests whose service, model or adapter was
    /// removed are refused.
    fn remap_requests(
        &mut self,
        map: &IndexMapping,
        backends: &BackendMapping,
        out: &mut Vec<Action>,
    ) {
        self.waiting = vec![0; self.demand.len()];
        for slot in self.requests.slots() {
            let Some(entry) = self.requests.get_mut(slot) else {
                continue;
            };
            let service = new_index(&map.services, entry.service);
            let model = entry.model.map(|m| new_index(&map.models, m));
            let adapter = entry.adapter.map(|a| new_index(&map.adapters, a));
            let tried = entry.tried.iter_mut().map(|tried| &mut tried.backend);
            for backend in tried.chain(&mut entry.ran) {
                *backend = backends.new_index(*backend);
            }
            for tried in &mut entry.tried_dcs {
                *tried = new_index(&map.dcs, *tried).unwrap_or(u16::MAX);
            }
            let stalled = entry.stalled.as_mut().map(|s| &mut s.phase);
            for phase in [Some(&mut entry.phase), stalled].into_iter().flatten() {
                match phase {
                    Phase::Running { backend, .. } | Phase::AwaitingSlot { backend, .. } => {
                        *backend = backends.new_index(*backend);
                    }
                    Phase::Forwarded { dc } => *dc = new_index(&map.dcs, *dc).unwrap_or(u16::MAX),
                    Phase::Queued => {}
                }
            }
            let lost = if service.is_none() {
                Some(Code::UnknownService)
            } else {
                let unknown = model == Some(None) || adapter == Some(None);
                unknown.then_some(Code::UnknownModel)
            };
            let queued = entry.phase == Phase::Queued;
            let rank = entry.rank;
            entry.service = service.unwrap_or(u16::MAX);
            entry.model = model.flatten();
            entry.adapter = adapter.flatten();
            entry.withdrawn = entry.withdrawn.or(lost);
            if let Some(code) = lost.filter(|_| queued) {
                self.queue.remove(rank);
                self.refuse_withdrawn(slot, code, out);
            } else if queued {
                let model = self.requests.get(slot).and_then(|f| f.model);
                self.count_waiting(model, true);
            }
        }
    }
}

fn new_index<T: Copy>(map: &[Option<T>], from: u16) -> Option<T> {
    map.get(usize::from(from)).copied().flatten()
}

/// Moves entries to their new indexes; entries without an old index get the default value.
fn remapped<T: Default>(map: &[Option<u16>], old: Vec<T>, len: usize) -> Vec<T> {
    let mut new: Vec<T> = (0..len).map(|_| T::default()).collect();
    for (entry, to) in old.into_iter().zip(map) {
        if let Some(to) = to {
            new[usize::from(*to)] = entry;
        }
    }
    new
}
