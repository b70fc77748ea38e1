//! Entry host on the users' platform; an environment variable names the file of its settings.

mod account_usage;
mod announcements;
mod beacons;
mod configuration;
mod crashes;
mod download;
mod facts;
mod fleet_state;
mod logs;
mod peers;
mod reads;
mod shutdown;
mod source;
mod targets;
mod timing;
mod watch;

use std::{env, path::PathBuf, process::ExitCode, sync::Arc};

use config::{Bounds, EntrySettings};
use control::{FleetController, FleetHandle, FleetSettings};
use engine::Pool;
use gate::{Proxy, ProxyParts, Quotas};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use peer::{ConfigSource, DatagramSocket, Options, PeerUpdate};
use platform::{HttpWorkerClient, ObjectClient, PlatformHeaderCodec};
use quota::Tolerance;
use rand::Rng;
use route::{LatencyMetric, RetryLimits, Router};
use tokio::{
    net::TcpListener,
    sync::mpsc::{self, Receiver},
    task::JoinHandle,
};
use tokio_util::sync::CancellationToken;
use types::{Announcement, AttemptId, BootTime, Clock, Micros, Monotonic};

use crate::{
    entry::{
        account_usage::AccountUsageExchange,
        announcements::ANNOUNCEMENT_CAPACITY,
        beacons::LoadExchange,
        crashes::{CRASH_UPDATE_CAPACITY, CrashBroadcaster},
        download::Downloader,
        fleet_state::FleetState,
        peers::{EntryPeers, Exchange, PeerRequestHandler},
        timing::FactsTiming,
    },
    error::{Error, Result, internal},
};

/// Share of the retry budget that hosts use; the rest is a reserve for hosts that do not yet know
/// of each other.
const RETRY_BUDGET_SHARE: f64 = 0.8;

/// Expected time to load a model that is not resident anywhere.
const LOAD_ON_DEMAND: Micros = Micros::from_millis(600);

/// Duration of the lease of the placement controller.
const LEASE_DURATION: Micros = Micros::from_millis(2_500);

/// Period of the exchange with peers.
const EXCHANGE_PERIOD: Micros = Micros::from_millis(700);

/// Time after which a model or adapter that is still missing is requested again.
const PLACEMENT_RETRY_INTERVAL: Micros = Micros::from_millis(250);

/// Half-life of the smoothed demand for a model.
const DEMAND_HALF_LIFE: Micros = Micros::from_secs(2);

/// Proxy for callers on the users' platform.
pub(crate) type EntryProxy = Proxy<Router, EntryPeers, PlatformHeaderCodec>;

/// Runs an entry host until SIGTERM, then drains it.
pub(crate) async fn run() -> Result<ExitCode> {
    let signals = shutdown::Signals::register()?;
    let path = env::var_os(platform::SETTINGS_VARIABLE).map(PathBuf::from);
    let path = path.ok_or_else(|| {
        let variable = platform::SETTINGS_VARIABLE;
        Error::usage(format!("the environment variable `{variable}` is not set"))
    })?;
    let settings = platform::read_settings(&path).map_err(Error::usage)?;
    let (_guard, dropped) = logs::init();
    let metrics = PrometheusBuilder::new()
        .install_recorder()
        .map_err(internal)?;
    tracing::info!(host = %settings.host, dc = %settings.dc, "entry host started");
    tokio::spawn(logs::report_dropped(dropped));

    let objects = ObjectClient::new(settings.platform);
    let pool = Pool::new();
    let peer_requests = PeerRequestHandler::default();
    let (exchange, updates) = start_exchange(&settings, &objects, peer_requests.clone()).await?;
    let (announced, announcements) = mpsc::channel(ANNOUNCEMENT_CAPACITY);
    let (crashes, crash_updates) = mpsc::channel(CRASH_UPDATE_CAPACITY);
    let (controller, control) = build_controller(&settings, &objects, &pool, announced.clone());
    let proxy = Proxy::new(ProxyParts {
        clock: Monotonic::start(),
        router: build_router(&settings),
        peers: EntryPeers {
            exchange: exchange.clone(),
            control: control.clone(),
            announcements: announced,
            crashes,
        },
        codec: PlatformHeaderCodec,
        pool,
        quotas: Quotas::new(quota_tolerance(&settings.bounds), BootTime.now()),
    });
    let fleet = FleetState::new(
        proxy.clone(),
        settings.data_centres.clone(),
        settings.beacons.port(),
        FactsTiming::from(&settings.bounds),
    );
    let fleet = Arc::new(fleet);
    fleet.set_control(control.clone());
    peer_requests.set(control.clone(), Arc::clone(&fleet));
    tokio::spawn(peers::forward_suspects(updates, Arc::clone(&fleet)));
    tokio::spawn(announcements::apply_all(announcements, Arc::clone(&fleet)));
    let stop = CancellationToken::new();
    let controller = tokio::spawn(controller.run(stop.clone()));
    let socket = DatagramSocket::bind(settings.beacons)
        .await
        .map_err(Error::usage)?;
    let socket = Arc::new(socket);
    let broadcaster =
        CrashBroadcaster::new(Arc::clone(&socket), exchange.clone(), Arc::clone(&fleet));
    tokio::spawn(broadcaster.run(crash_updates));
    spawn_tasks(&settings, &objects, &exchange, &control, (socket, &fleet));
    let accepting = serve(&settings, &proxy, metrics).await?;

    shutdown::wait_and_drain(signals, &path, &settings, &proxy, &exchange, &stop).await?;
    accepting.await.map_err(internal)?;
    controller.await.map_err(internal)?;
    exchange.stop();
    tracing::info!(host = %settings.host, "entry host stopped");
    Ok(ExitCode::SUCCESS)
}

