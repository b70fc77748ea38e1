//! The loop of the fleet's controller: events in, calls out.

use std::time::Duration;

use config::RoutedService;
use engine::Server;
use lease::{Checks, Lease, Params};
use metrics::counter;
use orders::SequencedOutcome;
use store::{Platform, Revision};
use tokio::{
    sync::{mpsc, oneshot, watch},
    task::JoinSet,
    time::{MissedTickBehavior, interval, sleep, timeout},
};
use tokio_util::sync::CancellationToken;
use types::{
    AdapterId, AttemptId, BackendId, BootTime, Clock, Epoch, HostId, Instant, Micros, ModelId,
    Registration, WorkerState,
};

use crate::{
    calls::lease_call,
    fleet::machine::{
        Fleet, FleetAction, FleetEvent, PlacementRequest, PlacementRequestId, WorkerOrder,
    },
};

const TICK: Duration = Duration::from_millis(100);

/// Events that may wait for the controller.
const BACKLOG: usize = 512;

/// Bounds an order and a report; a worker answers both at once.
const WORKER_TIMEOUT: Duration = Duration::from_millis(400);

/// Time beyond the gap between two holders, for the way of the last order.
const GAP_MARGIN: Micros = Micros::from_millis(500);

/// Time between two reads of the lease by the hosts that come first, and by the others.
const CANDIDATE_POLL: Micros = Micros::from_millis(700);
const RESERVE_POLL: Micros = Micros::from_secs(4);

/// Hosts that look at the lease often.
const CANDIDATES: usize = 2;

/// Time for which a stopping process tries to hand its lease over.
const HAND_OVER: Micros = Micros::from_secs(2);

/// Name of the lease object.
const LEASE: &str = "placement";

/// What the controller asks of workers.
pub trait WorkerClient: Clone + Send + Sync + 'static {
    /// Sends an order.
    fn send_order(
        &self,
        worker: &Server,
        order: &WorkerOrder,
    ) -> impl Future<Output = SequencedOutcome> + Send;

    /// Asks for a report.
    fn fetch_report(&self, worker: &Server) -> impl Future<Output = Option<WorkerState>> + Send;
}

/// What a controller is made with.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// Name of the host.
    pub host: HostId,
    /// Duration of the lease.
    pub lease_duration: Micros,
    /// Time that must pass between the orders of two holders.
    pub takeover_delay: Micros,
    /// Window in which loads from the weight store are counted.
    pub load_window: Micros,
    /// Random id of the process.
    pub attempt: AttemptId,
}

#[derive(Debug)]
enum Input {
    Fleet(FleetEvent),
    Want(PlacementRequest, oneshot::Sender<Vec<BackendId>>),
    Members(Vec<HostId>),
}

/// Access to a running controller.
#[derive(Clone, Debug)]
pub struct FleetHandle {
    input: mpsc::Sender<Input>,
    holder: watch::Receiver<Option<HostId>>,
    epoch: watch::Receiver<Option<Epoch>>,
}

impl FleetHandle {
    fn send(&self, input: Input) {
        // A controller that lags gets the next news; what it missed is counted.
        if self.input.try_send(input).is_err() {
            counter!("celerytally_controller_input_dropped_total").increment(1);
        }
    }

    /// Tells the services of the configuration in force.
    pub fn set_services(&self, services: Vec<RoutedService>) {
        self.send(Input::Fleet(FleetEvent::Services(services)));
    }

    /// Tells the registered backend servers.
    pub fn set_registrations(&self, registrations: Vec<Registration>) {
        self.send(Input::Fleet(FleetEvent::Registrations(registrations)));
    }

    /// Tells the demand of a host's callers.
    pub fn set_demand(&self, host: HostId, needs: Vec<(ModelId, f64)>) {
        self.send(Input::Fleet(FleetEvent::Demand(host, needs)));
    }

    /// Tells the adapters that a host's callers used lately.
    pub fn record_adapter_use(&self, adapters: Vec<AdapterId>) {
        self.send(Input::Fleet(FleetEvent::AdaptersUsed(adapters)));
    }

    /// Tells the live hosts, those that should hold the lease first.
    pub fn set_members(&self, hosts: Vec<HostId>) {
        self.send(Input::Members(hosts));
    }

    /// Places a model or adapter and returns the workers that hold it then.
    pub async fn place(&self, model: ModelId, adapter: Option<AdapterId>) -> Vec<BackendId> {
        let on = None;
        self.want(PlacementRequest {
            model,
            adapter,
            worker: on,
        })
        .await
    }

    /// Places an adapter on a worker as well and returns the worker if that worked.
    pub async fn place_on_worker(
        &self,
        model: ModelId,
        adapter: AdapterId,
        on: BackendId,
    ) -> Vec<BackendId> {
        let (adapter, on) = (Some(adapter), Some(on));
        self.want(PlacementRequest {
            model,
            adapter,
            worker: on,
        })
        .await
    }

