//! Slowest rate at which data may arrive.

use std::time::Duration;

/// Slowest rate at which a response may arrive, a fifth of the slowest link of a host.
const MIN_BYTES_PER_S: u64 = 256 << 10;

/// Returns the time that a number of bytes takes at the slowest rate that is accepted.
///
/// A timeout that grows by the time of the bytes received limits the time without progress, and not
/// the size of what arrives.
#[must_use]
pub fn transfer_time(bytes: u64) -> Duration {
    const MICROS_PER_S: u64 = 1_000_000;
    Duration::from_micros(bytes.saturating_mul(MICROS_PER_S) / MIN_BYTES_PER_S)
}
