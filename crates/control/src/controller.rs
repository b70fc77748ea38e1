//! Event loop of the controller of a data centre.

use std::time::Duration;

use config::ActiveConfig;
use lease::{Checks, Lease, Params};
use metrics::counter;
use orders::{Sender, SlotEvent};
use rand::{SeedableRng, rngs::StdRng};
use store::{Platform, Revision};
use tokio::{
    sync::{mpsc, watch},
    task::{JoinError, JoinSet},
    time::{MissedTickBehavior, interval},
};
use tokio_util::sync::CancellationToken;
use tracing::{error, info};
use types::{
    AttemptId, BackendId, Clock, Epoch, HostId, Instant, Micros, OrderId, OrderOp, rendezvous_rank,
};

use crate::{
    calls::{CallResult, Calls},
    epochs::EpochTracker,
    event::{BackendClient, Event, ModelDemand, Peers, Settings, Status},
    term::Term,
};

const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// Interval between load reports of a backend server with open orders.
const BUSY_REPORT_INTERVAL: Micros = Micros::from_secs(1);

/// Minimum interval between load reports of any other backend server.
///
/// The controller also receives the reports that this process fetches for the router.
const MIN_IDLE_REPORT_INTERVAL: Micros = Micros::from_secs(20);

/// Average time between load reports over all idle backend servers together.
///
/// Bounds the traffic in a large data centre: a report with 36 residents takes 2.7 KB.
const IDLE_REPORT_SPACING: Micros = Micros::from_millis(2_500);

const EVENT_QUEUE_CAPACITY: usize = 256;

/// Number of hosts per data centre that poll the lease often; the others are standbys.
const ACTIVE_CANDIDATES: usize = 2;

/// Time for which a stopping process still finishes its calls and answers peers that ask whether
/// its epoch is retired.
const SHUTDOWN_TIMEOUT: Micros = Micros::from_secs(10);

/// Placement controller of a data centre, as run by each of its entry hosts.
#[derive(Debug)]
pub struct Controller<P, C, B, N> {
    pub(crate) calls: Calls<P, C, B, N>,
    pub(crate) settings: Settings,
    pub(crate) rng: StdRng,
    pub(crate) lease: Lease<Revision>,
    pub(crate) term: Option<Term>,
    epochs: EpochTracker,
    events: mpsc::Receiver<Event>,
    pub(crate) status: watch::Sender<Status>,
    pub(crate) config: Option<ActiveConfig>,
    pub(crate) live_backends: Vec<BackendId>,
    pub(crate) demand: Vec<ModelDemand>,
    pub(crate) next_round: Instant,
    /// Minimum placement of the data centre under the configuration in force.
    pub(crate) floor: Vec<place::Placement>,
    /// Time of the last request for each adapter, sorted by name.
    pub(crate) adapter_uses: Vec<(String, Instant)>,
    /// Orders passed to the ledgers that are neither closed nor declined.
    pub(crate) issued_orders: Vec<IssuedOrder>,
    /// Instant at which a stopping process ends at the latest.
    stop_deadline: Option<Instant>,
    /// Epoch of the last term if it ended with open orders; the process stops earlier than its
    /// deadline only once a peer has learned that this epoch is retired.
    epoch_to_retire: Option<Epoch>,
}

/// Order that this process passed to a ledger.
#[derive(Debug)]
pub(crate) struct IssuedOrder {
    pub(crate) id: OrderId,
    pub(crate) op: OrderOp,
    pub(crate) backend: BackendId,
    pub(crate) name: String,
}

/// Handle of a running controller.
#[derive(Clone, Debug)]
pub struct Handle {
    /// Sends events to the controller.
    pub events: mpsc::Sender<Event>,
    /// Watches the status of the controller.
    pub status: watch::Receiver<Status>,
    epochs: EpochTracker,
}

impl Handle {
    /// Retires an epoch if no order of it can leave this process any more.
    ///
    /// Returns whether the epoch is retired, which answers [`Peers::has_retired_epoch`] of a peer.
    /// Once it is, no term with this or a lower epoch begins in this process.
    #[must_use]
    pub fn try_retire_epoch(&self, epoch: Epoch) -> bool {
        self.epochs.try_retire(epoch)
    }
}

