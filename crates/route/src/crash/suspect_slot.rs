//! Requests for suspect slots, in which suspect requests run one at a time. [`crate::crash`] names the other model.

use types::{Code, Deadline, Instant, Micros, RequestId};

use crate::{
    choose::Estimate, crash::suspect::SuspectState, event::Action, requests::Phase, router::Router,
};

/// Interval before a suspect slot is requested again after a denial.
const SLOT_RETRY_INTERVAL: Micros = Micros::from_millis(50);
/// Number of denials after which a suspect is refused.
const MAX_DENIALS: u8 = 8;

impl Router {
    /// Requests a slot for a suspect on a backend server from a peer.
    pub(crate) fn request_slot(
        &mut self,
        now: Instant,
        slot: u32,
        backend: u32,
        baseline: f64,
        out: &mut Vec<Action>,
    ) {
        let until = Deadline::after(now, self.cfg.slot_timeout);
        let Some(entry) = self.requests.get_mut(slot) else {
            return;
        };
        entry.phase = Phase::AwaitingSlot { backend, until };
        entry.as_suspect = true;
        #[expect(
            clippy::cast_possible_truncation,
            reason = "single precision suffices for an estimate"
        )]
        let baseline = baseline as f32;
        entry.baseline = baseline;
        let b = &mut self.backends[backend as usize];
        b.add_own(now);
        b.suspects += 1;
        if let Some(names) = &self.names {
            out.push(Action::RequestSlot {
                id: entry.request.id,
                fingerprint: entry.request.fingerprint,
                backend: names.backend_id(backend).clone(),
            });
        }
    }

    pub(crate) fn slot_reply(
        &mut self,
        now: Instant,
        id: RequestId,
        granted: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(slot) = self.requests.find(id) else {
            return;
        };
        let Some(entry) = self.requests.get(slot) else {
            return;
        };
        let Phase::AwaitingSlot { backend, .. } = entry.phase else {
            return;
        };
        let baseline = f64::from(entry.baseline);
        let confirmed = self.suspect_state(&entry.request, now) == Some(SuspectState::Confirmed);
        self.release(now, slot, false);
        let usable = self
            .backends
            .get(backend as usize)
            .is_some_and(|b| !self.cfg.liveness || b.takes_work(now));
        if confirmed {
            self.refuse(slot, Code::CrashingRequest, None, out);
        } else if granted && usable {
            self.backends[backend as usize].suspects += 1;
            let estimate = Estimate {
                baseline,
                ..Estimate::default()
            };
            self.dispatch(now, slot, backend, estimate, out);
        } else {
            self.slot_denied(now, slot, out);
        }
    }

    /// Queues a suspect again after its slot was denied, or refuses it after [`MAX_DENIALS`]
    /// denials.
    fn slot_denied(&mut self, now: Instant, slot: u32, out: &mut Vec<Action>) {
        let Some(entry) = self.requests.get_mut(slot) else {
            return;
        };
        entry.as_suspect = false;
        entry.denials += 1;
        entry.not_before = Deadline::after(now, SLOT_RETRY_INTERVAL);
        if entry.denials >= MAX_DENIALS {
            self.refuse(slot, Code::SuspectNotAdmitted, None, out);
        } else {
            self.enqueue(now, slot, out);
        }
    }
}
