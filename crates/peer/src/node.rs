//! Driver of the state machine: performs its actions and feeds it events.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use config::{ActiveConfig, Manifest, Snapshot};
use futures::StreamExt;
use route::{BackendLoad, CrashUpdate, SuspectRecord};
use store::{Category, Change, HostEntry, Kind, Platform, Revision};
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::{MissedTickBehavior, interval, sleep},
};
use tokio_util::sync::CancellationToken;
use types::{BackendId, Clock, DataCentreId, Micros, ModelId};

use crate::{
    event::{Action, Event, Target, Update},
    handler::PeerHandler,
    hosts::{Host, Inventory},
    member::Member,
    message::{Reply, Request},
    state::State,
    traffic::Counts,
    wire::{ClientPool, RequestHandler},
};

/// Timeout of a request to a peer.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Delay before a watch that ended is reopened.
const WATCH_RETRY: Duration = Duration::from_secs(1);

/// Timeout of waiting for the router to process suspects before they are acknowledged.
const SUSPECTS_ACK_TIMEOUT: Duration = Duration::from_secs(1);

/// Update from a peer for the router.
#[derive(Debug)]
pub enum PeerUpdate {
    /// Load of a backend server of this data centre, as a peer observed it.
    Digest {
        /// The backend server.
        backend: BackendId,
        /// The load.
        load: BackendLoad,
        /// Age of the observation.
        age: Micros,
    },
    /// Models that are resident in another data centre; empty when it is unreachable.
    RemoteModels {
        /// The data centre.
        dc: DataCentreId,
        /// Its resident models, sorted.
        models: Vec<ModelId>,
    },
    /// What a peer learned of crashes.
    CrashUpdate(CrashUpdate),
    /// Suspect records from a peer, which receives its acknowledgement when `ack` is dropped.
    Suspects {
        /// The records.
        records: Vec<SuspectRecord>,
        /// To be dropped once the router has processed the records.
        ack: AckOnDrop,
    },
}

/// Acknowledges suspects when it is dropped.
#[derive(Debug)]
pub struct AckOnDrop {
    _tx: oneshot::Sender<()>,
}

/// State and connections of the exchange of one host.
#[derive(Debug)]
pub(crate) struct Node<P, C, S> {
    pub(crate) state: Mutex<State>,
    pub(crate) platform: P,
    pub(crate) clock: C,
    pub(crate) handler: S,
    pub(crate) clients: ClientPool,
    pub(crate) counts: Arc<Counts>,
    pub(crate) updates: mpsc::Sender<PeerUpdate>,
    pub(crate) in_force: watch::Sender<Option<Arc<ActiveConfig>>>,
    pub(crate) inventory: watch::Sender<Arc<Inventory>>,
    pub(crate) members: watch::Sender<Arc<Vec<Member>>>,
    pub(crate) watches: Mutex<Option<CancellationToken>>,
    pub(crate) cancel: CancellationToken,
}

impl<P: Platform, C: Clock, S: PeerHandler> Node<P, C, S> {
    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Feeds an event to the state machine and performs the resulting actions.
    pub(crate) fn step(self: &Arc<Self>, ev: Event) {
        let mut out = Vec::new();
        self.lock().step(self.clock.now(), ev, &mut out);
        self.perform(out);
    }

