//! The HTTP server that the stand-ins share.

use std::{io, net::SocketAddr, panic, sync::Arc};

use bytes::Bytes;
use futures::stream::BoxStream;
use salvo::{
    Depot, FlowCtrl, Handler, Request, Response, Router, Server, async_trait,
    conn::tcp::TcpAcceptor, http::StatusCode,
};
use serde::{Serialize, de::DeserializeOwned};
use serde_json::{Value, json};
use tokio::{net::TcpListener, signal::unix};

/// Bounds the memory that one request takes.
const MAX_BODY: usize = 8 << 20;

/// Request as a stand-in sees it.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) method: String,
    pub(crate) path: String,
    query: Vec<(String, String)>,
    headers: salvo::http::HeaderMap,
    pub(crate) body: Bytes,
}

impl Call {
    pub(crate) fn segments(&self) -> Vec<&str> {
        self.path.split('/').filter(|s| !s.is_empty()).collect()
    }

    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    pub(crate) fn query(&self, name: &str) -> Option<&str> {
        let found = self.query.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    pub(crate) fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

/// Body of an answer.
pub(crate) enum Body {
    Json(Value),
    Stream(BoxStream<'static, io::Result<Bytes>>),
    /// The connection is closed without an answer.
    Cut,
}

/// Answer of a stand-in.
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) headers: Vec<(&'static str, String)>,
    pub(crate) body: Body,
}

impl Answer {
    pub(crate) fn new(status: u16, body: Body) -> Self {
        Self {
            status,
            headers: Vec::new(),
            body,
        }
    }

    pub(crate) fn json(status: u16, value: Value) -> Self {
        Self::new(status, Body::Json(value))
    }

    pub(crate) fn error(status: u16, message: &str) -> Self {
        Self::json(status, json!({"error": {"message": message}}))
    }

    pub(crate) fn cut() -> Self {
        Self::new(500, Body::Cut)
    }

    pub(crate) fn with(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }
}

/// Stand-in that answers HTTP requests.
pub(crate) trait Service: Send + Sync + 'static {
    fn call(&self, call: Call) -> impl Future<Output = Answer> + Send;
}

/// Changes the named fields of a set of knobs and leaves the others.
pub(crate) fn merge<T: Serialize + DeserializeOwned>(knobs: &T, change: &Value) -> Option<T> {
    let mut all = serde_json::to_value(knobs).ok()?;
    for (key, value) in change.as_object()? {
        // An unknown name is a fault of the test.
        *all.get_mut(key)? = value.clone();
    }
    serde_json::from_value(all).ok()
}

struct Adapted<S>(Arc<S>);

#[async_trait]
impl<S: Service> Handler for Adapted<S> {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let body = match req.payload_with_max_size(MAX_BODY).await {
            Ok(body) => body.clone(),
            Err(_e) => Bytes::new(),
        };
        let query = req.queries().iter();
        let call = Call {
            method: req.method().to_string(),
            path: req.uri().path().to_owned(),
            query: query.map(|(k, v)| (k.clone(), v.clone())).collect(),
            headers: req.headers().clone(),
            body,
        };
        write(res, self.0.call(call).await);
    }
}

fn write(res: &mut Response, answer: Answer) {
    res.status_code(StatusCode::from_u16(answer.status).unwrap_or_default());
    for (name, value) in answer.headers {
        if let Ok(value) = value.parse::<salvo::http::HeaderValue>() {
            res.headers_mut().insert(name, value);
        }
    }
    match answer.body {
        Body::Json(value) => res.render(salvo::writing::Json(value)),
        Body::Stream(stream) => res.stream(stream),
        // Unwinding ends the task of the connection, which closes it; no hook prints a message.
        Body::Cut => panic::resume_unwind(Box::new("connection cut by a fault")),
    }
}

/// Binds, prints `listening ADDR`, and serves until SIGTERM.
pub(crate) async fn serve<S: Service>(service: S, listen: SocketAddr) -> io::Result<()> {
    let listener = TcpListener::bind(listen).await?;
    println!("listening {}", listener.local_addr()?);
    serve_on(service, listener).await
}

/// Serves on a bound listener until SIGTERM.
pub(crate) async fn serve_on<S: Service>(service: S, listener: TcpListener) -> io::Result<()> {
    let router = Router::with_path("{**rest}").goal(Adapted(Arc::new(service)));
    let server = Server::new(TcpAcceptor::try_from(listener)?);
    let mut stop = unix::signal(unix::SignalKind::terminate())?;
    tokio::select! {
        end = server.try_serve(router) => end,
        _ = stop.recv() => Ok(()),
    }
}
