//! What hosts tell each other by datagrams: requests at backend servers, and callers' demand.
//!
//! In a small fleet each host tells all others. In a large one the first hosts of each data centre
//! add up the loads of their neighbours, exchange the sums, and tell their neighbours the total.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use control::FleetHandle;
use peer::{
    BackendReport, Datagram, DatagramSocket, Load, Member, ModelDemand, ReportSums, Slowdown,
    Summable, name_hash, subtract,
};
use route::{Event, ObservedSlowdown, SentLoad};
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

/// Time between two datagrams with the demand, and between two with learned paces.
const SLOW_PERIOD: Micros = Micros::from_millis(1_000);

/// Periods without news after which what was heard no longer counts.
const TTL_PERIODS: u64 = 8;

/// Periods without a sum of the first summing host after which the second one tells its own.
const TAKE_OVER_PERIODS: u64 = 3;

/// Units of a datagram in one logarithm and in one sample.
const LOG_UNITS: f32 = 100.0;
const SAMPLE_UNITS: f32 = 10.0;

fn times(period: Micros, factor: u64) -> Micros {
    Micros::new(period.get().saturating_mul(factor))
}

/// Time between two datagrams of a host that tells all others.
fn direct_period(peers: usize) -> Micros {
    let peers = u64::try_from(peers).unwrap_or(u64::MAX);
    PERIOD.max(times(PERIOD_PER_PEER, peers))
}

/// What this host told and heard of one kind of news about backend servers.
#[derive(Debug)]
struct News<T> {
    sums: ReportSums<T>,
    /// Own part as it was told last; the total that comes back holds it.
    own: Vec<T>,
}

impl<T> Default for News<T> {
    fn default() -> Self {
        Self {
            sums: ReportSums::default(),
            own: Vec::new(),
        }
    }
}

/// Sums of one kind of news.
struct Totals<T> {
    /// Over the own data centre.
    own: Vec<T>,
    /// Over all hosts.
    all: Vec<T>,
    /// Over all hosts but this one.
    others: Vec<T>,
}

impl<T: Summable> News<T> {
    /// Notes what this host tells now, and returns the sums with it.
    fn tell(&mut self, host: &HostId, own: Vec<T>, now: Instant, until: Deadline) -> Totals<T> {
        self.sums.set_host(host.clone(), own.clone(), until);
        let all = self.sums.fleet_sum(now);
        let others = subtract(&all, &own);
        self.own = own;
        Totals {
            own: self.sums.data_centre_sum(now),
            all,
            others,
        }
    }
}

/// What this host told and heard last.
#[derive(Debug, Default)]
struct Heard {
    targets: Targets,
    loads: News<Load>,
    paces: News<Slowdown>,
    /// Time until which the last total of loads counts.
    total_until: Option<Deadline>,
    /// Time until which the first summing host counts as at work.
    first_until: Option<Deadline>,
}

