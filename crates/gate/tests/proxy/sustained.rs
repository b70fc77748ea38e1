//! Responses whose data arrive for a while.

use std::time::Duration;

use tokio::time::Instant;

use super::Periods;

/// Returns the time in milliseconds at which a response becomes sustained whose data arrive at the given
/// times in milliseconds.
fn sustained_at(times: impl IntoIterator<Item = u64>) -> Option<u64> {
    let start = Instant::now();
    let mut periods = Periods::default();
    times
        .into_iter()
        .find(|ms| periods.record_data(start + Duration::from_millis(*ms)))
}

/// Guards against a response that counts as sustained because its host was paused between two of its events.
#[test]
fn a_pause_does_not_make_a_response_sustained() {
    let buffered = [0, 36, 3_000, 3_000, 3_001, 3_002];
    assert_eq!(sustained_at(buffered), None);
}

#[test]
fn a_response_is_sustained_after_a_second_of_data() {
    assert_eq!(sustained_at((0..).step_by(25).take(100)), Some(1_000));
    assert_eq!(sustained_at((0..).step_by(700).take(10)), Some(3_500));
}
