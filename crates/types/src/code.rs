//! Numbered result codes and retry reasons.

use std::{fmt, str::FromStr};

use crate::error::{Error, Result};

/// Whether a backend server executed a refused or failed request.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ExecutionStatus {
    /// It was not executed.
    No,
    /// It was executed.
    Yes,
    /// It may have been executed.
    Unknown,
}

impl fmt::Display for ExecutionStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::No => "no",
            Self::Yes => "yes",
            Self::Unknown => "unknown",
        })
    }
}

struct CodeEntry {
    code: Code,
    label: &'static str,
    status: u16,
    ran: ExecutionStatus,
    retryable: bool,
    description: &'static str,
}

macro_rules! codes {
    ($($number:literal $name:ident $label:literal $status:literal $ran:ident $retryable:literal $description:literal;)*) => {
        /// Result code of a refused or failed request.
        ///
        /// The number is part of the interface and is never reused. `docs/result-codes.md` holds
        /// the table.
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        #[non_exhaustive]
        #[repr(u16)]
        pub enum Code {
            $(
                #[doc = $description]
                $name = $number,
            )*
        }

        const ENTRIES: &[CodeEntry] = &[
            $(CodeEntry {
                code: Code::$name,
                label: $label,
                status: $status,
                ran: ExecutionStatus::$ran,
                retryable: $retryable,
                description: $description,
            },)*
        ];

        impl Code {
            /// All codes in ascending order of their numbers.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];
        }
    };
}

codes! {
    101 InvalidJson "invalid_json" 400 No false "the body is not valid JSON";
    102 UnknownModel "unknown_model" 404 No false "no model or adapter of this name is configured";
    103 UnknownService "unknown_service" 404 No false "no service of this name is configured";
    104 BodyTooLarge "body_too_large" 413 No false "the body exceeds the limit";
    105 HeadersTooLarge "headers_too_large" 431 No false "the headers exceed the limit";
    106 InvalidDeadline "invalid_deadline" 400 No false "the deadline is absent where required, zero, or absurd";
    107 InvalidKey "invalid_key" 400 No false "the idempotency key is empty or too long";
    108 InvalidField "invalid_field" 400 No false "a field of the body is missing or of the wrong type";
    109 UnknownPath "unknown_path" 404 No false "no such path or method";
    110 MissingId "missing_id" 400 No false "the request has no id, or one that can not be read";
    111 BodyTimeout "body_timeout" 408 No true "the body did not arrive in time";
    112 IncompleteBody "incomplete_body" 408 No true "the connection of the caller ended within the body";
    113 HeadTimeout "head_timeout" 408 No true "the head of the request did not arrive in time";
    201 Unauthenticated "unauthenticated" 401 No false "the bearer token is missing or unknown";
    202 Forbidden "forbidden" 403 No false "the caller may not use this service";
    301 QueueFull "queue_full" 503 No true "the admission queue is full";
    302 DeadlineUnreachable "deadline_unreachable" 503 No true "no backend server can meet the deadline";
    303 NoBackend "no_backend" 503 No true "no live backend server of the service";
    304 NotResident "not_resident" 503 No true "no reachable backend server holds the model";
    305 Draining "draining" 503 No true "the entry host is shutting down";
    306 NotReady "not_ready" 503 No true "the entry host has no configuration yet";
    307 TooManyRequests "too_many_requests" 429 No true "the caller exceeds its limit";
    308 HopLimit "hop_limit" 503 No true "a forwarded request can not be forwarded again";
    309 OutdatedConfiguration "outdated_configuration" 503 No true "no such path or model, and the entry host lacks the newest configuration";
    310 QuotaExceeded "quota_exceeded" 429 No true "the client account exceeds its quota";
    401 ClaimStoreAway "claim_store_away" 503 No true "the platform can not record the claim";
    402 KeyReused "key_reused" 422 No false "the idempotency key was used with another body";
    403 AlreadyRan "already_ran" 409 Yes false "the keyed request ran; its answer was not kept";
    404 StillRunning "still_running" 409 Unknown true "the keyed request is running";
    405 OutcomeUnknown "outcome_unknown" 409 Unknown false "the keyed request was dispatched and its outcome is unknown";
    406 ClaimUnresolved "claim_unresolved" 503 No true "an earlier claim of the key is not resolved yet";
    501 Unreachable "unreachable" 502 No true "no connection to the backend server";
    502 ConnectionCut "connection_cut" 502 Unknown false "the connection broke after dispatch";
    503 BackendCrashed "backend_crashed" 502 Unknown false "the backend server crashed while the request ran";
    504 DeadlineExceeded "deadline_exceeded" 504 Unknown false "the deadline passed after dispatch";
    505 AnswerMismatch "answer_mismatch" 502 Unknown false "the answer belongs to another request";
    506 AnswerTruncated "answer_truncated" 502 Unknown false "the answer ended early";
    507 StreamInterrupted "stream_interrupted" 502 Unknown false "the stream ended early and was not resumed";
    508 BackendRefused "backend_refused" 503 No true "the backend server refused the request before running it";
    509 RetriesExhausted "retries_exhausted" 503 Unknown true "the retry budget or the attempts are used up";
    510 BackendError "backend_error" 502 Yes false "the backend server answered with an error";
    511 ForwardFailed "forward_failed" 502 Unknown false "the entry host of the other data centre did not answer";
    601 CrashingRequest "crashing_request" 422 No false "this request has crashed backend servers";
    602 SuspectNotAdmitted "suspect_not_admitted" 503 No true "the request may have crashed a backend server and is not run now";
    603 CrashingPart "crashing_part" 422 No false "a part of the prompt has crashed backend servers";
    701 ConfigInvalid "config_invalid" 422 No false "the deployment file has faults";
    702 ConfigConflict "config_conflict" 409 No false "another file was applied first";
    703 PlatformAway "platform_away" 503 No true "the platform does not answer";
    704 NotPlaceable "not_placeable" 422 No false "the models do not fit the memory";
    705 ApplyUnknown "apply_unknown" 503 Unknown true "the platform did not say whether the file is in force";
    801 PeerGarbage "peer_garbage" 502 No true "a peer sent a message that can not be decoded";
    802 PlatformGarbage "platform_garbage" 502 No true "the platform sent an object that can not be decoded";
    803 Internal "internal" 500 Unknown false "the entry host failed";
}

