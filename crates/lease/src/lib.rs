//! Leader election by a lease, which gives one host the authority over a data centre.
//!
//! One object on the platform contains the holder, its epoch and the duration of the lease. Wall
//! clocks are not compared: a candidate acquires the lease after the object has not changed for the
//! whole duration on the candidate's own clock. The holder measures the duration from
//! an instant before it sent the last renewal, and gives up its authority a margin before the end.
//!
//! ```
//! use lease::{Action, Checks, Event, Lease, Params};
//! use types::{AttemptId, Epoch, Instant, Micros};
//!
//! let mut lease: Lease<u64> = Lease::new(Params {
//!     host: "a1".parse()?,
//!     process: AttemptId::new(1),
//!     duration: Micros::from_secs(10),
//!     poll_interval: Micros::from_secs(2),
//!     predecessors_ended: false,
//!     checks: Checks::default(),
//! });
//! let now = Instant::from_micros(1_000_000);
//! let mut out = Vec::new();
//! lease.step(now, Event::Tick, &mut out);
//! lease.step(now, Event::Read(None), &mut out);
//! lease.step(now, Event::Written(1), &mut out);
//! assert_eq!(out.last(), Some(&Action::Acquired(Epoch::new(1))));
//! assert_eq!(lease.authority(now), Some(Epoch::new(1)));
//! assert_eq!(lease.authority(now + Micros::from_secs(10)), None);
//! # Ok::<(), types::Error>(())
//! ```

mod machine;
mod record;

pub use machine::{Checks, Lease, Params};
pub use record::{Action, Event, Record};
