//! Grants of trials of suspects, of which two hosts must agree on each.

use route::{MAX_TRIALS, Suspect, TrialReply, TrialRequest};
use types::{Deadline, Instant, Micros};

/// Minimum time between two trials of one suspect.
const TRIAL_INTERVAL: Micros = Micros::from_secs(2);

/// Time from the last request for a trial of a suspect to the removal of its entry.
const ENTRY_TTL: Micros = Micros::from_secs(600);

/// Maximum number of suspects. Each request in flight at a crash may be one, so harmless ones are many.
const MAX_SUSPECTS: usize = 2_048;

/// Trials of one suspect that this host has granted.
#[derive(Debug)]
struct Entry {
    suspect: Suspect,
    count: u8,
    /// Time of the last grant.
    granted_at: Instant,
    /// Time at which the entry is removed.
    until: Deadline,
}

/// Trials that this host has granted, sorted by suspect.
#[derive(Debug, Default)]
pub(crate) struct TrialGrants {
    entries: Vec<Entry>,
}

impl TrialGrants {
    /// Grants a trial of a suspect, unless one was granted a short time ago or none is left.
    ///
    /// Trials that a response followed do not count.
    pub(crate) fn grant(&mut self, now: Instant, trial: TrialRequest) -> TrialReply {
        self.entries.retain(|e| !e.until.is_past(now));
        let answered_at = trial.answered.map(|age| time_of(now, age));
        let at = match self.find(trial.suspect) {
            Ok(at)
                if answered_at.is_some_and(|answered| answered > self.entries[at].granted_at) =>
            {
                self.entries.remove(at);
                at
            }
            Ok(at) => return self.entries[at].grant_again(now),
            Err(_) => {
                self.make_room();
                self.find(trial.suspect).unwrap_or_else(|at| at)
            }
        };
        let entry = Entry {
            suspect: trial.suspect,
            count: 1,
            granted_at: now,
            until: Deadline::after(now, ENTRY_TTL),
        };
        self.entries.insert(at, entry);
        TrialReply::Granted
    }

    fn find(&self, suspect: Suspect) -> Result<usize, usize> {
        self.entries.binary_search_by_key(&suspect, |e| e.suspect)
    }

    /// Removes the suspect whose trials were requested least recently if there is no room for another one.
    fn make_room(&mut self) {
        if self.entries.len() < MAX_SUSPECTS {
            return;
        }
        let entries = self.entries.iter().enumerate();
        if let Some((at, _)) = entries.min_by_key(|(_, e)| e.until) {
            self.entries.remove(at);
        }
    }
}

impl Entry {
    fn grant_again(&mut self, now: Instant) -> TrialReply {
        self.until = Deadline::after(now, ENTRY_TTL);
        if self.count >= MAX_TRIALS {
            return TrialReply::Exhausted;
        }
        if now.since(self.granted_at) < TRIAL_INTERVAL {
            return TrialReply::Denied;
        }
        self.count += 1;
        self.granted_at = now;
        TrialReply::Granted
    }
}

/// Returns the time of what happened `age` ago.
fn time_of(now: Instant, age: Micros) -> Instant {
    Instant::from_micros(now.as_micros().saturating_sub(age.get()))
}
