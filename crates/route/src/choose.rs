//! Latency estimates and selection of a backend server.

use rand::{RngExt, rngs::Xoshiro256PlusPlus};
use types::{Code, Instant};

use crate::{
    event::{Liveness, RoutingRequest},
    requests::RequestEntry,
    router::Router,
    settings::{LatencyMetric, Settings},
};

/// Random variation of estimates, so that hosts with the same digests select different servers.
const JITTER: f64 = 0.05;
/// Draws per compared candidate; slow candidates are often rejected.
const DRAWS_PER_CANDIDATE: usize = 8;
/// Time to load an adapter, in seconds.
const ADAPTER_SECONDS: f64 = 0.02;
/// Time of a request to a plain service before any is observed, in seconds.
const PLAIN_SECONDS: f64 = 0.02;
/// Penalty of a server whose recent attempts all failed, in seconds.
const FAILURE_SECONDS: f64 = 2.0;
/// Penalty for a server that seems to lose all responses, in seconds: it gets requests only if no other one can.
const LOSS_SECONDS: f64 = 60.0;

/// Penalty of a server outside the preferred data centre, in seconds. Traffic between data centres
/// costs more than its latency.
const OTHER_DC_PENALTY_SECONDS: f64 = 0.008;

/// Estimated times of a request on a backend server, in seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Estimate {
    /// Time to the first byte of the response.
    pub first_byte: f64,
    /// Time to the end of the response.
    pub completion: f64,
    /// Prediction for a slowdown of one.
    pub baseline: f64,
    /// Prefill time of the prompt.
    pub prefill_seconds: f64,
}

/// Result of the selection of a backend server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Selection {
    /// The best backend server with free capacity.
    Available {
        backend: u32,
        /// Estimated times on this server.
        estimate: Estimate,
    },
    /// All candidates are full; the estimate is for the first capacity that becomes free.
    Full { seconds: f64 },
    /// No backend server can serve the request.
    NoCandidate(Code),
}

/// Returns the work of a request in output tokens.
pub(crate) fn request_work(cfg: &Settings, request: &RoutingRequest, output: u32) -> f64 {
    f64::from(output) + cfg.prompt_weight * f64::from(request.prompt_tokens)
}

impl Estimate {
    /// Creates an estimate for a response that is sent as a whole.
    fn complete_response(seconds: f64, baseline: f64) -> Self {
        Self {
            first_byte: seconds,
            completion: seconds,
            baseline,
            prefill_seconds: 0.0,
        }
    }
}

impl Router {
    /// Selects the backend server with the lowest estimated time.
    ///
    /// A few random candidates are compared, so that hosts with the same outdated loads do not all
    /// select the same server. All candidates are compared if none of the sample has free capacity,
    /// or if the request has prompt prefixes, because only few workers have them cached.
    pub(crate) fn select(&mut self, slot: u32, now: Instant, suspect: bool) -> Selection {
        // The random number generator is cloned because `select_with` borrows the router immutably.
        let mut rng = self.rng.clone();
        let choice = self.select_with(&mut rng, slot, now, suspect);
        self.rng = rng;
        choice
    }

    fn select_with(
        &self,
        rng: &mut Xoshiro256PlusPlus,
        slot: u32,
        now: Instant,
        suspect: bool,
    ) -> Selection {
        let Some(entry) = self.requests.get(slot) else {
            return Selection::NoCandidate(Code::Internal);
        };
        let all = match entry.model {
            Some(m) => &self.holders[usize::from(m)],
            None => &self.members[usize::from(entry.service)],
        };
        let sample_size = self.cfg.sampled_candidates as usize;
        if sample_size > 0 && all.len() > sample_size && entry.request.prefixes.is_empty() {
            let sample = self.sample(rng, all, sample_size);
            let choice = self.best_candidate(rng, entry, &sample, now, suspect);
            if matches!(choice, Selection::Available { .. }) {
                return choice;
            }
        }
        self.best_candidate(rng, entry, all, now, suspect)
    }

