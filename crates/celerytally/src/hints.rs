//! Follows the prefix-cache events of the workers that fall to this host.
//!
//! Events are hints: they come late and with gaps. Each worker is followed by one host, because
//! its events at every host of the data centre would not fit the control budget; the others know
//! the prefixes of their own requests.

use std::{sync::Arc, time::Duration};

use config::{ActiveConfig, ServiceKind};
use engine::{CacheEvent, CacheUpdate, Server};
use peer::MemberState;
use route::Event;
use tokio::{
    task::AbortHandle,
    time::{MissedTickBehavior, interval, sleep},
};
use types::BackendId;

use crate::host::Host;

/// Time between two looks at which workers fall to this host.
const PERIOD: Duration = Duration::from_secs(5);

/// Wait before a broken event stream is opened again.
const RETRY: Duration = Duration::from_secs(5);

/// Running follower of one worker, stopped when it is dropped.
#[derive(Debug)]
struct Follower {
    server: Server,
    task: AbortHandle,
}

impl Drop for Follower {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Keeps one follower for each worker that falls to this host until the task is aborted.
pub(crate) async fn run(host: Arc<Host>) {
    let mut followers: Vec<Follower> = Vec::new();
    let mut ticks = interval(PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let wanted = assigned(&host);
        followers.retain(|f| wanted.contains(&f.server));
        for server in wanted {
            if followers.iter().all(|f| f.server != server) {
                let task = tokio::spawn(follow(Arc::clone(&host), server.clone()));
                let task = task.abort_handle();
                followers.push(Follower { server, task });
            }
        }
    }
}

fn assigned(host: &Host) -> Vec<Server> {
    let Some(in_force) = host.gate.dispatcher().active_config() else {
        return Vec::new();
    };
    let members = host.exchange.members().borrow().clone();
    let alive = members
        .iter()
        .filter(|m| m.dc == host.dc && m.state == MemberState::Alive);
    let names: Vec<&str> = alive.map(|m| m.id.as_str()).collect();
    let first = |id: &BackendId| {
        let first = types::rendezvous_rank(id.as_str(), &names)
            .into_iter()
            .next();
        first == Some(host.id.as_str())
    };
    let workers = workers(&in_force).filter(|(id, dc)| **dc == host.dc && first(id));
    workers
        .filter_map(|(id, _)| host.servers.find(id))
        .collect()
}

fn workers(in_force: &ActiveConfig) -> impl Iterator<Item = (&BackendId, &types::DataCentreId)> {
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

async fn follow(host: Arc<Host>, server: Server) {
    loop {
        if let Ok(mut events) = host.client.cache_events(&server).await {
            while let Ok(news) = events.next().await {
                feed(&host, &server.id, news);
            }
            // What happens until the stream is open again is not heard.
            feed(&host, &server.id, CacheUpdate::Gap);
        }
        sleep(RETRY).await;
    }
}

fn feed(host: &Host, backend: &BackendId, news: CacheUpdate) {
    let backend = backend.clone();
    let event = match news {
        CacheUpdate::Event(CacheEvent::Stored(prefix)) => Event::PrefixCached { backend, prefix },
        CacheUpdate::Gap => Event::PrefixGap(backend),
        // A hint for a prefix that is gone costs at most its prompt's processing once more.
        CacheUpdate::Event(CacheEvent::Removed(_)) => return,
    };
    host.gate.dispatcher().feed(event);
}
