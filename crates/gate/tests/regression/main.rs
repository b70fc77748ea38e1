//! Regression tests, one file per fault.

#[path = "../fixture/mod.rs"]
mod fixture;

mod lost_refusal;
