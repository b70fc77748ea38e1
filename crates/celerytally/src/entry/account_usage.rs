//! Exchange of what client accounts used of their quotas, in the datagrams of [`LoadExchange`].
//!
//! It follows the loads of backend servers: in a small fleet each host tells all others; in a large one the
//! aggregators of each data centre add up, exchange the sums and send the total to their hosts.
//!
//! [`LoadExchange`]: crate::entry::beacons::LoadExchange

use std::{
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
};

use gate::Quotas;
use peer::{Datagram, Member, UsageSource};
use quota::{AccountUsage, Limit, UsageSums, subtract};
use types::{BootTime, Clock, DataCentreId, Deadline, HostId, Instant, Micros};

use crate::entry::targets::Targets;

/// Periods of reports after which a host or data centre counts as silent.
const SILENT_PERIODS: u64 = 4;

/// Time without a new member after which a host that started knows the other hosts.
///
/// The first exchanges show some of them only; a host that took these for all would use the whole quota.
const SETTLE_TIME: Micros = Micros::from_millis(1_500);

/// Datagrams and their receivers.
pub(super) type Outgoing = Vec<(Datagram, Vec<SocketAddr>)>;

#[derive(Debug)]
struct State {
    sums: UsageSums,
    /// This host's own usage as it was last sent; a received total includes it.
    own: Vec<AccountUsage>,
    /// Time after which what was heard is too old.
    ttl: Micros,
    members: usize,
    last_growth: Instant,
    /// Whether all hosts are known; it does not change back.
    is_settled: bool,
}

impl State {
    /// Counts the members, and returns the number of hosts once all are known.
    fn count_members(&mut self, now: Instant, members: usize) -> Option<usize> {
        if members > self.members {
            self.last_growth = now;
        }
        self.members = members;
        self.is_settled |= now.since(self.last_growth) >= SETTLE_TIME;
        self.is_settled.then_some(members)
    }
}

/// Sent and received usage of quotas.
#[derive(Debug)]
pub(super) struct AccountUsageExchange {
    host: HostId,
    dc: DataCentreId,
    state: Mutex<State>,
}

impl AccountUsageExchange {
    /// Creates the exchange of a host for quotas with the longest window `longest`.
    pub(super) fn new(host: HostId, dc: DataCentreId, longest: Micros) -> Self {
        let state = State {
            sums: UsageSums::new(longest),
            own: Vec::new(),
            ttl: Micros::ZERO,
            members: 0,
            last_growth: BootTime.now(),
            is_settled: false,
        };
        Self {
            host,
            dc,
            state: Mutex::new(state),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the hosts. Silent ones count until their membership expires, as they may be cut off and serve.
    pub(super) fn set_members(
        &self,
        members: &[Member],
        targets: &Targets,
        period: Micros,
        quotas: &Quotas,
    ) {
        let reports = |m: &&Member| !targets.aggregated || m.dc == self.dc;
        let hosts = members.iter().filter(reports).map(|m| m.id.clone());
        let mut data_centres: Vec<(DataCentreId, usize)> = Vec::new();
        for member in members.iter().filter(|m| !reports(m)) {
            match data_centres.iter_mut().find(|(dc, _)| *dc == member.dc) {
                Some((_, hosts)) => *hosts += 1,
                None => data_centres.push((member.dc.clone(), 1)),
            }
        }
        let ttl = Micros::new(period.get().saturating_mul(SILENT_PERIODS));
        let mut state = self.state();
        state.ttl = ttl;
        state.sums.set_members(hosts.collect(), data_centres, ttl);
        quotas.with(|limiter, now| {
            if let Some(hosts) = state.count_members(now, members.len()) {
                limiter.set_hosts(hosts);
            }
        });
    }

    /// Returns what to send in this period; nothing if no account has a quota.
    ///
    /// `is_primary` is whether this host, if it is an aggregator, sends the total to the hosts of its data centre.
    pub(super) fn report(&self, targets: &Targets, quotas: &Quotas, is_primary: bool) -> Outgoing {
        let mut state = self.state();
        let (limits, own) = quotas.with(|limiter, now| {
            let members = state.members;
            if let Some(hosts) = state.count_members(now, members) {
                limiter.set_hosts(hosts);
            }
            (limiter.limits(), limiter.own_usages(now))
        });
        if limits.is_empty() {
            return Vec::new();
        }
        state.own.clone_from(&own);
        let receivers = if targets.aggregated {
            &targets.local_aggregators
        } else {
            &targets.all
        };
        let mut outgoing = outgoing(&UsageSource::Host(self.host.clone()), &own, receivers);
        let adds_up = !targets.aggregated || targets.aggregator_rank.is_some();
        if !adds_up || !state.is_settled {
            return outgoing;
        }
        let totals = quotas.with(|limiter, now| {
            let totals = self.add_up(&mut state, now, &limits);
            let others = subtract(&totals.fleet, &state.own);
            limiter.set_others(now, &others, Deadline::after(now, state.ttl));
            totals
        });
        if targets.aggregated {
            let of = UsageSource::DataCentre(self.dc.clone());
            outgoing.extend(self::outgoing(
                &of,
                &totals.data_centre,
                &targets.remote_aggregators,
            ));
            if is_primary {
                let of = UsageSource::Fleet(self.host.clone());
                outgoing.extend(self::outgoing(
                    &of,
                    &totals.fleet,
                    &targets.local_host_addrs,
                ));
            }
        }
        outgoing
    }

    fn add_up(&self, state: &mut State, now: Instant, limits: &[(u32, Limit)]) -> quota::Totals {
        let State { sums, own, .. } = state;
        sums.record_host(now, &self.host, own);
        sums.totals(now, limits)
    }

    /// Applies the usage that another host sent.
    pub(super) fn apply(
        &self,
        of: &UsageSource,
        usages: &[AccountUsage],
        targets: &Targets,
        quotas: &Quotas,
    ) {
        let adds_up = !targets.aggregated || targets.aggregator_rank.is_some();
        let mut state = self.state();
        quotas.with(|limiter, now| match of {
            UsageSource::Host(host) if adds_up => state.sums.record_host(now, host, usages),
            UsageSource::DataCentre(dc) if adds_up => {
                state.sums.record_data_centre(now, dc, usages);
            }
            UsageSource::Fleet(_) if !adds_up => {
                let others = subtract(usages, &state.own);
                limiter.set_others(now, &others, Deadline::after(now, state.ttl));
            }
            // The sender has other members in view, for a moment.
            UsageSource::Host(_) | UsageSource::DataCentre(_) | UsageSource::Fleet(_) => {}
        });
    }
}

fn outgoing(of: &UsageSource, usages: &[AccountUsage], receivers: &[SocketAddr]) -> Outgoing {
    if receivers.is_empty() {
        return Vec::new();
    }
    let datagrams = Datagram::account_usages(of, usages).into_iter();
    datagrams.map(|d| (d, receivers.to_vec())).collect()
}
