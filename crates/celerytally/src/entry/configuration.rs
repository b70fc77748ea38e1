//! Configuration in force on this host, what is known of newer ones, and what it passes on.

use std::sync::{Arc, Mutex};

use peer::{ConfigOffer, KnownConfig};
use platform::ConfigSpec;
use store::Revision;
use tokio::sync::watch;
use transfer::{Download, Library, Offer, PartId};
use types::{BootTime, Clock, ConfigVersion, HostId, Instant, Micros, StoreRevision};

use crate::entry::{
    fleet_state::{FleetState, lock},
    reads::ReadBy,
};

/// Gauges of the version in force and of the newest one that is known to exist.
const VERSION_METRIC: &str = "celerytally_configuration_version";
const KNOWN_VERSION_METRIC: &str = "celerytally_configuration_known_version";

/// Histogram of the time from the announcement of a version to its use.
const DELAY_METRIC: &str = "celerytally_configuration_delay_seconds";

/// Version of the configuration, and since when it is known to exist.
#[derive(Clone, Copy, Debug)]
struct KnownVersion {
    version: ConfigVersion,
    since: Instant,
}

/// Offer of a configuration and the host that made it.
#[derive(Clone, Debug)]
pub(crate) struct HostOffer {
    pub(crate) host: HostId,
    pub(crate) version: ConfigVersion,
    pub(crate) offer: Offer,
}

/// Last offer, and whether a download of it was started.
#[derive(Debug)]
struct LastOffer {
    offer: HostOffer,
    taken: bool,
}

/// Contents of configurations and what is known of newer ones.
#[derive(Debug)]
pub(super) struct Configurations {
    /// Configurations as they were read; the newest one is in force.
    library: Mutex<Library>,
    /// Newest version that is known to exist.
    known: watch::Sender<Option<KnownVersion>>,
    last_offer: Mutex<Option<LastOffer>>,
}

impl Default for Configurations {
    fn default() -> Self {
        Self {
            library: Mutex::default(),
            known: watch::Sender::new(None),
            last_offer: Mutex::default(),
        }
    }
}

impl FleetState {
    /// Returns the version of the configuration in force.
    pub(crate) fn version(&self) -> Option<ConfigVersion> {
        self.proxy().route_table().map(|t| t.version)
    }

    /// Returns the newest version of the configuration that is known to exist.
    pub(crate) fn known_version(&self) -> Option<ConfigVersion> {
        self.configurations.known.borrow().map(|k| k.version)
    }

    /// Returns whether a newer configuration than the one in force is known to exist.
    pub(crate) fn is_behind(&self) -> bool {
        self.known_version() > self.version()
    }

    /// Returns the revision of the platform from which newer configurations can be watched, or `None`
    /// if the configuration must be read as a whole.
    pub(crate) fn configuration_revision(&self) -> Option<Revision> {
        if self.is_behind() || self.version().is_none() {
            return None;
        }
        let reads = lock(&self.last_reads);
        let revision = reads.configuration.as_ref()?.revision;
        (revision > StoreRevision::default()).then(|| Revision::new(revision.to_string()))
    }

    /// Tells the proxy whether a newer configuration than the one in force may exist.
    pub(crate) fn update_outdated(&self) {
        self.proxy()
            .set_outdated(self.is_behind() || self.is_out_of_touch());
    }

    /// Waits until a newer configuration than the one in force is known to exist.
    pub(crate) async fn wait_until_behind(&self) {
        let mut known = self.configurations.known.subscribe();
        // `self` owns the sender, so the wait does not fail.
        drop(known.wait_for(|_| self.is_behind()).await);
    }

    /// Records that a version of the configuration exists, whether or not this host has it.
    pub(super) fn record_known_version(&self, version: ConfigVersion, source: &ReadBy) {
        let since = BootTime.now();
        let is_new = self.configurations.known.send_if_modified(|known| {
            let is_new = known.is_none_or(|known| known.version < version);
            if is_new {
                *known = Some(KnownVersion { version, since });
            }
            is_new
        });
        if is_new {
            metrics::gauge!(KNOWN_VERSION_METRIC).set(version.get() as f64);
            tracing::info!(
                belief = "known_version",
                %version,
                in_force = self.version().map(ConfigVersion::get),
                %source,
                "configuration announced"
            );
            self.update_outdated();
        }
    }

