//! Forwarding to other data centres.

use rand::RngExt;
use types::{DataCentreId, Instant, ModelId};

use crate::{
    event::Action,
    requests::Phase,
    router::{Router, Scope},
};

/// State of another data centre.
#[derive(Debug, Default)]
pub(crate) struct RemoteDc {
    /// Models resident there, sorted.
    pub models: Vec<u16>,
    /// Requests of this host that are forwarded there.
    pub own: u32,
}

impl Router {
    pub(crate) fn set_remote_models(
        &mut self,
        now: Instant,
        dc: &DataCentreId,
        models: &[ModelId],
        out: &mut Vec<Action>,
    ) {
        let Some(names) = &self.names else {
            return;
        };
        let Some(dc) = names.dc(dc) else {
            return;
        };
        let mut known: Vec<u16> = models.iter().filter_map(|m| names.model(m)).collect();
        known.sort_unstable();
        self.remote_dcs[usize::from(dc)].models = known;
        self.dispatch_queued(now, Scope::All, out);
    }

    /// Selects a data centre that can serve a request and whose load is below a limit.
    ///
    /// Of two random candidates the less loaded one is selected, because the loads come from
    /// digests and are delayed.
    pub(crate) fn forward_target(&mut self, now: Instant, slot: u32, below: f64) -> Option<u16> {
        let entry = self.requests.get(slot)?;
        if !self.cfg.forwarding
            || entry.no_forward
            || entry.may_have_run
            || !entry.not_before.is_past(now)
        {
            return None;
        }
        let (service, model) = (entry.service, entry.model);
        let mut capable_dcs = self.capable_dcs(service, model);
        let tried = &entry.tried_dcs;
        capable_dcs.retain(|(dc, load)| *load < below && !tried.contains(dc));
        if capable_dcs.is_empty() {
            return None;
        }
        let first = capable_dcs[self.rng.random_range(0..capable_dcs.len())];
        let second = capable_dcs[self.rng.random_range(0..capable_dcs.len())];
        let better = if second.1 < first.1 { second } else { first };
        Some(better.0)
    }

    /// Returns the other data centres that can serve a model or plain service, each with its load.
    fn capable_dcs(&self, service: u16, model: Option<u16>) -> Vec<(u16, f64)> {
        let Some(names) = &self.names else {
            return Vec::new();
        };
        let own = self.cfg.dc.as_ref().and_then(|dc| names.dc(dc));
        if own.is_none() {
            return Vec::new();
        }
        let dcs = (0..self.remote_dcs.len()).filter_map(|dc| u16::try_from(dc).ok());
        dcs.filter(|&dc| Some(dc) != own)
            .filter(|&dc| match model {
                Some(m) => self.remote_dcs[usize::from(dc)]
                    .models
                    .binary_search(&m)
                    .is_ok(),
                None => true,
            })
            .map(|dc| (dc, self.dc_load(dc, service)))
            .filter(|&(_, load)| model.is_some() || load < 1.0)
            .collect()
    }

    pub(crate) fn forward(&mut self, now: Instant, slot: u32, dc: u16, out: &mut Vec<Action>) {
        let Some(entry) = self.requests.get_mut(slot) else {
            return;
        };
        entry.phase = Phase::Forwarded { dc };
        entry.dispatched = now;
        self.remote_dcs[usize::from(dc)].own += 1;
        self.counts.forwarded += 1;
        if let Some(names) = &self.names {
            out.push(Action::Forward {
                id: entry.request.id,
                dc: names.dc_id(dc).clone(),
            });
        }
    }
}