    /// Draws candidates with a probability proportional to their speed.
    fn sample(&self, rng: &mut Xoshiro256PlusPlus, all: &[u32], sample_size: usize) -> Vec<u32> {
        let speed = |b: u32| self.backends[b as usize].speed;
        let fastest = all.iter().map(|&b| speed(b)).fold(0.0, f32::max);
        let mut sample = Vec::with_capacity(sample_size);
        for _ in 0..sample_size * DRAWS_PER_CANDIDATE {
            let candidate = all[rng.random_range(0..all.len())];
            let taken = rng.random::<f32>() * fastest <= speed(candidate);
            if taken && !sample.contains(&candidate) {
                sample.push(candidate);
            }
            if sample.len() == sample_size {
                break;
            }
        }
        sample
    }

    fn best_candidate(
        &self,
        rng: &mut Xoshiro256PlusPlus,
        entry: &RequestEntry,
        candidates: &[u32],
        now: Instant,
        suspect: bool,
    ) -> Selection {
        let preferred = self.prefix_owner(entry, candidates, now);
        let mut best: Option<(f64, u32, Estimate)> = None;
        let mut soonest: Option<f64> = None;
        for &backend in candidates {
            if !self.is_eligible(entry, backend, now) {
                continue;
            }
            let estimate = self.estimate(now, entry, backend, preferred);
            if !self.has_capacity(backend, suspect) {
                let seconds = estimate.completion;
                soonest = Some(soonest.map_or(seconds, |s| s.min(seconds)));
                continue;
            }
            let cost = estimate.first_byte + self.penalty_seconds(backend, now);
            let varied = cost * (1.0 + JITTER * rng.random::<f64>());
            if best.is_none_or(|b| varied < b.0) {
                best = Some((varied, backend, estimate));
            }
        }
        match (best, soonest) {
            (Some((_, backend, estimate)), _) => Selection::Available { backend, estimate },
            (None, Some(seconds)) => Selection::Full {
                seconds: seconds + self.queue_delay(entry, seconds),
            },
            (None, None) => Selection::NoCandidate(self.no_candidate_code(entry, now)),
        }
    }

    fn is_eligible(&self, entry: &RequestEntry, backend: u32, now: Instant) -> bool {
        let b = &self.backends[backend as usize];
        let alive = !self.cfg.liveness || b.takes_work(now);
        let adapted = match entry.adapter {
            Some(a) if !self.cfg.adapter_on_demand => b.adapters.binary_search(&a).is_ok(),
            _ => true,
        };
        alive
            && adapted
            && b.service == entry.service
            && !entry.is_tried(backend)
            && entry.may_run_on(backend)
    }

    fn has_capacity(&self, backend: u32, suspect: bool) -> bool {
        let b = &self.backends[backend as usize];
        let corrected = self.cfg.report_correction;
        let within = !self.cfg.in_flight_limits
            || (b.own < b.max_in_flight && b.in_flight(corrected) < b.max_in_flight);
        within && !(suspect && b.suspects > 0)
    }

    /// Returns the worker that is assumed to have the shared prefix of a request cached.
    fn prefix_owner(&self, entry: &RequestEntry, candidates: &[u32], now: Instant) -> Option<u32> {
        if self.cfg.latency_metric != LatencyMetric::FirstToken || entry.request.prefixes.len() < 2
        {
            return None;
        }
        let eligible = candidates.iter().copied();
        let eligible: Vec<u32> = eligible
            .filter(|b| self.is_eligible(entry, *b, now))
            .collect();
        self.preferred(entry, &eligible)
    }

    /// Returns the penalty of a backend server for failures and for its data centre, in seconds.
    fn penalty_seconds(&self, backend: u32, now: Instant) -> f64 {
        match self.cfg.latency_metric {
            LatencyMetric::Completion => 0.0,
            LatencyMetric::FirstToken => {
                let b = &self.backends[backend as usize];
                let unreachable = f64::from(u8::from(b.is_likely_unreachable()));
                let distance =
                    OTHER_DC_PENALTY_SECONDS * f64::from(u8::from(b.outside_preferred_dc));
                let lossy = f64::from(u8::from(b.loses_responses(now)));
                FAILURE_SECONDS * (f64::from(b.failure_rate(now)) + unreachable)
                    + LOSS_SECONDS * lossy
                    + distance
            }
        }
    }

    /// Returns the holder of the model with the lowest estimate, as if every holder had the
    /// adapter.
    pub(crate) fn least_loaded_holder(
        &self,
        entry: &RequestEntry,
        model: u16,
        now: Instant,
    ) -> Option<(u32, f64)> {
        let holders = self.holders[usize::from(model)].iter().copied();
        let eligible = holders.filter(|b| {
            let b = &self.backends[*b as usize];
            b.takes_work(now) && b.service == entry.service
        });
        eligible
            .map(|b| {
                (
                    b,
                    self.estimate(now, entry, b, None).first_byte + self.penalty_seconds(b, now),
                )
            })
            .min_by(|a, b| a.1.total_cmp(&b.1))
    }

