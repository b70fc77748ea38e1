//! Tests of the state machine on virtual time. A module of the crate, as the state is private.

mod failures;
mod fixture;
mod invalid_messages;
mod propagation;
mod sim;
mod spreading;
mod traffic;
