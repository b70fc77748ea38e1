//! What hosts tell each other by datagrams: requests at backend servers, and callers' demand.
//!
//! In a small fleet each host tells all others. In a large one the first hosts of each data centre
//! add up the loads of their neighbours, exchange the sums, and tell their neighbours the total.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use control::FleetHandle;
use peer::{Beacons, Datagram, Load, LoadSums, Member, Need, key};
use route::{Event, SentLoad};
use tokio::{sync::watch, time::sleep};
use types::{BackendId, DataCentreId, Deadline, HostId, Instant, Micros, ModelId};

use crate::entry::{
    beliefs::{Beliefs, Keys},
    peers::Exchange,
    targets::Targets,
};

/// Time between two datagrams with loads.
const PERIOD: Micros = Micros::from_millis(200);

/// The same where hosts tell sums.
const SUMS_PERIOD: Micros = Micros::from_millis(150);

/// Time between two datagrams per peer where each host tells all others.
const PERIOD_PER_PEER: Micros = Micros::from_millis(20);

/// Time between two datagrams with the demand.
const DEMAND_PERIOD: Micros = Micros::from_millis(1_000);

/// Periods without news after which what was heard no longer counts.
const TTL_PERIODS: u64 = 8;

/// Periods without a sum of the first summing host after which the second one tells its own.
const TAKE_OVER_PERIODS: u64 = 3;

fn times(period: Micros, factor: u64) -> Micros {
    Micros::new(period.get().saturating_mul(factor))
}

/// Time between two datagrams of a host that tells all others.
fn direct_period(peers: usize) -> Micros {
    let peers = u64::try_from(peers).unwrap_or(u64::MAX);
    PERIOD.max(times(PERIOD_PER_PEER, peers))
}

/// What this host told and heard last.
#[derive(Debug, Default)]
struct Heard {
    targets: Targets,
    sums: LoadSums,
    /// Own requests as they were told last; the total that comes back holds them.
    own: Vec<Load>,
    /// Time until which the last total counts.
    total_until: Option<Deadline>,
    /// Time until which the first summing host counts as at work.
    first_until: Option<Deadline>,
}

/// Exchange of loads and demand between hosts.
pub(crate) struct Loads {
    beacons: Beacons,
    host: HostId,
    dc: DataCentreId,
    members: watch::Receiver<Arc<Vec<Member>>>,
    exchange: Exchange,
    control: FleetHandle,
    beliefs: Arc<Beliefs>,
    heard: Mutex<Heard>,
}

impl Loads {
    pub(crate) fn new(
        beacons: Beacons,
        (host, dc): (HostId, DataCentreId),
        exchange: Exchange,
        control: FleetHandle,
        beliefs: Arc<Beliefs>,
    ) -> Arc<Self> {
        Arc::new(Self {
            beacons,
            host,
            dc,
            members: exchange.members(),
            exchange,
            control,
            beliefs,
            heard: Mutex::default(),
        })
    }

    fn heard(&self) -> MutexGuard<'_, Heard> {
        self.heard.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Instant {
        self.beliefs.proxy().now()
    }

    /// Sends datagrams for as long as the process runs.
    pub(crate) async fn send(self: Arc<Self>) {
        let mut members = self.members.clone();
        self.choose_targets(&members.borrow_and_update().clone());
        let mut next_demand = Deadline::at(Instant::ZERO);
        let mut next_direct = Deadline::at(Instant::ZERO);
        loop {
            if members.has_changed().unwrap_or(false) {
                self.choose_targets(&members.borrow_and_update().clone());
            }
            let targets = self.heard().targets.clone();
            let direct = direct_period(targets.all.len());
            sleep(if targets.sums { SUMS_PERIOD } else { direct }.into()).await;
            let now = self.now();
            if targets.sums {
                self.tell_sums(now, &targets).await;
            }
            let informed = self.heard().total_until.is_some_and(|u| !u.is_past(now));
            if !(targets.sums && informed) && next_direct.is_past(now) {
                next_direct = Deadline::after(now, direct);
                self.tell_directly(&targets).await;
            }
            if next_demand.is_past(now) {
                next_demand = Deadline::after(now, DEMAND_PERIOD);
                self.tell_demand(now, &targets).await;
            }
        }
    }

