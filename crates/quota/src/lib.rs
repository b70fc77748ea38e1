//! Quotas of client accounts over all entry hosts.
//!
//! Each host decides with a [`Limiter`] whether it admits a request. It knows exactly what it has
//! admitted itself, and from sums that hosts exchange ([`UsageSums`]) what the others have. The state
//! machines do no I/O and read no clock.
//!
//! ```
//! use quota::{Decision, Limit, Limiter, Tolerance};
//! use types::{AccountId, Instant};
//!
//! let account: AccountId = "assessors".parse()?;
//! let mut limiter = Limiter::new(Tolerance::default(), Instant::ZERO, 1);
//! let limit = Limit { per_second: 1_000.0, burst: 1_000.0 };
//! limiter.configure(vec![(account.clone(), limit)]);
//! limiter.set_hosts(1);
//!
//! let now = Instant::from_micros(60_000_000);
//! let decision = limiter.admit(now, &account, 400);
//! assert!(matches!(decision, Decision::Admitted(_)));
//! # Ok::<(), types::Error>(())
//! ```

mod history;
mod limit;
mod limiter;
mod others;
mod rules;
mod sums;
mod usage;

pub use limit::{Limit, Tolerance};
pub use limiter::{Charge, Decision, LimitChange, Limiter, View};
pub use sums::{Totals, UsageSums};
pub use usage::{AccountUsage, WINDOWS, account_hash, subtract};