    async fn want(&self, item: PlacementRequest) -> Vec<BackendId> {
        let (tx, rx) = oneshot::channel();
        self.send(Input::Want(item, tx));
        rx.await.unwrap_or_default()
    }

    /// Returns the holder of the lease as this host last read it.
    #[must_use]
    pub fn holder(&self) -> Option<HostId> {
        self.holder.borrow().clone()
    }

    /// Follows the epoch of the lease while this host holds it.
    #[must_use]
    pub fn watch_epoch(&self) -> watch::Receiver<Option<Epoch>> {
        self.epoch.clone()
    }
}

#[derive(Debug)]
enum Worked {
    Lease(lease::Event<Revision>),
    Order {
        worker: BackendId,
        expect: u64,
        outcome: SequencedOutcome,
    },
    Report(BackendId, Option<WorkerState>),
}

/// Controller of the placement over all workers.
#[derive(Debug)]
pub struct FleetController<P, W> {
    platform: P,
    workers: W,
    work: JoinSet<Worked>,
    settings: FleetSettings,
    lease: Lease<Revision>,
    fleet: Fleet,
    input: mpsc::Receiver<Input>,
    wants: Vec<(PlacementRequestId, oneshot::Sender<Vec<BackendId>>)>,
    next_want: PlacementRequestId,
    holder: watch::Sender<Option<HostId>>,
    epoch: watch::Sender<Option<Epoch>>,
    /// Whether a write of the lease is unsettled, so that only a current read tells its outcome.
    unsettled: bool,
    /// Last holder that was read, and its epoch.
    former: Option<(HostId, Epoch)>,
}

impl<P: Platform, W: WorkerClient> FleetController<P, W> {
    /// Makes a controller and the handle through which the process uses it.
    pub fn new(platform: P, workers: W, settings: FleetSettings) -> (Self, FleetHandle) {
        let (tx, input) = mpsc::channel(BACKLOG);
        let (holder, holder_rx) = watch::channel(None);
        let (epoch, epoch_rx) = watch::channel(None);
        let lease = Lease::new(Params {
            host: settings.host.clone(),
            process: settings.attempt,
            duration: settings.lease_duration,
            poll_interval: CANDIDATE_POLL,
            checks: Checks::default(),
        });
        let controller = Self {
            platform,
            workers,
            work: JoinSet::new(),
            fleet: Fleet::new(settings.host.clone(), settings.load_window),
            lease,
            settings,
            input,
            wants: Vec::new(),
            next_want: 0,
            holder,
            epoch,
            unsettled: false,
            former: None,
        };
        let handle = FleetHandle {
            input: tx,
            holder: holder_rx,
            epoch: epoch_rx,
        };
        (controller, handle)
    }

    /// Runs until `stop` is cancelled and the lease is handed over.
    pub async fn run(mut self, stop: CancellationToken) {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut stop_by: Option<Instant> = None;
        loop {
            tokio::select! {
                () = stop.cancelled(), if stop_by.is_none() => {
                    stop_by = Some(BootTime.now() + HAND_OVER);
                    self.step_lease(lease::Event::Release);
                }
                Some(input) = self.input.recv() => self.take(input),
                Some(call) = self.work.join_next() => self.ended(call),
                _ = ticks.tick() => {
                    self.step_lease(lease::Event::Tick);
                }
            }
            self.take_waiting();
            self.act();
            self.publish();
            if stop_by.is_some_and(|by| self.lease.is_released() || BootTime.now() >= by) {
                return;
            }
        }
    }

