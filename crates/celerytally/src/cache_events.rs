//! Subscribes to the prefix-cache events of the workers that are assigned to this host.
//!
//! Events are hints: they arrive late and with gaps. One host subscribes to each worker, because
//! sending its events to every host of the data centre would exceed the control traffic budget. The
//! other hosts know only the prefixes of their own requests.

use std::{sync::Arc, time::Duration};

use config::{InForce, ServiceKind};
use engine::{CacheEvent, CacheUpdate, Server};
use peer::MemberState;
use route::Event;
use tokio::{
    task::AbortHandle,
    time::{MissedTickBehavior, interval, sleep},
};
use types::BackendId;

use crate::host::Host;

/// Time between two updates of the subscriptions.
const PERIOD: Duration = Duration::from_secs(5);

/// Delay before a broken event stream is reopened.
const RETRY_DELAY: Duration = Duration::from_secs(5);

/// Task that reads the events of one worker; dropping it aborts the task.
#[derive(Debug)]
struct Subscription {
    server: Server,
    task: AbortHandle,
}

impl Drop for Subscription {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Keeps one subscription for each worker that is assigned to this host, until the task is aborted.
pub(crate) async fn run(host: Arc<Host>) {
    let mut subscriptions: Vec<Subscription> = Vec::new();
    let mut ticks = interval(PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let assigned = assigned_workers(&host);
        subscriptions.retain(|s| assigned.contains(&s.server));
        for server in assigned {
            if subscriptions.iter().all(|s| s.server != server) {
                let task = tokio::spawn(subscribe(Arc::clone(&host), server.clone()));
                let task = task.abort_handle();
                subscriptions.push(Subscription { server, task });
            }
        }
    }
}

fn assigned_workers(host: &Host) -> Vec<Server> {
    let Some(in_force) = host.gate.dispatcher().active_config() else {
        return Vec::new();
    };
    let members = host.exchange.members().borrow().clone();
    let alive = members
        .iter()
        .filter(|m| m.dc == host.dc && m.state == MemberState::Alive);
    let names: Vec<&str> = alive.map(|m| m.id.as_str()).collect();
    let first = |id: &BackendId| {
        let first = types::rank(id.as_str(), &names).into_iter().next();
        first == Some(host.id.as_str())
    };
    let workers = workers(&in_force).filter(|(id, dc)| **dc == host.dc && first(id));
    workers
        .filter_map(|(id, _)| host.servers.find(id))
        .collect()
}

fn workers(in_force: &InForce) -> impl Iterator<Item = (&BackendId, &types::DataCentreId)> {
    let deployment = &in_force.deployment;
    let is_model = |name: &types::ServiceName| {
        let at = deployment.services.binary_search_by(|s| s.name.cmp(name));
        at.is_ok_and(|at| deployment.services[at].kind == ServiceKind::Model)
    };
    let backends = deployment.backends.iter();
    backends
        .filter(move |b| is_model(&b.service))
        .map(|b| (&b.id, &b.dc))
}

async fn subscribe(host: Arc<Host>, server: Server) {
    loop {
        if let Ok(mut events) = host.client.cache_events(&server).await {
            while let Ok(update) = events.next().await {
                feed(&host, &server.id, update);
            }
            // Events are lost until the stream is open again.
            feed(&host, &server.id, CacheUpdate::Gap);
        }
        sleep(RETRY_DELAY).await;
    }
}

fn feed(host: &Host, backend: &BackendId, update: CacheUpdate) {
    let backend = backend.clone();
    let event = match update {
        CacheUpdate::Event(CacheEvent::Stored(prefix)) => Event::PrefixCached { backend, prefix },
        CacheUpdate::Gap => Event::PrefixGap(backend),
        // A stale hint costs at most the prefill of one prompt.
        CacheUpdate::Event(CacheEvent::Removed(_)) => return,
    };
    host.gate.dispatcher().feed(event);
}
