//! Gossip between entry hosts: heartbeats, load digests and configuration deltas.
//!
//! [`start`] listens for peers, exchanges state with two of them in each period and follows the
//! configuration on the platform. A state machine without I/O decides what to send and what to
//! accept. The process reads the results from the [`Handle`] and reports its own state to it.
//!
//! ```
//! use config::Secret;
//! use peer::{ConfigSource, Options, PeerHandler};
//! use types::{AdapterId, Epoch, Micros, Millicores, ModelId, Monotonic};
//!
//! #[derive(Clone)]
//! struct Process;
//!
//! impl PeerHandler for Process {
//!     async fn request_model(&self, _: ModelId, _: Option<AdapterId>) {}
//!
//!     async fn has_retired_epoch(&self, _: Epoch) -> bool {
//!         true
//!     }
//! }
//!
//! # tokio::runtime::Runtime::new().unwrap().block_on(async {
//! let options = Options {
//!     host: "entry-1".parse()?,
//!     dc: "akl-north".parse()?,
//!     listen: "127.0.0.1:0".parse()?,
//!     advertise: None,
//!     http: "127.0.0.1:8080".parse()?,
//!     capacity: Millicores::default(),
//!     seeds: Vec::new(),
//!     token: Secret::new("shared-by-all"),
//!     period: Micros::from_millis(20),
//!     config_source: ConfigSource::Relay,
//! };
//! let platform = store::MemPlatform::new();
//! let (handle, _updates) = peer::start(options, platform, Monotonic::start(), Process).await?;
//!
//! let mut members = handle.members();
//! members.wait_for(|members| members.len() == 1).await?;
//! handle.stop();
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! # }).unwrap();
//! ```

mod codec;
mod counting;
mod datagram;
mod duty;
mod error;
mod event;
mod exchange;
mod handle;
mod handler;
mod hosts;
mod load;
mod member;
mod message;
mod node;
mod outbox;
mod request_error;
mod residents;
mod slot;
mod source;
mod state;
mod sums;
mod traffic;
mod trial;
mod version;
mod wire;

pub use datagram::{
    BackendReport, Datagram, DatagramSocket, LeavingServer, Load, ModelDemand, Slowdown,
    UsageSource, name_hash,
};
pub use duty::rank_hosts;
pub use error::{Category, Error, Result};
pub use event::ConfigSource;
pub use handle::{Convergence, Handle, Options, SuspectPush, start};
pub use handler::PeerHandler;
pub use hosts::{Host, Inventory};
pub use member::{Member, MemberState};
pub use message::{ConfigOffer, Facts, KnownConfig, KnownFacts, MessageKind, Readiness};
pub use node::{AckOnDrop, PeerUpdate};
pub use outbox::{CrashOutbox, Recipients};
pub use request_error::{FailureReason, RequestError};
pub use source::{NoFacts, ReadPlan, SourceSelector, hosts_by_distance, uses_relays};
pub use sums::{ReportSums, Summable, subtract};
pub use traffic::Traffic;

/// Hashes a list of parts. Each part is prefixed with its length, so that different lists with the
/// same concatenation have different hashes.
pub(crate) fn hash(parts: &[&[u8]]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let mut head = [0; 8];
    head.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(head)
}

/// Hashes a list of parts to a non-zero 32-bit value.
pub(crate) fn short_hash(parts: &[&[u8]]) -> u32 {
    let [a, b, c, d, ..] = hash(parts).to_le_bytes();
    u32::from_le_bytes([a, b, c, d]).max(1)
}

#[cfg(test)]
#[path = "../tests/state/mod.rs"]
mod state_tests;
