//! Connections between the crates: what each asks of the others.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, OnceLock, PoisonError, RwLock},
};

use engine::{Client, Server};
use orders::SendOutcome;
use peer::{Handle, MemberState};
use route::{Fingerprint, SuspectRecord};
use store::HttpPlatform;
use tokio::sync::mpsc;
use types::{
    AdapterId, BackendId, Clock, DataCentreId, Epoch, HostId, Incarnation, Instant, LoadReport,
    Micros, ModelId, Monotonic, Order,
};

/// The platform's list lags; a host that is absent for this long has left.
const LIST_LAG: Micros = Micros::from_secs(120);

/// Exchange with the other entry hosts.
pub(crate) type Exchange = Handle<HttpPlatform, Monotonic, Served>;

/// What peers may ask of this process.
#[derive(Clone, Debug, Default)]
pub(crate) struct Served {
    /// Set once the controller exists; the exchange starts earlier.
    control: Arc<OnceLock<control::Handle>>,
}

impl Served {
    pub(crate) fn set(&self, control: control::Handle) {
        // The process starts one controller, so the cell is empty.
        drop(self.control.set(control));
    }
}

impl peer::PeerHandler for Served {
    async fn request_model(&self, model: ModelId, adapter: Option<AdapterId>) {
        let Some(control) = self.control.get() else {
            return;
        };
        let name = adapter.map_or_else(|| model.to_string(), |a| a.to_string());
        // A full backlog drops the want; the next request repeats it.
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

/// Backend servers, as the controller needs them.
#[derive(Clone, Debug)]
pub(crate) struct Engines {
    pub(crate) client: Client,
    pub(crate) servers: Servers,
    /// Passes the controller's reports on to the router, which then knows of a load at once.
    pub(crate) reports: mpsc::Sender<(BackendId, LoadReport)>,
}

impl control::BackendClient for Engines {
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
        // A router that lags gets the next report.
        drop(self.reports.try_send((backend.clone(), report.clone())));
        Some(report)
    }
}

/// Other entry hosts, as the gate needs them.
#[derive(Clone, Debug)]
pub(crate) struct GatePeers {
    pub(crate) exchange: Exchange,
    pub(crate) host: HostId,
}

impl gate::Peers for GatePeers {
    async fn share_suspects(&self, marks: Vec<SuspectRecord>) {
        let shared = self.exchange.share_suspects(marks).await;
        if !shared.missed.is_empty() {
            tracing::debug!(missed = ?shared.missed, "suspects not acknowledged");
        }
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
        // Each host prefers another one there, so that forwarded requests spread.
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

    /// Passes the want on; the backend servers' reports tell when it is fulfilled.
    async fn request_model(&self, model: ModelId, adapter: Option<AdapterId>) -> Vec<BackendId> {
        self.exchange.request_model(model, adapter).await;
        Vec::new()
    }
}

/// Other entry hosts, as the controller needs them.
#[derive(Clone, Debug)]
pub(crate) struct ControlPeers {
    pub(crate) dc: DataCentreId,
    pub(crate) exchange: Exchange,
    pub(crate) clock: Monotonic,
    pub(crate) elsewhere: Elsewhere,
    /// Hosts that the list lacks and since when, sorted by host.
    pub(crate) absent: Arc<Mutex<Vec<(HostId, Instant)>>>,
}

impl ControlPeers {
    /// Returns the time for which the platform's list has lacked a host.
    fn absent_for(&self, host: &HostId) -> Micros {
        let now = self.clock.now();
        let mut absent = self.absent.lock().unwrap_or_else(PoisonError::into_inner);
        match absent.binary_search_by(|(id, _)| id.cmp(host)) {
            Ok(at) => now.since(absent[at].1),
            Err(at) => {
                absent.insert(at, (host.clone(), now));
                Micros::ZERO
            }
        }
    }

    fn forget_absence(&self, host: &HostId) {
        let mut absent = self.absent.lock().unwrap_or_else(PoisonError::into_inner);
        absent.retain(|(id, _)| id != host);
    }
}

impl control::Peers for ControlPeers {
    async fn has_retired_epoch(&self, host: &HostId, epoch: Epoch) -> bool {
        self.exchange.has_retired_epoch(host, epoch).await
    }

    fn is_deregistered(&self, host: &HostId) -> bool {
        let inventory = self.exchange.inventory().borrow().clone();
        // An empty list was never read.
        if inventory.hosts.is_empty() || inventory.find(host.as_str()).is_some() {
            self.forget_absence(host);
            return false;
        }
        inventory.was_removed(host) || self.absent_for(host) >= LIST_LAG
    }

    fn ready_elsewhere(&self) -> Vec<ModelId> {
        // Peers tell which models they hold and not in which version, so the rank decides.
        self.elsewhere
            .models(|model, other| place::can_rely_on_remote_copy(model, &self.dc, other, false))
    }
}

/// Models that are resident in a data centre, sorted.
type Residents = (DataCentreId, Vec<ModelId>);

/// Models that are resident in other data centres.
#[derive(Clone, Debug, Default)]
pub(crate) struct Elsewhere {
    /// Sorted by data centre.
    lists: Arc<RwLock<Vec<Residents>>>,
}

impl Elsewhere {
    pub(crate) fn set(&self, dc: &DataCentreId, models: &[ModelId]) {
        let mut lists = self.lists.write().unwrap_or_else(PoisonError::into_inner);
        match lists.binary_search_by(|(id, _)| id.cmp(dc)) {
            Ok(at) => lists[at].1 = models.to_vec(),
            Err(at) => lists.insert(at, (dc.clone(), models.to_vec())),
        }
    }

    /// Returns the models with a copy in another data centre that passes a test, sorted.
    pub(crate) fn models(&self, test: impl Fn(&ModelId, &DataCentreId) -> bool) -> Vec<ModelId> {
        let lists = self.lists.read().unwrap_or_else(PoisonError::into_inner);
        let mut models: Vec<ModelId> = Vec::new();
        for (dc, held) in lists.iter() {
            models.extend(held.iter().filter(|model| test(model, dc)).cloned());
        }
        models.sort();
        models.dedup();
        models
    }

    /// Returns the number of copies of a model, counted once per data centre.
    pub(crate) fn copies(&self, model: &ModelId) -> u32 {
        let lists = self.lists.read().unwrap_or_else(PoisonError::into_inner);
        let holds = |(_, models): &&Residents| models.binary_search(model).is_ok();
        u32::try_from(lists.iter().filter(holds).count()).unwrap_or(u32::MAX)
    }
}
