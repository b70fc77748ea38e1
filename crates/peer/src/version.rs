//! Configuration versions: the one in force, and deltas to and from peers.

use std::{collections::VecDeque, sync::Arc};

use config::{Delta, DeltaBase, Snapshot};
use types::ConfigVersion;

/// Number of past versions kept, so that a lagging peer receives only the changes.
const MAX_PAST_VERSIONS: usize = 32;

/// Configuration in force and its predecessors.
#[derive(Debug, Default)]
pub(crate) struct Versions {
    current: Option<Arc<Snapshot>>,
    /// Past versions, newest first; versions share unchanged chunks.
    past: VecDeque<DeltaBase>,
    /// Set when a delta could not be applied; a full copy is requested next.
    resync: bool,
}

impl Versions {
    pub(crate) fn current(&self) -> Option<&Arc<Snapshot>> {
        self.current.as_ref()
    }

    /// Returns the version in force; zero if none.
    pub(crate) fn version(&self) -> ConfigVersion {
        self.current().map(|s| s.config.version).unwrap_or_default()
    }

    /// Returns the base version for the next delta; `None` requests a full copy.
    pub(crate) fn delta_base(&self) -> Option<ConfigVersion> {
        let current = self.current().filter(|_| !self.resync);
        current.map(|s| s.config.version)
    }

    /// Puts a configuration in force if it is strictly newer. Returns whether it was.
    pub(crate) fn install(&mut self, new: Arc<Snapshot>) -> bool {
        if new.config.version <= self.version() {
            return false;
        }
        if let Some(old) = self.current.replace(new) {
            self.past.push_front(old.delta_base());
            self.past.truncate(MAX_PAST_VERSIONS);
        }
        self.resync = false;
        true
    }

    /// Applies a delta. After a failure a full copy is requested next.
    pub(crate) fn apply(&mut self, delta: &Delta) -> Result<bool, config::Error> {
        // The base of a delta that arrives late is no longer in force; the next exchange requests
        // another one.
        let fits = delta.from.is_none_or(|from| from == self.version());
        if delta.manifest.version <= self.version() || !fits {
            return Ok(false);
        }
        match delta.apply(self.current().map(Arc::as_ref)) {
            Ok(new) => Ok(self.install(Arc::new(new))),
            Err(e) => {
                self.resync = true;
                Err(e)
            }
        }
    }

    /// Returns the delta from version `from`, or a full copy if that version is not kept. Returns
    /// `None` when there is no newer version.
    pub(crate) fn delta(&self, from: Option<ConfigVersion>) -> Option<Delta> {
        let newest = self.current()?;
        if from.is_some_and(|from| from >= newest.config.version) {
            return None;
        }
        let base = self.past.iter().find(|b| Some(b.manifest.version) == from);
        Some(Delta::between(base, newest))
    }
}
