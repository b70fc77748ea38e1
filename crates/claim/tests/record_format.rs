//! JSON form of the claim's record.

use claim::{Answer, Owner, Record, State};
use serde_json::{Value, json};
use types::{AttemptId, Incarnation};

fn json<T: serde::Serialize>(value: T) -> Value {
    serde_json::to_value(value).expect("the value is valid JSON")
}

fn record(state: State, owner: Option<Owner>) -> Record {
    Record {
        attempt: AttemptId::new(7),
        body_hash: "c0ffee".to_owned(),
        state,
        owner,
    }
}

fn assert_stored_as(record: &Record, expected: Value) {
    assert_eq!(json(record), expected);
    let read: Record = serde_json::from_value(expected).expect("a stored record is read");
    assert_eq!(read, *record);
}

/// Guards against a change of the stored form, which hosts of another version also read.
#[test]
fn the_stored_keys_of_a_record_stay() {
    let owner = Owner {
        host: "h1".parse().expect("a valid name"),
        incarnation: Incarnation::new(2),
    };
    let answer = Answer {
        status: 200,
        content_type: "text/plain".to_owned(),
        body: b"ok".to_vec(),
    };

    assert_stored_as(
        &record(State::Finished(Some(answer)), Some(owner)),
        json!({
            "attempt": json(AttemptId::new(7)),
            "body": "c0ffee",
            "state": {
                "finished": { "status": 200, "content_type": "text/plain", "body": [111, 107] },
            },
            "owner": { "host": "h1", "incarnation": json(Incarnation::new(2)) },
        }),
    );
    assert_stored_as(
        &record(State::Dispatched, None),
        json!({
            "attempt": json(AttemptId::new(7)),
            "body": "c0ffee",
            "state": "dispatched",
        }),
    );
}