    /// Estimates the times of a request on a backend server.
    fn estimate(
        &self,
        now: Instant,
        entry: &RequestEntry,
        backend: u32,
        preferred: Option<u32>,
    ) -> Estimate {
        match (entry.model, self.cfg.latency_metric) {
            (Some(model), LatencyMetric::FirstToken) => {
                self.estimate_first_token(now, entry, model, backend, preferred)
            }
            _ => self.estimate_completion(entry, backend),
        }
    }

    fn estimate_completion(&self, entry: &RequestEntry, backend: u32) -> Estimate {
        let b = &self.backends[backend as usize];
        let batch = f64::from(b.in_flight(self.cfg.report_correction)) + 1.0;
        let Some(model) = entry.model else {
            let turns = (batch / f64::from(b.max_in_flight)).max(1.0);
            let baseline = PLAIN_SECONDS * turns / f64::from(b.speed);
            return Estimate::complete_response(baseline * f64::from(b.slowdown), baseline);
        };
        let request = &entry.request;
        let cached = if self.cfg.prefix_hints {
            b.prefixes.cached_share(&request.prefixes)
        } else {
            0.0
        };
        let prompt = self.cfg.prompt_weight * f64::from(request.prompt_tokens) * (1.0 - cached);
        let rate = self.cfg.base_tokens_per_second * f64::from(b.speed);
        let baseline =
            (f64::from(request.output_tokens) + prompt) * (batch + self.cfg.half_rate_batch) / rate;
        let slowdown = f64::from(b.slowdown) * f64::from(b.model_slowdown(model));
        let missing = entry
            .adapter
            .is_some_and(|a| b.adapters.binary_search(&a).is_err());
        let load = if missing { ADAPTER_SECONDS } else { 0.0 };
        Estimate::complete_response(baseline * slowdown + load, baseline.max(1e-6))
    }

    /// Returns the seconds until the requests queued for the same model have been dispatched.
    fn queue_delay(&self, entry: &RequestEntry, seconds: f64) -> f64 {
        let Some(model) = entry.model else {
            return 0.0;
        };
        let holders = &self.holders[usize::from(model)];
        let places: u32 = holders
            .iter()
            .map(|&b| u32::from(self.backends[b as usize].max_in_flight))
            .sum();
        seconds * f64::from(self.waiting[usize::from(model)]) / f64::from(places.max(1))
    }

    /// Returns the result code for a request that no backend server of this data centre can serve.
    fn no_candidate_code(&self, entry: &RequestEntry, now: Instant) -> Code {
        let alive = |b: &&u32| {
            let b = &self.backends[**b as usize];
            !self.cfg.liveness || b.takes_work(now)
        };
        let members = &self.members[usize::from(entry.service)];
        if !members.iter().any(|b| alive(&b)) {
            return Code::NoBackend;
        }
        // Servers that could not be reached have run nothing, so the caller may retry.
        let all_tried = if entry.may_have_run {
            Code::RetriesExhausted
        } else {
            Code::Unreachable
        };
        let Some(model) = entry.model else {
            return all_tried;
        };
        let mut holders = self.holders[usize::from(model)]
            .iter()
            .filter(alive)
            .peekable();
        if holders.peek().is_some() && holders.all(|b| entry.is_tried(*b) || !entry.may_run_on(*b))
        {
            all_tried
        } else {
            Code::NotResident
        }
    }

    /// Returns the utilisation of a data centre according to digests.
    pub(crate) fn dc_load(&self, dc: u16, service: u16) -> f64 {
        let Some(names) = &self.names else {
            return 1.0;
        };
        let id = names.dc_id(dc);
        let (mut taken, mut places) = (0.0, 0.0);
        for (b, server) in self.backends.iter().zip(&names.deployment().backends) {
            if b.service == service && server.dc == *id && b.liveness == Liveness::Live {
                taken += f64::from(b.in_flight(true));
                places += f64::from(b.max_in_flight);
            }
        }
        if places > 0.0 { taken / places } else { 1.0 }
    }
}
