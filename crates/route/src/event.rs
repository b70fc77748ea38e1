//! Input events and output actions of the router.

use std::{fmt, sync::Arc};

use config::{InForce, Priority};
use serde::{Deserialize, Serialize};
use types::{
    AdapterId, BackendId, Code, DataCentreId, Deadline, HostId, Incarnation, LoadReport, Micros,
    ModelId, RequestId, RetryReason, ServiceName,
};

use crate::{peer_load::SentLoad, slowdown::ObservedSlowdown};

/// Hash of a request's service, model and body, the same for every resend.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(transparent)]
pub struct Fingerprint(u128);

impl Fingerprint {
    /// Makes a fingerprint from the first 128 bits of a hash.
    #[must_use]
    pub const fn new(bits: u128) -> Self {
        Self(bits)
    }

    /// Returns the bits.
    #[must_use]
    pub const fn get(self) -> u128 {
        self.0
    }
}

impl fmt::Debug for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// What a request needs from a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Target {
    /// Any backend server of a plain service.
    Plain,
    /// A worker that holds the model and, preferably, the adapter.
    Model {
        /// Base model.
        model: ModelId,
        /// Adapter, if the request names one.
        adapter: Option<AdapterId>,
    },
}

/// Request as the router sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutingRequest {
    /// Id of the request.
    pub id: RequestId,
    /// Hash that recognises a resend.
    pub fingerprint: Fingerprint,
    /// Service that is asked for.
    pub service: ServiceName,
    /// What is needed from a backend server.
    pub target: Target,
    /// Priority; lower goes first.
    pub priority: Priority,
    /// Instant by which the answer must be complete.
    pub deadline: Deadline,
    /// Whether the request may be run more than once.
    pub idempotent: bool,
    /// Estimated prompt tokens.
    pub prompt_tokens: u32,
    /// Estimated output tokens.
    pub output_tokens: u32,
    /// Hashes of the growing prefixes of the prompt, shortest first.
    pub prefixes: Vec<u64>,
    /// Whether another entry host forwarded the request to this one.
    pub forwarded: bool,
    /// What the request needs besides.
    pub options: RequestOptions,
}

/// What a request needs beyond the settings of the router.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RequestOptions {
    /// Dispatches at most.
    pub max_attempts: Option<u8>,
    /// Tokens of the growing prefixes of the prompt, in the order of their hashes.
    pub prefix_tokens: Vec<u32>,
}

/// Whether a backend server can take work.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum Liveness {
    /// Takes work.
    Live,
    /// Finishes what it has and takes no new work.
    Leaving,
    /// Does not answer.
    Dead,
}

/// Load of a backend server as another entry host sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct BackendLoad {
    /// Life of the server process.
    pub incarnation: Incarnation,
    /// Whether it can take work.
    pub liveness: Liveness,
    /// Requests that run or wait there.
    pub in_flight: u16,
    /// Requests of the reporting host among them.
    pub own: u16,
    /// Tokens generated a second over all requests.
    pub tokens_per_second: u32,
    /// Check value of what is resident, as of the reporting host; zero when that is not known.
    pub residents: u16,
}

/// What a backend server registered about itself.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct BackendRegistration {
    /// Life of the server process.
    pub incarnation: Incarnation,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Models that it serves.
    pub models: Vec<ModelId>,
    /// Adapters that it served then.
    pub adapters: Vec<AdapterId>,
}

/// Why an attempt failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Failure {
    /// Reason under which a retry is counted.
    pub reason: RetryReason,
    /// Whether the backend server may have run the request.
    pub may_have_run: bool,
    /// Whether bytes of the answer have reached the caller.
    pub answered: bool,
    /// Whether another backend server can go on where the answer broke off.
    pub resumes: bool,
}

/// State of a suspect request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum SuspectState {
    /// Was in flight when a backend server crashed.
    Suspected,
    /// Was in flight at a second crash, alone among the suspects.
    Confirmed,
    /// Completed since.
    Cleared,
}

/// News about a suspect request, shared between entry hosts.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct SuspectRecord {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Its state.
    pub state: SuspectState,
    /// Backend server whose crash led to the state.
    pub backend: BackendId,
    /// Life of that server that ended.
    pub incarnation: Incarnation,
}

