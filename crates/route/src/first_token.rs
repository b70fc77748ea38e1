//! Estimated time to first token on an engine with continuous batching.
//!
//! An engine processes prompts one after the other. A request waits for all prompts that were sent
//! before it and for its own, less the prefix that the engine has cached.

use types::{Instant, Micros};

use crate::{choose::Estimate, requests::RequestEntry, router::Router};

/// Batch size at which an output token takes twice as long as in a batch of one.
const DOUBLING_BATCH: f64 = 64.0;
/// Time after which a worker that holds a model is assumed to have cached the shared prefixes.
const WARM_AFTER: Micros = Micros::from_secs(8);
/// Share of the prefill time that decoding of other requests adds in batches of [`DOUBLING_BATCH`]
/// or more.
const DECODE_TIME_SHARE: f64 = 0.2;
/// Network time of a request and its first event, in seconds.
const TRANSIT_SECONDS: f64 = 0.004;
/// Shortest prediction that is compared with the measured time; below it the network dominates.
const MIN_LEARNED_SECONDS: f32 = 0.01;
/// Learning rate of the slowdown of a model: weight of one request.
const MODEL_LEARNING_RATE: f32 = 0.1;
/// Bounds of the learned slowdown of a model.
const MODEL_SLOWDOWN_RANGE: (f32, f32) = (0.05, 20.0);
/// Requests of a model that one worker decodes concurrently.
const DECODE_BATCH: f64 = 16.0;

impl Router {
    /// Returns the learned slowdown of a model relative to the configured rate.
    pub(crate) fn model_slowdown(&self, model: u16) -> f64 {
        let learned = self.model_slowdowns.get(usize::from(model)).copied();
        learned.filter(|p| *p > 0.0).map_or(1.0, f64::from)
    }

    /// Returns the number of prompt tokens that a backend server has to process.
    ///
    /// The worker that ranks first for the shared prefix is assumed to have it cached once it has
    /// held the model for [`WARM_AFTER`], because every host sends such requests there first.
    fn uncached_tokens(
        &self,
        now: Instant,
        entry: &RequestEntry,
        backend: u32,
        preferred: Option<u32>,
    ) -> u32 {
        let request = &entry.request;
        let tokens = &request.options.prefix_tokens;
        let known = self.backends[backend as usize]
            .prefixes
            .cached(&request.prefixes)
            .and_then(|at| tokens.get(at))
            .copied();
        let assumed = preferred
            .filter(|p| *p == backend && self.has_warm_cache(now, entry, backend))
            .and_then(|_| tokens.len().checked_sub(2))
            .map(|at| tokens[at]);
        let cached = known.unwrap_or(0).max(assumed.unwrap_or(0));
        request.prompt_tokens.saturating_sub(cached).max(1)
    }

    /// Returns whether a worker has held the model of a request for at least [`WARM_AFTER`].
    fn has_warm_cache(&self, now: Instant, entry: &RequestEntry, backend: u32) -> bool {
        let b = &self.backends[backend as usize];
        let resident = entry.model.and_then(|m| b.resident(m));
        resident.is_some_and(|at| now.since(b.residents[at].since) >= WARM_AFTER)
    }

    /// Returns the worker that ranks first for the shared prefix of a request by rendezvous
    /// hashing.
    pub(crate) fn preferred(&self, entry: &RequestEntry, candidates: &[u32]) -> Option<u32> {
        let names = self.names.as_ref()?;
        let shared = entry.request.prefixes.len().checked_sub(2)?;
        let key = entry.request.prefixes[shared].to_le_bytes();
        let score = |b: &u32| prefix_score(&key, names.backend_id(*b).as_str());
        candidates.iter().copied().max_by_key(score)
    }

    /// Estimates the time to first token and the completion time of a request on a worker.
    pub(crate) fn estimate_first_token(
        &self,
        now: Instant,
        entry: &RequestEntry,
        model: u16,
        backend: u32,
        preferred: Option<u32>,
    ) -> Estimate {
        let b = &self.backends[backend as usize];
        let slowdown = f64::from(b.slowdown) * self.model_slowdown(model);
        let uncached_tokens = self.uncached_tokens(now, entry, backend, preferred);
        let prefill_seconds =
            f64::from(uncached_tokens) / self.cfg.prefill_tokens_per_second * slowdown;
        let backlog = f64::from(b.own_work.max(0.0)) + f64::from(b.others_work);
        let batch = f64::from(b.in_flight(true)) + 1.0;
        let decode_factor = 1.0 + DECODE_TIME_SHARE * (batch / DOUBLING_BATCH).min(1.0);
        let token_step = self.cfg.min_seconds_per_token * (1.0 + batch / DOUBLING_BATCH);
        let first_byte =
            (backlog + prefill_seconds) * decode_factor + token_step * slowdown + TRANSIT_SECONDS;
        Estimate {
            first_byte,
            // Callers overestimate the output, so the lower bound of the decode time is used.
            completion: first_byte
                + f64::from(entry.request.output_tokens) * self.cfg.min_seconds_per_token,
            baseline: first_byte / slowdown,
            prefill_seconds,
        }
    }

    /// Updates the slowdown of a worker and a model from a measured time to first token.
    pub(crate) fn learn_first_token(&mut self, now: Instant, slot: u32, backend: u32) {
        let Some(entry) = self.requests.get(slot) else {
            return;
        };
        let Some(model) = entry.model else {
            return;
        };
        #[expect(
            clippy::cast_possible_truncation,
            reason = "single precision suffices for a learned ratio"
        )]
        let elapsed = now.since(entry.dispatched).as_secs_f64() as f32;
        let expected = entry.expected;
        if expected < MIN_LEARNED_SECONDS || elapsed <= 0.0 {
            return;
        }
        let ratio = elapsed / expected;
        let at = usize::from(model);
        if let Some(slowdown) = self.model_slowdowns.get_mut(at) {
            let old = if *slowdown > 0.0 { *slowdown } else { 1.0 };
            let new = old * ratio.powf(MODEL_LEARNING_RATE);
            *slowdown = new.clamp(MODEL_SLOWDOWN_RANGE.0, MODEL_SLOWDOWN_RANGE.1);
        }
        if let Some(b) = self.backends.get_mut(backend as usize) {
            b.observe_slowdown(now, ratio);
        }
    }

    /// Returns the worker time that a request of a model takes, in seconds.
    pub(crate) fn demand_seconds(&self, entry: &RequestEntry, model: u16) -> f64 {
        let tokens = &entry.request.options.prefix_tokens;
        let shared = tokens.len().checked_sub(2).map_or(0, |at| tokens[at]);
        let uncached_tokens = entry.request.prompt_tokens.saturating_sub(shared);
        let read_seconds = f64::from(uncached_tokens) / self.cfg.prefill_tokens_per_second;
        let written_seconds =
            f64::from(entry.request.output_tokens) * self.cfg.min_seconds_per_token;
        (read_seconds + written_seconds / DECODE_BATCH) * self.model_slowdown(model)
    }
}

/// Returns the rendezvous hash of a worker for a prefix.
fn prefix_score(key: &[u8], worker: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(key);
    hasher.update(worker.as_bytes());
    let hash = hasher.finalize();
    let mut head = [0; 8];
    head.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(head)
}
