//! Event loop of the fleet controller.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

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
    AdapterId, Announcement, AttemptId, BackendId, BootTime, Clock, Deadline, Epoch, HostId,
    Incarnation, Instant, Micros, ModelId, NoticeSource, Registration, ServerNotice, WorkerState,
};

use crate::{
    calls::lease_call,
    fleet::{
        candidates::lease_poll_interval,
        machine::{
            Fleet, FleetAction, FleetEvent, PlacementRequest, PlacementRequestId, WorkerOrder,
        },
    },
};

const TICK_INTERVAL: Duration = Duration::from_millis(100);

const INPUT_QUEUE_CAPACITY: usize = 512;

/// Time for which further reports of a crash are dropped.
const CRASH_REPORT_TTL: Micros = Micros::from_secs(1);

/// Timeout of order and report calls, which a worker answers immediately.
const WORKER_TIMEOUT: Duration = Duration::from_millis(400);

/// Time added to the takeover delay for the transit of the last order of the former holder.
const TAKEOVER_MARGIN: Micros = Micros::from_millis(500);

/// Time for which a stopping process tries to hand over its lease.
const HANDOVER_TIMEOUT: Micros = Micros::from_secs(2);

const LEASE_NAME: &str = "placement";

/// Result of a call to a worker, and what the response announces.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WorkerAnswer<T> {
    /// Result of the call.
    pub result: T,
    /// Announcements of the response; empty without a response.
    pub notice: ServerNotice,
}

/// Client for the control API of workers.
pub trait WorkerClient: Clone + Send + Sync + 'static {
    /// Sends an order and returns the outcome.
    fn send_order(
        &self,
        worker: &Server,
        order: &WorkerOrder,
    ) -> impl Future<Output = WorkerAnswer<SequencedOutcome>> + Send;

    /// Fetches the state of a worker; the result is `None` if it does not answer.
    fn fetch_report(
        &self,
        worker: &Server,
    ) -> impl Future<Output = WorkerAnswer<Option<WorkerState>>> + Send;
}

/// Settings of a fleet controller.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// Host that the controller runs on.
    pub host: HostId,
    /// Time for which a lease renewal grants authority.
    pub lease_duration: Micros,
    /// Minimum time between the last order of a holder and the first one of another host.
    pub takeover_delay: Micros,
    /// Window of the rate limit on loads from the weight store.
    pub load_window: Micros,
    /// Random id of this process as a candidate.
    pub attempt: AttemptId,
}

#[derive(Debug)]
enum Input {
    Event(FleetEvent),
    Place(PlacementRequest, oneshot::Sender<Vec<BackendId>>),
    Members(Vec<HostId>),
    HolderSilent(bool),
}

/// Handle of a running fleet controller.
#[derive(Clone, Debug)]
pub struct FleetHandle {
    input: mpsc::Sender<Input>,
    holder: watch::Receiver<Option<HostId>>,
    epoch: watch::Receiver<Option<Epoch>>,
    /// Crashes that were passed on to the controller a short time ago.
    crash_reports: Arc<Mutex<Vec<CrashReported>>>,
}

/// Crash of a worker that was passed on to the controller.
#[derive(Debug)]
struct CrashReported {
    worker: BackendId,
    incarnation: Incarnation,
    /// Time until which further reports of it are dropped.
    until: Deadline,
}

impl FleetHandle {
    fn enqueue(&self, input: Input) {
        // A controller that falls behind misses this input and gets later ones; drops are counted.
        if self.input.try_send(input).is_err() {
            counter!("celerytally_controller_input_dropped_total").increment(1);
        }
    }

    /// Sets the services of the configuration in force.
    pub fn set_services(&self, services: Vec<RoutedService>) {
        self.enqueue(Input::Event(FleetEvent::Services(services)));
    }

    /// Replaces the registered backend servers.
    pub fn set_registrations(&self, registrations: Vec<Registration>) {
        self.enqueue(Input::Event(FleetEvent::Registrations(registrations)));
    }

