//! Placement on all workers of an installation, for workers that check the number of each order.
//!
//! One host holds the lease and sends all orders. Each worker counts the orders that it accepted,
//! which replaces the records on the platform; the platform stores only the lease.

mod candidates;
mod driver;
mod machine;
mod notices;

pub use candidates::lease_poll_interval;
pub use driver::{FleetController, FleetHandle, FleetSettings, WorkerAnswer, WorkerClient};
pub use machine::{
    Fleet, FleetAction, FleetEvent, PlacementRequest, PlacementRequestId, WorkerOrder,
};
