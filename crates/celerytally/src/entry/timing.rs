//! Times in which facts pass from the platform to all hosts, as shares of the installation's bound.
//!
//! A change must reach every host within the bound, also if the relay that a host asks was cut off
//! right before it. The steps add up: at worst, the facts of the relay reach their largest age, the
//! host asks others in vain, a host of its data centre reads the platform, and the host asks that one.

use config::Bounds;
use types::Micros;

/// Share of the bound that facts may be old, which leaves the other half for a change of the source.
const MAX_AGE_SHARE: u64 = 2;

/// Share of the bound for which a relay's watch waits for a change.
///
/// A watch that returned a change shows nothing newer than its start. The facts of a working relay
/// are thus as old as two watches and one batch delay, which must stay below the largest age.
const RELAY_WATCH_SHARE: u64 = 6;

/// Share of the bound that a reader waits for further changes after one.
const BATCH_DELAY_SHARE: u64 = 10;

/// Times derived from the bounds of an installation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct FactsTiming {
    /// Time within which a change must reach every host.
    pub(crate) bound: Micros,
    /// Age from which facts are not passed on and another source is asked.
    pub(crate) max_age: Micros,
    /// Longest time for which a relay's watch waits for a change.
    pub(crate) relay_watch: Micros,
    /// Longest delay between two reads of the registrations.
    pub(crate) max_batch_delay: Micros,
}

impl From<&Bounds> for FactsTiming {
    fn from(bounds: &Bounds) -> Self {
        let bound = bounds.drain.min(bounds.config_propagation).get();
        Self {
            bound: Micros::new(bound),
            max_age: Micros::new(bound / MAX_AGE_SHARE),
            relay_watch: Micros::new(bound / RELAY_WATCH_SHARE),
            max_batch_delay: Micros::new(bound / BATCH_DELAY_SHARE),
        }
    }
}
