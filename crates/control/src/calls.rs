//! Calls to the platform, backend servers and peers, each in its own task.

use std::time::Duration;

use orders::{SendOutcome, Sender, SlotAction, SlotEvent};
use store::{Category, Kind, Platform, Revision};
use tokio::{task::JoinSet, time::timeout};
use types::{BackendId, Clock, Epoch, Instant, LoadReport, Order};

use crate::{
    event::{BackendClient, Peers},
    kinds::{BackendRecordObject, LeaseObject, SlotObject, slot_name, slot_number},
    yields::Sending,
};

/// Bounds a call that its implementation does not bound; orders are small and answered at once.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// What came of a call.
#[derive(Debug)]
pub(crate) enum Done {
    Lease(lease::Event<Revision>),
    Ledger {
        epoch: Epoch,
        backend: BackendId,
        ev: orders::Event<Revision>,
    },
    Slot {
        epoch: Epoch,
        ev: SlotEvent<Revision>,
    },
    Proof {
        epoch: Epoch,
        sender: Sender,
        gone: bool,
    },
    Load {
        backend: BackendId,
        asked: Instant,
        report: Option<LoadReport>,
    },
}

/// Outcome of a write as the state machines see it.
enum Wrote {
    Done(Revision),
    Refused,
    Unanswered,
}

async fn wrote(call: impl Future<Output = store::Result<Revision>>) -> Wrote {
    match timeout(CALL_TIMEOUT, call).await {
        Ok(Ok(revision)) => Wrote::Done(revision),
        Ok(Err(e)) if !matches!(e.category(), Category::Unknown | Category::Garbage) => {
            Wrote::Refused
        }
        Ok(Err(_)) | Err(_) => Wrote::Unanswered,
    }
}

impl From<Wrote> for lease::Event<Revision> {
    fn from(wrote: Wrote) -> Self {
        match wrote {
            Wrote::Done(revision) => Self::Written(revision),
            Wrote::Refused => Self::Refused,
            Wrote::Unanswered => Self::Unanswered,
        }
    }
}

impl From<Wrote> for orders::Event<Revision> {
    fn from(wrote: Wrote) -> Self {
        match wrote {
            Wrote::Done(revision) => Self::Written(revision),
            Wrote::Refused => Self::Refused,
            Wrote::Unanswered => Self::Unanswered,
        }
    }
}

/// Performs the calls of a controller.
#[derive(Debug)]
pub(crate) struct Calls<P, C, E, N> {
    pub(crate) platform: P,
    pub(crate) clock: C,
    pub(crate) engines: E,
    pub(crate) peers: N,
    pub(crate) tasks: JoinSet<Done>,
}

impl<P: Platform, C: Clock, E: BackendClient, N: Peers> Calls<P, C, E, N> {
    pub(crate) fn lease(&mut self, name: String, action: lease::Action<Revision>) {
        let platform = self.platform.clone();
        self.tasks
            .spawn(async move { Done::Lease(lease_call(&platform, &name, action, false).await) });
    }

    pub(crate) fn ledger(
        &mut self,
        epoch: Epoch,
        backend: BackendId,
        action: orders::Action<Revision>,
    ) {
        let platform = self.platform.clone();
        self.tasks.spawn(async move {
            use orders::{Action, Event};
            let name = backend.as_str();
            let ev = match action {
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
            Done::Ledger { epoch, backend, ev }
        });
    }

    pub(crate) fn slot(&mut self, epoch: Epoch, action: SlotAction<Revision>) {
        let platform = self.platform.clone();
        self.tasks.spawn(async move {
            let (slot, wrote) = match action {
                SlotAction::List => {
                    let ev = list_slots(&platform).await;
                    return Done::Slot { epoch, ev };
                }
                SlotAction::Create(slot, record) => {
                    let object = SlotObject(record);
                    (
                        slot,
                        wrote(platform.create(&slot_name(slot), &object)).await,
                    )
                }
                SlotAction::Update(slot, record, at) => {
                    let (name, object) = (slot_name(slot), SlotObject(record));
                    let call = platform.update(&name, &object, &at);
                    (slot, wrote(call).await)
                }
            };
            let ev = match wrote {
                Wrote::Done(revision) => SlotEvent::Written(slot, revision),
                Wrote::Refused => SlotEvent::Refused(slot),
                Wrote::Unanswered => SlotEvent::Unanswered(slot),
            };
            Done::Slot { epoch, ev }
        });
    }

    /// Sends an order; `sending` is kept until no more of it can leave the process.
    pub(crate) fn post(&mut self, backend: BackendId, order: Order, sending: Sending) {
        let engines = self.engines.clone();
        self.tasks.spawn(async move {
            let post = timeout(CALL_TIMEOUT, engines.send_order(&backend, &order));
            let answer = post.await.unwrap_or(SendOutcome::Lost);
            drop(sending);
            Done::Ledger {
                epoch: order.fence,
                backend,
                ev: orders::Event::SendFinished {
                    id: order.id,
                    outcome: answer,
                },
            }
        });
    }

    pub(crate) fn prove(&mut self, epoch: Epoch, sender: Sender) {
        let peers = self.peers.clone();
        self.tasks.spawn(async move {
            let gone = peers.is_deregistered(&sender.host) || {
                let ask = peers.has_retired_epoch(&sender.host, sender.epoch);
                timeout(CALL_TIMEOUT, ask).await.unwrap_or(false)
            };
            Done::Proof {
                epoch,
                sender,
                gone,
            }
        });
    }

    pub(crate) fn load(&mut self, backend: BackendId) {
        let (engines, clock) = (self.engines.clone(), self.clock.clone());
        self.tasks.spawn(async move {
            let asked = clock.now();
            let load = timeout(CALL_TIMEOUT, engines.fetch_load_report(&backend)).await;
            Done::Load {
                report: load.unwrap_or(None),
                backend,
                asked,
            }
        });
    }
}

/// Performs the call that a lease asks for.
///
/// A read may be `stale`: a takeover that builds on one is refused, because every write names the
/// revision that it replaces.
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
    E: From<Wrote>,
{
    let object = value.into();
    wrote(platform.create(name, &object)).await.into()
}

async fn update<K, E>(
    platform: &impl Platform,
    name: &str,
    value: impl Into<K> + Send,
    at: Revision,
) -> E
where
    K: Kind,
    E: From<Wrote>,
{
    let object = value.into();
    wrote(platform.update(name, &object, &at)).await.into()
}

/// Reads an object, or returns nothing when the platform fails or the object can't be decoded.
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
