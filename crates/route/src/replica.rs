//! Requests for further replicas of adapters.

use types::{Deadline, Instant, Micros};

use crate::{
    event::{Action, Liveness},
    router::Router,
    settings::LatencyMetric,
};

/// Estimated time to first token above which a further replica of an adapter is worth its load.
const REPLICA_THRESHOLD_SECONDS: f64 = 0.2;
/// Minimum reduction of the time to first token that justifies a further replica.
const REPLICA_GAIN_SECONDS: f64 = 0.1;
/// Minimum interval between requests for a further replica of the same adapter.
const REPLICA_RETRY_INTERVAL: Micros = Micros::from_millis(1_500);

impl Router {
    /// Requests a further replica of an adapter if its holders are much busier than other workers.
    ///
    /// The current request still goes to a busy holder; the replica serves later requests.
    pub(crate) fn request_replica(
        &mut self,
        now: Instant,
        slot: u32,
        first: f64,
        out: &mut Vec<Action>,
    ) {
        let first_token = self.cfg.latency_metric == LatencyMetric::FirstToken;
        let Some(entry) = self.requests.get(slot).filter(|_| first_token) else {
            return;
        };
        let (Some(model), Some(adapter)) = (entry.model, entry.adapter) else {
            return;
        };
        if first < REPLICA_THRESHOLD_SECONDS {
            return;
        }
        let Some((idle, seconds)) = self.least_loaded_holder(entry, model, now) else {
            return;
        };
        if seconds + REPLICA_GAIN_SECONDS <= first {
            self.push_replica_request(now, model, adapter, idle, out);
        }
    }

    /// Requests a replica of an adapter that no reachable worker holds.
    pub(crate) fn request_reachable_replica(
        &mut self,
        now: Instant,
        slot: u32,
        out: &mut Vec<Action>,
    ) {
        let Some(entry) = self.requests.get(slot) else {
            return;
        };
        let (Some(model), Some(adapter)) = (entry.model, entry.adapter) else {
            return;
        };
        if let Some((worker, _)) = self.least_loaded_holder(entry, model, now) {
            self.push_replica_request(now, model, adapter, worker, out);
        }
    }

    /// Requests a replica of an adapter on a worker, unless one was requested recently.
    fn push_replica_request(
        &mut self,
        now: Instant,
        model: u16,
        adapter: u16,
        worker: u32,
        out: &mut Vec<Action>,
    ) {
        let asked = |w: &(u16, Option<u16>, Deadline)| w.0 == model && w.1 == Some(adapter);
        if self.placement_requests.iter().any(asked) {
            return;
        }
        let again = Deadline::after(now, REPLICA_RETRY_INTERVAL);
        self.placement_requests.push((model, Some(adapter), again));
        if let Some(names) = &self.names {
            out.push(Action::RequestReplica {
                model: names.model_id(model).clone(),
                adapter: names.adapter_id(adapter).clone(),
                backend: names.backend_id(worker).clone(),
            });
        }
    }

    /// Returns whether workers hold the adapter of a request, and none of them can be reached.
    pub(crate) fn has_unreachable_holder(&self, now: Instant, slot: u32) -> bool {
        let entry = self.requests.get(slot);
        let Some((model, adapter)) = entry.and_then(|e| Some((e.model?, e.adapter?))) else {
            return false;
        };
        let holders = self.holders[usize::from(model)].iter();
        let mut holders = holders
            .map(|b| &self.backends[*b as usize])
            .filter(|b| b.liveness == Liveness::Live && b.adapters.binary_search(&adapter).is_ok())
            .peekable();
        holders.peek().is_some() && holders.all(|b| b.is_unreachable(now))
    }
}
