//! Load beacons: what this host has sent to backend servers, and what its callers ask for.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use control::FleetHandle;
use peer::{Beacon, Beacons, Load, MemberState, Need, key};
use route::{Event, SentLoad};
use tokio::time::sleep;
use types::{Deadline, HostId, Instant, Micros, ModelId};

use crate::entry::{beliefs::Beliefs, peers::Exchange};

/// Time between two beacons in a small fleet.
const PERIOD: Duration = Duration::from_millis(200);

/// Time between two beacons per peer, which bounds the datagrams that a host sends.
const PERIOD_PER_PEER: Duration = Duration::from_millis(20);

/// Time between two beacons with the demand.
const NEEDS_PERIOD: Micros = Micros::from_millis(1_000);

/// Beacons without news after which what was heard of a host no longer counts.
const TTL_PERIODS: u32 = 8;

/// Sends beacons to the other hosts, and the own demand to the own controller.
pub(crate) async fn send(
    beacons: Arc<Beacons>,
    host: HostId,
    exchange: Exchange,
    control: FleetHandle,
    beliefs: Arc<Beliefs>,
) {
    let port = beliefs.beacon_port();
    let mut next_needs = Deadline::at(Instant::ZERO);
    let mut last_empty = false;
    loop {
        let peers = targets(&exchange, &host, port);
        sleep(period(peers.len())).await;
        let now = beliefs.proxy().now();
        let loads = loads(&beliefs);
        let due = next_needs.is_past(now);
        if loads.is_empty() && last_empty && !due {
            continue;
        }
        last_empty = loads.is_empty();
        let mut beacon = Beacon {
            host: host.clone(),
            loads,
            needs: Vec::new(),
            adapters: Vec::new(),
        };
        if due {
            next_needs = Deadline::after(now, NEEDS_PERIOD);
            let since = now.as_micros().saturating_sub(NEEDS_PERIOD.get());
            add_needs(&mut beacon, Instant::from_micros(since), &control, &beliefs);
        }
        if let Err(e) = beacons.send(beacon, &peers).await {
            tracing::warn!(error = %e, "beacon not sent");
        }
    }
}

fn period(peers: usize) -> Duration {
    let peers = u32::try_from(peers).unwrap_or(u32::MAX);
    PERIOD.max(PERIOD_PER_PEER.saturating_mul(peers))
}

fn targets(exchange: &Exchange, host: &HostId, port: u16) -> Vec<SocketAddr> {
    let members = exchange.members().borrow().clone();
    let live = members.iter();
    let live = live.filter(|m| m.id != *host && m.state != MemberState::Gone);
    live.map(|m| SocketAddr::new(m.peer_addr.ip(), port))
        .collect()
}

fn loads(beliefs: &Beliefs) -> Vec<Load> {
    let sent = beliefs
        .proxy()
        .dispatcher()
        .with_router(route::Router::sent_loads);
    let load = |(id, load): (types::BackendId, SentLoad)| Load {
        backend: key(id.as_str()),
        requests: load.requests,
        work_ms: millis(f64::from(load.work)),
    };
    sent.into_iter().map(load).collect()
}

/// Turns seconds into whole milliseconds.
fn millis(seconds: f64) -> u16 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a float-to-integer cast saturates, which suits a beacon"
    )]
    let millis = (seconds * 1e3) as u16;
    millis
}

fn add_needs(beacon: &mut Beacon, since: Instant, control: &FleetHandle, beliefs: &Beliefs) {
    let now = beliefs.proxy().now();
    let (needs, used) = beliefs.proxy().dispatcher().with_router(|router| {
        let needs = router.demand(now);
        let needs = needs.filter(|d| d.tokens_per_second > 0.0);
        let needs: Vec<(ModelId, f64)> = needs
            .map(|d| (d.model.clone(), d.tokens_per_second))
            .collect();
        let used: Vec<_> = router.adapters_used(since).into_iter().cloned().collect();
        (needs, used)
    });
    let need = |(model, load): &(ModelId, f64)| Need {
        model: key(model.as_str()),
        work_ms: millis(*load),
    };
    beacon.needs = needs.iter().map(need).filter(|n| n.work_ms > 0).collect();
    beacon.adapters = used.iter().map(|a| key(a.as_str())).collect();
    control.needs(beacon.host.clone(), needs);
    control.used(used);
}

/// Takes the beacons of other hosts.
pub(crate) async fn receive(beacons: Arc<Beacons>, control: FleetHandle, beliefs: Arc<Beliefs>) {
    loop {
        let beacon = match beacons.receive().await {
            Ok(beacon) => beacon,
            Err(e) => {
                tracing::warn!(error = %e, "datagram that is no beacon");
                metrics::counter!("celerytally_peer_garbage_total").increment(1);
                continue;
            }
        };
        take(beacon, &control, &beliefs);
    }
}

fn take(beacon: Beacon, control: &FleetHandle, beliefs: &Beliefs) {
    let keys = beliefs.keys();
    let sent = beacon.loads.iter().filter_map(|l| {
        let load = SentLoad {
            requests: l.requests,
            work: f32::from(l.work_ms) / 1e3,
        };
        Some((keys.backend(l.backend)?.clone(), load))
    });
    let ttl = period(beliefs.peers()) * TTL_PERIODS;
    let ttl = Micros::new(u64::try_from(ttl.as_micros()).unwrap_or(u64::MAX));
    beliefs.proxy().dispatcher().feed(Event::PeerLoad {
        host: beacon.host.clone(),
        sent: sent.collect(),
        until: Deadline::after(beliefs.proxy().now(), ttl),
    });
    let needs = beacon.needs.iter();
    let needs =
        needs.filter_map(|n| Some((keys.model(n.model)?.clone(), f64::from(n.work_ms) / 1e3)));
    let needs: Vec<_> = needs.collect();
    if !needs.is_empty() {
        control.needs(beacon.host, needs);
    }
    let used = beacon.adapters.iter().filter_map(|a| keys.adapter(*a));
    let used: Vec<_> = used.cloned().collect();
    if !used.is_empty() {
        control.used(used);
    }
}
