//! Input events and output actions of the router.

use std::{fmt, sync::Arc};

use config::{ActiveConfig, Priority};
use serde::{Deserialize, Serialize};
use types::{
    AdapterId, BackendId, Code, DataCentreId, Deadline, HostId, Incarnation, LoadReport, Micros,
    ModelId, PromptPart, RequestId, RetryReason, ServerNotice, ServiceName,
};

use crate::{
    crash::suspect::{
        CrashReport, CrashUpdate, Suspect, SuspectRecord, TrialReply, TrialRequest, Verdict,
        VerdictCause,
    },
    peer_load::SentLoad,
    slowdown::ObservedSlowdown,
};

/// Hash of the service, model and body of a request, equal for every resend.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(transparent)]
pub struct Fingerprint(u128);

impl Fingerprint {
    /// Creates a fingerprint from the first 128 bits of a hash.
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

/// Kind of backend server that a request needs.
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

/// Request as described to the router.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutingRequest {
    /// Id of the request.
    pub id: RequestId,
    /// Hash that identifies resends.
    pub fingerprint: Fingerprint,
    /// Requested service.
    pub service: ServiceName,
    /// Required kind of backend server.
    pub target: Target,
    /// Priority; lower values are served first.
    pub priority: Priority,
    /// Time by which the response must be complete.
    pub deadline: Deadline,
    /// Whether the request may be run more than once.
    pub idempotent: bool,
    /// Estimated prompt tokens.
    pub prompt_tokens: u32,
    /// Estimated output tokens.
    pub output_tokens: u32,
    /// Hashes of the prompt prefixes, shortest first.
    pub prefixes: Vec<u64>,
    /// Whether another entry host forwarded the request to this one.
    pub forwarded: bool,
    /// Optional parameters.
    pub options: RequestOptions,
}

/// Optional parameters of a request beyond the settings of the router.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RequestOptions {
    /// Maximum number of backend servers that may run the request.
    pub max_attempts: Option<u8>,
    /// Token counts of the prompt prefixes, in the order of their hashes.
    pub prefix_tokens: Vec<u32>,
    /// Parts of the prompt that other requests may have, too.
    pub parts: Vec<PromptPart>,
    /// Time at which the caller leaves if the response has not begun.
    pub first_byte_by: Option<Deadline>,
}

/// Liveness of a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum Liveness {
    /// Accepts work.
    Live,
    /// Finishes its requests and accepts no new work.
    Leaving,
    /// Does not respond.
    Dead,
}

/// Load of a backend server as seen by another entry host.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct BackendLoad {
    /// Incarnation of the server process.
    pub incarnation: Incarnation,
    /// Whether it can accept work.
    pub liveness: Liveness,
    /// Requests that run or wait on the server.
    pub in_flight: u16,
    /// Requests of the reporting host among them.
    pub own: u16,
    /// Output tokens per second over all requests.
    pub tokens_per_second: u32,
    /// Checksum of the residents as known to the reporting host; zero when unknown.
    pub residents: u16,
}

/// Registration of a backend server.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct BackendRegistration {
    /// Incarnation of the server process.
    pub incarnation: Incarnation,
    /// Whether it accepts no new work.
    pub leaving: bool,
    /// Time after which the server may be terminated, whatever it runs, if it named one.
    pub terminates_in: Option<Micros>,
    /// Models that it serves.
    pub models: Vec<ModelId>,
    /// Adapters that it served at the time of the registration.
    pub adapters: Vec<AdapterId>,
}

/// Failure of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Failure {
    /// Reason under which a retry is counted.
    pub reason: RetryReason,
    /// Whether the backend server may have run the request.
    pub may_have_run: bool,
    /// Whether bytes of the response have reached the caller.
    pub answered: bool,
    /// Whether another backend server can resume the interrupted response.
    pub resumes: bool,
}

