//! Shares this host's view with its peers and its demand with the controller.

use std::{sync::Arc, time::Duration};

use control::{Event as ControlEvent, ModelDemand};
use route::BackendLoad;
use tokio::time::{MissedTickBehavior, interval};
use types::{BackendId, Clock, Epoch, Micros, ModelId};

use crate::host::Host;

const PERIOD: Duration = Duration::from_secs(1);

/// Shares once a second until the task is aborted.
pub(crate) async fn run(host: Arc<Host>) {
    let mut ticks = interval(PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut held = None;
    loop {
        ticks.tick().await;
        share_views(&host);
        held = share_lease(&host, held);
        let demand = ControlEvent::Demand(demand(&host));
        // A controller that lags gets the next demand.
        drop(host.control.events.try_send(demand));
    }
}

fn share_views(host: &Host) {
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

/// Returns the configured models less the missing ones, sorted.
fn resident_models(host: &Host, missing: &[&ModelId]) -> Vec<ModelId> {
    let Some(in_force) = host.gate.dispatcher().active_config() else {
        return Vec::new();
    };
    let models = in_force.deployment.models.iter().map(|m| &m.id);
    models.filter(|id| !missing.contains(id)).cloned().collect()
}

/// Tells peers of a change of the lease and returns the epoch that is held now.
fn share_lease(host: &Host, before: Option<Epoch>) -> Option<Epoch> {
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
