//! The controller's loop: events in, calls out.

use std::time::Duration;

use config::InForce;
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
use types::{AttemptId, BackendId, Clock, Epoch, HostId, Instant, Micros, OrderId, OrderOp, rank};

use crate::{
    calls::{Calls, Done},
    event::{BackendClient, Event, ModelDemand, Peers, Settings, Status},
    term::Term,
    yields::Yields,
};

const TICK: Duration = Duration::from_millis(250);

/// Time between two load reports of a backend server with open orders.
const BUSY_POLL: Micros = Micros::from_secs(1);

/// Time between two load reports of any other backend server, at least.
///
/// The process also passes on the reports that it reads for the router.
const IDLE_POLL: Micros = Micros::from_secs(20);

/// Time between two load reports of idle backend servers; one of 36 residents has 2.7 KB.
const IDLE_PACE: Micros = Micros::from_millis(2_500);

/// Events that may wait for the controller.
const BACKLOG: usize = 256;

/// Hosts of a data centre that look at the lease often; the others are their reserve.
const CANDIDATES: usize = 2;

/// Time for which a stopping process answers yield questions and finishes its calls.
const LINGER: Micros = Micros::from_secs(10);

/// Placement controller of one data centre on one host.
#[derive(Debug)]
pub struct Controller<P, C, E, N> {
    pub(crate) calls: Calls<P, C, E, N>,
    pub(crate) settings: Settings,
    pub(crate) rng: StdRng,
    pub(crate) lease: Lease<Revision>,
    pub(crate) term: Option<Term>,
    yields: Yields,
    events: mpsc::Receiver<Event>,
    pub(crate) status: watch::Sender<Status>,
    pub(crate) config: Option<InForce>,
    pub(crate) live: Vec<BackendId>,
    pub(crate) demand: Vec<ModelDemand>,
    pub(crate) next_round: Instant,
    /// Floor of the data centre under the configuration in force.
    pub(crate) floor: Vec<place::Placement>,
    /// Adapters that were asked for and when, sorted by name.
    pub(crate) used: Vec<(String, Instant)>,
    /// Wanted orders that are neither closed nor declined.
    pub(crate) issued: Vec<Issued>,
    /// End of the time in which a stopping process still answers.
    stop_by: Option<Instant>,
    /// Epoch of the last term if it ended with open orders.
    owed: Option<Epoch>,
}

/// Order that this process wanted.
#[derive(Debug)]
pub(crate) struct Issued {
    pub(crate) id: OrderId,
    pub(crate) op: OrderOp,
    pub(crate) backend: BackendId,
    pub(crate) name: String,
}

/// Access to a running controller.
#[derive(Clone, Debug)]
pub struct Handle {
    /// Takes the input of the controller.
    pub events: mpsc::Sender<Event>,
    /// Shows the state of the controller.
    pub status: watch::Receiver<Status>,
    yields: Yields,
}

impl Handle {
    /// Tells whether no order of an epoch can leave this process any more.
    ///
    /// This is the answer to a peer's yield question. After a yes, no term with this or a lower
    /// epoch begins in this process.
    #[must_use]
    pub fn try_retire_epoch(&self, epoch: Epoch) -> bool {
        self.yields.gave_up(epoch)
    }
}

impl<P: Platform, C: Clock, E: BackendClient, N: Peers> Controller<P, C, E, N> {
    /// Makes a controller and the handle through which the process uses it.
    #[must_use]
    pub fn new(platform: P, clock: C, engines: E, peers: N, settings: Settings) -> (Self, Handle) {
        let (tx, events) = mpsc::channel(BACKLOG);
        let (status, watcher) = watch::channel(Status::default());
        let yields = Yields::default();
        let handle = Handle {
            events: tx,
            status: watcher,
            yields: yields.clone(),
        };
        let mut rng = StdRng::seed_from_u64(settings.seed);
        let lease = candidate(&settings, &mut rng);
        let calls = Calls {
            platform,
            clock,
            engines,
            peers,
            tasks: JoinSet::new(),
        };
        let controller = Self {
            calls,
            settings,
            rng,
            lease,
            term: None,
            yields,
            events,
            status,
            config: None,
            live: Vec::new(),
            demand: Vec::new(),
            next_round: Instant::ZERO,
            floor: Vec::new(),
            used: Vec::new(),
            issued: Vec::new(),
            stop_by: None,
            owed: None,
        };
        (controller, handle)
    }

    /// Runs until `stop` is cancelled and the lease is handed over.
    pub async fn run(mut self, stop: CancellationToken) {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut open = true;
        while !self.is_stopped() {
            tokio::select! {
                () = stop.cancelled(), if self.stop_by.is_none() => self.stop(),
                ev = self.events.recv(), if open => match ev {
                    Some(ev) => self.input(ev),
                    None => open = false,
                },
                Some(done) = self.calls.tasks.join_next() => match done {
                    Ok(done) => self.done(done),
                    Err(e) => self.reset(&e),
                },
                _ = ticks.tick() => self.tick(),
            }
            self.publish();
        }
    }

