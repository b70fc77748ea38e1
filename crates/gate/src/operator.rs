//! Routes for operators and balancers.

use metrics_exporter_prometheus::PrometheusHandle;
use salvo::http::{HeaderMap, StatusCode};
use types::Code;

use crate::{auth::Secret, refusal::Refusal, reply::Reply};

const TEXT: &str = "text/plain; charset=utf-8";

const JSON: &str = "application/json";

/// Source of the operator's report.
pub trait Reporter: Send + Sync + 'static {
    /// Returns the report as short plain text, within a bounded time.
    fn text(&self) -> impl Future<Output = String> + Send;

    /// Returns the report with all its facts, within a bounded time.
    fn json(&self) -> impl Future<Output = serde_json::Value> + Send;

    /// Returns the facts of this host's data centre, for the report of another entry host.
    fn local(&self) -> serde_json::Value;
}

/// What the routes for operators need.
pub(crate) struct Operator<W> {
    pub(crate) reporter: W,
    pub(crate) metrics: PrometheusHandle,
    /// Token of operators; without one, their routes are open.
    pub(crate) token: Option<Secret>,
    /// Token of entry hosts among themselves.
    pub(crate) host_token: Secret,
}

/// Readiness of the entry host as the balancer sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Readiness {
    Ready,
    NoConfiguration,
    Draining,
}

impl<W: Reporter> Operator<W> {
    /// Answers a request to an operator's route, or returns nothing for any other path.
    pub(crate) async fn answer(
        &self,
        path: &str,
        headers: &HeaderMap,
        query: &str,
        readiness: Readiness,
    ) -> Option<Result<Reply, Refusal>> {
        match path {
            "/livez" => Some(Ok(Reply::full(StatusCode::OK, TEXT, "ok\n"))),
            "/readyz" => Some(Ok(readyz(readiness))),
            "/metrics" => Some(self.check(headers).map(|()| {
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
            return Ok(Reply::full(StatusCode::OK, TEXT, text));
        }
        self.check(headers)?;
        let json = self.reporter.json().await.to_string();
        Ok(Reply::full(StatusCode::OK, JSON, json))
    }

    fn local(&self, headers: &HeaderMap) -> Result<Reply, Refusal> {
        if !self.host_token.is_sent(headers) {
            return Err(Code::Unauthenticated.into());
        }
        let json = self.reporter.local().to_string();
        Ok(Reply::full(StatusCode::OK, JSON, json))
    }

    fn check(&self, headers: &HeaderMap) -> Result<(), Refusal> {
        match &self.token {
            Some(token) if !token.is_sent(headers) => Err(Code::Unauthenticated.into()),
            _ => Ok(()),
        }
    }
}

/// Answers the balancer's probe, which is no request of a caller and counts as no refusal.
fn readyz(readiness: Readiness) -> Reply {
    match readiness {
        Readiness::Ready => Reply::full(StatusCode::OK, TEXT, "ok\n"),
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
