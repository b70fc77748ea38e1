//! What this host believes of the configuration and of backend servers, for the router.

use std::sync::{
    Arc, Mutex, MutexGuard, OnceLock, PoisonError, RwLock,
    atomic::{AtomicU64, AtomicUsize, Ordering},
};

use config::{DataCentre, Deployment, InForce};
use control::FleetHandle;
use engine::Server;
use peer::{Facts, key};
use platform::ConfigSpec;
use registry::Registry;
use route::{Event, Holding};
use types::{
    AdapterId, BackendId, BootTime, Clock, ConfigVersion, Instant, ModelId, Registration,
};

use crate::entry::EntryProxy;

/// Names by the keys under which beacons mention them, each list sorted by key.
#[derive(Debug, Default)]
pub(crate) struct Keys {
    backends: Vec<(u32, BackendId)>,
    models: Vec<(u32, ModelId)>,
    adapters: Vec<(u32, AdapterId)>,
}

fn keyed<T: Clone>(names: impl Iterator<Item = T>, text: impl Fn(&T) -> &str) -> Vec<(u32, T)> {
    let mut keyed: Vec<(u32, T)> = names.map(|n| (key(text(&n)), n)).collect();
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

/// Beliefs of this host, and the router that works on them.
#[derive(Debug)]
pub(crate) struct Beliefs {
    proxy: EntryProxy,
    data_centres: Vec<DataCentre>,
    beacon_port: u16,
    /// The configuration as it was read, for peers that do not reach the platform.
    config: Mutex<Option<ConfigSpec>>,
    registry: Mutex<Registry>,
    keys: RwLock<Arc<Keys>>,
    control: OnceLock<FleetHandle>,
    peers: AtomicUsize,
    /// Raised with every change, because the router takes only newer deployments.
    revision: AtomicU64,
}

impl Beliefs {
    pub(crate) fn new(
        proxy: EntryProxy,
        data_centres: Vec<DataCentre>,
        beacon_port: u16,
    ) -> Self {
        Self {
            proxy,
            data_centres,
            beacon_port,
            config: Mutex::default(),
            registry: Mutex::default(),
            keys: RwLock::default(),
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
        self.registry().is_away()
    }

    /// Returns what this host read from the platform, unless that is out of date.
    pub(crate) fn facts(&self, known: ConfigVersion) -> Option<Facts> {
        let registry = self.registry();
        if registry.is_away() {
            return None;
        }
        let newer = self.version().is_some_and(|own| own > known);
        let config = self.config.lock().unwrap_or_else(PoisonError::into_inner);
        let config = config.as_ref().filter(|_| newer);
        Some(Facts {
            config: config.and_then(|spec| serde_json::to_vec(spec).ok()),
            registrations: registry.entries().into_iter().cloned().collect(),
        })
    }

    /// Takes what a peer read from the platform.
    pub(crate) fn told(&self, facts: Facts) {
        let spec = facts.config.map(|c| serde_json::from_slice::<ConfigSpec>(&c));
        match spec {
            Some(Ok(spec)) => self.configure(spec),
            Some(Err(e)) => tracing::warn!(error = %e, "undecodable configuration from a peer"),
            None => {}
        }
        self.register(|registry, _| {
            // The platform may have come back while the peer was asked.
            registry.is_away() && registry.told(facts.registrations)
        });
    }

    fn registry(&self) -> MutexGuard<'_, Registry> {
        self.registry.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the version of the configuration in force.
    pub(crate) fn version(&self) -> Option<ConfigVersion> {
        self.proxy.table().map(|t| t.version)
    }

    /// Puts a configuration in force unless a newer one is.
    pub(crate) fn configure(&self, spec: ConfigSpec) {
        let Some(table) = platform::route_table(&spec) else {
            return;
        };
        let (version, routes) = (table.version, table.routes().len());
        if self.proxy.set_table(Arc::new(table)) {
            tracing::info!(belief = "configuration", %version, routes, "configuration in force");
            *self.config.lock().unwrap_or_else(PoisonError::into_inner) = Some(spec);
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

    /// Tells the router of the deployment that follows from the routes and the registry.
    fn rebuild(&self) {
        let Some(table) = self.proxy.table() else {
            return;
        };
        let registry = self.registry();
        let registered = registry.entries();
        let deployment = registry::deployment(&table, &self.data_centres, &registered);
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
        let revision = self.revision.fetch_add(1, Ordering::Relaxed) + 1;
        self.proxy.dispatcher().feed(Event::Config(Arc::new(InForce {
            version: ConfigVersion::new(revision),
            deployment: Arc::new(deployment),
        })));
        if let Some(control) = self.control.get() {
            control.services(table.services().to_vec());
            control.registered(registered.iter().map(|r| (*r).clone()).collect());
        }
        for registration in registered {
            self.proxy.dispatcher().feed(Event::Holds {
                backend: registration.id.clone(),
                holding: holding(registration),
            });
        }
    }
}

fn holding(registration: &Registration) -> Holding {
    let models = &registration.state.models;
    let adapters = models.iter().flat_map(|m| m.adapters.iter().cloned());
    Holding {
        incarnation: registration.state.incarnation,
        leaving: registration.leaving,
        models: models.iter().map(|m| m.id.clone()).collect(),
        adapters: adapters.collect(),
    }
}