async fn start_exchange(
    settings: &EntrySettings,
    objects: &ObjectClient,
    peer_requests: PeerRequestHandler,
) -> Result<(Exchange, Receiver<PeerUpdate>)> {
    let options = Options {
        host: settings.host.clone(),
        dc: settings.dc.clone(),
        listen: settings.peers,
        advertise: settings.advertise_peers,
        http: settings.callers,
        capacity: settings.resources.cpu,
        seeds: settings.seeds.clone(),
        token: peers::token(),
        period: EXCHANGE_PERIOD,
        config_source: ConfigSource::Process,
    };
    let started = peer::start(options, objects.clone(), BootTime, peer_requests).await;
    let (exchange, updates) = started.map_err(Error::usage)?;
    Ok((exchange, updates))
}

type HostController = FleetController<ObjectClient, HttpWorkerClient>;

fn build_controller(
    settings: &EntrySettings,
    objects: &ObjectClient,
    pool: &Pool,
    announced: mpsc::Sender<Announcement>,
) -> (HostController, FleetHandle) {
    let fleet = FleetSettings {
        host: settings.host.clone(),
        lease_duration: LEASE_DURATION,
        takeover_delay: settings.bounds.takeover_delay,
        load_window: settings.bounds.load_window,
        attempt: AttemptId::random(&mut rand::rng()),
    };
    let workers = HttpWorkerClient::new(pool.clone());
    FleetController::new(objects.clone(), workers, fleet, announced)
}

/// Spawns the tasks that watch the platform and the other entry hosts.
fn spawn_tasks(
    settings: &EntrySettings,
    objects: &ObjectClient,
    exchange: &Exchange,
    control: &FleetHandle,
    (socket, fleet): (Arc<DatagramSocket>, &Arc<FleetState>),
) {
    let location = (settings.host.clone(), settings.dc.clone());
    let accounts = AccountUsageExchange::new(
        settings.host.clone(),
        settings.dc.clone(),
        quota_tolerance(&settings.bounds).window,
    );
    let load_exchange = LoadExchange::new(
        (socket, accounts),
        location,
        exchange.clone(),
        control.clone(),
        Arc::clone(fleet),
    );
    let (exchange, control) = (|| exchange.clone(), || control.clone());
    let fleet = || Arc::clone(fleet);
    let location = (settings.host.clone(), settings.dc.clone());
    let slack = settings.bounds.min_retries;
    tokio::spawn(watch::configuration(objects.clone(), fleet()));
    tokio::spawn(watch::registrations(objects.clone(), fleet()));
    tokio::spawn(watch::clock(fleet()));
    tokio::spawn(peers::watch_members(exchange(), control(), fleet(), slack));
    tokio::spawn(peers::publish_own_state(exchange(), control(), fleet()));
    tokio::spawn(peers::watch_holder(exchange(), control()));
    tokio::spawn(source::run(
        location,
        settings.first_start,
        exchange(),
        fleet(),
    ));
    let dc = settings.dc.clone();
    let downloader = Downloader::new(dc, exchange(), objects.clone(), fleet());
    tokio::spawn(downloader.run());
    tokio::spawn(Arc::clone(&load_exchange).send());
    tokio::spawn(load_exchange.receive());
}

/// Starts the listeners for callers, readiness checks and metrics.
async fn serve(
    settings: &EntrySettings,
    proxy: &EntryProxy,
    metrics: PrometheusHandle,
) -> Result<JoinHandle<()>> {
    let callers = bind(settings, settings.callers).await?;
    let readiness = bind(settings, settings.readiness).await?;
    let page = bind(settings, settings.metrics).await?;
    let serving = proxy.clone();
    tokio::spawn(async move { serving.serve_readiness(readiness).await });
    let serving = proxy.clone();
    tokio::spawn(async move { serving.serve_metrics(page, metrics).await });
    let serving = proxy.clone();
    Ok(tokio::spawn(
        async move { serving.serve_callers(callers).await },
    ))
}

async fn bind(settings: &EntrySettings, addr: std::net::SocketAddr) -> Result<TcpListener> {
    let host = &settings.host;
    TcpListener::bind(addr)
        .await
        .map_err(|e| Error::usage(format!("host {host} can't listen on {addr}: {e}")))
}

/// Returns what the installation tolerates beyond the quotas of accounts.
fn quota_tolerance(bounds: &Bounds) -> Tolerance {
    let stated = bounds.quotas.map(|quotas| Tolerance {
        window: quotas.window,
        ratio: quotas.ratio,
        units: quotas.units,
    });
    stated.unwrap_or_default()
}

fn build_router(settings: &EntrySettings) -> Router {
    let bounds = &settings.bounds;
    let cfg = route::Settings {
        dc: None,
        preferred_dc: Some(settings.dc.clone()),
        sampled_candidates: 0,
        deadline_margin: 1.0,
        latency_metric: LatencyMetric::FirstToken,
        retry_limits: Some(RetryLimits {
            window: bounds.retry_window,
            ratio: bounds.retry_ratio * RETRY_BUDGET_SHARE,
            slack: 0.0,
        }),
        placement_retry_interval: PLACEMENT_RETRY_INTERVAL,
        load_on_demand: Some(LOAD_ON_DEMAND),
        demand_half_life: DEMAND_HALF_LIFE,
        suspect_slots: false,
        forwarding: false,
        ..route::Settings::default()
    };
    Router::new(cfg, rand::rng().next_u64())
}
