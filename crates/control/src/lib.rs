//! Placement controllers, which load models onto workers and unload them.
//!
//! A [`Controller`] runs on every entry host of a data centre. The one that holds the lease of the
//! data centre plans the placement and turns its moves into recorded orders; the others send none.
//! A [`FleetController`] does the same for the workers of all data centres, if these workers check
//! the number of each order.
//!
//! ```
//! # use control::{BackendClient, Controller, Peers, Planner, Settings};
//! # use orders::SendOutcome;
//! # use store::MemPlatform;
//! # use tokio_util::sync::CancellationToken;
//! # use types::{BackendId, Clock, Epoch, HostId, LoadReport, Micros, ModelId, Monotonic, Order};
//! # #[derive(Clone)]
//! # struct NoBackends;
//! # #[derive(Clone)]
//! # struct NoPeers;
//! # impl BackendClient for NoBackends {
//! #     async fn send_order(&self, _: &BackendId, _: &Order) -> SendOutcome { SendOutcome::Lost }
//! #     async fn fetch_load_report(&self, _: &BackendId) -> Option<LoadReport> { None }
//! # }
//! # impl Peers for NoPeers {
//! #     async fn has_retired_epoch(&self, _: &HostId, _: Epoch) -> bool { false }
//! #     fn is_deregistered(&self, _: &HostId) -> bool { false }
//! #     fn ready_elsewhere(&self) -> Vec<ModelId> { Vec::new() }
//! # }
//! # fn main() -> Result<(), types::Error> {
//! let settings = Settings {
//!     host: "a1".parse()?,
//!     dc: "a".parse()?,
//!     lease_duration: Settings::DEFAULT_LEASE_DURATION,
//!     seed: 1,
//!     base_tokens_per_second: 1_000.0,
//!     planner: Planner { plan: |_| Vec::new(), floor: |_, _| Vec::new() },
//! };
//! # let runtime = tokio::runtime::Builder::new_current_thread();
//! # let runtime = { runtime }.enable_time().start_paused(true).build().unwrap();
//! # runtime.block_on(async {
//! let (platform, clock) = (MemPlatform::new(), Monotonic::start());
//! let (controller, mut handle) = Controller::new(platform, clock, NoBackends, NoPeers, settings);
//! let stop = CancellationToken::new();
//! let running = tokio::spawn(controller.run(stop.clone()));
//!
//! // The only host of the data centre acquires the lease and releases it when it stops.
//! handle.status.wait_for(|status| status.authority).await.unwrap();
//! assert!(!handle.try_retire_epoch(Epoch::new(1)));
//! stop.cancel();
//! running.await.unwrap();
//! assert!(handle.try_retire_epoch(Epoch::new(1)));
//! # });
//! # Ok(())
//! # }
//! ```

mod calls;
mod controller;
mod epochs;
mod event;
mod fleet;
mod kinds;
mod round;
mod term;

pub use controller::{Controller, Handle};
pub use event::{BackendClient, Event, ModelDemand, Peers, Planner, Settings, Status};
pub use fleet::{
    Fleet, FleetAction, FleetController, FleetEvent, FleetHandle, FleetSettings, PlacementRequest,
    PlacementRequestId, WorkerAnswer, WorkerClient, WorkerOrder, lease_poll_interval,
};
pub use kinds::{BackendRecordObject, LeaseObject, SlotObject};
