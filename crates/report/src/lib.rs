//! The short status report for operators.
//!
//! A [`Report`] says in its first line whether the intended state holds, then why not. It has at
//! most twelve lines of 40 columns, so that it fits the screen of a phone.
//!
//! ```
//! use report::{DeploymentStatus, Report};
//!
//! let mut facts = DeploymentStatus::new("te-awa");
//! facts.version = Some("7".parse()?);
//! facts.hosts = (7, 7);
//! facts.dead_backends.push("w03".parse()?);
//!
//! let report = Report::new(&facts);
//! assert!(!report.is_ok());
//! assert_eq!(report.lines()[0], "NOT OK: 1 backend server dead");
//! assert_eq!(report.lines()[1], "dead: w03");
//! # Ok::<(), types::Error>(())
//! ```

mod facts;
mod text;

pub use facts::{DataCentreStatus, DeploymentStatus, ModelCopies};
pub use text::{MAX_COLUMNS, MAX_LINES, Report};
