//! Stored record of a claim, and the events and actions of an attempt.

use serde::{Deserialize, Serialize};
use types::{AttemptId, Code, HostId, Incarnation};

/// Record that the platform stores for an idempotency key.
///
/// The next attempt replaces a withdrawn record by a conditional update. This frees the key, and
/// only one of several concurrent attempts succeeds.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Record {
    /// Id of the attempt that wrote the record.
    pub attempt: AttemptId,
    /// Hexadecimal hash of the request body.
    #[serde(rename = "body")]
    pub body_hash: String,
    /// State of the request.
    pub state: State,
    /// Process that wrote the record, if known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub owner: Option<Owner>,
}

/// Process that runs an attempt.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Owner {
    /// Entry host that the process runs on.
    pub host: HostId,
    /// Incarnation of the process; a restart changes it.
    pub incarnation: Incarnation,
}

/// State of a request with an idempotency key.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The request was dispatched or is about to be.
    Dispatched,
    /// The request ran to completion; the response is stored if it is small enough.
    Finished(Option<Answer>),
    /// The request did not run, and this attempt will not run it.
    Withdrawn,
}

/// Stored HTTP response, replayed when the request is sent again.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `content-type` header.
    pub content_type: String,
    /// Response body.
    pub body: Vec<u8>,
}

/// Outcome of the dispatch of a claimed request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The request was not sent, or the backend server refused it before running it.
    NotRun(Code),
    /// The request ran to completion.
    Finished(Option<Answer>),
    /// The request may have run.
    Unknown(Code),
}

/// Input event of an attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// The attempt starts.
    Start,
    /// The record was created.
    Created,
    /// A record for the key exists.
    Exists(Record),
    /// A record for the key exists, and the process that wrote it is alive.
    ///
    /// The driver reports this event instead of [`Event::Exists`] if the process itself runs the
    /// attempt, or if the membership lists the owner as live in the recorded incarnation. A request
    /// that was dispatched is then still running; otherwise its outcome is unknown.
    OwnerAlive(Record),
    /// The platform refused the write, which had no effect.
    Refused,
    /// The write got no response and may have taken effect.
    Unanswered,
    /// The record was read; `None` if it does not exist.
    ReadBack(Option<Record>),
    /// The read failed.
    ReadFailed,
    /// The dispatch ended.
    Done(Outcome),
    /// The outcome was stored.
    Stored,
    /// The outcome may not have been stored.
    StoreFailed,
    /// Time passed; unfinished writes are retried.
    Tick,
}

/// Output action of an attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Create the record.
    Create(Record),
    /// Read the record.
    Read,
    /// Dispatch the request; issued at most once per attempt.
    Dispatch,
    /// Replace the stored record if its revision has not changed.
    Store(Record),
    /// Reply to the caller.
    Reply(Reply),
    /// Stop; the attempt has ended.
    End,
}

/// Reply of an attempt to its caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reply {
    /// Forward the outcome of the dispatch by this attempt.
    Outcome,
    /// Replay the stored response of an earlier attempt.
    Stored(Answer),
    /// Refuse with an error code.
    Refuse(Code),
}
