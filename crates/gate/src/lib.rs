//! HTTP API of an entry host, for callers and operators.
//!
//! A [`Gate`] passes each request through a chain of filters: authenticate, limit, parse, claim,
//! admit and route, dispatch, validate, stream, record, count. Each filter maps one typed value to
//! the next, or to a [`Refusal`] with a result code.
//!
//! The binary creates the gate from its [`GateParts`], feeds the router through
//! [`Gate::dispatcher`] (configuration, load reports, digests, liveness, suspects, and a tick every
//! few milliseconds), sets the addresses of the backend servers, and serves until the gate is
//! drained:
//!
//! ```
//! use std::time::Duration;
//!
//! use gate::{Gate, GateParts, NoPeers, Reporter, StateMachine};
//! use metrics_exporter_prometheus::PrometheusBuilder;
//! use route::{Action, Event};
//! use types::{Incarnation, Instant, Monotonic};
//!
//! /// Substitute for `route::Router`.
//! struct Router;
//!
//! impl StateMachine for Router {
//!     fn step(&mut self, _now: Instant, _ev: Event, _out: &mut Vec<Action>) {}
//! }
//!
//! struct Report;
//!
//! impl Reporter for Report {
//!     async fn text(&self) -> String {
//!         "OK".to_owned()
//!     }
//!
//!     async fn json(&self) -> serde_json::Value {
//!         serde_json::json!({})
//!     }
//!
//!     fn local(&self) -> serde_json::Value {
//!         serde_json::json!({})
//!     }
//! }
//!
//! # tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(async {
//! let gate = Gate::new(GateParts {
//!     clock: Monotonic::start(),
//!     router: Router,
//!     peers: NoPeers,
//!     platform: store::MemPlatform::new(),
//!     reporter: Report,
//!     metrics: PrometheusBuilder::new().build_recorder().handle(),
//!     owner: claim::Owner { host: "h1".parse().unwrap(), incarnation: Incarnation::new(1) },
//!     engine: engine::Client::new().unwrap(),
//!     host_token: "token of the entry hosts".to_owned(),
//!     operator_token: None,
//! })?;
//! gate.dispatcher().set_servers(Vec::new());
//! gate.dispatcher().feed(Event::Tick);
//!
//! let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
//! let (served, ()) = tokio::join!(gate.serve(listener), gate.drain(Duration::from_millis(1)));
//! served?;
//! # Ok::<(), gate::Error>(())
//! # }).unwrap();
//! ```

mod attempt;
mod auth;
mod call;
mod claim_driver;
mod claims;
mod counters;
mod dispatcher;
mod error;
mod limit;
mod model_requests;
mod operator;
mod peers;
mod prompt;
mod proxy;
mod record;
mod refusal;
mod relay;
mod reply;
mod request;
mod retention;
mod serve;

pub use counters::Counters;
pub use dispatcher::{Checks, Dispatcher, StateMachine};
pub use error::{Category, Error, Result};
pub use operator::Reporter;
pub use peers::{NoPeers, Peers};
pub use proxy::{
    AttemptInfo, HeaderCodec, Identity, Proxy, ProxyParts, Quotas, RequestInfo, ResponseClass,
};
pub use refusal::Refusal;
pub use serve::{Gate, GateParts};
