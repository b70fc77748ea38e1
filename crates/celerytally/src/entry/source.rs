//! Source of the configuration and the registry for this host: the platform, or another host.

use std::{sync::Arc, time::Duration};

use peer::{NoFacts, ReadPlan, RequestError, SourceSelector};
use tokio::time::sleep;
use types::{BootTime, Clock, DataCentreId, HostId, Instant, Micros};

use crate::entry::{fleet_state::FleetState, peers::Exchange};

/// Delay after the very first start in which hosts discover each other, so that not every host of a
/// large fleet reads the platform.
const PEER_DISCOVERY_DELAY: Micros = Micros::from_millis(2_500);

/// Period of the check of the members while this host reads the platform.
const CHECK_PERIOD: Duration = Duration::from_millis(250);

/// Delay before hosts that returned no facts, or facts of another host, are asked again.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Time within which a reachable host answers a request that does not wait for changes.
const RESPONSE_TIMEOUT: Micros = Micros::from_millis(250);

/// Counter of requests for facts without a reply, labelled by reason.
const FAILED_REQUESTS_METRIC: &str = "celerytally_facts_requests_failed_total";

/// Selects a source and, if it is another host, reads from it, for as long as the process runs.
pub(crate) async fn run(
    (own, dc): (HostId, DataCentreId),
    first_start: bool,
    exchange: Exchange,
    fleet: Arc<FleetState>,
) {
    if first_start {
        sleep(PEER_DISCOVERY_DELAY.into()).await;
    }
    let mut source = SourceSelector::new(own, dc);
    loop {
        let members = exchange.members().borrow().clone();
        match source.choose(BootTime.now(), &members) {
            ReadPlan::Direct(hosts) => {
                fleet.set_reads_platform(true);
                if fleet.is_platform_unavailable() {
                    source.record_failed_read(BootTime.now());
                    let result = fetch_facts(&hosts, false, &exchange, &fleet).await;
                    tracing::debug!(dependency = "relays", told = result.is_ok(), "asked");
                }
                sleep(CHECK_PERIOD).await;
            }
            ReadPlan::Ask { hosts, wait } => {
                fleet.set_reads_platform(false);
                let started_at = BootTime.now();
                match fetch_facts(&hosts, wait, &exchange, &fleet).await {
                    Ok((host, true)) => source.record_facts(host),
                    Ok((_, false)) => {
                        source.record_indirect_facts();
                        sleep(RETRY_DELAY).await;
                    }
                    Err(reason) => {
                        tracing::warn!(
                            dependency = "relays",
                            asked = ?hosts,
                            how = ?reason,
                            "no facts"
                        );
                        source.record_no_facts(started_at, reason);
                        sleep(RETRY_DELAY).await;
                    }
                }
            }
        }
    }
}

/// Asks hosts in turn until one of them returns facts, and returns that host and whether it reads the
/// platform itself.
///
/// With `wait`, the first host may wait for changes before it answers.
async fn fetch_facts(
    hosts: &[HostId],
    wait: bool,
    exchange: &Exchange,
    fleet: &FleetState,
) -> Result<(HostId, bool), NoFacts> {
    let mut reason = NoFacts::Silent;
    for (at, host) in hosts.iter().enumerate() {
        let asked_at = BootTime.now();
        if let Some(direct) = fetch_from(host, wait && at == 0, exchange, fleet).await {
            return Ok((host.clone(), direct));
        }
        if BootTime.now().since(asked_at) < RESPONSE_TIMEOUT {
            reason = NoFacts::Answered;
        }
    }
    Err(reason)
}

/// Asks a host for facts and applies them.
///
/// Returns whether the host reads the platform itself, or `None` if what this host knows is not fresh
/// afterwards.
pub(crate) async fn fetch_from(
    host: &HostId,
    wait: bool,
    exchange: &Exchange,
    fleet: &FleetState,
) -> Option<bool> {
    let asked_at = BootTime.now();
    let known = fleet.known_facts(wait);
    // A source that does not answer is left before the facts that it gave become too old.
    let limit = fleet.remaining_freshness().max(RESPONSE_TIMEOUT);
    match exchange.facts(host, known, limit.into()).await {
        Ok(facts) => {
            let facts = facts?;
            let direct = facts.direct;
            let is_fresh = fleet.apply_peer_facts(host, asked_at, facts);
            is_fresh.then_some(direct)
        }
        Err(e) => {
            log_failure(host, asked_at, &e);
            None
        }
    }
}

/// Logs and counts a request for facts that got no reply.
fn log_failure(host: &HostId, asked_at: Instant, error: &RequestError) {
    tracing::warn!(
        dependency = "relays",
        %host,
        duration_ms = BootTime.now().since(asked_at).get() / 1_000,
        reason = %error.reason(),
        received_bytes = error.received(),
        "request for facts failed"
    );
    metrics::counter!(FAILED_REQUESTS_METRIC, "reason" => error.reason().label()).increment(1);
}
