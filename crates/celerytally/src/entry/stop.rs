//! Signals: reload of the settings, and the orderly end.

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

/// Time that the balancer needs to see that the host is not ready.
const BALANCER_NOTICE: Duration = Duration::from_millis(2_600);

/// Time before the kill at which the process ends whatever is still open.
const KILL_MARGIN: Duration = Duration::from_millis(500);

/// Time in which the last responses leave the process.
const FLUSH: Duration = Duration::from_millis(100);

/// Signals to the process. Before they are listened to, each of them ends it at once.
pub(crate) struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Listens to the signals from now on.
    pub(crate) fn listen() -> Result<Self> {
        let listen = |kind| signal(kind).map_err(internal);
        Ok(Self {
            terminate: listen(SignalKind::terminate())?,
            interrupt: listen(SignalKind::interrupt())?,
            hangup: listen(SignalKind::hangup())?,
        })
    }
}

/// Waits for SIGTERM or SIGINT, and ends what is open within the grace time.
pub(crate) async fn when_told(
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
    proxy.set_not_ready();
    controller.cancel();
    exchange.set_readiness(Readiness::Draining);
    sleep(BALANCER_NOTICE.min(grace / 3)).await;
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
    }
    sleep(FLUSH).await;
    Ok(())
}

/// Reads the settings again; addresses stay as they are for the life of the process.
fn reload(path: &Path, settings: &EntrySettings) {
    match platform::read_settings(path) {
        Ok(new) if new == *settings => tracing::info!("settings reloaded, nothing changed"),
        Ok(_) => tracing::info!("settings reloaded; changes are used from the next start"),
        Err(e) => tracing::error!(error = %e, "settings not reloaded"),
    }
}
