//! Configuration and registered backend servers as this host knows them, for the router.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, OnceLock, PoisonError, RwLock,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use config::{ActiveConfig, DataCentre, Deployment};
use control::FleetHandle;
use engine::Server;
use peer::name_hash;
use platform::WATCH_WAIT;
use registry::{Applied, ReadPoint, Registry};
use route::{BackendRegistration, Event};
use tokio::sync::watch;
use types::{
    AdapterId, Announcement, BackendId, BootTime, Clock, ConfigVersion, Incarnation, Instant,
    Micros, ModelId, Registration,
};

use crate::entry::{
    EntryProxy,
    announcements::LeavingServers,
    configuration::Configurations,
    reads::{LastReads, Read, ReadBy},
    timing::FactsTiming,
};

/// Counter of reads that were ignored because a newer one had been applied.
const OUTDATED_METRIC: &str = "celerytally_outdated_reads_total";

/// Gauge of the revision of the registrations in use.
const REVISION_METRIC: &str = "celerytally_registrations_revision";

pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the origin of a read and its age in milliseconds, for log lines.
fn describe(read: Option<&Read>) -> (String, Option<u64>) {
    let source = read.map(|r| r.by.to_string()).unwrap_or_default();
    let age_ms = read.map(|r| r.age(BootTime.now()).get() / 1_000);
    (source, age_ms)
}

/// Names by the hashes that stand for them in datagrams, each list sorted by hash.
#[derive(Debug, Default)]
pub(crate) struct NameHashes {
    backends: Vec<(u32, BackendId)>,
    models: Vec<(u32, ModelId)>,
    adapters: Vec<(u32, AdapterId)>,
}

fn by_hash<T: Clone>(names: impl Iterator<Item = T>, text: impl Fn(&T) -> &str) -> Vec<(u32, T)> {
    let mut by_hash: Vec<(u32, T)> = names.map(|n| (name_hash(text(&n)), n)).collect();
    by_hash.sort_by_key(|(hash, _)| *hash);
    by_hash
}

fn find_name<T>(by_hash: &[(u32, T)], hash: u32) -> Option<&T> {
    let at = by_hash
        .binary_search_by_key(&hash, |(hash, _)| *hash)
        .ok()?;
    Some(&by_hash[at].1)
}

impl NameHashes {
    fn new(deployment: &Deployment) -> Self {
        let backends = deployment.backends.iter().map(|b| b.id.clone());
        let models = deployment.models.iter().map(|m| m.id.clone());
        let adapters = deployment.adapters.iter().map(|a| a.id.clone());
        Self {
            backends: by_hash(backends, BackendId::as_str),
            models: by_hash(models, ModelId::as_str),
            adapters: by_hash(adapters, AdapterId::as_str),
        }
    }

    pub(crate) fn backend(&self, hash: u32) -> Option<&BackendId> {
        find_name(&self.backends, hash)
    }

    pub(crate) fn model(&self, hash: u32) -> Option<&ModelId> {
        find_name(&self.models, hash)
    }

    pub(crate) fn adapter(&self, hash: u32) -> Option<&AdapterId> {
        find_name(&self.adapters, hash)
    }
}

/// Backend server as it is logged.
#[derive(Clone, Debug, Eq, PartialEq)]
struct LoggedBackend {
    backend: BackendId,
    incarnation: Incarnation,
    leaving: bool,
}

impl From<&Registration> for LoggedBackend {
    fn from(registration: &Registration) -> Self {
        Self {
            backend: registration.id.clone(),
            incarnation: registration.state.incarnation,
            leaving: registration.leaving,
        }
    }
}

/// Configuration and registry of this host, and the proxy whose router uses them.
#[derive(Debug)]
pub(crate) struct FleetState {
    proxy: EntryProxy,
    data_centres: Vec<DataCentre>,
    datagram_port: u16,
    timing: FactsTiming,
    pub(super) configurations: Configurations,
    /// Reads from which the configuration and the registrations come.
    pub(super) last_reads: Mutex<LastReads>,
    /// Whether this host reads the platform itself.
    pub(super) reads_platform: watch::Sender<bool>,
    /// Incremented with every change, for peers that wait for one.
    pub(super) changes: watch::Sender<u64>,
    registry: Mutex<Registry>,
    name_hashes: RwLock<Arc<NameHashes>>,
    /// Backend servers as they were last logged, sorted by id.
    logged: Mutex<Vec<LoggedBackend>>,
    control: OnceLock<FleetHandle>,
    leaving_servers: LeavingServers,
    peer_count: AtomicUsize,
    /// Incremented with every change, because the router accepts only newer deployments.
    revision: AtomicU64,
}

