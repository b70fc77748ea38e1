//! Publishes this host's view of backend servers to its peers, and its demand to the controller.

use std::{sync::Arc, time::Duration};

use control::{Event as ControlEvent, ModelDemand};
use route::BackendLoad;
use tokio::time::{MissedTickBehavior, interval};
use types::{BackendId, Clock, Epoch, Micros, ModelId};

use crate::host::Host;

const PERIOD: Duration = Duration::from_secs(1);

/// Publishes once a second until the task is aborted.
pub(crate) async fn run(host: Arc<Host>) {
    let mut ticks = interval(PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut epoch = None;
    loop {
        ticks.tick().await;
        publish_views(&host);
        epoch = publish_lease(&host, epoch);
        let demand = ControlEvent::Demand(demand(&host));
        // If the queue of the controller is full, it gets the next demand.
        drop(host.control.events.try_send(demand));
    }
}

fn publish_views(host: &Host) {
    let now = host.clock.now();
    let (views, residents) = host.gate.dispatcher().with_router(|router| {
        let views: Vec<(BackendId, BackendLoad, Micros)> = router
            .backends(now)
            .filter(|view| view.local && view.observed)
            .map(|view| (view.id.clone(), view.load, view.age))
            .collect();
        let missing: Vec<&ModelId> = router.unavailable_models().collect();
        (views, resident_models(host, &missing))
    });
    host.exchange.report_loads(views);
    host.exchange.set_residents(residents);
}

/// Returns the configured models except the missing ones, sorted.
fn resident_models(host: &Host, missing: &[&ModelId]) -> Vec<ModelId> {
    let Some(in_force) = host.gate.dispatcher().active_config() else {
        return Vec::new();
    };
    let models = in_force.deployment.models.iter().map(|m| &m.id);
    models.filter(|id| !missing.contains(id)).cloned().collect()
}

/// Publishes a change of the held lease and returns the epoch that is held now.
fn publish_lease(host: &Host, before: Option<Epoch>) -> Option<Epoch> {
    let status = host.control.status.borrow().clone();
    let now = status.epoch.filter(|_| status.authority);
    if now != before {
        host.exchange.set_lease(now);
    }
    now
}

fn demand(host: &Host) -> Vec<ModelDemand> {
    let now = host.clock.now();
    host.gate.dispatcher().with_router(|router| {
        router
            .demand(now)
            .map(|d| ModelDemand {
                model: d.model.clone(),
                tokens_per_second: d.tokens_per_second,
                missed_per_second: d.missed_per_second,
            })
            .collect()
    })
}
