//! Tests of the pure state on virtual time; a module of the crate, because the state is private.

mod failures;
mod fixture;
mod garbage;
mod knowledge;
mod sim;
mod spreading;
mod traffic;
