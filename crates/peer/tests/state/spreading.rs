//! Tests of the time, platform calls and bytes that configuration changes take to spread.

use types::Micros;

use super::{fixture::Size, sim::Sim};
use crate::{event::ConfigSource, message::MessageKind};

/// Time between changes at design size.
const CHANGE_PERIOD: Micros = Micros::from_millis(12_700);

/// Time within which every change must be in force on all hosts.
const TARGET: Micros = Micros::from_secs(18);

/// Maximum rate at which a host may send and receive, in bytes per second.
const BYTES_PER_SECOND: u64 = 7_000;

/// Time for the hosts to converge before the measurement.
const WARM_UP: Micros = Micros::from_secs(60);

const CHANGES: usize = 7;

struct Figures {
    median: Micros,
    longest: Micros,
    /// Reads of the manifest per second by all hosts.
    reads: f64,
    /// Hosts with open watches.
    watches: usize,
    /// Reads of chunks per change by all hosts.
    chunks: f64,
    /// Bytes per change and host, from peers and from the platform.
    bytes: (u64, u64),
    /// Bytes per second of all messages of the busiest host.
    rate: u64,
}

fn measure(size: Size, config_source: ConfigSource) -> Figures {
    let mut sim = Sim::new(size, config_source, 7);
    sim.run(WARM_UP);
    sim.reset_counts();
    let start = sim.now;
    let mut times = Vec::new();
    for _ in 0..CHANGES {
        let version = sim.apply();
        let took = sim.run_until(TARGET, |sim| sim.all_have(version));
        times.push(took);
        sim.run(Micros::new(CHANGE_PERIOD.get().saturating_sub(took.get())));
    }
    sim.check_order();
    times.sort();
    let millis = sim.now.since(start).get() / 1_000;
    let of_host = |sum: u64| sum / (size.hosts * CHANGES) as u64;
    let kind = MessageKind::Config;
    let from_peers = sim.hosts.iter().filter_map(|h| h.bytes.get(&kind)).sum();
    let from_platform = sim.hosts.iter().map(|h| h.platform_bytes).sum();
    Figures {
        median: times[CHANGES / 2],
        longest: times[CHANGES - 1],
        reads: sim.calls.manifests as f64 * 1_000.0 / millis as f64,
        watches: sim.hosts.iter().filter(|h| h.watching).count(),
        chunks: sim.calls.chunks as f64 / CHANGES as f64,
        bytes: (of_host(from_peers), of_host(from_platform)),
        rate: sim.max_bytes() * 1_000 / millis,
    }
}

/// Measures three fleets and checks the targets.
fn check(config_source: ConfigSource) {
    for (hosts, dcs) in [(7, 4), (30, 3), (100, 5)] {
        let f = measure(Size::of(hosts, dcs), config_source);
        println!(
            "| {config_source:?} | {hosts} in {dcs} | {:.1} | {:.1} | {:.1} | {} | {:.1} | {} | {} | {} |",
            f.median.as_secs_f64(),
            f.longest.as_secs_f64(),
            f.reads,
            f.watches,
            f.chunks,
            f.bytes.0,
            f.bytes.1,
            f.rate,
        );
        assert!(f.longest < TARGET);
        assert!(f.rate < BYTES_PER_SECOND, "{hosts} hosts: {} B/s", f.rate);
    }
}

/// With relays, a change takes less than 18 s and costs each host less than 7 KB/s.
#[test]
fn relays_spread_changes_in_time() {
    check(ConfigSource::Relay);
}

/// The baseline in which every host watches the platform meets the targets too.
#[test]
fn every_host_that_watches_learns_of_changes_in_time() {
    check(ConfigSource::Watch);
}

/// The baseline in which every host polls the platform meets the targets too.
#[test]
fn every_host_that_polls_learns_of_changes_in_time() {
    check(ConfigSource::Poll);
}
