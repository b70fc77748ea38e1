//! Placement of models on workers.
//!
//! All entry points are pure functions. [`floor`] computes the minimum copies in all data centres
//! from the deployment file alone, so every controller gets the same result. [`plan`] compares the
//! state of one data centre with the floor and the demand, and returns the moves to order now.
//! [`plan_fleet`] does so for all workers of a service, without a floor.
//!
//! ```
//! use config::{BackendServer, DataCentre, Deployment, Model, Priority};
//! use types::Bytes;
//!
//! let deployment = Deployment {
//!     data_centres: vec![DataCentre { id: "north".parse()?, region: "isles".parse()? }],
//!     models: vec![Model {
//!         id: "wear-photo".parse()?,
//!         version: "v1".parse()?,
//!         service: "grind".parse()?,
//!         bytes: "20 GiB".parse()?,
//!         priority: Priority::new(0),
//!     }],
//!     backends: vec![BackendServer {
//!         id: "w1".parse()?,
//!         dc: "north".parse()?,
//!         service: "grind".parse()?,
//!         memory: "80 GiB".parse()?,
//!         adapter_pool: "8 GiB".parse()?,
//!         accelerators: 1,
//!         speed: 1.0,
//!         max_in_flight: 16,
//!         fences: false,
//!     }],
//!     ..Deployment::default()
//! };
//!
//! let copies = place::floor(&deployment, Bytes::ZERO).expect("the model fits");
//! assert_eq!(copies.len(), 1);
//! assert_eq!(copies[0].worker.as_str(), "w1");
//! # Ok::<(), types::Error>(())
//! ```

mod error;
mod fleet;
mod floor;
mod input;
mod load_distribution;
mod plan;
mod replica;
mod round;

pub use error::{Category, Error, Result};
pub use fleet::{FleetChange, FleetDemand, FleetInput, FleetWorker, plan_fleet};
pub use floor::{can_rely_on_remote_copy, floor, memory_headroom};
pub use input::{CopyState, Demand, ModelCopy, Move, Placement, PlanInput, Worker};
pub use plan::plan;
