//! Workers that announce in their responses that they leave, or name a time to return.

#[path = "support/holder.rs"]
mod holder;

use holder::{Holder, id, model, state};
use orders::SequencedOutcome;
use types::{Micros, ServerNotice};

const LEAVING: ServerNotice = ServerNotice {
    leaving: true,
    hold_off: None,
};

const HELD_OFF: ServerNotice = ServerNotice {
    leaving: false,
    hold_off: Some(Micros::from_secs(3)),
};

/// Guards against a placement that counts on the copies of a worker until the platform lists it as
/// leaving.
#[test]
fn the_copies_of_a_worker_that_announced_that_it_leaves_are_replaced() {
    let mut holder = Holder::new();

    holder.announce("w1", Some(1), LEAVING);
    holder.request("m1");
    holder.advance(500);

    let replaced = (id("w2"), model("m1"));
    assert!(holder.loads.contains(&replaced), "{:?}", holder.loads);
    assert!(holder.replies.is_empty(), "{:?}", holder.replies);
    assert_eq!(holder.loads_at("w1"), 0);
}

/// Guards against a lost order to load that is sent again to a worker that leaves by now.
#[test]
fn a_lost_order_is_not_sent_again_to_a_leaving_worker() {
    let mut holder = Holder::new();
    holder.outcome = SequencedOutcome::Lost;
    holder.announce("w1", Some(1), LEAVING);
    holder.request("m1");
    holder.advance(300);
    let before = holder.loads_at("w2");

    holder.announce("w2", Some(1), LEAVING);
    holder.advance(3_000);

    assert!(before > 0);
    assert_eq!(holder.loads_at("w2"), before);
}

/// Guards against an announcement that ends with a missing entry, or that outlasts its process.
#[test]
fn an_announcement_outlasts_the_entry_and_ends_with_the_incarnation() {
    for (incarnation, loads) in [(1, false), (2, true)] {
        let mut holder = Holder::new();
        holder.announce("w1", None, LEAVING);

        holder.register(&[("w2", state(1, &["m2"]))]);
        holder.register(&[("w1", state(incarnation, &[])), ("w2", state(1, &["m2"]))]);
        holder.advance(5_000);
        holder.announce("w2", Some(1), LEAVING);
        holder.request("m1");
        holder.advance(500);

        assert_eq!(holder.loads_at("w1") > 0, loads, "{incarnation}");
    }
}

/// Guards against orders and calls for reports within the time for which a worker wants none, and
/// against a worker that gets none after it.
#[test]
fn a_worker_gets_no_order_and_no_call_within_the_time_that_it_named() {
    for incarnation in [Some(1), None] {
        let mut holder = Holder::new();
        holder.announce("w2", incarnation, HELD_OFF);
        holder.announce("w1", Some(1), LEAVING);
        holder.request("m1");

        holder.advance(2_900);
        let within = (holder.loads_at("w2"), holder.calls.contains(&id("w2")));
        holder.advance(3_000);

        assert_eq!(within, (0, false), "{incarnation:?}");
        assert!(holder.loads_at("w2") > 0 && holder.calls.contains(&id("w2")));
    }
}
