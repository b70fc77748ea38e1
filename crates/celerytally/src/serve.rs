//! Runs an entry host: wires the crates together and shuts them down in order.

use std::{
    net::SocketAddr,
    path::Path,
    process::ExitCode,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use config::{Deployment, HostSettings, InForce, LogFormat, Secret};
use control::{Controller, Event as ControlEvent, Planner};
use engine::{Client, Server};
use gate::{Gate, Parts};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use peer::{Host as ListedHost, Inventory, News, Options, OwnState, Spread};
use place::Copy;
use rand::Rng;
use report::LocalFacts;
use route::{Event, Liveness, Router};
use store::{HostRole, HostState, HttpPlatform};
use tokio::{
    net::TcpListener,
    signal::unix::{SignalKind, signal},
    sync::{mpsc, watch},
    task::JoinSet,
    time::{MissedTickBehavior, interval},
};
use tokio_util::sync::CancellationToken;
use tracing_subscriber::EnvFilter;
use types::{BackendId, DataCentreId, HostId, Monotonic};

use crate::{
    error::{Category, Error, Result},
    facts::Reporter,
    hints,
    links::{ControlPeers, Elsewhere, Engines, Exchange, GatePeers, Served, Servers},
    poll::{self, Changed},
    share, sweep,
};

/// Period of the router's clock, which bounds how late a queued request is refused.
const TICK: Duration = Duration::from_millis(50);

/// Period in which metrics are compacted.
const UPKEEP: Duration = Duration::from_secs(5);

/// Time that the balancer needs to see that the host is not ready.
const BALANCER_NOTICE: Duration = Duration::from_secs(2);

/// Time for which the exchange goes on after the last request, so that peers learn of the end.
const FAREWELL: Duration = Duration::from_millis(500);

/// Tokens a second that a worker of speed one generates at full load, until it is measured.
const BASE_TOKENS_PER_SECOND: f64 = 400.0;

/// Bounds the question for another data centre's facts, so that a report comes within seconds.
const REPORT_TIMEOUT: Duration = Duration::from_millis(750);

/// Crates whose log level the settings choose.
const OWN_CRATES: [&str; 6] = ["celerytally", "control", "engine", "gate", "peer", "store"];

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
    draining: AtomicBool,
}

impl Host {
    pub(crate) fn platform_is_away(&self) -> bool {
        self.platform.is_away()
    }

    /// Asks another entry host for the facts of its data centre.
    pub(crate) async fn ask_local(&self, addr: SocketAddr) -> Option<LocalFacts> {
        let url = format!("http://{addr}/report/local");
        let req = self.reports.get(url).bearer_auth(self.peer_token.expose());
        req.send().await.ok()?.json().await.ok()
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }
}

fn internal(e: impl std::fmt::Display) -> Error {
    Error::new(Category::Internal, e)
}

/// Runs an entry host until SIGTERM or SIGINT, then drains it.
pub(crate) async fn serve(file: &Path) -> Result<ExitCode> {
    let settings: HostSettings = config::from_path(file)?;
    start_logs(&settings);
    let metrics = start_metrics()?;
    let listener = bind(&settings).await?;
    let addr = listener.local_addr().map_err(internal)?;
    let stop = CancellationToken::new();
    let (host, news, controller) = assemble(&settings, &listener, metrics).await?;
    println!("listening http={addr} peer={}", host.exchange.listening());
    tracing::info!(host = %host.id, dc = %host.dc, http = %addr, "entry host started");

    let controller = tokio::spawn(controller.run(stop.clone()));
    let mut tasks = JoinSet::new();
    tasks.spawn(follow_config(Arc::clone(&host)));
    tasks.spawn(follow_inventory(Arc::clone(&host)));
    tasks.spawn(follow_news(Arc::clone(&host), news));
    tasks.spawn(poll::run(Arc::clone(&host)));
    tasks.spawn(share::run(Arc::clone(&host)));
    tasks.spawn(hints::run(Arc::clone(&host)));
    tasks.spawn(sweep::run(Arc::clone(&host)));
    tasks.spawn(tick(Arc::clone(&host)));
    let gate = Arc::clone(&host.gate);
    let server = tokio::spawn(async move { gate.serve(listener).await });

    wait_for_signal().await?;
    host.draining.store(true, Ordering::Relaxed);
    host.exchange.set_state(OwnState::Draining);
    stop.cancel();
    host.gate.drain(BALANCER_NOTICE).await;
    server.await.map_err(internal)?.map_err(internal)?;
    controller.await.map_err(internal)?;
    tokio::time::sleep(FAREWELL).await;
    host.exchange.stop();
    tracing::info!(host = %host.id, "entry host stopped");
    Ok(ExitCode::SUCCESS)
}

fn start_logs(settings: &HostSettings) {
    let level = settings.log_level;
    // Libraries log each broken connection, which the counters already show.
    let targets = OWN_CRATES.map(|name| format!("{name}={level}")).join(",");
    let filter = EnvFilter::new(format!("error,tarpc=off,{targets}"));
    let logs = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_ansi(false)
        .with_writer(std::io::stderr);
    match settings.log_format {
        LogFormat::Json => logs.json().init(),
        LogFormat::Text => logs.init(),
    }
}

fn start_metrics() -> Result<PrometheusHandle> {
    let handle = PrometheusBuilder::new()
        .install_recorder()
        .map_err(internal)?;
    let upkeep = handle.clone();
    tokio::spawn(async move {
        let mut ticks = interval(UPKEEP);
        loop {
            ticks.tick().await;
            upkeep.run_upkeep();
        }
    });
    Ok(handle)
}

