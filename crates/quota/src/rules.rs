//! Arithmetic of quotas: what may be admitted, and what hosts assume of what they can't know.

use types::Micros;

use crate::{
    limit::{Limit, Tolerance},
    usage::{AccountUsage, WINDOWS, units, window},
};

/// Time over which the rest of a quota is spread if more is asked for than it holds.
///
/// Longer than the delay of the sums, so that hosts do not overshoot in turns.
const SPREAD_SECONDS: f64 = 0.5;

/// Part of its rate that an account may use however much it used before.
///
/// A lowered quota would otherwise stop an account until its past use has left the longest window.
const MIN_RATE_SHARE: f64 = 0.5;

/// Most that hosts admit beyond a limit before they hear of each other, in seconds of the rate.
///
/// It follows from the delay of the sums, during which the demand may be several times the rate, twice
/// in a window. What the tolerance does not cover of it is kept free.
const EXCESS_SECONDS: f64 = 1.2;

/// The same in requests: several hosts admit their first one of a small account at the same time.
const EXCESS_REQUESTS: f64 = 4.0;

/// Largest part of a quota that is kept free for these requests, so that a large one can be admitted.
const MAX_EXCESS_SHARE: f64 = 0.25;

/// Returns the part of the requests of an account that is admitted, one or more for all.
///
/// `headroom` is what is left in units, `demand` what is asked for per second.
pub(crate) fn admitted_part(headroom: f64, per_second: f64, demand: f64) -> f64 {
    if demand <= 0.0 {
        return 1.0;
    }
    let target = headroom / SPREAD_SECONDS + per_second;
    target.max(MIN_RATE_SHARE * per_second) / demand
}

/// Returns what hosts may admit in each window: what the quota allows and the operator tolerates beyond it, less what
/// they may admit before they hear of each other.
pub(crate) fn usable(limit: Limit, tolerance: Tolerance, cost: u32) -> [f64; WINDOWS] {
    let allowed = limit.allowed(tolerance.window);
    let tolerated = allowed[WINDOWS - 1] * tolerance.ratio + tolerance.units;
    let requests = f64::from(cost) * EXCESS_REQUESTS;
    let requests = requests.min(allowed[WINDOWS - 1] * MAX_EXCESS_SHARE);
    let excess = limit.per_second * EXCESS_SECONDS + requests;
    let beyond = tolerated - excess;
    if beyond >= 0.0 {
        return allowed.map(|units| units + beyond);
    }
    let mut usable = allowed;
    usable[WINDOWS - 1] += beyond;
    usable
}

/// Returns the units that a host which has just started counts as used before its start.
///
/// It can't know what it used, so it counts its equal part of what the quota allows.
pub(crate) fn before_start(
    limit: Limit,
    longest: Micros,
    uptime: Micros,
    hosts: usize,
) -> [u32; WINDOWS] {
    let allowed = limit.allowed(longest);
    std::array::from_fn(|at| {
        let window = window(longest, at);
        let before = window.get().saturating_sub(uptime.get()) as f64 / window.get() as f64;
        units(allowed[at] * before / hosts as f64)
    })
}

/// Returns the share of a quota of a host that does not hear of the others.
///
/// The shares of all hosts add up to one if their last sums agree.
pub(crate) fn own_share(own: u32, others: AccountUsage, allowed: f64, hosts: usize) -> f64 {
    let own = f64::from(own) / allowed.max(1.0);
    let total = own + f64::from(others.used[WINDOWS - 1]) / allowed.max(1.0);
    (own + 1.0 / hosts as f64) / (1.0 + total)
}
