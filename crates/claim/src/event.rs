//! The stored record of a claim, and the input events and output actions of an attempt.

use serde::{Deserialize, Serialize};
use types::{AttemptId, Code, HostId, Incarnation};

/// Record of an idempotency key on the platform.
///
/// A withdrawn record is replaced by the next attempt by a conditional update, so the key is free
/// again and still only one attempt can win.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Record {
    /// Attempt that wrote the record.
    pub attempt: AttemptId,
    /// Hash of the request's body in hexadecimal.
    #[serde(rename = "body")]
    pub body_hash: String,
    /// State of the request.
    pub state: State,
    /// Process that wrote the record, if it named itself.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub owner: Option<Owner>,
}

/// Process that runs an attempt.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Owner {
    /// Entry host.
    pub host: HostId,
    /// Life of its process.
    pub incarnation: Incarnation,
}

/// State of a keyed request.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It was or is about to be dispatched.
    Dispatched,
    /// It ran; the answer is kept if it was small.
    Finished(Option<Answer>),
    /// It was not run and won't be under this attempt.
    Withdrawn,
}

/// Answer that is kept for a resend.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// Body.
    pub body: Vec<u8>,
}

/// How the dispatch of a claimed request ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// Nothing was sent, or the backend server refused before running it.
    NotRun(Code),
    /// It ran to its end.
    Finished(Option<Answer>),
    /// It may have run.
    Unknown(Code),
}

/// Input of an attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// The attempt starts.
    Start,
    /// The record was created.
    Created,
    /// A record of the key exists.
    Exists(Record),
    /// A record of the key exists, and the process of its attempt is known to be alive.
    ///
    /// The driver reports this instead of `Exists` when the attempt is one that it runs itself,
    /// or when the membership lists the owner as live in the recorded incarnation. A dispatched
    /// record then reads as "still running", otherwise as "outcome unknown".
    OwnerAlive(Record),
    /// The platform refused the write; it did not take effect.
    Refused,
    /// The write got no answer; it may have taken effect.
    Unanswered,
    /// The record was read back.
    ReadBack(Option<Record>),
    /// The read-back failed.
    ReadFailed,
    /// The dispatch ended.
    Done(Outcome),
    /// The outcome was stored.
    Stored,
    /// The outcome was not stored, or that is not known.
    StoreFailed,
    /// Time passed; pending work is tried again.
    Tick,
}

/// Output of an attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Create the record.
    Create(Record),
    /// Read the record.
    Read,
    /// Dispatch the request; requested at most once an attempt.
    Dispatch,
    /// Replace the record of this attempt.
    Store(Record),
    /// Answer the caller.
    Reply(Reply),
    /// Nothing more is to be done.
    End,
}

/// Answer of an attempt to its caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reply {
    /// Pass on the outcome of this attempt's own dispatch.
    Outcome,
    /// Pass on the stored answer of an earlier attempt.
    Stored(Answer),
    /// Refuse with a code.
    Refuse(Code),
}
