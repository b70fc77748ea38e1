//! Which hosts do a duty for others.

use types::{HostId, score};

use crate::member::{Member, MemberState};

/// Returns the live hosts in the order in which they take a duty, this host included.
///
/// Hosts with at least three quarters of the strongest one's processor capacity come first: a weak
/// one would do the duty late. Among these the name of the duty decides, so that duties are spread.
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
        (strong, score(duty, m.id.as_str(), 1.0))
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
