//! Quotas of client accounts on this host, and what requests in progress took from them.

use std::sync::{Arc, Mutex, PoisonError};

use config::{Account, RouteTable};
use quota::{Charge, Decision, Limit, LimitChange, Limiter, Tolerance};
use rand::RngExt;
use types::{AccountId, BootTime, Clock, Code, Instant};

use crate::{proxy::log, refusal::Refusal};

/// Counter of requests of accounts with a quota.
const REQUESTS: &str = "celerytally_account_requests_total";

/// Counter of the units that accounts with a quota took.
const UNITS: &str = "celerytally_account_units_total";

/// Gauge of the part of its quota that an account used over all hosts in the longest window.
const USED: &str = "celerytally_account_quota_used_ratio";

/// Quotas of all accounts on this host.
#[derive(Debug)]
pub struct Quotas {
    limiter: Mutex<Limiter>,
}

impl Quotas {
    /// Creates quotas without accounts for a process that started at a time of [`BootTime`].
    #[must_use]
    pub fn new(tolerance: Tolerance, started: Instant) -> Self {
        let limiter = Limiter::new(tolerance, started, rand::rng().random());
        Self {
            limiter: Mutex::new(limiter),
        }
    }

    /// Runs a function on the limiter with the time of its clock, which counts suspensions of the host.
    pub fn with<T>(&self, run: impl FnOnce(&mut Limiter, Instant) -> T) -> T {
        let mut limiter = self.limiter.lock().unwrap_or_else(PoisonError::into_inner);
        run(&mut limiter, BootTime.now())
    }

    /// Replaces the quotas by those of a configuration.
    pub(crate) fn configure(&self, table: &RouteTable) {
        let accounts = table
            .accounts()
            .into_iter()
            .flat_map(config::Accounts::iter);
        let limits = accounts.filter_map(|account| {
            let quota = account.quota?;
            let limit = Limit {
                per_second: quota.per_second,
                burst: quota.burst,
            };
            Some((account.id.clone(), limit))
        });
        let limits = limits.collect();
        self.with(|limiter, _now| limiter.configure(limits));
    }

    /// Takes the cost of a request from the quota of its account.
    ///
    /// # Errors
    /// The refusal of a request that exceeds the quota.
    pub(crate) fn charge(
        self: &Arc<Self>,
        account: &AccountId,
        cost: u32,
    ) -> Result<QuotaCharge, Refusal> {
        let (decision, changes) = self.with(|limiter, now| {
            let decision = limiter.admit(now, account, cost);
            (decision, limiter.take_changes())
        });
        changes.iter().for_each(report_change);
        match decision {
            Decision::Admitted(charge) => {
                count(account, "admitted", cost);
                Ok(QuotaCharge {
                    quotas: Arc::clone(self),
                    charge,
                    open_attempts: 0,
                    may_have_run: false,
                })
            }
            Decision::Refused { retry_after } => {
                count(account, "refused", cost);
                Err(Refusal {
                    retry_after: Some(retry_after),
                    ..Code::QuotaExceeded.into()
                })
            }
        }
    }
}

fn count(account: &AccountId, outcome: &'static str, cost: u32) {
    let account = account.as_str().to_owned();
    metrics::counter!(REQUESTS, "account" => account.clone(), "outcome" => outcome).increment(1);
    metrics::counter!(UNITS, "account" => account, "outcome" => outcome).increment(u64::from(cost));
}

fn report_change(change: &LimitChange) {
    log::account_limit(change);
    let ratio = f64::from(change.view.used) / f64::from(change.view.allowed.max(1));
    let account = change.account.as_str().to_owned();
    metrics::gauge!(USED, "account" => account).set(ratio);
}

/// Returns the units that a request takes from the quota of its account, if it has one.
pub(crate) fn cost(account: Option<&Account>, tokens: Option<u32>) -> Option<u32> {
    Some(account?.quota?.unit.cost(tokens))
}

/// What a request took from the quota of its account. Dropping it gives that back if no server received
/// the request.
#[derive(Debug)]
pub(crate) struct QuotaCharge {
    quotas: Arc<Quotas>,
    charge: Option<Charge>,
    /// Attempts that are not known to have failed.
    open_attempts: u32,
    may_have_run: bool,
}

impl QuotaCharge {
    /// Records that the request is sent to a server.
    pub(crate) fn sent(&mut self) {
        self.open_attempts += 1;
    }

    /// Records that an attempt failed.
    pub(crate) fn failed(&mut self, may_have_run: bool) {
        self.open_attempts = self.open_attempts.saturating_sub(1);
        self.may_have_run |= may_have_run;
    }
}

impl Drop for QuotaCharge {
    fn drop(&mut self) {
        if self.open_attempts > 0 || self.may_have_run {
            return;
        }
        if let Some(charge) = self.charge.take() {
            self.quotas
                .with(|limiter, now| limiter.refund(now, &charge));
        }
    }
}
