//! Runs the state: performs its actions and feeds it what happens.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use config::{InForce, Manifest, Snapshot};
use futures::StreamExt;
use route::{BackendLoad, SuspectRecord};
use store::{Category, Change, HostEntry, Kind, Platform, Revision};
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::{MissedTickBehavior, interval, sleep},
};
use tokio_util::sync::CancellationToken;
use types::{BackendId, Clock, DataCentreId, Micros, ModelId};

use crate::{
    event::{Action, Event, Outgoing, Target},
    handler::PeerHandler,
    hosts::{Host, Inventory},
    member::Member,
    message::{Reply, Request},
    state::State,
    traffic::Counts,
    wire::{Answer, Clients},
};

/// Bounds a call to a peer.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Wait before a broken watch is opened again.
const WATCH_RETRY: Duration = Duration::from_secs(1);

/// Bounds the wait for the router to take over suspects before they are acknowledged.
const HEAR_TIMEOUT: Duration = Duration::from_secs(1);

/// News for the router.
#[derive(Debug)]
pub enum PeerUpdate {
    /// A peer's view of a backend server of this data centre.
    Digest {
        /// The backend server.
        backend: BackendId,
        /// The view.
        load: BackendLoad,
        /// Age of the view.
        age: Micros,
    },
    /// Models that are resident in another data centre; empty when it can't be reached.
    RemoteModels {
        /// The data centre.
        dc: DataCentreId,
        /// Its models, sorted.
        models: Vec<ModelId>,
    },
    /// A peer told of suspects; it gets its acknowledgement when `ack` is dropped.
    Suspects {
        /// The marks.
        marks: Vec<SuspectRecord>,
        /// Dropped when the router has taken the marks over.
        ack: AckOnDrop,
    },
}

/// Acknowledges suspects when it is dropped.
#[derive(Debug)]
pub struct AckOnDrop {
    _tx: oneshot::Sender<()>,
}

/// Everything that one host's exchange needs.
#[derive(Debug)]
pub(crate) struct Node<P, C, S> {
    pub(crate) state: Mutex<State>,
    pub(crate) platform: P,
    pub(crate) clock: C,
    pub(crate) handler: S,
    pub(crate) clients: Clients,
    pub(crate) counts: Arc<Counts>,
    pub(crate) news: mpsc::Sender<PeerUpdate>,
    pub(crate) in_force: watch::Sender<Option<Arc<InForce>>>,
    pub(crate) inventory: watch::Sender<Arc<Inventory>>,
    pub(crate) members: watch::Sender<Arc<Vec<Member>>>,
    pub(crate) watches: Mutex<Option<CancellationToken>>,
    pub(crate) cancel: CancellationToken,
}

impl<P: Platform, C: Clock, S: PeerHandler> Node<P, C, S> {
    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Feeds an event to the state and starts what it asks for.
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
                Action::Out(news) => self.tell(news),
                Action::Garbage => self.counts.garbage(),
            }
        }
    }

    fn tell(&self, news: Outgoing) {
        let news = match news {
            Outgoing::Digest { backend, load, age } => PeerUpdate::Digest { backend, load, age },
            Outgoing::Remote { dc, models } => PeerUpdate::RemoteModels { dc, models },
        };
        if self.news.try_send(news).is_err() {
            // The router is behind; the next digest replaces this one.
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
        let pull = matches!(req, Request::Config(_));
        let reply = self.clients.ask(to.addr, req, CALL_TIMEOUT).await;
        match reply {
            Some(reply) => self.step(Event::Replied { from: to, reply }),
            None if pull => self.step(Event::PullFailed),
            None => {}
        }
    }

    async fn read_manifest(self: Arc<Self>) {
        match self.platform.get::<Manifest>(Manifest::CURRENT).await {
            Ok(Some(read)) => self.step(Event::Read(read.value)),
            Err(e) if e.category() == Category::Garbage => platform_garbage(),
            Ok(None) | Err(_) => {}
        }
    }

    async fn load(self: Arc<Self>, manifest: Manifest, known: Option<Arc<Snapshot>>) {
        let loaded = config::load_manifest(&self.platform, manifest, known.as_deref()).await;
        if let Err(e) = &loaded
            && e.category() == config::Category::Garbage
        {
            platform_garbage();
        }
        self.step(Event::Loaded(loaded.ok().map(Arc::new)));
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
            follow::<Manifest, P>(&node.platform, |seen| node.manifests_seen(seen)).await;
        };
        let node = Arc::clone(self);
        let hosts = async move {
            follow::<HostEntry, P>(&node.platform, |items| node.hosts_seen(items)).await;
        };
        tokio::spawn(async move {
            tokio::select! {
                () = cancel.cancelled() => {}
                () = manifests => {}
                () = hosts => {}
            }
        });
    }

    fn manifests_seen(self: &Arc<Self>, seen: Seen<Manifest>) {
        let manifests = match seen {
            Seen::All(items) => items.into_iter().map(|(_, manifest)| manifest).collect(),
            Seen::One(_, manifest) => Vec::from_iter(manifest),
        };
        for manifest in manifests {
            self.step(Event::Watched(manifest));
        }
    }

    fn hosts_seen(self: &Arc<Self>, seen: Seen<HostEntry>) {
        match seen {
            Seen::All(items) => {
                let hosts = items
                    .into_iter()
                    .map(|(name, entry)| Host::new(name, entry));
                self.step(Event::Listed(hosts.collect()));
            }
            Seen::One(name, entry) => {
                let host = entry.map(|entry| Host::new(name.clone(), entry));
                self.step(Event::HostChanged { name, host });
            }
        }
    }

    /// Ticks once an exchange period.
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

    /// Takes over suspects that a peer told of.
    async fn hear(self: Arc<Self>, marks: Vec<SuspectRecord>) -> Reply {
        self.step(Event::Suspects(marks.clone()));
        let (tx, rx) = oneshot::channel();
        let ack = AckOnDrop { _tx: tx };
        let news = PeerUpdate::Suspects { marks, ack };
        let taken = async {
            self.news.send(news).await.ok()?;
            // The sender is dropped without a value when the router has the marks.
            rx.await.err()
        };
        Reply::Told(
            tokio::time::timeout(HEAR_TIMEOUT, taken)
                .await
                .is_ok_and(|t| t.is_some()),
        )
    }
}

