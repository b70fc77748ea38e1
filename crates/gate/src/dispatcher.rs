//! Asynchronous driver of the router state machine.

use std::{
    fmt,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock},
};

use config::ActiveConfig;
use engine::Server;
use route::{Action, CrashReport, Event, Failure, RoutingRequest, Suspect, Verdict, VerdictCause};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use types::{
    AdapterId, Announcement, BackendId, Clock, Code, DataCentreId, Instant, Micros, ModelId,
    Monotonic, RequestId, RetryReason,
};

use crate::{
    counters::Counters,
    model_requests::{ModelRequest, PendingModelRequests},
    peers::Peers,
};

/// Routing state machine: [`route::Router`], or a substitute in tests.
pub trait StateMachine: Send + 'static {
    /// Processes an event at the given time and appends the resulting actions.
    fn step(&mut self, now: Instant, ev: Event, out: &mut Vec<Action>);

    /// Returns the suspect that keeps a request from the backend servers, if any.
    fn blocked_suspect(&self, _request: &RoutingRequest) -> Option<(Suspect, Verdict)> {
        None
    }

    /// Returns the suspects of a request against which a response would remove crashes.
    fn awaited_suspects(&self, _request: &RoutingRequest) -> Vec<Suspect> {
        Vec::new()
    }

    /// Returns whether a backend server leaves, or left before its entry was removed.
    fn is_leaving(&self, _backend: &BackendId) -> bool {
        false
    }

    /// Returns whether the time that a backend server named for its termination may be over.
    fn may_be_terminated(&self, _now: Instant, _backend: &BackendId) -> bool {
        false
    }
}

impl StateMachine for route::Router {
    fn step(&mut self, now: Instant, ev: Event, out: &mut Vec<Action>) {
        Self::step(self, now, ev, out);
    }

    fn blocked_suspect(&self, request: &RoutingRequest) -> Option<(Suspect, Verdict)> {
        Self::blocked_suspect(self, request)
    }

    fn awaited_suspects(&self, request: &RoutingRequest) -> Vec<Suspect> {
        Self::awaited_suspects(self, request)
    }

    fn is_leaving(&self, backend: &BackendId) -> bool {
        Self::is_leaving(self, backend)
    }

    fn may_be_terminated(&self, now: Instant, backend: &BackendId) -> bool {
        Self::may_be_terminated(self, now, backend)
    }
}

/// Safety checks of the gate. Tests disable them one at a time to show that each is needed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Checks {
    /// Prevents a second dispatch of a non-idempotent request that may have run.
    pub single_dispatch: bool,
    /// Delays refusals until suspects have been shared with peers.
    pub share_suspects_first: bool,
    /// Claims requests that carry an idempotency key and must not be repeated.
    pub claims: bool,
}

impl Default for Checks {
    fn default() -> Self {
        Self {
            single_dispatch: true,
            share_suspects_first: true,
            claims: true,
        }
    }
}

/// Routing decision for a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Decision {
    Dispatch {
        backend: BackendId,
        retry: Option<RetryReason>,
        /// Estimated time to the first byte of the response.
        first_byte: Micros,
    },
    Forward(DataCentreId),
    Refuse {
        code: Code,
        retry_after: Option<Micros>,
    },
}

/// Driver of the router: feeds it events and performs the resulting actions.
pub struct Dispatcher<R, N>(Arc<Shared<R, N>>);

struct Shared<R, N> {
    clock: Monotonic,
    router: Mutex<R>,
    peers: N,
    counters: Arc<Counters>,
    checks: Checks,
    /// Queued and running requests, sorted by id.
    in_flight: Mutex<Vec<(RequestId, UnboundedSender<Decision>)>>,
    model_requests: PendingModelRequests,
    /// Addresses of backend servers, sorted by id.
    servers: RwLock<Vec<Server>>,
    active_config: RwLock<Option<Arc<ActiveConfig>>>,
}

impl<R, N> Clone for Dispatcher<R, N> {
    fn clone(&self) -> Self {
        Self(Arc::clone(&self.0))
    }
}

impl<R, N> fmt::Debug for Dispatcher<R, N> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Dispatcher").finish_non_exhaustive()
    }
}

impl<R: StateMachine, N: Peers> Dispatcher<R, N> {
    pub(crate) fn new(
        clock: Monotonic,
        router: R,
        peers: N,
        counters: Arc<Counters>,
        checks: Checks,
    ) -> Self {
        Self(Arc::new(Shared {
            clock,
            router: Mutex::new(router),
            peers,
            counters,
            checks,
            in_flight: Mutex::new(Vec::new()),
            model_requests: PendingModelRequests::default(),
            servers: RwLock::new(Vec::new()),
            active_config: RwLock::new(None),
        }))
    }

