//! Simulated worker with batching, a prefix cache, adapters and model copies.

use place::{CopyState, ModelCopy};
use types::{Bytes, Instant, ModelId};

use crate::spec::{BASE_TOKENS_PER_SECOND, HALF_RATE_BATCH, MAX_BATCH, PROMPT_WEIGHT};

/// Adapters that fit in the adapter pool.
const ADAPTER_SLOTS: usize = 4;
/// Prefixes that the cache holds.
const PREFIX_CACHE_CAPACITY: usize = 32;

/// Request that runs or waits on a worker.
#[derive(Clone, Debug)]
pub struct WorkerRequest {
    pub request: usize,
    pub priority: u8,
    /// Remaining work in output tokens.
    pub remaining_work: f64,
    /// Instant at which the adapter is loaded.
    pub adapter_ready: Instant,
}

/// Simulated worker.
#[derive(Clone, Debug)]
pub struct Worker {
    pub dc: usize,
    pub speed: f64,
    /// Actual speed divided by the configured one; routers have to estimate it.
    pub speed_factor: f64,
    pub memory: Bytes,
    pub live: bool,
    pub running: Vec<WorkerRequest>,
    pub waiting: Vec<WorkerRequest>,
    pub copies: Vec<ModelCopy>,
    /// Loaded adapters, least recently used first.
    pub adapters: Vec<usize>,
    prefixes: Vec<u64>,
    pub last_used: Vec<(ModelId, Instant)>,
}

impl Worker {
    pub fn new(dc: usize, speed: f64, speed_factor: f64, memory: Bytes) -> Self {
        Self {
            dc,
            speed,
            speed_factor,
            memory,
            live: true,
            running: Vec::new(),
            waiting: Vec::new(),
            copies: Vec::new(),
            adapters: Vec::new(),
            prefixes: Vec::new(),
            last_used: Vec::new(),
        }
    }

    pub fn memory_used(&self) -> Bytes {
        self.copies.iter().map(|h| h.bytes).sum()
    }

    pub fn is_ready(&self, model: &ModelId) -> bool {
        let ready = |h: &ModelCopy| h.model == *model && h.state == CopyState::Ready;
        self.live && self.copies.iter().any(ready)
    }

    /// Queues a request by priority; cached prefixes reduce the work of its prompt.
    pub fn enqueue(&mut self, mut req: WorkerRequest, output: u32, prompt: u32, prefixes: &[u64]) {
        let hit = prefixes.iter().rposition(|p| self.prefixes.contains(p));
        let cached = hit.map_or(0.0, |at| (at + 1) as f64 / prefixes.len() as f64);
        req.remaining_work = f64::from(output) + PROMPT_WEIGHT * f64::from(prompt) * (1.0 - cached);
        for p in prefixes {
            self.prefixes.retain(|q| q != p);
            self.prefixes.push(*p);
        }
        let excess = self.prefixes.len().saturating_sub(PREFIX_CACHE_CAPACITY);
        self.prefixes.drain(..excess);
        let at = self.waiting.partition_point(|w| w.priority <= req.priority);
        self.waiting.insert(at, req);
        self.fill_batch();
    }

    fn fill_batch(&mut self) {
        while self.running.len() < MAX_BATCH as usize && !self.waiting.is_empty() {
            let next = self.waiting.remove(0);
            self.running.push(next);
        }
    }

    pub fn use_model(&mut self, model: &ModelId, now: Instant) {
        self.last_used.retain(|l| l.0 != *model);
        self.last_used.push((model.clone(), now));
    }

    /// Marks an adapter as most recently used and returns whether it is loaded.
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
            if self.adapters.len() == ADAPTER_SLOTS {
                self.adapters.remove(0);
            }
            self.adapters.push(adapter);
        }
    }

    /// Advances the batch by a step and returns the requests that finished.
    pub fn advance(&mut self, now: Instant, seconds: f64) -> Vec<usize> {
        let batch = self.running.len() as f64;
        let rate =
            BASE_TOKENS_PER_SECOND * self.speed * self.speed_factor / (batch + HALF_RATE_BATCH);
        let mut done = Vec::new();
        self.running.retain_mut(|r| {
            if r.adapter_ready <= now {
                r.remaining_work -= rate * seconds;
            }
            if r.remaining_work <= 0.0 {
                done.push(r.request);
            }
            r.remaining_work > 0.0
        });
        self.fill_batch();
        done
    }

    pub fn cancel(&mut self, request: usize) {
        self.running.retain(|r| r.request != request);
        self.waiting.retain(|r| r.request != request);
        self.fill_batch();
    }
}
