//! The asynchronous driver of the pure router.

use std::{
    fmt,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock},
};

use config::InForce;
use engine::Server;
use route::{Action, Event, Failure, RoutingRequest};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use types::{
    AdapterId, BackendId, Clock, Code, DataCentreId, Instant, Micros, ModelId, Monotonic,
    RequestId, RetryReason,
};

use crate::{
    asked::{Asked, AskedItems},
    count::Counters,
    peers::Peers,
};

/// The router, or what replaces it in a test.
pub trait StateMachine: Send + 'static {
    /// Takes an event at an instant and appends the actions that follow from it.
    fn step(&mut self, now: Instant, ev: Event, out: &mut Vec<Action>);
}

impl StateMachine for route::Router {
    fn step(&mut self, now: Instant, ev: Event, out: &mut Vec<Action>) {
        Self::step(self, now, ev, out);
    }
}

/// Protections of the gate; a test switches one off to show that it is needed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Checks {
    /// Whether a non-idempotent request that may have run is kept from another dispatch.
    pub single_dispatch: bool,
    /// Whether a refusal waits until suspects are shared.
    pub share_suspects_first: bool,
    /// Whether keyed requests that must not be repeated are claimed.
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

/// Decision of the router on a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Decision {
    Dispatch {
        backend: BackendId,
        retry: Option<RetryReason>,
        /// Estimated time to the first byte of the answer.
        first_byte: Micros,
    },
    Forward(DataCentreId),
    Refuse {
        code: Code,
        retry_after: Option<Micros>,
    },
}

/// Driver of the router: feeds it events and performs its actions.
pub struct Dispatcher<R, N>(Arc<Shared<R, N>>);

