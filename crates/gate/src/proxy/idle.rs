//! Time limits of a caller's connection while no request is in progress on it.
//!
//! The limits are those of the route table in force. The HTTP library knows only one limit, which is
//! fixed when the connection is accepted and includes the time in which a request head arrives.

use std::{
    io::{self, IoSlice},
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll},
    time::Duration,
};

use config::CallerLimits;
use futures::task::AtomicWaker;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Instant, Sleep, sleep_until},
};

/// Limits until a configuration is active.
const DEFAULT_LIMITS: TimeLimits = TimeLimits {
    idle: Duration::from_secs(15),
    head: Duration::from_secs(3),
};

/// Time limits of caller connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct TimeLimits {
    /// Maximum idle time.
    idle: Duration,
    /// Maximum time for receiving a request head.
    head: Duration,
}

impl TimeLimits {
    /// Returns the limits of the configuration in force.
    pub(crate) fn new(limits: Option<CallerLimits>) -> Self {
        limits.map_or(DEFAULT_LIMITS, |l| Self {
            idle: l.idle_timeout.into(),
            head: l.head_timeout.into(),
        })
    }
}

/// What a connection waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Waiting {
    /// The first byte of a request, or the caller to read the rest of a response.
    Request,
    /// The rest of a request head.
    Head,
    /// The end of a response.
    Response,
}

#[derive(Debug)]
struct State {
    waiting: Waiting,
    /// Number of requests that have started.
    started: u64,
    /// Number of bytes received of an incomplete request head.
    head_len: usize,
    /// Maximum size of a request head in force.
    max_head: usize,
    /// Whether the HTTP library holds bytes that are not written yet.
    unwritten: bool,
    /// Start of the wait, or time of the last byte sent since.
    since: Instant,
    /// Limits in force at the start of the wait.
    limits: TimeLimits,
}

impl State {
    /// Starts to wait for the rest of a head, a part of which has arrived, once the response before it
    /// is written.
    fn begin_head(&mut self) {
        if self.waiting == Waiting::Request && self.head_len > 0 && !self.unwritten {
            self.waiting = Waiting::Head;
            self.since = Instant::now();
        }
    }
}

/// Progress of the requests on one connection, shared with its stream and its responses.
#[derive(Clone, Debug)]
pub(crate) struct Progress(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    /// Task that serves the connection.
    task: AtomicWaker,
}

impl Progress {
    /// Starts to wait for the first request.
    pub(crate) fn new(limits: TimeLimits) -> Self {
        let state = State {
            waiting: Waiting::Request,
            started: 0,
            head_len: 0,
            max_head: usize::MAX,
            unwritten: false,
            since: Instant::now(),
            limits,
        };
        Self(Arc::new(Shared {
            state: Mutex::new(state),
            task: AtomicWaker::new(),
        }))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Registers the task that serves the connection.
    pub(crate) fn register(&self, cx: &Context<'_>) {
        self.0.task.register(cx.waker());
    }

    /// Lets the connection's task see an end that another task has recorded.
    pub(crate) fn wake(&self) {
        self.0.task.wake();
    }

    pub(crate) fn waiting(&self) -> Waiting {
        self.state().waiting
    }

    /// Records that a request head is complete. Returns the number of the request.
    pub(crate) fn request_started(&self) -> u64 {
        let mut state = self.state();
        state.waiting = Waiting::Response;
        state.started += 1;
        state.started
    }

    /// Records that the response to a request has ended, unless the next request has started.
    pub(crate) fn request_ended(&self, request: u64, limits: TimeLimits) {
        let mut state = self.state();
        if state.started == request {
            state.waiting = Waiting::Request;
            state.since = Instant::now();
            state.limits = limits;
            state.head_len = 0;
            state.unwritten = true;
        }
    }

    /// Sets the maximum size of a request head.
    pub(crate) fn set_max_head(&self, max: usize) {
        self.state().max_head = max;
    }

    /// Returns whether an incomplete request head exceeds its maximum size.
    pub(crate) fn is_head_too_large(&self) -> bool {
        let state = self.state();
        state.waiting == Waiting::Head && state.head_len > state.max_head
    }

    /// Records received bytes. Empty lines before a head are no part of it.
    fn received(&self, data: &[u8]) {
        let mut state = self.state();
        if state.waiting == Waiting::Response {
            return;
        }
        let is_line_end = |byte: &u8| matches!(byte, b'\r' | b'\n');
        let before_head = match state.head_len {
            0 => data.iter().take_while(|byte| is_line_end(byte)).count(),
            _ => 0,
        };
        state.head_len += data.len() - before_head;
        state.begin_head();
    }

    /// Records that the HTTP library holds bytes that are not written yet.
    fn write_started(&self) {
        self.state().unwritten = true;
    }

    /// Records that all bytes are written, after which the library reads the next head.
    fn written(&self) {
        let mut state = self.state();
        state.unwritten = false;
        state.begin_head();
    }

    fn sent(&self) {
        let mut state = self.state();
        if state.waiting == Waiting::Request {
            state.since = Instant::now();
        }
    }

    /// Returns when the wait exceeds its limit under the limits in force, or `None` while a request is
    /// in progress.
    ///
    /// A lower limit does not apply to a wait that has begun, because the caller may not know it yet.
    pub(crate) fn expires_at(&self, in_force: TimeLimits) -> Option<Instant> {
        let state = self.state();
        let limit = match state.waiting {
            Waiting::Request => state.limits.idle.max(in_force.idle),
            Waiting::Head => state.limits.head.max(in_force.head),
            Waiting::Response => return None,
        };
        Some(state.since + limit)
    }
}

/// Timer that follows the expiry of a connection's wait.
#[derive(Debug)]
pub(crate) struct Expiry(Pin<Box<Sleep>>);

impl Expiry {
    pub(crate) fn new(at: Instant) -> Self {
        Self(Box::pin(sleep_until(at)))
    }

    /// Waits until the wait of a connection has exceeded its limit.
    ///
    /// The timer is set anew only to an earlier time, or after it has elapsed, so that it costs nothing
    /// with each request of a connection.
    pub(crate) fn poll_elapsed(
        &mut self,
        cx: &mut Context<'_>,
        expires_at: impl Fn() -> Option<Instant>,
    ) -> Poll<()> {
        loop {
            let Some(at) = expires_at() else {
                return Poll::Pending;
            };
            if at < self.0.deadline() {
                self.0.as_mut().reset(at);
            }
            if self.0.as_mut().poll(cx).is_pending() {
                return Poll::Pending;
            }
            if at <= Instant::now() {
                return Poll::Ready(());
            }
            self.0.as_mut().reset(at);
        }
    }
}

/// Stream of a connection that records when bytes are received and sent.
#[derive(Debug)]
pub(crate) struct CallerStream {
    stream: TcpStream,
    progress: Progress,
}

impl CallerStream {
    pub(crate) fn new(stream: TcpStream, progress: Progress) -> Self {
        Self { stream, progress }
    }

    pub(crate) fn into_inner(self) -> TcpStream {
        self.stream
    }

    fn record_sent(&self, sent: &Poll<io::Result<usize>>) {
        if matches!(sent, Poll::Ready(Ok(_))) {
            self.progress.sent();
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.progress.is_head_too_large() {
            // The connection is about to end, whose task checks the size after each read.
            return Poll::Pending;
        }
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.progress.received(&buf.filled()[before..]);
        }
        read
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.progress.write_started();
        let sent = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_sent(&sent);
        sent
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The HTTP library flushes the stream only once it has written all that it holds.
        self.progress.written();
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.progress.write_started();
        let sent = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record_sent(&sent);
        sent
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
