//! Passes on what the exchange learns: configuration, inventory and news of peers.

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

/// Period of the router's clock, which bounds how late a queued request is refused.
const TICK: Duration = Duration::from_millis(50);

/// Tells the router that time passes until the task is aborted.
pub(crate) async fn clock(host: Arc<Host>) {
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        host.gate.dispatcher().feed(Event::Tick);
    }
}

/// Puts each new configuration in force.
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

/// Follows the platform's list of hosts.
pub(crate) async fn inventory(host: Arc<Host>) {
    let mut inventory = host.exchange.inventory();
    loop {
        feed_inventory(&host).await;
        if inventory.changed().await.is_err() {
            return;
        }
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
    let known = dispatcher.with_router(|router| router.residents_checksum(backend));
    if told != 0 && known != Some(told) {
        host.changed.add(backend.clone());
    }
}

/// Feeds the router the news of peers.
pub(crate) async fn news(host: Arc<Host>, mut news: mpsc::Receiver<PeerUpdate>) {
    while let Some(item) = news.recv().await {
        match item {
            PeerUpdate::Digest { backend, load, age } => {
                note_residents(&host, &backend, load.residents);
                host.gate
                    .dispatcher()
                    .feed(Event::Digest { backend, load, age });
            }
            PeerUpdate::RemoteModels { dc, models } => {
                host.elsewhere.set(&dc, &models);
                host.gate
                    .dispatcher()
                    .feed(Event::RemoteModels { dc, models });
            }
            PeerUpdate::Suspects { records, ack } => {
                host.gate.dispatcher().feed(Event::Suspects(records));
                drop(ack);
            }
        }
    }
}

/// Feeds the router the load reports that the controller read.
pub(crate) async fn reports(
    host: Arc<Host>,
    mut reported: mpsc::Receiver<(BackendId, LoadReport)>,
) {
    while let Some((backend, report)) = reported.recv().await {
        host.gate.dispatcher().feed(Event::Report {
            backend,
            report: Arc::new(report),
        });
    }
}
