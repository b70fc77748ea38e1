//! Calls to the platform, backend servers and peers, each spawned as its own task.

use std::time::Duration;

use orders::{SendOutcome, Sender, SlotAction, SlotEvent};
use store::{Category, Kind, Platform, Revision};
use tokio::{task::JoinSet, time::timeout};
use types::{BackendId, Clock, Epoch, Instant, LoadReport, Order};

use crate::{
    epochs::InFlightOrder,
    event::{BackendClient, Peers},
    kinds::{BackendRecordObject, LeaseObject, SlotObject, slot_name, slot_number},
};

/// Timeout for calls whose implementation sets none; orders are small and answered immediately.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Result of a spawned call.
#[derive(Debug)]
pub(crate) enum CallResult {
    Lease(lease::Event<Revision>),
    Ledger {
        epoch: Epoch,
        backend: BackendId,
        event: orders::Event<Revision>,
    },
    Slot {
        epoch: Epoch,
        event: SlotEvent<Revision>,
    },
    SenderCheck {
        epoch: Epoch,
        sender: Sender,
        retired: bool,
    },
    LoadReport {
        backend: BackendId,
        requested_at: Instant,
        report: Option<LoadReport>,
    },
}

/// Outcome of a platform write.
enum WriteOutcome {
    Applied(Revision),
    Rejected,
    /// The write may have been applied, or may still be.
    Unknown,
}

async fn await_write(call: impl Future<Output = store::Result<Revision>>) -> WriteOutcome {
    match timeout(CALL_TIMEOUT, call).await {
        Ok(Ok(revision)) => WriteOutcome::Applied(revision),
        Ok(Err(e)) if !matches!(e.category(), Category::Unknown | Category::Malformed) => {
            WriteOutcome::Rejected
        }
        Ok(Err(_)) | Err(_) => WriteOutcome::Unknown,
    }
}

impl From<WriteOutcome> for lease::Event<Revision> {
    fn from(outcome: WriteOutcome) -> Self {
        match outcome {
            WriteOutcome::Applied(revision) => Self::Written(revision),
            WriteOutcome::Rejected => Self::Refused,
            WriteOutcome::Unknown => Self::Unanswered,
        }
    }
}

impl From<WriteOutcome> for orders::Event<Revision> {
    fn from(outcome: WriteOutcome) -> Self {
        match outcome {
            WriteOutcome::Applied(revision) => Self::Written(revision),
            WriteOutcome::Rejected => Self::Refused,
            WriteOutcome::Unknown => Self::Unanswered,
        }
    }
}

/// Spawns the calls of a controller.
#[derive(Debug)]
pub(crate) struct Calls<P, C, B, N> {
    pub(crate) platform: P,
    pub(crate) clock: C,
    pub(crate) backends: B,
    pub(crate) peers: N,
    pub(crate) tasks: JoinSet<CallResult>,
}

impl<P: Platform, C: Clock, B: BackendClient, N: Peers> Calls<P, C, B, N> {
    pub(crate) fn access_lease(&mut self, name: String, action: lease::Action<Revision>) {
        let platform = self.platform.clone();
        self.tasks.spawn(async move {
            CallResult::Lease(lease_call(&platform, &name, action, false).await)
        });
    }

    pub(crate) fn access_record(
        &mut self,
        epoch: Epoch,
        backend: BackendId,
        action: orders::Action<Revision>,
    ) {
        let platform = self.platform.clone();
        self.tasks.spawn(async move {
            use orders::{Action, Event};
            let name = backend.as_str();
            let event = match action {
                Action::Create(record) => {
                    create::<BackendRecordObject, _>(&platform, name, record).await
                }
                Action::Update(record, at) => {
                    update::<BackendRecordObject, _>(&platform, name, record, at).await
                }
                _ => match get::<BackendRecordObject, _>(&platform, name).await {
                    Some(object) => Event::Read(object),
                    None => Event::ReadFailed,
                },
            };
            CallResult::Ledger {
                epoch,
                backend,
                event,
            }
        });
    }

    pub(crate) fn access_slots(&mut self, epoch: Epoch, action: SlotAction<Revision>) {
        let platform = self.platform.clone();
        self.tasks.spawn(async move {
            let (slot, outcome) = match action {
                SlotAction::List => {
                    let event = list_slots(&platform).await;
                    return CallResult::Slot { epoch, event };
                }
                SlotAction::Create(slot, record) => {
                    let object = SlotObject(record);
                    (
                        slot,
                        await_write(platform.create(&slot_name(slot), &object)).await,
                    )
                }
                SlotAction::Update(slot, record, at) => {
                    let (name, object) = (slot_name(slot), SlotObject(record));
                    let call = platform.update(&name, &object, &at);
                    (slot, await_write(call).await)
                }
            };
            let event = match outcome {
                WriteOutcome::Applied(revision) => SlotEvent::Written(slot, revision),
                WriteOutcome::Rejected => SlotEvent::Refused(slot),
                WriteOutcome::Unknown => SlotEvent::Unanswered(slot),
            };
            CallResult::Slot { epoch, event }
        });
    }

