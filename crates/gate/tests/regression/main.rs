//! Faults that were found, each with its own file.

#[path = "../fixture/mod.rs"]
mod fixture;

mod lost_refusal;
