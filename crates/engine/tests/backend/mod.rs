//! A backend server that behaves and misbehaves on demand.

#![expect(dead_code, reason = "each test file uses a part")]

use std::{
    collections::VecDeque,
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use futures::{StreamExt, stream};
use salvo::{
    Depot, FlowCtrl, Handler, Request, Response, Router, Server, async_trait,
    conn::tcp::TcpAcceptor,
    http::{ResBody, StatusCode},
    server::ServerHandle,
};
use serde_json::json;
use tokio::net::TcpListener;

/// Event stream with every kind of line end.
pub const MIXED: &str =
    "data: 0\r\n\r\n: note\n\ndata: 1\r\rid: 7\ndata: 2\n\ndata: [DONE]\r\n\r\n";

/// What the server does with one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Act {
    /// Answers with a complete body.
    Complete,
    /// Sends this many events, then the closing event.
    Events(u64),
    /// Sends this many events, then ends the framing without the closing event.
    EndEarly(u64),
    /// Sends this many events, then breaks the connection.
    Break(u64),
    /// Sends [`MIXED`] in parts of this many bytes.
    Parts(usize),
    /// Sends one event and then nothing.
    Stall,
    /// Sends half of the announced body.
    Truncate,
    /// Breaks the connection instead of a response.
    Cut,
    /// Restarts instead of a response.
    Crash,
    /// Echoes the id of another request.
    WrongId,
    /// Answers with a status.
    Status(u16),
    /// Refuses because it is leaving.
    Leave,
    /// Answers with six megabytes, or breaks the connection after five.
    Large { complete: bool },
    /// Never answers.
    Hang,
    /// Answers completely after 100 ms.
    Slow,
}

/// Request as the server saw it.
#[derive(Clone, Debug)]
pub struct Seen {
    pub path: String,
    pub headers: salvo::http::HeaderMap,
    pub body: Bytes,
    pub peer: String,
}

#[derive(Debug, Default)]
pub struct State {
    acts: Mutex<VecDeque<Act>>,
    pub seen: Mutex<Vec<Seen>>,
    pub incarnation: AtomicU64,
    /// Responses that were dropped before their end.
    pub dropped: Arc<AtomicUsize>,
}

/// Running server.
pub struct Backend {
    pub addr: SocketAddr,
    pub state: Arc<State>,
    handle: ServerHandle,
}

impl Backend {
    /// Starts a server that acts as listed and completes what follows.
    pub async fn start(acts: impl IntoIterator<Item = Act>) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let addr = listener.local_addr().unwrap();
        let state = Arc::new(State::default());
        state.incarnation.store(1, Ordering::SeqCst);
        state.acts.lock().unwrap().extend(acts);
        let server = Server::new(TcpAcceptor::try_from(listener).unwrap());
        let handle = server.handle();
        let route = Router::with_path("{**path}").goal(Entry(Arc::clone(&state)));
        tokio::spawn(server.try_serve(Router::new().push(route)));
        Self {
            addr,
            state,
            handle,
        }
    }

    pub fn server(&self, id: &str) -> engine::Server {
        engine::Server {
            id: id.parse().unwrap(),
            addr: self.addr,
        }
    }

    /// Returns the requests that were seen, load reports aside.
    pub fn seen(&self) -> Vec<Seen> {
        self.state.seen.lock().unwrap().clone()
    }

    pub fn stop(&self) {
        self.handle.stop_forceful();
    }
}

struct Entry(Arc<State>);

#[async_trait]
impl Handler for Entry {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let life = self.0.incarnation.load(Ordering::SeqCst);
        if req.uri().path() == "/load" {
            let report = json!({"incarnation": life, "in_flight": 0}).to_string();
            res.body = ResBody::Once(report.into());
            return;
        }
        if req.uri().path() == "/events" {
            let event = |seq| {
                let event = json!({"seq": seq, "op": "stored", "model": "m", "prefix": "1f"});
                Ok::<_, io::Error>(format!("data: {event}\n\n"))
            };
            res.body = ResBody::stream(stream::iter([7, 8, 10].map(event)));
            return;
        }
        let path = req.uri().path_and_query().unwrap().to_string();
        let body = req.payload().await.cloned().unwrap_or_default();
        let (headers, peer) = (req.headers().clone(), req.remote_addr().to_string());
        let id = headers["x-request-id"].clone();
        self.0.seen.lock().unwrap().push(Seen {
            path,
            headers,
            body,
            peer,
        });
        let act = self.0.acts.lock().unwrap().pop_front();
        res.headers.insert("x-request-id", id);
        res.headers.insert("x-incarnation", life.into());
        res.headers
            .insert("x-load", "in_flight=3;queued=1".parse().unwrap());
        self.act(act.unwrap_or(Act::Complete), req, res).await;
    }
}