struct Shared<R, N> {
    clock: Monotonic,
    router: Mutex<R>,
    peers: N,
    counters: Arc<Counters>,
    checks: Checks,
    /// Requests that wait or run, sorted by id.
    flights: Mutex<Vec<(RequestId, UnboundedSender<Decision>)>>,
    asked: AskedItems,
    /// Addresses of backend servers, sorted by id.
    servers: RwLock<Vec<Server>>,
    in_force: RwLock<Option<Arc<InForce>>>,
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
            flights: Mutex::new(Vec::new()),
            asked: AskedItems::default(),
            servers: RwLock::new(Vec::new()),
            in_force: RwLock::new(None),
        }))
    }

    /// Feeds the router an event and performs the actions that follow from it.
    ///
    /// Suspects are shared before any refusal that follows in the same list is sent. Must be called
    /// within a tokio runtime, because questions to peers are asked in the background.
    pub fn feed(&self, ev: Event) {
        if let Event::Config(in_force) = &ev {
            let mut held = self
                .0
                .in_force
                .write()
                .unwrap_or_else(PoisonError::into_inner);
            if held
                .as_ref()
                .is_none_or(|old| old.version < in_force.version)
            {
                *held = Some(Arc::clone(in_force));
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

    /// Returns the configuration in force.
    #[must_use]
    pub fn active_config(&self) -> Option<Arc<InForce>> {
        let held = self
            .0
            .in_force
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        held.clone()
    }

    /// Returns the number of requests that wait or run.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        lock(&self.0.flights).len()
    }

    /// Calls a function on the router, for reports and digests.
    pub fn with_router<T>(&self, f: impl FnOnce(&R) -> T) -> T {
        f(&lock(&self.0.router))
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
        let at = servers.binary_search_by(|s| s.id.cmp(id)).ok()?;
        Some(servers[at].clone())
    }

    pub(crate) fn entry_host(&self, dc: &DataCentreId) -> Option<SocketAddr> {
        self.0.peers.entry_host(dc)
    }

    pub(crate) fn is_live(&self, owner: &claim::Owner) -> bool {
        self.0.peers.is_live(&owner.host, owner.incarnation)
    }

    /// Hands a request to the router.
    ///
    /// A second request with the id of one in flight is refused, because decisions are told by id.
    pub(crate) fn arrive(&self, ticket: RoutingRequest) -> Flight<R, N> {
        let id = ticket.id;
        let (tx, rx) = unbounded_channel();
        let mut flights = lock(&self.0.flights);
        let free = flights.binary_search_by_key(&id, |(id, _)| *id);
        if let Err(at) = free {
            flights.insert(at, (id, tx));
        }
        drop(flights);
        let flight = Flight {
            dispatcher: self.clone(),
            id,
            rx,
            listed: free.is_err(),
            open: free.is_err(),
        };
        if flight.listed {
            self.feed(Event::Arrive(ticket));
        }
        flight
    }

    fn perform(&self, out: Vec<Action>) {
        let mut rest = out.into_iter();
        while let Some(action) = rest.next() {
            match action {
                Action::ShareSuspects(marks) => {
                    let later: Vec<Action> = rest.collect();
                    self.share_then(marks, later);
                    return;
                }
                action => self.perform_one(action),
            }
        }
    }

    fn share_then(&self, marks: Vec<route::SuspectRecord>, later: Vec<Action>) {
        // The caller could resend as soon as it has its refusal, and a forwarded suspect could reach
        // its entry host before the marks do; everything else goes on.
        let share_suspects_first = self.0.checks.share_suspects_first;
        let waits = |a: &Action| matches!(a, Action::Refuse { .. } | Action::Forward { .. });
        let (held, others): (Vec<_>, Vec<_>) = later
            .into_iter()
            .partition(|a| share_suspects_first && waits(a));
        self.perform(others);
        let this = self.clone();
        tokio::spawn(async move {
            this.0.peers.share_suspects(marks).await;
            this.perform(held);
        });
    }

    fn perform_one(&self, action: Action) {
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
                self.decide(id, decision);
            }
            Action::Forward { id, dc } => self.decide(id, Decision::Forward(dc)),
            Action::Refuse {
                id,
                code,
                retry_after,
            } => self.decide(id, Decision::Refuse { code, retry_after }),
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
                let Some(asked) = Asked::begin(&self.0.asked, &model, adapter.as_ref()) else {
                    return;
                };
                let this = self.clone();
                tokio::spawn(async move {
                    let placed = this
                        .0
                        .peers
                        .request_model(model.clone(), adapter.clone())
                        .await;
                    drop(asked);
                    if placed.is_empty() && !this.0.peers.may_load_later() {
                        this.feed(Event::PlacementRejected { model, adapter });
                        return;
                    }
                    for backend in placed {
                        this.placed(&backend, &model, adapter.as_ref());
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
                    let asked = peers.request_replica(model.clone(), adapter.clone(), backend);
                    for backend in asked.await {
                        this.placed(&backend, &model, Some(&adapter));
                    }
                });
            }
            Action::ShareSuspects(marks) => self.share_then(marks, Vec::new()),
        }
    }

    /// Tells the router that a backend server holds a model, and an adapter of it if one is named.
    fn placed(&self, backend: &BackendId, model: &ModelId, adapter: Option<&AdapterId>) {
        let parts = [Some(None), adapter.map(|a| Some(a.clone()))];
        for adapter in parts.into_iter().flatten() {
            self.feed(Event::Resident {
                backend: backend.clone(),
                model: model.clone(),
                adapter,
            });
        }
    }

    fn decide(&self, id: RequestId, decision: Decision) {
        let flights = lock(&self.0.flights);
        if let Ok(at) = flights.binary_search_by_key(&id, |(id, _)| *id) {
            // A caller that went away has dropped its receiver; its cancellation follows.
            drop(flights[at].1.send(decision));
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Request that the router knows of; dropping it before its end cancels it there.
pub(crate) struct Flight<R: StateMachine, N: Peers> {
    dispatcher: Dispatcher<R, N>,
    id: RequestId,
    rx: UnboundedReceiver<Decision>,
    listed: bool,
    /// Whether the router still knows the request.
    open: bool,
}

impl<R: StateMachine, N: Peers> Flight<R, N> {
    /// Waits for the router's decision.
    pub(crate) async fn decision(&mut self) -> Decision {
        let decided = self.rx.recv().await.unwrap_or(Decision::Refuse {
            code: Code::Internal,
            retry_after: None,
        });
        if matches!(decided, Decision::Refuse { .. }) {
            self.open = false;
        }
        decided
    }

    pub(crate) fn first_byte(&self) {
        self.dispatcher.feed(Event::FirstByte(self.id));
    }

    pub(crate) fn finished(&mut self, tokens: u32, ok: bool) {
        self.open = false;
        let id = self.id;
        self.dispatcher.feed(Event::Finished { id, tokens, ok });
    }

    pub(crate) fn failed(&self, failure: Failure) {
        let id = self.id;
        self.dispatcher.feed(Event::Failed { id, failure });
    }
}

impl<R: StateMachine, N: Peers> Drop for Flight<R, N> {
    fn drop(&mut self) {
        if !self.listed {
            return;
        }
        let mut flights = lock(&self.dispatcher.0.flights);
        if let Ok(at) = flights.binary_search_by_key(&self.id, |(id, _)| *id) {
            flights.remove(at);
        }
        drop(flights);
        if self.open {
            self.dispatcher.feed(Event::Cancel(self.id));
        }
    }
}
