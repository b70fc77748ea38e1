//! JSON form of the lease object.

use lease::Record;
use serde_json::json;
use types::{AttemptId, Epoch, Micros};

/// Guards against a change of the stored form, which hosts of another version also read.
#[test]
fn the_stored_keys_of_a_record_stay() {
    let record = Record {
        holder: Some("h1".parse().expect("a valid name")),
        epoch: Epoch::new(3),
        duration: Micros::from_secs(10),
        process: AttemptId::new(7),
        renewal: 12,
    };

    let stored = serde_json::to_value(&record).expect("a record is valid JSON");

    let attempt = serde_json::to_value(AttemptId::new(7)).expect("an id is valid JSON");
    let expected = json!({
        "holder": "h1",
        "epoch": 3,
        "duration": 10_000_000,
        "attempt": attempt,
        "renewal": 12,
    });
    assert_eq!(stored, expected);
    assert_eq!(
        serde_json::from_value::<Record>(stored).expect("a stored record is read"),
        record
    );
}