    /// Starts over as a new candidate after a call whose outcome is not even known to be open.
    fn reset(&mut self, e: &JoinError) {
        error!(dc = %self.settings.dc, error = %e, "call of the controller failed; authority dropped");
        self.yields.end();
        self.term = None;
        self.issued.clear();
        self.lease = candidate(&self.settings, &mut self.rng);
        if self.stop_by.is_some() {
            self.step_lease(lease::Event::Release);
        }
    }

    pub(crate) fn now(&self) -> Instant {
        self.calls.clock.now()
    }

    fn stop(&mut self) {
        self.stop_by = Some(self.now() + LINGER);
        self.step_lease(lease::Event::Release);
    }

    fn is_stopped(&self) -> bool {
        let Some(stop_by) = self.stop_by else {
            return false;
        };
        let told = self.owed.is_none_or(|epoch| self.yields.was_told(epoch));
        let done = self.lease.is_released() && !self.yields.is_sending() && told;
        done || self.now() >= stop_by
    }

    fn input(&mut self, ev: Event) {
        match ev {
            Event::Config(config) => {
                self.floor = (self.settings.planner.floor)(&config.deployment, &self.settings.dc);
                self.config = Some(config);
                self.configure();
            }
            Event::Report {
                backend,
                report,
                requested_at: asked,
            } => self.step_worker(&backend, orders::Event::Report { report, asked }),
            Event::Inventory { backends, hosts } => {
                self.look_at_new(&backends);
                self.live = backends;
                self.lease.set_poll_interval(poll(&self.settings, &hosts));
            }
            Event::Requested { name } => self.wanted(name),
            Event::Demand(mut demand) => {
                demand.sort_by(|a, b| a.model.cmp(&b.model));
                self.demand = demand;
            }
        }
    }

    fn done(&mut self, done: Done) {
        let epoch = self.term.as_ref().map(|t| t.epoch);
        match done {
            Done::Lease(ev) => self.step_lease(ev),
            Done::Ledger {
                epoch: e,
                backend,
                ev,
            } if epoch == Some(e) => self.step_worker(&backend, ev),
            Done::Proof {
                epoch: e,
                sender,
                gone: true,
            } if epoch == Some(e) => self.gone(&sender),
            Done::Load {
                backend,
                asked,
                report,
            } => self.loaded(&backend, asked, report),
            Done::Slot { epoch: e, ev } if epoch == Some(e) => self.step_slots(ev),
            // Results of an earlier term mean nothing to this one.
            Done::Ledger { .. } | Done::Proof { .. } | Done::Slot { .. } => {}
        }
    }

    fn loaded(&mut self, backend: &BackendId, asked: Instant, report: Option<types::LoadReport>) {
        if let Some(term) = &mut self.term
            && let Some(at) = term.find(backend)
        {
            term.workers[at].asking = false;
        }
        if let Some(report) = report {
            self.step_worker(backend, orders::Event::Report { report, asked });
        }
    }

    fn gone(&mut self, sender: &Sender) {
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
        self.poll_loads();
        if self.now() >= self.next_round {
            self.round();
        }
    }

    /// Asks for the reports of backend servers that were not live before.
    fn look_at_new(&mut self, live: &[BackendId]) {
        let Some(term) = &mut self.term else { return };
        let was = &self.live;
        let new = |id: &BackendId| live.binary_search(id).is_ok() && was.binary_search(id).is_err();
        for worker in term.workers.iter_mut().filter(|w| new(&w.id)) {
            worker.next_load = Instant::ZERO;
        }
    }

    fn poll_loads(&mut self) {
        let now = self.now();
        let Some(term) = &mut self.term else { return };
        let paced = Micros::new(IDLE_PACE.get() * term.workers.len() as u64);
        let idle = IDLE_POLL.max(paced);
        for worker in &mut term.workers {
            let record = worker.ledger.record();
            let busy =
                !worker.ledger.has_report() || record.is_some_and(|r| r.pending().next().is_some());
            if busy {
                worker.next_load = worker.next_load.min(now + BUSY_POLL);
            }
            if worker.asking || now < worker.next_load || !worker.ledger.is_ready() {
                continue;
            }
            worker.next_load = now + if busy { BUSY_POLL } else { idle };
            worker.asking = true;
            self.calls.load(worker.id.clone());
        }
    }

