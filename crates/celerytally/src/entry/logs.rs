//! Structured log lines on standard output that never block the process.

use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// Lines that may wait for standard output; further ones are dropped and counted.
const BACKLOG: usize = 4_096;

/// What is logged: decisions and changes of belief, and failures of libraries.
const FILTER: &str = "error,celerytally=info,control=info,gate=info,peer=info,platform=info";

/// Starts the log; dropping the guard writes what is left.
pub(crate) fn start() -> WorkerGuard {
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(BACKLOG)
        .lossy(true)
        .finish(std::io::stdout());
    tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_env_filter(EnvFilter::new(FILTER))
        .with_writer(writer)
        .init();
    guard
}
