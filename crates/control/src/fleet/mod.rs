//! Placement over all workers of an installation whose workers check the number of orders.
//!
//! One host holds the lease and gives all orders. The workers' own count of orders takes the place
//! of records on the platform, so the platform keeps the lease and nothing else.

mod driver;
mod machine;

pub use driver::{FleetController, FleetHandle, FleetSettings, WorkerClient};
pub use machine::{
    Fleet, FleetAction, FleetEvent, PlacementRequest, PlacementRequestId, WorkerOrder,
};
