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
    error::{Error, Result, internal},
    follow, hints,
    host::{Assembly, assemble},
    poll, share, sweep,
};

/// Period in which metrics are compacted.
const UPKEEP: Duration = Duration::from_secs(5);

/// Time that the balancer needs to see that the host is not ready.
const BALANCER_NOTICE: Duration = Duration::from_secs(2);

/// Time for which the exchange goes on after the last request, so that peers learn of the end.
const FAREWELL: Duration = Duration::from_millis(500);

/// Crates whose log level the settings choose.
const OWN_CRATES: [&str; 6] = ["celerytally", "control", "engine", "gate", "peer", "store"];

/// Runs an entry host until SIGTERM or SIGINT, then drains it.
pub(crate) async fn serve(file: &Path) -> Result<ExitCode> {
    let settings: HostSettings = config::from_path(file)?;
    start_logs(&settings);
    let metrics = start_metrics()?;
    let listener = bind(&settings).await?;
    let addr = listener.local_addr().map_err(internal)?;
    let stop = CancellationToken::new();
    let Assembly {
        host,
        controller,
        news,
        reported,
    } = assemble(&settings, &listener, metrics).await?;
    println!("listening http={addr} peer={}", host.exchange.listen_addr());
    tracing::info!(host = %host.id, dc = %host.dc, http = %addr, "entry host started");

    let controller = tokio::spawn(controller.run(stop.clone()));
    let mut tasks = JoinSet::new();
    tasks.spawn(follow::config(Arc::clone(&host)));
    tasks.spawn(follow::inventory(Arc::clone(&host)));
    tasks.spawn(follow::news(Arc::clone(&host), news));
    tasks.spawn(follow::reports(Arc::clone(&host), reported));
    tasks.spawn(poll::run(Arc::clone(&host)));
    tasks.spawn(share::run(Arc::clone(&host)));
    tasks.spawn(hints::run(Arc::clone(&host)));
    tasks.spawn(sweep::run(Arc::clone(&host)));
    tasks.spawn(follow::clock(Arc::clone(&host)));
    let gate = Arc::clone(&host.gate);
    let server = tokio::spawn(async move { gate.serve(listener).await });

    wait_for_signal().await?;
    host.draining.store(true, Ordering::Relaxed);
    host.exchange.set_readiness(Readiness::Draining);
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

async fn wait_for_signal() -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).map_err(internal)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(internal)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
