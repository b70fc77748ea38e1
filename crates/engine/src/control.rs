//! Load reports, orders, and the diagnosis of a broken connection.

use std::time::Duration;

use metrics::counter;
use reqwest::{RequestBuilder, Response, StatusCode};
use serde::Deserialize;
use types::{Epoch, LoadReport, Order};

use crate::{
    client::{Client, Server, classify, is_refused, root},
    error::{Category, Error, Result},
};

/// Counter of bytes of load reports and other control answers, without headers.
const CONTROL_BYTES: &str = "celerytally_load_report_bytes_total";

/// Bounds the read of a load report.
const LOAD_TIMEOUT: Duration = Duration::from_millis(500);

/// Bounds the post of an order, which the engine accepts without waiting for the load.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

#[derive(Deserialize)]
struct Refusal {
    fence: Epoch,
}

impl Client {
    /// Reads the load report of a backend server.
    ///
    /// # Errors
    /// `Unreachable`, `ConnectionLost`, `Timeout`, `Refused` for an error status, `Malformed`.
    pub async fn load_report(&self, server: &Server) -> Result<LoadReport> {
        let url = format!("http://{}/load", server.addr);
        let answer = call(server, self.pooled().get(url), LOAD_TIMEOUT).await?;
        let report = decode::<LoadReport>(server, answer).await?;
        self.note_life(&server.id, report.incarnation);
        Ok(report)
    }

    /// Posts an order, which is idempotent by its id.
    ///
    /// # Errors
    /// `Fenced` when the engine has seen a higher fencing token, `OutOfMemory`, and otherwise as
    /// [`load_report`](Self::load_report). After `ConnectionLost`, `Timeout` and `Malformed` the order may have arrived.
    pub async fn post_order(&self, server: &Server, order: &Order) -> Result<()> {
        let url = format!("http://{}/orders", server.addr);
        let req = self.fresh().post(url).json(order);
        let answer = send(server, req, ORDER_TIMEOUT).await?;
        match answer.status() {
            s if s.is_success() => Ok(()),
            StatusCode::CONFLICT => {
                let newest = decode::<Refusal>(server, answer).await.ok();
                let fenced = Error::new(Category::Fenced, &server.id, &order.name);
                Err(fenced.with_fence(newest.map(|r| r.fence)))
            }
            StatusCode::INSUFFICIENT_STORAGE => {
                Err(Error::new(Category::OutOfMemory, &server.id, &order.name))
            }
            s => Err(Error::new(Category::Refused, &server.id, s)),
        }
    }

    /// Tells a crash of the server from a broken connection by reading its load report.
    ///
    /// A refused connection or a new incarnation turns `ConnectionLost` and `Truncated` into `Crashed`. Other
    /// errors are returned unchanged.
    pub async fn diagnose(&self, server: &Server, err: Error) -> Error {
        if !matches!(
            err.category(),
            Category::ConnectionLost | Category::Truncated
        ) {
            return err;
        }
        let url = format!("http://{}/load", server.addr);
        // A pooled connection to the former process would break in the same way.
        match self.fresh().get(url).timeout(LOAD_TIMEOUT).send().await {
            Err(e) if is_refused(&e) => err.into_crash(),
            Err(_) => err,
            Ok(answer) => match decode::<LoadReport>(server, answer).await {
                Ok(report) => {
                    self.note_life(&server.id, report.incarnation);
                    match err.incarnation() {
                        Some(life) if life != report.incarnation => err.into_crash(),
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
            Error::new(Category::Timeout, &server.id, root(&e))
        } else {
            classify(&server.id, &e)
        }
    })
}

async fn call(server: &Server, req: RequestBuilder, timeout: Duration) -> Result<Response> {
    let answer = send(server, req, timeout).await?;
    if answer.status().is_success() {
        Ok(answer)
    } else {
        Err(Error::new(Category::Refused, &server.id, answer.status()))
    }
}

async fn decode<T: serde::de::DeserializeOwned>(server: &Server, answer: Response) -> Result<T> {
    let malformed = |e: String| Error::new(Category::Malformed, &server.id, e);
    let body = answer.bytes().await.map_err(|e| malformed(root(&e)))?;
    counter!(CONTROL_BYTES).increment(body.len() as u64);
    serde_json::from_slice(&body).map_err(|e| malformed(e.to_string()))
}
