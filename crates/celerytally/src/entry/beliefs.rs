//! What this host believes of the configuration and of backend servers, for the router.

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
use peer::{Facts, KnownFacts, name_hash};
use platform::ConfigSpec;
use rand::Rng;
use registry::Registry;
use route::{BackendRegistration, Event};
use tokio::{sync::watch, time::timeout};
use types::{
    AdapterId, BackendId, BootTime, Clock, ConfigVersion, Incarnation, Instant, ModelId,
    Registration,
};

use crate::entry::EntryProxy;

/// Time for which a question for facts waits for news.
const FACTS_WAIT: Duration = Duration::from_millis(500);

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn is_news(facts: &Facts) -> bool {
    facts.complete || facts.config.is_some() || !facts.set.is_empty() || !facts.removed.is_empty()
}

/// Names by the keys under which beacons mention them, each list sorted by key.
#[derive(Debug, Default)]
pub(crate) struct Keys {
    backends: Vec<(u32, BackendId)>,
    models: Vec<(u32, ModelId)>,
    adapters: Vec<(u32, AdapterId)>,
}

fn keyed<T: Clone>(names: impl Iterator<Item = T>, text: impl Fn(&T) -> &str) -> Vec<(u32, T)> {
    let mut keyed: Vec<(u32, T)> = names.map(|n| (name_hash(text(&n)), n)).collect();
    keyed.sort_by_key(|(key, _)| *key);
    keyed
}

fn named<T>(keyed: &[(u32, T)], wanted: u32) -> Option<&T> {
    let at = keyed.binary_search_by_key(&wanted, |(key, _)| *key).ok()?;
    Some(&keyed[at].1)
}

impl Keys {
    fn new(deployment: &Deployment) -> Self {
        let backends = deployment.backends.iter().map(|b| b.id.clone());
        let models = deployment.models.iter().map(|m| m.id.clone());
        let adapters = deployment.adapters.iter().map(|a| a.id.clone());
        Self {
            backends: keyed(backends, BackendId::as_str),
            models: keyed(models, ModelId::as_str),
            adapters: keyed(adapters, AdapterId::as_str),
        }
    }

    pub(crate) fn backend(&self, key: u32) -> Option<&BackendId> {
        named(&self.backends, key)
    }

    pub(crate) fn model(&self, key: u32) -> Option<&ModelId> {
        named(&self.models, key)
    }

    pub(crate) fn adapter(&self, key: u32) -> Option<&AdapterId> {
        named(&self.adapters, key)
    }
}

/// What is logged of a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Known {
    backend: BackendId,
    life: Incarnation,
    leaving: bool,
}

impl From<&Registration> for Known {
    fn from(registration: &Registration) -> Self {
        Self {
            backend: registration.id.clone(),
            life: registration.state.incarnation,
            leaving: registration.leaving,
        }
    }
}

/// Beliefs of this host, and the router that works on them.
#[derive(Debug)]
pub(crate) struct Beliefs {
    proxy: EntryProxy,
    data_centres: Vec<DataCentre>,
    beacon_port: u16,
    /// The configuration as it was read, for peers that do not reach the platform.
    config: Mutex<Option<ConfigSpec>>,
    /// Random name of this process among those that tell facts.
    life: u64,
    /// Life and revision of the facts that a peer told last.
    told: Mutex<(u64, u64)>,
    /// Whether this host reads the platform itself.
    direct: watch::Sender<bool>,
    /// Raised with every change, for peers that wait for news.
    news: watch::Sender<u64>,
    registry: Mutex<Registry>,
    keys: RwLock<Arc<Keys>>,
    /// Backend servers as they were logged last, sorted by id.
    logged: Mutex<Vec<Known>>,
    control: OnceLock<FleetHandle>,
    peers: AtomicUsize,
    /// Raised with every change, because the router takes only newer deployments.
    revision: AtomicU64,
}