    /// Sets the demand of the callers of a host, in seconds of worker time per second.
    pub fn set_demand(&self, host: HostId, demand: Vec<(ModelId, f64)>) {
        self.enqueue(Input::Event(FleetEvent::Demand(host, demand)));
    }

    /// Records adapters that callers of a host used recently.
    pub fn record_adapter_use(&self, adapters: Vec<AdapterId>) {
        self.enqueue(Input::Event(FleetEvent::AdaptersUsed(adapters)));
    }

    /// Sets the live hosts, ordered by their preference as holder of the lease.
    pub fn set_members(&self, hosts: Vec<HostId>) {
        self.enqueue(Input::Members(hosts));
    }

    /// Sets whether other hosts have heard nothing of the holder of the lease for a while.
    pub fn set_holder_silent(&self, is_silent: bool) {
        self.enqueue(Input::HolderSilent(is_silent));
    }

    /// Places a model or adapter and returns the workers that hold it.
    ///
    /// Returns no workers if this host does not hold the lease or the placement does not succeed in
    /// time.
    pub async fn place(&self, model: ModelId, adapter: Option<AdapterId>) -> Vec<BackendId> {
        self.request(PlacementRequest {
            model,
            adapter,
            worker: None,
        })
        .await
    }

    /// Places an adapter on an additional worker; returns that worker on success.
    pub async fn place_on_worker(
        &self,
        model: ModelId,
        adapter: AdapterId,
        worker: BackendId,
    ) -> Vec<BackendId> {
        self.request(PlacementRequest {
            model,
            adapter: Some(adapter),
            worker: Some(worker),
        })
        .await
    }

    async fn request(&self, request: PlacementRequest) -> Vec<BackendId> {
        let (tx, rx) = oneshot::channel();
        self.enqueue(Input::Place(request, tx));
        rx.await.unwrap_or_default()
    }

    /// Returns the last known holder of the lease.
    #[must_use]
    pub fn holder(&self) -> Option<HostId> {
        self.holder.borrow().clone()
    }

    /// Records what a worker announced in a response to another task of this host, or told a peer.
    pub fn record_announcement(&self, announcement: Announcement) {
        self.enqueue(Input::Event(FleetEvent::Announced {
            worker: announcement.backend,
            incarnation: announcement.incarnation,
            notice: announcement.notice,
        }));
    }

    /// Returns whether this host may send orders.
    #[must_use]
    pub fn has_authority(&self) -> bool {
        self.epoch.borrow().is_some()
    }

    /// Records that callers' requests show that a worker may have crashed.
    ///
    /// Each host reports a crash, and repeats its report. Only the first one is passed on, as the queue of the
    /// controller has no room for all of them beside what hosts want to be placed.
    pub fn record_crash(&self, worker: BackendId, incarnation: Incarnation) {
        if !self.is_first_report(&worker, incarnation) {
            return;
        }
        self.enqueue(Input::Event(FleetEvent::Crashed {
            worker,
            incarnation,
        }));
    }

    fn is_first_report(&self, worker: &BackendId, incarnation: Incarnation) -> bool {
        let now = BootTime.now();
        let reports = &self.crash_reports;
        let mut reports = reports.lock().unwrap_or_else(PoisonError::into_inner);
        reports.retain(|r| !r.until.is_past(now));
        if reports
            .iter()
            .any(|r| r.worker == *worker && r.incarnation == incarnation)
        {
            return false;
        }
        reports.push(CrashReported {
            worker: worker.clone(),
            incarnation,
            until: Deadline::after(now, CRASH_REPORT_TTL),
        });
        true
    }

    /// Watches the epoch of the lease, which is `None` while this host has no authority.
    #[must_use]
    pub fn watch_epoch(&self) -> watch::Receiver<Option<Epoch>> {
        self.epoch.clone()
    }
}

#[derive(Debug)]
enum CallResult {
    Lease(lease::Event<Revision>),
    Order {
        worker: BackendId,
        expect: u64,
        outcome: SequencedOutcome,
        announced: Option<Announcement>,
    },
    Report {
        worker: BackendId,
        state: Option<WorkerState>,
        announced: Option<Announcement>,
    },
}

