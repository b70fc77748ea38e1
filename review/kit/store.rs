//! Stand-in of the platform's store: objects with revisions, conditional writes and watches.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    json,
    net::{Conn, Message, response},
};

/// Interval of the workers' heartbeats; an entry is removed after three of them without one.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);
const PATH: &str = "/celerytally/objects/";
const PAGE: usize = 500;

#[derive(Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: String,
    seen: Instant,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    /// Revision, kind and text of each event.
    history: Vec<(u64, String, String)>,
}

#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

fn object_text(name: &str, object: &Object) -> String {
    format!(
        r#"{{"metadata":{{"name":"{name}","revision":{},"create_rev":{},"finalizers":[],"deleting":false}},"spec":{},"status":null}}"#,
        object.revision, object.created, object.spec
    )
}

impl State {
    fn set(&mut self, kind: &str, name: &str, spec: &str) -> String {
        let key = (kind.to_owned(), name.to_owned());
        let same = |a: &str| match kind {
            // A heartbeat alone is no change of an entry.
            "servers" => json::without(a, "sequence") == json::without(spec, "sequence"),
            _ => a == spec,
        };
        if let Some(object) = self.objects.get_mut(&key)
            && same(&object.spec)
        {
            object.seen = Instant::now();
            return object_text(name, object);
        }
        self.revision += 1;
        let revision = self.revision;
        let created = self.objects.get(&key).map_or(revision, |o| o.created);
        let object = Object {
            revision,
            created,
            spec: spec.to_owned(),
            seen: Instant::now(),
        };
        let text = object_text(name, &object);
        self.objects.insert(key, object);
        let event = format!(r#"{{"removed":false,"object":{text}}}"#);
        self.history.push((revision, kind.to_owned(), event));
        text
    }

    fn remove(&mut self, kind: &str, name: &str) {
        let Some(object) = self.objects.remove(&(kind.to_owned(), name.to_owned())) else {
            return;
        };
        self.revision += 1;
        let event = format!(
            r#"{{"removed":true,"object":{}}}"#,
            object_text(name, &object)
        );
        self.history.push((self.revision, kind.to_owned(), event));
    }
}

impl Store {
    pub fn serve(listener: TcpListener) -> Self {
        let store = Self::default();
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || {
                    let mut conn = Conn::new(stream);
                    while let Ok(Some(request)) = conn.read_request() {
                        if conn.send(&store.answer(&request)).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(100));
                expiring.remove_silent_servers();
            }
        });
        store
    }

    fn remove_silent_servers(&self) {
        let mut state = self.0.0.lock().unwrap();
        let silent = state
            .objects
            .iter()
            .filter(|((k, _), o)| k == "servers" && o.seen.elapsed() > 3 * HEARTBEAT);
        let silent: Vec<String> = silent.map(|((_, n), _)| n.clone()).collect();
        for name in silent {
            state.remove("servers", &name);
        }
        self.0.1.notify_all();
    }

    /// Writes an object as the operator does.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.0.0.lock().unwrap().set(kind, name, spec);
        self.0.1.notify_all();
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        let (path, query) = request
            .target()
            .split_once('?')
            .unwrap_or((request.target(), ""));
        let param = |name: &str| {
            let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
            pairs.find(|(n, _)| *n == name).map(|(_, v)| v.to_owned())
        };
        let (kind, name) = path
            .trim_start_matches(PATH)
            .split_once('/')
            .unwrap_or((path.trim_start_matches(PATH), ""));
        if let Some(since) = param("watch").and_then(|v| v.parse().ok()) {
            let wait = param("wait_ms").and_then(|v| v.parse().ok()).unwrap_or(0);
            return self.watch(kind, since, Duration::from_millis(wait));
        }
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let metadata = json::field(&body, "metadata").unwrap_or("{}");
        let expected =
            json::number(metadata, "revision").or(param("revision").and_then(|v| v.parse().ok()));
        let spec = json::field(&body, "spec").unwrap_or("null");
        let json_type = "Content-Type: application/json\r\n";
        let mut state = self.0.0.lock().unwrap();
        let found = state
            .objects
            .get(&(kind.to_owned(), name.to_owned()))
            .cloned();
        let (status, text) = match (request.method(), found) {
            ("GET", None) if name.is_empty() => (
                200,
                Self::list(&state, kind, &param("after").unwrap_or_default()),
            ),
            ("POST", None) => {
                let name = json::text(metadata, "name").unwrap_or("");
                match state.objects.get(&(kind.to_owned(), name.to_owned())) {
                    Some(object) => (409, object_text(name, object)),
                    None => (200, state.set(kind, name, spec)),
                }
            }
            (_, None) => (404, "{}".to_owned()),
            ("GET", Some(object)) => (200, object_text(name, &object)),
            (_, Some(object)) if expected.is_some_and(|e| e != object.revision) => {
                (409, object_text(name, &object))
            }
            ("PUT", Some(_)) => (200, state.set(kind, name, spec)),
            ("DELETE", Some(_)) => {
                state.remove(kind, name);
                (200, "{}".to_owned())
            }
            _ => (405, "{}".to_owned()),
        };
        self.0.1.notify_all();
        response(status, json_type, &text)
    }

    fn list(state: &State, kind: &str, after: &str) -> String {
        let of_kind = state
            .objects
            .iter()
            .filter(|((k, n), _)| k == kind && n.as_str() > after);
        let mut all: Vec<String> = of_kind.map(|((_, n), o)| object_text(n, o)).collect();
        let more = all.len() > PAGE;
        all.truncate(PAGE);
        format!(
            r#"{{"items":[{}],"more":{more},"current_rev":{}}}"#,
            all.join(","),
            state.revision
        )
    }

    fn watch(&self, kind: &str, since: u64, wait: Duration) -> Vec<u8> {
        let until = Instant::now() + wait;
        let mut state = self.0.0.lock().unwrap();
        loop {
            let new = state
                .history
                .iter()
                .filter(|(at, k, _)| *at > since && k == kind);
            let new: Vec<&str> = new.map(|(_, _, event)| event.as_str()).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !new.is_empty() || left.is_zero() {
                let text = format!(
                    r#"{{"events":[{}],"current_rev":{}}}"#,
                    new.join(","),
                    state.revision
                );
                return response(200, "Content-Type: application/json\r\n", &text);
            }
            state = self.0.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

/// Writes an object through the store's interface, as a worker does; returns the status.
pub fn put_remote(store: SocketAddr, kind: &str, name: &str, spec: &str) -> u16 {
    let body = format!(r#"{{"metadata":{{"name":"{name}"}},"spec":{spec}}}"#);
    let headers = "Host: store\r\nContent-Type: application/json\r\nConnection: close\r\n";
    let limit = Duration::from_secs(2);
    let path = format!("{PATH}{kind}/{name}");
    let status = crate::net::call(
        store,
        &crate::net::request("PUT", &path, headers, &body),
        limit,
    )
    .status;
    if status != 404 {
        return status;
    }
    let path = format!("{PATH}{kind}");
    crate::net::call(
        store,
        &crate::net::request("POST", &path, headers, &body),
        limit,
    )
    .status
}
