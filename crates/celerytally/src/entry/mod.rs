//! Entry host on the platform whose settings the environment names.

mod beacons;
mod beliefs;
mod follow;
mod logs;
mod peers;
mod source;
mod stop;
mod targets;

use std::{env, path::PathBuf, process::ExitCode, sync::Arc};

use config::EntrySettings;
use control::{FleetController, FleetHandle, FleetSettings};
use engine::Pool;
use gate::{Proxy, ProxyParts};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use peer::{ConfigSource, DatagramSocket, Options, PeerUpdate};
use platform::{Headers, Objects, Workers};
use rand::Rng;
use route::{LatencyMetric, RetryLimits, Router};
use tokio::{net::TcpListener, sync::mpsc::Receiver, task::JoinHandle};
use tokio_util::sync::CancellationToken;
use types::{AttemptId, BootTime, Micros, Monotonic};

use crate::{
    entry::{
        beacons::Loads,
        beliefs::Beliefs,
        peers::{EntryPeers, Exchange, Served},
    },
    error::{Error, Result, internal},
};

/// Share of the retry budget that is left unused, for hosts that do not yet know of each other.
const RETRY_RESERVE: f64 = 0.8;

/// Time in which a model that is nowhere resident is loaded.
const LOAD_ON_DEMAND: Micros = Micros::from_millis(600);

/// Duration of the lease of the placement controller.
const LEASE: Micros = Micros::from_millis(2_500);

/// Time between two rounds of the exchange with peers.
const EXCHANGE_PERIOD: Micros = Micros::from_millis(700);

/// Time after which a model or adapter that is still missing is asked for again.
const WANT_AGAIN: Micros = Micros::from_millis(250);

/// Time in which the smoothed demand for a model halves.
const DEMAND_HALF_LIFE: Micros = Micros::from_secs(2);

/// Entry for callers on the platform.
pub(crate) type EntryProxy = Proxy<Router, EntryPeers, Headers>;

/// Runs an entry host until SIGTERM, then drains it.
pub(crate) async fn run() -> Result<ExitCode> {
    let signals = stop::Signals::listen()?;
    let path = env::var_os(platform::SETTINGS_VARIABLE).map(PathBuf::from);
    let path = path.ok_or_else(|| {
        let variable = platform::SETTINGS_VARIABLE;
        Error::usage(format!("the environment variable `{variable}` is not set"))
    })?;
    let settings = platform::settings(&path).map_err(Error::usage)?;
    let (_flushes, dropped) = logs::start();
    let metrics = PrometheusBuilder::new()
        .install_recorder()
        .map_err(internal)?;
    tracing::info!(host = %settings.host, dc = %settings.dc, "entry host started");
    tokio::spawn(logs::tell_dropped(dropped));

    let objects = Objects::new(settings.platform);
    let pool = Pool::new();
    let served = Served::default();
    let (exchange, news) = exchange(&settings, &objects, served.clone()).await?;
    let (controller, control) = controller(&settings, &objects, &pool);
    let proxy = Proxy::new(ProxyParts {
        clock: Monotonic::start(),
        router: router(&settings),
        peers: EntryPeers {
            exchange: exchange.clone(),
            control: control.clone(),
        },
        codec: Headers,
        pool,
    });
    let beliefs = Beliefs::new(
        proxy.clone(),
        settings.data_centres.clone(),
        settings.beacons.port(),
    );
    let beliefs = Arc::new(beliefs);
    beliefs.set_control(control.clone());
    served.set(control.clone(), Arc::clone(&beliefs));
    tokio::spawn(peers::news(news, Arc::clone(&beliefs)));
    let stop = CancellationToken::new();
    let controller = tokio::spawn(controller.run(stop.clone()));
    follow_all(&settings, &objects, &exchange, &control, &beliefs).await?;
    let accepting = serve(&settings, &proxy, metrics).await?;

    stop::when_told(signals, &path, &settings, &proxy, &exchange, &stop).await?;
    accepting.await.map_err(internal)?;
    controller.await.map_err(internal)?;
    exchange.stop();
    tracing::info!(host = %settings.host, "entry host stopped");
    Ok(ExitCode::SUCCESS)
}

async fn exchange(
    settings: &EntrySettings,
    objects: &Objects,
    served: Served,
) -> Result<(Exchange, Receiver<PeerUpdate>)> {
    let options = Options {
        host: settings.host.clone(),
        dc: settings.dc.clone(),
        listen: settings.peers,
        advertise: None,
        http: settings.callers,
        capacity: settings.resources.cpu,
        seeds: settings.seeds.clone(),
        token: peers::token(),
        period: EXCHANGE_PERIOD,
        config_source: ConfigSource::Process,
    };
    let started = peer::start(options, objects.clone(), BootTime, served).await;
    let (exchange, news) = started.map_err(Error::usage)?;
    Ok((exchange, news))
}

type HostController = FleetController<Objects, Workers>;

fn controller(
    settings: &EntrySettings,
    objects: &Objects,
    pool: &Pool,
) -> (HostController, FleetHandle) {
    let fleet = FleetSettings {
        host: settings.host.clone(),
        lease_duration: LEASE,
        takeover_delay: settings.bounds.takeover_delay,
        load_window: settings.bounds.load_window,
        attempt: AttemptId::random(&mut rand::rng()),
    };
    FleetController::new(objects.clone(), Workers::new(pool.clone()), fleet)
}

/// Starts the tasks that follow the platform and the other entry hosts.
async fn follow_all(
    settings: &EntrySettings,
    objects: &Objects,
    exchange: &Exchange,
    control: &FleetHandle,
    beliefs: &Arc<Beliefs>,
) -> Result<()> {
    let beacons = DatagramSocket::bind(settings.beacons)
        .await
        .map_err(Error::usage)?;
    let place = (settings.host.clone(), settings.dc.clone());
    let loads = Loads::new(
        beacons,
        place,
        exchange.clone(),
        control.clone(),
        Arc::clone(beliefs),
    );
    let (exchange, control) = (|| exchange.clone(), || control.clone());
    let shared = || Arc::clone(beliefs);
    let place = (settings.host.clone(), settings.dc.clone());
    let slack = settings.bounds.min_retries;
    tokio::spawn(follow::configuration(objects.clone(), shared()));
    tokio::spawn(follow::registrations(objects.clone(), shared()));
    tokio::spawn(follow::clock(shared()));
    tokio::spawn(peers::members(exchange(), control(), shared(), slack));
    tokio::spawn(peers::own_state(exchange(), control(), shared()));
    tokio::spawn(source::follow(
        place,
        settings.first_start,
        exchange(),
        shared(),
    ));
    tokio::spawn(Arc::clone(&loads).send());
    tokio::spawn(loads.receive());
    Ok(())
}

/// Starts to serve callers, the balancer and the metrics page.
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

fn router(settings: &EntrySettings) -> Router {
    let bounds = &settings.bounds;
    let cfg = route::Settings {
        dc: None,
        preferred_dc: Some(settings.dc.clone()),
        sampled_candidates: 0,
        deadline_margin: 1.0,
        latency_metric: LatencyMetric::FirstToken,
        retry_limits: Some(RetryLimits {
            window: bounds.retry_window,
            ratio: bounds.retry_ratio * RETRY_RESERVE,
            slack: 0.0,
        }),
        placement_retry_interval: WANT_AGAIN,
        load_on_demand: Some(LOAD_ON_DEMAND),
        demand_half_life: DEMAND_HALF_LIFE,
        suspect_slots: false,
        forwarding: false,
        ..route::Settings::default()
    };
    Router::new(cfg, rand::rng().next_u64())
}
