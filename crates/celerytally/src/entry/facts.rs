//! Exchange of platform facts with other hosts.

use std::time::Duration;

use peer::{Facts, KnownFacts};
use registry::EntryChange;
use tokio::time::timeout;
use types::{BootTime, Clock, ConfigVersion, HostId, Instant, Micros, StoreRevision};

use crate::entry::{
    fleet_state::{FleetState, lock},
    reads::{Read, ReadBy},
};

/// Longest time for which a request for facts waits for changes.
const MAX_FACTS_WAIT: Duration = Duration::from_millis(500);

/// Histogram of the time from the read of the platform to the use of its result.
const FACTS_AGE_METRIC: &str = "celerytally_facts_age_seconds";

/// Returns whether facts contain anything that the requester does not know.
fn has_changes(facts: &Facts, known: &KnownFacts) -> bool {
    facts.complete
        || facts.version > known.version
        || (facts.config.is_some() && known.lacks_offer)
        || !facts.set.is_empty()
        || !facts.removed.is_empty()
}

impl FleetState {
    /// Returns what this host knows, for a request for facts to a peer.
    pub(crate) fn known_facts(&self, wait: bool) -> KnownFacts {
        KnownFacts {
            revision: self.registry().revision(),
            version: self.known_version().unwrap_or_default(),
            config: self.known_config(),
            lacks_offer: self.lacks_offer(),
            wait,
        }
    }

    /// Returns what this host knows of the platform, or `None` if the platform does not answer it or
    /// its last read is too old to be passed on.
    ///
    /// If `known.wait` is set and nothing has changed, waits for a change, the next read or
    /// [`MAX_FACTS_WAIT`].
    pub(crate) async fn facts(&self, known: KnownFacts) -> Option<Facts> {
        let asked_at = BootTime.now();
        let facts = self.wait_for_facts(known).await?;
        let held = BootTime.now().since(asked_at);
        Some(Facts { held, ..facts })
    }

    async fn wait_for_facts(&self, known: KnownFacts) -> Option<Facts> {
        let mut changed = self.changes.subscribe();
        let first = self.current_facts(known)?;
        if !known.wait || has_changes(&first, &known) {
            return Some(first);
        }
        // An answer without changes still shows that this host reaches the platform.
        match timeout(MAX_FACTS_WAIT, changed.changed()).await {
            Ok(_) => self.current_facts(known),
            Err(_elapsed) => self.current_facts(known),
        }
    }

    fn current_facts(&self, known: KnownFacts) -> Option<Facts> {
        let registry = self.registry();
        let version = self.version().max(self.known_version())?;
        if registry.is_platform_unavailable() {
            return None;
        }
        let (age, config_revision) = {
            let reads = lock(&self.last_reads);
            let config_revision = reads.configuration.as_ref()?.revision;
            (reads.age(BootTime.now())?, config_revision)
        };
        if age > self.max_age() {
            return None;
        }
        let removed = registry.removed_since(known.revision);
        let complete = removed.is_none();
        let since = if complete {
            StoreRevision::default()
        } else {
            known.revision
        };
        Some(Facts {
            revision: registry.revision(),
            complete,
            set: registry.listed_since(since),
            removed: removed.unwrap_or_default(),
            version,
            config_revision,
            config: self.offer_config(known.config),
            direct: *self.reads_platform.borrow(),
            age,
            held: Micros::ZERO,
        })
    }

    /// Applies what a peer that was asked at a time read from the platform.
    ///
    /// Returns whether what this host knows is fresh afterwards.
    pub(crate) fn apply_peer_facts(&self, from: &HostId, asked_at: Instant, facts: Facts) -> bool {
        let answered_at = asked_at.as_micros() + facts.held.get();
        let read = Read {
            by: ReadBy::Peer(from.clone()),
            at: Instant::from_micros(answered_at.saturating_sub(facts.age.get())),
            revision: facts.revision,
        };
        self.log_source(&read, facts.version);
        if let Some(offer) = facts.config {
            self.record_offer(from, offer);
        }
        self.record_known_version(facts.version, &read.by);
        self.record_configuration_read(Read {
            revision: facts.config_revision,
            ..read.clone()
        });
        self.apply_registrations(read, |registry, now, read| {
            if facts.complete {
                return registry.apply_listing(now, read, facts.set);
            }
            let removed = facts.removed.into_iter().map(EntryChange::Removed);
            let set = facts.set.into_iter().map(EntryChange::Set);
            registry.apply_changes(now, read, removed.chain(set).collect())
        });
        self.remaining_freshness() > Micros::ZERO
    }

    /// Records the age of facts of a peer, and logs them if another source provided the last ones.
    fn log_source(&self, read: &Read, version: ConfigVersion) {
        let age = read.age(BootTime.now());
        metrics::histogram!(FACTS_AGE_METRIC).record(age.as_secs_f64());
        let last = lock(&self.last_reads)
            .registrations
            .as_ref()
            .map(|r| (r.by.clone(), r.revision));
        if last.as_ref().is_none_or(|(by, _)| *by != read.by) {
            tracing::info!(
                belief = "facts",
                source = %read.by,
                revision = %read.revision,
                known_revision = ?last.map(|(_, revision)| revision.get()),
                %version,
                age_ms = age.get() / 1_000,
                "source of facts answered"
            );
        }
    }
}
