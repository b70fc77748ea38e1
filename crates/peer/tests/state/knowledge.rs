//! Loads, suspect slots and leases as other hosts know them.

use route::{BackendLoad, Fingerprint, Liveness, SuspectRecord, SuspectState};
use types::{BackendId, Epoch, Incarnation, Micros};

use super::{
    fixture::Size,
    sim::{PERIOD, Sim, SimHost},
};
use crate::event::{ConfigSource, Event, Outgoing, Target};

fn met(hosts: usize, dcs: usize) -> Sim {
    let mut sim = Sim::new(Size::of(hosts, dcs), ConfigSource::Relay, 11);
    sim.run(Micros::from_secs(30));
    sim
}

fn load(in_flight: u16, life: u64) -> BackendLoad {
    BackendLoad {
        incarnation: Incarnation::new(life),
        liveness: Liveness::Live,
        in_flight,
        own: 1,
        tokens_per_second: 900,
        residents: 7,
    }
}

fn digests(sim: &Sim, host: usize) -> Vec<(BackendLoad, Micros)> {
    let news = sim.hosts[host].news.iter();
    let digest = news.filter_map(|n| match n {
        Outgoing::Digest { load, age, .. } => Some((*load, *age)),
        Outgoing::Remote { .. } => None,
    });
    digest.collect()
}

/// Guards against digests that are lost, altered, made younger or sent to other data centres.
#[test]
fn digests_reach_the_hosts_of_the_data_centre_with_their_age() {
    let mut sim = met(8, 2);
    let worker: BackendId = "w-0000".parse().unwrap();
    for (round, life) in [(3, 5), (4, 5), (5, 6)] {
        let seen = load(round, life);
        let aged = Micros::from_millis(200);
        for _ in 0..6 {
            sim.event(0, Event::Loads(vec![(worker.clone(), seen, aged)]));
            sim.run(PERIOD);
        }
        for i in [2, 4, 6] {
            let (got, age) = *digests(&sim, i).last().expect("a digest");
            assert_eq!(got, seen, "host {i}");
            assert!(age >= aged && age < Micros::from_secs(3), "{age}");
        }
        assert!(digests(&sim, 1).is_empty(), "another data centre");
    }
    // After the life is no longer news, a check byte stands for it.
    for in_flight in 0..40 {
        sim.event(
            0,
            Event::Loads(vec![(worker.clone(), load(in_flight, 6), Micros::ZERO)]),
        );
        sim.run(PERIOD);
    }
    let (last, _) = *digests(&sim, 2).last().expect("a digest");
    assert!(
        last.in_flight > 35 && last.incarnation == Incarnation::new(6),
        "{last:?}"
    );
}

/// Asks all granters of a backend server as the host `of` sees them, one after the other.
fn ask(sim: &mut Sim, of: usize, suspect: u128, worker: &BackendId) -> bool {
    let now = sim.now;
    let granters = sim.hosts[of].state.granters(now, worker);
    let mut granted = false;
    for granter in granters {
        let at = index(sim, &granter);
        let host = &mut sim.hosts[at];
        granted = !host.frozen && host.state.grant(now, Fingerprint::new(suspect), worker);
        if !granted {
            break;
        }
    }
    granted
}

fn index(sim: &Sim, target: &Target) -> usize {
    let named = |h: &SimHost| Some(&h.id) == target.host.as_ref();
    sim.hosts.iter().position(named).expect("a known host")
}

fn cleared(suspect: u128, worker: &BackendId) -> SuspectRecord {
    SuspectRecord {
        fingerprint: Fingerprint::new(suspect),
        state: SuspectState::Cleared,
        backend: worker.clone(),
        incarnation: Incarnation::new(1),
    }
}

/// Guards against two suspects on one backend server, and against a slot that is never freed.
#[test]
fn one_slot_a_backend_server_is_granted() {
    let mut sim = met(6, 2);
    let worker: BackendId = "w-0001".parse().unwrap();
    assert!(ask(&mut sim, 1, 1, &worker));
    assert!(!ask(&mut sim, 3, 2, &worker), "the slot is taken");
    for i in 0..6 {
        sim.event(i, Event::Suspects(vec![cleared(1, &worker)]));
    }
    assert!(
        ask(&mut sim, 3, 2, &worker),
        "a cleared suspect frees the slot"
    );
    // A slot whose holder is never heard of again ends with the longest deadline, 20 s here.
    sim.run(Micros::from_secs(19));
    assert!(!ask(&mut sim, 5, 3, &worker));
    sim.run(Micros::from_secs(2));
    assert!(ask(&mut sim, 5, 3, &worker));
}

/// Guards against a slot that is granted again because the host which granted it crashed.
#[test]
fn a_slot_outlives_one_of_its_granters() {
    let mut sim = met(8, 2);
    let worker: BackendId = "w-0000".parse().unwrap();
    assert!(ask(&mut sim, 0, 1, &worker));
    let granters = sim.hosts[1].state.granters(sim.now, &worker);
    let first = index(&sim, &granters[0]);
    sim.hosts[first].frozen = true;
    let other = (0..8).step_by(2).find(|i| *i != first).unwrap();
    sim.run(Micros::from_secs(15));
    let now = sim.now;
    let after = sim.hosts[other].state.granters(now, &worker);
    assert_eq!(after[0], granters[1], "the second host is now the first");
    assert!(!ask(&mut sim, other, 2, &worker), "it knows of the slot");
    // The host that moved up knows nothing of the slot and would have granted it alone.
    let joined = index(&sim, &after[1]);
    let granted = sim.hosts[joined]
        .state
        .grant(now, Fingerprint::new(2), &worker);
    assert!(granted);
}

/// Guards against a lease holder, or an epoch that was given up, that others do not learn of.
#[test]
fn lease_epochs_are_known_to_all() {
    let mut sim = met(9, 3);
    sim.event(0, Event::Holds(Some(Epoch::new(4))));
    let row = |sim: &Sim, i: usize| {
        let members = sim.hosts[i].state.members(sim.now);
        members
            .into_iter()
            .find(|m| m.id == sim.hosts[0].id)
            .unwrap()
    };
    let limit = Micros::from_secs(18);
    sim.run_until(limit, |sim| {
        (0..9).all(|i| row(sim, i).lease_epoch == Some(Epoch::new(4)))
    });
    sim.event(0, Event::Yielded(Epoch::new(4)));
    sim.run_until(limit, |sim| {
        (0..9).all(|i| {
            row(sim, i).lease_epoch.is_none() && row(sim, i).retired_epoch == Some(Epoch::new(4))
        })
    });
}
