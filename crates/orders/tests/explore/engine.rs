//! Simulated engine that runs every order it accepts, so that overcommitted memory becomes visible.

use types::{
    Bytes, Epoch, Incarnation, LoadReport, Order, OrderId, OrderOp, OrderState, OrderStatus,
    Resident,
};

use orders::SendOutcome;

#[derive(Clone, Debug)]
pub struct Engine {
    pub fences: bool,
    /// Whether a duplicate of a known order raises the fence. Real engines differ in this.
    pub duplicates_raise_fence: bool,
    pub incarnation: u64,
    pub residents: Vec<Resident>,
    pub running: Vec<Order>,
    pub known: Vec<OrderStatus>,
    fence: Epoch,
    /// Cached report and the time at which it was sampled.
    sampled: Option<(u64, LoadReport)>,
}

impl Engine {
    pub fn new(fences: bool, duplicates_raise_fence: bool) -> Self {
        Self {
            fences,
            duplicates_raise_fence,
            incarnation: 1,
            residents: Vec::new(),
            running: Vec::new(),
            known: Vec::new(),
            fence: Epoch::new(0),
            sampled: None,
        }
    }

    /// Restarts the engine, which keeps only the fencing token.
    pub fn restart(&mut self) {
        self.incarnation += 1;
        self.residents.clear();
        self.running.clear();
        self.known.clear();
        self.sampled = None;
    }

    pub fn used(&self) -> Bytes {
        let loading = self.running.iter().filter(|o| o.op == OrderOp::Load);
        let resident: Bytes = self.residents.iter().map(|r| r.bytes).sum();
        resident + loading.map(|o| o.bytes).sum()
    }

    pub fn refuses(&self, order: &Order) -> bool {
        self.fences && order.fence < self.fence
    }

    pub fn knows(&self, id: OrderId) -> bool {
        self.known.iter().any(|o| o.id == id)
    }

    /// Handles an order; returns the outcome and whether the order starts to run.
    pub fn accept_order(&mut self, order: &Order, refuse: bool) -> (SendOutcome, bool) {
        if !self.duplicates_raise_fence && self.knows(order.id) {
            return (SendOutcome::Accepted, false);
        }
        if self.refuses(order) {
            return (SendOutcome::Stale(self.fence), false);
        }
        self.fence = self.fence.max(order.fence);
        if self.knows(order.id) {
            return (SendOutcome::Accepted, false);
        }
        if refuse && order.op == OrderOp::Load {
            // Some engines remember refused orders, others do not; the parity of the id decides.
            if order
                .id
                .to_string()
                .ends_with(['0', '2', '4', '6', '8', 'a', 'c', 'e'])
            {
                let (id, state) = (order.id, OrderState::Failed);
                self.known.push(OrderStatus { id, state });
            }
            return (SendOutcome::NoMemory, false);
        }
        let present = self.residents.iter().any(|r| r.name == order.name)
            || self
                .running
                .iter()
                .any(|o| o.name == order.name && o.op == order.op);
        let state = if order.op == OrderOp::Load && present {
            OrderState::Done
        } else {
            self.running.push(order.clone());
            OrderState::Running
        };
        self.known.push(OrderStatus {
            id: order.id,
            state,
        });
        (SendOutcome::Accepted, state == OrderState::Running)
    }

    pub fn finish(&mut self, id: OrderId) {
        let Some(at) = self.running.iter().position(|o| o.id == id) else {
            return;
        };
        let order = self.running.swap_remove(at);
        self.residents.retain(|r| r.name != order.name);
        if order.op == OrderOp::Load {
            self.residents.push(Resident {
                name: order.name,
                version: order.version,
                bytes: order.bytes,
                adapter: false,
            });
        }
        if let Some(status) = self.known.iter_mut().find(|o| o.id == id) {
            status.state = OrderState::Done;
        }
    }

    /// Returns a report that is less than `max_age` microseconds old.
    pub fn report(&mut self, now: u64, max_age: u64) -> LoadReport {
        if let Some((at, report)) = &self.sampled
            && now - at < max_age
        {
            return LoadReport {
                age_ms: (now - at) / 1_000,
                ..report.clone()
            };
        }
        let report = LoadReport {
            incarnation: Incarnation::new(self.incarnation),
            leaving: false,
            memory: Bytes::ZERO,
            used: self.used(),
            in_flight: 0,
            queued: 0,
            tokens_per_second: 0.0,
            residents: self.residents.clone(),
            orders: self.known.clone(),
            age_ms: 0,
            fence: self.fence,
        };
        self.sampled = Some((now, report.clone()));
        report
    }
}
