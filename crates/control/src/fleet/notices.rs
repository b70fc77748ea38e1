//! What workers announced in their responses, as far as orders and calls for reports must obey it.

use types::{BackendId, Deadline, Incarnation, Instant, Micros, ServerNotice, WorkerState};

/// Time for which an announcement is kept, several times that in which a worker ends.
const NOTICE_TTL: Micros = Micros::from_secs(600);

/// Announcements of one incarnation of a worker.
#[derive(Debug)]
struct WorkerNotice {
    worker: BackendId,
    incarnation: Incarnation,
    is_leaving: bool,
    held_off_until: Deadline,
    until: Deadline,
}

/// Announcements of all workers, sorted by worker.
///
/// They outlast the registrations, because an entry that expired during an outage of the platform
/// returns although its worker still leaves.
#[derive(Debug, Default)]
pub(crate) struct WorkerNotices(Vec<WorkerNotice>);

impl WorkerNotices {
    /// Records an announcement of an incarnation of a worker; one of another incarnation replaces it.
    pub(crate) fn record(
        &mut self,
        now: Instant,
        worker: &BackendId,
        incarnation: Incarnation,
        notice: ServerNotice,
    ) {
        self.0.retain(|n| {
            !n.until.is_past(now) && (n.worker != *worker || n.incarnation == incarnation)
        });
        let at = match self.0.binary_search_by(|n| n.worker.cmp(worker)) {
            Ok(at) => at,
            Err(at) => {
                let new = WorkerNotice {
                    worker: worker.clone(),
                    incarnation,
                    is_leaving: false,
                    held_off_until: Deadline::at(Instant::ZERO),
                    until: Deadline::at(now),
                };
                self.0.insert(at, new);
                at
            }
        };
        let known = &mut self.0[at];
        known.until = Deadline::after(now, NOTICE_TTL);
        known.is_leaving |= notice.leaving;
        if let Some(time) = notice.hold_off {
            let until = Deadline::after(now, time.min(ServerNotice::MAX_HOLD_OFF));
            known.held_off_until = known.held_off_until.max(until);
        }
    }

    fn find(&self, worker: &BackendId, state: &WorkerState) -> Option<&WorkerNotice> {
        let at = self.0.binary_search_by(|n| n.worker.cmp(worker)).ok()?;
        Some(&self.0[at]).filter(|n| n.incarnation == state.incarnation)
    }

    /// Returns whether the worker has announced in this incarnation that it leaves.
    pub(crate) fn is_leaving(&self, worker: &BackendId, state: &WorkerState) -> bool {
        self.find(worker, state).is_some_and(|n| n.is_leaving)
    }

    /// Returns whether the worker wants no orders and calls now.
    pub(crate) fn is_held_off(
        &self,
        now: Instant,
        worker: &BackendId,
        state: &WorkerState,
    ) -> bool {
        let found = self.find(worker, state);
        found.is_some_and(|n| !n.held_off_until.is_past(now))
    }
}
