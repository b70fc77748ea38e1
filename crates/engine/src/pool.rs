//! Pool of HTTP/1 connections with control over each connection.
//!
//! Whether a request that must run at most once may be sent on a connection depends on the age of
//! the connection, on earlier requests and on data received between requests, so callers open,
//! reuse and close each connection individually.

mod stream;

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError, Weak,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{body::Incoming, client::conn::http1};
use metrics::counter;
use socket2::SockRef;
use tokio::{
    net::{TcpSocket, TcpStream},
    task::AbortHandle,
    time::{Instant, timeout},
};

use self::stream::{CheckedStream, StreamState};

/// Timeout of a connection attempt. Within a region a server responds in a few milliseconds, and a
/// request that was not sent can go to another server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(120);

/// Timeout of waiting until an idle connection is ready for the next request.
const READY_TIMEOUT: Duration = Duration::from_millis(20);

/// Keep-alive time of a connection whose server announces none.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);

/// Time before the end of the server's keep-alive time from which a connection is not reused.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(800);

/// Maximum size of a response's head, after which the connection counts as broken.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Maximum number of idle connections to one server.
const MAX_IDLE_PER_SERVER: usize = 24;

/// Number of refusals after which a connection is closed. It bounds the memory of refused ids, and
/// costs one new connection in this many refusals.
const MAX_REFUSALS: usize = 32;

/// Counter of opened connections.
const CONNECTIONS_OPENED: &str = "celerytally_connections_opened_total";

/// Error of opening a connection; no part of the request was sent.
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

    /// Returns whether the connection was refused because no process listens at the address.
    #[must_use]
    pub fn is_refused(&self) -> bool {
        self.refused
    }
}

impl std::fmt::Display for ConnectError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "can't connect: {}", self.detail)
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

/// Outcome of sending a request.
#[derive(Debug)]
pub enum SendOutcome {
    /// The head of the response arrived.
    Response(Response<Incoming>),
    /// No part of the request was sent.
    NotSent,
    /// The connection failed after a part of the request may have been sent.
    ConnectionLost(hyper::Error),
}

/// Connection to a server, used by one request at a time. Dropping it closes it.
#[derive(Debug)]
pub struct Connection {
    addr: SocketAddr,
    sender: http1::SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    state: Arc<StreamState>,
    reused: bool,
    /// Hashes of the ids of refused requests. If two ids have the same hash, a new connection is
    /// opened needlessly.
    refused: Vec<u64>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    /// Returns whether an earlier request was sent on the connection.
    #[must_use]
    pub fn is_reused(&self) -> bool {
        self.reused
    }

    /// Returns whether the connection is open, as far as its task has seen.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.state.waits_for_data()
    }

    /// Records that the server refused a request on the connection.
    ///
    /// The connection stays usable for other requests. The same request must not be sent on it again,
    /// because the server may write a copy of the refusal, which has the right id.
    pub fn record_refusal(&mut self, request_id: &str) {
        self.refused.push(hash_id(request_id));
    }

    /// Sends a request and waits for the head of its response.
    ///
    /// Nothing is sent if the server has sent data since the last response, or has closed the
    /// connection.
    pub async fn send(&mut self, req: Request<Full<Bytes>>) -> SendOutcome {
        self.state.begin();
        match self.sender.try_send_request(req).await {
            Ok(response) => SendOutcome::Response(response),
            Err(mut e) => match e.take_message() {
                Some(_unsent) => SendOutcome::NotSent,
                None if self.state.is_unsent() => SendOutcome::NotSent,
                None => SendOutcome::ConnectionLost(e.into_error()),
            },
        }
    }
}

fn hash_id(request_id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    request_id.hash(&mut hasher);
    hasher.finish()
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    expires_at: Instant,
}

/// Pool of idle connections by address.
#[derive(Clone, Debug, Default)]
pub struct Pool(Arc<Shared>);

#[derive(Debug, Default)]
struct Shared {
    /// Sorted by address; the most recently used connection of each address is last.
    idle: Mutex<Vec<(SocketAddr, Vec<IdleConnection>)>>,
    /// States of all open connections, sorted by address.
    open: Mutex<Vec<(SocketAddr, Vec<Weak<StreamState>>)>>,
    opened: AtomicU64,
}

impl Shared {
    /// Registers an open connection and forgets those to the same address that were dropped.
    fn register(&self, addr: SocketAddr, state: &Arc<StreamState>) {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        let at = match open.binary_search_by_key(&addr, |(a, _)| *a) {
            Ok(at) => at,
            Err(at) => {
                open.insert(at, (addr, Vec::new()));
                at
            }
        };
        open[at].1.retain(|state| state.strong_count() > 0);
        open[at].1.push(Arc::downgrade(state));
    }

    fn has_open(&self, addr: SocketAddr, counts: impl Fn(&Arc<StreamState>) -> bool) -> bool {
        let open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        let found = open.binary_search_by_key(&addr, |(a, _)| *a);
        found.is_ok_and(|at| {
            let mut states = open[at].1.iter().filter_map(Weak::upgrade);
            states.any(|state| counts(&state) && state.waits_for_data())
        })
    }