impl Beliefs {
    pub(crate) fn new(proxy: EntryProxy, data_centres: Vec<DataCentre>, beacon_port: u16) -> Self {
        Self {
            proxy,
            data_centres,
            beacon_port,
            config: Mutex::default(),
            life: rand::rng().next_u64(),
            told: Mutex::default(),
            direct: watch::Sender::new(false),
            news: watch::Sender::new(0),
            registry: Mutex::default(),
            keys: RwLock::default(),
            logged: Mutex::default(),
            control: OnceLock::new(),
            peers: AtomicUsize::default(),
            revision: AtomicU64::default(),
        }
    }

    pub(crate) fn proxy(&self) -> &EntryProxy {
        &self.proxy
    }

    /// Sets the controller, which learns of every change.
    pub(crate) fn set_control(&self, control: FleetHandle) {
        // The process starts one controller, so the cell is empty.
        drop(self.control.set(control));
    }

    /// Returns the port to which beacons are sent, the same on all hosts.
    pub(crate) fn beacon_port(&self) -> u16 {
        self.beacon_port
    }

    /// Notes the number of other entry hosts.
    pub(crate) fn set_peers(&self, peers: usize) {
        self.peers.store(peers, Ordering::Relaxed);
    }

    /// Returns the number of other entry hosts.
    pub(crate) fn peers(&self) -> usize {
        self.peers.load(Ordering::Relaxed)
    }

