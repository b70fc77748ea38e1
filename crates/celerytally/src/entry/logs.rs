//! Structured, non-blocking logging to standard output.

use std::time::Duration;

use metrics::counter;
use tokio::time::sleep;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// Capacity of the queue of log lines; lines beyond it are dropped and counted.
const QUEUE_CAPACITY: usize = 4_096;

/// Period of the check for dropped lines.
const CHECK_PERIOD: Duration = Duration::from_secs(5);

/// Log filter: decisions and state changes of these crates, and errors of all others.
const FILTER: &str =
    "error,celerytally=info,control=info,gate=info,peer=info,platform=info,store=info";

/// Initializes logging; dropping the guard flushes the queue.
pub(crate) fn init() -> (WorkerGuard, ErrorCounter) {
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(QUEUE_CAPACITY)
        .lossy(true)
        .finish(std::io::stdout());
    let dropped = writer.error_counter();
    tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_env_filter(EnvFilter::new(FILTER))
        .with_writer(writer)
        .init();
    (guard, dropped)
}

/// Reports dropped lines in the log and in a counter for as long as the process runs.
pub(crate) async fn report_dropped(dropped: ErrorCounter) {
    let mut reported = 0;
    loop {
        sleep(CHECK_PERIOD).await;
        let now = dropped.dropped_lines();
        if now > reported {
            let lines = now - reported;
            reported = now;
            let total = u64::try_from(now).unwrap_or(u64::MAX);
            counter!("celerytally_log_lines_dropped_total").absolute(total);
            tracing::warn!(lines, "log lines dropped, standard output is too slow");
        }
    }
}
