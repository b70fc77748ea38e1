//! Request heads that are refused before the HTTP library has read them.

use std::{fmt::Write as _, io, time::Duration};

use config::CallerLimits;
use http::{request, response};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};
use types::Code;

use crate::{
    dispatcher::StateMachine,
    peers::Peers,
    proxy::{Proxy, codec::HeaderCodec, idle::CallerStream},
    record::{End, RequestRecord},
    refusal::Refusal,
};

/// Time limit for writing a refusal and for the caller to close the connection after it.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Size of the buffer for bytes that are discarded.
const DISCARD_BUFFER_BYTES: usize = 4 << 10;

/// Maximum size of a request head until a configuration is active.
const DEFAULT_MAX_HEAD_BYTES: usize = 16 << 10;

/// Range of the maximum size of a request head; a configured limit outside of it counts as its bound.
const MIN_HEAD_LIMIT_BYTES: usize = 8 << 10;
pub(crate) const MAX_HEAD_LIMIT_BYTES: usize = 1 << 20;

/// Bytes of a request head besides its method, path and fields: version, spaces and line ends.
const REQUEST_LINE_BYTES: usize = 14;

/// Bytes of a field besides its name and value: colon, space and line end.
const FIELD_BYTES: usize = 4;

impl<R: StateMachine, N: Peers, C: HeaderCodec> Proxy<R, N, C> {
    /// Refuses a request whose head is incomplete, and closes its connection.
    pub(crate) async fn refuse_head(&self, code: Code, stream: CallerStream) {
        let shared = &self.0;
        let refusal = Refusal::from(code);
        shared.counters.request();
        shared.counters.refusal(code);
        let head = shared.codec.encode_refusal(&refusal);
        let status = head.status.as_u16();
        let mut record = RequestRecord::start(shared.clock, shared.aborting.clone(), String::new());
        record.end(&End::Refused { refusal, status });
        match timeout(CLOSE_TIMEOUT, write_and_close(stream.into_inner(), &head)).await {
            Ok(Ok(())) => {}
            Ok(Err(e)) => tracing::debug!(error = %e, "caller connection failed"),
            Err(_elapsed) => tracing::debug!("the caller did not close a refused connection"),
        }
    }
}

/// Writes a refusal, and reads until the caller closes the connection.
///
/// Closing a connection with unread data resets it, and the reset could overtake the refusal.
async fn write_and_close(mut stream: TcpStream, head: &response::Parts) -> io::Result<()> {
    stream.write_all(encode(head).as_bytes()).await?;
    stream.shutdown().await?;
    let mut discarded = [0; DISCARD_BUFFER_BYTES];
    while stream.read(&mut discarded).await? > 0 {}
    Ok(())
}

/// Encodes the head of a response without a body.
fn encode(head: &response::Parts) -> String {
    let reason = head.status.canonical_reason().unwrap_or_default();
    let mut text = format!("HTTP/1.1 {} {reason}\r\n", head.status.as_u16());
    for (name, value) in &head.headers {
        if let Ok(value) = value.to_str() {
            // Writing to a string can't fail.
            let _ = write!(text, "{name}: {value}\r\n");
        }
    }
    text + "connection: close\r\ncontent-length: 0\r\n\r\n"
}

/// Returns the maximum size of a request head.
pub(crate) fn max_head_len(limits: Option<CallerLimits>) -> usize {
    let max = limits.map_or(DEFAULT_MAX_HEAD_BYTES, |l| {
        usize::try_from(l.head.get()).unwrap_or(usize::MAX)
    });
    max.clamp(MIN_HEAD_LIMIT_BYTES, MAX_HEAD_LIMIT_BYTES)
}

/// Returns the size of a request head as it is sent without optional spaces.
pub(crate) fn head_len(head: &request::Parts) -> usize {
    let path = head.uri.path_and_query().map_or(0, |p| p.as_str().len());
    let fields = head.headers.iter();
    let fields = fields.map(|(name, value)| name.as_str().len() + value.len() + FIELD_BYTES);
    head.method.as_str().len() + path + REQUEST_LINE_BYTES + fields.sum::<usize>()
}
