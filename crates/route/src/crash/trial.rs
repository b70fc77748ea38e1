//! Trials of suspects that the evidence blocks, with single requests.

use types::{Deadline, Instant, Micros, RequestId};

use crate::{
    crash::suspect::{CrashUpdate, Suspect, TrialReply},
    event::Action,
    router::{Router, Scope},
};

/// Time from the request for a trial for which the grant is valid. A host that is delayed meanwhile must
/// not use it, as others may have been granted trials since.
const TRIAL_VALIDITY: Micros = Micros::from_secs(1);

/// State of the trial of a blocked suspect with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum TrialState {
    /// A trial was requested at a time.
    Requested { suspect: Suspect, at: Instant },
    /// The request may be sent in spite of the suspect, until a time.
    Granted { suspect: Suspect, until: Deadline },
}

impl Router {
    /// Requests a trial of a suspect with a queued request.
    pub(crate) fn request_trial(
        &mut self,
        now: Instant,
        slot: u32,
        suspect: Suspect,
        out: &mut Vec<Action>,
    ) {
        let Some(entry) = self.requests.get_mut(slot) else {
            return;
        };
        entry.trial = Some(TrialState::Requested { suspect, at: now });
        let id = entry.request.id;
        self.evidence.record_trial_request(now, suspect);
        let trial = self.evidence.trial_request(now, suspect);
        out.push(Action::RequestTrial { id, trial });
    }

    pub(crate) fn trial_reply(
        &mut self,
        now: Instant,
        id: RequestId,
        suspect: Suspect,
        reply: TrialReply,
        out: &mut Vec<Action>,
    ) {
        match reply {
            TrialReply::Granted => self.evidence.record_trial_grant(suspect),
            TrialReply::Denied => {}
            TrialReply::Exhausted => {
                let changes = self.evidence.confirm_exhausted(suspect);
                self.share_changes(now, CrashUpdate::default(), changes, out);
            }
        }
        let slot = self.requests.find(id);
        if let Some(entry) = slot.and_then(|slot| self.requests.get_mut(slot))
            && let Some(TrialState::Requested {
                suspect: requested,
                at,
            }) = entry.trial
            && requested == suspect
        {
            let until = Deadline::after(at, TRIAL_VALIDITY);
            let is_granted = reply == TrialReply::Granted;
            entry.trial = is_granted.then_some(TrialState::Granted { suspect, until });
        }
        self.dispatch_queued(now, Scope::All, out);
    }
}
