//! Client of the platform's object API.
//!
//! State that must survive the loss of a host is stored in objects of a [`Kind`], which are read
//! and written through a [`Platform`]. [`HttpPlatform`] calls the platform over HTTP.
//! [`MemPlatform`] keeps objects in memory for tests and can inject failures and lost responses.
//!
//! ```
//! use serde::{Deserialize, Serialize};
//! use store::{Kind, MemPlatform, Platform};
//!
//! #[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
//! struct Note {
//!     text: String,
//! }
//!
//! impl Kind for Note {
//!     const PLURAL: &'static str = "notes";
//! }
//!
//! # tokio::runtime::Builder::new_current_thread().build().unwrap().block_on(async {
//! let platform = MemPlatform::new();
//! let first = Note { text: "one".to_owned() };
//! let revision = platform.create("a", &first).await?;
//!
//! let second = Note { text: "two".to_owned() };
//! platform.update("a", &second, &revision).await?;
//!
//! // A second update at the old revision is rejected.
//! let err = platform.update("a", &first, &revision).await.unwrap_err();
//! assert_eq!(err.category(), store::Category::Conflict);
//! # Ok::<(), store::Error>(())
//! # }).unwrap();
//! ```

mod error;
mod hosts;
mod http;
mod json;
mod list;
mod malformed;
mod mem;
mod object;
mod platform;

pub use error::{Category, Error, Result};
pub use hosts::{HostEntry, HostRole, HostState};
pub use http::HttpPlatform;
pub use json::{FieldError, RawObject, split_array};
pub use list::RawList;
pub use malformed::{MalformedLog, bounded};
pub use mem::{Fault, MemPlatform};
pub use object::{Change, Kind, Listing, Object, Revision};
pub use platform::{Platform, Watch};