/// Exchange of loads and demand between hosts.
pub(crate) struct Loads {
    beacons: DatagramSocket,
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
        beacons: DatagramSocket,
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
        let mut next_slow = Deadline::at(Instant::ZERO);
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
                self.tell_loads(now, &targets).await;
            }
            let informed = self.heard().total_until.is_some_and(|u| !u.is_past(now));
            if !(targets.sums && informed) && next_direct.is_past(now) {
                next_direct = Deadline::after(now, direct);
                self.tell_directly(&targets).await;
            }
            if next_slow.is_past(now) {
                next_slow = Deadline::after(now, SLOW_PERIOD);
                self.tell_demand(now, &targets).await;
                self.tell_paces(now, &targets).await;
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

    /// Tells all other hosts of the own requests; nothing more once that there are none was told.
    async fn tell_directly(&self, targets: &Targets) {
        let loads = loads(&self.beliefs);
        let before = std::mem::replace(&mut self.heard().loads.own, loads.clone());
        if !(loads.is_empty() && before.is_empty()) {
            let datagram = Datagram::Host(self.host.clone(), BackendReport::Loads(loads));
            self.post(datagram, &targets.all).await;
        }
    }

    /// Tells the summing hosts of the own requests, or tells sums if this host is one of them.
    async fn tell_loads(&self, now: Instant, targets: &Targets) {
        let loads = loads(&self.beliefs);
        let until = Deadline::after(now, times(SUMS_PERIOD, TTL_PERIODS));
        let (sums, silent) = {
            let mut heard = self.heard();
            let silent = loads.is_empty() && heard.loads.own.is_empty();
            if targets.rank.is_some() {
                heard.total_until = Some(until);
            }
            (
                heard.loads.tell(&self.host, loads.clone(), now, until),
                silent,
            )
        };
        if !silent {
            let datagram = Datagram::Host(self.host.clone(), BackendReport::Loads(loads));
            self.post(datagram, &targets.summing).await;
        }
        if targets.rank.is_some() {
            self.feed_loads(None, &sums.others, until);
            self.tell_sums(
                now,
                targets,
                BackendReport::Loads(sums.own),
                BackendReport::Loads(sums.all),
            )
            .await;
        }
    }

    /// The same for the learned paces.
    async fn tell_paces(&self, now: Instant, targets: &Targets) {
        let paces = paces(&self.beliefs);
        let until = Deadline::after(now, times(SLOW_PERIOD, TTL_PERIODS));
        let sums = self
            .heard()
            .paces
            .tell(&self.host, paces.clone(), now, until);
        let datagram = Datagram::Host(self.host.clone(), BackendReport::Slowdowns(paces));
        if !targets.sums {
            self.post(datagram, &targets.all).await;
            return self.feed_paces(&sums.others);
        }
        self.post(datagram, &targets.summing).await;
        if targets.rank.is_some() {
            self.feed_paces(&sums.others);
            self.tell_sums(
                now,
                targets,
                BackendReport::Slowdowns(sums.own),
                BackendReport::Slowdowns(sums.all),
            )
            .await;
        }
    }

    /// Tells the sum of this data centre to the others, and the total to the neighbours.
    async fn tell_sums(
        &self,
        now: Instant,
        targets: &Targets,
        own: BackendReport,
        all: BackendReport,
    ) {
        let dc = Datagram::DataCentre(self.dc.clone(), own);
        self.post(dc, &targets.other_sums).await;
        let first_at_work = self.heard().first_until.is_some_and(|u| !u.is_past(now));
        if targets.rank == Some(0) || !first_at_work {
            let total = Datagram::Fleet(self.host.clone(), all);
            self.post(total, &targets.neighbour_addrs).await;
        }
    }

    fn feed_loads(&self, host: Option<HostId>, loads: &[Load], until: Deadline) {
        let keys = self.beliefs.keys();
        let sent = loads.iter().filter_map(|l| sent_load(&keys, l)).collect();
        let dispatcher = self.beliefs.proxy().dispatcher();
        dispatcher.feed(Event::PeerLoad { host, sent, until });
    }

    fn feed_paces(&self, paces: &[Slowdown]) {
        let keys = self.beliefs.keys();
        let seen = paces.iter().filter_map(|p| seen_pace(&keys, *p)).collect();
        let dispatcher = self.beliefs.proxy().dispatcher();
        dispatcher.feed(Event::PeerSlowdowns(seen));
    }

    /// Tells the demand of the own callers to the host that places models.
    async fn tell_demand(&self, now: Instant, targets: &Targets) {
        let since = now.as_micros().saturating_sub(SLOW_PERIOD.get());
        let since = Instant::from_micros(since);
        let (needs, used) = self.beliefs.proxy().dispatcher().with_router(|router| {
            let demand = router.demand(now).filter(|d| d.tokens_per_second > 0.0);
            let needs: Vec<(ModelId, f64)> = demand
                .map(|d| (d.model.clone(), d.tokens_per_second))
                .collect();
            let used: Vec<_> = router
                .adapters_used_since(since)
                .into_iter()
                .cloned()
                .collect();
            (needs, used)
        });
        let need = |(model, load): &(ModelId, f64)| ModelDemand {
            model: name_hash(model.as_str()),
            work_ms: millis(*load),
        };
        let datagram = Datagram::Demand {
            host: self.host.clone(),
            models: needs.iter().map(need).filter(|n| n.work_ms > 0).collect(),
            adapters: used.iter().map(|a| name_hash(a.as_str())).collect(),
        };
        self.control.set_demand(self.host.clone(), needs);
        self.control.record_adapter_use(used);
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
        match datagram {
            Datagram::Host(host, told) => self.take_host(now, host, told),
            Datagram::DataCentre(dc, BackendReport::Loads(loads)) => {
                let until = Deadline::after(now, times(SUMS_PERIOD, TTL_PERIODS));
                self.heard().loads.sums.set_data_centre(dc, loads, until);
            }
            Datagram::DataCentre(dc, BackendReport::Slowdowns(paces)) => {
                let until = Deadline::after(now, times(SLOW_PERIOD, TTL_PERIODS));
                self.heard().paces.sums.set_data_centre(dc, paces, until);
            }
            Datagram::Fleet(by, told) => self.take_total(now, &by, told),
            Datagram::Demand {
                host,
                models,
                adapters,
            } => self.take_demand(host, &models, &adapters),
        }
    }

    /// Takes a total over all hosts; a host that adds up by itself only notes that it came.
    fn take_total(&self, now: Instant, by: &HostId, told: BackendReport) {
        let until = Deadline::after(now, times(SUMS_PERIOD, TTL_PERIODS));
        let mut heard = self.heard();
        if *by != self.host {
            let at_work = times(SUMS_PERIOD, TAKE_OVER_PERIODS);
            heard.first_until = Some(Deadline::after(now, at_work));
        }
        if heard.targets.rank.is_some() {
            return;
        }
        match told {
            BackendReport::Loads(total) => {
                heard.total_until = Some(until);
                let others = subtract(&total, &heard.loads.own);
                drop(heard);
                self.feed_loads(None, &others, until);
            }
            BackendReport::Slowdowns(total) => {
                let others = subtract(&total, &heard.paces.own);
                drop(heard);
                self.feed_paces(&others);
            }
        }
    }

    fn take_host(&self, now: Instant, host: HostId, told: BackendReport) {
        let mut heard = self.heard();
        let targets = &heard.targets;
        let small = !targets.sums;
        let neighbour = targets.neighbours.binary_search(&host).is_ok();
        let adds_up = targets.rank.is_some() && neighbour;
        let direct = direct_period(targets.all.len());
        match told {
            BackendReport::Loads(loads) if !small && adds_up => {
                let until = Deadline::after(now, times(SUMS_PERIOD, TTL_PERIODS));
                heard.loads.sums.set_host(host, loads, until);
            }
            BackendReport::Loads(loads) => {
                drop(heard);
                let until = Deadline::after(now, times(direct, TTL_PERIODS));
                self.feed_loads(Some(host), &loads, until);
            }
            BackendReport::Slowdowns(paces) if small || adds_up => {
                let until = Deadline::after(now, times(SLOW_PERIOD, TTL_PERIODS));
                heard.paces.sums.set_host(host, paces, until);
            }
            BackendReport::Slowdowns(_) => {}
        }
    }

    fn take_demand(&self, host: HostId, needs: &[ModelDemand], adapters: &[u32]) {
        let keys = self.beliefs.keys();
        let need =
            |n: &ModelDemand| Some((keys.model(n.model)?.clone(), f64::from(n.work_ms) / 1e3));
        let needs: Vec<_> = needs.iter().filter_map(need).collect();
        if !needs.is_empty() {
            self.control.set_demand(host, needs);
        }
        let used = adapters.iter().filter_map(|a| keys.adapter(*a));
        let used: Vec<_> = used.cloned().collect();
        if !used.is_empty() {
            self.control.record_adapter_use(used);
        }
    }
}

