//! Watches the configuration and the registry on the platform.

use std::{sync::Arc, time::Duration};

use platform::{
    CONFIG_OBJECT_NAME, ChangeBatch, ConfigSpec, ObjectClient, RegistrationDecoder, ServerSpec,
};
use registry::{Applied, EntryChange};
use store::{Category, Change, Kind, Platform, Revision};
use tokio::time::sleep;
use types::{BootTime, Clock, Instant, Micros};

use crate::entry::{
    fleet_state::FleetState,
    reads::{Read, ReadBy},
};

/// Delay after the first failed call to the platform; it doubles with each further failure.
const MIN_RETRY_DELAY: Micros = Micros::from_millis(100);

/// Upper bound of the delay after a failed call.
const MAX_RETRY_DELAY: Micros = Micros::from_millis(400);

/// Tick period of the router while requests are in flight.
const BUSY_TICK_PERIOD: Duration = Duration::from_millis(50);

/// Tick period of the router while no requests are in flight.
const IDLE_TICK_PERIOD: Duration = Duration::from_millis(100);

/// Delay after a call, so that the next one returns several changes in one batch.
const BATCH_DELAY: Duration = Duration::from_millis(120);

/// Batch delay per peer, since a large fleet has more changes.
const BATCH_DELAY_PER_PEER: Duration = Duration::from_millis(6);

/// Availability of the platform to one watcher, and the delay before its next retry.
struct Availability {
    kind: &'static str,
    unavailable_since: Option<Instant>,
    retry_delay: Micros,
}

impl Availability {
    fn new(kind: &'static str) -> Self {
        Self {
            kind,
            unavailable_since: None,
            retry_delay: MIN_RETRY_DELAY,
        }
    }

    fn record_success(&mut self) {
        self.retry_delay = MIN_RETRY_DELAY;
        if let Some(since) = self.unavailable_since.take() {
            let away_ms = BootTime.now().since(since).get() / 1_000;
            tracing::info!(
                dependency = "platform",
                kind = self.kind,
                away_ms,
                "regained"
            );
        }
    }

    async fn record_failure(&mut self, error: &store::Error) {
        if self.unavailable_since.is_none() {
            self.unavailable_since = Some(BootTime.now());
            tracing::warn!(dependency = "platform", kind = self.kind, %error, "lost");
        }
        sleep(self.retry_delay.into()).await;
        self.retry_delay = Micros::new(self.retry_delay.get() * 2).min(MAX_RETRY_DELAY);
    }
}

/// Watches the operator's configuration.
pub(crate) async fn configuration(objects: ObjectClient, fleet: Arc<FleetState>) {
    let mut availability = Availability::new(ConfigSpec::PLURAL);
    let mut since: Option<Revision> = None;
    loop {
        if fleet.wait_until_reads_platform().await {
            // A host that turns to the platform has the configuration already, which may be large.
            since = fleet.configuration_revision();
        }
        let step = match &since {
            None => list_configuration(&objects, &fleet).await,
            Some(since) => watch_configuration(&objects, since, &fleet).await,
        };
        since = next_revision(&mut availability, step).await;
    }
}

/// Returns the revision from which to continue the watch; without one the next call is a list.
///
/// After a failure, a list shows sooner than a watch whether the platform answers again.
async fn next_revision(
    availability: &mut Availability,
    step: store::Result<Revision>,
) -> Option<Revision> {
    match step {
        Ok(revision) => {
            availability.record_success();
            Some(revision)
        }
        Err(e) if e.category() == Category::Expired => None,
        Err(e) => {
            availability.record_failure(&e).await;
            None
        }
    }
}

/// Returns the read of a call that was sent at a time and showed the state at a revision.
fn own_read(at: Instant, revision: &Revision) -> Read {
    Read {
        by: ReadBy::Own,
        at,
        revision: revision.position().unwrap_or_default(),
    }
}

/// Returns the time up to which the response to a watch that was sent at a time is complete.
///
/// Without changes, the platform held the watch open for its whole wait time.
fn watched_until<T>(sent_at: Instant, wait: Micros, response: &ChangeBatch<T>) -> Instant {
    if response.changes.is_empty() {
        BootTime.now().min(sent_at + wait)
    } else {
        sent_at
    }
}

async fn list_configuration(objects: &ObjectClient, fleet: &FleetState) -> store::Result<Revision> {
    let sent_at = BootTime.now();
    let listed = objects.list::<ConfigSpec>().await?;
    fleet.record_configuration_read(own_read(sent_at, &listed.revision));
    for object in listed
        .items
        .into_iter()
        .filter(|o| o.name == CONFIG_OBJECT_NAME)
    {
        fleet.apply_config(object.value, &ReadBy::Own);
    }
    Ok(listed.revision)
}

