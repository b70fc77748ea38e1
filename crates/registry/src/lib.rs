//! Registered backend servers, as known to an entry host.
//!
//! Backend servers register themselves on the platform, and their entries expire when they are not
//! renewed, which also happens during an outage of the platform. A [`Registry`] applies the entries
//! that were read and keeps a server whose entry expired during an outage for a grace period in
//! which it can register again. [`build_deployment`] combines the registry and the operator's
//! routes into the deployment that the router uses.
//!
//! ```
//! use registry::Registry;
//! use types::Instant;
//!
//! let mut registry = Registry::default();
//! assert!(!registry.apply_listing(Instant::ZERO, Vec::new()));
//! assert!(registry.registrations().is_empty());
//! ```

mod deployment;
mod entries;

pub use deployment::build_deployment;
pub use entries::Registry;
