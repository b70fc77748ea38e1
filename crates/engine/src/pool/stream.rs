//! TCP stream that sends no request while unread data of the server is left.

use std::{
    io::{self, ErrorKind, IoSlice},
    mem::MaybeUninit,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU8, Ordering},
    },
    task::{Context, Poll},
};

use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;

/// No request waits to be sent.
const IDLE: u8 = 0;
/// A request waits for its first write.
const WAITING: u8 = 1;
/// A request was not sent, because the stream had unread data or its end.
const UNSENT: u8 = 2;

/// State of a stream that its connection and the pool share.
#[derive(Debug, Default)]
pub(super) struct StreamState {
    /// State of the last request.
    sending: AtomicU8,
    /// Whether all that has arrived was read, and neither the end of the stream nor an error.
    waits_for_data: AtomicBool,
}

impl StreamState {
    /// Registers a request, so that its first write is checked.
    pub(super) fn begin(&self) {
        self.sending.store(WAITING, Ordering::Release);
    }

    /// Returns whether no part of the last request was sent because of its check.
    pub(super) fn is_unsent(&self) -> bool {
        self.sending.load(Ordering::Acquire) == UNSENT
    }

    /// Returns whether the stream is open, as far as its task has seen.
    ///
    /// A stream with unread data does not count, as its end may be behind them.
    pub(super) fn waits_for_data(&self) -> bool {
        self.waits_for_data.load(Ordering::Acquire)
    }
}

/// TCP stream that checks the socket right before the first write of each request.
///
/// Data that arrived earlier can't be the response to the request. The HTTP library detects it only
/// once the event loop has reported it, which may be after the request was sent.
#[derive(Debug)]
pub(super) struct CheckedStream {
    inner: TokioIo<TcpStream>,
    state: Arc<StreamState>,
}

impl CheckedStream {
    pub(super) fn new(stream: TcpStream) -> (Self, Arc<StreamState>) {
        let state = Arc::<StreamState>::default();
        let checked = Self {
            inner: TokioIo::new(stream),
            state: Arc::clone(&state),
        };
        (checked, state)
    }

    /// Returns whether the server has sent data that was not read, or has closed the connection.
    fn has_unread(&self) -> bool {
        let peeked = SockRef::from(self.inner.inner()).peek(&mut [MaybeUninit::uninit()]);
        !peeked.is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
    }

    fn write_checked(
        &mut self,
        write: impl FnOnce(Pin<&mut TokioIo<TcpStream>>) -> Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if self.state.sending.load(Ordering::Acquire) != WAITING {
            return write(Pin::new(&mut self.inner));
        }
        if self.has_unread() {
            self.state.sending.store(UNSENT, Ordering::Release);
            let detail = "data or the end of the stream arrived before the request";
            return Poll::Ready(Err(io::Error::new(ErrorKind::InvalidData, detail)));
        }
        let written = write(Pin::new(&mut self.inner));
        if !written.is_pending() {
            self.state.sending.store(IDLE, Ordering::Release);
        }
        written
    }
}

impl Read for CheckedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let read = Pin::new(&mut self.inner).poll_read(cx, buf);
        let waits = read.is_pending();
        self.state.waits_for_data.store(waits, Ordering::Release);
        read
    }
}

impl Drop for CheckedStream {
    fn drop(&mut self) {
        self.state.waits_for_data.store(false, Ordering::Release);
    }
}

impl Write for CheckedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.write_checked(|stream| stream.poll_write(cx, buf))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.write_checked(|stream| stream.poll_write_vectored(cx, bufs))
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
