//! Which hosts do duties for others, and the sums of loads that they tell.

use std::sync::Arc;

use peer::{Load, LoadSums, Member, MemberState, ranked};
use types::{Deadline, HostId, Incarnation, Instant, Micros, Millicores};

fn id(name: &str) -> HostId {
    name.parse().expect("a name")
}

fn member(name: &str, millicores: u32, state: MemberState) -> Member {
    Member {
        id: id(name),
        dc: "akl-a".parse().expect("a name"),
        addr: "10.0.0.1:80".parse().expect("an address"),
        peer_addr: "10.0.0.1:81".parse().expect("an address"),
        capacity: Millicores::new(millicores),
        incarnation: Incarnation::new(1),
        state,
        ready: true,
        version: types::ConfigVersion::default(),
        holds: None,
        yielded: None,
    }
}

fn load(backend: u32, requests: u16, work_ms: u16) -> Load {
    Load {
        backend,
        requests,
        work_ms,
        suspected_by: 0,
    }
}

fn until(seconds: u64) -> Deadline {
    Deadline::after(Instant::ZERO, Micros::from_secs(seconds))
}

/// Guards against a lease holder or relay with a tenth of a core beside hosts with half of one.
#[test]
fn strong_hosts_come_first_and_hosts_that_are_gone_not_at_all() {
    let members = [
        member("weak-1", 90, MemberState::Alive),
        member("strong-1", 500, MemberState::Alive),
        member("weak-2", 90, MemberState::Alive),
        member("strong-2", 300, MemberState::Alive),
        member("strong-3", 500, MemberState::Gone),
    ];
    let members: Arc<[Member]> = members.into();

    let order = ranked(members.iter(), &id("weak-2"), "relay");

    let names: Vec<&str> = order.iter().map(|m| m.id.as_str()).collect();
    assert!(
        names[..2].iter().all(|n| n.starts_with("strong")),
        "{names:?}"
    );
    assert_eq!(names.len(), 4);
}

/// Guards against loads that are counted twice or kept after their host fell silent.
#[test]
fn sums_hold_the_last_word_of_each_host_and_data_centre() {
    let mut sums = LoadSums::default();
    sums.host(id("h1"), vec![load(1, 9, 900)], until(1));
    sums.host(id("h1"), vec![load(1, 2, 20), load(2, 1, 5)], until(3));
    sums.host(id("h2"), vec![load(1, 1, 10)], until(1));
    let dc = "akl-b".parse().expect("a name");
    sums.data_centre(dc, vec![load(2, 4, 40)], until(3));

    let own = sums.own(Instant::ZERO);
    let all = sums.all(Instant::ZERO);
    let later = sums.all(Instant::from_micros(2_000_000));

    assert_eq!(own, [load(1, 3, 30), load(2, 1, 5)]);
    assert_eq!(all, [load(1, 3, 30), load(2, 5, 45)]);
    assert_eq!(later, [load(1, 2, 20), load(2, 5, 45)]);
}
