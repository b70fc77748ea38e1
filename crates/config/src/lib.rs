//! Host settings, and the deployment file with its versions.
//!
//! Both files are TOML; validation reports all faults in one run. A validated [`Deployment`] is
//! applied to the platform as content-addressed chunks and a manifest. Hosts load it as a
//! [`Snapshot`] and update it with [`Delta`]s.
//!
//! ```
//! use config::Deployment;
//!
//! let text = r#"
//!     name = "bench"
//!     objective = { attainment = 1.0, moves = "few" }
//!     limits = { body = "1 MiB", headers = "16 KiB", queue = 64, weight_store_slots = 2,
//!         weight_store_rate = "1.4 per second", adapter_loads = 16, claim_retention = "24 h" }
//! "#;
//! let err = config::from_str::<Deployment>(text).unwrap_err();
//! let faults: Vec<String> = err.faults().iter().map(ToString::to_string).collect();
//! assert_eq!(faults, [
//!     "input:3: objective.moves: expected a number from 0 to 1000000, found string",
//!     "input:5: limits.weight_store_rate: expected a rate such as `1.4/s`, found `1.4 per second`",
//! ]);
//! ```

mod accounts;
mod apply;
mod check;
mod delta;
mod deployment;
mod document;
mod entry;
mod entry_host;
mod error;
mod routes;
mod secret;
mod settings;
mod version;

pub use accounts::{Account, Accounts, KeyHash, Quota, QuotaUnit};
pub use apply::{Applied, apply, load, load_manifest, load_reusing_chunks};
pub use delta::Delta;
pub use deployment::{
    ActiveConfig, Adapter, BackendServer, Caller, DataCentre, Deployment, Limits, Model, Objective,
    Priority, Service, ServiceKind, TokenHash,
};
pub use document::{Checked, Document, from_path, from_str};
pub use entry::{DeploymentHeader, Entry};
pub use entry_host::{Bounds, EntrySettings, QuotaBounds, ResourceLimits};
pub use error::{Category, Error, Fault, Result};
pub use routes::{
    CallerLimits, EngineSpec, ModelSpec, RetryPolicy, Route, RouteTable, RoutedService,
    WeightedService,
};
pub use secret::Secret;
pub use settings::{HostSettings, LogFormat, LogLevel, Tuning};
pub use version::{ApplyRecord, Chunk, ChunkHash, DeltaBase, Manifest, RetiredChunk, Snapshot};