impl Entry {
    async fn act(&self, act: Act, req: &Request, res: &mut Response) {
        let from: u64 = req.query("from").unwrap_or(0);
        match act {
            Act::Complete => res.body = ResBody::Once(r#"{"ok":true}"#.into()),
            Act::Events(n) => events(res, from..n, Some(Ok("data: [DONE]\n\n"))),
            Act::EndEarly(n) => events(res, from..n, None),
            Act::Break(n) => events(res, from..n, Some(Err(io::Error::other("break")))),
            Act::Stall => {
                res.headers
                    .insert("content-type", "text/event-stream".parse().unwrap());
                let guard = Dropped(Arc::clone(&self.0.dropped));
                let first = stream::iter([Ok::<_, io::Error>("data: 0\n\n")]);
                let body = first.chain(stream::pending()).map(move |part| {
                    let _held = &guard;
                    part
                });
                res.body = ResBody::stream(body);
            }
            Act::Parts(n) => {
                let event = "text/event-stream".parse().unwrap();
                res.headers.insert("content-type", event);
                let parts = stream::iter(MIXED.as_bytes().chunks(n)).then(|part| async move {
                    tokio::task::yield_now().await;
                    Ok::<_, io::Error>(part)
                });
                res.body = ResBody::stream(parts);
            }
            Act::Truncate => {
                res.headers.insert("content-length", 100.into());
                let half = stream::iter([Ok("half")]);
                res.body = ResBody::stream(half.chain(stream::once(broken())));
            }
            Act::Cut => panic!("the connection is cut on purpose"),
            Act::Crash => {
                self.0.incarnation.fetch_add(1, Ordering::SeqCst);
                panic!("the server crashes on purpose");
            }
            Act::WrongId => {
                let other = "00000000000000000000000000000bad".parse().unwrap();
                res.headers.insert("x-request-id", other);
                res.body = ResBody::Once("for another".into());
            }
            Act::Status(status) => {
                res.status_code(StatusCode::from_u16(status).unwrap());
                res.body = ResBody::Once("status".into());
            }
            Act::Leave => {
                res.status_code(StatusCode::SERVICE_UNAVAILABLE);
                res.headers.insert("x-leaving", 1.into());
                res.body = ResBody::Once("leaving".into());
            }
            Act::Large { complete } => {
                res.headers.insert("content-length", (6 << 20).into());
                let part = || Ok(Bytes::from(vec![b'x'; 1 << 20]));
                let parts = stream::iter((0..5).map(move |_| part()));
                let last =
                    stream::once(async move { if complete { part() } else { broken().await } });
                res.body = ResBody::stream(parts.chain(last));
            }
            Act::Slow => {
                tokio::time::sleep(Duration::from_millis(100)).await;
                res.body = ResBody::Once(r#"{"ok":true}"#.into());
            }
            Act::Hang => tokio::time::sleep(Duration::from_hours(1)).await,
        }
    }
}

fn events(res: &mut Response, events: std::ops::Range<u64>, end: Option<io::Result<&'static str>>) {
    let event = "text/event-stream".parse().unwrap();
    res.headers.insert("content-type", event);
    let events = stream::iter(events.map(|n| Ok(format!("data: {n}\n\n"))));
    let end = stream::iter(end).then(|end| async move {
        match end {
            Ok(end) => Ok(end.to_owned()),
            Err(_) => broken().await,
        }
    });
    res.body = ResBody::stream(events.chain(end));
}

/// Breaks off once the server has sent what comes before.
async fn broken<T>() -> io::Result<T> {
    tokio::task::yield_now().await;
    Err(io::Error::other("break"))
}

struct Dropped(Arc<AtomicUsize>);

impl Drop for Dropped {
    fn drop(&mut self) {
        self.0.fetch_add(1, Ordering::SeqCst);
    }
}
