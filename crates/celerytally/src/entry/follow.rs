//! Follows the configuration and the registry on the platform.

use std::{sync::Arc, time::Duration};

use platform::{CONFIG_OBJECT_NAME, ConfigSpec, ObjectClient, ServerSpec};
use store::{Category, Change, Kind, Platform, Revision};
use tokio::time::sleep;
use types::{BackendId, BootTime, Clock, Instant, Micros};

use crate::entry::beliefs::Beliefs;

/// First pause after the platform did not answer; it doubles up to the last.
const FIRST_PAUSE: Micros = Micros::from_millis(100);
const LAST_PAUSE: Micros = Micros::from_millis(400);

/// Time between two ticks of the router while requests are open, and while none are.
const BUSY_TICK: Duration = Duration::from_millis(50);
const IDLE_TICK: Duration = Duration::from_millis(100);

/// Pause after news, in which further changes gather for the next call.
const GATHER: Duration = Duration::from_millis(120);

/// The same for each peer, since a large fleet has more changes.
const GATHER_PER_PEER: Duration = Duration::from_millis(6);

/// Whether the platform answers what a follower asks, and since when.
struct Reach {
    kind: &'static str,
    away_since: Option<Instant>,
    pause: Micros,
}

impl Reach {
    fn new(kind: &'static str) -> Self {
        Self {
            kind,
            away_since: None,
            pause: FIRST_PAUSE,
        }
    }

    fn answered(&mut self) {
        self.pause = FIRST_PAUSE;
        if let Some(since) = self.away_since.take() {
            let away_ms = BootTime.now().since(since).get() / 1_000;
            tracing::info!(
                dependency = "platform",
                kind = self.kind,
                away_ms,
                "regained"
            );
        }
    }

    async fn failed(&mut self, error: &store::Error) {
        if self.away_since.is_none() {
            self.away_since = Some(BootTime.now());
            tracing::warn!(dependency = "platform", kind = self.kind, %error, "lost");
        }
        sleep(self.pause.into()).await;
        self.pause = Micros::new(self.pause.get() * 2).min(LAST_PAUSE);
    }
}

/// Follows the operator's configuration.
pub(crate) async fn configuration(objects: ObjectClient, beliefs: Arc<Beliefs>) {
    let mut reach = Reach::new(ConfigSpec::PLURAL);
    let mut since: Option<Revision> = None;
    loop {
        if beliefs.wait_direct().await {
            since = None;
        }
        let step = match &since {
            None => list_configuration(&objects, &beliefs).await,
            Some(since) => watch_configuration(&objects, since, &beliefs).await,
        };
        since = settle(&mut reach, step).await;
    }
}

/// Returns the revision from which to go on; a list is needed when there is none.
///
/// After a failure a list shows sooner than a watch whether the platform answers again.
async fn settle(reach: &mut Reach, step: store::Result<Revision>) -> Option<Revision> {
    match step {
        Ok(revision) => {
            reach.answered();
            Some(revision)
        }
        Err(e) if e.category() == Category::Expired => None,
        Err(e) => {
            reach.failed(&e).await;
            None
        }
    }
}

async fn list_configuration(objects: &ObjectClient, beliefs: &Beliefs) -> store::Result<Revision> {
    let listed = objects.list::<ConfigSpec>().await?;
    for object in listed
        .items
        .into_iter()
        .filter(|o| o.name == CONFIG_OBJECT_NAME)
    {
        beliefs.configure(object.value);
    }
    Ok(listed.revision)
}

async fn watch_configuration(
    objects: &ObjectClient,
    since: &Revision,
    beliefs: &Beliefs,
) -> store::Result<Revision> {
    let new = objects.poll_changes::<ConfigSpec>(since).await?;
    for change in new.changes {
        if let Change::Set(object) = change
            && object.name == CONFIG_OBJECT_NAME
        {
            beliefs.configure(object.value);
        }
    }
    Ok(new.revision)
}

/// Follows the registrations of backend servers.
pub(crate) async fn registrations(objects: ObjectClient, beliefs: Arc<Beliefs>) {
    let mut reach = Reach::new(ServerSpec::PLURAL);
    let mut since: Option<Revision> = None;
    loop {
        if beliefs.wait_direct().await {
            since = None;
        }
        let step = match &since {
            None => list_registrations(&objects, &beliefs).await,
            Some(since) => watch_registrations(&objects, since, &beliefs).await,
        };
        if let Err(e) = &step
            && e.category() != Category::Expired
        {
            beliefs.register(|registry, _| {
                registry.mark_platform_unavailable();
                false
            });
        }
        since = settle(&mut reach, step).await;
        let peers = u32::try_from(beliefs.peers()).unwrap_or(u32::MAX);
        sleep(GATHER.max(GATHER_PER_PEER.saturating_mul(peers))).await;
    }
}

async fn list_registrations(objects: &ObjectClient, beliefs: &Beliefs) -> store::Result<Revision> {
    let listed = objects.list::<ServerSpec>().await?;
    let entries = listed.items.iter();
    let entries = entries.filter_map(|o| platform::decode_registration(&o.name, &o.value));
    let entries = entries.collect();
    beliefs.register(|registry, now| registry.apply_listing(now, entries));
    Ok(listed.revision)
}

async fn watch_registrations(
    objects: &ObjectClient,
    since: &Revision,
    beliefs: &Beliefs,
) -> store::Result<Revision> {
    let new = objects.poll_changes::<ServerSpec>(since).await?;
    beliefs.register(|registry, now| {
        let mut changed = false;
        for change in &new.changes {
            changed |= match change {
                Change::Set(o) => match platform::decode_registration(&o.name, &o.value) {
                    Some(registration) => registry.apply_registration(now, registration),
                    None => remove(registry, now, &o.name),
                },
                Change::Deleted(name) => remove(registry, now, name),
            };
        }
        changed
    });
    Ok(new.revision)
}

fn remove(registry: &mut registry::Registry, now: Instant, name: &str) -> bool {
    let id: Result<BackendId, _> = name.parse();
    id.is_ok_and(|id| registry.apply_removal(now, &id))
}

/// Tells the registry and the router of the time that passes.
pub(crate) async fn clock(beliefs: Arc<Beliefs>) {
    loop {
        let busy = beliefs.proxy().dispatcher().in_flight() > 0;
        sleep(if busy { BUSY_TICK } else { IDLE_TICK }).await;
        beliefs.proxy().dispatcher().feed(route::Event::Tick);
        beliefs.register(registry::Registry::remove_expired);
    }
}
