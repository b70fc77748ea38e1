//! Forwards updates from the peer exchange and the controller to the router and the controller.

use std::{sync::Arc, time::Duration};

use config::ActiveConfig;
use control::Event as ControlEvent;
use engine::Server;
use peer::{Host as ListedHost, Inventory, PeerUpdate, Readiness};
use route::{Event, Liveness};
use store::{HostRole, HostState};
use tokio::{
    sync::{mpsc, watch},
    time::{MissedTickBehavior, interval},
};
use types::{BackendId, LoadReport};

use crate::host::Host;

/// Period of the router's clock, which bounds the delay until a queued request is refused.
const TICK_PERIOD: Duration = Duration::from_millis(50);

/// Feeds the router clock ticks until the task is aborted.
pub(crate) async fn clock(host: Arc<Host>) {
    let mut ticks = interval(TICK_PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        host.gate.dispatcher().feed(Event::Tick);
    }
}

/// Applies each new configuration to the router and the controller.
pub(crate) async fn config(host: Arc<Host>) {
    let mut in_force: watch::Receiver<Option<Arc<ActiveConfig>>> = host.exchange.active_config();
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
                host.exchange.set_readiness(Readiness::Ready);
            }
        }
        if in_force.changed().await.is_err() {
            return;
        }
    }
}

/// Watches the platform's list of hosts.
pub(crate) async fn inventory(host: Arc<Host>) {
    let mut inventory = host.exchange.inventory();
    loop {
        feed_inventory(&host).await;
        if inventory.changed().await.is_err() {
            return;
        }
    }
}

/// Passes the hosts in the platform's list to the router and the controller.
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

/// Schedules a poll of a backend server if a digest's checksum of its residents differs from the
/// router's.
fn check_residents(host: &Host, backend: &BackendId, checksum: u16) {
    let dispatcher = host.gate.dispatcher();
    let known = dispatcher.with_router(|router| router.residents_checksum(backend));
    if checksum != 0 && known != Some(checksum) {
        host.stale_backends.insert(backend.clone());
    }
}

/// Feeds the router the updates from peers.
pub(crate) async fn peer_updates(host: Arc<Host>, mut updates: mpsc::Receiver<PeerUpdate>) {
    while let Some(update) = updates.recv().await {
        match update {
            PeerUpdate::Digest { backend, load, age } => {
                check_residents(&host, &backend, load.residents);
                host.gate
                    .dispatcher()
                    .feed(Event::Digest { backend, load, age });
            }
            PeerUpdate::RemoteModels { dc, models } => {
                host.remote_models.set(&dc, &models);
                host.gate
                    .dispatcher()
                    .feed(Event::RemoteModels { dc, models });
            }
            PeerUpdate::CrashUpdate(update) => {
                host.gate.dispatcher().feed(Event::CrashUpdate(update));
            }
            PeerUpdate::Suspects { records, ack } => {
                host.gate.dispatcher().feed(Event::Suspects(records));
                drop(ack);
            }
        }
    }
}

/// Feeds the router the load reports that the controller fetched.
pub(crate) async fn reports(host: Arc<Host>, mut reports: mpsc::Receiver<(BackendId, LoadReport)>) {
    while let Some((backend, report)) = reports.recv().await {
        host.gate.dispatcher().feed(Event::Report {
            backend,
            report: Arc::new(report),
        });
    }
}
