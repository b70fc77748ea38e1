//! RPC service between entry hosts, with its connection pool and server.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    pin::pin,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use config::Secret;
use futures::StreamExt;
use tarpc::{
    client, context, serde_transport,
    server::{BaseChannel, Channel},
    tokio_serde::formats::Bincode,
};
use tokio::{
    net::{TcpListener, TcpStream},
    time::{timeout, timeout_at},
};
use tokio_util::{codec::LengthDelimitedCodec, sync::CancellationToken};
use transfer::transfer_time;

use crate::{
    counting::CountingStream,
    message::{Reply, Request},
    request_error::{FailureReason, RequestError},
    traffic::{Counts, reply_size, request_size},
};

/// Maximum size of a message in bytes; a full configuration of design size takes less than 1 MB.
const MAX_FRAME: usize = 4 << 20;

/// Maximum number of open connections to peers; above it, the oldest is closed.
const MAX_CONNECTIONS: usize = 64;

/// Maximum time by which arriving bytes extend the timeout of a request.
const MAX_EXTENSION: Duration = Duration::from_secs(5);

/// Timeout of a connection attempt, including authentication.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout of the first call on a connection, so that idle clients do not hold connections open.
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);

#[tarpc::service]
pub(crate) trait Wire {
    /// Authenticates the connection; must be the first call.
    async fn hello(token: String) -> bool;
    /// Sends a request to the peer.
    async fn ask(req: Request) -> Reply;
}

/// Handler of requests of authenticated peers.
pub(crate) trait RequestHandler: Clone + Send + Sync + 'static {
    /// Returns the reply to a request.
    fn handle(&self, req: Request) -> impl Future<Output = Reply> + Send;
}

/// Open connection to a peer.
#[derive(Clone, Debug)]
struct OpenConnection {
    addr: SocketAddr,
    client: WireClient,
    /// Number of bytes received so far.
    received: Arc<AtomicU64>,
}

impl OpenConnection {
    /// Waits for a reply until a timeout, which each byte received on the connection extends.
    async fn await_reply<T>(
        &self,
        reply: impl Future<Output = T>,
        received_before: u64,
        limit: Duration,
    ) -> Option<T> {
        let mut reply = pin!(reply);
        let started_at = tokio::time::Instant::now();
        let mut extension = Duration::ZERO;
        loop {
            let waited = timeout_at(started_at + limit + extension, &mut reply).await;
            if let Ok(reply) = waited {
                return Some(reply);
            }
            let received = self.received.load(Ordering::Relaxed) - received_before;
            let extended = transfer_time(received).min(MAX_EXTENSION);
            if extended <= extension {
                return None;
            }
            extension = extended;
        }
    }
}

/// Pool of connections to peers, which are opened on demand.
#[derive(Debug)]
pub(crate) struct ClientPool {
    token: Secret,
    counts: Arc<Counts>,
    /// Open connections, oldest first.
    open: Mutex<VecDeque<OpenConnection>>,
}

impl ClientPool {
    pub(crate) fn new(token: Secret, counts: Arc<Counts>) -> Self {
        Self {
            token,
            counts,
            open: Mutex::default(),
        }
    }

    /// Sends a request to a peer.
    ///
    /// The bytes that arrive on the connection extend the timeout, so that a large reply on a slow
    /// link arrives.
    ///
    /// # Errors
    /// Fails without a reply within the timeout.
    pub(crate) async fn request(
        &self,
        addr: SocketAddr,
        req: Request,
        limit: Duration,
    ) -> Result<Reply, RequestError> {
        let kind = req.kind();
        let connection = self.connect(addr, limit).await;
        let connection = connection.ok_or(RequestError::NOT_CONNECTED)?;
        let received_before = connection.received.load(Ordering::Relaxed);
        let mut cx = context::current();
        cx.deadline = Instant::now() + limit + MAX_EXTENSION;
        self.counts.sent(kind, request_size(&req));
        let ask = connection.client.ask(cx, req);
        let reason = match connection.await_reply(ask, received_before, limit).await {
            Some(Ok(Reply::Denied)) => FailureReason::Denied,
            Some(Ok(reply)) => {
                self.counts.received(kind, reply_size(&reply));
                return Ok(reply);
            }
            Some(Err(client::RpcError::DeadlineExceeded)) | None => FailureReason::Timeout,
            Some(Err(_)) => FailureReason::ConnectionLost,
        };
        self.close(addr);
        let received = connection.received.load(Ordering::Relaxed) - received_before;
        Err(RequestError { reason, received })
    }

