//! Registrations during and after outages of the platform.

use registry::{Applied, EntryChange, ReadPoint, Registry};
use types::{Instant, Registration, RevisedRegistration, StoreRevision, WorkerState};

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

const fn read(revision: u64, millis: u64) -> ReadPoint {
    ReadPoint {
        revision: StoreRevision::new(revision),
        at: at(millis),
    }
}

fn revised(revision: u64, registration: Registration) -> RevisedRegistration {
    RevisedRegistration {
        revision: StoreRevision::new(revision),
        registration,
    }
}

/// Lists backend servers that were all written at revision 1.
fn list(registry: &mut Registry, read: ReadPoint, names: &[&str]) -> Applied {
    let listed = names.iter().map(|name| revised(1, registration(name)));
    registry.apply_listing(read.at, read, listed.collect())
}

fn remove(registry: &mut Registry, read: ReadPoint, name: &str) -> Applied {
    let removed = EntryChange::Removed(name.parse().expect("a name"));
    registry.apply_changes(read.at, read, vec![removed])
}

fn set(registry: &mut Registry, read: ReadPoint, registration: Registration) -> Applied {
    let written = EntryChange::Set(revised(read.revision.get(), registration));
    registry.apply_changes(read.at, read, vec![written])
}

#[test]
fn an_entry_that_is_removed_while_the_platform_is_available_is_dropped_at_once() {
    let mut registry = Registry::default();
    list(&mut registry, read(1, 0), &["w1", "w2"]);

    let applied = remove(&mut registry, read(2, 100), "w1");

    assert_eq!(applied, Applied::Changed);
    assert_eq!(names(&registry), ["w2"]);
}

/// Guards against losing backend servers whose entries expired because the platform was
/// unavailable.
#[test]
fn servers_whose_entries_expired_in_an_outage_can_register_again() {
    let mut registry = Registry::default();
    list(&mut registry, read(1, 0), &["w1", "w2"]);

    list(&mut registry, read(5, 10_000), &[]);
    set(&mut registry, read(6, 11_000), registration("w1"));
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
    list(&mut registry, read(1, 0), &["w1"]);
    list(&mut registry, read(2, 5_000), &[]);

    registry.set_platform_unavailable(true);
    let dropped = registry.remove_expired(at(61_000));

    assert!(!dropped);
    assert_eq!(names(&registry), ["w1"]);
}

/// Guards against a read of another host that overwrites a newer one: a leaving server would count
/// as ready until its entry changes again.
#[test]
fn a_read_never_replaces_one_at_a_higher_revision() {
    let leaving = Registration {
        leaving: true,
        ..registration("w1")
    };
    let mut registry = Registry::default();
    list(&mut registry, read(1, 0), &["w1"]);
    set(&mut registry, read(3, 1_000), leaving.clone());

    let complete = list(&mut registry, read(2, 1_200), &["w1", "w2"]);
    let changes = set(&mut registry, read(2, 1_300), registration("w1"));
    let newer = list(&mut registry, read(4, 1_400), &["w1", "w2"]);

    assert_eq!((complete, changes), (Applied::Outdated, Applied::Outdated));
    assert_eq!(newer, Applied::Changed);
    assert_eq!(registry.find(&leaving.id), Some(&leaving));
    assert_eq!(names(&registry), ["w1", "w2"]);
}

/// Guards against a removal that a host learns late because its source changed: without an outage
/// it applies at once.
#[test]
fn a_removal_after_a_short_time_without_reads_applies_at_once() {
    let mut registry = Registry::default();
    list(&mut registry, read(1, 0), &["w1", "w2"]);
    registry.set_platform_unavailable(true);

    let applied = list(&mut registry, read(2, 2_000), &["w2"]);

    assert_eq!(applied, Applied::Changed);
    assert_eq!(names(&registry), ["w2"]);
}

/// Guards against hosts that are told of a server that has left because the host that they ask
/// retains its entry after an outage of its own.
#[test]
fn retained_entries_are_not_passed_on() {
    let mut registry = Registry::default();
    list(&mut registry, read(1, 0), &["w1", "w2"]);

    list(&mut registry, read(2, 10_000), &["w2"]);

    let listed = registry.listed_since(StoreRevision::default());
    let listed: Vec<&str> = listed.iter().map(|r| r.registration.id.as_str()).collect();
    let removed = registry.removed_since(StoreRevision::new(1));
    assert_eq!(names(&registry), ["w1", "w2"]);
    assert_eq!(listed, ["w2"]);
    assert_eq!(removed, Some(vec!["w1".parse().expect("a name")]));
}

/// Guards against a host that requests changes and misses a removal.
#[test]
fn changes_since_a_revision_include_updates_and_removals() {
    let mut registry = Registry::default();
    list(&mut registry, read(1, 0), &["w1", "w2"]);
    remove(&mut registry, read(2, 1), "w1");
    set(&mut registry, read(3, 2), registration("w3"));

    let since = StoreRevision::new(1);
    let changed = registry.listed_since(since);
    let removed = registry.removed_since(since);

    let changed: Vec<&str> = changed.iter().map(|r| r.registration.id.as_str()).collect();
    assert_eq!(changed, ["w3"]);
    assert_eq!(removed, Some(vec!["w1".parse().expect("a name")]));
    assert_eq!(registry.removed_since(StoreRevision::default()), None);
}

/// Guards against dropping a server that registered again under the same name after its removal.
#[test]
fn a_server_that_registered_again_is_not_told_as_removed() {
    let mut registry = Registry::default();
    list(&mut registry, read(1, 0), &["w1"]);
    let name = || "w1".parse().expect("a name");
    let changes = vec![
        EntryChange::Removed(name()),
        EntryChange::Set(revised(3, registration("w1"))),
    ];

    registry.apply_changes(at(100), read(5, 100), changes);

    let removed = registry.removed_since(StoreRevision::new(4));
    assert_eq!(removed, Some(Vec::new()));
}

/// Guards against requests to a server that left while the host was disconnected: its entry is
/// missing when the host reads the platform again, and requests to it must stop within two seconds.
#[test]
fn a_server_that_left_during_a_disconnection_is_dropped_within_the_drain_bound() {
    const DRAIN_BOUND_MS: u64 = 2_000;
    let mut registry = Registry::default();
    list(&mut registry, read(1, 0), &["w1", "w2"]);
    registry.set_platform_unavailable(true);

    list(&mut registry, read(2, 10_000), &["w2"]);
    registry.set_platform_unavailable(false);
    registry.remove_expired(at(10_000 + DRAIN_BOUND_MS - 100));

    assert_eq!(names(&registry), ["w2"]);
}
