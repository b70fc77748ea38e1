//! Times that backend servers name for their termination.

use registry::{EntryChange, ReadPoint, Registry};
use types::{
    BackendId, Deadline, Incarnation, Instant, Micros, Registration, RevisedRegistration,
    StoreRevision, WorkerState,
};

fn id() -> BackendId {
    "w1".parse().expect("a name")
}

fn registration(incarnation: u64, terminates_in: Option<Micros>) -> Registration {
    Registration {
        id: id(),
        service: "chat".parse().expect("a name"),
        addr: "10.0.0.1:80".parse().expect("an address"),
        dc: "north".parse().expect("a name"),
        slots: 4,
        leaving: terminates_in.is_some(),
        terminates_in,
        state: WorkerState {
            incarnation: Incarnation::new(incarnation),
            ..WorkerState::default()
        },
    }
}

const fn at(millis: u64) -> Instant {
    Instant::from_micros(millis * 1_000)
}

/// Applies a registration whose revision is the time of its read.
fn set(registry: &mut Registry, millis: u64, registration: Registration) {
    let read = ReadPoint {
        revision: StoreRevision::new(millis),
        at: at(millis),
    };
    let written = EntryChange::Set(RevisedRegistration {
        revision: read.revision,
        registration,
    });
    registry.apply_changes(read.at, read, vec![written]);
}

/// Guards against a registration that was on its way for a while and whose time counts from its arrival.
#[test]
fn a_named_time_counts_from_the_read_before() {
    let mut registry = Registry::default();
    set(&mut registry, 1_000, registration(1, None));

    let named = Some(Micros::from_millis(2_000));
    set(&mut registry, 1_700, registration(1, named));

    let terminates_at = registry.terminates_at(&id());
    assert_eq!(terminates_at, Some(Deadline::at(at(3_000))));
}

/// Guards against a time that starts anew with each heartbeat, which repeats it.
#[test]
fn a_repeated_time_does_not_put_off_the_termination() {
    let named = Some(Micros::from_millis(2_000));
    let mut registry = Registry::default();
    set(&mut registry, 1_000, registration(1, None));
    set(&mut registry, 1_100, registration(1, named));

    set(&mut registry, 2_500, registration(1, named));

    let terminates_at = registry.terminates_at(&id());
    assert_eq!(terminates_at, Some(Deadline::at(at(3_000))));
}

/// Guards against a server that counts as terminated because of the time of its last incarnation.
#[test]
fn a_new_incarnation_has_no_named_time() {
    let named = Some(Micros::from_millis(2_000));
    let mut registry = Registry::default();
    set(&mut registry, 1_000, registration(1, named));

    set(&mut registry, 1_500, registration(2, None));

    assert_eq!(registry.terminates_at(&id()), None);
}