    /// Forgets the connections that were dropped, and addresses without one.
    fn forget_dropped(&self) {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        open.retain_mut(|(_, states)| {
            states.retain(|state| state.strong_count() > 0);
            !states.is_empty()
        });
    }
}

impl Pool {
    /// Creates an empty pool.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<(SocketAddr, Vec<IdleConnection>)>> {
        self.0.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of connections opened so far.
    #[must_use]
    pub fn opened(&self) -> u64 {
        self.0.opened.load(Ordering::Relaxed)
    }

    /// Returns an idle connection to a server, or opens one.
    ///
    /// # Errors
    /// When no connection is established before the timeout.
    pub async fn get(&self, addr: SocketAddr) -> Result<Connection, ConnectError> {
        self.get_where(addr, |_| true).await
    }

    /// Returns an idle connection to a server on which a request was not refused, or opens one.
    ///
    /// # Errors
    /// When no connection is established before the timeout.
    pub async fn get_for(
        &self,
        addr: SocketAddr,
        request_id: &str,
    ) -> Result<Connection, ConnectError> {
        let id = hash_id(request_id);
        self.get_where(addr, |c| !c.refused.contains(&id)).await
    }

    async fn get_where(
        &self,
        addr: SocketAddr,
        is_usable: impl Fn(&Connection) -> bool,
    ) -> Result<Connection, ConnectError> {
        while let Some(mut connection) = self.take_idle(addr, &is_usable) {
            // The connection task may not have processed the end of the previous response yet.
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
    /// When no connection is established before the timeout.
    pub async fn open(&self, addr: SocketAddr) -> Result<Connection, ConnectError> {
        let stream = timeout(CONNECT_TIMEOUT, connect(addr))
            .await
            .map_err(|_elapsed| ConnectError::new(&"connection attempt timed out"))??;
        let (stream, state) = CheckedStream::new(stream);
        let handshake = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(stream)
            .await;
        let (sender, driver) = handshake.map_err(|e| ConnectError::new(&e))?;
        let driver = tokio::spawn(async move {
            if let Err(e) = driver.await {
                tracing::trace!(%addr, error = %e, "connection ended");
            }
        });
        self.0.register(addr, &state);
        self.0.opened.fetch_add(1, Ordering::Relaxed);
        counter!(CONNECTIONS_OPENED).increment(1);
        Ok(Connection {
            addr,
            sender,
            driver: driver.abort_handle(),
            state,
            reused: false,
            refused: Vec::new(),
        })
    }

    fn take_idle(
        &self,
        addr: SocketAddr,
        is_usable: impl Fn(&Connection) -> bool,
    ) -> Option<Connection> {
        let now = Instant::now();
        let mut all = self.lock();
        let at = all.binary_search_by_key(&addr, |(a, _)| *a).ok()?;
        let idle = &mut all[at].1;
        idle.retain(|i| i.expires_at > now && !i.connection.sender.is_closed());
        let at = idle.iter().rposition(|i| is_usable(&i.connection))?;
        Some(idle.remove(at).connection)
    }

    /// Returns a connection to the pool after the end of its response, for reuse within the
    /// keep-alive time of its server. One with too many refusals is closed.
    pub fn release(&self, connection: Connection, keep_alive: Option<Duration>) {
        if connection.refused.len() >= MAX_REFUSALS {
            return;
        }
        let keep_alive = keep_alive.unwrap_or(DEFAULT_KEEP_ALIVE);
        let expires_at = Instant::now() + keep_alive.saturating_sub(KEEP_ALIVE_MARGIN);
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
        if idle.len() == MAX_IDLE_PER_SERVER {
            idle.remove(0);
        }
        idle.push(IdleConnection {
            connection,
            expires_at,
        });
    }

    /// Returns whether a connection to a server is open, as far as the connections' tasks have seen.
    #[must_use]
    pub fn has_open_connection(&self, addr: SocketAddr) -> bool {
        self.0.has_open(addr, |_| true)
    }

    /// Returns whether another connection to the server of a connection is open.
    #[must_use]
    pub fn has_other_open_connection(&self, connection: &Connection) -> bool {
        self.0.has_open(connection.addr, |state| {
            !Arc::ptr_eq(state, &connection.state)
        })
    }

    /// Closes all idle connections to a server, because one of them fell silent.
    pub fn discard_idle(&self, addr: SocketAddr) {
        self.lock().retain(|(a, _)| *a != addr);
    }

    /// Closes idle connections that have expired or whose server is no longer known.
    pub fn prune(&self, is_known: impl Fn(&SocketAddr) -> bool) {
        let now = Instant::now();
        let mut all = self.lock();
        for (_, idle) in all.iter_mut() {
            idle.retain(|i| i.expires_at > now && !i.connection.sender.is_closed());
        }
        all.retain(|(addr, idle)| !idle.is_empty() && is_known(addr));
        drop(all);
        self.0.forget_dropped();
    }
}

async fn connect(addr: SocketAddr) -> io::Result<TcpStream> {
    let socket = if addr.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_nodelay(true)?;
    // An abandoned request must not arrive later: a reset discards the bytes that are still queued.
    // The kernel's own timeouts stay off for the same reason, as they end a connection without a
    // reset.
    SockRef::from(&socket).set_linger(Some(Duration::ZERO))?;
    socket.connect(addr).await
}
