//! Controllers over the platform in memory, engines and peers in memory, on a paused clock.
#![allow(
    dead_code,
    clippy::allow_attributes,
    reason = "each test file uses a part"
)]

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use config::{
    Adapter, BackendServer, DataCentre, Deployment, InForce, Limits, Model, Objective, Priority,
    Service, ServiceKind,
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

/// Time that an engine takes for a load.
const LOAD_TIME: Duration = Duration::from_secs(1);

#[derive(Debug, Default)]
pub struct Engine {
    pub residents: Vec<Resident>,
    pub orders: Vec<OrderStatus>,
    pub running: Vec<Order>,
    pub posts: usize,
    /// Every how many posts one is lost; none if zero.
    pub lose_every: usize,
    /// Time that a post takes to arrive.
    pub slow: Duration,
    /// Most memory that was in use at once.
    pub most: Bytes,
}

impl Engine {
    fn note_use(&mut self) {
        let loads = self.running.iter().filter(|o| is_load(o));
        let resident: Bytes = self.residents.iter().map(|r| r.bytes).sum();
        self.most = self.most.max(resident + loads.map(|o| o.bytes).sum());
    }
}

fn is_load(order: &Order) -> bool {
    matches!(order.op, OrderOp::Load | OrderOp::LoadAdapter)
}

/// Engines of all backend servers.
#[derive(Clone, Debug, Default)]
pub struct Fleet(Arc<Mutex<Vec<(BackendId, Engine)>>>);

impl Fleet {
    pub fn lock(&self) -> MutexGuard<'_, Vec<(BackendId, Engine)>> {
        self.0.lock().unwrap()
    }

    pub fn posts(&self) -> usize {
        self.lock().iter().map(|(_, e)| e.posts).sum()
    }

    /// Sets the time that posts to a backend server take to arrive.
    pub fn slow(&self, id: &BackendId, time: Duration) {
        self.with(id, |engine| engine.slow = time);
    }

    fn with<T>(&self, id: &BackendId, f: impl FnOnce(&mut Engine) -> T) -> T {
        let mut fleet = self.lock();
        if !fleet.iter().any(|(known, _)| known == id) {
            fleet.push((id.clone(), Engine::default()));
        }
        let (_, engine) = fleet.iter_mut().find(|(known, _)| known == id).unwrap();
        f(engine)
    }

    async fn finish(self, id: BackendId, order: Order) {
        tokio::time::sleep(LOAD_TIME).await;
        self.with(&id, |engine| {
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
            engine.most = engine
                .most
                .max(engine.residents.iter().map(|r| r.bytes).sum());
            for status in engine.orders.iter_mut().filter(|o| o.id == order.id) {
                status.state = OrderState::Done;
            }
        });
    }
}

impl BackendClient for Fleet {
    async fn send_order(&self, backend: &BackendId, order: &Order) -> SendOutcome {
        let slow = self.with(backend, |engine| engine.slow);
        tokio::time::sleep(slow).await;
        let new = self.with(backend, |engine| {
            engine.posts += 1;
            if engine.lose_every > 0 && engine.posts.is_multiple_of(engine.lose_every) {
                return None;
            }
            let new = !engine.orders.iter().any(|o| o.id == order.id);
            if new {
                engine.orders.push(OrderStatus {
                    id: order.id,
                    state: OrderState::Running,
                });
                engine.running.push(order.clone());
                engine.note_use();
            }
            Some(new)
        });
        let Some(new) = new else {
            return SendOutcome::Lost;
        };
        if new {
            tokio::spawn(self.clone().finish(backend.clone(), order.clone()));
        }
        SendOutcome::Accepted
    }

    async fn fetch_load_report(&self, backend: &BackendId) -> Option<LoadReport> {
        Some(self.with(backend, |engine| LoadReport {
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

/// Peers that know which hosts the platform lists as gone.
#[derive(Clone, Debug, Default)]
pub struct Known {
    pub gone: Arc<Mutex<Vec<HostId>>>,
    pub handles: Arc<Mutex<Vec<(HostId, Handle)>>>,
}

impl Peers for Known {
    async fn has_retired_epoch(&self, host: &HostId, epoch: Epoch) -> bool {
        let handles = self.handles.lock().unwrap();
        let mut running = handles.iter().filter(|(id, _)| id == host);
        running.any(|(_, handle)| handle.try_retire_epoch(epoch))
    }

    fn is_deregistered(&self, host: &HostId) -> bool {
        self.gone.lock().unwrap().contains(host)
    }

    fn ready_elsewhere(&self) -> Vec<ModelId> {
        Vec::new()
    }
}

/// Running controller.
pub struct Running {
    pub handle: Handle,
    pub stop: CancellationToken,
    pub task: JoinHandle<()>,
}

impl Running {
    /// Waits for a status within a bound of virtual time.
    pub async fn until(&mut self, what: &str, bound: Duration, f: impl Fn(&Status) -> bool) {
        let wait = timeout(bound, self.handle.status.wait_for(f)).await;
        assert!(wait.is_ok(), "{what} not reached in {bound:?}");
    }

    pub fn status(&self) -> Status {
        self.handle.status.borrow().clone()
    }
}

/// Data centre with workers, one model for each, and the parts that controllers share.
#[derive(Clone, Debug)]
pub struct Site {
    pub platform: MemPlatform,
    pub fleet: Fleet,
    pub peers: Known,
    pub clock: Monotonic,
    pub deployment: Arc<Deployment>,
}

impl Site {
    pub fn new(workers: usize) -> Self {
        Self {
            platform: MemPlatform::new(),
            fleet: Fleet::default(),
            peers: Known::default(),
            clock: Monotonic::start(),
            deployment: Arc::new(deployment(workers)),
        }
    }

    /// Starts a controller that knows the configuration and the inventory.
    pub async fn start(&self, host: &str) -> Running {
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
            self.fleet.clone(),
            self.peers.clone(),
            settings,
        );
        let config = Event::Config(InForce {
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
        Running { handle, stop, task }
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
