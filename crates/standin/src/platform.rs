//! The platform: object API, host list, and faults.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use futures::{StreamExt, stream};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::{
    sync::watch,
    time::{Instant, sleep},
};

use crate::{
    http::{self, Answer, Body, Call, Service},
    objects::{Objects, Refused},
};

/// Path segments before the kind.
const BASE: [&str; 3] = ["apis", "celerytally.dev", "v1"];

/// Time for which a watch stays open when the caller names none.
const WATCH_SECONDS: u64 = 30;

/// Fault of one call.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
enum Effect {
    /// The call takes effect and the connection is closed without an answer.
    LoseAnswer,
    /// The call has no effect and the connection is closed.
    Cut,
    /// The call has no effect and is answered with 503.
    Unavailable,
    /// The answer to the call is not an object.
    #[serde(rename = "garbage")]
    Malformed,
}

/// Fault of the next calls that match.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Fault {
    effect: Effect,
    /// Kind of object, any when absent.
    #[serde(default)]
    kind: Option<String>,
    /// HTTP method, any when absent.
    #[serde(default)]
    method: Option<String>,
    /// Calls that are still to fail.
    count: u64,
}

#[derive(Clone, Debug, Default, Deserialize, Serialize)]
struct Knobs {
    /// Every call fails without effect and open watches end.
    down: bool,
    /// Delay before each call is handled.
    delay_ms: u64,
    /// Time before the host list shows a change.
    host_lag_ms: u64,
    faults: Vec<Fault>,
}

#[derive(Clone, Debug, Default, Serialize)]
struct Counts {
    reads: u64,
    writes: u64,
    watches: u64,
    open_watches: i64,
    conflicts: u64,
    lost_answers: u64,
}

#[derive(Debug, Default)]
struct State {
    objects: Objects,
    knobs: Knobs,
    counts: Counts,
}

struct Platform {
    token: String,
    state: Arc<Mutex<State>>,
    /// Signals a change of objects or knobs to the watches.
    changed: Arc<watch::Sender<()>>,
}