    pub(crate) fn step_lease(&mut self, ev: lease::Event<Revision>) {
        let now = self.now();
        let mut out = Vec::new();
        self.lease.step(now, ev, &mut out);
        for action in out {
            match action {
                lease::Action::Acquired(epoch) => self.begin(epoch),
                lease::Action::Lost(epoch) => self.end(epoch),
                call => self.calls.lease(self.settings.dc.to_string(), call),
            }
        }
    }

    fn begin(&mut self, epoch: Epoch) {
        if !self.yields.begin(epoch) {
            return self.step_lease(lease::Event::EpochSeen(epoch.next()));
        }
        info!(dc = %self.settings.dc, %epoch, "lease taken");
        counter!("celerytally_lease_terms_total").increment(1);
        let now = self.now();
        let attempt = AttemptId::random(&mut self.rng);
        self.term = Some(Term::new(&self.settings, epoch, attempt, now));
        self.owed = None;
        self.configure();
    }

    fn end(&mut self, epoch: Epoch) {
        info!(dc = %self.settings.dc, %epoch, "lease given up or lost");
        self.yields.end();
        if let Some(term) = self.term.take() {
            self.owed = (term.pending() > 0).then_some(epoch);
            self.issued.clear();
        }
    }

    /// Brings the ledgers in line with the configuration.
    fn configure(&mut self) {
        let (Some(term), Some(config)) = (&mut self.term, &self.config) else {
            return;
        };
        let slots = config.deployment.limits.weight_store_slots;
        let changed = term.configure(&config.deployment, &self.settings.dc);
        self.step_slots(SlotEvent::Limit(slots));
        for (at, limits) in changed {
            self.step_ledger(at, orders::Event::Limits(limits));
        }
        self.next_round = Instant::ZERO;
    }

    pub(crate) fn step_worker(&mut self, backend: &BackendId, ev: orders::Event<Revision>) {
        if let Some(at) = self.term.as_ref().and_then(|t| t.find(backend)) {
            self.step_ledger(at, ev);
        }
    }

    pub(crate) fn step_ledger(&mut self, at: usize, ev: orders::Event<Revision>) {
        let now = self.now();
        let Some(term) = &mut self.term else { return };
        let Some(worker) = term.workers.get_mut(at) else {
            return;
        };
        let mut out = Vec::new();
        worker.ledger.step(now, ev, &mut out);
        let (id, epoch) = (worker.id.clone(), term.epoch);
        for action in out {
            self.perform(&id, epoch, action);
        }
    }

    fn perform(&mut self, backend: &BackendId, epoch: Epoch, action: orders::Action<Revision>) {
        use orders::{Action, Event};
        match action {
            Action::CheckSender(sender) if sender.host == self.settings.host => {
                if self.yields.gave_up(sender.epoch) {
                    self.gone(&sender);
                }
            }
            Action::CheckSender(sender) => {
                let now = self.now();
                if self.term.as_mut().is_some_and(|t| t.may_ask(&sender, now)) {
                    self.calls.prove(epoch, sender);
                }
            }
            Action::Superseded(newer) => self.step_lease(lease::Event::EpochSeen(newer)),
            Action::Ready => self.next_round = Instant::ZERO,
            Action::Closed(id) => self.closed(id),
            Action::Declined(id) => {
                self.issued.retain(|issued| issued.id != id);
                counter!("celerytally_orders_declined_total").increment(1);
            }
            // Authority is checked last, so that as little time as possible passes before the call.
            _ if self.lease.authority(self.now()) != Some(epoch) => {
                self.step_lease(lease::Event::Tick);
                if matches!(action, Action::Send(_) | Action::Read) {
                    return;
                }
                self.step_worker(backend, Event::Refused);
            }
            Action::Send(order) => {
                if let Some(sending) = self.yields.sending(epoch) {
                    counter!("celerytally_orders_sent_total").increment(1);
                    self.calls.post(backend.clone(), order, sending);
                }
            }
            call => self.calls.ledger(epoch, backend.clone(), call),
        }
    }
}

/// Makes a candidate with an id that no other process has.
fn candidate(settings: &Settings, rng: &mut StdRng) -> Lease<Revision> {
    Lease::new(Params {
        host: settings.host.clone(),
        process: AttemptId::random(rng),
        duration: settings.lease_duration,
        poll_interval: poll(settings, &[]),
        checks: Checks::default(),
    })
}

/// Returns the time between two looks at the lease: short for the first hosts by rank.
fn poll(settings: &Settings, hosts: &[HostId]) -> Micros {
    let names: Vec<&str> = hosts.iter().map(HostId::as_str).collect();
    let ranked = rank(settings.dc.as_str(), &names);
    let place = ranked.iter().position(|h| *h == settings.host.as_str());
    let lease = settings.lease_duration.get();
    match place {
        Some(place) if place >= CANDIDATES => Micros::new(lease * 2),
        _ => Micros::new(lease / 4),
    }
}