    /// Sends an order; `in_flight` is held until no more of it can leave the process.
    pub(crate) fn send_order(
        &mut self,
        backend: BackendId,
        order: Order,
        in_flight: InFlightOrder,
    ) {
        let backends = self.backends.clone();
        self.tasks.spawn(async move {
            let call = timeout(CALL_TIMEOUT, backends.send_order(&backend, &order));
            let answer = call.await.unwrap_or(SendOutcome::Lost);
            drop(in_flight);
            CallResult::Ledger {
                epoch: order.fence,
                backend,
                event: orders::Event::SendFinished {
                    id: order.id,
                    outcome: answer,
                },
            }
        });
    }

    pub(crate) fn check_sender(&mut self, epoch: Epoch, sender: Sender) {
        let peers = self.peers.clone();
        self.tasks.spawn(async move {
            let retired = peers.is_deregistered(&sender.host) || {
                let check = peers.has_retired_epoch(&sender.host, sender.epoch);
                timeout(CALL_TIMEOUT, check).await.unwrap_or(false)
            };
            CallResult::SenderCheck {
                epoch,
                sender,
                retired,
            }
        });
    }

    pub(crate) fn fetch_load_report(&mut self, backend: BackendId) {
        let (backends, clock) = (self.backends.clone(), self.clock.clone());
        self.tasks.spawn(async move {
            let requested_at = clock.now();
            let report = timeout(CALL_TIMEOUT, backends.fetch_load_report(&backend)).await;
            CallResult::LoadReport {
                report: report.unwrap_or(None),
                backend,
                requested_at,
            }
        });
    }
}

/// Performs a read or write of the lease object.
///
/// With `stale`, a read may return an outdated object. That is safe: every write names the revision
/// that it replaces, so a takeover based on an outdated read is rejected.
pub(crate) async fn lease_call(
    platform: &impl Platform,
    name: &str,
    action: lease::Action<Revision>,
    stale: bool,
) -> lease::Event<Revision> {
    use lease::{Action, Event};
    match action {
        Action::Create(record) => create::<LeaseObject, _>(platform, name, record).await,
        Action::Update(record, at) => update::<LeaseObject, _>(platform, name, record, at).await,
        _ => {
            let read = async {
                if stale {
                    platform.get_stale::<LeaseObject>(name).await
                } else {
                    platform.get::<LeaseObject>(name).await
                }
            };
            match timeout(CALL_TIMEOUT, read).await {
                Ok(Ok(object)) => Event::Read(object.map(|o| (o.value.into(), o.revision))),
                _ => Event::ReadFailed,
            }
        }
    }
}

async fn create<K, E>(platform: &impl Platform, name: &str, value: impl Into<K> + Send) -> E
where
    K: Kind,
    E: From<WriteOutcome>,
{
    let object = value.into();
    await_write(platform.create(name, &object)).await.into()
}

async fn update<K, E>(
    platform: &impl Platform,
    name: &str,
    value: impl Into<K> + Send,
    at: Revision,
) -> E
where
    K: Kind,
    E: From<WriteOutcome>,
{
    let object = value.into();
    await_write(platform.update(name, &object, &at))
        .await
        .into()
}

/// Reads an object; returns `None` if the platform fails or the object cannot be decoded.
async fn get<K, T>(platform: &impl Platform, name: &str) -> Option<Option<(T, Revision)>>
where
    K: Kind + Into<T>,
{
    let read = timeout(CALL_TIMEOUT, platform.get::<K>(name)).await;
    let object = read.ok()?.ok()?;
    Some(object.map(|o| (o.value.into(), o.revision)))
}

async fn list_slots(platform: &impl Platform) -> SlotEvent<Revision> {
    let Ok(Ok(listing)) = timeout(CALL_TIMEOUT, platform.list::<SlotObject>()).await else {
        return SlotEvent::ListFailed;
    };
    let objects = listing.items.into_iter().filter_map(|object| {
        let number = slot_number(&object.name)?;
        Some((number, object.value.0, object.revision))
    });
    SlotEvent::Listed(objects.collect())
}
