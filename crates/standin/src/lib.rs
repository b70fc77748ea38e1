//! Stand-ins for the platform, engines and plain services, and a fault proxy.
//!
//! Each stand-in is a process of its own, so that a test can kill and freeze it. [`harness`] starts
//! them, and [`answer`] says what an engine must have answered.
//!
//! ```
//! // An engine answers with tokens that are derived from the prompt, so that a test can tell a
//! // crossed or truncated answer from the right one.
//! let whole = standin::answer::text("how sharp is bit 7?", 3);
//! assert!(standin::answer::is_whole("how sharp is bit 7?", 3, &whole));
//! assert!(!standin::answer::is_whole("how sharp is bit 8?", 3, &whole));
//! ```

pub mod answer;
mod backend;
mod engine;
pub mod harness;
mod http;
mod objects;
mod plain;
mod platform;
mod proxy;

pub use backend::RunLine;
pub use engine::serve as serve_engine;
pub use plain::serve as serve_plain;
pub use platform::serve as serve_platform;
pub use proxy::{serve as serve_proxy, serve_on as serve_proxy_on};
