//! Tests of invalid messages.

use proptest::prelude::*;
use types::{ConfigVersion, Micros};

use super::{fixture::Size, sim::Sim};
use crate::{
    codec::{self, Reader},
    event::{Action, ConfigSource, Event, Target},
    message::{Exchange, Reply, Request, Residents},
};

fn bytes() -> impl Strategy<Value = Vec<u8>> {
    proptest::collection::vec(any::<u8>(), 0..40)
}

fn two_hosts() -> Sim {
    let mut sim = Sim::new(Size::of(2, 1), ConfigSource::Relay, 1);
    sim.run(Micros::from_secs(20));
    sim
}

/// Returns a message of host 1 as host 0 would accept it.
fn message(sim: &mut Sim) -> Exchange {
    let mut out = Vec::new();
    sim.hosts[1].state.step(sim.now, Event::Tick, &mut out);
    let sent = out.into_iter().find_map(|a| match a {
        Action::Call {
            req: Request::Exchange(msg),
            ..
        } if msg.load_table != 0 => Some(*msg),
        _ => None,
    });
    sent.expect("an exchange within the data centre")
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Random bytes in an exchange neither stop the process nor change the members.
    #[test]
    fn random_exchanges_are_answered(heartbeats in bytes(), versions in bytes(), loads in bytes()) {
        let mut sim = two_hosts();
        let mut msg = message(&mut sim);
        let before = sim.hosts[0].state.members(sim.now).len();
        (msg.heartbeats, msg.versions, msg.loads) = (heartbeats, versions, loads);
        msg.version = ConfigVersion::new(u64::MAX);
        let mut out = Vec::new();
        let req = Request::Exchange(Box::new(msg));
        let reply = sim.hosts[0].state.serve(sim.now, &req, &mut out);
        prop_assert!(matches!(reply, Some(Reply::Exchange(_))));
        prop_assert_eq!(sim.hosts[0].state.members(sim.now).len(), before);
    }

    /// Random bytes in a record of residents do not stop the process.
    #[test]
    fn random_residents_do_not_stop_the_process(models in bytes(), stamp in any::<u64>()) {
        let mut sim = two_hosts();
        let state = &mut sim.hosts[0].state;
        let record = Residents {
            dc: "elsewhere".parse().unwrap(),
            stamp,
            table: 7,
            models,
        };
        let from = Target { host: None, addr: "127.0.0.1:1".parse().unwrap() };
        let reply = Reply::Residents(vec![record]);
        state.step(sim.now, Event::Replied { from, reply }, &mut Vec::new());
        state.step(sim.now, Event::Tick, &mut Vec::new());
    }

    /// Numbers are unchanged after encoding and decoding.
    #[test]
    fn numbers_round_trip(signed in any::<i64>(), sparse in proptest::collection::vec(-2_i64..3, 0..50)) {
        let mut buf = Vec::new();
        codec::write_zigzag(&mut buf, signed);
        prop_assert_eq!(Reader::new(&buf).read_zigzag(), Some(signed));
        let mut buf = Vec::new();
        codec::write_sparse(&mut buf, sparse.iter().copied());
        prop_assert_eq!(Reader::new(&buf).read_sparse(sparse.len()), Some(sparse));
    }
}

/// A truncated message is reported as invalid.
#[test]
fn a_truncated_message_is_invalid() {
    let mut sim = two_hosts();
    let mut msg = message(&mut sim);
    msg.heartbeats.pop();
    let mut out = Vec::new();
    let req = Request::Exchange(Box::new(msg));
    sim.hosts[0].state.serve(sim.now, &req, &mut out);
    assert!(out.contains(&Action::InvalidMessage), "{out:?}");
}