    fn perform(self: &Arc<Self>, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Call { to, req } => self.spawn(Self::call(Arc::clone(self), to, req)),
                Action::ReadManifest => self.spawn(Self::read_manifest(Arc::clone(self))),
                Action::Load { manifest, known } => {
                    self.spawn(Self::load(Arc::clone(self), *manifest, known));
                }
                Action::Watch(on) => self.set_watching(on),
                Action::InForce(new) => drop(self.in_force.send_replace(Some(new))),
                Action::Inventory(new) => drop(self.inventory.send_replace(Arc::new(new))),
                Action::Members(new) => drop(self.members.send_replace(Arc::new(new))),
                Action::Update(update) => self.publish(update),
                Action::InvalidMessage => self.counts.record_invalid_message(),
            }
        }
    }

    fn publish(&self, update: Update) {
        let update = match update {
            Update::Digest { backend, load, age } => PeerUpdate::Digest { backend, load, age },
            Update::RemoteModels { dc, models } => PeerUpdate::RemoteModels { dc, models },
        };
        if self.updates.try_send(update).is_err() {
            // The router lags; the next digest supersedes this one.
            metrics::counter!("celerytally_peer_news_dropped_total").increment(1);
        }
    }

    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let cancel = self.cancel.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = cancel.cancelled() => {}
                () = task => {}
            }
        });
    }

    async fn call(self: Arc<Self>, to: Target, req: Request) {
        let is_pull = matches!(req, Request::Config(_));
        let reply = self.clients.request(to.addr, req, CALL_TIMEOUT).await;
        match reply {
            Ok(reply) => self.step(Event::Replied { from: to, reply }),
            Err(_) if is_pull => self.step(Event::PullFailed),
            Err(_) => {}
        }
    }

    async fn read_manifest(self: Arc<Self>) {
        match self.platform.get::<Manifest>(Manifest::CURRENT).await {
            Ok(Some(read)) => self.step(Event::ManifestRead(read.value)),
            Err(e) if e.category() == Category::Malformed => count_invalid_object(),
            Ok(None) | Err(_) => {}
        }
    }

    async fn load(self: Arc<Self>, manifest: Manifest, known: Option<Arc<Snapshot>>) {
        let loaded = config::load_manifest(&self.platform, manifest, known.as_deref()).await;
        if let Err(e) = &loaded
            && e.category() == config::Category::Inconsistent
        {
            count_invalid_object();
        }
        self.step(Event::SnapshotLoaded(loaded.ok().map(Arc::new)));
    }

    fn set_watching(self: &Arc<Self>, on: bool) {
        let mut watches = self.watches.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(old) = watches.take() {
            old.cancel();
        }
        if !on {
            return;
        }
        let cancel = self.cancel.child_token();
        *watches = Some(cancel.clone());
        let node = Arc::clone(self);
        let manifests = async move {
            list_and_watch::<Manifest, P>(&node.platform, |event| node.on_manifest_event(event))
                .await;
        };
        let node = Arc::clone(self);
        let hosts = async move {
            list_and_watch::<HostEntry, P>(&node.platform, |event| node.on_host_event(event)).await;
        };
        tokio::spawn(async move {
            tokio::select! {
                () = cancel.cancelled() => {}
                () = manifests => {}
                () = hosts => {}
            }
        });
    }

    fn on_manifest_event(self: &Arc<Self>, event: WatchEvent<Manifest>) {
        let manifests = match event {
            WatchEvent::Listed(items) => items.into_iter().map(|(_, manifest)| manifest).collect(),
            WatchEvent::Changed(_, manifest) => Vec::from_iter(manifest),
        };
        for manifest in manifests {
            self.step(Event::ManifestChanged(manifest));
        }
    }

    fn on_host_event(self: &Arc<Self>, event: WatchEvent<HostEntry>) {
        match event {
            WatchEvent::Listed(items) => {
                let hosts = items
                    .into_iter()
                    .map(|(name, entry)| Host::new(name, entry));
                self.step(Event::HostsListed(hosts.collect()));
            }
            WatchEvent::Changed(name, entry) => {
                let host = entry.map(|entry| Host::new(name.clone(), entry));
                self.step(Event::HostChanged { name, host });
            }
        }
    }

    /// Feeds a tick in each exchange period until the exchange stops.
    pub(crate) async fn run(self: Arc<Self>, period: Duration) {
        let mut ticks = interval(period);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = self.cancel.cancelled() => return,
                _ = ticks.tick() => self.step(Event::Tick),
            }
        }
    }

    /// Delivers suspects of a peer to the router. Replies whether it processed them in time.
    async fn deliver_suspects(self: Arc<Self>, records: Vec<SuspectRecord>) -> Reply {
        self.step(Event::Suspects(records.clone()));
        let (tx, rx) = oneshot::channel();
        let ack = AckOnDrop { _tx: tx };
        let update = PeerUpdate::Suspects { records, ack };
        let processed = async {
            self.updates.send(update).await.ok()?;
            // The router drops the sender, without sending, once it has processed the records.
            rx.await.err()
        };
        Reply::Bool(
            tokio::time::timeout(SUSPECTS_ACK_TIMEOUT, processed)
                .await
                .is_ok_and(|t| t.is_some()),
        )
    }
}

