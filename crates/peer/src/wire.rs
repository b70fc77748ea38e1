//! The tarpc service between entry hosts, its client and its server.

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

/// Largest message; a full configuration of design size takes under 1 MB.
const MAX_FRAME: usize = 4 << 20;

/// Connections that a host keeps open; beyond that the oldest is closed.
const MAX_CONNECTIONS: usize = 64;

/// Bounds a connection attempt, the first call included.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Bounds the wait for the first call, so that strangers do not hold connections open.
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);

#[tarpc::service]
pub(crate) trait Wire {
    /// Authenticates the connection; it must be the first call.
    async fn hello(token: String) -> bool;
    /// Asks the peer.
    async fn ask(req: Request) -> Reply;
}

/// Answers requests of authenticated peers.
pub(crate) trait Answer: Clone + Send + Sync + 'static {
    /// Returns the answer to a request.
    fn answer(&self, req: Request) -> impl Future<Output = Reply> + Send;
}

/// Connections to peers, opened on demand.
#[derive(Debug)]
pub(crate) struct Clients {
    token: Secret,
    counts: Arc<Counts>,
    /// Oldest first.
    open: Mutex<VecDeque<(SocketAddr, WireClient)>>,
}

impl Clients {
    pub(crate) fn new(token: Secret, counts: Arc<Counts>) -> Self {
        Self {
            token,
            counts,
            open: Mutex::default(),
        }
    }

    /// Asks a peer and waits for the answer at most `within`.
    pub(crate) async fn ask(
        &self,
        addr: SocketAddr,
        req: Request,
        within: Duration,
    ) -> Option<Reply> {
        let kind = req.kind();
        let client = self.connect(addr, within).await?;
        let mut cx = context::current();
        cx.deadline = Instant::now() + within;
        self.counts.sent(kind, request_size(&req));
        match timeout(within, client.ask(cx, req)).await {
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

    async fn connect(&self, addr: SocketAddr, within: Duration) -> Option<WireClient> {
        if let Some(client) = self.cached(addr) {
            return Some(client);
        }
        let client = timeout(within.min(CONNECT_TIMEOUT), self.open(addr)).await;
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

/// One connection of a peer.
#[derive(Clone)]
struct Connection<A> {
    answer: A,
    token: Secret,
    counts: Arc<Counts>,
    authenticated: Arc<AtomicBool>,
}

impl<A: Answer> Wire for Connection<A> {
    async fn hello(self, _: context::Context, token: String) -> bool {
        let accepted = self.token.matches(&token);
        self.authenticated.store(accepted, Ordering::Release);
        if !accepted {
            self.counts.refused();
        }
        accepted
    }

    async fn ask(self, _: context::Context, req: Request) -> Reply {
        if !self.authenticated.load(Ordering::Acquire) {
            return Reply::Denied;
        }
        let kind = req.kind();
        self.counts.received(kind, request_size(&req));
        let reply = self.answer.answer(req).await;
        self.counts.sent(kind, reply_size(&reply));
        reply
    }
}

/// Serves peers until cancelled.
pub(crate) async fn serve<A: Answer>(
    listener: TcpListener,
    token: Secret,
    counts: Arc<Counts>,
    answer: A,
    cancel: CancellationToken,
) {
    loop {
        let accepted = tokio::select! {
            () = cancel.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            // Out of file descriptors; waiting lets other connections end.
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        // Without the option small messages only arrive later.
        stream.set_nodelay(true).unwrap_or_default();
        let connection = Connection {
            answer: answer.clone(),
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

async fn serve_connection<A: Answer>(stream: TcpStream, connection: Connection<A>) {
    let transport = serde_transport::new(codec().new_framed(stream), Bincode::default());
    let mut requests = Box::pin(BaseChannel::with_defaults(transport).requests());
    let mut next = timeout(HELLO_TIMEOUT, requests.next()).await.ok().flatten();
    while let Some(request) = next.take() {
        let Ok(request) = request else {
            // The framing is lost, so the connection ends; the peer opens a new one.
            connection.counts.garbage();
            return;
        };
        tokio::spawn(request.execute(connection.clone().serve()));
        next = requests.next().await;
    }
}
