//! Tests of the propagation of loads, suspect slots and lease epochs.

use route::{BackendLoad, Fingerprint, Liveness, SuspectRecord, SuspectState};
use types::{BackendId, Epoch, Incarnation, Micros};

use super::{
    fixture::Size,
    sim::{PERIOD, Sim, SimHost},
};
use crate::event::{ConfigSource, Event, Target, Update};

fn converged(hosts: usize, dcs: usize) -> Sim {
    let mut sim = Sim::new(Size::of(hosts, dcs), ConfigSource::Relay, 11);
    sim.run(Micros::from_secs(30));
    sim
}

fn load(in_flight: u16, incarnation: u64) -> BackendLoad {
    BackendLoad {
        incarnation: Incarnation::new(incarnation),
        liveness: Liveness::Live,
        in_flight,
        own: 1,
        tokens_per_second: 900,
        residents: 7,
    }
}

fn digests(sim: &Sim, host: usize) -> Vec<(BackendLoad, Micros)> {
    let updates = sim.hosts[host].updates.iter();
    let digest = updates.filter_map(|n| match n {
        Update::Digest { load, age, .. } => Some((*load, *age)),
        Update::RemoteModels { .. } => None,
    });
    digest.collect()
}

/// Digests reach all hosts of the data centre unaltered and no younger than they are, and no other
/// data centre.
#[test]
fn digests_reach_the_hosts_of_the_data_centre_with_their_age() {
    let mut sim = converged(8, 2);
    let worker: BackendId = "w-0000".parse().unwrap();
    for (in_flight, incarnation) in [(3, 5), (4, 5), (5, 6)] {
        let seen = load(in_flight, incarnation);
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
    // Once the incarnation is no longer sent in full, a check byte replaces it.
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

/// Requests a slot from all granters of a backend server in sequence, as the host `of` sees them.
fn request_slot(sim: &mut Sim, of: usize, suspect: u128, worker: &BackendId) -> bool {
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

/// A backend server runs at most one suspect, and its slot is released eventually.
#[test]
fn one_slot_per_backend_server_is_granted() {
    let mut sim = converged(6, 2);
    let worker: BackendId = "w-0001".parse().unwrap();
    assert!(request_slot(&mut sim, 1, 1, &worker));
    assert!(!request_slot(&mut sim, 3, 2, &worker), "the slot is taken");
    for i in 0..6 {
        sim.event(i, Event::Suspects(vec![cleared(1, &worker)]));
    }
    assert!(
        request_slot(&mut sim, 3, 2, &worker),
        "a cleared suspect frees the slot"
    );
    // A slot whose holder does not report back expires after the longest deadline, 20 s here.
    sim.run(Micros::from_secs(19));
    assert!(!request_slot(&mut sim, 5, 3, &worker));
    sim.run(Micros::from_secs(2));
    assert!(request_slot(&mut sim, 5, 3, &worker));
}

/// A slot must not be granted again when a host that granted it crashes.
#[test]
fn a_slot_outlives_one_of_its_granters() {
    let mut sim = converged(8, 2);
    let worker: BackendId = "w-0000".parse().unwrap();
    assert!(request_slot(&mut sim, 0, 1, &worker));
    let granters = sim.hosts[1].state.granters(sim.now, &worker);
    let first = index(&sim, &granters[0]);
    sim.hosts[first].frozen = true;
    let other = (0..8).step_by(2).find(|i| *i != first).unwrap();
    sim.run(Micros::from_secs(15));
    let now = sim.now;
    let after = sim.hosts[other].state.granters(now, &worker);
    assert_eq!(after[0], granters[1], "the second host is now the first");
    assert!(
        !request_slot(&mut sim, other, 2, &worker),
        "it knows of the slot"
    );
    // The new granter does not know of the slot and would grant it if asked alone.
    let joined = index(&sim, &after[1]);
    let granted = sim.hosts[joined]
        .state
        .grant(now, Fingerprint::new(2), &worker);
    assert!(granted);
}

/// All hosts learn the lease epoch of a holder and the epoch that it retired.
#[test]
fn lease_epochs_are_known_to_all() {
    let mut sim = converged(9, 3);
    sim.event(0, Event::LeaseEpoch(Some(Epoch::new(4))));
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
    sim.event(0, Event::RetiredEpoch(Epoch::new(4)));
    sim.run_until(limit, |sim| {
        (0..9).all(|i| {
            row(sim, i).lease_epoch.is_none() && row(sim, i).retired_epoch == Some(Epoch::new(4))
        })
    });
}
