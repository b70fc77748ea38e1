//! Memory, residents and orders of an engine.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use types::{
    Bytes, Epoch, Incarnation, LoadReport, Order, OrderOp, OrderState, OrderStatus, Resident,
};

use crate::backend::Faults;

/// Orders that the load report names; older ones are forgotten.
const REPORTED_ORDERS: usize = 256;

#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Knobs {
    pub(crate) memory: u64,
    /// Requests that run at once.
    pub(crate) slots: u32,
    /// Time before the first token.
    pub(crate) prefill_ms: u64,
    /// Time between tokens, in microseconds.
    pub(crate) token_us: u64,
    /// Tokens of an answer when the request does not say.
    pub(crate) tokens: usize,
    /// Whether orders with an old fencing token are refused.
    pub(crate) enforce: bool,
    pub(crate) load_ms: u64,
    pub(crate) unload_ms: u64,
    pub(crate) adapter_load_ms: u64,
    /// Orders that never arrive.
    pub(crate) lost_orders: u64,
    /// Orders that arrive late while their sender sees a broken connection, and by how much.
    pub(crate) late_orders: u64,
    pub(crate) order_late_ms: u64,
    /// Orders that are carried out and whose answer is lost.
    pub(crate) lost_order_answers: u64,
    /// Time for which a load report is given out before a new one is made.
    pub(crate) report_lag_ms: u64,
    pub(crate) event_lag_ms: u64,
    /// Cache events that take a sequence number and are not sent.
    pub(crate) event_gaps: u64,
    /// Whether a stream can be resumed.
    pub(crate) resume: bool,
    #[serde(flatten)]
    pub(crate) faults: Faults,
}

impl Default for Knobs {
    fn default() -> Self {
        Self {
            memory: 80 << 30,
            slots: 8,
            prefill_ms: 2,
            token_us: 500,
            tokens: 8,
            enforce: false,
            load_ms: 20,
            unload_ms: 2,
            adapter_load_ms: 5,
            lost_orders: 0,
            late_orders: 0,
            order_late_ms: 0,
            lost_order_answers: 0,
            report_lag_ms: 0,
            event_lag_ms: 0,
            event_gaps: 0,
            resume: true,
            faults: Faults::default(),
        }
    }
}

/// Counts that tests assert on.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct Counts {
    pub(crate) loads: u64,
    pub(crate) unloads: u64,
    pub(crate) adapter_loads: u64,
    pub(crate) fenced: u64,
    /// Orders that memory could not take.
    pub(crate) overcommits: u64,
    /// Largest sum of memory in use and asked for.
    pub(crate) max_asked: u64,
    pub(crate) resumes: u64,
    pub(crate) repeated_orders: u64,
    pub(crate) max_in_flight: u32,
}

/// What became of an order on its arrival.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Verdict {
    /// Starts now and takes this long.
    Start(Duration),
    /// Known by its id, or without anything to do.
    Accepted,
    /// A higher fencing token was seen.
    Fenced(Epoch),
    OutOfMemory,
}

/// Stream that can be resumed.
#[derive(Clone, Debug)]
pub(crate) struct Past {
    pub(crate) id: String,
    pub(crate) prompt: String,
    pub(crate) body: serde_json::Value,
    pub(crate) chat: bool,
}

#[derive(Debug, Default)]
pub(crate) struct State {
    pub(crate) knobs: Knobs,
    pub(crate) counts: Counts,
    pub(crate) residents: Vec<Resident>,
    loading: Vec<Order>,
    pub(crate) orders: Vec<OrderStatus>,
    fence: Epoch,
    pub(crate) in_flight: u32,
    /// Priority and number of the requests that wait.
    pub(crate) waiting: Vec<(i64, u64)>,
    pub(crate) past: Vec<Past>,
    pub(crate) event_seq: u64,
    report: Option<(Instant, LoadReport)>,
}

impl State {
    pub(crate) fn used(&self) -> u64 {
        let resident: Bytes = self.residents.iter().map(|r| r.bytes).sum();
        let loading: Bytes = self.loading.iter().map(|o| o.bytes).sum();
        (resident + loading).get()
    }

