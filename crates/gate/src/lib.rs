//! HTTP API for callers and operators.

mod attempt;
mod auth;
mod claims;
mod count;
mod dispatcher;
mod error;
mod job;
mod limit;
mod operator;
mod peers;
mod prompt;
mod refusal;
mod relay;
mod reply;
mod serve;

pub use count::Counters;
pub use dispatcher::{Dispatcher, Step};
pub use error::{Category, Error, Result};
pub use operator::Reporter;
pub use peers::{NoPeers, Peers};
pub use refusal::Refusal;
pub use serve::{Gate, Parts};
