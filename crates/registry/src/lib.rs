//! What an entry host believes of the registered backend servers.
//!
//! Backend servers register themselves on the platform, and their entries lapse when they are
//! silent, also because the platform was away. A [`Registry`] takes what is read of the entries and
//! keeps a server whose entry lapsed during an outage until it had time to register again.
//! [`build_deployment`] joins the registry with the operator's routes into what the router works on.
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
