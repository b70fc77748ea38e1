//! What a host knows of the usage of all others.

use types::{Deadline, Instant};

use crate::usage::AccountUsage;

/// What other hosts used, as of the last sums.
#[derive(Debug)]
pub(crate) struct Others {
    /// Sorted by account, with the time until which each holds.
    usages: Vec<(AccountUsage, Deadline)>,
    pub(crate) received: Instant,
    pub(crate) until: Deadline,
}

impl Others {
    /// Creates an empty state for a host that starts, which knows nothing.
    pub(crate) fn unknown(started: Instant) -> Self {
        Self {
            usages: Vec::new(),
            received: started,
            until: Deadline::at(started),
        }
    }

    pub(crate) fn record(&mut self, now: Instant, usages: &[AccountUsage], until: Deadline) {
        self.usages.retain(|(_, until)| !until.is_past(now));
        for usage in usages {
            let found = self
                .usages
                .binary_search_by_key(&usage.account, |(u, _)| u.account);
            match found {
                Ok(at) => self.usages[at] = (*usage, until),
                Err(at) => self.usages.insert(at, (*usage, until)),
            }
        }
        (self.received, self.until) = (now, until);
    }

    pub(crate) fn usage(&self, account: u32) -> AccountUsage {
        let found = self
            .usages
            .binary_search_by_key(&account, |(u, _)| u.account);
        found.map_or_else(|_none| AccountUsage::none(account), |at| self.usages[at].0)
    }
}
