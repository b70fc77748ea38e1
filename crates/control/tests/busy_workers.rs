//! Workers that refuse orders because they load or unload a model.

#[path = "support/holder.rs"]
mod holder;

use holder::{Holder, id, state};
use types::WorkerState;

/// Number of adapters of one model that callers request.
const ADAPTERS: usize = 6;

/// Returns the state of a worker that holds all models and loads or unloads another model.
fn busy() -> WorkerState {
    WorkerState {
        busy: true,
        ..state(1, &["m1", "m2"])
    }
}

/// Guards against callers who wait for an adapter that is ordered again and again on a worker that refuses it,
/// while another one could load it.
#[test]
fn adapters_are_loaded_on_workers_that_carry_out_no_order_for_a_model() {
    let mut holder = Holder::new();
    holder.register(&[("w1", busy()), ("w2", state(1, &["m1", "m2"]))]);
    holder.advance(5_000);
    holder.forget();

    for number in 0..ADAPTERS {
        holder.request_adapter("m1", &format!("m1:a{number}"));
        holder.advance(100);
    }

    assert!(!holder.adapter_loads.is_empty());
    assert!(
        holder.adapter_loads.iter().all(|w| *w == id("w2")),
        "{:?}",
        holder.adapter_loads
    );
}
