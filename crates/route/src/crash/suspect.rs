//! What may crash backend servers, and what hosts tell each other about it.

use std::fmt;

use serde::{Deserialize, Serialize};
use types::{BackendId, Incarnation, Micros, PromptPart};

use crate::event::Fingerprint;

/// What may have crashed a backend server.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub enum Suspect {
    /// A part of a prompt, whatever the rest of the request.
    Part(PromptPart),
    /// A request, with all of its resends.
    Request(Fingerprint),
}

impl fmt::Display for Suspect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Part(part) => write!(f, "part {part}"),
            Self::Request(fingerprint) => write!(f, "request {fingerprint:?}"),
        }
    }
}

/// Verdict on a blocked suspect, whose requests are not sent to backend servers.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub enum Verdict {
    /// It was in flight at several crashes. A few requests with it are still sent as trials.
    Suspected,
    /// It gets no further trial.
    Confirmed,
}

/// Why the verdict on a suspect changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum VerdictCause {
    /// The suspect was in flight at too many crashes.
    Crashes,
    /// Its trials are over.
    Trials,
    /// A request with it was answered.
    Response,
    /// The crashes are attributed to another suspect.
    OtherSuspect,
    /// Another host blocks it.
    OtherHost,
}

impl VerdictCause {
    /// Returns the value in logs and metrics.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Crashes => "crashes",
            Self::Trials => "trials",
            Self::Response => "response",
            Self::OtherSuspect => "other_suspect",
            Self::OtherHost => "other_host",
        }
    }
}

/// Crash of a backend server and what one host had in flight there.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct CrashReport {
    /// The backend server.
    pub backend: BackendId,
    /// Incarnation that ended.
    pub incarnation: Incarnation,
    /// Time since the crash.
    pub age: Micros,
    /// What was in flight.
    pub suspects: Vec<Suspect>,
}

/// Response to a request with a suspect, which shows that the suspect does not crash servers.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ResponseReport {
    /// The suspect.
    pub suspect: Suspect,
    /// Time since the response.
    pub age: Micros,
}

/// Suspect whose requests a host does not send to backend servers.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct BlockedSuspect {
    /// The suspect.
    pub suspect: Suspect,
    /// The verdict.
    pub verdict: Verdict,
    /// Time since the last crash at which it was in flight.
    pub age: Micros,
}

/// What a host learned of crashes, for the other hosts.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct CrashUpdate {
    /// Crashes that the host observed.
    pub crashes: Vec<CrashReport>,
    /// Responses that the host got to requests with suspects.
    pub responses: Vec<ResponseReport>,
    /// Suspects that the host blocks.
    pub blocked: Vec<BlockedSuspect>,
}

impl CrashUpdate {
    /// Returns whether the update contains nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.responses.is_empty() && self.blocked.is_empty()
    }
}

/// Request for the permission to send one request with a suspect.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct TrialRequest {
    /// The suspect.
    pub suspect: Suspect,
    /// Time since the last response to a request with it. Trials granted before do not count any more.
    pub answered: Option<Micros>,
}

/// Reply to a request for a trial of a suspect.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum TrialReply {
    /// One request with the suspect may be sent.
    Granted,
    /// No trial is permitted now.
    Denied,
    /// The suspect has had all of its trials.
    Exhausted,
}

/// State of a suspect request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum SuspectState {
    /// The request was in flight when a backend server crashed.
    Suspected,
    /// The request was in flight at a second crash as the only suspect, which confirms it as the
    /// cause.
    Confirmed,
    /// The request has completed since.
    Cleared,
}

/// Record of a suspect request, shared between entry hosts.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct SuspectRecord {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Its state.
    pub state: SuspectState,
    /// Backend server whose crash led to the state.
    pub backend: BackendId,
    /// Incarnation of that server that crashed.
    pub incarnation: Incarnation,
}
