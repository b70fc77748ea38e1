//! Requests to and from other entry hosts: placement, suspects, and facts read from the platform.

use std::{
    net::SocketAddr,
    sync::{Arc, OnceLock},
    time::Duration,
};

use config::Secret;
use control::FleetHandle;
use peer::{Facts, Handle, KnownFacts, MemberState, PeerUpdate, Readiness};
use platform::ObjectClient;
use route::{CrashUpdate, Event, Fingerprint, SuspectRecord, TrialReply, TrialRequest};
use tokio::{
    sync::mpsc::{Receiver, Sender},
    time::sleep,
};
use transfer::PartId;
use types::{
    AdapterId, Announcement, BackendId, BootTime, DataCentreId, Epoch, HostId, Incarnation, ModelId,
};

use crate::entry::{LEASE_DURATION, RETRY_BUDGET_SHARE, fleet_state::FleetState};

/// Token of the peer exchange; the network between hosts is closed and the settings hold no secret.
const CLOSED_NETWORK_TOKEN: &str = "closed-network";

/// Duty by which the candidates for the placement lease are ranked; it is hashed.
const PLACEMENT_DUTY: &str = "placement";

/// Interval between checks whether the holder of the lease is heard of.
const HOLDER_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Handle of the exchange with the other entry hosts.
pub(crate) type Exchange = Handle<ObjectClient, BootTime, PeerRequestHandler>;

/// Returns the token of the peer exchange.
pub(crate) fn token() -> Secret {
    Secret::new(CLOSED_NETWORK_TOKEN)
}

/// Handler of the requests of peers.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerRequestHandler {
    /// Set once the controller exists; the exchange starts before it.
    parts: Arc<OnceLock<(FleetHandle, Arc<FleetState>)>>,
}

impl PeerRequestHandler {
    pub(crate) fn set(&self, control: FleetHandle, fleet: Arc<FleetState>) {
        // The process starts one controller, so the cell is empty.
        drop(self.parts.set((control, fleet)));
    }
}

impl peer::PeerHandler for PeerRequestHandler {
    async fn request_model(&self, _model: ModelId, _adapter: Option<AdapterId>) {}

    async fn has_retired_epoch(&self, _epoch: Epoch) -> bool {
        false
    }

    async fn place(&self, model: ModelId, adapter: Option<AdapterId>) -> Vec<BackendId> {
        match self.parts.get() {
            Some((control, _)) => control.place(model, adapter).await,
            None => Vec::new(),
        }
    }

    async fn request_replica(
        &self,
        model: ModelId,
        adapter: AdapterId,
        on: BackendId,
    ) -> Vec<BackendId> {
        match self.parts.get() {
            Some((control, _)) => control.place_on_worker(model, adapter, on).await,
            None => Vec::new(),
        }
    }

    async fn facts(&self, known: KnownFacts) -> Option<Facts> {
        self.parts.get()?.1.facts(known).await
    }

    async fn part(&self, part: PartId) -> Option<Vec<u8>> {
        self.parts.get()?.1.config_part(part)
    }
}

/// Client of the other entry hosts for the gate.
#[derive(Clone, Debug)]
pub(crate) struct EntryPeers {
    pub(crate) exchange: Exchange,
    pub(crate) control: FleetHandle,
    /// Receives what backend servers announce in their responses.
    pub(crate) announcements: Sender<Announcement>,
    /// Receives what this host learns of crashes.
    pub(crate) crashes: Sender<CrashUpdate>,
}

impl gate::Peers for EntryPeers {
    async fn share_suspects(&self, records: Vec<SuspectRecord>) {
        let shared = self.exchange.share_suspects(records).await;
        if !shared.missed.is_empty() {
            tracing::warn!(missed = ?shared.missed, "suspects not acknowledged");
        }
    }

    fn share_crashes(&self, update: CrashUpdate) {
        record_crashes(&self.control, &update);
        if let Err(e) = self.crashes.try_send(update) {
            tracing::warn!(error = %e, "crash update not queued");
        }
    }

    async fn request_trial(&self, trial: TrialRequest) -> TrialReply {
        self.exchange.request_trial(trial).await
    }

    async fn request_suspect_slot(&self, _fingerprint: Fingerprint, _backend: BackendId) -> bool {
        false
    }

    fn entry_host(&self, _dc: &DataCentreId) -> Option<SocketAddr> {
        None
    }

