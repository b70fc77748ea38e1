//! Guards against an endless loop of slot writes without delay, which occurred when writes were
//! refused while the platform was unavailable.

use orders::{SlotAction, SlotEvent, Slots};
use types::{AttemptId, Instant, Micros};

#[test]
fn a_refused_slot_is_read_before_it_is_written_again() {
    let now = Instant::from_micros(1_000_000);
    let dc = "a".parse().unwrap();
    let mut slots: Slots<u64> = Slots::new(dc, AttemptId::new(1), Micros::from_secs(120));
    let mut out = Vec::new();
    slots.step(now, SlotEvent::Limit(1), &mut out);
    slots.step(now, SlotEvent::Need(1), &mut out);
    slots.step(now, SlotEvent::Listed(Vec::new()), &mut out);
    out.clear();

    slots.step(now, SlotEvent::Refused(0), &mut out);
    assert_eq!(out, []);

    slots.step(now + Micros::from_secs(1), SlotEvent::Tick, &mut out);
    assert_eq!(out, [SlotAction::List]);
}
