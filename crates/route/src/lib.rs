//! Backend server selection, admission queue, retry budget and suspect requests.
//!
//! [`Router`] is a pure state machine: the driver feeds it events and performs its actions. It
//! reads no clock and does no I/O, so every decision can be replayed from a seed.
//!
//! ```
//! use std::sync::Arc;
//!
//! use config::{Deployment, ActiveConfig};
//! use route::{Action, Event, Fingerprint, Router, Settings, Target, RoutingRequest};
//! use types::{Code, ConfigVersion, Deadline, Instant, Micros, RequestId};
//!
//! let mut router = Router::new(Settings::default(), 7);
//! let deployment = Arc::new(Deployment::default());
//! let in_force = ActiveConfig { version: ConfigVersion::new(1), deployment };
//! let (now, mut out) = (Instant::ZERO, Vec::new());
//! router.step(now, Event::Config(Arc::new(in_force)), &mut out);
//!
//! let request = RoutingRequest {
//!     id: RequestId::new(1),
//!     fingerprint: Fingerprint::new(1),
//!     service: "grind".parse()?,
//!     target: Target::Plain,
//!     priority: config::Priority::new(0),
//!     deadline: Deadline::after(now, Micros::from_secs(1)),
//!     idempotent: true,
//!     prompt_tokens: 0,
//!     output_tokens: 0,
//!     prefixes: Vec::new(),
//!     forwarded: false,
//!     options: route::RequestOptions::default(),
//! };
//! router.step(now, Event::Arrive(request), &mut out);
//! assert!(matches!(out[0], Action::Refuse { code: Code::UnknownService, .. }));
//! # Ok::<(), types::Error>(())
//! ```

mod admit;
mod apply;
mod backend;
mod budget;
mod choose;
mod counts;
mod crash;
mod demand;
mod departed;
mod dispatch;
mod dispatch_queue;
mod event;
mod fail;
mod first_token;
mod names;
mod no_candidate;
mod observe;
mod overdue;
mod peer_load;
mod placement;
mod prefix;
mod queue;
mod remote;
mod replica;
mod requests;
mod retry_after;
mod router;
mod settings;
mod slots;
mod slowdown;
mod takeover;
mod view;
mod window;

pub use counts::Counts;
pub use crash::evidence::MAX_TRIALS;
pub use crash::suspect::{
    BlockedSuspect, CrashReport, CrashUpdate, ResponseReport, Suspect, SuspectRecord, SuspectState,
    TrialReply, TrialRequest, Verdict, VerdictCause,
};
pub use event::{
    Action, BackendLoad, BackendRegistration, Event, Failure, Fingerprint, Liveness,
    RequestOptions, RoutingRequest, Target,
};
pub use peer_load::SentLoad;
pub use router::Router;
pub use settings::{LatencyMetric, Settings};
pub use slots::SlotTable;
pub use slowdown::ObservedSlowdown;
pub use view::{BackendView, ModelDemand};
pub use window::RetryLimits;
