//! Guards against releasing the slot that a load in flight relies on.

use orders::{SlotAction, SlotEvent, Slots};
use types::{AttemptId, Instant, Micros};

const DURATION_US: u64 = 12_000_000;

fn at(secs: u64) -> Instant {
    Instant::from_micros(secs * 1_000_000)
}

/// Returns slots of which the first is held since second 0 and the second since second 3.
fn two_held() -> Slots<u64> {
    let dc = "a".parse().unwrap();
    let mut slots = Slots::new(dc, AttemptId::new(1), Micros::new(DURATION_US));
    let mut out = Vec::new();
    slots.step(at(0), SlotEvent::Limit(2), &mut out);
    slots.step(at(0), SlotEvent::Need(1), &mut out);
    slots.step(at(0), SlotEvent::Listed(Vec::new()), &mut out);
    slots.step(at(0), SlotEvent::Written(0, 1), &mut out);
    slots.step(at(3), SlotEvent::Need(2), &mut out);
    slots.step(at(3), SlotEvent::Written(1, 2), &mut out);
    assert_eq!(slots.usable(at(3)), 2);
    slots
}

fn released(out: &[SlotAction<u64>]) -> Vec<u32> {
    let releases = out.iter().filter_map(|action| match action {
        SlotAction::Update(slot, record, _) if record.dc.is_none() => Some(*slot),
        _ => None,
    });
    releases.collect()
}

#[test]
fn the_slot_that_expires_first_is_released() {
    let mut slots = two_held();
    let mut out = Vec::new();
    slots.step(at(3), SlotEvent::Need(1), &mut out);
    assert_eq!(released(&out), [0]);
}

#[test]
fn a_slot_is_kept_while_the_renewal_of_the_other_is_in_flight() {
    let mut slots = two_held();
    let mut out = Vec::new();
    // The renewal of the first slot is in flight.
    slots.step(at(5), SlotEvent::Tick, &mut out);
    slots.step(at(5), SlotEvent::Need(1), &mut out);
    assert_eq!(released(&out), []);
}

#[test]
fn slots_beyond_the_number_needed_are_not_usable() {
    let mut slots = two_held();
    let mut out = Vec::new();
    slots.step(at(5), SlotEvent::Tick, &mut out);
    slots.step(at(5), SlotEvent::Need(1), &mut out);
    assert_eq!(slots.usable(at(5)), 1);
}
