//! Starts, holds, freezes and stops the processes of a test.

mod cluster;
mod deployment;
mod entry;
mod process;
mod stage;

use std::{net::SocketAddr, sync::LazyLock, time::Duration};

use reqwest::{Client, Method};
use serde_json::Value;
use tokio::time::{Instant, sleep};

pub use cluster::{Backend, Cluster, HostLinks, Layout};
pub use deployment::{CALLER_TOKEN, small};
pub use entry::{EntryHost, Reply};
pub use process::Process;
pub use stage::{Stage, StandIn};

/// Pause between two looks at a condition.
const POLL: Duration = Duration::from_millis(20);

/// Bounds one call of a test to a stand-in.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

static CLIENT: LazyLock<Client> = LazyLock::new(|| {
    // A pooled connection through a cut link would fail a later call of another test step.
    let client = Client::builder().pool_max_idle_per_host(0).no_proxy();
    client
        .timeout(CALL_TIMEOUT)
        .build()
        .expect("an HTTP client")
});

/// Looks at a condition until it holds.
///
/// # Panics
/// When it does not hold within the limit.
pub async fn eventually<F: Future<Output = bool>>(
    limit: Duration,
    what: &str,
    mut holds: impl FnMut() -> F,
) {
    let until = Instant::now() + limit;
    while !holds().await {
        assert!(Instant::now() < until, "not within {limit:?}: {what}");
        sleep(POLL).await;
    }
}

/// Reads a path and returns the status and JSON body, with status 0 for a broken connection.
pub async fn get(addr: SocketAddr, path: &str) -> (u16, Value) {
    call(Method::GET, addr, path, None).await
}

/// Sends a JSON body and returns the status and JSON body, with status 0 for a broken connection.
pub async fn post(addr: SocketAddr, path: &str, body: &Value) -> (u16, Value) {
    call(Method::POST, addr, path, Some(body)).await
}

/// Sends a call with a JSON body and returns the status and JSON body.
pub(crate) async fn call(
    method: Method,
    addr: SocketAddr,
    path: &str,
    body: Option<&Value>,
) -> (u16, Value) {
    let mut req = CLIENT.request(method, format!("http://{addr}{path}"));
    if let Some(body) = body {
        req = req.json(body);
    }
    finish(req).await
}

async fn finish(req: reqwest::RequestBuilder) -> (u16, Value) {
    let Ok(res) = req.send().await else {
        return (0, Value::Null);
    };
    let status = res.status().as_u16();
    match res.bytes().await {
        Ok(body) => (status, serde_json::from_slice(&body).unwrap_or_default()),
        Err(_e) => (0, Value::Null),
    }
}
