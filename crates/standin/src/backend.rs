//! Parts that engines and plain services share: run log, faults, headers.

use std::{
    fs::{File, OpenOptions},
    io::{self, Write},
    path::Path,
    process,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use futures::{StreamExt, stream};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::http::{Answer, Body, Call};

/// Line of the run log, which outlives a crash of the process.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct RunLine {
    /// `start`, `end`, `cancel` or `crash`.
    pub event: String,
    /// Request id that the caller of the backend server sent.
    pub request_id: String,
    /// Idempotency key, empty when there is none.
    pub key: String,
    /// Method and path.
    pub call: String,
    /// Text of the request: the prompt of an engine or the body of a plain service.
    pub text: String,
    /// Incarnation of the server process.
    pub incarnation: u64,
}

/// Faults that engines and plain services share.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub(crate) struct Faults {
    /// Text whose presence in a request makes the process abort.
    pub(crate) poison: String,
    /// Answers that carry another request id.
    pub(crate) wrong_ids: u64,
    /// Answers that end early.
    pub(crate) truncated: u64,
    /// Runs whose connection is closed instead of an answer.
    pub(crate) cuts: u64,
    /// Answers that come late, and by how much.
    pub(crate) late: u64,
    pub(crate) late_ms: u64,
    /// Requests that are refused with 503 before they run.
    pub(crate) refusals: u64,
    /// The server answers nothing at all.
    pub(crate) hang: bool,
    /// The server takes no new work.
    pub(crate) leaving: bool,
}

/// Decrements a number of faults and returns whether it was above zero.
pub(crate) fn take(count: &mut u64) -> bool {
    let some = *count > 0;
    *count = count.saturating_sub(1);
    some
}

/// Log of runs and the incarnation of the process.
#[derive(Debug)]
pub(crate) struct Runs {
    pub(crate) incarnation: u64,
    file: Option<Mutex<File>>,
}

impl Runs {
    pub(crate) fn open(path: Option<&Path>) -> io::Result<Self> {
        let file = path.map(|path| OpenOptions::new().create(true).append(true).open(path));
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let incarnation = now.unwrap_or_default().as_micros();
        Ok(Self {
            incarnation: u64::try_from(incarnation).unwrap_or_default(),
            file: file.transpose()?.map(Mutex::new),
        })
    }

    fn write(&self, line: &RunLine) {
        let Some(file) = &self.file else { return };
        let text = serde_json::to_string(line).expect("a run line is valid JSON");
        let mut file = file.lock().unwrap_or_else(PoisonError::into_inner);
        writeln!(file, "{text}").expect("the run log can be written");
    }

    /// Records the start of a run, and aborts the process when its text is poison.
    pub(crate) fn start(self: &Arc<Self>, call: &Call, text: &str, poison: &str) -> Run {
        let line = RunLine {
            event: "start".to_owned(),
            request_id: request_id(call),
            key: call
                .header("idempotency-key")
                .unwrap_or_default()
                .to_owned(),
            call: format!("{} {}", call.method, call.path),
            text: text.to_owned(),
            incarnation: self.incarnation,
        };
        self.write(&line);
        let mut run = Run {
            runs: Arc::clone(self),
            line,
            ended: false,
        };
        if !poison.is_empty() && text.contains(poison) {
            run.record("crash");
            process::abort();
        }
        run
    }
}

/// Run of a request; dropping it before its end records a cancellation.
pub(crate) struct Run {
    runs: Arc<Runs>,
    line: RunLine,
    ended: bool,
}

impl Run {
    fn record(&mut self, event: &str) {
        event.clone_into(&mut self.line.event);
        self.runs.write(&self.line);
        self.ended = true;
    }

    pub(crate) fn end(mut self) {
        self.record("end");
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        if !self.ended {
            self.record("cancel");
        }
    }
}

pub(crate) fn request_id(call: &Call) -> String {
    call.header("x-request-id").unwrap_or_default().to_owned()
}

/// Adds the headers that every answer of a backend server carries.
pub(crate) fn echo(answer: Answer, id: &str, incarnation: u64, load: (u32, u32)) -> Answer {
    let (in_flight, queued) = load;
    answer
        .with("x-request-id", id)
        .with("x-incarnation", incarnation.to_string())
        .with("x-load", format!("in_flight={in_flight};queued={queued}"))
}

/// Refusal of a server that takes no new work.
pub(crate) fn leaving() -> Answer {
    Answer::error(503, "leaving").with("x-leaving", "1")
}

/// Refusal of one request before it runs.
pub(crate) fn refusal() -> Answer {
    Answer::error(503, "refused before the run")
}

/// Faults of one answer.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AnswerFaults {
    wrong_id: bool,
    truncate: bool,
    cut: bool,
    late: Duration,
}

impl Faults {
    /// Takes the faults that apply to the next answer.
    pub(crate) fn take_for_answer(&mut self) -> AnswerFaults {
        let late_ms = if take(&mut self.late) {
            self.late_ms
        } else {
            0
        };
        AnswerFaults {
            wrong_id: take(&mut self.wrong_ids),
            truncate: take(&mut self.truncated),
            cut: take(&mut self.cuts),
            late: Duration::from_millis(late_ms),
        }
    }
}

impl AnswerFaults {
    /// Applies the faults to a finished answer.
    pub(crate) async fn apply(self, mut answer: Answer) -> Answer {
        sleep(self.late).await;
        if self.cut {
            return Answer::cut();
        }
        if self.wrong_id {
            let other = "0123456789abcdef0123456789abcdef";
            answer.headers.retain(|(name, _)| *name != "x-request-id");
            answer = answer.with("x-request-id", other);
        }
        if self.truncate {
            answer = truncate(answer);
        }
        answer
    }
}

/// Ends the body early: half of a plain answer, or two events of a stream.
fn truncate(answer: Answer) -> Answer {
    let broken = || Err(io::Error::other("truncated by a fault"));
    let (length, head) = match answer.body {
        Body::Json(value) => {
            let text = value.to_string();
            let half = Bytes::from(text[..text.len() / 2].to_owned());
            (Some(text.len()), stream::iter([Ok(half)]).boxed())
        }
        Body::Stream(body) => (None, body.take(2).boxed()),
        Body::Cut => return answer,
    };
    let body = Body::Stream(head.chain(stream::iter([broken()])).boxed());
    let mut cut = Answer::new(answer.status, body);
    cut.headers = answer.headers;
    match length {
        Some(length) => cut
            .with("content-type", "application/json")
            .with("content-length", length.to_string()),
        None => cut,
    }
}
