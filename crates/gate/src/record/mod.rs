//! Record of one request, which ends in exactly one log line and one counter.

use metrics::counter;
use route::Target;
use tokio_util::sync::CancellationToken;
use types::{AdapterId, BackendId, Clock, Code, Instant, Micros, Monotonic, RetryReason};

use crate::refusal::Refusal;

mod log;
mod shared;

pub(crate) use log::millis;
pub(crate) use shared::SharedRecord;

/// Counter of ended requests by end and reason.
const ENDS: &str = "celerytally_request_ends_total";

/// How a request ended.
#[derive(Clone, Debug)]
pub(crate) enum End {
    /// A complete response was returned.
    Answered {
        /// Server that sent the response; `None` if this host answered by itself.
        backend: Option<BackendId>,
        status: u16,
    },
    /// An error response of a backend server was kept, and returned as no other attempt succeeded.
    KeptError {
        backend: BackendId,
        status: u16,
        /// Code for which no other attempt succeeded.
        code: Code,
    },
    /// The request was refused or failed.
    Refused { refusal: Refusal, status: u16 },
    /// The response ended early after a part of it was returned.
    BrokenOff {
        reason: RetryReason,
        /// Code for which no other backend server resumed the response.
        code: Code,
    },
}

impl End {
    fn label(&self) -> &'static str {
        match self {
            Self::Answered { .. } | Self::KeptError { .. } => "answered",
            Self::Refused { .. } => "refused",
            Self::BrokenOff { .. } => "broken_off",
        }
    }

    fn reason(&self) -> &'static str {
        match self {
            Self::Answered { .. } => "complete",
            Self::KeptError { .. } => "kept_error",
            Self::Refused { refusal, .. } => refusal.code.label(),
            Self::BrokenOff { reason, .. } => reason.label(),
        }
    }
}

/// Timing of a stream's events. All zero for a buffered response.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StreamTiming {
    pub(crate) events: u64,
    /// Time from the request's arrival to the first event.
    pub(crate) first: Micros,
    /// Longest time between two consecutive events.
    pub(crate) longest_pause: Micros,
}

/// How far a request has got.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Progress {
    /// Its body is being read.
    Reading,
    /// It waits for a backend server.
    Waiting,
    /// It was sent to a backend server.
    Sent,
    /// A part of the response was returned.
    Answering,
}

impl Progress {
    fn label(self) -> &'static str {
        match self {
            Self::Reading => "reading",
            Self::Waiting => "waiting",
            Self::Sent => "sent",
            Self::Answering => "answering",
        }
    }
}

/// Record of a request from the arrival of its head to its end.
///
/// Dropping the record before an end counts as a cancellation by the caller, unless the host has
/// failed the request by a panic or by its own end.
#[derive(Debug)]
pub(crate) struct RequestRecord {
    clock: Monotonic,
    /// Id set by the caller; empty if it could not be read.
    pub(crate) id: String,
    pub(crate) arrived_at: Instant,
    /// Name of the client account; empty if there is none.
    account: String,
    /// Model and adapter; empty if none is requested or known.
    names: (String, String),
    pub(crate) progress: Progress,
    pub(crate) attempts: u8,
    pub(crate) timing: StreamTiming,
    /// Arrival time of the last part of a stream.
    last_part_at: Instant,
    /// Cancelled when the process ends all open requests.
    aborting: CancellationToken,
    ended: bool,
}

impl RequestRecord {
    pub(crate) fn start(clock: Monotonic, aborting: CancellationToken, id: String) -> Self {
        let now = clock.now();
        Self {
            arrived_at: now,
            last_part_at: now,
            clock,
            id,
            account: String::new(),
            names: Default::default(),
            progress: Progress::Reading,
            attempts: 0,
            timing: StreamTiming::default(),
            aborting,
            ended: false,
        }
    }

    /// Records the client account that the request belongs to.
    pub(crate) fn identified(&mut self, account: &str) {
        account.clone_into(&mut self.account);
    }

    /// Records that the request was received completely.
    pub(crate) fn received(&mut self, target: &Target) {
        self.progress = Progress::Waiting;
        if let Target::Model { model, adapter } = target {
            let adapter = adapter.as_ref().map_or("", AdapterId::as_str);
            self.names = (model.as_str().to_owned(), adapter.to_owned());
        }
    }

    /// Returns the time since the arrival.
    pub(crate) fn elapsed(&self) -> Micros {
        self.clock.now().since(self.arrived_at)
    }

    /// Records that the request is sent to a server.
    pub(crate) fn sent(&mut self) {
        self.attempts = self.attempts.saturating_add(1);
        self.progress = self.progress.max(Progress::Sent);
    }

    /// Records that the attempt has failed, and the request waits for another server.
    pub(crate) fn attempt_failed(&mut self) {
        if self.progress == Progress::Sent {
            self.progress = Progress::Waiting;
        }
    }

    /// Records the arrival of events of a stream.
    pub(crate) fn part(&mut self, events: u64) {
        let now = self.clock.now();
        let timing = &mut self.timing;
        if timing.events == 0 {
            timing.first = now.since(self.arrived_at);
            metrics::histogram!("celerytally_first_event_seconds")
                .record(timing.first.as_secs_f64());
        } else {
            timing.longest_pause = timing.longest_pause.max(now.since(self.last_part_at));
        }
        timing.events += events;
        self.last_part_at = now;
    }

    /// Records that a part of the response with a number of events is returned.
    pub(crate) fn answering(&mut self, events: u64) {
        self.progress = Progress::Answering;
        if events > 0 {
            self.part(events);
        }
    }

    /// Returns the id of the request and the name of its account.
    fn subject(&self) -> (&str, Option<&str>) {
        let account = Some(self.account.as_str()).filter(|name| !name.is_empty());
        (&self.id, account)
    }

    /// Writes the log line of the end and counts it. Later ends are ignored.
    pub(crate) fn end(&mut self, end: &End) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        count(end.label(), end.reason());
        let held = self.elapsed();
        match end {
            End::Answered { backend, status } => {
                metrics::histogram!("celerytally_request_seconds").record(held.as_secs_f64());
                let backend = backend.as_ref().map_or("", BackendId::as_str);
                log::answered(self.subject(), backend, *status, held, self.timing, "");
            }
            End::KeptError {
                backend,
                status,
                code,
            } => {
                let backend = backend.as_str();
                log::answered(
                    self.subject(),
                    backend,
                    *status,
                    held,
                    self.timing,
                    code.label(),
                );
            }
            End::Refused { refusal, status } => {
                log::refused(self.subject(), refusal, *status, held);
            }
            End::BrokenOff { reason, code } => {
                log::broken_off(self.subject(), reason.label(), *code, held, self.timing);
            }
        }
    }
}

impl Drop for RequestRecord {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let held = self.elapsed();
        let failure = if std::thread::panicking() {
            Some("panic")
        } else {
            self.aborting.is_cancelled().then_some("stopped")
        };
        if let Some(reason) = failure {
            count("failed", reason);
            log::failed(&self.id, reason, held);
            return;
        }
        count("cancelled", self.progress.label());
        let names = (self.names.0.as_str(), self.names.1.as_str());
        let progress = self.progress.label();
        log::cancelled(self.subject(), names, self.attempts, progress, held);
    }
}

fn count(end: &'static str, reason: &'static str) {
    counter!(ENDS, "end" => end, "reason" => reason).increment(1);
}