impl Code {
    fn entry(self) -> &'static CodeEntry {
        let index = ENTRIES
            .binary_search_by_key(&self.number(), |entry| entry.code.number())
            .expect("every code has an entry");
        &ENTRIES[index]
    }

    /// Returns the number.
    #[must_use]
    pub const fn number(self) -> u16 {
        self as u16
    }

    /// Returns the label used in counters and error bodies.
    #[must_use]
    pub fn label(self) -> &'static str {
        self.entry().label
    }

    /// Returns the HTTP status of a response with this code.
    #[must_use]
    pub fn status(self) -> u16 {
        self.entry().status
    }

    /// Returns whether a request that ends with this code was executed.
    #[must_use]
    pub fn ran(self) -> ExecutionStatus {
        self.entry().ran
    }

    /// Returns whether the caller may send the request again.
    #[must_use]
    pub fn is_retryable(self) -> bool {
        self.entry().retryable
    }

    /// Returns a one-clause description.
    #[must_use]
    pub fn description(self) -> &'static str {
        self.entry().description
    }
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.number(), self.label())
    }
}

impl FromStr for Code {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self> {
        Self::ALL
            .iter()
            .copied()
            .find(|code| code.label() == s)
            .ok_or_else(|| Error::syntax("a result code", s))
    }
}

macro_rules! retry_reasons {
    ($($(#[$doc:meta])* $name:ident $label:literal;)*) => {
        /// Reason for which a request was sent to a backend server again.
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        #[non_exhaustive]
        pub enum RetryReason {
            $($(#[$doc])* $name,)*
        }

        impl RetryReason {
            /// All reasons.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Returns the label used in counters.
            #[must_use]
            pub fn label(self) -> &'static str {
                match self {
                    $(Self::$name => $label,)*
                }
            }
        }
    };
}

retry_reasons! {
    /// The connection could not be established.
    Unreachable "unreachable";
    /// The connection broke before the response was complete.
    ConnectionLost "cut";
    /// The backend server crashed.
    Crash "crash";
    /// The backend server is leaving.
    Leaving "leaving";
    /// The backend server refused the request without executing it.
    Refused "refused";
    /// The response belonged to another request.
    Mismatch "mismatch";
    /// The response ended early.
    Truncated "truncated";
    /// A stream was resumed at the point of failure.
    Resume "resume";
    /// The model or adapter was not in memory when the request arrived.
    NotResident "not_resident";
    /// The backend server returned an internal error.
    ServerError "server_error";
    /// The response did not start in time.
    Silent "silent";
}

impl fmt::Display for RetryReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.label())
    }
}
