//! Requests for the placement of missing models and adapters.

use types::{AdapterId, Deadline, Instant, ModelId};

use crate::{
    event::Action,
    router::{Router, Scope},
};

impl Router {
    /// Asks the controller to place the missing model or adapter.
    pub(crate) fn request_placement(
        &mut self,
        now: Instant,
        slot: u32,
        adapter: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(entry) = self.requests.get(slot) else {
            return;
        };
        let Some(model) = entry.model else {
            return;
        };
        let adapter = entry.adapter.filter(|_| adapter);
        let asked = |w: &&(u16, Option<u16>, Deadline)| w.0 == model && w.1 == adapter;
        if self
            .placement_requests
            .iter()
            .find(asked)
            .is_none_or(|w| w.2.is_past(now))
        {
            self.placement_requests
                .retain(|w| w.0 != model || w.1 != adapter);
            let again = Deadline::after(now, self.cfg.placement_retry_interval);
            self.placement_requests.push((model, adapter, again));
            if let Some(names) = &self.names {
                out.push(Action::RequestPlacement {
                    model: names.model_id(model).clone(),
                    adapter: adapter.map(|a| names.adapter_id(a).clone()),
                });
            }
        }
    }

    /// Returns whether the controller has recently rejected the placement that a request needs.
    pub(crate) fn is_placement_rejected(&self, now: Instant, slot: u32) -> bool {
        let Some(entry) = self.requests.get(slot) else {
            return false;
        };
        let same = |u: &(u16, Option<u16>, Deadline)| {
            Some(u.0) == entry.model && (u.1.is_none() || u.1 == entry.adapter)
        };
        self.rejected_placements
            .iter()
            .any(|u| same(u) && !u.2.is_past(now))
    }

    /// Refuses the queued requests for a model or adapter that the controller cannot place.
    pub(crate) fn placement_rejected(
        &mut self,
        now: Instant,
        model: &ModelId,
        adapter: Option<&AdapterId>,
        out: &mut Vec<Action>,
    ) {
        let Some(names) = &self.names else {
            return;
        };
        let Some(model) = names.model(model) else {
            return;
        };
        let adapter = adapter.and_then(|a| names.adapter(a));
        let until = Deadline::after(now, self.cfg.placement_retry_interval);
        self.rejected_placements.push((model, adapter, until));
        self.dispatch_queued(now, Scope::Model(model), out);
    }
}