    fn choose_targets(&self, members: &[Member]) {
        let port = self.beliefs.beacon_port();
        self.heard().targets = Targets::new(members, &self.host, &self.dc, port);
    }

    async fn post(&self, datagram: Datagram, peers: &[SocketAddr]) {
        if let Err(e) = self.beacons.send(datagram, peers).await {
            tracing::warn!(error = %e, "datagram not sent");
        }
    }

    fn own_datagram(&self, loads: Vec<Load>) -> Datagram {
        let host = self.host.clone();
        Datagram::Host { host, loads }
    }

    /// Tells all other hosts of the own requests; nothing more once that there are none was told.
    async fn tell_directly(&self, targets: &Targets) {
        let loads = loads(&self.beliefs);
        let before = std::mem::replace(&mut self.heard().own, loads.clone());
        if !(loads.is_empty() && before.is_empty()) {
            self.post(self.own_datagram(loads), &targets.all).await;
        }
    }

    /// Tells the summing hosts of the own requests, or tells sums if this host is one of them.
    async fn tell_sums(&self, now: Instant, targets: &Targets) {
        let loads = loads(&self.beliefs);
        let before = std::mem::replace(&mut self.heard().own, loads.clone());
        let silent = loads.is_empty() && before.is_empty();
        if !silent && !targets.summing.is_empty() {
            let datagram = self.own_datagram(loads.clone());
            self.post(datagram, &targets.summing).await;
        }
        let Some(rank) = targets.rank else {
            return;
        };
        let until = Deadline::after(now, times(SUMS_PERIOD, TTL_PERIODS));
        let (own, all, first) = {
            let mut heard = self.heard();
            heard.sums.host(self.host.clone(), loads, until);
            heard.total_until = Some(until);
            let first = rank == 0 || heard.first_until.is_none_or(|u| u.is_past(now));
            (heard.sums.own(now), heard.sums.all(now), first)
        };
        self.take_total(&all, until);
        let dc = self.dc.clone();
        let own = Datagram::DataCentre { dc, loads: own };
        self.post(own, &targets.other_sums).await;
        if first {
            let by = self.host.clone();
            let total = Datagram::Fleet { by, loads: all };
            self.post(total, &targets.neighbour_addrs).await;
        }
    }

    /// Feeds the router with a total over all hosts, less the own requests in it.
    fn take_total(&self, total: &[Load], until: Deadline) {
        let own = self.heard().own.clone();
        let others = total.iter().map(|l| {
            let found = own.iter().find(|o| o.backend == l.backend);
            let own = found.copied().unwrap_or_default();
            Load {
                backend: l.backend,
                requests: l.requests.saturating_sub(own.requests),
                work_ms: l.work_ms.saturating_sub(own.work_ms),
                suspected_by: l.suspected_by.saturating_sub(own.suspected_by),
            }
        });
        self.feed(None, others.collect(), until);
    }

    fn feed(&self, host: Option<HostId>, loads: Vec<Load>, until: Deadline) {
        let keys = self.beliefs.keys();
        let sent = loads.iter().filter_map(|l| sent_load(&keys, l)).collect();
        let dispatcher = self.beliefs.proxy().dispatcher();
        dispatcher.feed(Event::PeerLoad { host, sent, until });
    }

    /// Tells the demand of the own callers to the host that places models.
    async fn tell_demand(&self, now: Instant, targets: &Targets) {
        let since = now.as_micros().saturating_sub(DEMAND_PERIOD.get());
        let since = Instant::from_micros(since);
        let (needs, used) = self.beliefs.proxy().dispatcher().with_router(|router| {
            let demand = router.demand(now).filter(|d| d.tokens_per_second > 0.0);
            let needs: Vec<(ModelId, f64)> = demand
                .map(|d| (d.model.clone(), d.tokens_per_second))
                .collect();
            let used: Vec<_> = router.adapters_used(since).into_iter().cloned().collect();
            (needs, used)
        });
        let need = |(model, load): &(ModelId, f64)| Need {
            model: key(model.as_str()),
            work_ms: millis(*load),
        };
        let datagram = Datagram::Demand {
            host: self.host.clone(),
            needs: needs.iter().map(need).filter(|n| n.work_ms > 0).collect(),
            adapters: used.iter().map(|a| key(a.as_str())).collect(),
        };
        self.control.needs(self.host.clone(), needs);
        self.control.used(used);
        let holder = self.holder_addr().filter(|_| targets.sums);
        match holder {
            Some(holder) => self.post(datagram, &[holder]).await,
            None => self.post(datagram, &targets.all).await,
        }
    }

