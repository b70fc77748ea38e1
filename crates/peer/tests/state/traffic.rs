//! Tests of the traffic at design size.

use std::collections::BTreeMap;

use config::{Adapter, Delta, Priority, Snapshot};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use route::{BackendLoad, Liveness};
use types::{AttemptId, BackendId, Bytes, Incarnation, Micros, ModelId};

use super::{
    fixture::{self, Size},
    sim::{PERIOD, Sim, SimHost},
};
use crate::{
    event::{ConfigSource, Event},
    message::Reply,
    traffic,
};

const DESIGN: Size = Size {
    hosts: 390,
    dcs: 13,
    models: 1_300,
    workers: 108,
};

/// Maximum rate at which a host may send and receive, in bytes per second.
const BYTES_PER_SECOND: u64 = 7_000;

/// Time within which every change must be in force on all hosts.
const TARGET: Micros = Micros::from_secs(18);

const WARM_UP_PERIODS: usize = 26;

/// Exchange periods between changes; at design size changes come every 12.7 s.
const CHANGE_EVERY: usize = 13;

const MEASURED_PERIODS: usize = 26;

/// Reports the loads that each host polls; each worker is polled by one host of its data centre.
fn report(sim: &mut Sim, rng: &mut StdRng) {
    let per_dc = DESIGN.hosts / DESIGN.dcs;
    for i in 0..DESIGN.hosts {
        let (dc, rank) = (i % DESIGN.dcs, i / DESIGN.dcs);
        let workers = (rank..DESIGN.workers).step_by(per_dc);
        let view = |w: usize| {
            let id: BackendId = format!("w-{:04}", w * DESIGN.dcs + dc).parse().unwrap();
            let load = BackendLoad {
                incarnation: Incarnation::new(1_764_000_000_000_000 + id.as_str().len() as u64),
                liveness: Liveness::Live,
                in_flight: rng.random_range(0..60),
                own: rng.random_range(0..4),
                tokens_per_second: rng.random_range(0..3_000),
                residents: rng.random_range(1..4),
            };
            (id, load, Micros::from_millis(50))
        };
        let views = workers.map(view).collect();
        sim.event(i, Event::Loads(views));
    }
}

/// Changes one resident model of each data centre.
fn move_models(sim: &mut Sim, round: usize) {
    let resident = |dc: usize| {
        let models = (0..DESIGN.models).filter(move |m| (m + dc).is_multiple_of(6) || *m == round);
        models.map(|m| format!("model-{m:04}").parse().unwrap())
    };
    for i in 0..DESIGN.hosts {
        let models: Vec<ModelId> = resident(i % DESIGN.dcs).collect();
        sim.event(i, Event::Residents(models));
    }
}

/// The mean control traffic of a host stays below 7 KB/s at design size.
#[test]
fn control_traffic_fits_at_design_size() {
    let mut sim = Sim::new(DESIGN, ConfigSource::Relay, 3);
    let mut rng = StdRng::seed_from_u64(3);
    let mut start = sim.now;
    let mut applied = Vec::new();
    for round in 0..WARM_UP_PERIODS + MEASURED_PERIODS {
        if round == WARM_UP_PERIODS {
            sim.reset_counts();
            start = sim.now;
        }
        report(&mut sim, &mut rng);
        if round.is_multiple_of(10) {
            move_models(&mut sim, round);
        }
        if round % CHANGE_EVERY == 5 {
            applied.push((sim.apply(), sim.now));
        }
        sim.run(PERIOD);
    }
    sim.check_order();
    for (version, at) in applied {
        let reached = |h: &SimHost| {
            let installed = h.installed.iter().find(|(v, _)| *v >= version);
            installed.map_or(sim.now, |(_, then)| *then).since(at)
        };
        let longest = sim.hosts.iter().map(reached).max().unwrap_or_default();
        println!(
            "| version {version} in force everywhere | {:.1} s |",
            longest.as_secs_f64()
        );
        assert!(longest < TARGET, "{version}: {longest}");
    }
    let seconds = sim.now.since(start).get() / 1_000_000;
    let mut kinds = BTreeMap::new();
    for host in &sim.hosts {
        for (kind, bytes) in &host.bytes {
            *kinds.entry(kind.label()).or_insert(0) += bytes;
        }
    }
    let hosts = DESIGN.hosts as u64;
    for (kind, bytes) in &kinds {
        println!("| {kind} | {} |", bytes / hosts / seconds);
    }
    let from_platform = sim.hosts.iter().map(|h| h.platform_bytes).sum::<u64>();
    println!(
        "| manifest and chunks from the platform | {} |",
        from_platform / hosts / seconds
    );
    let mean = from_platform / hosts / seconds + kinds.values().sum::<u64>() / hosts / seconds;
    let most = sim.max_bytes() / seconds;
    println!("| mean of hosts | {mean} |\n| host with the most | {most} |");
    let digests = sim.hosts[0].updates.len();
    println!("| news of one host | {digests} |");
    assert!(mean < BYTES_PER_SECOND, "{mean} B/s");
}

/// A full copy of the configuration stays well below the maximum frame size.
#[test]
fn a_full_copy_at_design_size_is_small() {
    let mut d = fixture::deployment(DESIGN);
    let adapter = |i: usize| Adapter {
        id: format!("adapter-with-a-long-name-{i:04}").parse().unwrap(),
        version: "2026.12".parse().unwrap(),
        model: d.models[i % DESIGN.models].id.clone(),
        bytes: Bytes::new(300 << 20),
        priority: Priority::new(1),
    };
    d.adapters = (0..3_400).map(adapter).collect();
    let snapshot = Snapshot::next(None, &d, "ana", AttemptId::new(1));
    let delta = Delta::between(None, &snapshot);
    let size = traffic::reply_size(&Reply::Config(Some(Box::new(delta))));
    println!("| full copy at design size | {size} B |");
    assert!(size < 1_000_000, "{size} B");
}
