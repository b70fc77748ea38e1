//! Decision of one host whether an account's request is within its quota.
//!
//! Answers the load of an account that sends more than its quota through many hosts at once. What
//! other hosts admitted is known with a delay, in which the demand may be a multiple of the rate, so near the
//! limit each host admits a part of its requests.

use rand::{RngExt, SeedableRng, rngs::Xoshiro256PlusPlus};
use types::{AccountId, Deadline, Instant, Micros};

use crate::{
    history::History,
    limit::{Limit, Tolerance},
    others::Others,
    rules::{admitted_part, before_start, own_share, usable},
    usage::{AccountUsage, WHOLE_SHARE, WINDOWS, account_hash, units},
};

/// Time by which sums are older than their arrival: a report waits for its period at the host and at the
/// aggregator.
const SUMS_DELAY: Micros = Micros::from_millis(300);

/// Rest of a quota, in seconds of its rate, below which each host keeps to its part of it.
const PACED_SECONDS: f64 = 1.5;

/// Factor by which a host may exceed its part, as requests do not come evenly.
const PACE_FACTOR: f64 = 3.0;

/// Number of hosts assumed until it is known: each admits a hundredth of a quota.
const ASSUMED_HOSTS: usize = 100;

/// Part of the longest window over which demand is measured.
///
/// A longer one shows only a part of a sudden demand by the time the sums arrive.
const DEMAND_WINDOW_SHARE: u64 = 16;

/// Time without a refusal after which an account is below its quota again, so that changes are logged rarely.
const LIMITED_TIME: Micros = Micros::from_secs(1);

/// Longest random delay added to the time after which a caller should return, in seconds.
const RETRY_SPREAD_SECONDS: f64 = 1.0;

/// Shortest time after which a caller should return, in seconds.
const MIN_RETRY_SECONDS: f64 = 0.5;

/// Units that a request took from the quota of its account.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Charge {
    account: AccountId,
    units: u32,
    at: Instant,
}

/// Decision about a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// It is within the quota, or its account has none.
    Admitted(Option<Charge>),
    /// It exceeds the quota.
    Refused {
        /// Time after which the account is expected to have room.
        retry_after: Micros,
    },
}

/// What a host knew of an account at a decision, for logs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct View {
    /// Units admitted by all hosts in the longest window.
    pub used: u32,
    /// Units that the quota allows in it.
    pub allowed: u32,
    /// Units that callers ask all hosts for, per second.
    pub asked_per_second: u32,
    /// Age of what is known of other hosts.
    pub age: Micros,
    /// Whether that is too old, so that this host keeps to its share.
    pub isolated: bool,
}

/// Account that reached its quota or is below it again.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitChange {
    /// Account.
    pub account: AccountId,
    /// Whether it is at its quota.
    pub limited: bool,
    /// What led to the change.
    pub view: View,
}

#[derive(Debug)]
struct Account {
    id: AccountId,
    hash: u32,
    limit: Limit,
    /// Share of the quota while nothing is heard of other hosts, as of the last sums.
    share: Option<f64>,
    /// Share of the demand at this host, as of the last sums.
    demand_share: f64,
    used: History,
    asked: History,
    /// Sum of the parts of requests that were not admitted yet; one admits a request.
    credit: f64,
    /// Part of the requests that was admitted at the last decision, at most one.
    part: f64,
    limited: bool,
    /// Time until which the account counts as limited.
    limited_until: Deadline,
}

impl Account {
    fn asked_per_second(&mut self, now: Instant, longest: Micros) -> u32 {
        let time = Micros::new(longest.get() / DEMAND_WINDOW_SHARE);
        units(f64::from(self.asked.sum(now, time)) / time.as_secs_f64())
    }

    /// Returns whether a request would make this host use more than its part of what is left, before it hears
    /// whether the demand rises at other hosts, too.
    ///
    /// A host may always admit a request after a time without one.
    fn exceeds_pace(&mut self, now: Instant, longest: Micros, room: &Room, cost: u32) -> bool {
        if room.headroom > PACED_SECONDS * room.per_second {
            return false;
        }
        let time = Micros::new(longest.get() / DEMAND_WINDOW_SHARE);
        let recent = self.used.sum(now, time);
        let left = room.headroom.max(0.0) + room.per_second * time.as_secs_f64();
        let pace = left * self.demand_share * PACE_FACTOR;
        recent > 0 && f64::from(recent.saturating_add(cost)) > pace
    }
}

/// Room of an account on this host.
struct Room {
    /// Units left, over all windows.
    headroom: f64,
    /// Units per second for this host and those that it hears of.
    per_second: f64,
    /// Units per second that callers ask for.
    demand: f64,
    view: View,
}

