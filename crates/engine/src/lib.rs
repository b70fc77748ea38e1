//! Client of backend servers: requests, streams, orders and load reports.
//!
//! A [`Client`] sends a [`Call`] to a [`Server`] and returns an [`Answer`] only if the server
//! echoed the request id. Every other outcome is an [`Error`], whose [`Category`] tells the caller
//! whether the request may have been run.
//!
//! ```
//! use std::net::Ipv4Addr;
//!
//! use engine::{Call, Category, Client, Server};
//! use types::RequestId;
//!
//! # tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(async {
//! let client = Client::new()?;
//! // Nothing listens on port 1, so the request is not run.
//! let server = Server { id: "w1".parse().unwrap(), addr: (Ipv4Addr::LOCALHOST, 1).into() };
//! let err = client.send(&server, Call::get(RequestId::new(7), "/status")).await.unwrap_err();
//! assert_eq!(err.category(), Category::Unreachable);
//! assert!(!err.may_have_run());
//! # Ok::<(), engine::Error>(())
//! # }).unwrap();
//! ```

mod answer;
mod cache;
mod client;
mod control;
mod error;
mod incarnations;
mod pool;
mod sse;

pub use answer::{Answer, BufferedResponse, Events, LoadHint};
pub use cache::{CacheEvent, CacheEvents, CacheUpdate, prefix_key};
pub use client::{Call, Checks, Client, Protocol, Server};
pub use error::{Category, Error, Result};
pub use pool::{ConnectError, Connection, Pool, SendOutcome};
