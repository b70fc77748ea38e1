//! What this process knows about each pending order beyond its record.

use types::{Instant, LoadReport, Micros, OrderId, OrderState};

use crate::{event::SendOutcome, record::PendingOrder};

/// Time after which an order that the engine does not list is sent again.
const RESEND_AFTER: Micros = Micros::from_secs(1);

/// Share of a report's age by which the clocks of the engine and of this host may disagree.
const DRIFT_DIVISOR: u64 = 16;

/// Progress of one pending order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Track {
    pub(crate) id: OrderId,
    /// A copy of the order is being sent.
    posting: bool,
    /// Instant at which the last copy was answered or given up.
    ended: Option<Instant>,
    /// Instant from which the order may be sent again; none while the engine works on it.
    due: Option<Instant>,
    /// The order is over and no copy of it can arrive; it is removed by the next write.
    pub(crate) closable: bool,
}

/// Report with the bounds of the instant at which the engine sampled it.
#[derive(Clone, Debug)]
pub(crate) struct Sample<'a> {
    pub(crate) report: &'a LoadReport,
    /// The engine sampled the report at this instant or later.
    pub(crate) after: Instant,
    /// The engine sampled the report at this instant or earlier.
    pub(crate) before: Instant,
}

impl<'a> Sample<'a> {
    pub(crate) fn new(report: &'a LoadReport, asked: Instant, received: Instant) -> Self {
        let age = report.age_ms.saturating_mul(1_000);
        let drift = age / DRIFT_DIVISOR;
        let back = |at: Instant, age: u64| Instant::from_micros(at.as_micros().saturating_sub(age));
        Self {
            report,
            // The engine gives its age in whole milliseconds, which drops up to one.
            after: back(asked, age + drift + 1_000),
            before: back(received, age - drift),
        }
    }
}

impl Track {
    pub(crate) fn new(id: OrderId) -> Self {
        Self {
            id,
            posting: false,
            ended: None,
            due: Some(Instant::ZERO),
            closable: false,
        }
    }

    /// Tells whether a copy of the order should be sent now.
    pub(crate) fn is_due(&self, now: Instant) -> bool {
        !self.posting && !self.closable && self.due.is_some_and(|due| now >= due)
    }

    pub(crate) fn start_post(&mut self) {
        self.posting = true;
    }

    pub(crate) fn end_post(&mut self, now: Instant, answer: SendOutcome) {
        self.posting = false;
        self.ended = Some(now);
        // An accepted order is sent again only when a later report does not list it.
        self.due = (answer != SendOutcome::Accepted).then(|| now + RESEND_AFTER);
    }

    /// Takes the engine's word on the order.
    ///
    /// `final_word` says that no other host can send a copy that the sample does not cover. The
    /// order is over when the sample was taken after the last copy was answered or given up,
    /// because a copy that arrives later has an id that the engine knows.
    pub(crate) fn report(&mut self, order: &PendingOrder, sample: &Sample<'_>, final_word: bool) {
        let covered = !self.posting && self.ended.is_none_or(|ended| sample.after >= ended);
        let status = sample.report.orders.iter().find(|o| o.id == order.id);
        // An order that is not listed stays open even if the engine refused it: without the id, a
        // copy that arrives late would run.
        let over = matches!(
            status.map(|s| s.state),
            Some(OrderState::Done | OrderState::Failed)
        );
        if status.is_some() {
            self.due = None;
        } else if covered && self.due.is_none() {
            self.due = Some(Instant::ZERO);
        }
        self.closable |= over && covered && final_word;
    }
}
