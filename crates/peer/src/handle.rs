//! Handle through which the process starts and uses the exchange.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use config::{ActiveConfig, Secret};
use futures::future::join_all;
use rand::Rng;
use route::{BackendLoad, CrashUpdate, Fingerprint, SuspectRecord, TrialReply, TrialRequest};
use store::Platform;
use tokio::{
    net::TcpListener,
    sync::{mpsc, watch},
};
use tokio_util::sync::CancellationToken;
use transfer::PartId;
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
    node::{Node, NodeHandler, PeerUpdate},
    request_error::RequestError,
    state::State,
    traffic::{Counts, Traffic},
    wire::{self, ClientPool},
};

/// Capacity of the channel of updates; digests that exceed it are dropped.
const MAX_QUEUED_UPDATES: usize = 4_096;

/// Timeout of a push of suspects, for which the caller of the suspect request waits.
const SUSPECTS_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout of a request for a suspect slot.
const SLOT_TIMEOUT: Duration = Duration::from_millis(250);

/// Timeout of a placement, which includes loading the model.
const PLACE_TIMEOUT: Duration = Duration::from_secs(4);

/// Timeout of a request for platform facts, without and with waiting for a change. Their sum plus
/// the time of a transfer must not exceed the time in which a configuration takes effect.
const FACTS_TIMEOUT: Duration = Duration::from_millis(300);
const FACTS_WAIT_TIMEOUT: Duration = Duration::from_millis(850);

/// Timeout of a request for a part of a configuration, after which another host is asked for it.
const PART_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout of all other requests.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// Options of [`start`].
#[derive(Clone, Debug)]
pub struct Options {
    /// Name of this host.
    pub host: HostId,
    /// Data centre of this host.
    pub dc: DataCentreId,
    /// Address to listen on for peers; with port 0 the kernel chooses a port.
    pub listen: SocketAddr,
    /// Address at which peers reach this host, if it differs from `listen`.
    pub advertise: Option<SocketAddr>,
    /// HTTP address of this host, to which peers forward requests.
    pub http: SocketAddr,
    /// Processor capacity of this machine, which affects its rank for duties.
    pub capacity: Millicores,
    /// Addresses of entry hosts to contact first.
    pub seeds: Vec<SocketAddr>,
    /// Token that all entry hosts share.
    pub token: Secret,
    /// Time between two gossip rounds.
    pub period: Micros,
    /// Where hosts learn of configuration changes.
    pub config_source: ConfigSource,
}

/// Handle to the exchange of this host.
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

/// Range of configuration versions in force on the live hosts.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Convergence {
    /// Lowest version; zero while some live host has none.
    pub lowest: ConfigVersion,
    /// Highest version.
    pub highest: ConfigVersion,
    /// Live hosts that are behind the highest version.
    pub stragglers: Vec<HostId>,
}

/// Outcome of a push of suspects.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SuspectPush {
    /// Number of peers that acknowledged.
    pub acknowledged: usize,
    /// Peers that did not acknowledge in time.
    pub missed: Vec<HostId>,
}

