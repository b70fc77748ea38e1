//! Claims that let a keyed request run at most once.

mod event;

pub use event::{Action, Answer, Event, Outcome, Record, Reply, State};