    /// Returns the keys of names in beacons.
    pub(crate) fn keys(&self) -> Arc<Keys> {
        let keys = self.keys.read().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&keys)
    }

    /// Tells whether the platform does not answer this host.
    pub(crate) fn is_away(&self) -> bool {
        self.registry().is_platform_unavailable()
    }

    /// Sets whether this host reads the platform itself.
    pub(crate) fn set_direct(&self, direct: bool) {
        let changed = self.direct.send_if_modified(|old| {
            let changed = *old != direct;
            *old = direct;
            changed
        });
        if changed {
            tracing::info!(belief = "source", direct, "source of facts changed");
        }
    }

    /// Waits until this host reads the platform itself; tells whether it had to wait.
    pub(crate) async fn wait_direct(&self) -> bool {
        let mut direct = self.direct.subscribe();
        if *direct.borrow() {
            return false;
        }
        // The sender lives as long as the beliefs.
        drop(direct.wait_for(|direct| *direct).await);
        true
    }

    /// Returns what this host knows, for a question to a peer.
    pub(crate) fn known(&self, wait: bool) -> KnownFacts {
        let (source, revision) = *lock(&self.told);
        KnownFacts {
            source,
            revision,
            version: self.version().unwrap_or_default(),
            wait,
        }
    }

    /// Returns what this host read from the platform, unless it does not reach it.
    ///
    /// If the asker waits, the answer comes with the first news or after a while.
    pub(crate) async fn facts(&self, known: KnownFacts) -> Option<Facts> {
        let mut news = self.news.subscribe();
        let first = self.facts_now(known)?;
        if !known.wait || is_news(&first) {
            return Some(first);
        }
        // Without news the first answer still says that this host reaches the platform.
        match timeout(FACTS_WAIT, news.changed()).await {
            Ok(_) => self.facts_now(known),
            Err(_elapsed) => self.facts_now(known),
        }
    }

    fn facts_now(&self, known: KnownFacts) -> Option<Facts> {
        let registry = self.registry();
        let version = self.version()?;
        if registry.is_platform_unavailable() || !*self.direct.borrow() {
            return None;
        }
        let config = lock(&self.config);
        let config = config.as_ref().filter(|_| version > known.version);
        let changes = if known.source == self.life {
            registry.changes_since(known.revision)
        } else {
            None
        };
        let complete = changes.is_none();
        let (set, removed) = changes.unwrap_or_else(|| (registry.registrations(), Vec::new()));
        Some(Facts {
            source: self.life,
            revision: registry.revision(),
            config: config.and_then(|spec| serde_json::to_vec(spec).ok()),
            complete,
            set: set.into_iter().cloned().collect(),
            removed: removed.into_iter().cloned().collect(),
        })
    }

    /// Takes what a peer read from the platform.
    pub(crate) fn told(&self, facts: Facts) {
        let spec = facts
            .config
            .map(|c| serde_json::from_slice::<ConfigSpec>(&c));
        match spec {
            Some(Ok(spec)) => self.configure(spec),
            Some(Err(e)) => tracing::warn!(error = %e, "undecodable configuration from a peer"),
            None => {}
        }
        let (complete, set, removed) = (facts.complete, facts.set, facts.removed);
        let direct = *self.direct.borrow();
        self.register(|registry, _| registry.apply_peer_update(direct, complete, set, &removed));
        *lock(&self.told) = (facts.source, facts.revision);
    }

    fn registry(&self) -> MutexGuard<'_, Registry> {
        lock(&self.registry)
    }

    /// Returns the version of the configuration in force.
    pub(crate) fn version(&self) -> Option<ConfigVersion> {
        self.proxy.route_table().map(|t| t.version)
    }

    /// Puts a configuration in force unless a newer one is.
    pub(crate) fn configure(&self, spec: ConfigSpec) {
        let Some(table) = platform::route_table(&spec) else {
            return;
        };
        let (version, routes) = (table.version, table.routes().len());
        if self.proxy.set_route_table(Arc::new(table)) {
            tracing::info!(belief = "configuration", %version, routes, "configuration in force");
            *lock(&self.config) = Some(spec);
            self.rebuild();
        }
    }

    /// Changes the registry and tells the router.
    pub(crate) fn register(&self, change: impl FnOnce(&mut Registry, Instant) -> bool) {
        let changed = change(&mut self.registry(), BootTime.now());
        if changed {
            self.rebuild();
        }
    }

    /// Logs the backend servers that came, changed or went.
    fn log_changes(&self, registered: &[&Registration]) {
        let new: Vec<Known> = registered.iter().map(|r| Known::from(*r)).collect();
        let mut logged = lock(&self.logged);
        for known in new.iter().filter(|k| !logged.contains(k)) {
            let (backend, life, leaving) = (&known.backend, known.life, known.leaving);
            tracing::info!(belief = "backend", %backend, %life, leaving, "registered");
        }
        let gone = |k: &&Known| new.iter().all(|n| n.backend != k.backend);
        for known in logged.iter().filter(gone) {
            tracing::info!(belief = "backend", backend = %known.backend, "gone");
        }
        *logged = new;
    }

    /// Tells the router of the deployment that follows from the routes and the registry.
    fn rebuild(&self) {
        let Some(table) = self.proxy.route_table() else {
            return;
        };
        let registry = self.registry();
        let registered = registry.registrations();
        let deployment = registry::build_deployment(&table, &self.data_centres, &registered);
        *self.keys.write().unwrap_or_else(PoisonError::into_inner) =
            Arc::new(Keys::new(&deployment));
        let servers = registered.iter().map(|r| {
            let server = Server {
                id: r.id.clone(),
                addr: r.addr,
            };
            (server, r.state.incarnation)
        });
        self.proxy.set_servers(servers.collect());
        self.log_changes(&registered);
        self.news.send_modify(|count| *count += 1);
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
        for registration in registered {
            self.proxy.dispatcher().feed(Event::Registered {
                backend: registration.id.clone(),
                registration: holding(registration),
            });
        }
    }
}

fn holding(registration: &Registration) -> BackendRegistration {
    let models = &registration.state.models;
    let adapters = models.iter().flat_map(|m| m.adapters.iter().cloned());
    BackendRegistration {
        incarnation: registration.state.incarnation,
        leaving: registration.leaving,
        models: models.iter().map(|m| m.id.clone()).collect(),
        adapters: adapters.collect(),
    }
}
