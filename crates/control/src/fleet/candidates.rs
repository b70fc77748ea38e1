//! How often each host reads the lease, so that a holder that ends is replaced soon at few reads.

use types::{HostId, Micros};

/// Interval between reads of the lease by active candidates.
const CANDIDATE_POLL_INTERVAL: Micros = Micros::from_millis(700);

/// Interval between reads of the lease by the other hosts.
const STANDBY_POLL_INTERVAL: Micros = Micros::from_secs(4);

/// Number of hosts that read the lease often. Hosts that end together with the holder count as members for
/// several seconds, and some of these must not be among them.
const ACTIVE_CANDIDATES: usize = 8;

/// Returns the time between two reads of the lease by a host.
///
/// `members` are the live hosts by their preference as holder. A host is an active candidate before it knows
/// them, and if an earlier process of it holds the lease, as it needs no takeover delay.
#[must_use]
pub fn lease_poll_interval(host: &HostId, holder: Option<&HostId>, members: &[HostId]) -> Micros {
    let rank = members.iter().position(|h| h == host);
    let is_active = rank.is_none_or(|rank| rank < ACTIVE_CANDIDATES) || holder == Some(host);
    if is_active {
        CANDIDATE_POLL_INTERVAL
    } else {
        STANDBY_POLL_INTERVAL
    }
}