/// Returns the announcement of a response to a call, if it announces anything.
fn announcement(
    worker: &BackendId,
    incarnation: Option<Incarnation>,
    notice: ServerNotice,
) -> Option<Announcement> {
    (!notice.is_empty()).then(|| Announcement {
        backend: worker.clone(),
        incarnation,
        notice,
        source: NoticeSource::Call,
    })
}

/// Bits of an epoch below the era of the store, which leave room for more terms than an era can have.
///
/// After a restore from an older copy, epochs would otherwise be given out twice. The highest epochs stay exact in
/// JSON numbers for two million restores.
const EPOCH_BITS_IN_ERA: u32 = 32;

/// Returns the lowest epoch of an era of the store.
fn first_epoch(era: u64) -> Epoch {
    Epoch::new(era.checked_shl(EPOCH_BITS_IN_ERA).unwrap_or(u64::MAX))
}

/// Controller of the placement on all workers of an installation.
#[derive(Debug)]
pub struct FleetController<P, W> {
    platform: P,
    workers: W,
    calls: JoinSet<CallResult>,
    settings: FleetSettings,
    lease: Lease<Revision>,
    fleet: Fleet,
    input: mpsc::Receiver<Input>,
    pending_requests: Vec<(PlacementRequestId, oneshot::Sender<Vec<BackendId>>)>,
    next_request: PlacementRequestId,
    /// Live hosts by their preference as holder of the lease.
    members: Vec<HostId>,
    holder: watch::Sender<Option<HostId>>,
    epoch: watch::Sender<Option<Epoch>>,
    /// Receives what workers announce in the responses to calls.
    announcements: mpsc::Sender<Announcement>,
    /// Whether the outcome of a lease write is unknown, so that the next read must be current.
    write_unconfirmed: bool,
    /// Whether the holder may have ended. Reads are current then, as others may lag by seconds, in which the
    /// holder seems to renew its lease.
    holder_silent: bool,
    /// Last known holder of the lease and its epoch.
    last_holder: Option<(HostId, Epoch)>,
    /// Era of the store at the last step of the lease, if there was one.
    store_era: Option<u64>,
}

impl<P: Platform, W: WorkerClient> FleetController<P, W> {
    /// Creates a controller and its handle. What workers announce in the responses to calls is sent
    /// to `announcements`.
    pub fn new(
        platform: P,
        workers: W,
        settings: FleetSettings,
        announcements: mpsc::Sender<Announcement>,
    ) -> (Self, FleetHandle) {
        let (tx, input) = mpsc::channel(INPUT_QUEUE_CAPACITY);
        let (holder, holder_rx) = watch::channel(None);
        let (epoch, epoch_rx) = watch::channel(None);
        let lease = Lease::new(Params {
            host: settings.host.clone(),
            process: settings.attempt,
            duration: settings.lease_duration,
            poll_interval: lease_poll_interval(&settings.host, None, &[]),
            // The process listens on the addresses of its host, so no earlier one is left.
            predecessors_ended: true,
            checks: Checks::default(),
        });
        let controller = Self {
            platform,
            workers,
            calls: JoinSet::new(),
            fleet: Fleet::new(settings.host.clone(), settings.load_window),
            lease,
            settings,
            input,
            pending_requests: Vec::new(),
            next_request: 0,
            members: Vec::new(),
            holder,
            epoch,
            announcements,
            write_unconfirmed: false,
            holder_silent: false,
            last_holder: None,
            store_era: None,
        };
        let handle = FleetHandle {
            input: tx,
            holder: holder_rx,
            epoch: epoch_rx,
            crash_reports: Arc::default(),
        };
        (controller, handle)
    }

