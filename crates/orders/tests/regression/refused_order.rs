//! Guards against closing an order that the engine refused with status 507 and does not list: a
//! late duplicate of it would still run and overcommit memory.

use orders::{Action, Event, Ledger, Limits, NewOrder, SendOutcome};
use types::{Bytes, Epoch, Incarnation, Instant, LoadReport, OrderId, OrderOp};

fn report() -> LoadReport {
    LoadReport {
        incarnation: Incarnation::new(1),
        leaving: false,
        memory: Bytes::ZERO,
        used: Bytes::ZERO,
        in_flight: 0,
        queued: 0,
        tokens_per_second: 0.0,
        residents: Vec::new(),
        orders: Vec::new(),
        age_ms: 0,
        fence: Epoch::new(0),
    }
}

#[test]
fn a_refused_order_that_the_engine_does_not_list_stays_reserved() {
    let limits = Limits {
        memory: Bytes::new(10),
        adapter_pool: Bytes::ZERO,
        fences: false,
    };
    let mut ledger: Ledger<u64> = Ledger::new("h1".parse().unwrap(), Epoch::new(1), limits);
    let mut out = Vec::new();
    let mut step = |secs: u64, ev| {
        out.clear();
        ledger.step(Instant::from_micros(secs * 1_000_000), ev, &mut out);
        out.clone()
    };
    let report_at = |secs: u64| Event::Report {
        report: report(),
        asked: Instant::from_micros(secs * 1_000_000),
    };
    let order = NewOrder {
        id: OrderId::new(1),
        op: OrderOp::Load,
        name: "m".to_owned(),
        version: "v1".parse().unwrap(),
        bytes: Bytes::new(6),
    };
    step(1, Event::Tick);
    step(1, Event::Read(None));
    step(1, Event::Written(1));
    step(3, report_at(2));
    let write = step(3, Event::Submit(vec![order]));
    assert!(matches!(write.as_slice(), [Action::Update(r, 1)] if r.reserved() == Bytes::new(6)));
    let send = step(3, Event::Written(2));
    assert!(matches!(send.as_slice(), [Action::Send(_)]));

    let (id, outcome) = (OrderId::new(1), SendOutcome::NoMemory);
    step(4, Event::SendFinished { id, outcome });
    let after = step(6, report_at(5));

    assert!(
        !after.iter().any(|a| matches!(a, Action::Update(..))),
        "{after:?}"
    );
    assert_eq!(ledger.record().unwrap().reserved(), Bytes::new(6));
}