/// Input of the router.
#[derive(Clone, Debug)]
pub enum Event {
    /// A configuration is in force; one that is not newer than the last is ignored.
    Config(Arc<InForce>),
    /// A request arrived and waits for a backend server.
    Arrive(RoutingRequest),
    /// The caller of a request went away.
    Cancel(RequestId),
    /// The first byte of the answer arrived.
    FirstByte(RequestId),
    /// The answer is complete.
    Finished {
        /// The request.
        id: RequestId,
        /// Tokens that were generated.
        tokens: u32,
        /// Whether the server answered in time and without error.
        ok: bool,
    },
    /// An attempt failed; the router retries or refuses.
    Failed {
        /// The request.
        id: RequestId,
        /// What happened.
        failure: Failure,
    },
    /// A load report arrived.
    Report {
        /// The backend server.
        backend: BackendId,
        /// Its report.
        report: Arc<LoadReport>,
    },
    /// A backend server registered what it holds.
    Registered {
        /// The backend server.
        backend: BackendId,
        /// What it registered.
        registration: BackendRegistration,
    },
    /// The controller can't place a model or adapter now.
    PlacementRejected {
        /// Base model.
        model: ModelId,
        /// Adapter, if one was asked for.
        adapter: Option<AdapterId>,
    },
    /// A peer, or a sum over all peers, told what was sent to backend servers.
    PeerLoad {
        /// The peer; without one, the load is the sum over all.
        host: Option<HostId>,
        /// Its requests, by backend server.
        sent: Vec<(BackendId, SentLoad)>,
        /// Time until which the news counts.
        until: Deadline,
    },
    /// A sum over all peers told how fast backend servers were for them.
    PeerSlowdowns(Vec<(BackendId, ObservedSlowdown)>),
    /// The number of hosts changed, and with it this host's share of the retry budget.
    RetrySlack(f64),
    /// An order's outcome shows that a backend server holds a model or adapter.
    Resident {
        /// The backend server.
        backend: BackendId,
        /// Base model.
        model: ModelId,
        /// Adapter, if it is one that was loaded.
        adapter: Option<AdapterId>,
    },
    /// An answer's headers carried the load.
    LoadHeaders {
        /// The backend server.
        backend: BackendId,
        /// Requests that run.
        in_flight: u32,
        /// Requests that wait.
        queued: u32,
    },
    /// A peer shared its view of a backend server.
    Digest {
        /// The backend server.
        backend: BackendId,
        /// The view.
        load: BackendLoad,
        /// Age of the view.
        age: Micros,
    },
    /// The liveness of a backend server changed.
    Liveness {
        /// The backend server.
        backend: BackendId,
        /// What is known.
        liveness: Liveness,
    },
    /// A backend server's process ended or restarted.
    ///
    /// The router marks the requests in flight there as suspects. Each of them is still out until
    /// the driver reports its attempt by [`Event::Failed`] with the reason `Crash`, in any order
    /// relative to this event.
    Crashed {
        /// The backend server.
        backend: BackendId,
        /// The life that ended.
        incarnation: Incarnation,
    },
    /// Another data centre told which models are resident there, in rising order.
    RemoteModels {
        /// The data centre.
        dc: DataCentreId,
        /// Its models; empty when it can't be reached.
        models: Vec<ModelId>,
    },
    /// A worker's cache holds a prefix.
    PrefixCached {
        /// The worker.
        backend: BackendId,
        /// Hash of the prefix.
        prefix: u64,
    },
    /// Cache events of a worker were lost.
    PrefixGap(BackendId),
    /// A peer told of suspects.
    Suspects(Vec<SuspectRecord>),
    /// The answer to a question for a suspect slot; no answer in time counts as denied.
    SlotReply {
        /// The request.
        id: RequestId,
        /// Whether it may run.
        granted: bool,
    },
    /// Time passed.
    Tick,
}

/// Output of the router.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to a backend server.
    Dispatch {
        /// The request.
        id: RequestId,
        /// The backend server.
        backend: BackendId,
        /// Reason of the retry, absent for the first attempt.
        retry: Option<RetryReason>,
        /// Estimated time to the first byte of the answer.
        first_byte: Micros,
    },
    /// Send the request to an entry host of another data centre.
    Forward {
        /// The request.
        id: RequestId,
        /// The data centre.
        dc: DataCentreId,
    },
    /// Refuse the request.
    Refuse {
        /// The request.
        id: RequestId,
        /// Why.
        code: Code,
        /// Time after which a resend may succeed.
        retry_after: Option<Micros>,
    },
    /// Ask whether a suspect may run on a backend server; answered by [`Event::SlotReply`].
    RequestSlot {
        /// The request.
        id: RequestId,
        /// Its fingerprint.
        fingerprint: Fingerprint,
        /// The backend server.
        backend: BackendId,
    },
    /// Tell all peers before any refusal that follows in the same list.
    ShareSuspects(Vec<SuspectRecord>),
    /// Ask the controller for another copy of an adapter, because the servers that hold it are busy.
    RequestReplica {
        /// Base model.
        model: ModelId,
        /// Adapter.
        adapter: AdapterId,
        /// Backend server that should hold it too.
        backend: BackendId,
    },
    /// Ask the controller of the data centre for a model or adapter that is not resident.
    RequestPlacement {
        /// Base model.
        model: ModelId,
        /// Adapter, if one is missing.
        adapter: Option<AdapterId>,
    },
}