/// Reads the configuration once.
pub(crate) async fn read_configuration(objects: &ObjectClient, fleet: &FleetState) {
    if let Err(error) = list_configuration(objects, fleet).await {
        tracing::warn!(dependency = "platform", kind = ConfigSpec::PLURAL, %error, "read failed");
    }
}

async fn watch_configuration(
    objects: &ObjectClient,
    since: &Revision,
    fleet: &FleetState,
) -> store::Result<Revision> {
    let sent_at = BootTime.now();
    let wait = fleet.watch_wait();
    let new = objects.poll_changes::<ConfigSpec>(since, wait).await?;
    let read = own_read(watched_until(sent_at, wait, &new), &new.revision);
    fleet.record_configuration_read(read);
    for change in new.changes {
        if let Change::Set(object) = change
            && object.name == CONFIG_OBJECT_NAME
        {
            fleet.apply_config(object.value, &ReadBy::Own);
        }
    }
    Ok(new.revision)
}

/// Watches the registrations of backend servers.
pub(crate) async fn registrations(objects: ObjectClient, fleet: Arc<FleetState>) {
    let mut availability = Availability::new(ServerSpec::PLURAL);
    let mut decoder = RegistrationDecoder::default();
    let mut since: Option<Revision> = None;
    loop {
        if fleet.wait_until_reads_platform().await {
            since = None;
        }
        let step = match &since {
            None => list_registrations(&objects, &mut decoder, &fleet).await,
            Some(since) => watch_registrations(&objects, since, &mut decoder, &fleet).await,
        };
        if let Err(e) = &step
            && e.category() != Category::Expired
        {
            fleet.record_platform_unavailable();
        }
        since = next_revision(&mut availability, step).await;
        sleep(batch_delay(&fleet)).await;
    }
}

async fn list_registrations(
    objects: &ObjectClient,
    decoder: &mut RegistrationDecoder,
    fleet: &FleetState,
) -> store::Result<Revision> {
    let sent_at = BootTime.now();
    let listed = objects.list::<ServerSpec>().await?;
    let read = own_read(sent_at, &listed.revision);
    let entries = decoder.decode_listing(&listed);
    let applied = fleet.apply_registrations(read, |registry, now, read| {
        registry.apply_listing(now, read, entries)
    });
    check_order(applied, listed.revision)
}

async fn watch_registrations(
    objects: &ObjectClient,
    since: &Revision,
    decoder: &mut RegistrationDecoder,
    fleet: &FleetState,
) -> store::Result<Revision> {
    let sent_at = BootTime.now();
    let wait = fleet.watch_wait();
    let new = objects.poll_changes::<ServerSpec>(since, wait).await?;
    let read = own_read(watched_until(sent_at, wait, &new), &new.revision);
    let changes = new.changes.iter();
    let changes = changes.filter_map(|change| entry_change(decoder, change));
    let changes = changes.collect();
    let applied = fleet.apply_registrations(read, |registry, now, read| {
        registry.apply_changes(now, read, changes)
    });
    check_order(applied, new.revision)
}

fn batch_delay(fleet: &FleetState) -> Duration {
    let peers = u32::try_from(fleet.peer_count()).unwrap_or(u32::MAX);
    let delay = BATCH_DELAY.max(BATCH_DELAY_PER_PEER.saturating_mul(peers));
    delay.min(fleet.max_batch_delay())
}

/// Returns the revision of a response, or an error if a newer one has been applied.
fn check_order(applied: Applied, revision: Revision) -> store::Result<Revision> {
    match applied {
        Applied::Changed | Applied::Unchanged => Ok(revision),
        Applied::Outdated => Err(store::Error::new(
            Category::Expired,
            ServerSpec::PLURAL,
            "a newer revision is known",
        )),
    }
}

/// Returns the change of an entry; one that can't be decoded counts as removed.
fn entry_change(
    decoder: &mut RegistrationDecoder,
    change: &Change<ServerSpec>,
) -> Option<EntryChange> {
    match decoder.decode_change(change) {
        Ok(registration) => Some(EntryChange::Set(registration)),
        Err(name) => name.parse().ok().map(EntryChange::Removed),
    }
}

/// Feeds the router clock ticks, removes expired entries from the registry, and checks its age.
pub(crate) async fn clock(fleet: Arc<FleetState>) {
    loop {
        let busy = fleet.proxy().dispatcher().in_flight() > 0;
        sleep(if busy {
            BUSY_TICK_PERIOD
        } else {
            IDLE_TICK_PERIOD
        })
        .await;
        fleet.proxy().dispatcher().feed(route::Event::Tick);
        fleet.update_registry(registry::Registry::remove_expired);
        fleet.update_outdated();
    }
}