    /// Returns the time since a version is known to exist, if it is the newest one.
    fn time_known(&self, version: ConfigVersion) -> Option<Micros> {
        let known = (*self.configurations.known.borrow()).filter(|k| k.version == version)?;
        Some(BootTime.now().since(known.since))
    }

    /// Applies a configuration unless a newer one is in force.
    pub(crate) fn apply_config(&self, spec: ConfigSpec, source: &ReadBy) {
        let Some(table) = platform::decode_route_table(&spec) else {
            return;
        };
        let (version, routes) = (table.version, table.routes().len());
        self.record_known_version(version, source);
        if !self.proxy().set_route_table(Arc::new(table)) {
            return;
        }
        metrics::gauge!(VERSION_METRIC).set(version.get() as f64);
        let delay = self.time_known(version);
        if let Some(delay) = delay {
            metrics::histogram!(DELAY_METRIC).record(delay.as_secs_f64());
        }
        let spec = spec.into_bytes();
        tracing::info!(
            belief = "configuration",
            %version,
            routes,
            bytes = spec.len(),
            %source,
            known_ms = delay.map(|delay| delay.get() / 1_000),
            "configuration in force"
        );
        lock(&self.configurations.library).insert(spec);
        self.update_outdated();
        self.publish_deployment();
    }

    /// Returns the configuration in force, for a request for facts.
    pub(super) fn known_config(&self) -> Option<KnownConfig> {
        Some(KnownConfig {
            version: self.version()?,
            content: lock(&self.configurations.library).newest()?,
        })
    }

    /// Offers the configuration in force to a peer, unless the peer's is at least as new.
    pub(super) fn offer_config(&self, known: Option<KnownConfig>) -> Option<ConfigOffer> {
        let version = self.version()?;
        if known.is_some_and(|known| known.version >= version) {
            return None;
        }
        let mut library = lock(&self.configurations.library);
        let offer = library.offer(known.map(|known| known.content));
        let offer = offer.inspect_err(
            |error| tracing::error!(%version, %error, "can't offer the configuration"),
        );
        let offer = offer.ok().flatten()?;
        Some(ConfigOffer { version, offer })
    }

    /// Returns whether this host is behind and no host has offered a newer configuration.
    pub(super) fn lacks_offer(&self) -> bool {
        let offered = lock(&self.configurations.last_offer);
        let offered = offered.as_ref().map(|last| last.offer.version);
        self.is_behind() && offered <= self.version()
    }

    /// Records that a host offers a configuration.
    pub(super) fn record_offer(&self, host: &HostId, config: ConfigOffer) {
        let offer = HostOffer {
            host: host.clone(),
            version: config.version,
            offer: config.offer,
        };
        *lock(&self.configurations.last_offer) = Some(LastOffer {
            offer,
            taken: false,
        });
    }

    /// Takes the last offer, if it is newer than the configuration in force.
    pub(crate) fn take_offer(&self) -> Option<HostOffer> {
        let version = self.version();
        let mut last = lock(&self.configurations.last_offer);
        let last = last.as_mut().filter(|last| !last.taken)?;
        last.taken = true;
        Some(last.offer.clone()).filter(|offer| Some(offer.version) > version)
    }

    /// Returns a part of a configuration that this host offered.
    pub(crate) fn config_part(&self, part: PartId) -> Option<Vec<u8>> {
        lock(&self.configurations.library).part(part)
    }

    /// Decodes a downloaded configuration and applies it.
    ///
    /// # Errors
    /// Fails if the content is not the offered one.
    pub(crate) fn apply_download(
        &self,
        download: &Download,
        from: &HostId,
    ) -> Result<(), transfer::Error> {
        let content = lock(&self.configurations.library).decode(download)?;
        match ConfigSpec::from_bytes(&content) {
            Ok(spec) => self.apply_config(spec, &ReadBy::Peer(from.clone())),
            Err(e) => tracing::error!(error = %e, "undecodable configuration from a peer"),
        }
        Ok(())
    }
}