async fn bind(settings: &HostSettings) -> Result<TcpListener> {
    let addr = settings.listen_http;
    TcpListener::bind(addr)
        .await
        .map_err(|e| Error::usage(format!("can't listen on {addr}: {e}")))
}

type HostController = Controller<HttpPlatform, Monotonic, Engines, ControlPeers>;

async fn assemble(
    settings: &HostSettings,
    listener: &TcpListener,
    metrics: PrometheusHandle,
) -> Result<(Arc<Host>, mpsc::Receiver<News>, HostController)> {
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
    let engines = Engines {
        client: client.clone(),
        servers: servers.clone(),
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
    let gate = Gate::new(Parts {
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
    Ok((host, news, controller))
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
        seeds: settings.seeds.clone(),
        token: settings.peer_token.clone(),
        period: settings.tuning.exchange_period,
        spread: Spread::Relay,
    }
}

fn control_settings(settings: &HostSettings) -> control::Settings {
    control::Settings {
        host: settings.host.clone(),
        dc: settings.dc.clone(),
        lease: settings.tuning.lease_duration,
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
fn floor(deployment: &Deployment, dc: &DataCentreId) -> Vec<Copy> {
    // `apply` refuses what can't be placed; a file that got through leaves placement as it is.
    let mut copies = place::floor(deployment, place::spare(deployment)).unwrap_or_default();
    copies.retain(|copy| {
        let at = deployment
            .backends
            .binary_search_by(|b| b.id.cmp(&copy.worker));
        at.is_ok_and(|at| deployment.backends[at].dc == *dc)
    });
    copies
}

async fn wait_for_signal() -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).map_err(internal)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(internal)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

async fn tick(host: Arc<Host>) {
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        host.gate.dispatcher().feed(Event::Tick);
    }
}

async fn follow_config(host: Arc<Host>) {
    let mut in_force: watch::Receiver<Option<Arc<InForce>>> = host.exchange.in_force();
    loop {
        let current = in_force.borrow_and_update().clone();
        if let Some(current) = current {
            tracing::info!(version = %current.version, "configuration in force");
            host.gate
                .dispatcher()
                .feed(Event::Config(Arc::clone(&current)));
            let event = ControlEvent::Config((*current).clone());
            drop(host.control.events.send(event).await);
            feed_inventory(&host).await;
            if !host.is_draining() {
                host.exchange.set_state(OwnState::Ready);
            }
        }
        if in_force.changed().await.is_err() {
            return;
        }
    }
}

async fn follow_inventory(host: Arc<Host>) {
    let mut inventory = host.exchange.inventory();
    loop {
        feed_inventory(&host).await;
        if inventory.changed().await.is_err() {
            return;
        }
        inventory.mark_unchanged();
    }
}

/// Tells the router and the controller which backend servers the platform's list shows.
async fn feed_inventory(host: &Host) {
    let inventory = host.exchange.inventory().borrow().clone();
    let servers = servers(&inventory);
    host.servers.set(servers.clone());
    host.gate.dispatcher().set_servers(servers);
    for listed in inventory.of_role(HostRole::Backend) {
        let Ok(backend) = listed.name.parse() else {
            continue;
        };
        let liveness = match listed.state {
            HostState::Live => Liveness::Live,
            HostState::Leaving => Liveness::Leaving,
        };
        host.gate
            .dispatcher()
            .feed(Event::Liveness { backend, liveness });
    }
    let live = |h: &&ListedHost| h.state == HostState::Live && h.dc == host.dc;
    let event = ControlEvent::Inventory {
        backends: names(inventory.of_role(HostRole::Backend).filter(live)),
        hosts: names(inventory.of_role(HostRole::Entry).filter(live)),
    };
    drop(host.control.events.send(event).await);
}

fn servers(inventory: &Inventory) -> Vec<Server> {
    inventory
        .of_role(HostRole::Backend)
        .filter_map(|h| {
            let id: BackendId = h.name.parse().ok()?;
            Some(Server { id, addr: h.addr })
        })
        .collect()
}

fn names<'a, T: std::str::FromStr>(hosts: impl Iterator<Item = &'a ListedHost>) -> Vec<T> {
    hosts.filter_map(|h| h.name.parse().ok()).collect()
}

/// Has a backend server polled whose residents differ from those that the router knows.
fn note_residents(host: &Host, backend: &BackendId, told: u16) {
    let dispatcher = host.gate.dispatcher();
    let known = dispatcher.with_router(|router| router.residents_check(backend));
    if told != 0 && known != Some(told) {
        host.changed.add(backend.clone());
    }
}

async fn follow_news(host: Arc<Host>, mut news: mpsc::Receiver<News>) {
    while let Some(item) = news.recv().await {
        match item {
            News::Digest { backend, load, age } => {
                note_residents(&host, &backend, load.residents);
                host.gate
                    .dispatcher()
                    .feed(Event::Digest { backend, load, age });
            }
            News::Remote { dc, models } => {
                host.elsewhere.set(&dc, &models);
                host.gate.dispatcher().feed(Event::Remote { dc, models });
            }
            News::Suspects { marks, heard } => {
                host.gate.dispatcher().feed(Event::Suspects(marks));
                drop(heard);
            }
        }
    }
}
