//! Endpoints for operators and load balancers.

use metrics_exporter_prometheus::PrometheusHandle;
use salvo::http::{HeaderMap, StatusCode};
use types::Code;

use crate::{auth::TokenVerifier, refusal::Refusal, reply::Reply};

const TEXT_CONTENT_TYPE: &str = "text/plain; charset=utf-8";

const JSON_CONTENT_TYPE: &str = "application/json";

/// Source of operator reports.
pub trait Reporter: Send + Sync + 'static {
    /// Returns a short plain-text report, within a bounded time.
    fn text(&self) -> impl Future<Output = String> + Send;

    /// Returns the complete report, within a bounded time.
    fn json(&self) -> impl Future<Output = serde_json::Value> + Send;

    /// Returns the facts of this host's data centre, for reports of other entry hosts.
    fn local(&self) -> serde_json::Value;
}

/// State of the operator endpoints.
pub(crate) struct OperatorApi<W> {
    pub(crate) reporter: W,
    pub(crate) metrics: PrometheusHandle,
    /// Operator token. Without one, the endpoints are open.
    pub(crate) token: Option<TokenVerifier>,
    /// Token shared by the entry hosts.
    pub(crate) host_token: TokenVerifier,
}

/// Readiness of the entry host as reported to the load balancer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Readiness {
    Ready,
    NoConfiguration,
    Draining,
}

impl<W: Reporter> OperatorApi<W> {
    /// Handles a request to an operator endpoint. Returns `None` for any other path.
    pub(crate) async fn handle(
        &self,
        path: &str,
        headers: &HeaderMap,
        query: &str,
        readiness: Readiness,
    ) -> Option<Result<Reply, Refusal>> {
        match path {
            "/livez" => Some(Ok(Reply::full(StatusCode::OK, TEXT_CONTENT_TYPE, "ok\n"))),
            "/readyz" => Some(Ok(readyz(readiness))),
            "/metrics" => Some(self.authorize(headers).map(|()| {
                let text = "text/plain; version=0.0.4";
                Reply::full(StatusCode::OK, text, self.metrics.render())
            })),
            "/report" => Some(self.report(headers, query).await),
            "/report/local" => Some(self.local(headers)),
            _ => None,
        }
    }

    async fn report(&self, headers: &HeaderMap, query: &str) -> Result<Reply, Refusal> {
        if !wants_json(headers, query) {
            let text = self.reporter.text().await;
            return Ok(Reply::full(StatusCode::OK, TEXT_CONTENT_TYPE, text));
        }
        self.authorize(headers)?;
        let json = self.reporter.json().await.to_string();
        Ok(Reply::full(StatusCode::OK, JSON_CONTENT_TYPE, json))
    }

    fn local(&self, headers: &HeaderMap) -> Result<Reply, Refusal> {
        if !self.host_token.matches(headers) {
            return Err(Code::Unauthenticated.into());
        }
        let json = self.reporter.local().to_string();
        Ok(Reply::full(StatusCode::OK, JSON_CONTENT_TYPE, json))
    }

    fn authorize(&self, headers: &HeaderMap) -> Result<(), Refusal> {
        match &self.token {
            Some(token) if !token.matches(headers) => Err(Code::Unauthenticated.into()),
            _ => Ok(()),
        }
    }
}

/// Answers a readiness probe, which counts neither as a request nor as a refusal.
fn readyz(readiness: Readiness) -> Reply {
    match readiness {
        Readiness::Ready => Reply::full(StatusCode::OK, TEXT_CONTENT_TYPE, "ok\n"),
        Readiness::NoConfiguration => Refusal::from(Code::NotReady).into(),
        Readiness::Draining => Refusal::from(Code::Draining).into(),
    }
}

fn wants_json(headers: &HeaderMap, query: &str) -> bool {
    let accept = headers.get("accept").and_then(|v| v.to_str().ok());
    query
        .split('&')
        .any(|pair| matches!(pair, "format=json" | "json"))
        || accept.is_some_and(|v| v.starts_with("application/json"))
}
