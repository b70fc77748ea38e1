//! Engine that carries out every order, so that an overcommitment shows.

use types::{
    Bytes, Epoch, Incarnation, LoadReport, Order, OrderId, OrderOp, OrderState, OrderStatus,
    Resident,
};

use orders::SendOutcome;

#[derive(Clone, Debug)]
pub struct Engine {
    pub fences: bool,
    /// Whether an order with a known id raises the fence, which engines differ in.
    pub repeats_raise: bool,
    pub incarnation: u64,
    pub residents: Vec<Resident>,
    pub running: Vec<Order>,
    pub known: Vec<OrderStatus>,
    fence: Epoch,
    /// Time and content of the report that is given out for a while.
    sampled: Option<(u64, LoadReport)>,
}

impl Engine {
    pub fn new(fences: bool, repeats_raise: bool) -> Self {
        Self {
            fences,
            repeats_raise,
            incarnation: 1,
            residents: Vec::new(),
            running: Vec::new(),
            known: Vec::new(),
            fence: Epoch::new(0),
            sampled: None,
        }
    }

    /// Loses everything but the fencing token.
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

    /// Takes an order; returns the answer and whether it starts to run.
    pub fn arrive(&mut self, order: &Order, refuse: bool) -> (SendOutcome, bool) {
        if !self.repeats_raise && self.knows(order.id) {
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
            // Some engines remember a refused order, others forget it.
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

    /// Returns a report that may be up to `lag` microseconds old.
    pub fn report(&mut self, now: u64, lag: u64) -> LoadReport {
        if let Some((at, report)) = &self.sampled
            && now - at < lag
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
