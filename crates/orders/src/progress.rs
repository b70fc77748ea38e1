//! Send progress of pending orders, which this process keeps in memory only.

use types::{Instant, LoadReport, Micros, OrderId, OrderState};

use crate::{event::SendOutcome, record::PendingOrder};

/// Delay before an order that the engine does not list is sent again.
const RESEND_AFTER: Micros = Micros::from_secs(1);

/// Bound on clock drift: over the age of a report, the clocks of the engine and of this host differ
/// by at most the age divided by this.
const DRIFT_DIVISOR: u64 = 16;

/// Send progress of one pending order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Progress {
    pub(crate) id: OrderId,
    /// Whether an attempt is in flight.
    sending: bool,
    /// Instant at which the last attempt was answered or abandoned.
    last_send_finished: Option<Instant>,
    /// Instant from which the order may be sent again; `None` once the engine accepted it.
    next_send: Option<Instant>,
    /// Whether the order has finished and none of its attempts can still arrive. The next write
    /// of the record removes it.
    pub(crate) closable: bool,
}

/// Load report with bounds on the instant at which the engine sampled it.
#[derive(Clone, Debug)]
pub(crate) struct Sample<'a> {
    pub(crate) report: &'a LoadReport,
    /// The engine did not sample the report before this instant.
    pub(crate) not_before: Instant,
    /// The engine did not sample the report after this instant.
    pub(crate) not_after: Instant,
}

impl<'a> Sample<'a> {
    /// Computes the bounds from the age that the report states, and from the instants at which it
    /// was requested and received.
    pub(crate) fn new(report: &'a LoadReport, asked: Instant, received: Instant) -> Self {
        let age = report.age_ms.saturating_mul(1_000);
        let drift = age / DRIFT_DIVISOR;
        let subtract =
            |at: Instant, age: u64| Instant::from_micros(at.as_micros().saturating_sub(age));
        Self {
            report,
            // The age is rounded down to whole milliseconds, so it may be one too low.
            not_before: subtract(asked, age + drift + 1_000),
            not_after: subtract(received, age - drift),
        }
    }
}

impl Progress {
    pub(crate) fn new(id: OrderId) -> Self {
        Self {
            id,
            sending: false,
            last_send_finished: None,
            next_send: Some(Instant::ZERO),
            closable: false,
        }
    }

    /// Returns whether the order should be sent now.
    pub(crate) fn is_due(&self, now: Instant) -> bool {
        !self.sending && !self.closable && self.next_send.is_some_and(|due| now >= due)
    }

    pub(crate) fn begin_send(&mut self) {
        self.sending = true;
    }

    pub(crate) fn finish_send(&mut self, now: Instant, outcome: SendOutcome) {
        self.sending = false;
        self.last_send_finished = Some(now);
        // An accepted order is sent again only if a later report does not list it.
        self.next_send = (outcome != SendOutcome::Accepted).then(|| now + RESEND_AFTER);
    }

    /// Updates the progress from a load report.
    ///
    /// `all_senders_covered` means that no attempt of another sender can arrive after the sample.
    /// The order is closable if the engine reports it as finished in a sample taken after the last
    /// attempt was answered or abandoned: the engine then knows the id and does not run a duplicate
    /// that arrives later.
    pub(crate) fn apply_report(
        &mut self,
        order: &PendingOrder,
        sample: &Sample<'_>,
        all_senders_covered: bool,
    ) {
        let covered = !self.sending
            && self
                .last_send_finished
                .is_none_or(|finished| sample.not_before >= finished);
        let status = sample.report.orders.iter().find(|o| o.id == order.id);
        // An order that the report does not list stays pending even if the engine refused it: an
        // engine that does not know the id would run a late duplicate.
        let finished = matches!(
            status.map(|s| s.state),
            Some(OrderState::Done | OrderState::Failed)
        );
        if status.is_some() {
            self.next_send = None;
        } else if covered && self.next_send.is_none() {
            self.next_send = Some(Instant::ZERO);
        }
        self.closable |= finished && covered && all_senders_covered;
    }
}