impl<P: Platform, C: Clock, B: BackendClient, N: Peers> Controller<P, C, B, N> {
    /// Creates a controller and its handle.
    #[must_use]
    pub fn new(platform: P, clock: C, backends: B, peers: N, settings: Settings) -> (Self, Handle) {
        let (tx, events) = mpsc::channel(EVENT_QUEUE_CAPACITY);
        let (status, watcher) = watch::channel(Status::default());
        let epochs = EpochTracker::default();
        let handle = Handle {
            events: tx,
            status: watcher,
            epochs: epochs.clone(),
        };
        let mut rng = StdRng::seed_from_u64(settings.seed);
        let lease = new_candidate(&settings, &mut rng);
        let calls = Calls {
            platform,
            clock,
            backends,
            peers,
            tasks: JoinSet::new(),
        };
        let controller = Self {
            calls,
            settings,
            rng,
            lease,
            term: None,
            epochs,
            events,
            status,
            config: None,
            live_backends: Vec::new(),
            demand: Vec::new(),
            next_round: Instant::ZERO,
            floor: Vec::new(),
            adapter_uses: Vec::new(),
            issued_orders: Vec::new(),
            stop_deadline: None,
            epoch_to_retire: None,
        };
        (controller, handle)
    }

    /// Runs the controller until `stop` is cancelled and the shutdown has completed.
    pub async fn run(mut self, stop: CancellationToken) {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut open = true;
        while !self.is_stopped() {
            tokio::select! {
                () = stop.cancelled(), if self.stop_deadline.is_none() => self.begin_shutdown(),
                event = self.events.recv(), if open => match event {
                    Some(event) => self.handle_event(event),
                    None => open = false,
                },
                Some(result) = self.calls.tasks.join_next() => match result {
                    Ok(result) => self.handle_call_result(result),
                    Err(e) => self.restart_as_candidate(&e),
                },
                _ = ticks.tick() => self.tick(),
            }
            self.publish();
        }
    }

    /// Restarts as a new candidate after the task of a call failed.
    ///
    /// Such a task reports no result at all, so the state machines would wait for it forever.
    fn restart_as_candidate(&mut self, e: &JoinError) {
        let dc = &self.settings.dc;
        error!(%dc, error = %e, "controller call task failed; authority given up");
        self.epochs.end();
        self.term = None;
        self.issued_orders.clear();
        self.lease = new_candidate(&self.settings, &mut self.rng);
        if self.stop_deadline.is_some() {
            self.step_lease(lease::Event::Release);
        }
    }

    pub(crate) fn now(&self) -> Instant {
        self.calls.clock.now()
    }

    fn begin_shutdown(&mut self) {
        self.stop_deadline = Some(self.now() + SHUTDOWN_TIMEOUT);
        self.step_lease(lease::Event::Release);
    }

