//! HTTP connections that are opened, reused and closed one by one.
//!
//! The age of a connection, whether it served a request before and what arrives on it between
//! requests decide whether a request that must run at most once may be sent on it, so the pool
//! keeps each connection apart.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use metrics::counter;
use socket2::SockRef;
use tokio::{
    net::{TcpSocket, TcpStream},
    task::AbortHandle,
    time::{Instant, timeout},
};

/// Bounds a connection attempt; within a region a server answers in a few milliseconds, and a
/// request that was not sent can go to another one.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(120);

/// Bounds the wait until an idle connection takes the next request.
const READY_TIMEOUT: Duration = Duration::from_millis(20);

/// Time for which an idle connection is kept if its server names none.
const DEFAULT_KEEP: Duration = Duration::from_secs(4);

/// Time before the server's own limit at which an idle connection is no longer used.
const KEEP_MARGIN: Duration = Duration::from_millis(800);

/// Idle connections kept to one server.
const MAX_IDLE: usize = 24;

/// Counter of connections that were opened.
const OPENED: &str = "celerytally_connections_opened_total";

/// Request that was certainly not sent.
#[derive(Debug)]
pub struct ConnectError {
    detail: String,
    refused: bool,
}

impl ConnectError {
    fn new(detail: &impl ToString) -> Self {
        Self {
            detail: detail.to_string(),
            refused: false,
        }
    }

    /// Tells whether nothing listens at the server's address.
    #[must_use]
    pub fn is_refused(&self) -> bool {
        self.refused
    }
}

impl std::fmt::Display for ConnectError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "not sent: {}", self.detail)
    }
}

impl std::error::Error for ConnectError {}

impl From<io::Error> for ConnectError {
    fn from(e: io::Error) -> Self {
        Self {
            refused: e.kind() == io::ErrorKind::ConnectionRefused,
            detail: e.to_string(),
        }
    }
}

/// How sending a request ended.
#[derive(Debug)]
pub enum SendOutcome {
    /// The head of the response arrived.
    Response(Response<Incoming>),
    /// Nothing of the request left this process.
    NotSent,
    /// The connection ended after a part of the request may have left.
    ConnectionLost(hyper::Error),
}

/// Connection to a server, held by one request at a time; dropping it closes it.
#[derive(Debug)]
pub struct Connection {
    addr: SocketAddr,
    sender: http1::SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    reused: bool,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    /// Tells whether an earlier request was sent on the connection.
    #[must_use]
    pub fn is_reused(&self) -> bool {
        self.reused
    }

    /// Sends a request and waits for the head of its response.
    pub async fn send(&mut self, req: Request<Full<Bytes>>) -> SendOutcome {
        match self.sender.try_send_request(req).await {
            Ok(answer) => SendOutcome::Response(answer),
            Err(mut e) => match e.take_message() {
                Some(_unsent) => SendOutcome::NotSent,
                None => SendOutcome::ConnectionLost(e.into_error()),
            },
        }
    }
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Instant,
}

/// Idle connections by address.
#[derive(Clone, Debug, Default)]
pub struct Pool(Arc<Shared>);

#[derive(Debug, Default)]
struct Shared {
    /// Sorted by address; the connection that was used last comes last.
    idle: Mutex<Vec<(SocketAddr, Vec<Idle>)>>,
    opened: AtomicU64,
}

impl Pool {
    /// Makes an empty pool.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<(SocketAddr, Vec<Idle>)>> {
        self.0.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the connections opened so far.
    #[must_use]
    pub fn opened(&self) -> u64 {
        self.0.opened.load(Ordering::Relaxed)
    }

    /// Returns an idle connection to a server, or opens one.
    ///
    /// # Errors
    /// When no connection is made within a bounded time.
    pub async fn get(&self, addr: SocketAddr) -> Result<Connection, ConnectError> {
        while let Some(mut connection) = self.take_idle(addr) {
            // The task of the connection may still have to note the end of the last response.
            let ready = timeout(READY_TIMEOUT, connection.sender.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                connection.reused = true;
                return Ok(connection);
            }
        }
        self.open(addr).await
    }

    /// Opens a connection to a server.
    ///
    /// # Errors
    /// When no connection is made within a bounded time.
    pub async fn open(&self, addr: SocketAddr) -> Result<Connection, ConnectError> {
        let stream = timeout(CONNECT_TIMEOUT, connect(addr))
            .await
            .map_err(|_elapsed| ConnectError::new(&"no connection in time"))??;
        let handshake = http1::Builder::new().handshake(TokioIo::new(stream)).await;
        let (sender, driver) = handshake.map_err(|e| ConnectError::new(&e))?;
        let driver = tokio::spawn(async move {
            if let Err(e) = driver.await {
                tracing::trace!(%addr, error = %e, "connection ended");
            }
        });
        self.0.opened.fetch_add(1, Ordering::Relaxed);
        counter!(OPENED).increment(1);
        Ok(Connection {
            addr,
            sender,
            driver: driver.abort_handle(),
            reused: false,
        })
    }

    fn take_idle(&self, addr: SocketAddr) -> Option<Connection> {
        let now = Instant::now();
        let mut all = self.lock();
        let at = all.binary_search_by_key(&addr, |(a, _)| *a).ok()?;
        let idle = &mut all[at].1;
        idle.retain(|i| i.until > now && !i.connection.sender.is_closed());
        idle.pop().map(|i| i.connection)
    }

    /// Keeps a connection whose last response has ended, for as long as its server keeps it.
    pub fn release(&self, connection: Connection, server_keeps: Option<Duration>) {
        let keep = server_keeps.unwrap_or(DEFAULT_KEEP);
        let until = Instant::now() + keep.saturating_sub(KEEP_MARGIN);
        let addr = connection.addr;
        let mut all = self.lock();
        let at = match all.binary_search_by_key(&addr, |(a, _)| *a) {
            Ok(at) => at,
            Err(at) => {
                all.insert(at, (addr, Vec::new()));
                at
            }
        };
        let idle = &mut all[at].1;
        if idle.len() == MAX_IDLE {
            idle.remove(0);
        }
        idle.push(Idle { connection, until });
    }

    /// Closes the idle connections that are out of date or lead to servers that are gone.
    pub fn prune(&self, is_known: impl Fn(&SocketAddr) -> bool) {
        let now = Instant::now();
        let mut all = self.lock();
        for (_, idle) in all.iter_mut() {
            idle.retain(|i| i.until > now && !i.connection.sender.is_closed());
        }
        all.retain(|(addr, idle)| !idle.is_empty() && is_known(addr));
    }
}

async fn connect(addr: SocketAddr) -> io::Result<TcpStream> {
    let socket = if addr.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_nodelay(true)?;
    // A request that is given up must not arrive later: a reset drops what is still queued. For the
    // same reason the kernel's own time-outs stay off; they end a connection without a reset.
    SockRef::from(&socket).set_linger(Some(Duration::ZERO))?;
    socket.connect(addr).await
}