    async fn connect(&self, addr: SocketAddr, limit: Duration) -> Option<OpenConnection> {
        if let Some(connection) = self.cached(addr) {
            return Some(connection);
        }
        let connection = timeout(limit.min(CONNECT_TIMEOUT), self.open(addr)).await;
        let connection = connection.ok().flatten()?;
        let mut open = self.lock();
        open.retain(|c| c.addr != addr);
        open.push_back(connection.clone());
        if open.len() > MAX_CONNECTIONS {
            open.pop_front();
        }
        Some(connection)
    }

    async fn open(&self, addr: SocketAddr) -> Option<OpenConnection> {
        let stream = TcpStream::connect(addr).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let received = Arc::default();
        let stream = CountingStream::new(stream, Arc::clone(&received));
        let transport = serde_transport::new(codec().new_framed(stream), Bincode::default());
        let client = WireClient::new(client::Config::default(), transport).spawn();
        let token = self.token.expose().to_owned();
        let accepted = client.hello(context::current(), token).await;
        accepted
            .is_ok_and(|accepted| accepted)
            .then_some(OpenConnection {
                addr,
                client,
                received,
            })
    }

    fn cached(&self, addr: SocketAddr) -> Option<OpenConnection> {
        self.lock().iter().find(|c| c.addr == addr).cloned()
    }

    fn close(&self, addr: SocketAddr) {
        self.lock().retain(|c| c.addr != addr);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, VecDeque<OpenConnection>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn codec() -> tokio_util::codec::length_delimited::Builder {
    let mut builder = LengthDelimitedCodec::builder();
    builder.max_frame_length(MAX_FRAME);
    builder
}

/// Server side of one connection of a peer.
#[derive(Clone)]
struct Connection<A> {
    handler: A,
    token: Secret,
    counts: Arc<Counts>,
    authenticated: Arc<AtomicBool>,
}

impl<A: RequestHandler> Wire for Connection<A> {
    async fn hello(self, _: context::Context, token: String) -> bool {
        let accepted = self.token.matches(&token);
        self.authenticated.store(accepted, Ordering::Release);
        if !accepted {
            self.counts.record_refused_connection();
        }
        accepted
    }

    async fn ask(self, _: context::Context, req: Request) -> Reply {
        if !self.authenticated.load(Ordering::Acquire) {
            return Reply::Denied;
        }
        let kind = req.kind();
        self.counts.received(kind, request_size(&req));
        let reply = self.handler.handle(req).await;
        self.counts.sent(kind, reply_size(&reply));
        reply
    }
}

/// Serves peers until cancelled.
pub(crate) async fn serve<A: RequestHandler>(
    listener: TcpListener,
    token: Secret,
    counts: Arc<Counts>,
    handler: A,
    cancel: CancellationToken,
) {
    loop {
        let accepted = tokio::select! {
            () = cancel.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            // Usually out of file descriptors; wait for other connections to close.
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        // Failure to set the option only delays small messages.
        stream.set_nodelay(true).unwrap_or_default();
        let connection = Connection {
            handler: handler.clone(),
            token: token.clone(),
            counts: Arc::clone(&counts),
            authenticated: Arc::default(),
        };
        let cancel = cancel.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = cancel.cancelled() => {}
                () = serve_connection(stream, connection) => {}
            }
        });
    }
}

async fn serve_connection<A: RequestHandler>(stream: TcpStream, connection: Connection<A>) {
    let transport = serde_transport::new(codec().new_framed(stream), Bincode::default());
    let mut requests = Box::pin(BaseChannel::with_defaults(transport).requests());
    let mut next = timeout(HELLO_TIMEOUT, requests.next()).await.ok().flatten();
    while let Some(request) = next.take() {
        let Ok(request) = request else {
            // The stream is out of sync. Close the connection; the peer opens a new one.
            connection.counts.record_invalid_message();
            return;
        };
        tokio::spawn(request.execute(connection.clone().serve()));
        next = requests.next().await;
    }
}