    fn is_stopped(&self) -> bool {
        let Some(stop_deadline) = self.stop_deadline else {
            return false;
        };
        let retired = self
            .epoch_to_retire
            .is_none_or(|epoch| self.epochs.is_retired(epoch));
        let done = self.lease.is_released() && !self.epochs.is_sending() && retired;
        done || self.now() >= stop_deadline
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Config(config) => {
                self.floor = (self.settings.planner.floor)(&config.deployment, &self.settings.dc);
                self.config = Some(config);
                self.apply_config();
            }
            Event::Report {
                backend,
                report,
                requested_at,
            } => self.step_backend(
                &backend,
                orders::Event::Report {
                    report,
                    asked: requested_at,
                },
            ),
            Event::Inventory { backends, hosts } => {
                self.poll_new_backends(&backends);
                self.live_backends = backends;
                self.lease
                    .set_poll_interval(lease_poll_interval(&self.settings, &hosts));
            }
            Event::Requested { name } => self.handle_request(name),
            Event::Demand(mut demand) => {
                demand.sort_by(|a, b| a.model.cmp(&b.model));
                self.demand = demand;
            }
        }
    }

    fn handle_call_result(&mut self, result: CallResult) {
        let epoch = self.term.as_ref().map(|t| t.epoch);
        match result {
            CallResult::Lease(event) => self.step_lease(event),
            CallResult::Ledger {
                epoch: e,
                backend,
                event,
            } if epoch == Some(e) => self.step_backend(&backend, event),
            CallResult::SenderCheck {
                epoch: e,
                sender,
                retired: true,
            } if epoch == Some(e) => self.mark_sender_retired(&sender),
            CallResult::LoadReport {
                backend,
                requested_at,
                report,
            } => self.handle_load_report(&backend, requested_at, report),
            CallResult::Slot { epoch: e, event } if epoch == Some(e) => self.step_slots(event),
            // Results of an earlier term are obsolete.
            CallResult::Ledger { .. }
            | CallResult::SenderCheck { .. }
            | CallResult::Slot { .. } => {}
        }
    }

    fn handle_load_report(
        &mut self,
        backend: &BackendId,
        requested_at: Instant,
        report: Option<types::LoadReport>,
    ) {
        if let Some(term) = &mut self.term
            && let Some(at) = term.position(backend)
        {
            term.workers[at].report_requested = false;
        }
        if let Some(report) = report {
            self.step_backend(
                backend,
                orders::Event::Report {
                    report,
                    asked: requested_at,
                },
            );
        }
    }

    fn mark_sender_retired(&mut self, sender: &Sender) {
        let count = self.term.as_ref().map_or(0, |t| t.workers.len());
        for at in 0..count {
            self.step_ledger(at, orders::Event::SenderStopped(sender.clone()));
        }
    }

    fn tick(&mut self) {
        self.step_lease(lease::Event::Tick);
        let count = self.term.as_ref().map_or(0, |t| t.workers.len());
        for at in 0..count {
            self.step_ledger(at, orders::Event::Tick);
        }
        self.step_slots(SlotEvent::Tick);
        self.request_load_reports();
        if self.now() >= self.next_round {
            self.run_round();
        }
    }

    /// Schedules an immediate load report of each backend server that has become live.
    fn poll_new_backends(&mut self, live: &[BackendId]) {
        let Some(term) = &mut self.term else { return };
        let known = &self.live_backends;
        let is_new =
            |id: &BackendId| live.binary_search(id).is_ok() && known.binary_search(id).is_err();
        for worker in term.workers.iter_mut().filter(|w| is_new(&w.id)) {
            worker.next_report = Instant::ZERO;
        }
    }

    fn request_load_reports(&mut self) {
        let now = self.now();
        let Some(term) = &mut self.term else { return };
        let paced = Micros::new(IDLE_REPORT_SPACING.get() * term.workers.len() as u64);
        let idle = MIN_IDLE_REPORT_INTERVAL.max(paced);
        for worker in &mut term.workers {
            let record = worker.ledger.record();
            let busy =
                !worker.ledger.has_report() || record.is_some_and(|r| r.pending().next().is_some());
            if busy {
                worker.next_report = worker.next_report.min(now + BUSY_REPORT_INTERVAL);
            }
            if worker.report_requested || now < worker.next_report || !worker.ledger.is_ready() {
                continue;
            }
            worker.next_report = now + if busy { BUSY_REPORT_INTERVAL } else { idle };
            worker.report_requested = true;
            self.calls.fetch_load_report(worker.id.clone());
        }
    }

    pub(crate) fn step_lease(&mut self, event: lease::Event<Revision>) {
        let now = self.now();
        let mut actions = Vec::new();
        self.lease.step(now, event, &mut actions);
        for action in actions {
            match action {
                lease::Action::Acquired(epoch) => self.begin_term(epoch),
                lease::Action::Lost(epoch) => self.end_term(epoch),
                call => self.calls.access_lease(self.settings.dc.to_string(), call),
            }
        }
    }

    fn begin_term(&mut self, epoch: Epoch) {
        if !self.epochs.begin(epoch) {
            return self.step_lease(lease::Event::EpochSeen(epoch.next()));
        }
        info!(dc = %self.settings.dc, %epoch, "lease acquired");
        counter!("celerytally_lease_terms_total").increment(1);
        let now = self.now();
        let attempt = AttemptId::random(&mut self.rng);
        self.term = Some(Term::new(&self.settings, epoch, attempt, now));
        self.epoch_to_retire = None;
        self.apply_config();
    }

    fn end_term(&mut self, epoch: Epoch) {
        info!(dc = %self.settings.dc, %epoch, "lease released or lost");
        self.epochs.end();
        if let Some(term) = self.term.take() {
            self.epoch_to_retire = (term.pending_orders() > 0).then_some(epoch);
            self.issued_orders.clear();
        }
    }

    /// Applies the configuration to the ledgers.
    fn apply_config(&mut self) {
        let (Some(term), Some(config)) = (&mut self.term, &self.config) else {
            return;
        };
        let slots = config.deployment.limits.weight_store_slots;
        let changed = term.apply_config(&config.deployment, &self.settings.dc);
        self.step_slots(SlotEvent::Limit(slots));
        for (at, limits) in changed {
            self.step_ledger(at, orders::Event::Limits(limits));
        }
        self.next_round = Instant::ZERO;
    }

    pub(crate) fn step_backend(&mut self, backend: &BackendId, event: orders::Event<Revision>) {
        if let Some(at) = self.term.as_ref().and_then(|t| t.position(backend)) {
            self.step_ledger(at, event);
        }
    }

    pub(crate) fn step_ledger(&mut self, at: usize, event: orders::Event<Revision>) {
        let now = self.now();
        let Some(term) = &mut self.term else { return };
        let Some(worker) = term.workers.get_mut(at) else {
            return;
        };
        let mut actions = Vec::new();
        worker.ledger.step(now, event, &mut actions);
        let (id, epoch) = (worker.id.clone(), term.epoch);
        for action in actions {
            self.perform(&id, epoch, action);
        }
    }

    fn perform(&mut self, backend: &BackendId, epoch: Epoch, action: orders::Action<Revision>) {
        use orders::{Action, Event};
        match action {
            Action::CheckSender(sender) if sender.host == self.settings.host => {
                if self.epochs.try_retire(sender.epoch) {
                    self.mark_sender_retired(&sender);
                }
            }
            Action::CheckSender(sender) => {
                let now = self.now();
                if self
                    .term
                    .as_mut()
                    .is_some_and(|t| t.should_check_sender(&sender, now))
                {
                    self.calls.check_sender(epoch, sender);
                }
            }
            Action::Superseded(newer) => self.step_lease(lease::Event::EpochSeen(newer)),
            Action::Ready => self.next_round = Instant::ZERO,
            Action::Closed(id) => self.handle_closed_order(id),
            Action::Declined(id) => {
                self.issued_orders.retain(|order| order.id != id);
                counter!("celerytally_orders_declined_total").increment(1);
            }
            // Checks authority as late as possible before the call.
            _ if self.lease.authority(self.now()) != Some(epoch) => {
                self.step_lease(lease::Event::Tick);
                if matches!(action, Action::Send(_) | Action::Read) {
                    return;
                }
                self.step_backend(backend, Event::Refused);
            }
            Action::Send(order) => {
                if let Some(in_flight) = self.epochs.begin_sending(epoch) {
                    counter!("celerytally_orders_sent_total").increment(1);
                    self.calls.send_order(backend.clone(), order, in_flight);
                }
            }
            call => self.calls.access_record(epoch, backend.clone(), call),
        }
    }
}

/// Creates a candidate for the lease with a random id of its own.
fn new_candidate(settings: &Settings, rng: &mut StdRng) -> Lease<Revision> {
    Lease::new(Params {
        host: settings.host.clone(),
        process: AttemptId::random(rng),
        duration: settings.lease_duration,
        poll_interval: lease_poll_interval(settings, &[]),
        predecessors_ended: false,
        checks: Checks::default(),
    })
}

/// Returns the interval between reads of the lease, which is short for the highest-ranked hosts.
fn lease_poll_interval(settings: &Settings, hosts: &[HostId]) -> Micros {
    let names: Vec<&str> = hosts.iter().map(HostId::as_str).collect();
    let ranked = rendezvous_rank(settings.dc.as_str(), &names);
    let position = ranked.iter().position(|h| *h == settings.host.as_str());
    let lease = settings.lease_duration.get();
    match position {
        Some(position) if position >= ACTIVE_CANDIDATES => Micros::new(lease * 2),
        _ => Micros::new(lease / 4),
    }
}
