//! Signal handling: reload of the settings, and graceful shutdown.

use std::{path::Path, time::Duration};

use config::EntrySettings;
use peer::Readiness;
use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    time::{Instant, sleep, timeout_at},
};

use tokio_util::sync::CancellationToken;

use crate::{
    entry::{EntryProxy, peers::Exchange},
    error::{Result, internal},
};

/// Time within which the load balancer notices that the host is not ready.
const BALANCER_DELAY: Duration = Duration::from_millis(2_600);

/// Time before the kill, at the end of the grace period, at which the process drops open requests.
const KILL_MARGIN: Duration = Duration::from_millis(500);

/// Time for the last responses to be written to their sockets, and for aborted requests to end.
const FLUSH_DELAY: Duration = Duration::from_millis(100);

/// Signal listeners of the process. Until they are registered, each signal terminates it at once.
pub(crate) struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Registers the listeners.
    pub(crate) fn register() -> Result<Self> {
        let register = |kind| signal(kind).map_err(internal);
        Ok(Self {
            terminate: register(SignalKind::terminate())?,
            interrupt: register(SignalKind::interrupt())?,
            hangup: register(SignalKind::hangup())?,
        })
    }
}

/// Waits for SIGTERM or SIGINT, then drains open requests within the grace period.
pub(crate) async fn wait_and_drain(
    mut signals: Signals,
    path: &Path,
    settings: &EntrySettings,
    proxy: &EntryProxy,
    exchange: &Exchange,
    controller: &CancellationToken,
) -> Result<()> {
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => break,
            _ = signals.interrupt.recv() => break,
            _ = signals.hangup.recv() => reload(path, settings),
        }
    }
    let grace: Duration = settings.bounds.grace.into();
    let end = Instant::now() + grace.saturating_sub(KILL_MARGIN);
    tracing::info!(open = proxy.open_requests(), "stopping: not ready");
    proxy.set_not_ready(end);
    controller.cancel();
    exchange.set_readiness(Readiness::Draining);
    sleep(BALANCER_DELAY.min(grace / 3)).await;
    tracing::info!(
        open = proxy.open_requests(),
        "stopping: closed for new connections"
    );
    proxy.close();
    if timeout_at(end, proxy.wait_until_drained()).await.is_err() {
        tracing::warn!(
            open = proxy.dispatcher().in_flight(),
            "stopping with open requests"
        );
        proxy.abort();
    }
    sleep(FLUSH_DELAY).await;
    Ok(())
}

/// Reads and checks the settings again; changes take effect at the next start, since the addresses
/// are bound for the life of the process.
fn reload(path: &Path, settings: &EntrySettings) {
    match platform::read_settings(path) {
        Ok(new) if new == *settings => tracing::info!("settings reloaded, nothing changed"),
        Ok(_) => tracing::info!("settings reloaded; changes are used from the next start"),
        Err(e) => tracing::error!(error = %e, "settings not reloaded"),
    }
}