/// Starts the exchange with peers. Returns its handle and the channel of updates from peers.
///
/// # Errors
/// Fails with [`Category::Listen`](crate::Category::Listen) when the address cannot be bound.
pub async fn start<P: Platform, C: Clock, S: PeerHandler>(
    options: Options,
    platform: P,
    clock: C,
    handler: S,
) -> Result<(Handle<P, C, S>, mpsc::Receiver<PeerUpdate>)> {
    let listen = |e| Error::listen(options.listen, e);
    let listener = TcpListener::bind(options.listen).await.map_err(listen)?;
    let addr = listener.local_addr().map_err(listen)?;
    let (sender, updates) = mpsc::channel(MAX_QUEUED_UPDATES);
    let counts = Arc::new(Counts::default());
    let cancel = CancellationToken::new();
    let advertised = options.advertise.unwrap_or(addr);
    let state = State::new(params(&options, advertised), clock.now());
    let node = Arc::new(Node {
        state: state.into(),
        platform,
        clock,
        handler,
        clients: ClientPool::new(options.token.clone(), Arc::clone(&counts)),
        counts: Arc::clone(&counts),
        updates: sender,
        in_force: watch::Sender::new(None),
        inventory: watch::Sender::new(Arc::default()),
        members: watch::Sender::new(Arc::default()),
        watches: None.into(),
        cancel: cancel.clone(),
    });
    let request_handler = NodeHandler(Arc::clone(&node));
    tokio::spawn(wire::serve(
        listener,
        options.token,
        counts,
        request_handler,
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
    Ok((handle, updates))
}

fn params(options: &Options, advertised: SocketAddr) -> Params {
    // Derived from the wall clock so that they exceed those of earlier incarnations.
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

    /// Returns the incarnation of this process as its peers know it.
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

    /// Subscribes to the configuration in force, whose version only increases.
    #[must_use]
    pub fn active_config(&self) -> watch::Receiver<Option<Arc<ActiveConfig>>> {
        self.node.in_force.subscribe()
    }

    /// Subscribes to the platform's host list, which keeps its last value while the platform is
    /// unreachable.
    #[must_use]
    pub fn inventory(&self) -> watch::Receiver<Arc<Inventory>> {
        self.node.inventory.subscribe()
    }

    /// Subscribes to the known entry hosts, sorted by name.
    #[must_use]
    pub fn members(&self) -> watch::Receiver<Arc<Vec<Member>>> {
        self.node.members.subscribe()
    }

    /// Returns the range of versions in force on the live hosts and the hosts that lag.
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

    /// Returns the bytes sent and received per kind of message.
    #[must_use]
    pub fn traffic(&self) -> Vec<Traffic> {
        self.node.counts.by_kind()
    }

    /// Returns the number of messages that were malformed or contradicted themselves.
    #[must_use]
    pub fn invalid_messages(&self) -> u64 {
        self.node.counts.invalid_messages()
    }

    /// Returns the number of connections that were refused because of a wrong token.
    #[must_use]
    pub fn refused_connections(&self) -> u64 {
        self.node.counts.refused_connections()
    }

    /// Sets the readiness that this host announces.
    pub fn set_readiness(&self, state: Readiness) {
        self.node.step(Event::Readiness(state));
    }

    /// Shares the loads that this host observed, with the age of each.
    pub fn report_loads(&self, views: Vec<(BackendId, BackendLoad, Micros)>) {
        self.node.step(Event::Loads(views));
    }

    /// Sets the models that are resident in this data centre.
    pub fn set_residents(&self, models: Vec<ModelId>) {
        self.node.step(Event::Residents(models));
    }

    /// Sets the epoch of the lease that this host holds; `None` when it holds none.
    pub fn set_lease(&self, epoch: Option<Epoch>) {
        self.node.step(Event::LeaseEpoch(epoch));
    }

    /// Announces that this host retired an epoch and will send no more orders under it.
    pub fn announce_retired_epoch(&self, epoch: Epoch) {
        self.node.step(Event::RetiredEpoch(epoch));
    }

    /// Pushes suspect records to all peers. Returns once each has acknowledged or timed out.
    pub async fn share_suspects(&self, records: Vec<SuspectRecord>) -> SuspectPush {
        self.node.step(Event::Suspects(records.clone()));
        let mut peers = self.current_members();
        peers.retain(|m| m.id != self.host && m.state != MemberState::Gone);
        let pushes = peers.into_iter().map(async |m| {
            let req = Request::Suspects(records.clone());
            let reply = self
                .node
                .clients
                .request(m.peer_addr, req, SUSPECTS_TIMEOUT)
                .await;
            (m.id, reply == Ok(Reply::Bool(true)))
        });
        let mut push = SuspectPush::default();
        for (host, acknowledged) in join_all(pushes).await {
            if acknowledged {
                push.acknowledged += 1;
            } else {
                push.missed.push(host);
            }
        }
        push
    }

    /// Requests permission to run a suspect request on a backend server. No answer means no.
    pub async fn request_suspect_slot(&self, suspect: Fingerprint, backend: &BackendId) -> bool {
        let now = self.node.clock.now();
        let granters = self.node.lock().granters(now, backend);
        let mut granted = false;
        // In sequence, so that of two hosts that request the slot at once one obtains it.
        for granter in granters {
            granted = if granter.host.as_ref() == Some(&self.host) {
                self.node.lock().grant(now, suspect, backend)
            } else {
                let req = Request::Slot(suspect, backend.clone());
                let reply = self
                    .node
                    .clients
                    .request(granter.addr, req, SLOT_TIMEOUT)
                    .await;
                reply == Ok(Reply::Bool(true))
            };
            if !granted {
                break;
            }
        }
        granted
    }

    /// Pushes a crash update to all peers, without waiting for them.
    pub fn push_crash_update(&self, update: &CrashUpdate) {
        let peers = self.current_members();
        for peer in peers {
            if peer.id == self.host || peer.state == MemberState::Gone {
                continue;
            }
            let (node, req) = (Arc::clone(&self.node), Request::CrashUpdate(update.clone()));
            tokio::spawn(async move {
                let pushed = node
                    .clients
                    .request(peer.peer_addr, req, SUSPECTS_TIMEOUT)
                    .await;
                if let Err(e) = pushed {
                    tracing::debug!(host = %peer.id, reason = %e.reason(), "crash update not delivered");
                }
            });
        }
    }

    /// Requests a trial of a suspect. No answer counts as a denial.
    pub async fn request_trial(&self, trial: TrialRequest) -> TrialReply {
        let now = self.node.clock.now();
        let granters = self.node.lock().trial_granters(now, trial.suspect);
        let mut reply = TrialReply::Denied;
        // In sequence, so that of two hosts that ask at once one obtains the trial.
        for granter in granters {
            reply = if granter.host.as_ref() == Some(&self.host) {
                self.node.lock().grant_trial(now, trial)
            } else {
                let req = Request::Trial(trial);
                let replied = self.node.clients.request(granter.addr, req, SLOT_TIMEOUT);
                match replied.await {
                    Ok(Reply::Trial(reply)) => reply,
                    _ => TrialReply::Denied,
                }
            };
            if reply != TrialReply::Granted {
                break;
            }
        }
        reply
    }

    /// Requests a model or adapter that is not resident from the controller of this data centre.
    ///
    /// Returns whether a controller accepted the request.
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
            .request(holder.peer_addr, req, REQUEST_TIMEOUT)
            .await;
        reply == Ok(Reply::Bool(true))
    }

    /// Returns whether a host has retired an epoch. No answer means no.
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
            .request(member.peer_addr, req, REQUEST_TIMEOUT)
            .await;
        reply == Ok(Reply::Bool(true))
    }

    /// Returns the time since the last heartbeat of a host that this host knows of.
    #[must_use]
    pub fn silence(&self, host: &HostId) -> Option<Micros> {
        let now = self.node.clock.now();
        self.node.lock().silence(now, host)
    }

    /// Asks the lease holder to place a model or adapter. Returns the servers that hold it then.
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

    /// Asks the lease holder for one more copy of an adapter, on a given backend server.
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
        let reply = self
            .node
            .clients
            .request(member.peer_addr, req, PLACE_TIMEOUT);
        match reply.await {
            Ok(Reply::Placed(backends)) => backends,
            _ => Vec::new(),
        }
    }

    /// Asks a host for what it read from the platform, for at most a time. Returns `None` when the
    /// host cannot reach the platform either.
    ///
    /// # Errors
    /// Fails without a reply within the timeout.
    pub async fn facts(
        &self,
        from: &HostId,
        known: KnownFacts,
        limit: Duration,
    ) -> std::result::Result<Option<Facts>, RequestError> {
        let timeout = if known.wait {
            FACTS_WAIT_TIMEOUT
        } else {
            FACTS_TIMEOUT
        };
        let req = Request::Facts(known);
        match self.request(from, req, timeout.min(limit)).await? {
            Reply::Facts(facts) => Ok(facts.map(|f| *f)),
            _ => Ok(None),
        }
    }

    /// Requests a part of a configuration that a host offered. Returns `None` when the host does not
    /// have it any more.
    ///
    /// # Errors
    /// Fails without a reply within the timeout.
    pub async fn part(
        &self,
        from: &HostId,
        part: PartId,
    ) -> std::result::Result<Option<Vec<u8>>, RequestError> {
        match self
            .request(from, Request::Part(part), PART_TIMEOUT)
            .await?
        {
            Reply::Part(bytes) => Ok(bytes),
            _ => Ok(None),
        }
    }

    async fn request(
        &self,
        to: &HostId,
        req: Request,
        limit: Duration,
    ) -> std::result::Result<Reply, RequestError> {
        let members = self.current_members();
        let member = members.into_iter().find(|m| m.id == *to);
        let addr = member.ok_or(RequestError::UNKNOWN_HOST)?.peer_addr;
        self.node.clients.request(addr, req, limit).await
    }

    /// Stops the exchange.
    pub fn stop(&self) {
        self.node.cancel.cancel();
    }
}
