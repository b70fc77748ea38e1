//! Ranking of hosts for duties, such as reading the platform for other hosts.

use types::{HostId, rendezvous_score};

use crate::member::{Member, MemberState};

/// Returns the live hosts, including this one, in the order in which they take on a duty.
///
/// Hosts with at least three quarters of the highest processor capacity come first, because a slow
/// host would perform the duty late. Within each group the order is a rendezvous hash of the duty's
/// name and the host, which spreads duties over hosts.
#[must_use]
pub fn rank_hosts<'a>(
    members: impl Iterator<Item = &'a Member>,
    own: &HostId,
    duty: &str,
) -> Vec<&'a Member> {
    let live = |m: &&Member| m.state == MemberState::Alive || m.id == *own;
    let mut live: Vec<&Member> = members.filter(live).collect();
    let strongest = live.iter().map(|m| m.capacity.get()).max().unwrap_or(0);
    let rank = |m: &Member| {
        let strong = m.capacity.get() >= strongest - strongest / 4;
        (strong, rendezvous_score(duty, m.id.as_str(), 1.0))
    };
    live.sort_by(|a, b| {
        let [(strong, first), (other_strong, second)] = [rank(a), rank(b)];
        let by_strength = other_strong.cmp(&strong);
        by_strength
            .then(second.total_cmp(&first))
            .then(a.id.cmp(&b.id))
    });
    live
}