    fn holder_addr(&self) -> Option<SocketAddr> {
        let holder = self.control.holder()?;
        let members = self.exchange.members().borrow().clone();
        let member = members.iter().find(|m| m.id == holder)?;
        let port = self.beliefs.beacon_port();
        Some(SocketAddr::new(member.peer_addr.ip(), port))
    }

    /// Takes the datagrams of other hosts for as long as the process runs.
    pub(crate) async fn receive(self: Arc<Self>) {
        loop {
            match self.beacons.receive().await {
                Ok(datagram) => self.take(datagram),
                Err(e) => {
                    tracing::warn!(error = %e, "datagram of another form");
                    metrics::counter!("celerytally_peer_garbage_total").increment(1);
                }
            }
        }
    }

    fn take(&self, datagram: Datagram) {
        let now = self.now();
        let sums_until = Deadline::after(now, times(SUMS_PERIOD, TTL_PERIODS));
        match datagram {
            Datagram::Host { host, loads } => self.take_host(now, host, loads),
            Datagram::DataCentre { dc, loads } => {
                self.heard().sums.data_centre(dc, loads, sums_until);
            }
            Datagram::Fleet { by, loads } => {
                let first_until = Deadline::after(now, times(SUMS_PERIOD, TAKE_OVER_PERIODS));
                let mut heard = self.heard();
                if by != self.host {
                    heard.first_until = Some(first_until);
                }
                heard.total_until = Some(sums_until);
                let sums_itself = heard.targets.rank.is_some();
                drop(heard);
                if !sums_itself {
                    self.take_total(&loads, sums_until);
                }
            }
            Datagram::Demand {
                host,
                needs,
                adapters,
            } => self.take_demand(host, &needs, &adapters),
        }
    }

    fn take_host(&self, now: Instant, host: HostId, loads: Vec<Load>) {
        let mut heard = self.heard();
        let sums = heard.targets.sums && heard.targets.rank.is_some();
        if sums && heard.targets.neighbours.binary_search(&host).is_ok() {
            let until = Deadline::after(now, times(SUMS_PERIOD, TTL_PERIODS));
            heard.sums.host(host, loads, until);
            return;
        }
        let ttl = times(direct_period(heard.targets.all.len()), TTL_PERIODS);
        drop(heard);
        self.feed(Some(host), loads, Deadline::after(now, ttl));
    }

    fn take_demand(&self, host: HostId, needs: &[Need], adapters: &[u32]) {
        let keys = self.beliefs.keys();
        let need = |n: &Need| Some((keys.model(n.model)?.clone(), f64::from(n.work_ms) / 1e3));
        let needs: Vec<_> = needs.iter().filter_map(need).collect();
        if !needs.is_empty() {
            self.control.needs(host, needs);
        }
        let used = adapters.iter().filter_map(|a| keys.adapter(*a));
        let used: Vec<_> = used.cloned().collect();
        if !used.is_empty() {
            self.control.used(used);
        }
    }
}

fn sent_load(keys: &Keys, load: &Load) -> Option<(BackendId, SentLoad)> {
    let sent = SentLoad {
        requests: load.requests,
        work: f32::from(load.work_ms) / 1e3,
        suspected_by: load.suspected_by,
    };
    Some((keys.backend(load.backend)?.clone(), sent))
}

fn loads(beliefs: &Beliefs) -> Vec<Load> {
    let now = beliefs.proxy().now();
    let dispatcher = beliefs.proxy().dispatcher();
    let sent = dispatcher.with_router(|router| router.sent_loads(now));
    let load = |(id, load): (BackendId, SentLoad)| Load {
        backend: key(id.as_str()),
        requests: load.requests,
        work_ms: millis(f64::from(load.work)),
        suspected_by: load.suspected_by,
    };
    sent.into_iter().map(load).collect()
}

/// Turns seconds into whole milliseconds.
fn millis(seconds: f64) -> u16 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a float-to-integer cast saturates, which suits a datagram"
    )]
    let millis = (seconds * 1e3) as u16;
    millis
}
