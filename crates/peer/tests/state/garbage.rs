//! Messages that can't be right.

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

    /// Guards against a process that stops, or a counter that misses, on garbage in a message.
    #[test]
    fn garbage_is_counted(beats in bytes(), versions in bytes(), loads in bytes()) {
        let mut sim = two_hosts();
        let mut msg = message(&mut sim);
        let before = sim.hosts[0].state.members(sim.now).len();
        (msg.beats, msg.versions, msg.loads) = (beats, versions, loads);
        msg.version = ConfigVersion::new(u64::MAX);
        let mut out = Vec::new();
        let req = Request::Exchange(Box::new(msg));
        let reply = sim.hosts[0].state.serve(sim.now, &req, &mut out);
        prop_assert!(matches!(reply, Some(Reply::Exchange(_))));
        prop_assert_eq!(sim.hosts[0].state.members(sim.now).len(), before);
    }

    /// Guards against garbage residents that stop the process or reach the router.
    #[test]
    fn garbage_residents_are_counted(models in bytes(), stamp in any::<u64>()) {
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

    /// Guards against an encoding that loses a number.
    #[test]
    fn numbers_survive(signed in any::<i64>(), sparse in proptest::collection::vec(-2_i64..3, 0..50)) {
        let mut buf = Vec::new();
        codec::put_signed(&mut buf, signed);
        prop_assert_eq!(Reader::new(&buf).signed(), Some(signed));
        let mut buf = Vec::new();
        codec::put_sparse(&mut buf, sparse.iter().copied());
        prop_assert_eq!(Reader::new(&buf).sparse(sparse.len()), Some(sparse));
    }
}

/// Guards against a truncated message that passes as a whole one.
#[test]
fn a_truncated_message_is_garbage() {
    let mut sim = two_hosts();
    let mut msg = message(&mut sim);
    msg.beats.pop();
    let mut out = Vec::new();
    let req = Request::Exchange(Box::new(msg));
    sim.hosts[0].state.serve(sim.now, &req, &mut out);
    assert!(out.contains(&Action::Garbage), "{out:?}");
}
