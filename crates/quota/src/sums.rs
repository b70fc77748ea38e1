//! Sums of the usage of all hosts, with what silent ones may use.
//!
//! Answers the loss of hosts and links: what a host that is cut off may still admit counts as used, by the
//! same rule by which that host limits itself.

use types::{DataCentreId, HostId, Instant, Micros};

use crate::{
    limit::Limit,
    usage::{AccountUsage, WHOLE_SHARE, WINDOWS, units},
};

/// Hosts that report together: one host, or all hosts of a data centre.
#[derive(Debug)]
struct Source<K> {
    id: K,
    /// Number of hosts.
    hosts: usize,
    /// Time of the last report.
    heard: Option<Instant>,
    /// Last report of each account with its time, sorted by account.
    usages: Vec<(AccountUsage, Instant)>,
    /// Share of each account's quota that these hosts keep to once they are silent, sorted by account.
    ///
    /// It is not updated while they are, as they can't know what the others use meanwhile.
    shares: Vec<(u32, f64)>,
}

impl<K> Source<K> {
    fn is_silent(&self, now: Instant, ttl: Micros) -> bool {
        self.heard.is_none_or(|at| now.since(at) > ttl)
    }

    fn record(&mut self, now: Instant, usages: &[AccountUsage], ttl: Micros) {
        self.heard = Some(now);
        // An account that is missing from reports has not been used.
        self.usages.retain(|(_, at)| now.since(*at) <= ttl);
        for usage in usages {
            let found = self
                .usages
                .binary_search_by_key(&usage.account, |(u, _)| u.account);
            match found {
                Ok(at) => self.usages[at] = (*usage, now),
                Err(at) => self.usages.insert(at, (*usage, now)),
            }
        }
    }

    fn usage(&self, account: u32) -> AccountUsage {
        let found = self
            .usages
            .binary_search_by_key(&account, |(u, _)| u.account);
        found.map_or_else(|_none| AccountUsage::none(account), |at| self.usages[at].0)
    }

    fn set_share(&mut self, account: u32, share: f64) {
        match self.shares.binary_search_by_key(&account, |s| s.0) {
            Ok(at) => self.shares[at].1 = share,
            Err(at) => self.shares.insert(at, (account, share)),
        }
    }

    fn share(&self, account: u32) -> Option<f64> {
        let at = self.shares.binary_search_by_key(&account, |s| s.0).ok()?;
        Some(self.shares[at].1)
    }
}

/// Usage of all accounts, sorted by account.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Totals {
    /// By the hosts of this data centre.
    pub data_centre: Vec<AccountUsage>,
    /// By all hosts.
    pub fleet: Vec<AccountUsage>,
}

/// Latest reports of the hosts of this data centre and of the other data centres.
#[derive(Debug)]
pub struct UsageSums {
    longest: Micros,
    /// Time after which a host or data centre without a report counts as silent.
    ttl: Micros,
    /// Sorted by host.
    hosts: Vec<Source<HostId>>,
    /// Sorted by data centre.
    data_centres: Vec<Source<DataCentreId>>,
}

impl UsageSums {
    /// Creates sums without hosts for quotas with the longest window `longest`.
    #[must_use]
    pub fn new(longest: Micros) -> Self {
        Self {
            longest,
            ttl: Micros::ZERO,
            hosts: Vec::new(),
            data_centres: Vec::new(),
        }
    }

    /// Sets the hosts that report to this one, itself included, the other data centres with their
    /// numbers of hosts, and the time after which they count as silent.
    pub fn set_members(
        &mut self,
        hosts: Vec<HostId>,
        data_centres: Vec<(DataCentreId, usize)>,
        ttl: Micros,
    ) {
        self.ttl = ttl;
        let hosts = hosts.into_iter().map(|id| (id, 1));
        replace(&mut self.hosts, hosts.collect());
        replace(&mut self.data_centres, data_centres);
    }

    /// Records the report of a host; those of unknown hosts are ignored.
    pub fn record_host(&mut self, now: Instant, host: &HostId, usages: &[AccountUsage]) {
        if let Ok(at) = self.hosts.binary_search_by(|s| s.id.cmp(host)) {
            self.hosts[at].record(now, usages, self.ttl);
        }
    }

