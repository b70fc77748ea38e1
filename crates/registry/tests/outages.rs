//! Guards against losing backend servers because the platform was away.

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
        gone_in: None,
        state: WorkerState::default(),
    }
}

fn names(registry: &Registry) -> Vec<&str> {
    registry.entries().iter().map(|r| r.id.as_str()).collect()
}

const fn at(millis: u64) -> Instant {
    Instant::from_micros(millis * 1_000)
}

#[test]
fn an_entry_that_is_removed_while_the_platform_answers_is_gone_at_once() {
    let mut registry = Registry::default();
    registry.listed(at(0), vec![registration("w1"), registration("w2")]);

    let changed = registry.removed(at(100), &"w1".parse().expect("a name"));

    assert!(changed);
    assert_eq!(names(&registry), ["w2"]);
}

#[test]
fn entries_that_lapsed_in_an_outage_have_time_to_come_back() {
    let mut registry = Registry::default();
    registry.listed(at(0), vec![registration("w1"), registration("w2")]);
    registry.away();

    registry.listed(at(10_000), Vec::new());
    registry.set(at(11_000), registration("w1"));
    registry.tick(at(12_000));
    let before = names(&registry).join(" ");
    let dropped = registry.tick(at(12_600));

    assert_eq!(before, "w1 w2");
    assert!(dropped);
    assert_eq!(names(&registry), ["w1"]);
}

#[test]
fn nothing_is_dropped_while_the_platform_is_away() {
    let mut registry = Registry::default();
    registry.listed(at(0), vec![registration("w1")]);
    registry.away();
    registry.listed(at(5_000), Vec::new());

    registry.away();
    let dropped = registry.tick(at(60_000) + Micros::from_secs(1));

    assert!(!dropped);
    assert_eq!(names(&registry), ["w1"]);
}
