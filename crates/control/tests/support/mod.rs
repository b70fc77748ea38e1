//! Test support: controllers with an in-memory platform, backend servers and peers.
#![allow(
    dead_code,
    clippy::allow_attributes,
    reason = "each test target uses a part of this module"
)]

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use config::{
    ActiveConfig, Adapter, BackendServer, DataCentre, Deployment, Limits, Model, Objective,
    Priority, Service, ServiceKind,
};
use control::{BackendClient, Controller, Event, Handle, Peers, Planner, Settings, Status};
use orders::SendOutcome;
use store::MemPlatform;
use tokio::{task::JoinHandle, time::timeout};
use tokio_util::sync::CancellationToken;
use types::{
    BackendId, Bytes, ConfigVersion, Epoch, HostId, Incarnation, LoadReport, Micros, ModelId,
    Monotonic, Order, OrderOp, OrderState, OrderStatus, Rate, Resident,
};

/// Time that an engine takes to carry out an order.
const LOAD_TIME: Duration = Duration::from_secs(1);

#[derive(Debug, Default)]
pub struct TestEngine {
    pub residents: Vec<Resident>,
    pub orders: Vec<OrderStatus>,
    pub running: Vec<Order>,
    pub sent_orders: usize,
    /// Loses every n-th order that is sent; none if zero.
    pub lose_every: usize,
    /// Time that an order takes to arrive.
    pub send_delay: Duration,
    /// Highest memory use so far, including loads that have not finished.
    pub peak_memory: Bytes,
}

impl TestEngine {
    fn record_peak_memory(&mut self) {
        let loads = self.running.iter().filter(|o| is_load(o));
        let resident: Bytes = self.residents.iter().map(|r| r.bytes).sum();
        self.peak_memory = self
            .peak_memory
            .max(resident + loads.map(|o| o.bytes).sum());
    }
}

fn is_load(order: &Order) -> bool {
    matches!(order.op, OrderOp::Load | OrderOp::LoadAdapter)
}

/// Engines of all backend servers of a site.
#[derive(Clone, Debug, Default)]
pub struct TestBackends(Arc<Mutex<Vec<(BackendId, TestEngine)>>>);

impl TestBackends {
    pub fn lock(&self) -> MutexGuard<'_, Vec<(BackendId, TestEngine)>> {
        self.0.lock().unwrap()
    }

    pub fn sent_orders(&self) -> usize {
        self.lock().iter().map(|(_, e)| e.sent_orders).sum()
    }

    /// Sets the time that orders to a backend server take to arrive.
    pub fn set_send_delay(&self, id: &BackendId, time: Duration) {
        self.with_engine(id, |engine| engine.send_delay = time);
    }

    fn with_engine<T>(&self, id: &BackendId, f: impl FnOnce(&mut TestEngine) -> T) -> T {
        let mut backends = self.lock();
        if !backends.iter().any(|(other, _)| other == id) {
            backends.push((id.clone(), TestEngine::default()));
        }
        let (_, engine) = backends.iter_mut().find(|(other, _)| other == id).unwrap();
        f(engine)
    }

    async fn finish(self, id: BackendId, order: Order) {
        tokio::time::sleep(LOAD_TIME).await;
        self.with_engine(&id, |engine| {
            engine.running.retain(|o| o.id != order.id);
            engine.residents.retain(|r| r.name != order.name);
            if is_load(&order) {
                engine.residents.push(Resident {
                    name: order.name.clone(),
                    version: order.version.clone(),
                    bytes: order.bytes,
                    adapter: order.op == OrderOp::LoadAdapter,
                });
            }
            engine.peak_memory = engine
                .peak_memory
                .max(engine.residents.iter().map(|r| r.bytes).sum());
            for status in engine.orders.iter_mut().filter(|o| o.id == order.id) {
                status.state = OrderState::Done;
            }
        });
    }
}

impl BackendClient for TestBackends {
    async fn send_order(&self, backend: &BackendId, order: &Order) -> SendOutcome {
        let delay = self.with_engine(backend, |engine| engine.send_delay);
        tokio::time::sleep(delay).await;
        let is_new = self.with_engine(backend, |engine| {
            engine.sent_orders += 1;
            if engine.lose_every > 0 && engine.sent_orders.is_multiple_of(engine.lose_every) {
                return None;
            }
            let is_new = !engine.orders.iter().any(|o| o.id == order.id);
            if is_new {
                engine.orders.push(OrderStatus {
                    id: order.id,
                    state: OrderState::Running,
                });
                engine.running.push(order.clone());
                engine.record_peak_memory();
            }
            Some(is_new)
        });
        let Some(is_new) = is_new else {
            return SendOutcome::Lost;
        };
        if is_new {
            tokio::spawn(self.clone().finish(backend.clone(), order.clone()));
        }
        SendOutcome::Accepted
    }

    async fn fetch_load_report(&self, backend: &BackendId) -> Option<LoadReport> {
        Some(self.with_engine(backend, |engine| LoadReport {
            incarnation: Incarnation::new(1),
            leaving: false,
            memory: Bytes::ZERO,
            used: Bytes::ZERO,
            in_flight: 0,
            queued: 0,
            tokens_per_second: 0.0,
            residents: engine.residents.clone(),
            orders: engine.orders.clone(),
            age_ms: 0,
            fence: Epoch::new(0),
        }))
    }
}

