//! Read-only views for the report, the digests and the controller.

use types::{AdapterId, BackendId, Incarnation, Instant, Micros, ModelId};

use crate::{
    counts::Counts,
    crash::suspect::SuspectRecord,
    event::{BackendLoad, Liveness},
    router::Router,
};

/// State of a backend server as known to the router.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendView<'a> {
    /// The backend server.
    pub id: &'a BackendId,
    /// Whether it is in the data centre of this host.
    pub local: bool,
    /// Whether any of its incarnations has been observed.
    pub observed: bool,
    /// Its load as shared with peers.
    pub load: BackendLoad,
    /// Time since the load was measured.
    pub age: Micros,
    /// Learned slowdown relative to the configured speed.
    pub slowdown: f32,
}

/// Smoothed demand for a model at this host.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelDemand<'a> {
    /// The model.
    pub model: &'a ModelId,
    /// Tokens per second, or seconds of worker time per second with
    /// [`LatencyMetric::FirstToken`](crate::LatencyMetric::FirstToken).
    pub tokens_per_second: f64,
    /// Refused requests per second.
    pub missed_per_second: f64,
}

impl Router {
    /// Returns the number of queued requests.
    #[must_use]
    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of requests that are queued, running or forwarded.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// Returns the counters.
    #[must_use]
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Returns whether a backend server leaves, or left before its entry was removed.
    ///
    /// The absence of an entry shows nothing: the platform may remove that of a crashed server at once.
    #[must_use]
    pub fn is_leaving(&self, id: &BackendId) -> bool {
        let index = self.names.as_ref().and_then(|names| names.backend(id));
        match index.and_then(|at| self.backends.get(at as usize)) {
            Some(b) => b.leaving_by.is_some() || b.liveness == Liveness::Leaving,
            None => self.departed.was_leaving(id),
        }
    }

    /// Returns whether the time that a backend server named for its termination may be over.
    #[must_use]
    pub fn may_be_terminated(&self, now: Instant, id: &BackendId) -> bool {
        let index = self.names.as_ref().and_then(|names| names.backend(id));
        match index.and_then(|at| self.backends.get(at as usize)) {
            Some(b) => b.terminates_at.is_past(now),
            None => self.departed.may_be_terminated(now, id),
        }
    }

    /// Returns the view of every configured backend server, sorted by name.
    pub fn backends(&self, now: Instant) -> impl Iterator<Item = BackendView<'_>> {
        let servers = self.names.iter().flat_map(|n| &n.deployment().backends);
        servers
            .zip(&self.backends)
            .map(move |(server, b)| BackendView {
                id: &server.id,
                local: b.local,
                observed: b.incarnation.is_some(),
                load: BackendLoad {
                    incarnation: b.incarnation.unwrap_or(Incarnation::new(0)),
                    liveness: b.liveness,
                    in_flight: b.in_flight(true),
                    own: b.own,
                    #[expect(
                        clippy::cast_possible_truncation,
                        clippy::cast_sign_loss,
                        reason = "a float-to-integer cast saturates, which suits a digest"
                    )]
                    tokens_per_second: b.tokens_per_second as u32,
                    residents: b.residents_checksum,
                },
                age: now.since(b.measured_at),
                slowdown: b.slowdown,
            })
    }

    /// Returns the checksum of a backend server's residents, zero before its first report.
    #[must_use]
    pub fn residents_checksum(&self, backend: &BackendId) -> Option<u16> {
        let at = self.names.as_ref()?.backend(backend)?;
        Some(self.backends.get(at as usize)?.residents_checksum)
    }

    /// Returns the models without a replica on a live backend server of this data centre.
    pub fn unavailable_models(&self) -> impl Iterator<Item = &ModelId> {
        let models = self.names.iter().flat_map(|n| &n.deployment().models);
        let live = |b: &u32| self.backends[*b as usize].liveness == Liveness::Live;
        let held = self.holders.iter().map(move |h| h.iter().any(live));
        models
            .zip(held)
            .filter(|(_, held)| !held)
            .map(|(m, _)| &m.id)
    }

    /// Returns the smoothed demand of every model, sorted by name.
    pub fn demand(&self, now: Instant) -> impl Iterator<Item = ModelDemand<'_>> {
        let models = self.names.iter().flat_map(|n| &n.deployment().models);
        models.zip(&self.demand).map(move |(model, demand)| {
            let (tokens_per_second, missed_per_second) =
                demand.rates(now, self.cfg.demand_half_life);
            ModelDemand {
                model: &model.id,
                tokens_per_second,
                missed_per_second,
            }
        })
    }

    /// Returns the adapters that are in use or were used since a given time.
    #[must_use]
    pub fn adapters_used_since(&self, since: Instant) -> Vec<&AdapterId> {
        let mut used: Vec<u16> = self
            .requests
            .iter()
            .filter_map(|(_, f)| f.adapter)
            .collect();
        let recent = (0_u16..).zip(&self.adapter_uses);
        used.extend(recent.filter(|(_, at)| **at >= since).map(|(a, _)| a));
        used.sort_unstable();
        used.dedup();
        let names = self.names.iter();
        names
            .flat_map(|n| used.iter().map(|a| n.adapter_id(*a)))
            .collect()
    }

    /// Returns the suspect records, for a peer that starts.
    pub fn suspect_records(&self) -> impl Iterator<Item = &SuspectRecord> {
        self.suspect_records.records()
    }

    /// Returns the bytes allocated by the router, without the configuration.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        let lists = |lists: &Vec<Vec<u32>>| {
            let inner: usize = lists.iter().map(|l| l.capacity() * size_of::<u32>()).sum();
            inner + lists.capacity() * size_of::<Vec<u32>>()
        };
        let backends: usize = self
            .backends
            .iter()
            .map(crate::backend::Backend::heap_bytes)
            .sum();
        let remote_dcs: usize = self
            .remote_dcs
            .iter()
            .map(|r| size_of_val(r) + r.models.capacity() * size_of::<u16>())
            .sum();
        size_of::<Self>()
            + backends
            + self.backends.capacity() * size_of::<crate::backend::Backend>()
            + lists(&self.holders)
            + lists(&self.members)
            + remote_dcs
            + self.requests.heap_bytes()
            + self.queue.heap_bytes()
            + self.waiting.capacity() * size_of::<u32>()
            + self.suspect_records.heap_bytes()
            + self.evidence.heap_bytes()
            + self.abandoned.capacity() * size_of::<crate::router::AbandonedRequest>()
            + self.demand.capacity() * size_of::<crate::demand::Demand>()
    }
}
