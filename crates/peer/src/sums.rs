//! Sums of what the hosts of one data centre, and of all others, tell of backend servers.
//!
//! In a large fleet a few hosts of each data centre add up what their neighbours tell and pass the
//! sums on, so that each host learns of all others within a few tenths of a second at the cost of a
//! few datagrams.

use types::{DataCentreId, Deadline, HostId, Instant};

/// What hosts tell of one backend server, and what several of them tell together.
pub trait Summable: Copy {
    /// Key of the backend server's name.
    fn backend(&self) -> u32;

    /// Adds what another host tells of the same backend server.
    #[must_use]
    fn plus(self, other: &Self) -> Self;

    /// Takes off what is part of the sum.
    #[must_use]
    fn minus(self, part: &Self) -> Self;
}

#[derive(Debug)]
struct Told<K, T> {
    by: K,
    until: Deadline,
    items: Vec<T>,
}

/// What was told last by each host of the own data centre and for each other data centre.
#[derive(Debug)]
pub struct ReportSums<T> {
    /// Sorted by host.
    hosts: Vec<Told<HostId, T>>,
    /// Sorted by data centre.
    data_centres: Vec<Told<DataCentreId, T>>,
}

impl<T> Default for ReportSums<T> {
    fn default() -> Self {
        Self {
            hosts: Vec::new(),
            data_centres: Vec::new(),
        }
    }
}

impl<T: Summable> ReportSums<T> {
    /// Takes what a host of the own data centre tells, which counts until a deadline.
    pub fn set_host(&mut self, host: HostId, items: Vec<T>, until: Deadline) {
        put(&mut self.hosts, host, items, until);
    }

    /// Takes the sum of another data centre.
    pub fn set_data_centre(&mut self, dc: DataCentreId, items: Vec<T>, until: Deadline) {
        put(&mut self.data_centres, dc, items, until);
    }

    /// Returns the sum over the hosts of the own data centre.
    pub fn data_centre_sum(&mut self, now: Instant) -> Vec<T> {
        self.hosts.retain(|t| !t.until.is_past(now));
        sum(self.hosts.iter().flat_map(|t| &t.items))
    }

    /// Returns the sum over all data centres.
    pub fn fleet_sum(&mut self, now: Instant) -> Vec<T> {
        self.hosts.retain(|t| !t.until.is_past(now));
        self.data_centres.retain(|t| !t.until.is_past(now));
        let own = self.hosts.iter().flat_map(|t| &t.items);
        sum(own.chain(self.data_centres.iter().flat_map(|t| &t.items)))
    }
}

fn put<K: Ord, T>(all: &mut Vec<Told<K, T>>, by: K, items: Vec<T>, until: Deadline) {
    match all.binary_search_by(|t| t.by.cmp(&by)) {
        Ok(at) => all[at] = Told { by, until, items },
        Err(at) => all.insert(at, Told { by, until, items }),
    }
}

/// Adds up what is told of the same backend servers.
fn sum<'a, T: Summable + 'a>(items: impl Iterator<Item = &'a T>) -> Vec<T> {
    let mut all: Vec<T> = items.copied().collect();
    all.sort_by_key(Summable::backend);
    let groups = all.chunk_by(|a, b| a.backend() == b.backend());
    groups
        .map(|group| group[1..].iter().fold(group[0], T::plus))
        .collect()
}

/// Takes the parts that one host told off a total.
#[must_use]
pub fn subtract<T: Summable>(total: &[T], part: &[T]) -> Vec<T> {
    let own = |t: &T| part.iter().find(|p| p.backend() == t.backend());
    total
        .iter()
        .map(|t| own(t).map_or(*t, |part| t.minus(part)))
        .collect()
}
