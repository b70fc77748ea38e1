//! Starts the exchange and gives the process access to it.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use config::{InForce, Secret};
use futures::future::join_all;
use rand::Rng;
use route::{BackendLoad, Fingerprint, SuspectRecord};
use store::Platform;
use tokio::{
    net::TcpListener,
    sync::{mpsc, watch},
};
use tokio_util::sync::CancellationToken;
use types::{
    AdapterId, BackendId, Clock, ConfigVersion, DataCentreId, Epoch, HostId, Incarnation, Micros,
    Millicores, ModelId,
};

use crate::{
    error::{Error, Result},
    event::{ConfigSource, Event, Params},
    handler::PeerHandler,
    hosts::Inventory,
    member::{Member, MemberState},
    message::{Facts, KnownFacts, Readiness, Reply, Request},
    node::{Answers, Node, PeerUpdate},
    state::State,
    traffic::{Counts, Traffic},
    wire::{self, Clients},
};

/// News that may wait for the router; digests beyond that are dropped.
const NEWS_BACKLOG: usize = 4_096;

/// Bounds the push of suspects: the caller of the suspect waits for it.
const SUSPECTS_TIMEOUT: Duration = Duration::from_millis(500);

/// Bounds the question for a suspect slot.
const SLOT_TIMEOUT: Duration = Duration::from_millis(250);

/// Bounds the wait for a placement, within which a model is loaded.
const PLACE_TIMEOUT: Duration = Duration::from_secs(4);

/// Bounds the question for facts, and one that waits for news; both together, and a list of the
/// platform, must fit the time in which a configuration is in force.
const FACTS_TIMEOUT: Duration = Duration::from_millis(300);
const FACTS_WAIT_TIMEOUT: Duration = Duration::from_millis(850);

/// Bounds the other questions.
const ASK_TIMEOUT: Duration = Duration::from_secs(1);

/// What the exchange is started with.
#[derive(Clone, Debug)]
pub struct Options {
    /// Name of this host.
    pub host: HostId,
    /// Data centre that it is in.
    pub dc: DataCentreId,
    /// Address to listen on; port 0 lets the kernel choose.
    pub listen: SocketAddr,
    /// Address at which others reach this host, if it differs.
    pub advertise: Option<SocketAddr>,
    /// Address of this host for HTTP, to which requests are forwarded.
    pub http: SocketAddr,
    /// Processor capacity of this machine, by which hosts choose who does duties for others.
    pub capacity: Millicores,
    /// Addresses of entry hosts to contact first.
    pub seeds: Vec<SocketAddr>,
    /// Token shared by the entry hosts.
    pub token: Secret,
    /// Time between two rounds of the exchange.
    pub period: Micros,
    /// How hosts learn that the configuration changed.
    pub config_source: ConfigSource,
}

/// Access to the exchange on this host.
#[derive(Debug)]
pub struct Handle<P, C, S> {
    node: Arc<Node<P, C, S>>,
    peer_addr: SocketAddr,
    listen_addr: SocketAddr,
    host: HostId,
    dc: DataCentreId,
}

impl<P, C, S> Clone for Handle<P, C, S> {
    fn clone(&self) -> Self {
        Self {
            node: Arc::clone(&self.node),
            peer_addr: self.peer_addr,
            listen_addr: self.listen_addr,
            host: self.host.clone(),
            dc: self.dc.clone(),
        }
    }
}

/// Which version is in force everywhere.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Convergence {
    /// Lowest version over the live hosts, zero while one has none.
    pub lowest: ConfigVersion,
    /// Highest version over the live hosts.
    pub highest: ConfigVersion,
    /// Live hosts that are behind the highest version, by name.
    pub stragglers: Vec<HostId>,
}

/// Outcome of a push of suspects.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SuspectPush {
    /// Peers that acknowledged.
    pub acknowledged: usize,
    /// Peers that did not acknowledge in time.
    pub missed: Vec<HostId>,
}

/// Starts the exchange with peers.
///
/// # Errors
/// `Listen` when the address can't be listened on.
pub async fn start<P: Platform, C: Clock, S: PeerHandler>(
    options: Options,
    platform: P,
    clock: C,
    handler: S,
) -> Result<(Handle<P, C, S>, mpsc::Receiver<PeerUpdate>)> {
    let listen = |e| Error::listen(options.listen, e);
    let listener = TcpListener::bind(options.listen).await.map_err(listen)?;
    let addr = listener.local_addr().map_err(listen)?;
    let (news, heard) = mpsc::channel(NEWS_BACKLOG);
    let counts = Arc::new(Counts::default());
    let cancel = CancellationToken::new();
    let advertised = options.advertise.unwrap_or(addr);
    let state = State::new(params(&options, advertised), clock.now());
    let node = Arc::new(Node {
        state: state.into(),
        platform,
        clock,
        handler,
        clients: Clients::new(options.token.clone(), Arc::clone(&counts)),
        counts: Arc::clone(&counts),
        news,
        in_force: watch::Sender::new(None),
        inventory: watch::Sender::new(Arc::default()),
        members: watch::Sender::new(Arc::default()),
        watches: None.into(),
        cancel: cancel.clone(),
    });
    let answers = Answers(Arc::clone(&node));
    tokio::spawn(wire::serve(
        listener,
        options.token,
        counts,
        answers,
        cancel,
    ));
    tokio::spawn(Arc::clone(&node).run(options.period.into()));
    let handle = Handle {
        node,
        peer_addr: advertised,
        listen_addr: addr,
        host: options.host,
        dc: options.dc,
    };
    Ok((handle, heard))
}

