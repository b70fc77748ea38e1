//! Placement of models on workers: floor, replicas and moves.

mod input;

pub use input::{Copy, CopyState, Demand, Held, Input, Move, Worker};
