//! Test fixture: a deployment of two data centres and a router in the first one.

use std::sync::Arc;

use config::{
    ActiveConfig, BackendServer, DataCentre, Deployment, Limits, Model, Priority, Service,
    ServiceKind,
};
use route::{
    Action, Event, Failure, Fingerprint, Liveness, Router, RoutingRequest, Settings, SuspectRecord,
    Target,
};
use types::{
    BackendId, Bytes, Code, ConfigVersion, Deadline, Incarnation, Instant, LoadReport, Micros,
    RequestId, Resident, RetryReason,
};

pub const LOCAL: [&str; 3] = ["w1", "w2", "w3"];

/// Maximum number of requests in flight on one server of the fixture.
pub const LIMIT: u32 = 4;

fn service(name: &str, kind: ServiceKind) -> Service {
    Service {
        name: name.parse().expect("a name"),
        kind,
        priority: Priority::new(1),
        deadline: Micros::from_secs(5),
        max_deadline: Micros::from_secs(60),
        first_token: Micros::from_millis(490),
        between_tokens: Micros::from_millis(26),
        idempotent: kind == ServiceKind::Model,
    }
}

pub fn server(id: &str, dc: &str, service: &str) -> BackendServer {
    BackendServer {
        id: id.parse().expect("a name"),
        dc: dc.parse().expect("a name"),
        service: service.parse().expect("a name"),
        memory: Bytes::new(80 << 30),
        adapter_pool: Bytes::ZERO,
        accelerators: 1,
        speed: 1.0,
        max_in_flight: LIMIT,
        fences: false,
    }
}

/// Returns a deployment with workers `w1` to `w3` in data centre `a` and `w9` in `b`, and servers
/// `p1` in `a` and `p2` in `b` for the plain service `orders`.
pub fn deployment() -> Deployment {
    let dc = |id: &str| DataCentre {
        id: id.parse().expect("a name"),
        region: "r".parse().expect("a name"),
    };
    let model = |id: &str| Model {
        id: id.parse().expect("a name"),
        version: "v1".parse().expect("a name"),
        service: "chat".parse().expect("a name"),
        bytes: Bytes::new(1 << 30),
        priority: Priority::new(1),
    };
    Deployment {
        limits: Limits {
            queue: 8,
            ..Limits::default()
        },
        data_centres: vec![dc("a"), dc("b")],
        services: vec![
            service("chat", ServiceKind::Model),
            service("orders", ServiceKind::Plain),
        ],
        models: vec![model("m1"), model("m2")],
        backends: vec![
            server("p1", "a", "orders"),
            server("p2", "b", "orders"),
            server("w1", "a", "chat"),
            server("w2", "a", "chat"),
            server("w3", "a", "chat"),
            server("w9", "b", "chat"),
        ],
        ..Deployment::default()
    }
}

/// Router with its clock and the actions of the last step.
pub struct Host {
    pub router: Router,
    pub now: Instant,
    pub out: Vec<Action>,
    sent: Vec<(RequestId, Fingerprint)>,
    next: u128,
}

impl Host {
    /// Creates a host whose local workers all hold `m1`.
    pub fn new(change: impl FnOnce(&mut Settings)) -> Self {
        let mut host = Self::empty(change);
        for worker in LOCAL {
            host.report(worker, 1, 0, &["m1"]);
        }
        host
    }

    /// Creates a host without any report from a worker.
    pub fn empty(change: impl FnOnce(&mut Settings)) -> Self {
        Self::seeded(1, change)
    }

    pub fn seeded(seed: u64, change: impl FnOnce(&mut Settings)) -> Self {
        let mut cfg = Settings {
            dc: Some("a".parse().expect("a name")),
            ..Settings::default()
        };
        change(&mut cfg);
        let mut host = Self {
            router: Router::new(cfg, seed),
            now: Instant::from_micros(1_000_000),
            out: Vec::new(),
            sent: Vec::new(),
            next: 0,
        };
        host.configure(1, deployment());
        host
    }

    pub fn configure(&mut self, version: u64, deployment: Deployment) {
        self.step(Event::Config(in_force(version, deployment)));
    }

    pub fn step(&mut self, event: Event) {
        self.out.clear();
        self.router.step(self.now, event, &mut self.out);
    }

    pub fn advance(&mut self, millis: u64) {
        self.now = self.now + Micros::from_millis(millis);
        self.step(Event::Tick);
    }

    pub fn report(&mut self, worker: &str, incarnation: u64, in_flight: u32, models: &[&str]) {
        self.report_aged(worker, incarnation, in_flight, models, 0);
    }

    pub fn report_aged(
        &mut self,
        worker: &str,
        incarnation: u64,
        in_flight: u32,
        models: &[&str],
        age_ms: u64,
    ) {
        self.step(Event::Report {
            backend: id(worker),
            report: load_report(incarnation, in_flight, models, age_ms),
        });
    }