fn params(options: &Options, advertised: SocketAddr) -> Params {
    // The clock only makes a life's numbers higher than those of the lives before it.
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let micros = u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX);
    let mut seeds = options.seeds.clone();
    seeds.retain(|seed| *seed != advertised);
    Params {
        host: options.host.clone(),
        dc: options.dc.clone(),
        addr: options.http,
        peer_addr: advertised,
        capacity: options.capacity,
        incarnation: Incarnation::new(micros),
        counter: micros / options.period.get().max(1),
        seeds,
        period: options.period,
        config_source: options.config_source,
        seed: rand::rng().next_u64(),
    }
}

impl<P: Platform, C: Clock, S: PeerHandler> Handle<P, C, S> {
    /// Returns the name of this host.
    #[must_use]
    pub fn host(&self) -> &HostId {
        &self.host
    }

    /// Returns the address at which peers reach this host.
    #[must_use]
    pub fn peer_addr(&self) -> SocketAddr {
        self.peer_addr
    }

    /// Returns the life of this process as its peers know it.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        let own = self
            .current_members()
            .into_iter()
            .find(|m| m.id == self.host);
        own.map(|m| m.incarnation).unwrap_or_default()
    }

    /// Returns the address that this host listens on for peers.
    #[must_use]
    pub fn listen_addr(&self) -> SocketAddr {
        self.listen_addr
    }

    /// Follows the configuration in force; versions only rise.
    #[must_use]
    pub fn active_config(&self) -> watch::Receiver<Option<Arc<InForce>>> {
        self.node.in_force.subscribe()
    }

    /// Follows the platform's list of hosts, which stays as it was while the platform is away.
    #[must_use]
    pub fn inventory(&self) -> watch::Receiver<Arc<Inventory>> {
        self.node.inventory.subscribe()
    }

    /// Follows the entry hosts that were heard of, sorted by name.
    #[must_use]
    pub fn members(&self) -> watch::Receiver<Arc<Vec<Member>>> {
        self.node.members.subscribe()
    }

    /// Tells which version is in force everywhere and who is behind.
    #[must_use]
    pub fn convergence(&self) -> Convergence {
        let mut live = self.current_members();
        live.retain(|m| !matches!(m.state, MemberState::Gone | MemberState::Suspected));
        let versions = live.iter().map(|m| m.version);
        let highest = versions.clone().max().unwrap_or_default();
        let behind = live.iter().filter(|m| m.version < highest);
        Convergence {
            lowest: versions.min().unwrap_or_default(),
            highest,
            stragglers: behind.map(|m| m.id.clone()).collect(),
        }
    }

    fn current_members(&self) -> Vec<Member> {
        self.node.lock().members(self.node.clock.now())
    }

    /// Returns the bytes sent and received by kind of message.
    #[must_use]
    pub fn traffic(&self) -> Vec<Traffic> {
        self.node.counts.list()
    }

    /// Returns the number of messages that could not be decoded or could not be right.
    #[must_use]
    pub fn invalid_messages(&self) -> u64 {
        self.node.counts.garbage_count()
    }

    /// Returns the number of connections that were refused for a wrong token.
    #[must_use]
    pub fn refused_connections(&self) -> u64 {
        self.node.counts.refused_count()
    }

    /// Sets what this host says about its readiness.
    pub fn set_readiness(&self, state: Readiness) {
        self.node.step(Event::Own(state));
    }

    /// Shares what this host saw of backend servers, with the age of each view.
    pub fn report_loads(&self, views: Vec<(BackendId, BackendLoad, Micros)>) {
        self.node.step(Event::Loads(views));
    }

    /// Shares which models are resident in this data centre.
    pub fn set_residents(&self, models: Vec<ModelId>) {
        self.node.step(Event::Residents(models));
    }

    /// Tells the others that this host holds the lease of its data centre, or no longer does.
    pub fn set_lease(&self, epoch: Option<Epoch>) {
        self.node.step(Event::Holds(epoch));
    }

    /// Tells the others that this host gave up an epoch and will send no more orders under it.
    pub fn announce_retired_epoch(&self, epoch: Epoch) {
        self.node.step(Event::Yielded(epoch));
    }

    /// Tells all peers of suspects and returns when all that can be reached have them.
    pub async fn share_suspects(&self, marks: Vec<SuspectRecord>) -> SuspectPush {
        self.node.step(Event::Suspects(marks.clone()));
        let mut peers = self.current_members();
        peers.retain(|m| m.id != self.host && m.state != MemberState::Gone);
        let pushes = peers.into_iter().map(async |m| {
            let req = Request::Suspects(marks.clone());
            let reply = self
                .node
                .clients
                .ask(m.peer_addr, req, SUSPECTS_TIMEOUT)
                .await;
            (m.id, reply == Some(Reply::Told(true)))
        });
        let mut shared = SuspectPush::default();
        for (host, acknowledged) in join_all(pushes).await {
            if acknowledged {
                shared.acknowledged += 1;
            } else {
                shared.missed.push(host);
            }
        }
        shared
    }

    /// Asks whether a suspect may run on a backend server now; no answer means no.
    pub async fn request_suspect_slot(&self, suspect: Fingerprint, backend: &BackendId) -> bool {
        let now = self.node.clock.now();
        let granters = self.node.lock().granters(now, backend);
        let mut granted = false;
        // One after the other, so that two hosts that ask at once do not block each other.
        for granter in granters {
            granted = if granter.host.as_ref() == Some(&self.host) {
                self.node.lock().grant(now, suspect, backend)
            } else {
                let req = Request::Slot(suspect, backend.clone());
                let reply = self.node.clients.ask(granter.addr, req, SLOT_TIMEOUT).await;
                reply == Some(Reply::Told(true))
            };
            if !granted {
                break;
            }
        }
        granted
    }

    /// Tells the controller of this data centre of a model or adapter that is not resident.
    ///
    /// Returns whether a controller took note of it.
    pub async fn request_model(&self, model: ModelId, adapter: Option<AdapterId>) -> bool {
        let mut holders = self.current_members();
        holders.retain(|m| m.dc == self.dc && m.state != MemberState::Gone);
        let holder = holders
            .into_iter()
            .filter(|m| m.lease_epoch.is_some())
            .max_by_key(|m| m.lease_epoch);
        let Some(holder) = holder else { return false };
        if holder.id == self.host {
            self.node.handler.request_model(model, adapter).await;
            return true;
        }
        let req = Request::Demand(model, adapter);
        let reply = self
            .node
            .clients
            .ask(holder.peer_addr, req, ASK_TIMEOUT)
            .await;
        reply == Some(Reply::Told(true))
    }

    /// Tells whether a host gave up an epoch; no answer means no.
    pub async fn has_retired_epoch(&self, host: &HostId, epoch: Epoch) -> bool {
        if *host == self.host {
            return self.node.handler.has_retired_epoch(epoch).await;
        }
        let members = self.current_members();
        let Some(member) = members.into_iter().find(|m| m.id == *host) else {
            return false;
        };
        if member.retired_epoch >= Some(epoch) {
            return true;
        }
        let req = Request::RetiredEpoch(epoch);
        let reply = self
            .node
            .clients
            .ask(member.peer_addr, req, ASK_TIMEOUT)
            .await;
        reply == Some(Reply::Told(true))
    }

    /// Asks a holder of the lease to place a model or adapter; returns where it is then.
    pub async fn place(
        &self,
        holder: &HostId,
        model: ModelId,
        adapter: Option<AdapterId>,
    ) -> Vec<BackendId> {
        if *holder == self.host {
            return self.node.handler.place(model, adapter).await;
        }
        self.ask_holder(holder, Request::Place(model, adapter))
            .await
    }

    /// Asks a holder of the lease to place an adapter on a backend server as well.
    pub async fn request_replica(
        &self,
        holder: &HostId,
        model: ModelId,
        adapter: AdapterId,
        on: BackendId,
    ) -> Vec<BackendId> {
        if *holder == self.host {
            return self.node.handler.request_replica(model, adapter, on).await;
        }
        self.ask_holder(holder, Request::Replica(model, adapter, on))
            .await
    }

    async fn ask_holder(&self, holder: &HostId, req: Request) -> Vec<BackendId> {
        let members = self.current_members();
        let Some(member) = members.into_iter().find(|m| m.id == *holder) else {
            return Vec::new();
        };
        let asked = self.node.clients.ask(member.peer_addr, req, PLACE_TIMEOUT);
        match asked.await {
            Some(Reply::Placed(backends)) => backends,
            _ => Vec::new(),
        }
    }

    /// Asks a host for what it read from the platform; nothing when it does not reach it either.
    pub async fn facts(&self, from: &HostId, known: KnownFacts) -> Option<Facts> {
        let members = self.current_members();
        let member = members.into_iter().find(|m| m.id == *from)?;
        let within = if known.wait {
            FACTS_WAIT_TIMEOUT
        } else {
            FACTS_TIMEOUT
        };
        let req = Request::Facts(known);
        match self.node.clients.ask(member.peer_addr, req, within).await {
            Some(Reply::Facts(facts)) => facts.map(|f| *f),
            _ => None,
        }
    }

    /// Stops the exchange.
    pub fn stop(&self) {
        self.node.cancel.cancel();
    }
}
