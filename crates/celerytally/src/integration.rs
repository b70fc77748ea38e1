//! Implementations of the traits through which the other crates call each other.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, OnceLock, PoisonError, RwLock},
};

use engine::{Client, Server};
use orders::SendOutcome;
use peer::{Handle, MemberState};
use route::{CrashUpdate, Fingerprint, SuspectRecord, TrialReply, TrialRequest};
use store::HttpPlatform;
use tokio::sync::mpsc;
use types::{
    AdapterId, BackendId, Clock, DataCentreId, Epoch, HostId, Incarnation, Instant, LoadReport,
    Micros, ModelId, Monotonic, Order,
};

/// Time after which a host missing from the platform's list, which lags, counts as deregistered.
const MAX_LIST_LAG: Micros = Micros::from_secs(120);

/// Handle of the exchange with the other entry hosts.
pub(crate) type Exchange = Handle<HttpPlatform, Monotonic, PeerRequestHandler>;

/// Handler of the requests of peers.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerRequestHandler {
    /// Set once the controller exists; the exchange starts before it.
    control: Arc<OnceLock<control::Handle>>,
}

impl PeerRequestHandler {
    pub(crate) fn set(&self, control: control::Handle) {
        // The process starts one controller, so the cell is empty.
        drop(self.control.set(control));
    }
}

impl peer::PeerHandler for PeerRequestHandler {
    async fn request_model(&self, model: ModelId, adapter: Option<AdapterId>) {
        let Some(control) = self.control.get() else {
            return;
        };
        let name = adapter.map_or_else(|| model.to_string(), |a| a.to_string());
        // If the queue is full, the event is dropped; the next request for the model repeats it.
        drop(control.events.try_send(control::Event::Requested { name }));
    }

    async fn has_retired_epoch(&self, epoch: Epoch) -> bool {
        self.control
            .get()
            .is_some_and(|c| c.try_retire_epoch(epoch))
    }
}

/// Addresses of the backend servers.
#[derive(Clone, Debug, Default)]
pub(crate) struct Servers {
    /// Sorted by id.
    list: Arc<RwLock<Vec<Server>>>,
}

impl Servers {
    pub(crate) fn set(&self, mut servers: Vec<Server>) {
        servers.sort_by(|a, b| a.id.cmp(&b.id));
        *self.list.write().unwrap_or_else(PoisonError::into_inner) = servers;
    }

    pub(crate) fn find(&self, id: &BackendId) -> Option<Server> {
        let list = self.list.read().unwrap_or_else(PoisonError::into_inner);
        let at = list.binary_search_by(|s| s.id.cmp(id)).ok()?;
        Some(list[at].clone())
    }
}

/// Client of the backend servers for the controller.
#[derive(Clone, Debug)]
pub(crate) struct ControlBackends {
    pub(crate) client: Client,
    pub(crate) servers: Servers,
    /// Forwards reports that the controller fetched to the router, so that it sees a load at once.
    pub(crate) reports: mpsc::Sender<(BackendId, LoadReport)>,
}

impl control::BackendClient for ControlBackends {
    async fn send_order(&self, backend: &BackendId, order: &Order) -> SendOutcome {
        let Some(server) = self.servers.find(backend) else {
            return SendOutcome::Lost;
        };
        match self.client.post_order(&server, order).await {
            Ok(()) => SendOutcome::Accepted,
            Err(e) => match e.category() {
                engine::Category::Fenced => {
                    SendOutcome::Stale(e.fence().unwrap_or_else(|| order.fence.next()))
                }
                engine::Category::OutOfMemory => SendOutcome::NoMemory,
                _ => SendOutcome::Lost,
            },
        }
    }

    async fn fetch_load_report(&self, backend: &BackendId) -> Option<LoadReport> {
        let server = self.servers.find(backend)?;
        let report = self.client.load_report(&server).await.ok()?;
        // If the queue of the router is full, it gets the next report.
        drop(self.reports.try_send((backend.clone(), report.clone())));
        Some(report)
    }
}

/// Client of the other entry hosts for the gate.
#[derive(Clone, Debug)]
pub(crate) struct GatePeers {
    pub(crate) exchange: Exchange,
    pub(crate) host: HostId,
}

impl gate::Peers for GatePeers {
    async fn share_suspects(&self, records: Vec<SuspectRecord>) {
        let shared = self.exchange.share_suspects(records).await;
        if !shared.missed.is_empty() {
            tracing::debug!(missed = ?shared.missed, "suspects not acknowledged");
        }
    }

    fn share_crashes(&self, update: CrashUpdate) {
        self.exchange.push_crash_update(&update);
    }

    async fn request_trial(&self, trial: TrialRequest) -> TrialReply {
        self.exchange.request_trial(trial).await
    }

    async fn request_suspect_slot(&self, fingerprint: Fingerprint, backend: BackendId) -> bool {
        self.exchange
            .request_suspect_slot(fingerprint, &backend)
            .await
    }

