//! Registered backend servers, as known to an entry host.
//!
//! Backend servers register themselves on the platform, and their entries expire when they are not
//! renewed, which also happens during an outage of the platform. A [`Registry`] applies the entries
//! that were read, in the order of the platform's revisions, and keeps a server whose entry expired during an outage for a grace period in
//! which it can register again. [`build_deployment`] combines the registry and the operator's
//! routes into the deployment that the router uses.
//!
//! ```
//! use registry::{Applied, ReadPoint, Registry};
//! use types::{Instant, StoreRevision};
//!
//! let mut registry = Registry::default();
//! let read = ReadPoint { revision: StoreRevision::new(7), at: Instant::ZERO };
//! assert_eq!(registry.apply_listing(Instant::ZERO, read, Vec::new()), Applied::Unchanged);
//! assert!(registry.registrations().is_empty());
//! ```

mod deployment;
mod entries;

pub use deployment::build_deployment;
pub use entries::{Applied, EntryChange, ReadPoint, Registry};