/// Peers that reach the controllers of this process and the platform's list of hosts.
#[derive(Clone, Debug, Default)]
pub struct TestPeers {
    pub removed_hosts: Arc<Mutex<Vec<HostId>>>,
    pub handles: Arc<Mutex<Vec<(HostId, Handle)>>>,
}

impl Peers for TestPeers {
    async fn has_retired_epoch(&self, host: &HostId, epoch: Epoch) -> bool {
        let handles = self.handles.lock().unwrap();
        let mut running = handles.iter().filter(|(id, _)| id == host);
        running.any(|(_, handle)| handle.try_retire_epoch(epoch))
    }

    fn is_deregistered(&self, host: &HostId) -> bool {
        self.removed_hosts.lock().unwrap().contains(host)
    }

    fn ready_elsewhere(&self) -> Vec<ModelId> {
        Vec::new()
    }
}

/// Controller that runs in a task of its own.
pub struct RunningController {
    pub handle: Handle,
    pub stop: CancellationToken,
    pub task: JoinHandle<()>,
}

impl RunningController {
    /// Waits until the status satisfies a condition; panics after `bound` of virtual time.
    pub async fn wait_until(&mut self, what: &str, bound: Duration, f: impl Fn(&Status) -> bool) {
        let wait = timeout(bound, self.handle.status.wait_for(f)).await;
        assert!(wait.is_ok(), "{what} not reached in {bound:?}");
    }

    pub fn status(&self) -> Status {
        self.handle.status.borrow().clone()
    }
}

/// Data centre with workers and four models, and the state that its controllers share.
#[derive(Clone, Debug)]
pub struct TestSite {
    pub platform: MemPlatform,
    pub backends: TestBackends,
    pub peers: TestPeers,
    pub clock: Monotonic,
    pub deployment: Arc<Deployment>,
}

impl TestSite {
    pub fn new(workers: usize) -> Self {
        Self {
            platform: MemPlatform::new(),
            backends: TestBackends::default(),
            peers: TestPeers::default(),
            clock: Monotonic::start(),
            deployment: Arc::new(deployment(workers)),
        }
    }

    /// Starts a controller and sends it the configuration and the inventory.
    pub async fn start(&self, host: &str) -> RunningController {
        let settings = Settings {
            host: host.parse().unwrap(),
            dc: "a".parse().unwrap(),
            lease_duration: Settings::DEFAULT_LEASE_DURATION,
            seed: self.platform.calls().1 + host.bytes().map(u64::from).sum::<u64>(),
            base_tokens_per_second: 1_000.0,
            planner: Planner {
                plan: place::plan,
                floor: |deployment, _| place::floor(deployment, Bytes::ZERO).unwrap_or_default(),
            },
        };
        let (controller, handle) = Controller::new(
            self.platform.clone(),
            self.clock,
            self.backends.clone(),
            self.peers.clone(),
            settings,
        );
        let config = Event::Config(ActiveConfig {
            version: ConfigVersion::new(1),
            deployment: Arc::clone(&self.deployment),
        });
        let inventory = Event::Inventory {
            backends: self
                .deployment
                .backends
                .iter()
                .map(|b| b.id.clone())
                .collect(),
            hosts: vec!["h1".parse().unwrap(), "h2".parse().unwrap()],
        };
        handle.events.send(config).await.unwrap();
        handle.events.send(inventory).await.unwrap();
        let mut handles = self.peers.handles.lock().unwrap();
        handles.retain(|(id, _)| id.as_str() != host);
        handles.push((host.parse().unwrap(), handle.clone()));
        let stop = CancellationToken::new();
        let task = tokio::spawn(controller.run(stop.clone()));
        RunningController { handle, stop, task }
    }
}

fn deployment(workers: usize) -> Deployment {
    let service: types::ServiceName = "sheets".parse().unwrap();
    Deployment {
        name: "test".to_owned(),
        objective: Objective {
            attainment: 1.0,
            moves: 1.0,
        },
        limits: Limits {
            weight_store_slots: 2,
            weight_store_rate: Rate::from_milli(1_400),
            adapter_loads: 16,
            ..Limits::default()
        },
        data_centres: vec![DataCentre {
            id: "a".parse().unwrap(),
            region: "r".parse().unwrap(),
        }],
        services: vec![Service {
            name: service.clone(),
            kind: ServiceKind::Model,
            priority: Priority::new(1),
            deadline: Micros::from_secs(10),
            max_deadline: Micros::from_secs(60),
            first_token: Micros::from_millis(490),
            between_tokens: Micros::from_millis(26),
            idempotent: true,
        }],
        models: (0..4)
            .map(|i| Model {
                id: format!("m{i:03}").parse().unwrap(),
                version: "v1".parse().unwrap(),
                service: service.clone(),
                bytes: Bytes::new(10),
                priority: Priority::new(1),
            })
            .collect(),
        backends: (0..workers)
            .map(|i| BackendServer {
                id: format!("w{i:03}").parse().unwrap(),
                dc: "a".parse().unwrap(),
                service: service.clone(),
                memory: Bytes::new(30),
                adapter_pool: Bytes::new(5),
                accelerators: 1,
                speed: 1.0,
                max_in_flight: 8,
                fences: false,
            })
            .collect(),
        adapters: (0..6)
            .map(|i| Adapter {
                id: format!("x{i:03}").parse().unwrap(),
                version: "v1".parse().unwrap(),
                model: "m000".parse().unwrap(),
                bytes: Bytes::new(2),
                priority: Priority::new(1),
            })
            .collect(),
        ..Deployment::default()
    }
}