    fn entry_host(&self, dc: &DataCentreId) -> Option<SocketAddr> {
        let members = self.exchange.members().borrow().clone();
        let usable: Vec<_> = members
            .iter()
            .filter(|m| m.dc == *dc && m.ready && m.state == MemberState::Alive)
            .collect();
        // Each host prefers a different one there, which spreads forwarded requests.
        let names: Vec<&str> = usable.iter().map(|m| m.id.as_str()).collect();
        let first = types::rendezvous_rank(self.host.as_str(), &names)
            .into_iter()
            .next()?;
        usable
            .iter()
            .find(|m| m.id.as_str() == first)
            .map(|m| m.addr)
    }

    fn is_live(&self, host: &HostId, incarnation: Incarnation) -> bool {
        let members = self.exchange.members().borrow().clone();
        let member = members.iter().find(|m| m.id == *host);
        member.is_some_and(|m| m.incarnation == incarnation && m.state != MemberState::Gone)
    }

    /// Forwards the request; the backend servers' reports show when the model is resident.
    async fn request_model(&self, model: ModelId, adapter: Option<AdapterId>) -> Vec<BackendId> {
        self.exchange.request_model(model, adapter).await;
        Vec::new()
    }
}

/// Client of the other entry hosts for the controller.
#[derive(Clone, Debug)]
pub(crate) struct ControlPeers {
    pub(crate) dc: DataCentreId,
    pub(crate) exchange: Exchange,
    pub(crate) clock: Monotonic,
    pub(crate) remote_models: RemoteModels,
    /// Hosts that the platform's list lacks, with the instant of the first check that missed them,
    /// sorted by host.
    pub(crate) absent_since: Arc<Mutex<Vec<(HostId, Instant)>>>,
}

impl ControlPeers {
    /// Returns the time for which the platform's list has lacked a host.
    fn absent_for(&self, host: &HostId) -> Micros {
        let now = self.clock.now();
        let mut absent = self
            .absent_since
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        match absent.binary_search_by(|(id, _)| id.cmp(host)) {
            Ok(at) => now.since(absent[at].1),
            Err(at) => {
                absent.insert(at, (host.clone(), now));
                Micros::ZERO
            }
        }
    }

    fn clear_absence(&self, host: &HostId) {
        let mut absent = self
            .absent_since
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        absent.retain(|(id, _)| id != host);
    }
}

impl control::Peers for ControlPeers {
    async fn has_retired_epoch(&self, host: &HostId, epoch: Epoch) -> bool {
        self.exchange.has_retired_epoch(host, epoch).await
    }

    fn is_deregistered(&self, host: &HostId) -> bool {
        let inventory = self.exchange.inventory().borrow().clone();
        // An empty inventory has not been read yet.
        if inventory.hosts.is_empty() || inventory.find(host.as_str()).is_some() {
            self.clear_absence(host);
            return false;
        }
        inventory.was_removed(host) || self.absent_for(host) >= MAX_LIST_LAG
    }

    fn ready_elsewhere(&self) -> Vec<ModelId> {
        // Peers report the models that they hold without their versions, so the rank decides.
        self.remote_models
            .models(|model, other| place::can_rely_on_remote_copy(model, &self.dc, other, false))
    }
}

/// Data centre and the models that are resident in it, sorted.
type Residents = (DataCentreId, Vec<ModelId>);

/// Models that are resident in other data centres.
#[derive(Clone, Debug, Default)]
pub(crate) struct RemoteModels {
    /// Sorted by data centre.
    lists: Arc<RwLock<Vec<Residents>>>,
}

impl RemoteModels {
    pub(crate) fn set(&self, dc: &DataCentreId, models: &[ModelId]) {
        let mut lists = self.lists.write().unwrap_or_else(PoisonError::into_inner);
        match lists.binary_search_by(|(id, _)| id.cmp(dc)) {
            Ok(at) => lists[at].1 = models.to_vec(),
            Err(at) => lists.insert(at, (dc.clone(), models.to_vec())),
        }
    }

    /// Returns the models with a copy in another data centre that matches the predicate, sorted.
    pub(crate) fn models(&self, matches: impl Fn(&ModelId, &DataCentreId) -> bool) -> Vec<ModelId> {
        let lists = self.lists.read().unwrap_or_else(PoisonError::into_inner);
        let mut models: Vec<ModelId> = Vec::new();
        for (dc, held) in lists.iter() {
            models.extend(held.iter().filter(|model| matches(model, dc)).cloned());
        }
        models.sort();
        models.dedup();
        models
    }

    /// Returns the number of other data centres that hold a copy of a model.
    pub(crate) fn copies(&self, model: &ModelId) -> u32 {
        let lists = self.lists.read().unwrap_or_else(PoisonError::into_inner);
        let holds = |(_, models): &&Residents| models.binary_search(model).is_ok();
        u32::try_from(lists.iter().filter(holds).count()).unwrap_or(u32::MAX)
    }
}
