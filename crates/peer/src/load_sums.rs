//! Sums of what the hosts of one data centre, and of all others, have sent to backend servers.
//!
//! In a large fleet a few hosts of each data centre add up the loads of their neighbours and tell
//! the sums, so that each host learns of all others within a few tenths of a second at the cost of
//! a few datagrams.

use types::{DataCentreId, Deadline, HostId, Instant};

use crate::beacon::Load;

#[derive(Debug)]
struct Told<K> {
    by: K,
    until: Deadline,
    loads: Vec<Load>,
}

/// What was told last by each host of the own data centre and for each other data centre.
#[derive(Debug, Default)]
pub struct LoadSums {
    /// Sorted by host.
    hosts: Vec<Told<HostId>>,
    /// Sorted by data centre.
    data_centres: Vec<Told<DataCentreId>>,
}

impl LoadSums {
    /// Takes the loads of a host of the own data centre, which count until a deadline.
    pub fn host(&mut self, host: HostId, loads: Vec<Load>, until: Deadline) {
        put(&mut self.hosts, host, loads, until);
    }

    /// Takes the sum of another data centre.
    pub fn data_centre(&mut self, dc: DataCentreId, loads: Vec<Load>, until: Deadline) {
        put(&mut self.data_centres, dc, loads, until);
    }

    /// Returns the sum over the hosts of the own data centre.
    pub fn own(&mut self, now: Instant) -> Vec<Load> {
        self.hosts.retain(|t| !t.until.is_past(now));
        sum(self.hosts.iter().flat_map(|t| &t.loads))
    }

    /// Returns the sum over all data centres.
    pub fn all(&mut self, now: Instant) -> Vec<Load> {
        self.hosts.retain(|t| !t.until.is_past(now));
        self.data_centres.retain(|t| !t.until.is_past(now));
        let own = self.hosts.iter().flat_map(|t| &t.loads);
        sum(own.chain(self.data_centres.iter().flat_map(|t| &t.loads)))
    }
}

fn put<K: Ord>(all: &mut Vec<Told<K>>, by: K, loads: Vec<Load>, until: Deadline) {
    match all.binary_search_by(|t| t.by.cmp(&by)) {
        Ok(at) => all[at] = Told { by, until, loads },
        Err(at) => all.insert(at, Told { by, until, loads }),
    }
}

/// Adds up loads by backend server.
fn sum<'a>(loads: impl Iterator<Item = &'a Load>) -> Vec<Load> {
    let mut all: Vec<Load> = loads.copied().collect();
    all.sort_by_key(|l| l.backend);
    let add = |a: Load, b: &Load| Load {
        backend: a.backend,
        requests: a.requests.saturating_add(b.requests),
        work_ms: a.work_ms.saturating_add(b.work_ms),
        suspected_by: a.suspected_by.saturating_add(b.suspected_by),
    };
    let groups = all.chunk_by(|a, b| a.backend == b.backend);
    groups
        .map(|group| group[1..].iter().fold(group[0], add))
        .collect()
}
