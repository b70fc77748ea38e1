//! RPC service between entry hosts, with its connection pool and server.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
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
    time::timeout,
};
use tokio_util::{codec::LengthDelimitedCodec, sync::CancellationToken};

use crate::{
    message::{Reply, Request},
    traffic::{Counts, reply_size, request_size},
};

/// Maximum size of a message in bytes; a full configuration of design size takes less than 1 MB.
const MAX_FRAME: usize = 4 << 20;

/// Maximum number of open connections to peers; above it, the oldest is closed.
const MAX_CONNECTIONS: usize = 64;

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

/// Pool of connections to peers, which are opened on demand.
#[derive(Debug)]
pub(crate) struct ClientPool {
    token: Secret,
    counts: Arc<Counts>,
    /// Open connections, oldest first.
    open: Mutex<VecDeque<(SocketAddr, WireClient)>>,
}

impl ClientPool {
    pub(crate) fn new(token: Secret, counts: Arc<Counts>) -> Self {
        Self {
            token,
            counts,
            open: Mutex::default(),
        }
    }

    /// Sends a request to a peer. Returns `None` without a reply within the timeout.
    pub(crate) async fn request(
        &self,
        addr: SocketAddr,
        req: Request,
        limit: Duration,
    ) -> Option<Reply> {
        let kind = req.kind();
        let client = self.connect(addr, limit).await?;
        let mut cx = context::current();
        cx.deadline = Instant::now() + limit;
        self.counts.sent(kind, request_size(&req));
        match timeout(limit, client.ask(cx, req)).await {
            Ok(Ok(reply)) if reply != Reply::Denied => {
                self.counts.received(kind, reply_size(&reply));
                Some(reply)
            }
            _ => {
                self.close(addr);
                None
            }
        }
    }

    async fn connect(&self, addr: SocketAddr, limit: Duration) -> Option<WireClient> {
        if let Some(client) = self.cached(addr) {
            return Some(client);
        }
        let client = timeout(limit.min(CONNECT_TIMEOUT), self.open(addr)).await;
        let client = client.ok().flatten()?;
        let mut open = self.lock();
        open.retain(|(a, _)| *a != addr);
        open.push_back((addr, client.clone()));
        if open.len() > MAX_CONNECTIONS {
            open.pop_front();
        }
        Some(client)
    }

    async fn open(&self, addr: SocketAddr) -> Option<WireClient> {
        let stream = TcpStream::connect(addr).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let transport = serde_transport::new(codec().new_framed(stream), Bincode::default());
        let client = WireClient::new(client::Config::default(), transport).spawn();
        let token = self.token.expose().to_owned();
        let accepted = client.hello(context::current(), token).await;
        accepted.is_ok_and(|accepted| accepted).then_some(client)
    }

    fn cached(&self, addr: SocketAddr) -> Option<WireClient> {
        let open = self.lock();
        let found = open.iter().find(|(a, _)| *a == addr);
        found.map(|(_, client)| client.clone())
    }

    fn close(&self, addr: SocketAddr) {
        self.lock().retain(|(a, _)| *a != addr);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, VecDeque<(SocketAddr, WireClient)>> {
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
