//! Trials of blocked suspects, which two hosts grant together for the whole fleet.

use route::{MAX_TRIALS, Suspect, TrialReply};
use types::{Deadline, Instant, Micros};

/// Minimum time between two trials of one suspect.
const TRIAL_INTERVAL: Micros = Micros::from_secs(2);

/// Time after the last request for a trial at which the trials of a suspect are forgotten.
const TRIALS_TTL: Micros = Micros::from_secs(600);

/// Maximum number of suspects; above it no trial of another one is granted.
const MAX_SUSPECTS: usize = 256;

#[derive(Debug)]
struct Granted {
    suspect: Suspect,
    count: u8,
    next: Deadline,
    until: Deadline,
}

/// Trials that this host has granted.
#[derive(Debug, Default)]
pub(crate) struct Trials {
    granted: Vec<Granted>,
}

impl Trials {
    pub(crate) fn grant(&mut self, now: Instant, suspect: Suspect) -> TrialReply {
        self.granted.retain(|g| !g.until.is_past(now));
        let next = Deadline::after(now, TRIAL_INTERVAL);
        let until = Deadline::after(now, TRIALS_TTL);
        let Some(known) = self.granted.iter_mut().find(|g| g.suspect == suspect) else {
            if self.granted.len() >= MAX_SUSPECTS {
                return TrialReply::Denied;
            }
            self.granted.push(Granted {
                suspect,
                count: 1,
                next,
                until,
            });
            return TrialReply::Granted;
        };
        known.until = until;
        if known.count >= MAX_TRIALS {
            return TrialReply::Exhausted;
        }
        if !known.next.is_past(now) {
            return TrialReply::Denied;
        }
        known.count += 1;
        known.next = next;
        TrialReply::Granted
    }
}
