//! A plain service that counts its runs.

use std::{
    future, io,
    net::SocketAddr,
    path::Path,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::time::sleep;

use crate::{
    backend::{self, AnswerFaults, Faults, Runs},
    http::{self, Answer, Call, Service},
};

#[derive(Clone, Debug, Default, Deserialize, Serialize)]
struct Knobs {
    /// Time that a run takes.
    delay_ms: u64,
    #[serde(flatten)]
    faults: Faults,
}

#[derive(Debug, Default)]
struct State {
    knobs: Knobs,
    in_flight: u32,
    /// Runs by request id and idempotency key.
    runs: Vec<(String, String)>,
}

struct Plain {
    runs: Arc<Runs>,
    state: Arc<Mutex<State>>,
}

/// Runs a plain service until SIGTERM; the run log is appended to a file.
///
/// # Errors
/// When the address can't be bound or the log can't be opened.
pub async fn serve(listen: SocketAddr, log: Option<&Path>) -> io::Result<()> {
    let plain = Plain {
        runs: Arc::new(Runs::open(log)?),
        state: Arc::default(),
    };
    http::serve(plain, listen).await
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Service for Plain {
    async fn call(&self, call: Call) -> Answer {
        if call.segments().first() == Some(&"admin") {
            return self.admin(&call);
        }
        if lock(&self.state).knobs.faults.hang {
            future::pending::<()>().await;
        }
        let id = backend::request_id(&call);
        let (answer, answer_faults) = if call.path == "/load" {
            (self.load(), AnswerFaults::default())
        } else {
            self.run(call).await
        };
        let in_flight = lock(&self.state).in_flight;
        let answer = backend::echo(answer, &id, self.runs.incarnation, (in_flight, 0));
        answer_faults.apply(answer).await
    }
}

impl Plain {
    fn load(&self) -> Answer {
        let state = lock(&self.state);
        let report = json!({
            "incarnation": self.runs.incarnation,
            "leaving": state.knobs.faults.leaving,
            "in_flight": state.in_flight,
        });
        Answer::json(200, report)
    }

    /// Runs a request to its end even when its caller goes away, as a booking would.
    async fn run(&self, call: Call) -> (Answer, AnswerFaults) {
        let (delay, poison, answer_faults) = {
            let mut state = lock(&self.state);
            if state.knobs.faults.leaving {
                return (backend::leaving(), AnswerFaults::default());
            }
            if backend::take(&mut state.knobs.faults.refusals) {
                return (backend::refusal(), AnswerFaults::default());
            }
            state.in_flight += 1;
            let faults = &mut state.knobs.faults;
            let (poison, answer_faults) = (faults.poison.clone(), faults.take_for_answer());
            (state.knobs.delay_ms, poison, answer_faults)
        };
        let (runs, state) = (Arc::clone(&self.runs), Arc::clone(&self.state));
        let ran = tokio::spawn(async move {
            let text = String::from_utf8_lossy(&call.body).into_owned();
            let run = runs.start(&call, &text, &poison);
            sleep(Duration::from_millis(delay)).await;
            run.end();
            let key = call.header("idempotency-key").unwrap_or_default();
            let mut state = lock(&state);
            state.in_flight -= 1;
            state
                .runs
                .push((backend::request_id(&call), key.to_owned()));
            let number = state.runs.len();
            let status = if call.method == "POST" { 201 } else { 200 };
            Answer::json(
                status,
                json!({"number": number, "path": call.path, "key": key, "echo": text}),
            )
        });
        (ran.await.unwrap_or_else(|_e| Answer::cut()), answer_faults)
    }

    fn admin(&self, call: &Call) -> Answer {
        let mut state = lock(&self.state);
        match (call.method.as_str(), call.path.as_str()) {
            ("POST", "/admin/set") => match http::merge(&state.knobs, &call.json()) {
                Some(knobs) => state.knobs = knobs,
                None => return Answer::error(400, "unknown knob"),
            },
            ("GET", "/admin/state") => {
                let runs = &state.runs;
                return Answer::json(200, json!({"runs": runs, "in_flight": state.in_flight}));
            }
            _ => return Answer::error(404, "no such admin call"),
        }
        Answer::json(200, json!({}))
    }
}