    /// Runs the controller until `stop` is cancelled and the lease is handed over.
    pub async fn run(mut self, stop: CancellationToken) {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut stop_deadline: Option<Instant> = None;
        loop {
            tokio::select! {
                () = stop.cancelled(), if stop_deadline.is_none() => {
                    stop_deadline = Some(BootTime.now() + HANDOVER_TIMEOUT);
                    self.step_lease(lease::Event::Release);
                }
                Some(input) = self.input.recv() => self.handle_input(input),
                Some(call) = self.calls.join_next() => self.handle_call_result(call),
                _ = ticks.tick() => {
                    self.step_lease(lease::Event::Tick);
                }
            }
            self.drain_queues();
            self.poll_fleet();
            self.publish();
            if stop_deadline
                .is_some_and(|deadline| self.lease.is_released() || BootTime.now() >= deadline)
            {
                return;
            }
        }
    }

    /// Handles all queued inputs and results, so that a burst of them costs one poll of the fleet.
    fn drain_queues(&mut self) {
        while let Some(call) = self.calls.try_join_next() {
            self.handle_call_result(call);
        }
        for _ in 0..INPUT_QUEUE_CAPACITY {
            let Ok(input) = self.input.try_recv() else {
                return;
            };
            self.handle_input(input);
        }
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Event(event) => self.step(event),
            Input::Place(request, reply) => {
                let id = self.next_request;
                self.next_request += 1;
                if self.lease.authority(BootTime.now()).is_none() {
                    // The requester learns who the holder is and asks it instead.
                    drop(reply);
                    return;
                }
                self.pending_requests.push((id, reply));
                self.step(FleetEvent::PlacementRequested(id, request));
            }
            Input::Members(hosts) => {
                self.members = hosts;
                self.update_poll_interval();
            }
            Input::HolderSilent(is_silent) => self.holder_silent = is_silent,
        }
    }

    fn update_poll_interval(&mut self) {
        let holder = self.lease.holder().map(|(host, _)| host);
        let interval = lease_poll_interval(&self.settings.host, holder, &self.members);
        self.lease.set_poll_interval(interval);
    }

    fn handle_call_result(&mut self, call: Result<CallResult, tokio::task::JoinError>) {
        match call {
            Ok(CallResult::Lease(event)) => {
                self.step_lease(event);
                self.update_poll_interval();
            }
            Ok(CallResult::Report {
                worker,
                state,
                announced,
            }) => {
                self.apply_announcement(announced);
                self.step(FleetEvent::Report(worker, state));
            }
            Ok(CallResult::Order {
                worker,
                expect,
                outcome,
                announced,
            }) => {
                self.apply_announcement(announced);
                tracing::info!(decision = "order_answered", %worker, expect, ?outcome);
                self.step(FleetEvent::OrderResult {
                    worker,
                    expect,
                    outcome,
                });
            }
            Err(e) => tracing::error!(error = %e, "controller call task failed"),
        }
    }

    /// Applies what a worker announced in the response to a call, and passes it on.
    fn apply_announcement(&mut self, announced: Option<Announcement>) {
        let Some(announcement) = announced else {
            return;
        };
        self.step(FleetEvent::Announced {
            worker: announcement.backend.clone(),
            incarnation: announcement.incarnation,
            notice: announcement.notice,
        });
        if let Err(e) = self.announcements.try_send(announcement) {
            tracing::warn!(error = %e, "announcement not passed on");
        }
    }

    /// Tells the lease of a restore of the store before it uses a response that followed it.
    fn note_store_era(&mut self) {
        let Some(era) = self.platform.era() else {
            return;
        };
        let epoch = first_epoch(era);
        match self.store_era.replace(era) {
            Some(last) if last < era => self.apply_to_lease(lease::Event::StoreRestored(epoch)),
            Some(_) => {}
            None => self.apply_to_lease(lease::Event::EpochSeen(epoch)),
        }
    }

    fn step_lease(&mut self, event: lease::Event<Revision>) {
        self.note_store_era();
        self.apply_to_lease(event);
    }

    fn apply_to_lease(&mut self, event: lease::Event<Revision>) {
        let now = BootTime.now();
        if let Some((host, epoch)) = self.lease.holder() {
            self.last_holder = Some((host.clone(), epoch));
        }
        match &event {
            lease::Event::Refused | lease::Event::Unanswered => self.write_unconfirmed = true,
            lease::Event::Read(_) | lease::Event::Written(_) => self.write_unconfirmed = false,
            _ => {}
        }
        let mut actions = Vec::new();
        self.lease.step(now, event, &mut actions);
        for action in actions {
            match action {
                lease::Action::Acquired(epoch) => self.begin_term(now, epoch),
                lease::Action::Lost(epoch) => {
                    tracing::warn!(belief = "authority", %epoch, "lease released or lost");
                    self.step(FleetEvent::AuthorityLost);
                }
                call => {
                    let platform = self.platform.clone();
                    let stale = !self.write_unconfirmed && !self.holder_silent;
                    self.calls.spawn(async move {
                        CallResult::Lease(lease_call(&platform, LEASE_NAME, call, stale).await)
                    });
                }
            }
        }
    }

    fn begin_term(&mut self, now: Instant, epoch: Epoch) {
        // Orders of another host may be in transit for the whole takeover delay.
        let own_epoch =
            |(host, e): &(HostId, Epoch)| *host == self.settings.host && e.next() == epoch;
        let alone = epoch == Epoch::new(1) || self.last_holder.as_ref().is_some_and(own_epoch);
        let delay = Micros::new(self.settings.takeover_delay.get() + TAKEOVER_MARGIN.get());
        let from = if alone { now } else { now + delay };
        counter!("celerytally_lease_terms_total").increment(1);
        tracing::info!(belief = "authority", %epoch, alone, "lease acquired");
        self.step(FleetEvent::AuthorityGained(epoch, from));
    }

    fn step(&mut self, event: FleetEvent) {
        let mut actions = Vec::new();
        self.fleet.handle_event(BootTime.now(), event, &mut actions);
        self.perform_all(actions);
    }

    fn poll_fleet(&mut self) {
        let mut actions = Vec::new();
        self.fleet.poll(BootTime.now(), &mut actions);
        self.perform_all(actions);
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
                let incarnation = self.fleet.incarnation(&worker.id);
                self.calls.spawn(async move {
                    let answer = timeout(WORKER_TIMEOUT, workers.fetch_report(&worker)).await;
                    let answer = answer.unwrap_or_default();
                    CallResult::Report {
                        announced: announcement(&worker.id, incarnation, answer.notice),
                        worker: worker.id,
                        state: answer.result,
                    }
                });
            }
            FleetAction::Reply(id, backends, after) => self.reply(id, backends, after),
        }
    }

    fn send_order(&mut self, worker: Server, order: WorkerOrder) {
        let expect = order.expect;
        // Checks authority again right before the order is sent.
        if self.lease.authority(BootTime.now()) != Some(order.fence) {
            self.calls.spawn(async move {
                CallResult::Order {
                    worker: worker.id,
                    expect,
                    outcome: SequencedOutcome::Conflict,
                    announced: None,
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
        let incarnation = self.fleet.incarnation(&worker.id);
        self.calls.spawn(async move {
            let sent = timeout(WORKER_TIMEOUT, workers.send_order(&worker, &order)).await;
            let answer = sent.unwrap_or(WorkerAnswer {
                result: SequencedOutcome::Lost,
                notice: ServerNotice::default(),
            });
            CallResult::Order {
                announced: announcement(&worker.id, incarnation, answer.notice),
                worker: worker.id,
                expect,
                outcome: answer.result,
            }
        });
    }

    fn reply(&mut self, id: PlacementRequestId, backends: Vec<BackendId>, after: Micros) {
        let Some(at) = self
            .pending_requests
            .iter()
            .position(|(pending, _)| *pending == id)
        else {
            return;
        };
        let (_, reply) = self.pending_requests.swap_remove(at);
        tokio::spawn(async move {
            if after > Micros::ZERO {
                sleep(after.into()).await;
            }
            // The requester may no longer be waiting.
            drop(reply.send(backends));
        });
    }

    fn publish(&self) {
        let holder = self.lease.holder().map(|(host, _)| host.clone());
        self.holder.send_if_modified(|old| {
            let changed = *old != holder;
            old.clone_from(&holder);
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
