//! Load reports, orders, and crash detection after a lost connection.

use std::time::Duration;

use metrics::counter;
use reqwest::{RequestBuilder, Response, StatusCode};
use serde::Deserialize;
use types::{Epoch, LoadReport, Order};

use crate::{
    client::{Client, Server, classify, is_refused, root_cause},
    error::{Category, Error, Result},
};

/// Counter of the body bytes of load reports and other control responses.
const CONTROL_BYTES: &str = "celerytally_load_report_bytes_total";

/// Timeout of reading a load report.
const LOAD_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout of posting an order, which the engine accepts without waiting for the load to finish.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

#[derive(Deserialize)]
struct FencedResponse {
    fence: Epoch,
}

impl Client {
    /// Reads the load report of a backend server.
    ///
    /// # Errors
    /// `Unreachable`, `ConnectionLost`, `Timeout`, `Refused` for an error status, `Malformed`.
    pub async fn load_report(&self, server: &Server) -> Result<LoadReport> {
        let url = format!("http://{}/load", server.addr);
        let response = send_and_check(server, self.pooled().get(url), LOAD_TIMEOUT).await?;
        let report = decode::<LoadReport>(server, response).await?;
        self.record_incarnation(&server.id, report.incarnation);
        Ok(report)
    }

    /// Posts an order. Its id makes the call idempotent.
    ///
    /// # Errors
    /// `Fenced` when the engine has seen a higher fencing token, `OutOfMemory`, and otherwise as
    /// [`load_report`](Self::load_report). After `ConnectionLost`, `Timeout` and
    /// `Malformed` the order may have arrived.
    pub async fn post_order(&self, server: &Server, order: &Order) -> Result<()> {
        let url = format!("http://{}/orders", server.addr);
        let req = self.unpooled().post(url).json(order);
        let response = send(server, req, ORDER_TIMEOUT).await?;
        match response.status() {
            s if s.is_success() => Ok(()),
            StatusCode::CONFLICT => {
                let newest = decode::<FencedResponse>(server, response).await.ok();
                let fenced = Error::new(Category::Fenced, &server.id, &order.name);
                Err(fenced.with_fence(newest.map(|r| r.fence)))
            }
            StatusCode::INSUFFICIENT_STORAGE => {
                Err(Error::new(Category::OutOfMemory, &server.id, &order.name))
            }
            s => Err(Error::new(Category::Refused, &server.id, s)),
        }
    }

    /// Distinguishes a crash of the server from a lost connection by reading its load report.
    ///
    /// A refused connection or a new incarnation turns `ConnectionLost` and `Truncated` into
    /// `Crashed`. Other errors are returned unchanged.
    pub async fn diagnose(&self, server: &Server, err: Error) -> Error {
        if !matches!(
            err.category(),
            Category::ConnectionLost | Category::Truncated
        ) {
            return err;
        }
        let url = format!("http://{}/load", server.addr);
        // A pooled connection to the previous process would fail in the same way.
        match self.unpooled().get(url).timeout(LOAD_TIMEOUT).send().await {
            Err(e) if is_refused(&e) => err.into_crashed(),
            Err(_) => err,
            Ok(response) => match decode::<LoadReport>(server, response).await {
                Ok(report) => {
                    self.record_incarnation(&server.id, report.incarnation);
                    match err.incarnation() {
                        Some(incarnation) if incarnation != report.incarnation => {
                            err.into_crashed()
                        }
                        _ => err,
                    }
                }
                Err(_) => err,
            },
        }
    }
}

async fn send(server: &Server, req: RequestBuilder, timeout: Duration) -> Result<Response> {
    req.timeout(timeout).send().await.map_err(|e| {
        if e.is_timeout() && !e.is_connect() {
            Error::new(Category::Timeout, &server.id, root_cause(&e))
        } else {
            classify(&server.id, &e)
        }
    })
}

async fn send_and_check(
    server: &Server,
    req: RequestBuilder,
    timeout: Duration,
) -> Result<Response> {
    let response = send(server, req, timeout).await?;
    if response.status().is_success() {
        Ok(response)
    } else {
        Err(Error::new(Category::Refused, &server.id, response.status()))
    }
}

async fn decode<T: serde::de::DeserializeOwned>(server: &Server, response: Response) -> Result<T> {
    let malformed = |e: String| Error::new(Category::Malformed, &server.id, e);
    let body = response
        .bytes()
        .await
        .map_err(|e| malformed(root_cause(&e)))?;
    counter!(CONTROL_BYTES).increment(body.len() as u64);
    serde_json::from_slice(&body).map_err(|e| malformed(e.to_string()))
}
