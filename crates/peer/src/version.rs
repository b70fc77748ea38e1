//! Configuration versions: what is in force, what to offer, what to accept.

use std::{collections::VecDeque, sync::Arc};

use config::{Base, Delta, Snapshot};
use types::ConfigVersion;

/// Versions that are remembered, so that a peer which lags behind gets changes only.
const PAST_VERSIONS: usize = 32;

/// Configuration in force and those before it.
#[derive(Debug, Default)]
pub(crate) struct Versions {
    current: Option<Arc<Snapshot>>,
    /// Chunks of earlier versions, newest first; versions share the chunks that did not change.
    past: VecDeque<Base>,
    /// Set when a delta did not fit, so that the next one holds all entries.
    resync: bool,
}

impl Versions {
    pub(crate) fn current(&self) -> Option<&Arc<Snapshot>> {
        self.current.as_ref()
    }

    /// Returns the version in force, zero if none.
    pub(crate) fn version(&self) -> ConfigVersion {
        self.current()
            .map(|s| s.in_force.version)
            .unwrap_or_default()
    }

    /// Returns the version from which a delta is wanted.
    pub(crate) fn base(&self) -> Option<ConfigVersion> {
        let current = self.current().filter(|_| !self.resync);
        current.map(|s| s.in_force.version)
    }

    /// Puts a configuration in force if it is strictly newer.
    pub(crate) fn offer(&mut self, new: Arc<Snapshot>) -> bool {
        if new.in_force.version <= self.version() {
            return false;
        }
        if let Some(old) = self.current.replace(new) {
            self.past.push_front(old.base());
            self.past.truncate(PAST_VERSIONS);
        }
        self.resync = false;
        true
    }

    /// Applies a delta; one that does not fit leads to a full copy next time.
    pub(crate) fn apply(&mut self, delta: &Delta) -> Result<bool, config::Error> {
        // A delta that arrives late starts from a version that is no longer in force; the next
        // exchange leads to another one.
        let fits = delta.from.is_none_or(|from| from == self.version());
        if delta.manifest.version <= self.version() || !fits {
            return Ok(false);
        }
        match delta.apply(self.current().map(Arc::as_ref)) {
            Ok(new) => Ok(self.offer(Arc::new(new))),
            Err(e) => {
                self.resync = true;
                Err(e)
            }
        }
    }

    /// Returns the delta that a peer with version `from` needs, if there is one.
    pub(crate) fn delta(&self, from: Option<ConfigVersion>) -> Option<Delta> {
        let newest = self.current()?;
        if from.is_some_and(|from| from >= newest.in_force.version) {
            return None;
        }
        let base = self.past.iter().find(|b| Some(b.manifest.version) == from);
        Some(Delta::between(base, newest))
    }
}
