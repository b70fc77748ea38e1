//! Short status report for operators.
//!
//! The first line of a [`Report`] tells whether the deployment is healthy; the next lines list the
//! problems. A report has at most 12 lines of 40 columns, so that it fits on the screen of a phone.
//!
//! ```
//! use report::{DeploymentStatus, Report};
//!
//! let mut status = DeploymentStatus::new("te-awa");
//! status.version = Some("7".parse()?);
//! status.hosts = (7, 7);
//! status.dead_backends.push("w03".parse()?);
//!
//! let report = Report::new(&status);
//! assert!(!report.is_ok());
//! assert_eq!(report.lines()[0], "NOT OK: 1 backend server dead");
//! assert_eq!(report.lines()[1], "dead: w03");
//! # Ok::<(), types::Error>(())
//! ```

mod facts;
mod text;

pub use facts::{DataCentreStatus, DeploymentStatus, ModelCopies};
pub use text::{MAX_COLUMNS, MAX_LINES, Report};
