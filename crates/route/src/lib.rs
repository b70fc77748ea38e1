//! Choice of a backend server, admission queue, retry budget and suspect requests.

mod event;

pub use event::{
    Action, BackendLoad, Event, Failure, Fingerprint, Liveness, SuspectMark, SuspectState, Target,
    Ticket,
};
