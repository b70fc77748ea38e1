//! Authority to give orders in a data centre.
//!
//! One object on the platform names the holder, its epoch and a duration. No wall clock is used: a
//! candidate waits until the object was unchanged for the whole duration on its own clock, and the
//! holder counts its validity from before it sent the last renewal and stops a margin earlier.
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
