//! Entry host: the state that its tasks share, and its construction from the settings.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use config::{Deployment, HostSettings, Secret};
use control::{Controller, Planner};
use engine::Client;
use gate::{Gate, GateParts};
use metrics_exporter_prometheus::PrometheusHandle;
use peer::{ConfigSource, Options, PeerUpdate};
use place::Placement;
use rand::Rng;
use report::LocalFacts;
use route::Router;
use store::HttpPlatform;
use tokio::{net::TcpListener, sync::mpsc};
use types::{BackendId, DataCentreId, HostId, LoadReport, Millicores, Monotonic};

use crate::{
    error::{Error, Result, internal},
    integration::{
        ControlBackends, ControlPeers, Exchange, GatePeers, PeerRequestHandler, RemoteModels,
        Servers,
    },
    poll::StaleBackends,
    reporter::Reporter,
};

/// Assumed tokens per second of a worker of speed one at full load, until it is measured.
const BASE_TOKENS_PER_SECOND: f64 = 400.0;

/// Capacity of the queue of load reports from the controller to the router.
const REPORT_QUEUE_CAPACITY: usize = 256;

/// Timeout of a request for another data centre's facts, so that a report takes only seconds.
const REPORT_TIMEOUT: Duration = Duration::from_millis(750);

/// HTTP API of this process.
pub(crate) type HostGate = Gate<Router, GatePeers, HttpPlatform, Reporter>;

/// State that the tasks of an entry host share.
#[derive(Debug)]
pub(crate) struct Host {
    pub(crate) id: HostId,
    pub(crate) dc: DataCentreId,
    pub(crate) clock: Monotonic,
    pub(crate) client: Client,
    pub(crate) servers: Servers,
    pub(crate) remote_models: RemoteModels,
    pub(crate) stale_backends: StaleBackends,
    pub(crate) exchange: Exchange,
    pub(crate) control: control::Handle,
    pub(crate) gate: Arc<HostGate>,
    platform: HttpPlatform,
    peer_token: Secret,
    report_client: reqwest::Client,
    pub(crate) draining: AtomicBool,
}

impl Host {
    pub(crate) fn is_platform_unavailable(&self) -> bool {
        self.platform.is_unavailable()
    }

    /// Fetches from another entry host the facts of its data centre.
    pub(crate) async fn fetch_local_facts(&self, addr: SocketAddr) -> Option<LocalFacts> {
        let url = format!("http://{addr}/report/local");
        let req = self
            .report_client
            .get(url)
            .bearer_auth(self.peer_token.expose());
        req.send().await.ok()?.json().await.ok()
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }
}

pub(crate) type HostController = Controller<HttpPlatform, Monotonic, ControlBackends, ControlPeers>;

/// Parts of an entry host whose tasks have not been started.
#[derive(Debug)]
pub(crate) struct HostParts {
    pub(crate) host: Arc<Host>,
    pub(crate) controller: HostController,
    /// Updates from peers for the router.
    pub(crate) updates: mpsc::Receiver<PeerUpdate>,
    /// Load reports that the controller fetched.
    pub(crate) reports: mpsc::Receiver<(BackendId, LoadReport)>,
}

/// Builds every part of an entry host; of them only the peer exchange runs already.
pub(crate) async fn build(
    settings: &HostSettings,
    listener: &TcpListener,
    metrics: PrometheusHandle,
) -> Result<HostParts> {
    let clock = Monotonic::start();
    let platform = HttpPlatform::new(&settings.platform_url, settings.platform_token.expose())?;
    let client = Client::new().map_err(internal)?;
    let servers = Servers::default();
    let remote_models = RemoteModels::default();
    let peer_requests = PeerRequestHandler::default();
    let http = listener.local_addr().map_err(internal)?;
    let options = exchange_options(settings, settings.advertise_http.unwrap_or(http));
    let (exchange, updates) = peer::start(options, platform.clone(), clock, peer_requests.clone())
        .await
        .map_err(Error::usage)?;
    let (reports, controller_reports) = mpsc::channel(REPORT_QUEUE_CAPACITY);
    let backends = ControlBackends {
        client: client.clone(),
        servers: servers.clone(),
        reports,
    };
    let peers = ControlPeers {
        dc: settings.dc.clone(),
        exchange: exchange.clone(),
        clock,
        remote_models: remote_models.clone(),
        absent_since: Arc::default(),
    };
    let (controller, control) = Controller::new(
        platform.clone(),
        clock,
        backends,
        peers,
        control_settings(settings),
    );
    peer_requests.set(control.clone());
    let reporter = Reporter::default();
    let gate = Gate::new(GateParts {
        clock,
        router: router(settings),
        peers: GatePeers {
            exchange: exchange.clone(),
            host: settings.host.clone(),
        },
        platform: platform.clone(),
        reporter: reporter.clone(),
        metrics,
        owner: claim::Owner {
            host: settings.host.clone(),
            incarnation: exchange.incarnation(),
        },
        engine: client.clone(),
        host_token: settings.peer_token.expose().to_owned(),
        operator_token: settings
            .operator_token
            .as_ref()
            .map(|token| token.expose().to_owned()),
    })
    .map_err(internal)?;
    let host = Arc::new(Host {
        id: settings.host.clone(),
        dc: settings.dc.clone(),
        clock,
        client,
        servers,
        remote_models,
        stale_backends: StaleBackends::default(),
        exchange,
        control,
        gate,
        platform,
        peer_token: settings.peer_token.clone(),
        report_client: report_client()?,
        draining: AtomicBool::new(false),
    });
    reporter.set(Arc::clone(&host));
    Ok(HostParts {
        host,
        controller,
        updates,
        reports: controller_reports,
    })
}

fn report_client() -> Result<reqwest::Client> {
    reqwest::Client::builder()
        .timeout(REPORT_TIMEOUT)
        .no_proxy()
        .build()
        .map_err(internal)
}

fn exchange_options(settings: &HostSettings, http: SocketAddr) -> Options {
    Options {
        host: settings.host.clone(),
        dc: settings.dc.clone(),
        listen: settings.listen_peers,
        advertise: settings.advertise_peers,
        http,
        capacity: Millicores::default(),
        seeds: settings.seeds.clone(),
        token: settings.peer_token.clone(),
        period: settings.tuning.exchange_period,
        config_source: ConfigSource::Relay,
    }
}

fn control_settings(settings: &HostSettings) -> control::Settings {
    control::Settings {
        host: settings.host.clone(),
        dc: settings.dc.clone(),
        lease_duration: settings.tuning.lease_duration,
        seed: rand::rng().next_u64(),
        base_tokens_per_second: BASE_TOKENS_PER_SECOND,
        planner: Planner {
            plan: place::plan,
            floor,
        },
    }
}

fn router(settings: &HostSettings) -> Router {
    let cfg = route::Settings {
        dc: Some(settings.dc.clone()),
        base_tokens_per_second: BASE_TOKENS_PER_SECOND,
        ..route::Settings::default()
    };
    Router::new(cfg, rand::rng().next_u64())
}

/// Returns the floor's copies in one data centre, sorted.
fn floor(deployment: &Deployment, dc: &DataCentreId) -> Vec<Placement> {
    // `apply` rejects a deployment that can't be placed. Without a floor, placement stays as it is.
    let mut copies =
        place::floor(deployment, place::memory_headroom(deployment)).unwrap_or_default();
    copies.retain(|copy| {
        let at = deployment
            .backends
            .binary_search_by(|b| b.id.cmp(&copy.worker));
        at.is_ok_and(|at| deployment.backends[at].dc == *dc)
    });
    copies
}
