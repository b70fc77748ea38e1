//! Planning of adapter changes, and shares of a limit.
//!
//! Guards against an overflow of the adapter pool, eviction of recently used adapters, and shares
//! of data centres that add up to more than the limit.

use orders::{Adapter, AdapterChange, Copy, CopyState, limit_share, plan_adapters};
use proptest::prelude::*;
use types::{Bytes, DataCentreId, Instant, OrderOp};

fn adapter(name: &str, bytes: u64, used: u64) -> Adapter {
    Adapter {
        name: name.to_owned(),
        version: "v1".parse().unwrap(),
        bytes: Bytes::new(bytes),
        last_used: Instant::from_micros(used),
    }
}

fn copy(name: &str, bytes: u64, state: CopyState) -> Copy {
    Copy {
        name: name.to_owned(),
        version: "v1".parse().unwrap(),
        bytes: Bytes::new(bytes),
        adapter: true,
        state,
    }
}

fn names(moves: &[AdapterChange]) -> Vec<(OrderOp, &str)> {
    moves.iter().map(|m| (m.op, m.name.as_str())).collect()
}

#[test]
fn the_least_recently_used_adapter_is_evicted() {
    let copies = [
        copy("a", 4, CopyState::Ready),
        copy("b", 4, CopyState::Ready),
    ];
    let wanted = [adapter("a", 4, 2), adapter("b", 4, 1), adapter("c", 4, 3)];
    let moves = plan_adapters(&copies, Bytes::new(10), &wanted, 4);
    assert_eq!(names(&moves), [(OrderOp::UnloadAdapter, "b")]);
}

#[test]
fn memory_that_is_being_freed_is_not_freed_twice() {
    let copies = [
        copy("a", 4, CopyState::Ready),
        copy("b", 4, CopyState::Unloading),
    ];
    let wanted = [adapter("a", 4, 2), adapter("c", 4, 3)];
    assert_eq!(plan_adapters(&copies, Bytes::new(8), &wanted, 4), []);
}

#[test]
fn an_adapter_is_not_evicted_for_one_that_was_used_less_recently() {
    let copies = [copy("a", 8, CopyState::Ready)];
    let wanted = [adapter("a", 8, 2), adapter("c", 4, 1)];
    assert_eq!(plan_adapters(&copies, Bytes::new(10), &wanted, 4), []);
}

#[test]
fn an_adapter_that_cannot_fit_evicts_nothing_and_blocks_no_other() {
    let copies = [copy("a", 4, CopyState::Ready)];
    let wanted = [
        adapter("a", 4, 1),
        adapter("big", 12, 3),
        adapter("small", 2, 2),
    ];
    let moves = plan_adapters(&copies, Bytes::new(10), &wanted, 4);
    assert_eq!(names(&moves), [(OrderOp::LoadAdapter, "small")]);
}

#[test]
fn loads_in_flight_are_capped() {
    let wanted = [adapter("a", 1, 2), adapter("b", 1, 3), adapter("c", 1, 1)];
    let moves = plan_adapters(&[], Bytes::new(10), &wanted, 2);
    assert_eq!(
        names(&moves),
        [(OrderOp::LoadAdapter, "b"), (OrderOp::LoadAdapter, "a")]
    );
}

proptest! {
    #[test]
    fn shares_add_up_to_the_limit(limit in 0_u32..200, count in 1_usize..14) {
        let dcs: Vec<DataCentreId> = (0..count).map(|i| format!("d{i}").parse().unwrap()).collect();
        let sum: u32 = dcs.iter().map(|dc| limit_share(limit, &dcs, dc)).sum();
        prop_assert_eq!(sum, limit);
    }

    #[test]
    fn a_batch_never_overflows_the_pool(
        held in proptest::collection::vec(1_u64..6, 0..5),
        new in proptest::collection::vec((1_u64..6, 0_u64..9), 0..6),
        pool in 5_u64..25,
    ) {
        let total: u64 = held.iter().sum();
        prop_assume!(total <= pool);
        let copies: Vec<Copy> = (0..).zip(&held)
            .map(|(i, b)| copy(&format!("h{i}"), *b, CopyState::Ready))
            .collect();
        let wanted: Vec<Adapter> = (0..).zip(&new)
            .map(|(i, (b, used))| adapter(&format!("n{i}"), *b, *used))
            .collect();
        let moves = plan_adapters(&copies, Bytes::new(pool), &wanted, 9);
        let loads = moves.iter().filter(|m| m.op == OrderOp::LoadAdapter);
        let loaded: u64 = loads.map(|m| m.bytes.get()).sum();
        prop_assert!(total + loaded <= pool);
    }
}