    /// Records the sum of another data centre; those of unknown ones are ignored.
    pub fn record_data_centre(&mut self, now: Instant, dc: &DataCentreId, usages: &[AccountUsage]) {
        if let Ok(at) = self.data_centres.binary_search_by(|s| s.id.cmp(dc)) {
            self.data_centres[at].record(now, usages, self.ttl);
        }
    }

    /// Returns the usage of each account with a limit; `limits` is sorted by account.
    #[must_use]
    pub fn totals(&mut self, now: Instant, limits: &[(u32, Limit)]) -> Totals {
        let mut totals = Totals::default();
        for (account, limit) in limits {
            let (data_centre, fleet) = self.account_totals(now, *account, *limit);
            totals.data_centre.push(data_centre);
            totals.fleet.push(fleet);
        }
        totals.data_centre.retain(|u| !u.is_none());
        totals.fleet.retain(|u| !u.is_none());
        totals
    }

    /// Returns the usage of an account in this data centre and in all of them.
    fn account_totals(
        &mut self,
        now: Instant,
        account: u32,
        limit: Limit,
    ) -> (AccountUsage, AccountUsage) {
        let allowed = limit.allowed(self.longest);
        let mut parts = Parts {
            account,
            all_hosts: count(&self.hosts) + count(&self.data_centres),
            all_used: 0.0,
            allowed,
        };
        let hosts = self.hosts.iter().map(|s| s.usage(account));
        let elsewhere = self.data_centres.iter().map(|s| s.usage(account));
        parts.all_used = hosts.chain(elsewhere).map(|u| parts.used_part(&u)).sum();
        let data_centre = parts.sum(now, self.ttl, &mut self.hosts);
        let mut fleet = parts.sum(now, self.ttl, &mut self.data_centres);
        fleet.add(&data_centre);
        (data_centre, fleet)
    }
}

/// What is known of an account over all parts of a fleet.
struct Parts {
    account: u32,
    all_hosts: usize,
    /// Part of the quota that all used at last.
    all_used: f64,
    /// Units that the quota allows in each window.
    allowed: [f64; WINDOWS],
}

impl Parts {
    fn used_part(&self, usage: &AccountUsage) -> f64 {
        f64::from(usage.used[WINDOWS - 1]) / self.allowed[WINDOWS - 1].max(1.0)
    }

    /// Returns the share of a quota of some hosts: half by what they used, half by their number, scaled so
    /// that the shares of all hosts add up to one.
    fn share(&self, usage: &AccountUsage, hosts: usize) -> f64 {
        let equal = hosts as f64 / self.all_hosts.max(1) as f64;
        (self.used_part(usage) + equal) / (1.0 + self.all_used)
    }

    /// Sums up sources: the reports of those that are heard, and the shares of the silent ones.
    fn sum<K>(&self, now: Instant, ttl: Micros, sources: &mut [Source<K>]) -> AccountUsage {
        let mut sum = AccountUsage::none(self.account);
        let mut silent_share = 0.0;
        for source in sources {
            let usage = source.usage(self.account);
            let share = self.share(&usage, source.hosts);
            if source.is_silent(now, ttl) {
                silent_share += source.share(self.account).unwrap_or(share);
            } else {
                source.set_share(self.account, share);
                sum.add(&usage);
            }
        }
        let silent = self.allowed.map(|allowed| units(allowed * silent_share));
        sum.add(&AccountUsage {
            account: self.account,
            used: silent,
            asked_per_second: 0,
            silent_share: thousandths(silent_share),
        });
        sum
    }
}

fn thousandths(share: f64) -> u16 {
    u16::try_from(units(share * WHOLE_SHARE)).unwrap_or(u16::MAX)
}

fn count<K>(sources: &[Source<K>]) -> usize {
    sources.iter().map(|s| s.hosts).sum()
}

/// Replaces the sources and keeps the reports of those that remain.
fn replace<K: Ord>(sources: &mut Vec<Source<K>>, ids: Vec<(K, usize)>) {
    let mut old = std::mem::take(sources);
    let new = ids.into_iter().map(|(id, hosts)| {
        let known = old.binary_search_by(|s| s.id.cmp(&id)).ok();
        match known {
            Some(at) => Source {
                hosts,
                ..old.remove(at)
            },
            None => Source {
                id,
                hosts,
                heard: None,
                usages: Vec::new(),
                shares: Vec::new(),
            },
        }
    });
    let mut new: Vec<_> = new.collect();
    new.sort_by(|a, b| a.id.cmp(&b.id));
    *sources = new;
}
