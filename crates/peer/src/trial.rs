//! Grants of trials of blocked suspects, of which two hosts must agree on each.

use route::{MAX_TRIALS, Suspect, TrialReply};
use types::{Deadline, Instant, Micros};

/// Minimum time between two trials of one suspect.
const TRIAL_INTERVAL: Micros = Micros::from_secs(2);

/// Time from the last request for a trial of a suspect to the removal of its entry.
const ENTRY_TTL: Micros = Micros::from_secs(600);

/// Maximum number of suspects; above it no trial of another one is granted.
const MAX_SUSPECTS: usize = 256;

/// Trials of one suspect that this host has granted.
#[derive(Debug)]
struct Entry {
    suspect: Suspect,
    count: u8,
    /// Time from which the next trial may be granted.
    next: Deadline,
    /// Time at which the entry is removed.
    until: Deadline,
}

/// Trials that this host has granted, by suspect.
#[derive(Debug, Default)]
pub(crate) struct TrialGrants {
    entries: Vec<Entry>,
}

impl TrialGrants {
    /// Grants a trial of a suspect, unless one was granted a short time ago or none is left.
    pub(crate) fn grant(&mut self, now: Instant, suspect: Suspect) -> TrialReply {
        self.entries.retain(|e| !e.until.is_past(now));
        let next = Deadline::after(now, TRIAL_INTERVAL);
        let until = Deadline::after(now, ENTRY_TTL);
        let Some(entry) = self.entries.iter_mut().find(|e| e.suspect == suspect) else {
            if self.entries.len() >= MAX_SUSPECTS {
                return TrialReply::Denied;
            }
            self.entries.push(Entry {
                suspect,
                count: 1,
                next,
                until,
            });
            return TrialReply::Granted;
        };
        entry.until = until;
        if entry.count >= MAX_TRIALS {
            return TrialReply::Exhausted;
        }
        if !entry.next.is_past(now) {
            return TrialReply::Denied;
        }
        entry.count += 1;
        entry.next = next;
        TrialReply::Granted
    }
}
