//! Connections of callers and of the balancer.

use std::{
    convert::Infallible,
    pin::pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::{
    net::{TcpListener, TcpStream},
    time::Instant,
};

use crate::{
    dispatcher::StateMachine,
    peers::Peers,
    proxy::{CLOSING, Proxy, codec::HeaderCodec},
};

/// Time for which a connection of a caller may be idle before a configuration says so.
const DEFAULT_IDLE: Duration = Duration::from_secs(15);

/// Largest head of a request before a configuration says so.
const DEFAULT_HEAD: usize = 16 << 10;

/// Smallest buffer that the HTTP library accepts.
const MIN_BUFFER: usize = 8 << 10;

/// Pause after a failed accept, which happens when no socket is left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Time after the close within which the connections of callers end.
const CONNECTIONS_END: Duration = Duration::from_secs(1);

/// Path of the metrics page.
const METRICS: &str = "/metrics";

impl<R: StateMachine, N: Peers, D: HeaderCodec> Proxy<R, N, D> {
    /// Accepts connections of callers until the proxy closes.
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
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    async fn serve_connection(self, stream: TcpStream) {
        let _open = Counted::new(&self.0.open_connections);
        if let Err(e) = stream.set_nodelay(true) {
            tracing::debug!(error = %e, "socket option not set");
        }
        let limits = self.route_table().map(|t| t.limits);
        let idle = limits.map_or(DEFAULT_IDLE, |l| l.idle_timeout.into());
        let head = limits.and_then(|l| usize::try_from(l.head.get()).ok());
        let proxy = self.clone();
        let service = service_fn(move |req: Request<Incoming>| {
            let proxy = proxy.clone();
            async move {
                let open = Counted::new(&proxy.0.open_requests);
                let response = proxy.answer(req).await;
                drop(open);
                Ok::<_, Infallible>(response)
            }
        });
        let mut builder = http1::Builder::new();
        builder
            .timer(TokioTimer::new())
            .header_read_timeout(idle)
            .max_buf_size(head.unwrap_or(DEFAULT_HEAD).max(MIN_BUFFER));
        let mut served = pin!(builder.serve_connection(TokioIo::new(stream), service));
        let ended = tokio::select! {
            ended = served.as_mut() => ended,
            () = self.0.closing.cancelled() => {
                served.as_mut().graceful_shutdown();
                served.await
            }
        };
        if let Err(e) = ended {
            tracing::debug!(error = %e, "connection of a caller ended");
        }
    }

    /// Answers the balancer's questions for readiness until the process ends.
    pub async fn serve_readiness(&self, listener: TcpListener) {
        let proxy = self.clone();
        serve_pages(listener, move |path| {
            let status = match path {
                p if p != D::READINESS_PATH => StatusCode::NOT_FOUND,
                _ if proxy.is_ready() => StatusCode::OK,
                _ => StatusCode::SERVICE_UNAVAILABLE,
            };
            (status, Bytes::new())
        })
        .await;
    }

    /// Serves the metrics page until the process ends.
    pub async fn serve_metrics(&self, listener: TcpListener, metrics: PrometheusHandle) {
        serve_pages(listener, move |path| match path {
            METRICS => (StatusCode::OK, Bytes::from(metrics.render())),
            _ => (StatusCode::NOT_FOUND, Bytes::new()),
        })
        .await;
    }

    /// Waits until no request is being answered, and for a while until all connections have ended.
    ///
    /// A connection that was accepted before the close may bring its request after it, and the end of
    /// a response may still be in a buffer. One that stays silent is not waited for.
    pub async fn wait_until_drained(&self) {
        const POLL: Duration = Duration::from_millis(20);
        let waits = Instant::now() + CONNECTIONS_END;
        let connected = || self.0.open_connections.load(Ordering::Relaxed) > 0;
        while self.open_requests() > 0
            || self.0.dispatcher.in_flight() > 0
            || (connected() && Instant::now() < waits)
        {
            tokio::time::sleep(POLL).await;
        }
    }

    /// Tells whether connections are closed after their requests.
    #[must_use]
    pub fn is_closing(&self) -> bool {
        self.0.phase.load(Ordering::Relaxed) == CLOSING
    }
}

/// One more of what is counted, for as long as it lives.
struct Counted(Arc<AtomicUsize>);

impl Counted {
    fn new(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(count))
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Serves pages that depend on the path only.
async fn serve_pages(
    listener: TcpListener,
    page: impl Fn(&str) -> (StatusCode, Bytes) + Clone + Send + 'static,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
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
                .header_read_timeout(DEFAULT_IDLE);
            let served = builder.serve_connection(TokioIo::new(stream), service);
            if let Err(e) = served.await {
                tracing::debug!(error = %e, "connection to a page ended");
            }
        });
    }
}