    /// Returns an idempotent request for `m1` with a deadline in five seconds.
    pub fn request(&mut self) -> RoutingRequest {
        self.next += 1;
        RoutingRequest {
            id: RequestId::new(self.next),
            fingerprint: Fingerprint::new(self.next),
            service: "chat".parse().expect("a name"),
            target: model("m1"),
            priority: Priority::new(1),
            deadline: Deadline::after(self.now, Micros::from_secs(5)),
            idempotent: true,
            prompt_tokens: 0,
            output_tokens: 50,
            prefixes: Vec::new(),
            forwarded: false,
            options: route::RequestOptions::default(),
        }
    }

    pub fn send(&mut self, change: impl FnOnce(&mut RoutingRequest)) -> RequestId {
        let mut request = self.request();
        change(&mut request);
        let id = request.id;
        self.sent.push((id, request.fingerprint));
        self.step(Event::Arrive(request));
        id
    }

    pub fn fingerprint(&self, id: RequestId) -> Option<Fingerprint> {
        self.sent.iter().find(|s| s.0 == id).map(|s| s.1)
    }

    pub fn finish(&mut self, id: RequestId) {
        self.step(Event::Finished {
            id,
            tokens: 50,
            ok: true,
            is_harmless: true,
        });
    }

    pub fn fail(&mut self, id: RequestId, reason: RetryReason, may_have_run: bool) {
        self.step(Event::Failed {
            id,
            failure: Failure {
                reason,
                may_have_run,
                answered: false,
                resumes: false,
            },
        });
    }

    pub fn set(&mut self, backend: &str, liveness: Liveness) {
        self.step(Event::Liveness {
            backend: id(backend),
            liveness,
        });
    }

    pub fn crash(&mut self, backend: &str, incarnation: u64) {
        self.step(Event::Crashed {
            backend: id(backend),
            incarnation: Incarnation::new(incarnation),
        });
    }

    /// Returns the dispatches of the last step.
    pub fn dispatched(&self) -> Vec<(RequestId, String)> {
        let each = self.out.iter().filter_map(|a| match a {
            Action::Dispatch { id, backend, .. } => Some((*id, backend.to_string())),
            _ => None,
        });
        each.collect()
    }

    /// Returns the refusals of the last step.
    pub fn refused(&self) -> Vec<(RequestId, Code)> {
        let each = self.out.iter().filter_map(|a| match a {
            Action::Refuse { id, code, .. } => Some((*id, *code)),
            _ => None,
        });
        each.collect()
    }

    /// Returns the time after which a request that was refused in the last step should return.
    pub fn retry_after(&self, refused: RequestId) -> Option<Micros> {
        self.out.iter().find_map(|a| match a {
            Action::Refuse {
                id, retry_after, ..
            } if *id == refused => *retry_after,
            _ => None,
        })
    }

    /// Returns the request for a suspect slot in the last step.
    pub fn slot_requested(&self) -> Option<(RequestId, String)> {
        self.out.iter().find_map(|a| match a {
            Action::RequestSlot { id, backend, .. } => Some((*id, backend.to_string())),
            _ => None,
        })
    }

    /// Returns the suspect records shared in the last step.
    pub fn shared(&self) -> Vec<SuspectRecord> {
        let each = self.out.iter().filter_map(|a| match a {
            Action::ShareSuspects(records) => Some(records.clone()),
            _ => None,
        });
        each.flatten().collect()
    }
}

pub fn in_force(version: u64, deployment: Deployment) -> Arc<ActiveConfig> {
    Arc::new(ActiveConfig {
        version: ConfigVersion::new(version),
        deployment: Arc::new(deployment),
    })
}

pub fn load_report(
    incarnation: u64,
    in_flight: u32,
    models: &[&str],
    age_ms: u64,
) -> Arc<LoadReport> {
    let resident = |name: &&str| Resident {
        name: (*name).to_owned(),
        version: "v1".parse().expect("a name"),
        bytes: Bytes::new(1 << 30),
        adapter: false,
    };
    Arc::new(LoadReport {
        incarnation: Incarnation::new(incarnation),
        leaving: false,
        memory: Bytes::ZERO,
        used: Bytes::ZERO,
        in_flight,
        queued: 0,
        tokens_per_second: 0.0,
        residents: models.iter().map(resident).collect(),
        orders: Vec::new(),
        age_ms,
        fence: types::Epoch::default(),
    })
}

pub fn id(name: &str) -> BackendId {
    name.parse().expect("a name")
}

pub fn model(name: &str) -> Target {
    Target::Model {
        model: name.parse().expect("a name"),
        adapter: None,
    }
}

/// Changes a request to a non-idempotent one for the plain service.
pub fn order(request: &mut RoutingRequest) {
    request.service = "orders".parse().expect("a name");
    request.target = Target::Plain;
    request.idempotent = false;
}
