//! Entry host: what its tasks share, and how it is put together from the settings.

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
use report::DataCentreStatus;
use route::Router;
use store::HttpPlatform;
use tokio::{net::TcpListener, sync::mpsc};
use types::{BackendId, DataCentreId, HostId, LoadReport, Millicores, Monotonic};

use crate::{
    error::{Error, Result, internal},
    facts::Reporter,
    links::{ControlPeers, Elsewhere, Engines, Exchange, GatePeers, Served, Servers},
    poll::Changed,
};

/// Tokens a second that a worker of speed one generates at full load, until it is measured.
const BASE_TOKENS_PER_SECOND: f64 = 400.0;

/// Reports of the controller that may wait for the router.
const REPORT_BACKLOG: usize = 256;

/// Bounds the question for another data centre's facts, so that a report comes within seconds.
const REPORT_TIMEOUT: Duration = Duration::from_millis(750);

/// HTTP API of this process.
pub(crate) type HostGate = Gate<Router, GatePeers, HttpPlatform, Reporter>;

/// Everything that the tasks of an entry host share.
#[derive(Debug)]
pub(crate) struct Host {
    pub(crate) id: HostId,
    pub(crate) dc: DataCentreId,
    pub(crate) clock: Monotonic,
    pub(crate) client: Client,
    pub(crate) servers: Servers,
    pub(crate) elsewhere: Elsewhere,
    pub(crate) changed: Changed,
    pub(crate) exchange: Exchange,
    pub(crate) control: control::Handle,
    pub(crate) gate: Arc<HostGate>,
    platform: HttpPlatform,
    peer_token: Secret,
    reports: reqwest::Client,
    pub(crate) draining: AtomicBool,
}

impl Host {
    pub(crate) fn platform_is_away(&self) -> bool {
        self.platform.is_unavailable()
    }

    /// Asks another entry host for the facts of its data centre.
    pub(crate) async fn ask_local(&self, addr: SocketAddr) -> Option<DataCentreStatus> {
        let url = format!("http://{addr}/report/local");
        let req = self.reports.get(url).bearer_auth(self.peer_token.expose());
        req.send().await.ok()?.json().await.ok()
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }
}

pub(crate) type HostController = Controller<HttpPlatform, Monotonic, Engines, ControlPeers>;

/// Parts of an entry host that is ready to run.
#[derive(Debug)]
pub(crate) struct Assembly {
    pub(crate) host: Arc<Host>,
    pub(crate) controller: HostController,
    /// Updates from peers for the router.
    pub(crate) news: mpsc::Receiver<PeerUpdate>,
    /// Load reports that the controller read.
    pub(crate) reported: mpsc::Receiver<(BackendId, LoadReport)>,
}

/// Makes every part of an entry host; nothing runs yet but the exchange.
pub(crate) async fn assemble(
    settings: &HostSettings,
    listener: &TcpListener,
    metrics: PrometheusHandle,
) -> Result<Assembly> {
    let clock = Monotonic::start();
    let platform = HttpPlatform::new(&settings.platform_url, settings.platform_token.expose())?;
    let client = Client::new().map_err(internal)?;
    let servers = Servers::default();
    let elsewhere = Elsewhere::default();
    let served = Served::default();
    let http = listener.local_addr().map_err(internal)?;
    let options = exchange_options(settings, settings.advertise_http.unwrap_or(http));
    let (exchange, news) = peer::start(options, platform.clone(), clock, served.clone())
        .await
        .map_err(Error::usage)?;
    let (reports, from_controller) = mpsc::channel(REPORT_BACKLOG);
    let engines = Engines {
        client: client.clone(),
        servers: servers.clone(),
        reports,
    };
    let peers = ControlPeers {
        dc: settings.dc.clone(),
        exchange: exchange.clone(),
        clock,
        elsewhere: elsewhere.clone(),
        absent: Arc::default(),
    };
    let (controller, control) = Controller::new(
        platform.clone(),
        clock,
        engines,
        peers,
        control_settings(settings),
    );
    served.set(control.clone());
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
        elsewhere,
        changed: Changed::default(),
        exchange,
        control,
        gate,
        platform,
        peer_token: settings.peer_token.clone(),
        reports: report_client()?,
        draining: AtomicBool::new(false),
    });
    reporter.set(Arc::clone(&host));
    Ok(Assembly {
        host,
        controller,
        news,
        reported: from_controller,
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
    // `apply` refuses what can't be placed; a file that got through leaves placement as it is.
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