    /// Feeds an event to the router and performs the resulting actions.
    ///
    /// Suspects are shared before any later refusal or forward in the same list of actions is
    /// performed. Must be called within a tokio runtime because requests to peers run in spawned
    /// tasks.
    pub fn feed(&self, ev: Event) {
        if let Event::Config(config) = &ev {
            let mut current = self
                .0
                .active_config
                .write()
                .unwrap_or_else(PoisonError::into_inner);
            if current
                .as_ref()
                .is_none_or(|old| old.version < config.version)
            {
                *current = Some(Arc::clone(config));
            }
        }
        let mut out = Vec::new();
        lock(&self.0.router).step(self.0.clock.now(), ev, &mut out);
        self.perform(out);
    }

    /// Replaces the addresses of the backend servers.
    pub fn set_servers(&self, mut servers: Vec<Server>) {
        servers.sort_by(|a, b| a.id.cmp(&b.id));
        *self
            .0
            .servers
            .write()
            .unwrap_or_else(PoisonError::into_inner) = servers;
    }

    /// Returns the active configuration.
    #[must_use]
    pub fn active_config(&self) -> Option<Arc<ActiveConfig>> {
        let current = self
            .0
            .active_config
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        current.clone()
    }

    /// Returns the number of queued and running requests.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        lock(&self.0.in_flight).len()
    }

    /// Calls a function with the router, for reports and digests.
    pub fn with_router<T>(&self, f: impl FnOnce(&R) -> T) -> T {
        f(&lock(&self.0.router))
    }

    pub(crate) fn blocked_suspect(&self, request: &RoutingRequest) -> Option<(Suspect, Verdict)> {
        lock(&self.0.router).blocked_suspect(request)
    }

    pub(crate) fn awaited_suspects(&self, request: &RoutingRequest) -> Vec<Suspect> {
        lock(&self.0.router).awaited_suspects(request)
    }

    pub(crate) fn is_leaving(&self, backend: &BackendId) -> bool {
        lock(&self.0.router).is_leaving(backend)
    }

    pub(crate) fn may_be_terminated(&self, backend: &BackendId) -> bool {
        let now = self.0.clock.now();
        lock(&self.0.router).may_be_terminated(now, backend)
    }

    pub(crate) fn checks(&self) -> Checks {
        self.0.checks
    }

    pub(crate) fn server(&self, id: &BackendId) -> Option<Server> {
        let servers = self
            .0
            .servers
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        let index = servers.binary_search_by(|s| s.id.cmp(id)).ok()?;
        Some(servers[index].clone())
    }

    pub(crate) fn entry_host(&self, dc: &DataCentreId) -> Option<SocketAddr> {
        self.0.peers.entry_host(dc)
    }

    pub(crate) fn server_announced(&self, announcement: Announcement) {
        self.0.peers.server_announced(announcement);
    }

    pub(crate) fn is_live(&self, owner: &claim::Owner) -> bool {
        self.0.peers.is_live(&owner.host, owner.incarnation)
    }

    /// Passes a request to the router.
    ///
    /// A request is refused if its id is already in flight, because decisions are delivered by id.
    pub(crate) fn arrive(&self, ticket: RoutingRequest) -> RequestHandle<R, N> {
        let id = ticket.id;
        let (tx, rx) = unbounded_channel();
        let mut in_flight = lock(&self.0.in_flight);
        let found = in_flight.binary_search_by_key(&id, |(id, _)| *id);
        if let Err(index) = found {
            in_flight.insert(index, (id, tx));
        }
        drop(in_flight);
        let handle = RequestHandle {
            dispatcher: self.clone(),
            id,
            rx,
            unread: None,
            registered: found.is_err(),
            active: found.is_err(),
        };
        if handle.registered {
            self.feed(Event::Arrive(ticket));
        }
        handle
    }

    fn perform(&self, out: Vec<Action>) {
        let mut rest = out.into_iter();
        while let Some(action) = rest.next() {
            match action {
                Action::ShareSuspects(records) => {
                    let later: Vec<Action> = rest.collect();
                    self.share_suspects_then(records, later);
                    return;
                }
                action => self.perform_action(action),
            }
        }
    }

    fn share_suspects_then(&self, records: Vec<route::SuspectRecord>, later: Vec<Action>) {
        // A caller may resend as soon as it is refused, and a forwarded suspect could arrive before
        // its records. Only refusals and forwards wait; other actions proceed.
        let share_suspects_first = self.0.checks.share_suspects_first;
        let must_wait = |a: &Action| matches!(a, Action::Refuse { .. } | Action::Forward { .. });
        let (held, others): (Vec<_>, Vec<_>) = later
            .into_iter()
            .partition(|a| share_suspects_first && must_wait(a));
        self.perform(others);
        let this = self.clone();
        tokio::spawn(async move {
            this.0.peers.share_suspects(records).await;
            this.perform(held);
        });
    }

    fn perform_action(&self, action: Action) {
        match action {
            Action::Dispatch {
                id,
                backend,
                retry,
                first_byte,
            } => {
                if let Some(reason) = retry {
                    self.0.counters.retry(reason);
                }
                let decision = Decision::Dispatch {
                    backend,
                    retry,
                    first_byte,
                };
                self.send_decision(id, decision);
            }
            Action::Forward { id, dc } => self.send_decision(id, Decision::Forward(dc)),
            Action::Refuse {
                id,
                code,
                retry_after,
            } => self.send_decision(id, Decision::Refuse { code, retry_after }),
            Action::RequestSlot {
                id,
                fingerprint,
                backend,
            } => {
                let this = self.clone();
                tokio::spawn(async move {
                    let granted = this
                        .0
                        .peers
                        .request_suspect_slot(fingerprint, backend)
                        .await;
                    this.feed(Event::SlotReply { id, granted });
                });
            }
            Action::RequestPlacement { model, adapter } => {
                let Some(pending) =
                    ModelRequest::register(&self.0.model_requests, &model, adapter.as_ref())
                else {
                    return;
                };
                let this = self.clone();
                tokio::spawn(async move {
                    let holders = this
                        .0
                        .peers
                        .request_model(model.clone(), adapter.clone())
                        .await;
                    drop(pending);
                    if holders.is_empty() && !this.0.peers.may_load_later() {
                        this.feed(Event::PlacementRejected { model, adapter });
                        return;
                    }
                    for backend in holders {
                        this.feed_resident(&backend, &model, adapter.as_ref());
                    }
                });
            }
            Action::RequestReplica {
                model,
                adapter,
                backend,
            } => {
                let this = self.clone();
                tokio::spawn(async move {
                    let peers = &this.0.peers;
                    let replicas = peers.request_replica(model.clone(), adapter.clone(), backend);
                    for backend in replicas.await {
                        this.feed_resident(&backend, &model, Some(&adapter));
                    }
                });
            }
            Action::ShareSuspects(records) => self.share_suspects_then(records, Vec::new()),
            Action::ShareCrashes(update) => self.0.peers.share_crashes(update),
            Action::LogCrash { report, omitted } => log_crash(&report, omitted),
            Action::RequestTrial { id, trial } => {
                let this = self.clone();
                tokio::spawn(async move {
                    let suspect = trial.suspect;
                    let reply = this.0.peers.request_trial(trial).await;
                    tracing::info!(belief = "suspect", %suspect, ?reply, "trial requested");
                    this.feed(Event::TrialReply { id, suspect, reply });
                });
            }
            Action::LogVerdict {
                suspect,
                verdict,
                crashes,
                cause,
            } => log_verdict(suspect, verdict, crashes, cause),
        }
    }

    /// Feeds the router that a backend server holds a model and, if given, an adapter.
    fn feed_resident(&self, backend: &BackendId, model: &ModelId, adapter: Option<&AdapterId>) {
        let residents = [Some(None), adapter.map(|a| Some(a.clone()))];
        for adapter in residents.into_iter().flatten() {
            self.feed(Event::Resident {
                backend: backend.clone(),
                model: model.clone(),
                adapter,
            });
        }
    }

    fn send_decision(&self, id: RequestId, decision: Decision) {
        let in_flight = lock(&self.0.in_flight);
        if let Ok(index) = in_flight.binary_search_by_key(&id, |(id, _)| *id) {
            // The receiver is gone if the caller has disconnected. A cancellation follows.
            drop(in_flight[index].1.send(decision));
        }
    }
}

