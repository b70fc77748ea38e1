//! Usage of one account, as hosts report it to each other.

use serde::{Deserialize, Serialize};
use types::{AccountId, Micros};

/// Number of windows in which the usage of an account is limited.
///
/// Each is twice as long as the one before, so that a short excess shows while it is still short.
pub const WINDOWS: usize = 3;

/// Returns the length of a window; the last one is the longest.
pub(crate) fn window(longest: Micros, at: usize) -> Micros {
    Micros::new(longest.get() >> (WINDOWS - 1 - at))
}

/// Units that one host, or several, admitted and were asked for.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct AccountUsage {
    /// Hash of the account's name.
    pub account: u32,
    /// Admitted units in each window up to now.
    pub used: [u32; WINDOWS],
    /// Units that callers asked for lately, per second.
    pub asked_per_second: u32,
    /// Share of the quota that hosts which are not heard of may use, in thousandths; `used` includes it.
    pub silent_share: u16,
}

/// Units of [`AccountUsage::silent_share`] in a whole quota.
pub(crate) const WHOLE_SHARE: f64 = 1_000.0;

impl AccountUsage {
    /// Creates the usage of an account that used nothing.
    pub(crate) fn none(account: u32) -> Self {
        Self {
            account,
            ..Self::default()
        }
    }

    pub(crate) fn is_none(&self) -> bool {
        self.asked_per_second == 0 && self.used == [0; WINDOWS]
    }

    pub(crate) fn add(&mut self, other: &Self) {
        for (sum, more) in self.used.iter_mut().zip(other.used) {
            *sum = sum.saturating_add(more);
        }
        self.asked_per_second = self.asked_per_second.saturating_add(other.asked_per_second);
        self.silent_share = self.silent_share.saturating_add(other.silent_share);
    }

    fn sub(&mut self, part: &Self) {
        for (sum, less) in self.used.iter_mut().zip(part.used) {
            *sum = sum.saturating_sub(less);
        }
        self.asked_per_second = self.asked_per_second.saturating_sub(part.asked_per_second);
    }
}

/// Returns the hash that stands for an account in reports; it is the same on all hosts.
#[must_use]
pub fn account_hash(account: &AccountId) -> u32 {
    let hash = blake3::hash(account.as_str().as_bytes());
    let [a, b, c, d, ..] = *hash.as_bytes();
    u32::from_le_bytes([a, b, c, d])
}

/// Subtracts the usage of one host from a total; both are sorted by account.
#[must_use]
pub fn subtract(total: &[AccountUsage], part: &[AccountUsage]) -> Vec<AccountUsage> {
    let mut rest = total.to_vec();
    for usage in &mut rest {
        if let Ok(at) = part.binary_search_by_key(&usage.account, |p| p.account) {
            usage.sub(&part[at]);
        }
    }
    rest
}

/// Converts a number of units, rounding up.
pub(crate) fn units(amount: f64) -> u32 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a float-to-integer cast saturates, which suits a limit"
    )]
    let units = amount.ceil() as u32;
    units
}
