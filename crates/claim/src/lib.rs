//! Claims that let a keyed request run at most once.
//!
//! An attempt creates the record of its key on the platform, dispatches the request once the
//! record is known to be its own, and then stores the outcome. The machine performs nothing
//! itself: its driver carries out the actions and feeds back what came of them.
//!
//! ```
//! use claim::{Action, Claim, Event};
//! use types::{AttemptId, Instant};
//!
//! let mut claim = Claim::new(AttemptId::new(1), "hash of the body".to_owned());
//! let mut out = Vec::new();
//! claim.step(Instant::ZERO, Event::Start, &mut out);
//! assert!(matches!(out.pop(), Some(Action::Create(_))));
//!
//! // The answer to the write was lost: nothing is dispatched before it is read back.
//! claim.step(Instant::ZERO, Event::Unanswered, &mut out);
//! assert_eq!(out.pop(), Some(Action::Read));
//! claim.step(Instant::ZERO, Event::ReadFailed, &mut out);
//! assert!(matches!(out.pop(), Some(Action::Reply(_))));
//! assert!(!out.contains(&Action::Dispatch));
//! ```

mod attempt;
mod event;

pub use attempt::{Checks, Claim};
pub use event::{Action, Answer, Event, Outcome, Owner, Record, Reply, State};