    pub(crate) fn holds(&self, name: &str) -> bool {
        self.residents.iter().any(|r| r.name == name)
    }

    /// Takes note of an order that arrived.
    pub(crate) fn arrive(&mut self, order: &Order) -> Verdict {
        if self.orders.iter().any(|known| known.id == order.id) {
            self.counts.repeated_orders += 1;
            return Verdict::Accepted;
        }
        if self.knobs.enforce && order.fence < self.fence {
            self.counts.fenced += 1;
            return Verdict::Fenced(self.fence);
        }
        self.fence = self.fence.max(order.fence);
        let ms = match order.op {
            OrderOp::Load => self.knobs.load_ms,
            OrderOp::LoadAdapter => self.knobs.adapter_load_ms,
            OrderOp::Unload | OrderOp::UnloadAdapter => self.knobs.unload_ms,
        };
        if matches!(order.op, OrderOp::Load | OrderOp::LoadAdapter) {
            if self.has(order) {
                self.note(order, OrderState::Done);
                return Verdict::Accepted;
            }
            let asked = self.used() + order.bytes.get();
            self.counts.max_asked = self.counts.max_asked.max(asked);
            if asked > self.knobs.memory {
                self.counts.overcommits += 1;
                self.note(order, OrderState::Failed);
                return Verdict::OutOfMemory;
            }
            self.loading.push(order.clone());
        }
        self.note(order, OrderState::Running);
        Verdict::Start(Duration::from_millis(ms))
    }

    fn has(&self, order: &Order) -> bool {
        let same = |r: &Resident| r.name == order.name && r.version == order.version;
        self.residents.iter().any(same)
    }

    fn note(&mut self, order: &Order, state: OrderState) {
        self.orders.retain(|known| known.id != order.id);
        self.orders.push(OrderStatus {
            id: order.id,
            state,
        });
        if self.orders.len() > REPORTED_ORDERS {
            self.orders.remove(0);
        }
    }

    /// Carries out an order that started.
    pub(crate) fn finish(&mut self, order: &Order) {
        self.loading.retain(|loading| loading.id != order.id);
        match order.op {
            OrderOp::Load | OrderOp::LoadAdapter => {
                self.residents.push(Resident {
                    name: order.name.clone(),
                    version: order.version.clone(),
                    bytes: order.bytes,
                    adapter: order.op == OrderOp::LoadAdapter,
                });
            }
            OrderOp::Unload | OrderOp::UnloadAdapter => {
                self.residents
                    .retain(|r| r.name != order.name || r.version != order.version);
            }
        }
        match order.op {
            OrderOp::Load => self.counts.loads += 1,
            OrderOp::LoadAdapter => self.counts.adapter_loads += 1,
            OrderOp::Unload | OrderOp::UnloadAdapter => self.counts.unloads += 1,
        }
        self.note(order, OrderState::Done);
    }

    /// Returns the load report, which may be old.
    pub(crate) fn report(&mut self, incarnation: u64) -> LoadReport {
        let lag = Duration::from_millis(self.knobs.report_lag_ms);
        if let Some((at, report)) = &self.report
            && at.elapsed() < lag
        {
            let age = u64::try_from(at.elapsed().as_millis()).unwrap_or_default();
            let report = report.clone();
            return LoadReport {
                age_ms: age,
                ..report
            };
        }
        let report = self.fresh(incarnation);
        self.report = Some((Instant::now(), report.clone()));
        report
    }

    fn fresh(&self, incarnation: u64) -> LoadReport {
        let pace = 1e6 / self.knobs.token_us.max(1) as f64;
        LoadReport {
            incarnation: Incarnation::new(incarnation),
            leaving: self.knobs.faults.leaving,
            memory: Bytes::new(self.knobs.memory),
            used: Bytes::new(self.used()),
            in_flight: self.in_flight,
            queued: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            tokens_per_second: pace * f64::from(self.in_flight),
            residents: self.residents.clone(),
            orders: self.orders.clone(),
            age_ms: 0,
            fence: self.fence,
        }
    }
}