    /// Takes all that waits, so that a burst of events costs one look at the fleet.
    fn take_waiting(&mut self) {
        while let Some(call) = self.work.try_join_next() {
            self.ended(call);
        }
        for _ in 0..BACKLOG {
            let Ok(input) = self.input.try_recv() else {
                return;
            };
            self.take(input);
        }
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Fleet(ev) => self.step(ev),
            Input::Want(item, reply) => {
                let id = self.next_want;
                self.next_want += 1;
                if self.lease.authority(BootTime.now()).is_none() {
                    // The asker learns of the holder and asks it.
                    drop(reply);
                    return;
                }
                self.wants.push((id, reply));
                self.step(FleetEvent::PlacementRequested(id, item));
            }
            Input::Members(hosts) => {
                let rank = hosts.iter().position(|h| *h == self.settings.host);
                let first = rank.is_none_or(|rank| rank < CANDIDATES);
                self.lease
                    .set_poll_interval(if first { CANDIDATE_POLL } else { RESERVE_POLL });
            }
        }
    }

    fn ended(&mut self, call: Result<Worked, tokio::task::JoinError>) {
        match call {
            Ok(Worked::Lease(ev)) => self.step_lease(ev),
            Ok(Worked::Report(worker, state)) => self.step(FleetEvent::Report(worker, state)),
            Ok(Worked::Order {
                worker,
                expect,
                outcome,
            }) => {
                tracing::info!(decision = "order_answered", %worker, expect, ?outcome);
                self.step(FleetEvent::OrderResult {
                    worker,
                    expect,
                    outcome,
                });
            }
            Err(e) => tracing::error!(error = %e, "call of the controller failed"),
        }
    }

    fn step_lease(&mut self, ev: lease::Event<Revision>) {
        let now = BootTime.now();
        if let Some((host, epoch)) = self.lease.holder() {
            self.former = Some((host.clone(), epoch));
        }
        match &ev {
            lease::Event::Refused | lease::Event::Unanswered => self.unsettled = true,
            lease::Event::Read(_) | lease::Event::Written(_) => self.unsettled = false,
            _ => {}
        }
        let mut out = Vec::new();
        self.lease.step(now, ev, &mut out);
        for action in out {
            match action {
                lease::Action::Acquired(epoch) => self.begin(now, epoch),
                lease::Action::Lost(epoch) => {
                    tracing::warn!(belief = "authority", %epoch, "lease given up or lost");
                    self.step(FleetEvent::AuthorityLost);
                }
                call => {
                    let (platform, stale) = (self.platform.clone(), !self.unsettled);
                    self.work.spawn(async move {
                        Worked::Lease(lease_call(&platform, LEASE, call, stale).await)
                    });
                }
            }
        }
    }

    fn begin(&mut self, now: Instant, epoch: Epoch) {
        // Orders of another machine may still be on their way for the whole gap.
        let own = |(host, e): &(HostId, Epoch)| *host == self.settings.host && e.next() == epoch;
        let alone = epoch == Epoch::new(1) || self.former.as_ref().is_some_and(own);
        let gap = Micros::new(self.settings.takeover_delay.get() + GAP_MARGIN.get());
        let from = if alone { now } else { now + gap };
        counter!("celerytally_lease_terms_total").increment(1);
        tracing::info!(belief = "authority", %epoch, alone, "lease taken");
        self.step(FleetEvent::AuthorityGained(epoch, from));
    }

    fn step(&mut self, ev: FleetEvent) {
        let mut out = Vec::new();
        self.fleet.handle_event(BootTime.now(), ev, &mut out);
        self.perform_all(out);
    }

    fn act(&mut self) {
        let mut out = Vec::new();
        self.fleet.poll(BootTime.now(), &mut out);
        self.perform_all(out);
    }

    fn perform_all(&mut self, actions: Vec<FleetAction>) {
        for action in actions {
            self.perform(action);
        }
    }

    fn perform(&mut self, action: FleetAction) {
        match action {
            FleetAction::SendOrder(worker, order) => self.send_order(worker, order),
            FleetAction::FetchReport(worker) => {
                let workers = self.workers.clone();
                self.work.spawn(async move {
                    let report = timeout(WORKER_TIMEOUT, workers.fetch_report(&worker)).await;
                    Worked::Report(worker.id, report.ok().flatten())
                });
            }
            FleetAction::Reply(id, backends, after) => self.placed(id, backends, after),
        }
    }

    fn send_order(&mut self, worker: Server, order: WorkerOrder) {
        let expect = order.expect;
        // Authority is checked again right before each order leaves.
        if self.lease.authority(BootTime.now()) != Some(order.fence) {
            self.work.spawn(async move {
                Worked::Order {
                    worker: worker.id,
                    expect,
                    outcome: SequencedOutcome::Conflict,
                }
            });
            return;
        }
        let (op, model) = (order.task.op, &order.task.model);
        let adapter = order.task.adapter.as_ref().map_or("", AdapterId::as_str);
        tracing::info!(
            decision = "order", worker = %worker.id, ?op, %model, adapter, expect, epoch = %order.fence
        );
        counter!("celerytally_orders_total").increment(1);
        let workers = self.workers.clone();
        self.work.spawn(async move {
            let sent = timeout(WORKER_TIMEOUT, workers.send_order(&worker, &order)).await;
            Worked::Order {
                worker: worker.id,
                expect,
                outcome: sent.unwrap_or(SequencedOutcome::Lost),
            }
        });
    }

    fn placed(&mut self, id: PlacementRequestId, backends: Vec<BackendId>, after: Micros) {
        let Some(at) = self.wants.iter().position(|(want, _)| *want == id) else {
            return;
        };
        let (_, reply) = self.wants.swap_remove(at);
        tokio::spawn(async move {
            if after > Micros::ZERO {
                sleep(after.into()).await;
            }
            // The asker may have given up since.
            drop(reply.send(backends));
        });
    }

    fn publish(&self) {
        let held = self.lease.holder().map(|(host, _)| host.clone());
        self.holder.send_if_modified(|old| {
            let changed = *old != held;
            old.clone_from(&held);
            changed
        });
        let epoch = self.lease.authority(BootTime.now());
        self.epoch.send_if_modified(|old| {
            let changed = *old != epoch;
            *old = epoch;
            changed
        });
    }
}
