//! Detection of responses whose data arrive for a while.

use std::time::Duration;

use tokio::time::Instant;

/// Time of one period in which data arrive.
const PERIOD: Duration = Duration::from_millis(200);

/// Number of periods after which a response is sustained.
const SUSTAINED_PERIODS: u8 = 5;

/// Counts the periods in which data of a response have arrived.
///
/// The time since the first data would also pass while this host is paused or the server is silent. After a
/// pause, what the server sent before it arrives in one period.
#[derive(Debug, Default)]
pub(crate) struct Periods {
    count: u8,
    /// End of the current period.
    ends_at: Option<Instant>,
}

impl Periods {
    /// Records that data have arrived. Returns whether the response has become sustained by them.
    pub(crate) fn record_data(&mut self, now: Instant) -> bool {
        if self.count > SUSTAINED_PERIODS || self.ends_at.is_some_and(|at| now < at) {
            return false;
        }
        // The first period begins the response.
        self.ends_at = Some(now + PERIOD);
        self.count += 1;
        self.count > SUSTAINED_PERIODS
    }
}

#[cfg(test)]
#[path = "../../tests/proxy/sustained.rs"]
mod tests;
