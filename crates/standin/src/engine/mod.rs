//! An engine with the OpenAI interface, orders, and memory accounting.

mod run;
mod state;

use std::{
    future, io,
    net::SocketAddr,
    path::Path,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use futures::{StreamExt, stream};
use serde_json::{Value, json};
use tokio::{
    sync::{Notify, broadcast},
    time::sleep,
};
use types::{Order, Resident};

use self::state::{State, Verdict};
use crate::{
    backend::{self, AnswerFaults, Runs},
    http::{self, Answer, Body, Call, Service},
};

/// Cache events that a reader may fall behind.
const EVENT_BACKLOG: usize = 256;

/// What the handlers and the runs of an engine share.
#[derive(Clone)]
struct Engine {
    runs: Arc<Runs>,
    state: Arc<Mutex<State>>,
    /// Signals that a slot is free.
    freed: Arc<Notify>,
    events: broadcast::Sender<Value>,
}

/// Runs an engine until SIGTERM; the run log is appended to a file.
///
/// # Errors
/// When the address can't be bound, the log can't be opened, or a knob is unknown.
pub async fn serve(listen: SocketAddr, log: Option<&Path>, knobs: &Value) -> io::Result<()> {
    let engine = Engine {
        runs: Arc::new(Runs::open(log)?),
        state: Arc::default(),
        freed: Arc::default(),
        events: broadcast::Sender::new(EVENT_BACKLOG),
    };
    if !engine.set(knobs) {
        return Err(io::Error::other("unknown knob"));
    }
    http::serve(engine, listen).await
}

impl Service for Engine {
    async fn call(&self, call: Call) -> Answer {
        if call.path.starts_with("/admin/") {
            return self.admin(&call);
        }
        if self.lock().knobs.faults.hang {
            future::pending::<()>().await;
        }
        let id = backend::request_id(&call);
        let (answer, answer_faults) = self.dispatch(call).await;
        let load = {
            let state = self.lock();
            let queued = u32::try_from(state.waiting.len()).unwrap_or(u32::MAX);
            (state.in_flight, queued)
        };
        let answer = backend::echo(answer, &id, self.runs.incarnation, load);
        answer_faults.apply(answer).await
    }
}

impl Engine {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set(&self, change: &Value) -> bool {
        let mut state = self.lock();
        let merged = http::merge(&state.knobs, change);
        let known = merged.is_some();
        state.knobs = merged.unwrap_or_else(|| state.knobs.clone());
        known
    }

    async fn dispatch(&self, call: Call) -> (Answer, AnswerFaults) {
        let none = AnswerFaults::default();
        match (call.method.as_str(), call.segments().as_slice()) {
            ("POST", ["v1", "chat", "completions"]) => self.generate(&call, true).await,
            ("POST", ["v1", "completions"]) => self.generate(&call, false).await,
            ("POST", ["v1", "streams", id, "resume"]) => (self.resume(&call, id).await, none),
            ("GET", ["v1", "models"]) => (self.models(), none),
            ("GET", ["load"]) => {
                let report = self.lock().report(self.runs.incarnation);
                (Answer::json(200, json!(report)), none)
            }
            ("GET", ["events"]) => (self.follow_events(), none),
            ("POST", ["orders"]) => (self.order(&call), none),
            _ => (Answer::error(404, "no such path"), none),
        }
    }

    fn models(&self) -> Answer {
        let state = self.lock();
        let entry = |r: &Resident| json!({"id": r.name, "object": "model", "version": r.version});
        let data: Vec<Value> = state.residents.iter().map(entry).collect();
        Answer::json(200, json!({"object": "list", "data": data}))
    }

    fn order(&self, call: &Call) -> Answer {
        let Ok(order) = serde_json::from_slice::<Order>(&call.body) else {
            return Answer::error(400, "no order");
        };
        let mut state = self.lock();
        if backend::take(&mut state.knobs.lost_orders) {
            return Answer::cut();
        }
        if backend::take(&mut state.knobs.late_orders) {
            let late = Duration::from_millis(state.knobs.order_late_ms);
            let engine = self.clone();
            tokio::spawn(async move {
                sleep(late).await;
                drop(engine.carry_out(order));
            });
            return Answer::cut();
        }
        let lose = backend::take(&mut state.knobs.lost_order_answers);
        drop(state);
        let answer = self.carry_out(order);
        if lose { Answer::cut() } else { answer }
    }

    fn carry_out(&self, order: Order) -> Answer {
        let verdict = self.lock().arrive(&order);
        match verdict {
            Verdict::Accepted => Answer::json(202, json!({})),
            Verdict::Fenced(fence) => Answer::json(409, json!({"fence": fence})),
            Verdict::OutOfMemory => Answer::error(507, "not enough memory"),
            Verdict::Start(takes) => {
                let engine = self.clone();
                tokio::spawn(async move {
                    sleep(takes).await;
                    engine.lock().finish(&order);
                });
                Answer::json(202, json!({}))
            }
        }
    }

    fn follow_events(&self) -> Answer {
        let engine = self.clone();
        let rx = self.events.subscribe();
        let events = stream::unfold((rx, engine), |(mut rx, engine)| async move {
            let event = rx.recv().await.ok()?;
            let lag = engine.lock().knobs.event_lag_ms;
            sleep(Duration::from_millis(lag)).await;
            let line = format!("data: {event}\n\n");
            Some((Ok(line.into()), (rx, engine)))
        });
        Answer::new(200, Body::Stream(events.boxed())).with("content-type", "text/event-stream")
    }

    /// Publishes that a prompt's prefix is in the cache, unless a gap is asked for.
    fn publish_prefix(&self, prompt: &str) {
        let mut state = self.lock();
        state.event_seq += 1;
        if backend::take(&mut state.knobs.event_gaps) {
            return;
        }
        let prefix: String = prompt.chars().take(32).collect();
        let hash = blake3::hash(prefix.as_bytes());
        let head = hash.as_bytes().first_chunk().expect("a hash has 32 bytes");
        let prefix = u64::from_le_bytes(*head);
        let event = json!({"seq": state.event_seq, "event": "stored", "prefix": prefix});
        // Without a reader there is no receiver, which is no error.
        drop(self.events.send(event));
    }

    fn admin(&self, call: &Call) -> Answer {
        match (call.method.as_str(), call.path.as_str()) {
            ("POST", "/admin/set") if self.set(&call.json()) => Answer::json(200, json!({})),
            ("PUT", "/admin/residents") => match serde_json::from_slice(&call.body) {
                Ok(residents) => {
                    self.lock().residents = residents;
                    Answer::json(200, json!({}))
                }
                Err(_e) => Answer::error(400, "no residents"),
            },
            ("GET", "/admin/state") => {
                let state = self.lock();
                let used = state.used();
                Answer::json(
                    200,
                    json!({"counts": state.counts, "used": used, "memory": state.knobs.memory,
                        "residents": state.residents, "orders": state.orders,
                        "in_flight": state.in_flight}),
                )
            }
            _ => Answer::error(400, "no such admin call or knob"),
        }
    }
}