/// Quotas of all accounts on one host.
#[derive(Debug)]
pub struct Limiter {
    tolerance: Tolerance,
    started: Instant,
    /// Sorted by id.
    accounts: Vec<Account>,
    others: Others,
    /// Number of hosts with this one, if it is known.
    hosts: Option<usize>,
    rng: Xoshiro256PlusPlus,
    changes: Vec<LimitChange>,
}

impl Limiter {
    /// Creates a limiter without accounts for a host that starts at `started`.
    #[must_use]
    pub fn new(tolerance: Tolerance, started: Instant, seed: u64) -> Self {
        Self {
            tolerance,
            started,
            accounts: Vec::new(),
            others: Others::unknown(started),
            hosts: None,
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            changes: Vec::new(),
        }
    }

    /// Replaces the accounts that have a quota. The past of those that remain is kept.
    pub fn configure(&mut self, limits: Vec<(AccountId, Limit)>) {
        let mut old = std::mem::take(&mut self.accounts);
        let accounts = limits.into_iter().map(|(id, limit)| {
            let known = old.binary_search_by(|a| a.id.cmp(&id)).ok();
            let longest = self.tolerance.window;
            let rng = &mut self.rng;
            let fresh = || Account {
                hash: account_hash(&id),
                id: id.clone(),
                limit,
                share: None,
                demand_share: 1.0,
                used: History::new(longest),
                asked: History::new(longest),
                // Hosts with few requests of an account would otherwise all admit the same ones.
                credit: rng.random(),
                part: 1.0,
                limited: false,
                limited_until: Deadline::at(Instant::ZERO),
            };
            Account {
                limit,
                ..known.map_or_else(fresh, |at| old.remove(at))
            }
        });
        self.accounts = accounts.collect();
        self.accounts.sort_by(|a, b| a.id.cmp(&b.id));
    }

    /// Sets the number of hosts, including this one and silent ones.
    pub fn set_hosts(&mut self, hosts: usize) {
        self.hosts = Some(hosts.max(1));
    }

    /// Sets what all other hosts used of some accounts, which holds until a deadline.
    ///
    /// An account that is missing from later sums has not been used.
    pub fn set_others(&mut self, now: Instant, usages: &[AccountUsage], until: Deadline) {
        self.others.record(now, usages, until);
        let hosts = self.hosts.unwrap_or(ASSUMED_HOSTS);
        for account in &mut self.accounts {
            let own = account.used.sums(now)[WINDOWS - 1];
            let others = self.others.usage(account.hash);
            let allowed = account.limit.allowed(self.tolerance.window)[WINDOWS - 1];
            account.share = Some(own_share(own, others, allowed, hosts));
            let asked = f64::from(account.asked_per_second(now, self.tolerance.window));
            let all = (asked + f64::from(others.asked_per_second)).max(1.0);
            // Callers may come to this host next, so half goes by the number of hosts.
            account.demand_share = f64::midpoint(asked / all, 1.0 / hosts as f64);
        }
    }

    /// Returns the limits by hash of the account, sorted.
    #[must_use]
    pub fn limits(&self) -> Vec<(u32, Limit)> {
        let mut limits: Vec<_> = self.accounts.iter().map(|a| (a.hash, a.limit)).collect();
        limits.sort_by_key(|(hash, _)| *hash);
        limits
    }

    /// Returns what this host used of each quota, sorted by account.
    pub fn own_usages(&mut self, now: Instant) -> Vec<AccountUsage> {
        let hosts = self.hosts.unwrap_or(ASSUMED_HOSTS);
        let (longest, started) = (self.tolerance.window, self.started);
        let usages = self.accounts.iter_mut().map(|account| {
            let used = account.used.sums(now);
            let before = before_start(account.limit, longest, now.since(started), hosts);
            AccountUsage {
                account: account.hash,
                used: std::array::from_fn(|at| used[at].saturating_add(before[at])),
                asked_per_second: account.asked_per_second(now, longest),
                silent_share: 0,
            }
        });
        let mut usages: Vec<_> = usages.filter(|u| !u.is_none()).collect();
        usages.sort_by_key(|u| u.account);
        usages
    }

