//! Requests that no backend server of this data centre can serve.

use types::{Code, Deadline, Instant, Micros};

use crate::{dispatch_queue::OfferOutcome, event::Action, queue::Rank, router::Router};

/// Initial backoff before a request is forwarded again to data centres that refused it.
const FORWARD_BACKOFF: Micros = Micros::from_millis(200);

impl Router {
    /// Handles a request that no backend server of this data centre can serve.
    pub(crate) fn handle_no_candidate(
        &mut self,
        now: Instant,
        rank: Rank,
        slot: u32,
        code: Code,
        out: &mut Vec<Action>,
    ) -> OfferOutcome {
        if code == Code::NotResident && self.lacks_adapter_only(now, slot) {
            if self.is_placement_rejected(now, slot) {
                return self.refuse_queued(now, rank, slot, code, out);
            }
            if self.has_unreachable_holder(now, slot) {
                // The adapter is placed already, so that no placement would follow.
                self.request_reachable_replica(now, slot, out);
                self.record_demand(now, slot, true);
                return self.refuse_queued(now, rank, slot, code, out);
            }
            self.request_placement(now, slot, true, out);
            return OfferOutcome::Waiting;
        }
        if let Some(dc) = self.forward_target(now, slot, f64::INFINITY) {
            self.dequeue(rank, slot);
            self.forward(now, slot, dc, out);
            return OfferOutcome::Dequeued;
        }
        if code == Code::NotResident {
            if self.backs_off_forwarding(now, slot) {
                return OfferOutcome::Waiting;
            }
            if !self.is_placement_rejected(now, slot) {
                self.request_placement(now, slot, false, out);
            }
            if self.waits_for_load(now, slot) {
                return OfferOutcome::Waiting;
            }
        }
        self.record_demand(now, slot, true);
        let elsewhere = self
            .requests
            .get(slot)
            .is_some_and(|f| f.forward_rounds > 0);
        let code = if elsewhere {
            Code::DeadlineUnreachable
        } else {
            code
        };
        self.refuse_queued(now, rank, slot, code, out)
    }

    /// Returns whether a request should wait until its model is loaded.
    fn waits_for_load(&self, now: Instant, slot: u32) -> bool {
        let Some(load) = self.cfg.load_on_demand else {
            return false;
        };
        let entry = self.requests.get(slot);
        let in_time = entry.is_some_and(|f| f.request.deadline.remaining(now) > load);
        in_time && !self.is_placement_rejected(now, slot)
    }

    /// Keeps a request queued after all data centres with its model have refused it for lack of
    /// capacity.
    ///
    /// The backoff doubles each time, which limits the repeated requests under overload.
    fn backs_off_forwarding(&mut self, now: Instant, slot: u32) -> bool {
        let Some(entry) = self.requests.get_mut(slot) else {
            return false;
        };
        if !entry.not_before.is_past(now) {
            return true;
        }
        let pause = Micros::new(FORWARD_BACKOFF.get() << entry.forward_rounds);
        let late = entry.request.deadline.remaining(now) <= pause;
        if entry.tried_dcs.is_empty() || entry.may_have_run || late {
            return false;
        }
        entry.forward_rounds += 1;
        entry.tried_dcs.clear();
        entry.not_before = Deadline::after(now, pause);
        true
    }

    /// Returns whether only the adapter is missing; adapters load within milliseconds, so the
    /// request can wait.
    fn lacks_adapter_only(&self, now: Instant, slot: u32) -> bool {
        let Some(entry) = self.requests.get(slot) else {
            return false;
        };
        let live = |b: &u32| self.backends[*b as usize].takes_work(now);
        let holders = entry.model.map(|m| &self.holders[usize::from(m)]);
        entry.adapter.is_some() && holders.is_some_and(|h| h.iter().any(live))
    }
}