/// Counts an object of the platform that can't be decoded or does not fit the others.
fn platform_garbage() {
    let code = types::Code::PlatformGarbage.label();
    metrics::counter!("celerytally_platform_garbage_total", "code" => code).increment(1);
}

/// What a watch has seen.
#[derive(Debug)]
enum Seen<T> {
    All(Vec<(String, T)>),
    One(String, Option<T>),
}

/// Lists and watches a kind for ever.
async fn follow<T: Kind, P: Platform>(platform: &P, mut seen: impl FnMut(Seen<T>)) {
    let mut from: Option<Revision> = None;
    loop {
        let revision = match from.take() {
            Some(revision) => Some(revision),
            None => list(platform, &mut seen).await,
        };
        if let Some(revision) = revision {
            from = watch_from(platform, revision, &mut seen).await;
        }
        sleep(WATCH_RETRY).await;
    }
}

/// Lists a kind; returns the revision from which a watch continues.
async fn list<T: Kind, P: Platform>(
    platform: &P,
    seen: &mut impl FnMut(Seen<T>),
) -> Option<Revision> {
    let list = platform.list::<T>().await.ok()?;
    let items = list.items.into_iter().map(|o| (o.name, o.value));
    seen(Seen::All(items.collect()));
    Some(list.revision)
}

/// Watches until the platform ends it; returns where to go on, unless a list is needed.
async fn watch_from<T: Kind, P: Platform>(
    platform: &P,
    mut at: Revision,
    seen: &mut impl FnMut(Seen<T>),
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
                seen(Seen::One(object.name, Some(object.value)));
            }
            Ok(Change::Deleted(name)) => seen(Seen::One(name, None)),
            Err(_) => return None,
        }
    }
    Some(at)
}

/// Answers peers on behalf of a node.
#[derive(Debug)]
pub(crate) struct Answers<P, C, S>(pub(crate) Arc<Node<P, C, S>>);

impl<P, C, S> Clone for Answers<P, C, S> {
    fn clone(&self) -> Self {
        Self(Arc::clone(&self.0))
    }
}

impl<P: Platform, C: Clock, S: PeerHandler> Answer for Answers<P, C, S> {
    async fn answer(&self, req: Request) -> Reply {
        let node = &self.0;
        let mut out = Vec::new();
        let reply = node.lock().serve(node.clock.now(), &req, &mut out);
        node.perform(out);
        if let Some(reply) = reply {
            return reply;
        }
        match req {
            Request::Suspects(marks) => Arc::clone(node).hear(marks).await,
            Request::Demand(model, adapter) => {
                node.handler.request_model(model, adapter).await;
                Reply::Told(true)
            }
            Request::RetiredEpoch(epoch) => {
                Reply::Told(node.handler.has_retired_epoch(epoch).await)
            }
            Request::Place(model, adapter) => {
                Reply::Placed(node.handler.place(model, adapter).await)
            }
            Request::Replica(model, adapter, on) => {
                Reply::Placed(node.handler.request_replica(model, adapter, on).await)
            }
            Request::Facts(known) => Reply::Facts(node.handler.facts(known).await.map(Box::new)),
            _ => Reply::Told(false),
        }
    }
}