/// Runs the platform stand-in until SIGTERM.
///
/// # Errors
/// When the address can't be bound.
pub async fn serve(listen: SocketAddr, token: String) -> io::Result<()> {
    let platform = Platform {
        token,
        state: Arc::default(),
        changed: Arc::new(watch::Sender::new(())),
    };
    http::serve(platform, listen).await
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Service for Platform {
    async fn call(&self, call: Call) -> Answer {
        let path = call.path.clone();
        let segments: Vec<&str> = path.split('/').filter(|s| !s.is_empty()).collect();
        match segments.as_slice() {
            ["admin", rest @ ..] => self.admin(&call, rest),
            [base @ .., kind] if base == BASE => self.api(&call, kind, None).await,
            [base @ .., kind, name] if base == BASE => self.api(&call, kind, Some(name)).await,
            _ => Answer::error(404, "no such path"),
        }
    }
}

impl Platform {
    async fn api(&self, call: &Call, kind: &str, name: Option<&str>) -> Answer {
        let delay = lock(&self.state).knobs.delay_ms;
        sleep(Duration::from_millis(delay)).await;
        let effect = lock(&self.state).effect(call, kind);
        match effect {
            Some(Effect::Cut) => return Answer::cut(),
            Some(Effect::Unavailable) => return Answer::error(503, "unavailable"),
            Some(Effect::Malformed) => {
                return Answer::json(200, json!({"metadata": 7, "spec": [1]}));
            }
            Some(Effect::LoseAnswer) | None => {}
        }
        if call.header("authorization") != Some(&format!("Bearer {}", self.token)) {
            return Answer::error(401, "unknown bearer token");
        }
        if call.query("watch") == Some("1") {
            return self.watch(call, kind);
        }
        let answer = self.object(call, kind, name);
        if effect == Some(Effect::LoseAnswer) {
            lock(&self.state).counts.lost_answers += 1;
            return Answer::cut();
        }
        answer
    }

    fn object(&self, call: &Call, kind: &str, name: Option<&str>) -> Answer {
        let mut state = lock(&self.state);
        let wrote = call.method != "GET";
        if wrote {
            state.counts.writes += 1;
        } else {
            state.counts.reads += 1;
        }
        let result = state.object(call, kind, name);
        if result == Err(409) {
            state.counts.conflicts += 1;
        }
        drop(state);
        match result {
            Ok(value) => {
                if wrote {
                    self.changed.send_replace(());
                }
                let created = call.method == "POST";
                Answer::json(if created { 201 } else { 200 }, value)
            }
            Err(status) => Answer::error(status, "refused"),
        }
    }

    fn watch(&self, call: &Call, kind: &str) -> Answer {
        let from = call.query("resourceVersion").and_then(|v| v.parse().ok());
        let mut state = lock(&self.state);
        state.counts.watches += 1;
        let from = match from {
            Some(from) if state.objects.since(kind, from).is_some() => from,
            _ => return Answer::error(410, "resource version too old"),
        };
        let open = OpenWatch::new(&mut state, Arc::clone(&self.state));
        drop(state);
        let seconds = call.query("timeoutSeconds").and_then(|s| s.parse().ok());
        let follow = Follow {
            until: Instant::now() + Duration::from_secs(seconds.unwrap_or(WATCH_SECONDS)),
            changed: self.changed.subscribe(),
            kind: kind.to_owned(),
            from,
            open,
        };
        let lines = stream::unfold(follow, |mut follow| async move {
            let lines = follow.next().await?;
            Some((Ok(Bytes::from(lines)), follow))
        });
        Answer::new(200, Body::Stream(lines.boxed())).with("content-type", "application/json")
    }

    fn admin(&self, call: &Call, rest: &[&str]) -> Answer {
        let mut state = lock(&self.state);
        match (call.method.as_str(), rest) {
            ("POST", ["set"]) => match http::merge(&state.knobs, &call.json()) {
                Some(knobs) => state.knobs = knobs,
                None => return Answer::error(400, "unknown knob"),
            },
            ("POST", ["compact"]) => state.objects.compact(),
            ("POST", ["hosts", name]) => self.set_host(&state, name, Some(call.json())),
            ("DELETE", ["hosts", name]) => self.set_host(&state, name, None),
            ("PUT", ["objects", kind, name]) => {
                drop(state.objects.put(kind, name, call.json()));
            }
            ("GET", ["objects", kind]) => return Answer::json(200, state.objects.list(kind)),
            ("GET", ["state"]) => {
                return Answer::json(200, json!({"counts": state.counts, "knobs": state.knobs}));
            }
            _ => return Answer::error(404, "no such admin call"),
        }
        drop(state);
        self.changed.send_replace(());
        Answer::json(200, json!({}))
    }

    /// Changes the host list after its lag; an absent value removes the host.
    fn set_host(&self, now: &State, name: &str, spec: Option<Value>) {
        let lag = Duration::from_millis(now.knobs.host_lag_ms);
        let (state, changed) = (Arc::clone(&self.state), Arc::clone(&self.changed));
        let name = name.to_owned();
        tokio::spawn(async move {
            sleep(lag).await;
            let mut state = lock(&state);
            drop(match spec {
                Some(spec) => state.objects.put("hosts", &name, spec),
                None => state.objects.delete("hosts", &name, None),
            });
            drop(state);
            changed.send_replace(());
        });
    }
}

impl State {
    fn effect(&mut self, call: &Call, kind: &str) -> Option<Effect> {
        if self.knobs.down {
            return Some(Effect::Cut);
        }
        let matches = |want: &Option<String>, found: &str| want.as_ref().is_none_or(|w| w == found);
        let fault = self.knobs.faults.iter_mut().find(|fault| {
            fault.count > 0 && matches(&fault.kind, kind) && matches(&fault.method, &call.method)
        })?;
        fault.count -= 1;
        Some(fault.effect)
    }

    fn object(&mut self, call: &Call, kind: &str, name: Option<&str>) -> Result<Value, Refused> {
        let mut body = call.json();
        let metadata = body["metadata"].take();
        let text = |key: &str| metadata[key].as_str().unwrap_or_default();
        let spec = body["spec"].take();
        match (call.method.as_str(), name) {
            ("GET", None) => Ok(self.objects.list(kind)),
            ("GET", Some(name)) => self.objects.get(kind, name),
            ("POST", None) => self.objects.create(kind, text("name"), spec),
            ("PUT", Some(name)) => self
                .objects
                .update(kind, name, text("resourceVersion"), spec),
            ("DELETE", Some(name)) => {
                let version = call.query("resourceVersion").unwrap_or_default();
                self.objects.delete(kind, name, Some(version))
            }
            _ => Err(405),
        }
    }
}

/// Counts a watch as open until it is dropped.
struct OpenWatch(Arc<Mutex<State>>);

impl OpenWatch {
    fn new(now: &mut State, state: Arc<Mutex<State>>) -> Self {
        now.counts.open_watches += 1;
        Self(state)
    }
}

impl Drop for OpenWatch {
    fn drop(&mut self) {
        lock(&self.0).counts.open_watches -= 1;
    }
}

struct Follow {
    open: OpenWatch,
    changed: watch::Receiver<()>,
    kind: String,
    from: u64,
    until: Instant,
}

impl Follow {
    /// Waits for changes and returns their lines; nothing when the watch ends.
    async fn next(&mut self) -> Option<String> {
        loop {
            self.changed.mark_unchanged();
            let (changes, upto) = {
                let state = lock(&self.open.0);
                let up = !state.knobs.down;
                up.then(|| state.objects.since(&self.kind, self.from))??
            };
            self.from = upto;
            if !changes.is_empty() {
                let lines = changes.iter().map(|change| format!("{}\n", change.line));
                return Some(lines.collect());
            }
            tokio::select! {
                woken = self.changed.changed() => woken.ok()?,
                () = tokio::time::sleep_until(self.until) => return None,
            }
        }
    }
}
