//! Exchange of backend load, observed slowdowns and callers' demand between hosts, by datagrams.
//!
//! In a small fleet each host sends its reports to all others. In a large one the aggregators of
//! each data centre add up the reports of its hosts, exchange the sums with the aggregators of the
//! other data centres, and send the fleet total to the hosts of their own.

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
    account_usage::AccountUsageExchange,
    fleet_state::{FleetState, NameHashes},
    peers::{Exchange, record_crashes},
    targets::Targets,
};

/// Shortest period of the datagrams with loads if each host sends them to all others.
const DIRECT_PERIOD: Micros = Micros::from_millis(200);

/// Period of the datagrams with loads if hosts exchange sums.
const SUMS_PERIOD: Micros = Micros::from_millis(150);

/// Period per peer if each host sends its loads to all others.
const DIRECT_PERIOD_PER_PEER: Micros = Micros::from_millis(20);

/// Period of the datagrams with demand, and of those with observed slowdowns.
const SLOW_PERIOD: Micros = Micros::from_millis(1_000);

/// Periods after which a received report expires.
const TTL_PERIODS: u64 = 8;

/// Periods without a total from the first aggregator after which the second one sends its own.
const TAKEOVER_PERIODS: u64 = 3;

/// Shortest period of log lines about datagrams that can't be received, which anyone can send.
const FAILURE_LOG_PERIOD: Micros = Micros::from_secs(10);

/// Units of a datagram per unit of a sum of logarithms.
const LOG_UNITS: f32 = 100.0;

/// Units of a datagram per sample.
const SAMPLE_UNITS: f32 = 10.0;

fn multiply(period: Micros, factor: u64) -> Micros {
    Micros::new(period.get().saturating_mul(factor))
}

/// Returns the period of the datagrams with loads of a host that sends them to all others.
fn direct_period(peers: usize) -> Micros {
    let peers = u64::try_from(peers).unwrap_or(u64::MAX);
    DIRECT_PERIOD.max(multiply(DIRECT_PERIOD_PER_PEER, peers))
}

/// Sent and received reports of one kind.
#[derive(Debug)]
struct Reports<T> {
    sums: ReportSums<T>,
    /// This host's own report as it was last sent; a received fleet total includes it.
    own: Vec<T>,
}

impl<T> Default for Reports<T> {
    fn default() -> Self {
        Self {
            sums: ReportSums::default(),
            own: Vec::new(),
        }
    }
}

/// Sums of one kind of report.
struct Totals<T> {
    /// Sum over the own data centre.
    data_centre: Vec<T>,
    /// Sum over all hosts.
    fleet: Vec<T>,
    /// Sum over all hosts except this one.
    others: Vec<T>,
}

impl<T: Summable> Reports<T> {
    /// Records this host's own report, and returns the sums that include it.
    fn update(&mut self, host: &HostId, own: Vec<T>, now: Instant, until: Deadline) -> Totals<T> {
        self.sums.set_host(host.clone(), own.clone(), until);
        let fleet = self.sums.fleet_sum(now);
        let others = subtract(&fleet, &own);
        self.own = own;
        Totals {
            data_centre: self.sums.data_centre_sum(now),
            fleet,
            others,
        }
    }
}

/// Mutable state of the exchange.
#[derive(Debug, Default)]
struct State {
    targets: Targets,
    loads: Reports<Load>,
    slowdowns: Reports<Slowdown>,
    /// Time at which the last fleet total of loads expires.
    total_valid_until: Option<Deadline>,
    /// Time until which the first aggregator counts as active.
    primary_active_until: Option<Deadline>,
}

/// Exchange of loads, slowdowns and demand with other hosts.
pub(crate) struct LoadExchange {
    socket: Arc<DatagramSocket>,
    host: HostId,
    dc: DataCentreId,
    members: watch::Receiver<Arc<Vec<Member>>>,
    exchange: Exchange,
    control: FleetHandle,
    fleet: Arc<FleetState>,
    accounts: AccountUsageExchange,
    state: Mutex<State>,
}