impl FleetState {
    pub(crate) fn new(
        proxy: EntryProxy,
        data_centres: Vec<DataCentre>,
        datagram_port: u16,
        timing: FactsTiming,
    ) -> Self {
        Self {
            proxy,
            data_centres,
            datagram_port,
            timing,
            configurations: Configurations::default(),
            last_reads: Mutex::default(),
            reads_platform: watch::Sender::new(false),
            changes: watch::Sender::new(0),
            registry: Mutex::default(),
            name_hashes: RwLock::default(),
            logged: Mutex::default(),
            control: OnceLock::new(),
            leaving_servers: LeavingServers::default(),
            peer_count: AtomicUsize::default(),
            revision: AtomicU64::default(),
        }
    }

    pub(crate) fn proxy(&self) -> &EntryProxy {
        &self.proxy
    }

    /// Sets the controller, which receives every change.
    pub(crate) fn set_control(&self, control: FleetHandle) {
        // The process starts one controller, so the cell is empty.
        drop(self.control.set(control));
    }

    /// Returns the servers that announced to this host that they leave.
    pub(super) fn leaving_servers(&self) -> &LeavingServers {
        &self.leaving_servers
    }

    /// Passes on to the controller what a backend server announced.
    pub(super) fn record_at_controller(&self, announcement: Announcement) {
        if let Some(control) = self.control.get() {
            control.record_announcement(announcement);
        }
    }

    /// Returns the port to which datagrams are sent, the same on all hosts.
    pub(crate) fn datagram_port(&self) -> u16 {
        self.datagram_port
    }

    /// Sets the number of other entry hosts.
    pub(crate) fn set_peer_count(&self, peers: usize) {
        self.peer_count.store(peers, Ordering::Relaxed);
    }

    /// Returns the number of other entry hosts.
    pub(crate) fn peer_count(&self) -> usize {
        self.peer_count.load(Ordering::Relaxed)
    }

    /// Returns how long a watch of the platform waits for a change.
    ///
    /// A relay's watch is short, because without its end the relay can't tell whether it still
    /// reaches the platform.
    pub(crate) fn watch_wait(&self) -> Micros {
        if peer::uses_relays(self.peer_count() + 1) {
            self.timing.relay_watch
        } else {
            WATCH_WAIT
        }
    }

    /// Returns the longest delay between two reads of the registrations.
    pub(crate) fn max_batch_delay(&self) -> Duration {
        self.timing.max_batch_delay.into()
    }

    /// Returns the age from which facts are not passed on.
    ///
    /// The facts of a working reader are as old as two watches. In a small fleet, whose watches are
    /// long, only hosts that do not reach the platform ask for facts, and the bounds do not hold for
    /// these.
    pub(super) fn max_age(&self) -> Micros {
        let two_watches = Micros::new(self.watch_wait().get() * 2);
        self.timing.max_age.max(two_watches)
    }

    /// Returns whether the configuration was read so long ago that a change may be due on this host.
    pub(super) fn is_out_of_touch(&self) -> bool {
        let limit = self.timing.bound.max(self.max_age());
        let age = lock(&self.last_reads).configuration_age(BootTime.now());
        age.is_none_or(|age| age > limit)
    }

    /// Returns the time until the facts of this host are too old, zero if they are.
    pub(crate) fn remaining_freshness(&self) -> Micros {
        let age = lock(&self.last_reads).age(BootTime.now());
        let fresh = |age: Micros| self.max_age().get().saturating_sub(age.get());
        age.map_or(Micros::ZERO, |age| Micros::new(fresh(age)))
    }

