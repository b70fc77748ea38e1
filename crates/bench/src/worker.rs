//! Fake worker: batching, prefix cache, adapters and copies of models.

use place::{CopyState, ModelCopy};
use types::{Bytes, Instant, ModelId};

use crate::spec::{BASE_TOKENS, BATCH, HALF_BATCH, PROMPT_WEIGHT};

/// Adapters that fit the pool.
const ADAPTER_PLACES: usize = 4;
/// Prefixes that the cache holds.
const PREFIX_PLACES: usize = 32;

/// Request on a worker.
#[derive(Clone, Debug)]
pub struct Running {
    pub job: usize,
    pub priority: u8,
    /// Work that is left, in output tokens.
    pub left: f64,
    /// Instant at which the adapter is loaded.
    pub gate: Instant,
}

/// Fake worker.
#[derive(Clone, Debug)]
pub struct Worker {
    pub dc: usize,
    pub speed: f64,
    /// True speed relative to the configured one, which routers must learn.
    pub bias: f64,
    pub memory: Bytes,
    pub live: bool,
    pub running: Vec<Running>,
    pub waiting: Vec<Running>,
    pub held: Vec<ModelCopy>,
    /// Adapters, the least recently used first.
    pub adapters: Vec<usize>,
    prefixes: Vec<u64>,
    pub last_used: Vec<(ModelId, Instant)>,
}

impl Worker {
    pub fn new(dc: usize, speed: f64, bias: f64, memory: Bytes) -> Self {
        Self {
            dc,
            speed,
            bias,
            memory,
            live: true,
            running: Vec::new(),
            waiting: Vec::new(),
            held: Vec::new(),
            adapters: Vec::new(),
            prefixes: Vec::new(),
            last_used: Vec::new(),
        }
    }

    pub fn used(&self) -> Bytes {
        self.held.iter().map(|h| h.bytes).sum()
    }

    pub fn is_ready(&self, model: &ModelId) -> bool {
        let ready = |h: &ModelCopy| h.model == *model && h.state == CopyState::Ready;
        self.live && self.held.iter().any(ready)
    }

    /// Takes a request; its prompt is cheaper if a prefix is cached.
    pub fn take(&mut self, mut req: Running, output: u32, prompt: u32, prefixes: &[u64]) {
        let hit = prefixes.iter().rposition(|p| self.prefixes.contains(p));
        let cached = hit.map_or(0.0, |at| (at + 1) as f64 / prefixes.len() as f64);
        req.left = f64::from(output) + PROMPT_WEIGHT * f64::from(prompt) * (1.0 - cached);
        for p in prefixes {
            self.prefixes.retain(|q| q != p);
            self.prefixes.push(*p);
        }
        let excess = self.prefixes.len().saturating_sub(PREFIX_PLACES);
        self.prefixes.drain(..excess);
        let at = self.waiting.partition_point(|w| w.priority <= req.priority);
        self.waiting.insert(at, req);
        self.fill();
    }

    fn fill(&mut self) {
        while self.running.len() < BATCH as usize && !self.waiting.is_empty() {
            let next = self.waiting.remove(0);
            self.running.push(next);
        }
    }

    pub fn use_model(&mut self, model: &ModelId, now: Instant) {
        self.last_used.retain(|l| l.0 != *model);
        self.last_used.push((model.clone(), now));
    }

    /// Marks an adapter as used and returns whether it was loaded.
    pub fn touch_adapter(&mut self, adapter: usize) -> bool {
        let found = self.adapters.iter().position(|a| *a == adapter);
        if let Some(at) = found {
            let adapter = self.adapters.remove(at);
            self.adapters.push(adapter);
        }
        found.is_some()
    }

    pub fn add_adapter(&mut self, adapter: usize) {
        if !self.touch_adapter(adapter) {
            if self.adapters.len() == ADAPTER_PLACES {
                self.adapters.remove(0);
            }
            self.adapters.push(adapter);
        }
    }

    /// Advances the batch by a step and returns the requests that finished.
    pub fn advance(&mut self, now: Instant, seconds: f64) -> Vec<usize> {
        let batch = self.running.len() as f64;
        let rate = BASE_TOKENS * self.speed * self.bias / (batch + HALF_BATCH);
        let mut done = Vec::new();
        self.running.retain_mut(|r| {
            if r.gate <= now {
                r.left -= rate * seconds;
            }
            if r.left <= 0.0 {
                done.push(r.job);
            }
            r.left > 0.0
        });
        self.fill();
        done
    }

    pub fn drop_job(&mut self, job: usize) {
        self.running.retain(|r| r.job != job);
        self.waiting.retain(|r| r.job != job);
        self.fill();
    }
}