/// Maximum number of suspects in a log line.
const MAX_LOGGED_SUSPECTS: usize = 32;

/// Returns the names of the first suspects for a log line.
pub(crate) fn first_suspects(suspects: &[Suspect]) -> String {
    let first = suspects.iter().take(MAX_LOGGED_SUSPECTS);
    let first: Vec<String> = first.map(Suspect::to_string).collect();
    first.join(", ")
}

/// Logs and counts a crash at which this host had requests in flight.
fn log_crash(report: &CrashReport, omitted: usize) {
    metrics::counter!("celerytally_backend_crashes_total").increment(1);
    let omitted_total = u64::try_from(omitted).unwrap_or(u64::MAX);
    metrics::counter!("celerytally_omitted_suspects_total").increment(omitted_total);
    tracing::warn!(
        belief = "crash",
        backend = %report.backend,
        incarnation = %report.incarnation,
        suspects = report.suspects.len(),
        omitted,
        first = first_suspects(&report.suspects),
        "backend server crashed"
    );
}

/// Logs and counts a changed verdict on a suspect.
fn log_verdict(suspect: Suspect, verdict: Option<Verdict>, crashes: usize, cause: VerdictCause) {
    let state = match verdict {
        None => "cleared",
        Some(Verdict::Suspected) => "suspected",
        Some(Verdict::Confirmed) => "confirmed",
    };
    let cause = cause.label();
    metrics::counter!("celerytally_suspects_total", "state" => state, "cause" => cause)
        .increment(1);
    tracing::warn!(
        belief = "suspect", %suspect, state, cause, crashes, "judgement on a suspect changed"
    );
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Request known to the router. Dropping the handle before the request ends cancels it.
pub(crate) struct RequestHandle<R: StateMachine, N: Peers> {
    dispatcher: Dispatcher<R, N>,
    id: RequestId,
    rx: UnboundedReceiver<Decision>,
    /// Decision that arrived while an attempt went on, and that the end of the attempt needs.
    unread: Option<Decision>,
    registered: bool,
    /// Whether the router still tracks the request.
    active: bool,
}

impl<R: StateMachine, N: Peers> RequestHandle<R, N> {
    /// Waits for the router's decision.
    pub(crate) async fn decision(&mut self) -> Decision {
        let decided = match self.unread.take() {
            Some(decision) => decision,
            None => self.rx.recv().await.unwrap_or(Decision::Refuse {
                code: Code::Internal,
                retry_after: None,
            }),
        };
        if matches!(decided, Decision::Refuse { .. }) {
            self.active = false;
        }
        decided
    }

    pub(crate) fn first_byte(&self) {
        self.dispatcher.feed(Event::FirstByte(self.id));
    }

    /// Reports that data of the response have arrived for so long that the request does not crash the
    /// server.
    pub(crate) fn sustained(&self) {
        self.dispatcher.feed(Event::Sustained(self.id));
    }

    /// Reports the end of the response. `is_harmless` is whether its server was alive then.
    pub(crate) fn finished(&mut self, tokens: u32, ok: bool, is_harmless: bool) {
        self.active = false;
        let id = self.id;
        self.dispatcher.feed(Event::Finished {
            id,
            tokens,
            ok,
            is_harmless,
        });
    }

    pub(crate) fn failed(&self, failure: Failure) {
        let id = self.id;
        self.dispatcher.feed(Event::Failed { id, failure });
    }

    /// Reports that the server is silent. Returns another server that can take over the request, with
    /// the estimated time to the first byte of its response.
    ///
    /// The silent server may still respond, so any other decision is kept for [`Self::decision`].
    pub(crate) fn stalled(&mut self) -> Option<(BackendId, Micros)> {
        if self.unread.is_some() {
            return None;
        }
        self.dispatcher.feed(Event::Stalled(self.id));
        match self.rx.try_recv() {
            Ok(Decision::Dispatch {
                backend,
                first_byte,
                ..
            }) => Some((backend, first_byte)),
            Ok(decision) => {
                self.unread = Some(decision);
                None
            }
            Err(_no_decision) => None,
        }
    }

    /// Reports that the attempt at the stalled server is over, by its failure or, without one, because
    /// the other server responds.
    pub(crate) fn taken_over(&self, failure: Option<Failure>) {
        let id = self.id;
        self.dispatcher.feed(Event::TakenOver { id, failure });
    }

    /// Reports that the other server did not take over; the stalled server's attempt goes on.
    pub(crate) fn takeover_failed(&self, failure: Option<Failure>) {
        let id = self.id;
        self.dispatcher.feed(Event::TakeoverFailed { id, failure });
    }
}

impl<R: StateMachine, N: Peers> Drop for RequestHandle<R, N> {
    fn drop(&mut self) {
        if !self.registered {
            return;
        }
        let mut in_flight = lock(&self.dispatcher.0.in_flight);
        if let Ok(index) = in_flight.binary_search_by_key(&self.id, |(id, _)| *id) {
            in_flight.remove(index);
        }
        drop(in_flight);
        if self.active {
            self.dispatcher.feed(Event::Cancel(self.id));
        }
    }
}

#[cfg(test)]
#[path = "../tests/dispatcher/decisions.rs"]
mod tests;
