//! Simulated hosts and the parameters of a schedule.

use lease::Lease;
use orders::Ledger;
use types::{AttemptId, Epoch, HostId, Micros, Order};

const LEASE_DURATION: Micros = Micros::from_secs(4);

/// Parameters of a schedule.
#[derive(Clone, Copy, Debug, Default)]
pub struct Scenario {
    pub seed: u64,
    pub fences: bool,
    pub lease: lease::Checks,
    pub orders: orders::Checks,
}

/// Deterministic random number generator (`SplitMix64`).
#[derive(Clone, Debug)]
pub struct Rng(pub u64);

impl Rng {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    pub fn below(&mut self, n: u64) -> u64 {
        self.next() % n
    }

    pub fn one_in(&mut self, n: u64) -> bool {
        self.below(n) == 0
    }
}

pub struct Host {
    pub id: HostId,
    /// Incarnation of the process, incremented by each restart.
    pub process: u64,
    pub alive: bool,
    pub died_at: u64,
    pub handed_over: bool,
    pub frozen_until: u64,
    /// Rate of the local clock in thousandths of virtual time.
    pub clock_rate: u64,
    pub lease: Lease<u64>,
    pub ledger: Option<Ledger<u64>>,
    pub term: Option<Epoch>,
    pub lease_call: u64,
    pub record_call: u64,
    /// Attempts in flight, with their ids.
    pub sending: Vec<(u64, Order)>,
}

pub fn new_host(i: usize, process: u64, clock_rate: u64, scenario: Scenario) -> Host {
    let id: HostId = format!("h{i}").parse().unwrap();
    let attempt = u128::from(process) * 2 + u128::from(i == 1);
    Host {
        lease: Lease::new(lease::Params {
            host: id.clone(),
            process: AttemptId::new(attempt),
            duration: LEASE_DURATION,
            poll_interval: Micros::from_secs(1),
            predecessors_ended: false,
            checks: scenario.lease,
        }),
        id,
        process,
        alive: true,
        died_at: 0,
        handed_over: false,
        frozen_until: 0,
        clock_rate,
        ledger: None,
        term: None,
        lease_call: 0,
        record_call: 0,
        sending: Vec::new(),
    }
}