/// Input of the router.
#[derive(Clone, Debug)]
pub enum Event {
    /// A configuration came into force; ignored unless it is newer than the last.
    Config(Arc<ActiveConfig>),
    /// A request arrived and needs a backend server.
    Arrive(RoutingRequest),
    /// The caller cancelled a request.
    Cancel(RequestId),
    /// The first byte of the response arrived.
    FirstByte(RequestId),
    /// Data of the response have arrived for so long that its request does not crash the server.
    Sustained(RequestId),
    /// The response is complete.
    Finished {
        /// The request.
        id: RequestId,
        /// Number of output tokens.
        tokens: u32,
        /// Whether the response was in time and without error.
        ok: bool,
        /// Whether the server was alive at the end of the response, so that the request does not crash it.
        is_harmless: bool,
    },
    /// An attempt failed; the router retries or refuses.
    Failed {
        /// The request.
        id: RequestId,
        /// Description of the failure.
        failure: Failure,
    },
    /// The server of an idempotent request has been silent for longer than expected.
    ///
    /// If another server can take the request over now, the router sends it there as well, with
    /// [`Action::Dispatch`]. The driver then reports one of [`Event::TakenOver`] and
    /// [`Event::TakeoverFailed`] before any other event of the request but its cancellation.
    Stalled(RequestId),
    /// The attempt at the stalled server is over.
    TakenOver {
        /// The request.
        id: RequestId,
        /// Failure of the stalled server; `None` if the other one responds.
        failure: Option<Failure>,
    },
    /// The other server did not take over a stalled request, whose attempt goes on.
    TakeoverFailed {
        /// The request.
        id: RequestId,
        /// Failure of the other server; `None` if the stalled one went on before.
        failure: Option<Failure>,
    },
    /// A load report arrived.
    Report {
        /// The backend server.
        backend: BackendId,
        /// Its report.
        report: Arc<LoadReport>,
    },
    /// A backend server registered.
    Registered {
        /// The backend server.
        backend: BackendId,
        /// Its registration.
        registration: BackendRegistration,
    },
    /// The controller cannot place a model or adapter now.
    PlacementRejected {
        /// Base model.
        model: ModelId,
        /// Adapter, if one was requested.
        adapter: Option<AdapterId>,
    },
    /// A peer, or a sum over all peers, reported the load sent to backend servers.
    PeerLoad {
        /// The peer; `None` for the sum over all peers.
        host: Option<HostId>,
        /// Load sent, by backend server.
        sent: Vec<(BackendId, SentLoad)>,
        /// Time until which the load is valid.
        until: Deadline,
    },
    /// A sum over all peers reported the slowdowns that they observed.
    PeerSlowdowns(Vec<(BackendId, ObservedSlowdown)>),
    /// The number of hosts changed, and with it the share of this host in the retry budget.
    RetrySlack(f64),
    /// The outcome of an order shows that a backend server holds a model or adapter.
    Resident {
        /// The backend server.
        backend: BackendId,
        /// Base model.
        model: ModelId,
        /// Adapter, if one was loaded.
        adapter: Option<AdapterId>,
    },
    /// The headers of a response reported the load of a backend server.
    LoadHeaders {
        /// The backend server.
        backend: BackendId,
        /// Running requests.
        in_flight: u32,
        /// Queued requests.
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
        /// New liveness.
        liveness: Liveness,
    },
    /// A response of a backend server announced its state.
    Announced {
        /// The backend server.
        backend: BackendId,
        /// The incarnation that the request was sent to, if known.
        incarnation: Option<Incarnation>,
        /// What it announced.
        notice: ServerNotice,
    },
    /// The process of a backend server ended or restarted.
    ///
    /// The router records the requests in flight there as suspects. Each of them stays in flight
    /// until the driver reports its attempt with [`Event::Failed`] and the reason `Crash`, before
    /// or after this event.
    Crashed {
        /// The backend server.
        backend: BackendId,
        /// The incarnation that ended.
        incarnation: Incarnation,
    },
    /// Another data centre reported its resident models, sorted.
    RemoteModels {
        /// The data centre.
        dc: DataCentreId,
        /// Its models; empty when the data centre is unreachable.
        models: Vec<ModelId>,
    },
    /// A worker has cached a prefix.
    PrefixCached {
        /// The worker.
        backend: BackendId,
        /// Hash of the prefix.
        prefix: u64,
    },
    /// Cache events of a worker were lost, so its cached prefixes are unknown.
    PrefixGap(BackendId),
    /// A peer shared suspect records.
    Suspects(Vec<SuspectRecord>),
    /// A peer shared what it learned of crashes.
    CrashUpdate(CrashUpdate),
    /// Reply to [`Action::RequestTrial`]; a timeout counts as a denial.
    TrialReply {
        /// The request.
        id: RequestId,
        /// The suspect.
        suspect: Suspect,
        /// The reply.
        reply: TrialReply,
    },
    /// Reply to [`Action::RequestSlot`]; a timeout counts as a denial.
    SlotReply {
        /// The request.
        id: RequestId,
        /// Whether the slot was granted.
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
        /// Reason for the retry; `None` for the first attempt.
        retry: Option<RetryReason>,
        /// Estimated time to the first byte of the response.
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
        /// Result code.
        code: Code,
        /// Time after which a retry may succeed.
        retry_after: Option<Micros>,
    },
    /// Request a slot for a suspect on a backend server; the reply is [`Event::SlotReply`].
    RequestSlot {
        /// The request.
        id: RequestId,
        /// Its fingerprint.
        fingerprint: Fingerprint,
        /// The backend server.
        backend: BackendId,
    },
    /// Share suspect records with all peers before any refusal that follows in the same list.
    ShareSuspects(Vec<SuspectRecord>),
    /// Share what this host learned of crashes with all peers.
    ShareCrashes(CrashUpdate),
    /// Ask the peers whether a request may be sent as a trial of a suspect; the reply is
    /// [`Event::TrialReply`].
    RequestTrial {
        /// The request.
        id: RequestId,
        /// The trial.
        trial: TrialRequest,
    },
    /// Log that a backend server crashed while this host had requests in flight there.
    LogCrash {
        /// What this host reports of the crash, the suspects of earlier crashes first.
        report: CrashReport,
        /// Number of suspects that are left out of the report.
        omitted: usize,
    },
    /// Log that the verdict on a suspect changed.
    LogVerdict {
        /// The suspect.
        suspect: Suspect,
        /// The verdict; `None` if the suspect was cleared.
        verdict: Option<Verdict>,
        /// Number of crashes that this host counts against it.
        crashes: usize,
        /// Why it changed.
        cause: VerdictCause,
    },
    /// Request a further replica of an adapter from the controller, because its holders are busy.
    RequestReplica {
        /// Base model.
        model: ModelId,
        /// Adapter.
        adapter: AdapterId,
        /// Backend server that should load the replica.
        backend: BackendId,
    },
    /// Request the placement of a model or adapter that is not resident from the controller of the
    /// data centre.
    RequestPlacement {
        /// Base model.
        model: ModelId,
        /// Adapter, if one is missing.
        adapter: Option<AdapterId>,
    },
}