impl LoadExchange {
    pub(crate) fn new(
        (socket, accounts): (Arc<DatagramSocket>, AccountUsageExchange),
        (host, dc): (HostId, DataCentreId),
        exchange: Exchange,
        control: FleetHandle,
        fleet: Arc<FleetState>,
    ) -> Arc<Self> {
        Arc::new(Self {
            socket,
            host,
            dc,
            members: exchange.members(),
            exchange,
            control,
            fleet,
            accounts,
            state: Mutex::default(),
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Instant {
        self.fleet.proxy().now()
    }

    /// Sends datagrams for as long as the process runs.
    pub(crate) async fn send(self: Arc<Self>) {
        let mut members = self.members.clone();
        self.update_targets(&members.borrow_and_update().clone());
        let mut next_slow_report = Deadline::at(Instant::ZERO);
        let mut next_direct_report = Deadline::at(Instant::ZERO);
        loop {
            if members.has_changed().unwrap_or(false) {
                self.update_targets(&members.borrow_and_update().clone());
            }
            let targets = self.state().targets.clone();
            let direct_period = direct_period(targets.all.len());
            let period = if targets.aggregated {
                SUMS_PERIOD
            } else {
                direct_period
            };
            sleep(period.into()).await;
            let now = self.now();
            self.send_account_usage(now, &targets).await;
            if targets.aggregated {
                self.send_loads(now, &targets).await;
            }
            let has_total = self
                .state()
                .total_valid_until
                .is_some_and(|u| !u.is_past(now));
            if !(targets.aggregated && has_total) && next_direct_report.is_past(now) {
                next_direct_report = Deadline::after(now, direct_period);
                self.send_loads_to_all(&targets).await;
            }
            let is_slow_report_due = next_slow_report.is_past(now);
            self.send_leaving(now, &targets, is_slow_report_due).await;
            if is_slow_report_due {
                next_slow_report = Deadline::after(now, SLOW_PERIOD);
                self.send_demand(now, &targets).await;
                self.send_slowdowns(now, &targets).await;
            }
        }
    }

    /// Tells all other hosts which servers announced to this one that they leave: at once, and for a
    /// while with every slow report.
    async fn send_leaving(&self, now: Instant, targets: &Targets, repeat: bool) {
        let servers = self.fleet.leaving_servers().take(now, repeat);
        if !servers.is_empty() {
            let host = self.host.clone();
            let datagram = Datagram::Leaving { host, servers };
            self.send_to(datagram, &targets.all).await;
        }
    }

    fn update_targets(&self, members: &[Member]) {
        let port = self.fleet.datagram_port();
        let targets = Targets::new(members, &self.host, &self.dc, port);
        let period = if targets.aggregated {
            SUMS_PERIOD
        } else {
            direct_period(targets.all.len())
        };
        let quotas = self.fleet.proxy().quotas();
        self.accounts.set_members(members, &targets, period, quotas);
        self.state().targets = targets;
    }

    /// Sends what client accounts used of their quotas, if any have one.
    async fn send_account_usage(&self, now: Instant, targets: &Targets) {
        let is_primary = self.sends_totals(now, targets);
        let quotas = self.fleet.proxy().quotas();
        for (datagram, receivers) in self.accounts.report(targets, quotas, is_primary) {
            self.send_to(datagram, &receivers).await;
        }
    }

    /// Returns whether this host, if it is an aggregator, sends totals to the hosts of its data centre.
    fn sends_totals(&self, now: Instant, targets: &Targets) -> bool {
        let primary_active_until = self.state().primary_active_until;
        let primary_active = primary_active_until.is_some_and(|u| !u.is_past(now));
        targets.aggregator_rank == Some(0) || !primary_active
    }

    async fn send_to(&self, datagram: Datagram, peers: &[SocketAddr]) {
        if let Err(e) = self.socket.send(datagram, peers).await {
            tracing::warn!(error = %e, "datagram not sent");
        }
    }

    /// Sends the own loads to all other hosts; of consecutive empty reports only the first is sent.
    async fn send_loads_to_all(&self, targets: &Targets) {
        let loads = own_loads(&self.fleet);
        let before = std::mem::replace(&mut self.state().loads.own, loads.clone());
        if !(loads.is_empty() && before.is_empty()) {
            let datagram = Datagram::Host(self.host.clone(), BackendReport::Loads(loads));
            self.send_to(datagram, &targets.all).await;
        }
    }

    /// Sends the own loads to the aggregators, and the sums if this host is an aggregator.
    async fn send_loads(&self, now: Instant, targets: &Targets) {
        let loads = own_loads(&self.fleet);
        let until = Deadline::after(now, multiply(SUMS_PERIOD, TTL_PERIODS));
        let (sums, nothing_to_send) = {
            let mut state = self.state();
            let nothing_to_send = loads.is_empty() && state.loads.own.is_empty();
            if targets.aggregator_rank.is_some() {
                state.total_valid_until = Some(until);
            }
            (
                state.loads.update(&self.host, loads.clone(), now, until),
                nothing_to_send,
            )
        };
        if !nothing_to_send {
            let datagram = Datagram::Host(self.host.clone(), BackendReport::Loads(loads));
            self.send_to(datagram, &targets.local_aggregators).await;
        }
        if targets.aggregator_rank.is_some() {
            self.feed_loads(None, &sums.others, until);
            self.send_sums(
                now,
                targets,
                BackendReport::Loads(sums.data_centre),
                BackendReport::Loads(sums.fleet),
            )
            .await;
        }
    }

    /// Sends the observed slowdowns, like [`Self::send_loads`].
    async fn send_slowdowns(&self, now: Instant, targets: &Targets) {
        let slowdowns = own_slowdowns(&self.fleet);
        let until = Deadline::after(now, multiply(SLOW_PERIOD, TTL_PERIODS));
        let sums = self
            .state()
            .slowdowns
            .update(&self.host, slowdowns.clone(), now, until);
        let datagram = Datagram::Host(self.host.clone(), BackendReport::Slowdowns(slowdowns));
        if !targets.aggregated {
            self.send_to(datagram, &targets.all).await;
            return self.feed_slowdowns(&sums.others);
        }
        self.send_to(datagram, &targets.local_aggregators).await;
        if targets.aggregator_rank.is_some() {
            self.feed_slowdowns(&sums.others);
            self.send_sums(
                now,
                targets,
                BackendReport::Slowdowns(sums.data_centre),
                BackendReport::Slowdowns(sums.fleet),
            )
            .await;
        }
    }

    /// Sends the sum of this data centre to the other data centres, and the total to its hosts.
    async fn send_sums(
        &self,
        now: Instant,
        targets: &Targets,
        data_centre: BackendReport,
        fleet: BackendReport,
    ) {
        let sum = Datagram::DataCentre(self.dc.clone(), data_centre);
        self.send_to(sum, &targets.remote_aggregators).await;
        if self.sends_totals(now, targets) {
            let total = Datagram::Fleet(self.host.clone(), fleet);
            self.send_to(total, &targets.local_host_addrs).await;
        }
    }

    fn feed_loads(&self, host: Option<HostId>, loads: &[Load], until: Deadline) {
        let names = self.fleet.name_hashes();
        let sent = loads
            .iter()
            .filter_map(|l| decode_load(&names, l))
            .collect();
        let dispatcher = self.fleet.proxy().dispatcher();
        dispatcher.feed(Event::PeerLoad { host, sent, until });
    }

    fn feed_slowdowns(&self, slowdowns: &[Slowdown]) {
        let names = self.fleet.name_hashes();
        let observed = slowdowns
            .iter()
            .filter_map(|s| decode_slowdown(&names, *s))
            .collect();
        let dispatcher = self.fleet.proxy().dispatcher();
        dispatcher.feed(Event::PeerSlowdowns(observed));
    }

    /// Sends the demand of the own callers to the host that places models.
    async fn send_demand(&self, now: Instant, targets: &Targets) {
        let since = now.as_micros().saturating_sub(SLOW_PERIOD.get());
        let since = Instant::from_micros(since);
        let (demand, used) = self.fleet.proxy().dispatcher().with_router(|router| {
            let demand = router.demand(now).filter(|d| d.tokens_per_second > 0.0);
            let demand: Vec<(ModelId, f64)> = demand
                .map(|d| (d.model.clone(), d.tokens_per_second))
                .collect();
            let used: Vec<_> = router
                .adapters_used_since(since)
                .into_iter()
                .cloned()
                .collect();
            (demand, used)
        });
        let encode = |(model, load): &(ModelId, f64)| ModelDemand {
            model: name_hash(model.as_str()),
            work_ms: millis(*load),
        };
        let datagram = Datagram::Demand {
            host: self.host.clone(),
            models: demand
                .iter()
                .map(encode)
                .filter(|d| d.work_ms > 0)
                .collect(),
            adapters: used.iter().map(|a| name_hash(a.as_str())).collect(),
        };
        self.control.set_demand(self.host.clone(), demand);
        self.control.record_adapter_use(used);
        let holder = self.holder_addr().filter(|_| targets.aggregated);
        match holder {
            Some(holder) => self.send_to(datagram, &[holder]).await,
            None => self.send_to(datagram, &targets.all).await,
        }
    }

    fn holder_addr(&self) -> Option<SocketAddr> {
        let holder = self.control.holder()?;
        let members = self.exchange.members().borrow().clone();
        let member = members.iter().find(|m| m.id == holder)?;
        let port = self.fleet.datagram_port();
        Some(SocketAddr::new(member.peer_addr.ip(), port))
    }

    /// Receives the datagrams of other hosts for as long as the process runs.
    pub(crate) async fn receive(self: Arc<Self>) {
        let mut quiet_until: Option<Deadline> = None;
        loop {
            match self.socket.receive().await {
                Ok(datagram) => self.apply(datagram),
                Err(e) => {
                    metrics::counter!("celerytally_peer_garbage_total").increment(1);
                    let now = self.now();
                    if quiet_until.is_none_or(|until| until.is_past(now)) {
                        quiet_until = Some(Deadline::after(now, FAILURE_LOG_PERIOD));
                        tracing::warn!(error = %e, "receiving a datagram failed");
                    }
                }
            }
        }
    }

    fn apply(&self, datagram: Datagram) {
        let now = self.now();
        match datagram {
            Datagram::Host(host, report) => self.apply_host(now, host, report),
            Datagram::DataCentre(dc, BackendReport::Loads(loads)) => {
                let until = Deadline::after(now, multiply(SUMS_PERIOD, TTL_PERIODS));
                self.state().loads.sums.set_data_centre(dc, loads, until);
            }
            Datagram::DataCentre(dc, BackendReport::Slowdowns(slowdowns)) => {
                let until = Deadline::after(now, multiply(SLOW_PERIOD, TTL_PERIODS));
                self.state()
                    .slowdowns
                    .sums
                    .set_data_centre(dc, slowdowns, until);
            }
            Datagram::Fleet(by, report) => self.apply_total(now, &by, report),
            Datagram::Demand {
                host,
                models,
                adapters,
            } => self.apply_demand(host, &models, &adapters),
            Datagram::AccountUsage { of, usages } => {
                let quotas = self.fleet.proxy().quotas();
                let state = self.state();
                self.accounts.apply(&of, &usages, &state.targets, quotas);
            }
            Datagram::Leaving { host, servers } => self.fleet.apply_peer_leaving(&host, &servers),
            Datagram::Crashes { host, update } => {
                tracing::trace!(%host, "crash update received");
                let dispatcher = self.fleet.proxy().dispatcher();
                record_crashes(&self.control, &update);
                dispatcher.feed(Event::CrashUpdate(update));
            }
        }
    }

    /// Applies a fleet total; an aggregator only records that the sender is active.
    fn apply_total(&self, now: Instant, by: &HostId, report: BackendReport) {
        let until = Deadline::after(now, multiply(SUMS_PERIOD, TTL_PERIODS));
        let mut state = self.state();
        if *by != self.host {
            let active_time = multiply(SUMS_PERIOD, TAKEOVER_PERIODS);
            state.primary_active_until = Some(Deadline::after(now, active_time));
        }
        if state.targets.aggregator_rank.is_some() {
            return;
        }
        match report {
            BackendReport::Loads(total) => {
                state.total_valid_until = Some(until);
                let others = subtract(&total, &state.loads.own);
                drop(state);
                self.feed_loads(None, &others, until);
            }
            BackendReport::Slowdowns(total) => {
                let others = subtract(&total, &state.slowdowns.own);
                drop(state);
                self.feed_slowdowns(&others);
            }
        }
    }

    fn apply_host(&self, now: Instant, host: HostId, report: BackendReport) {
        let mut state = self.state();
        let targets = &state.targets;
        let direct = !targets.aggregated;
        let is_local = targets.local_hosts.binary_search(&host).is_ok();
        let aggregates = targets.aggregator_rank.is_some() && is_local;
        let period = direct_period(targets.all.len());
        match report {
            BackendReport::Loads(loads) if !direct && aggregates => {
                let until = Deadline::after(now, multiply(SUMS_PERIOD, TTL_PERIODS));
                state.loads.sums.set_host(host, loads, until);
            }
            BackendReport::Loads(loads) => {
                drop(state);
                let until = Deadline::after(now, multiply(period, TTL_PERIODS));
                self.feed_loads(Some(host), &loads, until);
            }
            BackendReport::Slowdowns(slowdowns) if direct || aggregates => {
                let until = Deadline::after(now, multiply(SLOW_PERIOD, TTL_PERIODS));
                state.slowdowns.sums.set_host(host, slowdowns, until);
            }
            BackendReport::Slowdowns(_) => {}
        }
    }

    fn apply_demand(&self, host: HostId, demand: &[ModelDemand], adapters: &[u32]) {
        let names = self.fleet.name_hashes();
        let decode =
            |d: &ModelDemand| Some((names.model(d.model)?.clone(), f64::from(d.work_ms) / 1e3));
        let demand: Vec<_> = demand.iter().filter_map(decode).collect();
        if !demand.is_empty() {
            self.control.set_demand(host, demand);
        }
        let used = adapters.iter().filter_map(|a| names.adapter(*a));
        let used: Vec<_> = used.cloned().collect();
        if !used.is_empty() {
            self.control.record_adapter_use(used);
        }
    }
}

fn decode_load(names: &NameHashes, load: &Load) -> Option<(BackendId, SentLoad)> {
    let sent = SentLoad {
        requests: load.requests,
        prefill_seconds: f32::from(load.prefill_ms) / 1e3,
        unreachable_reports: load.unreachable_reports.into(),
        lost_reports: load.lost_reports.into(),
        response_reports: load.response_reports.into(),
    };
    Some((names.backend(load.backend)?.clone(), sent))
}

fn own_loads(fleet: &FleetState) -> Vec<Load> {
    let now = fleet.proxy().now();
    let dispatcher = fleet.proxy().dispatcher();
    let sent = dispatcher.with_router(|router| router.sent_loads(now));
    let encode = |(id, load): (BackendId, SentLoad)| Load {
        backend: name_hash(id.as_str()),
        requests: load.requests,
        prefill_ms: millis(f64::from(load.prefill_seconds)),
        unreachable_reports: saturate(load.unreachable_reports),
        lost_reports: saturate(load.lost_reports),
        response_reports: saturate(load.response_reports),
    };
    sent.into_iter().map(encode).collect()
}

fn own_slowdowns(fleet: &FleetState) -> Vec<Slowdown> {
    let now = fleet.proxy().now();
    let dispatcher = fleet.proxy().dispatcher();
    let observed = dispatcher.with_router(|router| router.observed_slowdowns(now));
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a float-to-integer cast saturates, which suits a datagram"
    )]
    let encode = |(id, observed): (BackendId, ObservedSlowdown)| Slowdown {
        backend: name_hash(id.as_str()),
        log_sum: (observed.log_sum * LOG_UNITS) as i16,
        samples: (observed.samples * SAMPLE_UNITS) as u16,
    };
    observed.into_iter().map(encode).collect()
}

fn decode_slowdown(
    names: &NameHashes,
    slowdown: Slowdown,
) -> Option<(BackendId, ObservedSlowdown)> {
    let observed = ObservedSlowdown {
        log_sum: f32::from(slowdown.log_sum) / LOG_UNITS,
        samples: f32::from(slowdown.samples) / SAMPLE_UNITS,
    };
    Some((names.backend(slowdown.backend)?.clone(), observed))
}

fn saturate(hosts: u16) -> u8 {
    u8::try_from(hosts).unwrap_or(u8::MAX)
}

/// Converts seconds to whole milliseconds, saturating.
fn millis(seconds: f64) -> u16 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a float-to-integer cast saturates, which suits a datagram"
    )]
    let millis = (seconds * 1e3) as u16;
    millis
}
