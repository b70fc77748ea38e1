//! Connections from callers and from the load balancer.

use std::{
    convert::Infallible,
    future::poll_fn,
    pin::{Pin, pin},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    task::Poll,
    time::Duration,
};

use bytes::Bytes;
use futures::poll;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Either, Full};
use hyper::{
    body::{Body, Incoming},
    server::conn::http1,
    service::{HttpService, service_fn},
};
use hyper_util::rt::{TokioIo, TokioTimer};
use metrics::counter;
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::{
    net::{TcpListener, TcpStream},
    time::Instant,
};
use types::Code;

use crate::{
    dispatcher::StateMachine,
    peers::Peers,
    proxy::{
        CLOSING, Proxy,
        codec::HeaderCodec,
        idle::{CallerStream, Expiry, Progress, TimeLimits, Waiting},
        inbound::discard_body,
        refused_head::{MAX_HEAD_LIMIT_BYTES, max_head_len},
    },
};

/// Idle timeout of connections for readiness probes and metrics.
const STATUS_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Buffer size above which hyper rejects a request head. It is fixed when a connection is accepted, so
/// the limit in force is checked besides.
const MAX_BUFFER_BYTES: usize = 2 * MAX_HEAD_LIMIT_BYTES;

/// Delay before retrying a failed accept, which usually means that no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time limit for caller connections to end after the proxy is closed.
const CONNECTION_DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// Time in which requests that are open at the end of the process are answered.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(60);

const METRICS_PATH: &str = "/metrics";

/// Counter of caller connections that ended by an error, by reason.
const FAILED_CONNECTIONS: &str = "celerytally_caller_connections_failed_total";

/// Reason of a connection whose request head was invalid or too large.
const REJECTED_HEAD: &str = "rejected_head";

/// Reason of a connection whose request head was not received in time.
const HEAD_TIMEOUT: &str = "head_timeout";

/// Reason of a connection that was idle for too long.
const IDLE_TIMEOUT: &str = "idle_timeout";

