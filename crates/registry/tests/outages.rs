//! Registrations during and after outages of the platform.

use registry::Registry;
use types::{Instant, Micros, Registration, WorkerState};

fn registration(id: &str) -> Registration {
    Registration {
        id: id.parse().expect("a name"),
        service: "chat".parse().expect("a name"),
        addr: "10.0.0.1:80".parse().expect("an address"),
        dc: "north".parse().expect("a name"),
        slots: 4,
        leaving: false,
        terminates_in: None,
        state: WorkerState::default(),
    }
}

fn names(registry: &Registry) -> Vec<&str> {
    registry
        .registrations()
        .iter()
        .map(|r| r.id.as_str())
        .collect()
}

const fn at(millis: u64) -> Instant {
    Instant::from_micros(millis * 1_000)
}

#[test]
fn an_entry_that_is_removed_while_the_platform_is_available_is_dropped_at_once() {
    let mut registry = Registry::default();
    registry.apply_listing(at(0), vec![registration("w1"), registration("w2")]);

    let changed = registry.apply_removal(at(100), &"w1".parse().expect("a name"));

    assert!(changed);
    assert_eq!(names(&registry), ["w2"]);
}

/// Guards against losing backend servers whose entries expired because the platform was
/// unavailable.
#[test]
fn servers_whose_entries_expired_in_an_outage_can_register_again() {
    let mut registry = Registry::default();
    registry.apply_listing(at(0), vec![registration("w1"), registration("w2")]);
    registry.mark_platform_unavailable();

    registry.apply_listing(at(10_000), Vec::new());
    registry.apply_registration(at(11_000), registration("w1"));
    registry.remove_expired(at(11_700));
    let before = names(&registry).join(" ");
    let dropped = registry.remove_expired(at(11_800));

    assert_eq!(before, "w1 w2");
    assert!(dropped);
    assert_eq!(names(&registry), ["w1"]);
}

/// Guards against losing backend servers in an outage that follows shortly on another one.
#[test]
fn nothing_is_dropped_while_the_platform_is_unavailable() {
    let mut registry = Registry::default();
    registry.apply_listing(at(0), vec![registration("w1")]);
    registry.mark_platform_unavailable();
    registry.apply_listing(at(5_000), Vec::new());

    registry.mark_platform_unavailable();
    let dropped = registry.remove_expired(at(60_000) + Micros::from_secs(1));

    assert!(!dropped);
    assert_eq!(names(&registry), ["w1"]);
}

/// Guards against a delayed response of a peer that overwrites newer data of the platform: a
/// leaving server would count as ready until its entry changes again.
#[test]
fn updates_of_peers_apply_only_while_the_platform_is_unavailable() {
    let mut registry = Registry::default();
    let leaving = Registration {
        leaving: true,
        ..registration("w1")
    };
    registry.apply_listing(at(0), vec![registration("w1")]);
    registry.mark_platform_unavailable();
    let in_time = registry.apply_peer_update(
        true,
        true,
        vec![registration("w1"), registration("w2")],
        &[],
    );
    registry.apply_listing(at(5_000), vec![leaving.clone()]);

    let late = registry.apply_peer_update(true, true, vec![registration("w1")], &[]);

    assert!(in_time && !late);
    assert_eq!(registry.find(&leaving.id), Some(&leaving));
}

/// Guards against a host that requests changes and misses a removal.
#[test]
fn changes_since_a_revision_include_updates_and_removals() {
    let mut registry = Registry::default();
    registry.apply_listing(at(0), vec![registration("w1"), registration("w2")]);
    let since = registry.revision();
    registry.apply_removal(at(1), &"w1".parse().expect("a name"));
    registry.apply_registration(at(2), registration("w3"));

    let (set, removed) = registry.changes_since(since).expect("a known revision");

    let set: Vec<&str> = set.iter().map(|r| r.id.as_str()).collect();
    let removed: Vec<&str> = removed.iter().map(|id| id.as_str()).collect();
    assert_eq!((set, removed), (vec!["w3"], vec!["w1"]));
    assert!(registry.changes_since(since + 9).is_none());
}

/// Guards against requests to a server that left while the host was disconnected: its entry is
/// missing when the host reads the platform again, and requests to it must stop within two seconds.
#[test]
fn a_server_that_left_during_a_disconnection_is_dropped_within_the_drain_bound() {
    const DRAIN_BOUND_MS: u64 = 2_000;
    let mut registry = Registry::default();
    registry.apply_listing(at(0), vec![registration("w1"), registration("w2")]);
    registry.mark_platform_unavailable();

    registry.apply_listing(at(10_000), vec![registration("w2")]);
    registry.remove_expired(at(10_000 + DRAIN_BOUND_MS - 100));

    assert_eq!(names(&registry), ["w2"]);
}