    /// Returns the names by their hashes in datagrams.
    pub(crate) fn name_hashes(&self) -> Arc<NameHashes> {
        let hashes = self
            .name_hashes
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&hashes)
    }

    /// Returns whether the platform does not answer this host.
    pub(crate) fn is_platform_unavailable(&self) -> bool {
        self.registry().is_platform_unavailable()
    }

    /// Sets whether this host reads the platform itself.
    pub(crate) fn set_reads_platform(&self, direct: bool) {
        let changed = self.reads_platform.send_if_modified(|old| {
            let changed = *old != direct;
            *old = direct;
            changed
        });
        if changed {
            // Whether the platform answers is not known until this host has called it.
            self.registry().set_platform_unavailable(false);
            tracing::info!(belief = "source", direct, "source of facts changed");
        }
    }

    /// Waits until this host reads the platform itself; returns whether it had to wait.
    pub(crate) async fn wait_until_reads_platform(&self) -> bool {
        let mut reads_platform = self.reads_platform.subscribe();
        if *reads_platform.borrow() {
            return false;
        }
        // `self` owns the sender, so the wait does not fail.
        drop(reads_platform.wait_for(|reads| *reads).await);
        true
    }

    /// Records a read of the configuration.
    pub(crate) fn record_configuration_read(&self, read: Read) {
        lock(&self.last_reads).record_configuration(read);
        self.update_outdated();
    }

    /// Applies a read of the registrations and, if an entry changed, updates the router.
    pub(crate) fn apply_registrations(
        &self,
        read: Read,
        apply: impl FnOnce(&mut Registry, Instant, ReadPoint) -> Applied,
    ) -> Applied {
        let point = ReadPoint {
            revision: read.revision,
            at: read.at,
        };
        let applied = {
            let mut registry = self.registry();
            if read.by == ReadBy::Own {
                registry.set_platform_unavailable(false);
            }
            apply(&mut registry, BootTime.now(), point)
        };
        if applied == Applied::Outdated {
            tracing::warn!(
                belief = "facts",
                source = %read.by,
                revision = %read.revision,
                known_revision = %self.registry().revision(),
                "ignored an outdated read of registrations"
            );
            metrics::counter!(OUTDATED_METRIC).increment(1);
            return applied;
        }
        metrics::gauge!(REVISION_METRIC).set(read.revision.get() as f64);
        lock(&self.last_reads).record_registrations(read);
        if applied == Applied::Changed {
            self.publish_deployment();
        } else {
            // Hosts that wait for changes learn that the last read is newer.
            self.changes.send_modify(|count| *count += 1);
        }
        applied
    }

    pub(super) fn registry(&self) -> MutexGuard<'_, Registry> {
        lock(&self.registry)
    }

    /// Records that the platform does not answer this host, and tells the hosts that wait for facts.
    pub(crate) fn record_platform_unavailable(&self) {
        self.registry().set_platform_unavailable(true);
        self.changes.send_modify(|count| *count += 1);
    }

    /// Updates the registry and, if it changed, the router.
    pub(crate) fn update_registry(&self, change: impl FnOnce(&mut Registry, Instant) -> bool) {
        let changed = change(&mut self.registry(), BootTime.now());
        if changed {
            self.publish_deployment();
        }
    }

    /// Logs the backend servers that were added, changed or removed.
    fn log_changes(&self, registered: &[&Registration]) {
        let new: Vec<LoggedBackend> = registered.iter().map(|r| LoggedBackend::from(*r)).collect();
        let mut logged = lock(&self.logged);
        let (source, revision, age_ms) = {
            let reads = lock(&self.last_reads);
            let read = reads.registrations.as_ref();
            let (source, age_ms) = describe(read);
            (source, read.map(|r| r.revision.get()), age_ms)
        };
        for server in new.iter().filter(|s| !logged.contains(s)) {
            let (backend, incarnation, leaving) =
                (&server.backend, server.incarnation, server.leaving);
            tracing::info!(
                belief = "backend",
                %backend,
                life = %incarnation,
                leaving,
                source,
                revision,
                age_ms,
                "registered"
            );
        }
        let is_gone = |s: &&LoggedBackend| new.iter().all(|n| n.backend != s.backend);
        for server in logged.iter().filter(is_gone) {
            tracing::info!(
                belief = "backend",
                backend = %server.backend,
                source,
                revision,
                age_ms,
                "gone"
            );
        }
        *logged = new;
    }

    /// Builds the deployment from the routes and the registry, and publishes it to the router, the
    /// controller and peers.
    pub(super) fn publish_deployment(&self) {
        let Some(table) = self.proxy.route_table() else {
            return;
        };
        let registry = self.registry();
        let registered = registry.registrations();
        let deployment = registry::build_deployment(&table, &self.data_centres, &registered);
        *self
            .name_hashes
            .write()
            .unwrap_or_else(PoisonError::into_inner) = Arc::new(NameHashes::new(&deployment));
        let servers = registered.iter().map(|r| {
            let server = Server {
                id: r.id.clone(),
                addr: r.addr,
            };
            (server, r.state.incarnation)
        });
        self.proxy.set_servers(servers.collect());
        self.log_changes(&registered);
        self.changes.send_modify(|count| *count += 1);
        let revision = self.revision.fetch_add(1, Ordering::Relaxed) + 1;
        self.proxy
            .dispatcher()
            .feed(Event::Config(Arc::new(ActiveConfig {
                version: ConfigVersion::new(revision),
                deployment: Arc::new(deployment),
            })));
        if let Some(control) = self.control.get() {
            control.set_services(table.services().to_vec());
            control.set_registrations(registered.iter().map(|r| (*r).clone()).collect());
        }
        let now = BootTime.now();
        for registration in registered {
            let terminates_at = registry.terminates_at(&registration.id);
            self.proxy.dispatcher().feed(Event::Registered {
                backend: registration.id.clone(),
                registration: BackendRegistration {
                    terminates_in: terminates_at.map(|at| at.remaining(now)),
                    ..backend_registration(registration)
                },
            });
        }
    }
}

fn backend_registration(registration: &Registration) -> BackendRegistration {
    let models = &registration.state.models;
    let adapters = models.iter().flat_map(|m| m.adapters.iter().cloned());
    BackendRegistration {
        incarnation: registration.state.incarnation,
        leaving: registration.leaving,
        terminates_in: registration.terminates_in,
        models: models.iter().map(|m| m.id.clone()).collect(),
        adapters: adapters.collect(),
    }
}
