//! Aggregation of reports about backend servers, per data centre and over the fleet.
//!
//! In a large fleet a few hosts of each data centre sum the reports of the hosts there and
//! distribute the sums. Every host thus receives the load of all others within a few tenths of a
//! second at the cost of a few datagrams.

use types::{DataCentreId, Deadline, HostId, Instant};

/// Report about one backend server, or sum of such reports of several hosts.
pub trait Summable: Copy {
    /// Hash of the backend server's name.
    fn backend(&self) -> u32;

    /// Adds a report about the same backend server.
    #[must_use]
    fn plus(self, other: &Self) -> Self;

    /// Subtracts a report that is part of the sum.
    #[must_use]
    fn minus(self, part: &Self) -> Self;
}

#[derive(Debug)]
struct Report<K, T> {
    source: K,
    until: Deadline,
    items: Vec<T>,
}

/// Latest reports of each host of this data centre and latest sums of the other data centres.
#[derive(Debug)]
pub struct ReportSums<T> {
    /// Reports, sorted by host.
    hosts: Vec<Report<HostId, T>>,
    /// Sums, sorted by data centre.
    data_centres: Vec<Report<DataCentreId, T>>,
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
    /// Sets the report of a host of this data centre, which expires at a deadline.
    pub fn set_host(&mut self, host: HostId, items: Vec<T>, until: Deadline) {
        set(&mut self.hosts, host, items, until);
    }

    /// Sets the sum of another data centre, which expires at a deadline.
    pub fn set_data_centre(&mut self, dc: DataCentreId, items: Vec<T>, until: Deadline) {
        set(&mut self.data_centres, dc, items, until);
    }

    /// Returns the sum over the hosts of this data centre.
    pub fn data_centre_sum(&mut self, now: Instant) -> Vec<T> {
        self.hosts.retain(|r| !r.until.is_past(now));
        sum(self.hosts.iter().flat_map(|r| &r.items))
    }

    /// Returns the sum over all data centres.
    pub fn fleet_sum(&mut self, now: Instant) -> Vec<T> {
        self.hosts.retain(|r| !r.until.is_past(now));
        self.data_centres.retain(|r| !r.until.is_past(now));
        let own = self.hosts.iter().flat_map(|r| &r.items);
        sum(own.chain(self.data_centres.iter().flat_map(|r| &r.items)))
    }
}

fn set<K: Ord, T>(all: &mut Vec<Report<K, T>>, source: K, items: Vec<T>, until: Deadline) {
    match all.binary_search_by(|r| r.source.cmp(&source)) {
        Ok(index) => {
            all[index] = Report {
                source,
                until,
                items,
            }
        }
        Err(index) => all.insert(
            index,
            Report {
                source,
                until,
                items,
            },
        ),
    }
}

/// Sums the items per backend server.
fn sum<'a, T: Summable + 'a>(items: impl Iterator<Item = &'a T>) -> Vec<T> {
    let mut all: Vec<T> = items.copied().collect();
    all.sort_by_key(Summable::backend);
    let groups = all.chunk_by(|a, b| a.backend() == b.backend());
    groups
        .map(|group| group[1..].iter().fold(group[0], T::plus))
        .collect()
}

/// Subtracts the report of one host from a total.
#[must_use]
pub fn subtract<T: Summable>(total: &[T], part: &[T]) -> Vec<T> {
    let own = |t: &T| part.iter().find(|p| p.backend() == t.backend());
    total
        .iter()
        .map(|t| own(t).map_or(*t, |part| t.minus(part)))
        .collect()
}