/// Counts an object of the platform that cannot be decoded or is inconsistent with others.
fn count_invalid_object() {
    let code = types::Code::PlatformGarbage.label();
    metrics::counter!("celerytally_platform_garbage_total", "code" => code).increment(1);
}

/// Result of listing or watching a kind of object.
#[derive(Debug)]
enum WatchEvent<T> {
    Listed(Vec<(String, T)>),
    Changed(String, Option<T>),
}

/// Lists and watches a kind of object until cancelled.
async fn list_and_watch<T: Kind, P: Platform>(
    platform: &P,
    mut on_event: impl FnMut(WatchEvent<T>),
) {
    let mut from: Option<Revision> = None;
    loop {
        let revision = match from.take() {
            Some(revision) => Some(revision),
            None => list(platform, &mut on_event).await,
        };
        if let Some(revision) = revision {
            from = watch_from(platform, revision, &mut on_event).await;
        }
        sleep(WATCH_RETRY).await;
    }
}

/// Lists a kind. Returns the revision from which a watch continues.
async fn list<T: Kind, P: Platform>(
    platform: &P,
    on_event: &mut impl FnMut(WatchEvent<T>),
) -> Option<Revision> {
    let list = platform.list::<T>().await.ok()?;
    let items = list.items.into_iter().map(|o| (o.name, o.value));
    on_event(WatchEvent::Listed(items.collect()));
    Some(list.revision)
}

/// Watches a kind until the watch ends. Returns the revision to resume from, or `None` when the
/// kind must be listed again.
async fn watch_from<T: Kind, P: Platform>(
    platform: &P,
    mut at: Revision,
    on_event: &mut impl FnMut(WatchEvent<T>),
) -> Option<Revision> {
    let mut changes = match platform.watch::<T>(&at).await {
        Ok(changes) => changes,
        Err(e) if e.category() == Category::Expired => return None,
        Err(_) => return Some(at),
    };
    while let Some(change) = changes.next().await {
        match change {
            Ok(Change::Set(object)) => {
                at = object.revision;
                on_event(WatchEvent::Changed(object.name, Some(object.value)));
            }
            Ok(Change::Deleted(name)) => on_event(WatchEvent::Changed(name, None)),
            Err(_) => return None,
        }
    }
    Some(at)
}

/// Handler of the requests that a node receives from its peers.
#[derive(Debug)]
pub(crate) struct NodeHandler<P, C, S>(pub(crate) Arc<Node<P, C, S>>);

impl<P, C, S> Clone for NodeHandler<P, C, S> {
    fn clone(&self) -> Self {
        Self(Arc::clone(&self.0))
    }
}

impl<P: Platform, C: Clock, S: PeerHandler> RequestHandler for NodeHandler<P, C, S> {
    async fn handle(&self, req: Request) -> Reply {
        let node = &self.0;
        let mut out = Vec::new();
        let reply = node.lock().serve(node.clock.now(), &req, &mut out);
        node.perform(out);
        if let Some(reply) = reply {
            return reply;
        }
        match req {
            Request::Suspects(records) => Arc::clone(node).deliver_suspects(records).await,
            Request::CrashUpdate(update) => {
                let update = PeerUpdate::CrashUpdate(update);
                Reply::Bool(node.updates.send(update).await.is_ok())
            }
            Request::Demand(model, adapter) => {
                node.handler.request_model(model, adapter).await;
                Reply::Bool(true)
            }
            Request::RetiredEpoch(epoch) => {
                Reply::Bool(node.handler.has_retired_epoch(epoch).await)
            }
            Request::Place(model, adapter) => {
                Reply::Placed(node.handler.place(model, adapter).await)
            }
            Request::Replica(model, adapter, on) => {
                Reply::Placed(node.handler.request_replica(model, adapter, on).await)
            }
            Request::Facts(known) => Reply::Facts(node.handler.facts(known).await.map(Box::new)),
            Request::Part(part) => Reply::Part(node.handler.part(part).await),
            _ => Reply::Bool(false),
        }
    }
}