    /// Decides whether a request of an account that costs some units is admitted.
    pub fn admit(&mut self, now: Instant, account: &AccountId, cost: u32) -> Decision {
        let Ok(at) = self.accounts.binary_search_by(|a| a.id.cmp(account)) else {
            return Decision::Admitted(None);
        };
        self.accounts[at].asked.add(now, cost);
        let room = self.room(now, at, cost);
        let part = admitted_part(room.headroom, room.per_second, room.demand);
        let longest = self.tolerance.window;
        let account = &mut self.accounts[at];
        let paced = account.exceeds_pace(now, longest, &room, cost);
        account.part = part.min(1.0);
        account.credit = (account.credit + part).min(1.0 + part);
        let admitted = !paced && (part >= 1.0 || account.credit >= 1.0);
        if admitted {
            account.credit = (account.credit - 1.0).max(0.0);
            account.used.add(now, cost);
        }
        if paced || part < 1.0 {
            account.limited_until = Deadline::after(now, LIMITED_TIME);
        }
        let limited = !account.limited_until.is_past(now);
        if limited != account.limited {
            account.limited = limited;
            self.changes.push(LimitChange {
                account: account.id.clone(),
                limited,
                view: room.view,
            });
        }
        if admitted {
            return Decision::Admitted(Some(Charge {
                account: account.id.clone(),
                units: cost,
                at: now,
            }));
        }
        Decision::Refused {
            retry_after: self.retry_after(&room, cost),
        }
    }

    /// Gives back what a request took that no backend server received.
    pub fn refund(&mut self, now: Instant, charge: &Charge) {
        let found = self
            .accounts
            .binary_search_by(|a| a.id.cmp(&charge.account));
        if let Ok(at) = found {
            self.accounts[at]
                .used
                .take_back(now, charge.at, charge.units);
        }
    }

    /// Returns the accounts that reached their quota or left it since the last call.
    pub fn take_changes(&mut self) -> Vec<LimitChange> {
        std::mem::take(&mut self.changes)
    }

    /// Returns what is known of an account that has a quota.
    pub fn view(&mut self, now: Instant, account: &AccountId) -> Option<View> {
        let at = self.accounts.binary_search_by(|a| a.id.cmp(account)).ok()?;
        Some(self.room(now, at, 0).view)
    }

    /// Returns what is left for requests of `cost` units.
    fn room(&mut self, now: Instant, at: usize, cost: u32) -> Room {
        let hosts = self.hosts.unwrap_or(ASSUMED_HOSTS);
        let (longest, uptime) = (self.tolerance.window, now.since(self.started));
        let isolated = hosts > 1 && self.others.until.is_past(now);
        let account = &mut self.accounts[at];
        let limit = account.limit;
        let allowed = limit.allowed(longest);
        let others = self.others.usage(account.hash);
        let before = before_start(limit, longest, uptime, hosts);
        let own = account.used.sums(now);
        let own: [f64; WINDOWS] = std::array::from_fn(|w| f64::from(own[w]) + f64::from(before[w]));
        let share = if isolated {
            account.share.unwrap_or(1.0 / hosts as f64)
        } else {
            1.0
        };
        let silent = if isolated {
            0.0
        } else {
            f64::from(others.silent_share) / WHOLE_SHARE
        };
        let age = now.since(self.others.received);
        let unreported = (age.as_secs_f64() + SUMS_DELAY.as_secs_f64())
            * account.part
            * f64::from(others.asked_per_second);
        let usable = usable(limit, self.tolerance, cost);
        let left = (0..WINDOWS).map(|w| {
            let elsewhere = f64::from(others.used[w]) + unreported;
            usable[w] * share - own[w] - if isolated { 0.0 } else { elsewhere }
        });
        let headroom = left.fold(f64::INFINITY, f64::min);
        let asked = account.asked_per_second(now, longest);
        let asked_elsewhere = if isolated { 0 } else { others.asked_per_second };
        let asked_per_second = asked.saturating_add(asked_elsewhere);
        Room {
            headroom,
            per_second: limit
                .per_second
                .max(usable[WINDOWS - 1] / longest.as_secs_f64())
                * (share - silent).max(0.0),
            demand: f64::from(asked_per_second),
            view: View {
                used: units(own[WINDOWS - 1]).saturating_add(others.used[WINDOWS - 1]),
                allowed: units(allowed[WINDOWS - 1]),
                asked_per_second,
                age,
                isolated,
            },
        }
    }

    /// Returns when a refused caller should return: once the excess has been made up for, spread over callers.
    fn retry_after(&mut self, room: &Room, cost: u32) -> Micros {
        let missing = (f64::from(cost) - room.headroom).max(0.0);
        let seconds = (missing / room.per_second.max(1.0)).max(MIN_RETRY_SECONDS)
            + RETRY_SPREAD_SECONDS * self.rng.random::<f64>();
        let longest = self.tolerance.window.as_secs_f64();
        Micros::new(u64::from(units(seconds.min(longest) * 1e6)))
    }
}