impl<R: StateMachine, N: Peers, C: HeaderCodec> Proxy<R, N, C> {
    /// Accepts caller connections until the proxy is closed.
    pub async fn serve_callers(&self, listener: TcpListener) {
        loop {
            let accepted = tokio::select! {
                () = self.0.closing.cancelled() => return,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, _)) => {
                    let proxy = self.clone();
                    tokio::spawn(async move { proxy.serve_connection(stream).await });
                }
                Err(e) => {
                    tracing::warn!(error = %e, "accept failed");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    async fn serve_connection(self, stream: TcpStream) {
        let _open = CountGuard::new(&self.0.open_connections);
        if let Err(e) = stream.set_nodelay(true) {
            tracing::debug!(error = %e, "failed to set TCP_NODELAY");
        }
        let limits = self.route_table().map(|t| t.limits);
        let progress = Progress::new(TimeLimits::new(limits));
        let stream = CallerStream::new(stream, progress.clone());
        let (proxy, requests) = (self.clone(), progress.clone());
        let writing = ResponseGuard::default();
        let service = service_fn(move |req: Request<Incoming>| {
            let request = requests.request_started();
            // The next request shows that the response to the last one was written.
            writing.set(None);
            let (proxy, requests) = (proxy.clone(), requests.clone());
            let writing = writing.clone();
            async move {
                let open = CountGuard::new(&proxy.0.open_requests);
                let ended = Arc::new(EndGuard(proxy.clone(), requests, request));
                let (response, unread) = proxy.clone().handle_request(req).await;
                if let Some(body) = unread {
                    let (ended, progress) = (Arc::clone(&ended), ended.1.clone());
                    tokio::spawn(async move {
                        discard_body(body).await;
                        drop(ended);
                        progress.wake();
                    });
                }
                writing.set(Some(CountGuard::new(&proxy.0.unwritten_responses)));
                drop(open);
                Ok::<_, Infallible>(response.map(|body| match body {
                    Either::Left(whole) => Either::Left(whole),
                    Either::Right(stream) => Either::Right(stream.map_frame(move |frame| {
                        // The closure lives as long as the stream.
                        let _: &EndGuard<R, N, C> = &ended;
                        frame
                    })),
                }))
            }
        });
        let mut builder = http1::Builder::new();
        builder
            .header_read_timeout(None)
            .max_buf_size(MAX_BUFFER_BYTES);
        let serving = builder.serve_connection(TokioIo::new(stream), service);
        let driven = tokio::select! {
            driven = self.drive(serving, &progress) => driven,
            () = self.until_answered_at_stop() => return,
        };
        let result = match driven {
            Driven::Ended(result) => result,
            Driven::HeadTimeout(stream) => {
                counter!(FAILED_CONNECTIONS, "reason" => HEAD_TIMEOUT).increment(1);
                return self.refuse_head(Code::HeadTimeout, *stream).await;
            }
            Driven::HeadTooLarge(stream) => {
                counter!(FAILED_CONNECTIONS, "reason" => REJECTED_HEAD).increment(1);
                return self.refuse_head(Code::HeadersTooLarge, *stream).await;
            }
        };
        if let Err(e) = result {
            let reason = failure_reason(&e);
            counter!(FAILED_CONNECTIONS, "reason" => reason).increment(1);
            if reason == REJECTED_HEAD {
                // The HTTP library has refused the request itself, so that no other line names it.
                tracing::warn!(reason, error = %e, "caller connection failed");
            } else {
                tracing::debug!(reason, error = %e, "caller connection failed");
            }
        }
    }

    /// Serves a connection until it ends, is idle for too long, or the proxy is closed. A request that
    /// has begun to arrive is served first.
    ///
    async fn drive<S, B>(
        &self,
        mut serving: http1::Connection<TokioIo<CallerStream>, S>,
        progress: &Progress,
    ) -> Driven
    where
        S: HttpService<Incoming, ResBody = B, Error = Infallible>,
        B: Body<Error: Into<Box<dyn std::error::Error + Send + Sync>>> + 'static,
    {
        let mut closing = pin!(self.0.closing.cancelled());
        let limits = || TimeLimits::new(self.route_table().map(|t| t.limits));
        let expires_at = || progress.expires_at(limits());
        let mut expiry = Expiry::new(expires_at().unwrap_or_else(Instant::now));
        let mut is_closing = false;
        loop {
            let ended = poll_fn(|cx| {
                progress.register(cx);
                progress.set_max_head(max_head_len(self.route_table().map(|t| t.limits)));
                if let Poll::Ready(result) = Pin::new(&mut serving).poll(cx) {
                    return Poll::Ready(Some(result));
                }
                if progress.is_head_too_large() {
                    return Poll::Ready(None);
                }
                is_closing |= closing.as_mut().poll(cx).is_ready();
                if is_closing && progress.waiting() != Waiting::Head {
                    return Poll::Ready(None);
                }
                expiry.poll_elapsed(cx, expires_at).map(|()| None)
            });
            if let Some(result) = ended.await {
                return Driven::Ended(result);
            }
            if progress.is_head_too_large() {
                let stream = serving.into_parts().io.into_inner();
                return Driven::HeadTooLarge(Box::new(stream));
            }
            // Bytes may have arrived that the runtime has not seen yet.
            tokio::task::yield_now().await;
            if let Poll::Ready(result) = poll!(&mut serving) {
                return Driven::Ended(result);
            }
            let expired = expires_at().is_some_and(|at| at <= Instant::now());
            match progress.waiting() {
                Waiting::Head if expired => {
                    let stream = serving.into_parts().io.into_inner();
                    return Driven::HeadTimeout(Box::new(stream));
                }
                Waiting::Request if expired => {
                    counter!(FAILED_CONNECTIONS, "reason" => IDLE_TIMEOUT).increment(1);
                    break;
                }
                Waiting::Request | Waiting::Response if is_closing => break,
                Waiting::Head | Waiting::Request | Waiting::Response => {}
            }
        }
        Pin::new(&mut serving).graceful_shutdown();
        Driven::Ended(serving.await)
    }

    /// Waits until the open requests are ended, and for a moment in which they are answered.
    async fn until_answered_at_stop(&self) {
        self.0.aborting.cancelled().await;
        tokio::time::sleep(LAST_ANSWERS_TIME).await;
    }

    /// Answers readiness probes of the load balancer until the process ends.
    pub async fn serve_readiness(&self, listener: TcpListener) {
        let proxy = self.clone();
        serve_pages(listener, move |path| {
            let status = match path {
                p if p != C::READINESS_PATH => StatusCode::NOT_FOUND,
                _ if proxy.is_ready() => StatusCode::OK,
                _ => StatusCode::SERVICE_UNAVAILABLE,
            };
            (status, Bytes::new())
        })
        .await;
    }

    /// Serves metrics until the process ends.
    pub async fn serve_metrics(&self, listener: TcpListener, metrics: PrometheusHandle) {
        serve_pages(listener, move |path| match path {
            METRICS_PATH => (StatusCode::OK, Bytes::from(metrics.render())),
            _ => (StatusCode::NOT_FOUND, Bytes::new()),
        })
        .await;
    }

    /// Waits until no request is in progress and all responses are written, and for a limited time
    /// until all connections have ended.
    ///
    /// A connection accepted before the close may still deliver a request. Idle connections end when
    /// the proxy is closed.
    pub async fn wait_until_drained(&self) {
        const POLL_INTERVAL: Duration = Duration::from_millis(20);
        let timeout = Instant::now() + CONNECTION_DRAIN_TIMEOUT;
        let has_connections = || self.0.open_connections.load(Ordering::Relaxed) > 0;
        while self.open_requests() > 0
            || self.0.dispatcher.in_flight() > 0
            || self.0.unwritten_responses.load(Ordering::Relaxed) > 0
            || (has_connections() && Instant::now() < timeout)
        {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns whether connections are closed after their current request.
    #[must_use]
    pub fn is_closing(&self) -> bool {
        self.0.phase.load(Ordering::Relaxed) == CLOSING
    }
}

/// How the service of a caller's connection ended.
enum Driven {
    /// The connection has ended.
    Ended(hyper::Result<()>),
    /// A request head was not received in time, and nothing else is left to write.
    HeadTimeout(Box<CallerStream>),
    /// An incomplete request head is too large, and nothing else is left to write.
    HeadTooLarge(Box<CallerStream>),
}

/// Returns why a caller's connection ended by an error.
fn failure_reason(e: &hyper::Error) -> &'static str {
    if e.is_parse() {
        REJECTED_HEAD
    } else if e.is_user() {
        "response_broken_off"
    } else if e.is_incomplete_message() {
        "incomplete_request"
    } else {
        "connection_lost"
    }
}

/// Count of the last response of a connection, until it is written or the connection ends.
#[derive(Clone, Default)]
struct ResponseGuard(Arc<Mutex<Option<CountGuard>>>);

impl ResponseGuard {
    fn set(&self, guard: Option<CountGuard>) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = guard;
    }
}

/// Records the end of the response to a numbered request when dropped.
struct EndGuard<R, N, C>(Proxy<R, N, C>, Progress, u64);

impl<R, N, C> Drop for EndGuard<R, N, C> {
    fn drop(&mut self) {
        let limits = self.0.0.route_table().map(|t| t.limits);
        self.1.request_ended(self.2, TimeLimits::new(limits));
    }
}

/// Increments a counter and decrements it when dropped.
struct CountGuard(Arc<AtomicUsize>);

impl CountGuard {
    fn new(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(count))
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Serves responses that depend only on the path.
async fn serve_pages(
    listener: TcpListener,
    page: impl Fn(&str) -> (StatusCode, Bytes) + Clone + Send + 'static,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let page = page.clone();
        tokio::spawn(async move {
            let service = service_fn(move |req: Request<Incoming>| {
                let (status, body) = page(req.uri().path());
                let mut response = Response::new(Full::new(body));
                *response.status_mut() = status;
                async move { Ok::<_, Infallible>(response) }
            });
            let mut builder = http1::Builder::new();
            builder
                .timer(TokioTimer::new())
                .header_read_timeout(STATUS_IDLE_TIMEOUT);
            let served = builder.serve_connection(TokioIo::new(stream), service);
            if let Err(e) = served.await {
                tracing::debug!(error = %e, "status connection failed");
            }
        });
    }
}