fn sent_load(keys: &Keys, load: &Load) -> Option<(BackendId, SentLoad)> {
    let sent = SentLoad {
        requests: load.requests,
        prefill_seconds: f32::from(load.prefill_ms) / 1e3,
        unreachable_reports: load.unreachable_reports,
    };
    Some((keys.backend(load.backend)?.clone(), sent))
}

fn loads(beliefs: &Beliefs) -> Vec<Load> {
    let now = beliefs.proxy().now();
    let dispatcher = beliefs.proxy().dispatcher();
    let sent = dispatcher.with_router(|router| router.sent_loads(now));
    let load = |(id, load): (BackendId, SentLoad)| Load {
        backend: name_hash(id.as_str()),
        requests: load.requests,
        prefill_ms: millis(f64::from(load.prefill_seconds)),
        unreachable_reports: load.unreachable_reports,
    };
    sent.into_iter().map(load).collect()
}

fn paces(beliefs: &Beliefs) -> Vec<Slowdown> {
    let now = beliefs.proxy().now();
    let dispatcher = beliefs.proxy().dispatcher();
    let seen = dispatcher.with_router(|router| router.observed_slowdowns(now));
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a float-to-integer cast saturates, which suits a datagram"
    )]
    let pace = |(id, seen): (BackendId, ObservedSlowdown)| Slowdown {
        backend: name_hash(id.as_str()),
        log_sum: (seen.log_sum * LOG_UNITS) as i16,
        samples: (seen.samples * SAMPLE_UNITS) as u16,
    };
    seen.into_iter().map(pace).collect()
}

fn seen_pace(keys: &Keys, pace: Slowdown) -> Option<(BackendId, ObservedSlowdown)> {
    let seen = ObservedSlowdown {
        log_sum: f32::from(pace.log_sum) / LOG_UNITS,
        samples: f32::from(pace.samples) / SAMPLE_UNITS,
    };
    Some((keys.backend(pace.backend)?.clone(), seen))
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
