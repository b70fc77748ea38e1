//! Regression tests for faults that the randomized simulations found, each with a minimal sequence
//! of events.

mod refused_order;
mod refused_slot;
mod surplus_slot;