    fn is_live(&self, host: &HostId, incarnation: Incarnation) -> bool {
        let members = self.exchange.members().borrow().clone();
        let member = members.iter().find(|m| m.id == *host);
        member.is_some_and(|m| m.incarnation == incarnation && m.state != MemberState::Gone)
    }

    async fn request_replica(
        &self,
        model: ModelId,
        adapter: AdapterId,
        backend: BackendId,
    ) -> Vec<BackendId> {
        match self.control.holder() {
            Some(holder) => {
                self.exchange
                    .request_replica(&holder, model, adapter, backend)
                    .await
            }
            None => Vec::new(),
        }
    }

    fn server_announced(&self, announcement: Announcement) {
        if let Err(e) = self.announcements.try_send(announcement) {
            tracing::warn!(error = %e, "announcement not passed on");
        }
    }

    /// The lease holder answers once the model is resident or could not be placed.
    fn may_load_later(&self) -> bool {
        false
    }

    async fn request_model(&self, model: ModelId, adapter: Option<AdapterId>) -> Vec<BackendId> {
        let Some(holder) = self.control.holder() else {
            return Vec::new();
        };
        self.exchange.place(&holder, model, adapter).await
    }
}

/// Tells the controller of this host which workers may have crashed, if it places models.
pub(super) fn record_crashes(control: &FleetHandle, update: &CrashUpdate) {
    if !control.has_authority() {
        return;
    }
    for crash in &update.crashes {
        control.record_crash(crash.backend.clone(), crash.incarnation);
    }
}

/// Forwards suspects that peers share to the router.
pub(crate) async fn forward_suspects(mut updates: Receiver<PeerUpdate>, fleet: Arc<FleetState>) {
    while let Some(update) = updates.recv().await {
        match update {
            PeerUpdate::Suspects { records, ack } => {
                fleet.proxy().dispatcher().feed(Event::Suspects(records));
                drop(ack);
            }
            PeerUpdate::CrashUpdate(update) => {
                fleet.proxy().dispatcher().feed(Event::CrashUpdate(update));
            }
            PeerUpdate::Digest { .. } | PeerUpdate::RemoteModels { .. } => {}
        }
    }
}

/// Watches the members: candidates for the lease, shares of the retry budget, number of peers.
pub(crate) async fn watch_members(
    exchange: Exchange,
    control: FleetHandle,
    fleet: Arc<FleetState>,
    min_retries: f64,
) {
    let mut members = exchange.members();
    loop {
        let alive: Vec<HostId> = {
            let current = members.borrow_and_update();
            let ranked = peer::rank_hosts(current.iter(), exchange.host(), PLACEMENT_DUTY);
            ranked.into_iter().map(|m| m.id.clone()).collect()
        };
        tracing::info!(
            belief = "members",
            alive = alive.len(),
            "entry hosts changed"
        );
        let share = min_retries * RETRY_BUDGET_SHARE / alive.len().max(1) as f64;
        fleet.proxy().dispatcher().feed(Event::RetrySlack(share));
        fleet.set_peer_count(alive.len().saturating_sub(1));
        control.set_members(alive);
        if members.changed().await.is_err() {
            return;
        }
    }
}

/// Watches whether the holder of the lease is heard of, and tells the controller if not for as long as a lease lasts.
pub(crate) async fn watch_holder(exchange: Exchange, control: FleetHandle) {
    let mut was_silent = false;
    loop {
        sleep(HOLDER_CHECK_INTERVAL).await;
        let holder = control.holder().filter(|h| h != exchange.host());
        let silence = holder.and_then(|holder| exchange.silence(&holder));
        let is_silent = silence.is_some_and(|time| time >= LEASE_DURATION);
        if is_silent != was_silent {
            tracing::info!(
                belief = "holder",
                is_silent,
                "silence of the lease holder changed"
            );
            control.set_holder_silent(is_silent);
            was_silent = is_silent;
        }
    }
}

/// Publishes to peers the lease that this host holds and whether it serves callers.
pub(crate) async fn publish_own_state(
    exchange: Exchange,
    control: FleetHandle,
    fleet: Arc<FleetState>,
) {
    let mut epoch = control.watch_epoch();
    loop {
        let held = *epoch.borrow_and_update();
        exchange.set_lease(held);
        if fleet.proxy().is_ready() {
            exchange.set_readiness(Readiness::Ready);
        }
        tokio::select! {
            changed = epoch.changed() => if changed.is_err() { return },
            () = sleep(Duration::from_secs(1)) => {}
        }
    }
}
