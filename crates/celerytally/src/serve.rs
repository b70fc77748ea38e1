//! Runs an entry host: starts its tasks, waits for a signal, and shuts down in order.

use std::{
    path::Path,
    process::ExitCode,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use config::{HostSettings, LogFormat};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use peer::Readiness;
use tokio::{
    net::TcpListener,
    signal::unix::{SignalKind, signal},
    task::JoinSet,
    time::interval,
};
use tokio_util::sync::CancellationToken;
use tracing_subscriber::EnvFilter;

use crate::{
    cache_events,
    error::{Error, Result, internal},
    host::{self, HostParts},
    poll, publish, sweep, updates,
};

/// Period of the upkeep of the metrics recorder, which compacts its histograms.
const UPKEEP_PERIOD: Duration = Duration::from_secs(5);

/// Time within which the load balancer notices that the host is not ready.
const BALANCER_DELAY: Duration = Duration::from_secs(2);

/// Time for which the peer exchange continues after the last request, so that peers learn that the
/// host stops.
const EXCHANGE_LINGER: Duration = Duration::from_millis(500);

/// Crates to which the log level of the settings applies.
const LOGGED_CRATES: [&str; 6] = ["celerytally", "control", "engine", "gate", "peer", "store"];

/// Runs an entry host until SIGTERM or SIGINT, then drains it.
pub(crate) async fn serve(file: &Path) -> Result<ExitCode> {
    let settings: HostSettings = config::from_path(file)?;
    init_logging(&settings);
    let metrics = init_metrics()?;
    let listener = bind(&settings).await?;
    let addr = listener.local_addr().map_err(internal)?;
    let stop = CancellationToken::new();
    let HostParts {
        host,
        controller,
        updates: peer_updates,
        reports,
    } = host::build(&settings, &listener, metrics).await?;
    println!("listening http={addr} peer={}", host.exchange.listen_addr());
    tracing::info!(host = %host.id, dc = %host.dc, http = %addr, "entry host started");

    let controller = tokio::spawn(controller.run(stop.clone()));
    let mut tasks = JoinSet::new();
    tasks.spawn(updates::config(Arc::clone(&host)));
    tasks.spawn(updates::inventory(Arc::clone(&host)));
    tasks.spawn(updates::peer_updates(Arc::clone(&host), peer_updates));
    tasks.spawn(updates::reports(Arc::clone(&host), reports));
    tasks.spawn(poll::run(Arc::clone(&host)));
    tasks.spawn(publish::run(Arc::clone(&host)));
    tasks.spawn(cache_events::run(Arc::clone(&host)));
    tasks.spawn(sweep::run(Arc::clone(&host)));
    tasks.spawn(updates::clock(Arc::clone(&host)));
    let gate = Arc::clone(&host.gate);
    let server = tokio::spawn(async move { gate.serve(listener).await });

    wait_for_signal().await?;
    host.draining.store(true, Ordering::Relaxed);
    host.exchange.set_readiness(Readiness::Draining);
    stop.cancel();
    host.gate.drain(BALANCER_DELAY).await;
    server.await.map_err(internal)?.map_err(internal)?;
    controller.await.map_err(internal)?;
    tokio::time::sleep(EXCHANGE_LINGER).await;
    host.exchange.stop();
    tracing::info!(host = %host.id, "entry host stopped");
    Ok(ExitCode::SUCCESS)
}

fn init_logging(settings: &HostSettings) {
    let level = settings.log_level;
    // Libraries log only errors: below that level they log each broken connection, which the
    // counters already show.
    let targets = LOGGED_CRATES
        .map(|name| format!("{name}={level}"))
        .join(",");
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

fn init_metrics() -> Result<PrometheusHandle> {
    let handle = PrometheusBuilder::new()
        .install_recorder()
        .map_err(internal)?;
    let upkeep = handle.clone();
    tokio::spawn(async move {
        let mut ticks = interval(UPKEEP_PERIOD);
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

async fn wait_for_signal() -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).map_err(internal)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(internal)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
