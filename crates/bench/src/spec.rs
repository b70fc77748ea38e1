//! Reference deployments and load cases.

use std::sync::Arc;

use config::{
    Adapter, BackendServer, DataCentre, Deployment, Limits, Model, Objective, Priority, Service,
    ServiceKind,
};
use types::{Bytes, Micros, Rate};

pub const GIB: u64 = 1 << 30;
/// Tokens per second of a worker of speed 1 as its batch size goes to infinity.
pub const BASE_TOKENS_PER_SECOND: f64 = 1_000.0;
/// Batch size at which a worker reaches half of its full rate.
pub const HALF_RATE_BATCH: f64 = 4.0;
/// Work of a prompt token relative to an output token.
pub const PROMPT_WEIGHT: f64 = 0.05;
/// Requests that a worker runs concurrently.
pub const MAX_BATCH: u32 = 16;
/// Length of a run in seconds of virtual time.
pub const RUN_SECONDS: u64 = 90;

/// Reference deployment.
#[derive(Clone, Debug)]
pub struct DeploymentSpec {
    pub name: &'static str,
    pub objective: Objective,
    pub dcs: usize,
    pub models: usize,
    pub adapters: usize,
    pub adapter_limit: u32,
    pub slots: u32,
}

/// Returns both reference deployments of the design page.
pub fn specs() -> [DeploymentSpec; 2] {
    [
        DeploymentSpec {
            name: "Te Awa",
            objective: Objective {
                attainment: 1.0,
                moves: 0.2,
            },
            dcs: 4,
            models: 25,
            adapters: 65,
            adapter_limit: 16,
            slots: 2,
        },
        DeploymentSpec {
            name: "Nour Linen",
            objective: Objective {
                attainment: 0.4,
                moves: 1.0,
            },
            dcs: 3,
            models: 20,
            adapters: 75,
            adapter_limit: 24,
            slots: 3,
        },
    ]
}

/// Load case.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Case {
    Steady,
    Tenfold,
    HotSet,
    Prefixes,
    Adapters,
    ServerLost,
    LateReports,
    ConfigChange,
    Overload,
}

impl Case {
    pub const ALL: [Self; 9] = [
        Self::Steady,
        Self::Tenfold,
        Self::HotSet,
        Self::Prefixes,
        Self::Adapters,
        Self::ServerLost,
        Self::LateReports,
        Self::ConfigChange,
        Self::Overload,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Self::Steady => "steady bursts",
            Self::Tenfold => "tenfold burst",
            Self::HotSet => "rotating hot set",
            Self::Prefixes => "shared prefixes",
            Self::Adapters => "adapters beyond limit",
            Self::ServerLost => "server lost at peak",
            Self::LateReports => "reports 2 s late",
            Self::ConfigChange => "new file at peak",
            Self::Overload => "overload 1.5x",
        }
    }

    /// Offered load relative to the throughput of the workers with full batches.
    pub fn relative_load(self) -> f64 {
        match self {
            Self::Overload => 1.5,
            Self::ServerLost | Self::ConfigChange => 0.6,
            _ => 0.55,
        }
    }

    /// Returns the age of a load report on arrival.
    pub fn report_age(self) -> Micros {
        Micros::from_millis(if self == Self::LateReports {
            2_000
        } else {
            500
        })
    }

    /// Returns whether the goal is 1.25 times the attainment of the best baseline.
    pub fn has_raised_goal(self) -> bool {
        matches!(self, Self::Tenfold | Self::HotSet | Self::Overload)
    }
}

/// Relative worker speeds, which differ up to fourfold, as in a fleet bought over several years.
const WORKER_SPEEDS: [f64; 12] = [1.0, 4.0, 2.0, 1.0, 3.0, 2.0, 4.0, 1.0, 2.0, 3.0, 1.0, 2.0];

impl DeploymentSpec {
    /// Returns the deployment with every fifth model at the given version; version 2 adds a model.
    pub fn deployment(&self, version: u32) -> Arc<Deployment> {
        let dc = |at: usize| format!("dc{}", at % self.dcs).parse().expect("a name");
        let service = Service {
            name: "chat".parse().expect("a name"),
            kind: ServiceKind::Model,
            priority: Priority::new(1),
            deadline: Micros::from_secs(5),
            max_deadline: Micros::from_secs(60),
            first_token: Micros::from_millis(490),
            between_tokens: Micros::from_millis(26),
            idempotent: true,
        };
        let model = |at: usize| Model {
            id: format!("m{at:02}").parse().expect("a name"),
            version: format!("v{}", if at.is_multiple_of(5) { version } else { 1 })
                .parse()
                .expect("a name"),
            service: service.name.clone(),
            bytes: Bytes::new((8 + at as u64 * 7 % 13) * GIB),
            priority: Priority::new(1),
        };
        let adapter = |at: usize| Adapter {
            id: format!("a{at:02}").parse().expect("a name"),
            version: "v1".parse().expect("a name"),
            model: format!("m{:02}", at % self.models).parse().expect("a name"),
            bytes: Bytes::new(GIB),
            priority: Priority::new(1),
        };
        let backend = |at: usize| BackendServer {
            id: format!("w{at:02}").parse().expect("a name"),
            dc: dc(at),
            service: service.name.clone(),
            memory: Bytes::new(80 * GIB),
            adapter_pool: Bytes::new(8 * GIB),
            accelerators: 1,
            speed: WORKER_SPEEDS[at],
            max_in_flight: MAX_BATCH,
            fences: true,
        };
        let models = self.models + usize::from(version > 1);
        Arc::new(Deployment {
            name: self.name.to_owned(),
            objective: self.objective,
            limits: Limits {
                queue: 256,
                weight_store_slots: self.slots,
                weight_store_rate: Rate::from_milli(1_400),
                adapter_loads: self.adapter_limit,
                ..Limits::default()
            },
            data_centres: (0..self.dcs)
                .map(|at| DataCentre {
                    id: dc(at),
                    region: "r".parse().expect("a name"),
                })
                .collect(),
            services: vec![service.clone()],
            models: (0..models).map(model).collect(),
            adapters: (0..self.adapters).map(adapter).collect(),
            backends: (0..WORKER_SPEEDS.len()).map(backend).collect(),
            callers: Vec::new(),
        })
    }

    /// Returns the tokens per second of all workers with full batches.
    pub fn capacity() -> f64 {
        let full = f64::from(MAX_BATCH) / (f64::from(MAX_BATCH) + HALF_RATE_BATCH);
        WORKER_SPEEDS.iter().sum::<f64>() * BASE_TOKENS_PER_SECOND * full
    }

    pub fn accelerators() -> f64 {
        WORKER_SPEEDS.len() as f64
    }
}
