//! Table of the requests that are queued, running or forwarded.

use types::{Code, Deadline, Incarnation, Instant, RequestId, RetryReason};

use crate::{
    crash::trial::TrialState, event::RoutingRequest, queue::Rank, takeover::StalledAttempt,
};

/// Stage of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Phase {
    /// In the admission queue.
    Queued,
    /// Waiting for a suspect slot on a backend server.
    AwaitingSlot { backend: u32, until: Deadline },
    /// Sent to a backend server.
    Running {
        backend: u32,
        incarnation: Option<Incarnation>,
    },
    /// Sent to another data centre.
    Forwarded { dc: u16 },
}

impl Phase {
    /// Returns the index of the backend server that has the request.
    pub(crate) fn backend(self) -> Option<u32> {
        match self {
            Self::Running { backend, .. } | Self::AwaitingSlot { backend, .. } => Some(backend),
            Self::Queued | Self::Forwarded { .. } => None,
        }
    }

    /// Returns whether a request in this phase runs on an incarnation of a backend server, as far as the
    /// incarnation that it was sent to is known.
    ///
    /// `servers` are the indexes of the backend server.
    pub(crate) fn runs_on(self, servers: &[u32], running: Incarnation) -> bool {
        match self {
            Self::Running {
                backend,
                incarnation,
            } => servers.contains(&backend) && incarnation.is_none_or(|sent_to| sent_to == running),
            _ => false,
        }
    }
}

/// What has arrived of the response to an attempt.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ResponseProgress {
    /// Time of the first byte.
    pub since: Option<Instant>,
    /// Whether data have arrived for a while.
    pub is_sustained: bool,
}

/// Attempt of a request that has not ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptInProgress {
    pub phase: Phase,
    pub dispatched: Instant,
    pub response: ResponseProgress,
}

impl AttemptInProgress {
    /// Returns the time of its start or, later, of that of its response.
    pub(crate) fn changed_at(&self) -> Instant {
        self.response.since.unwrap_or(self.dispatched)
    }
}

/// Backend server that failed a request, which is not sent there again.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TriedServer {
    pub backend: u32,
    /// Whether it may have run the request.
    pub may_have_run: bool,
    /// Whether it was only silent until another server took over.
    pub silent: bool,
}

/// Request with its state in the router.
#[derive(Debug)]
pub(crate) struct RequestEntry {
    pub request: RoutingRequest,
    pub service: u16,
    pub model: Option<u16>,
    pub adapter: Option<u16>,
    pub rank: Rank,
    pub phase: Phase,
    /// Attempt that goes on at a stalled server while the current one is tried.
    pub stalled: Option<StalledAttempt>,
    pub attempts: u8,
    /// Backend servers that may have run the request, each once.
    pub ran: Vec<u32>,
    /// Backend servers that failed the request.
    pub tried: Vec<TriedServer>,
    /// Response to the last attempt.
    pub response: ResponseProgress,
    /// Whether any attempt may have run.
    pub may_have_run: bool,
    pub retry: Option<RetryReason>,
    /// Whether the attempt holds a suspect slot.
    pub as_suspect: bool,
    /// Trial of a blocked suspect that the request contains.
    pub trial: Option<TrialState>,
    /// Code of a refusal, if a newer configuration removed its service, model or adapter.
    pub withdrawn: Option<Code>,
    /// Whether it was forwarded to this host and so must not be forwarded again.
    pub no_forward: bool,
    /// Number of times that all data centres with the model refused it.
    pub forward_rounds: u8,
    /// Data centres that failed the request.
    pub tried_dcs: Vec<u16>,
    /// Number of denied slot requests.
    pub denials: u8,
    /// Time before which it is neither forwarded nor requests a suspect slot.
    pub not_before: Deadline,
    pub dispatched: Instant,
    /// Predicted time of the attempt for a slowdown of one, in seconds.
    pub baseline: f32,
    /// Predicted time to the first byte of the attempt, in seconds.
    pub expected: f32,
    /// Prefill time pending at the backend server until the first byte, in seconds.
    pub prefill_seconds: f32,
}

impl RequestEntry {
    /// Returns the current attempt and the one at a stalled server.
    pub(crate) fn attempts_in_progress(&self) -> impl Iterator<Item = AttemptInProgress> {
        let current = AttemptInProgress {
            phase: self.phase,
            dispatched: self.dispatched,
            response: self.response,
        };
        let stalled = self.stalled.map(|s| AttemptInProgress {
            phase: s.phase,
            dispatched: s.dispatched,
            response: s.response,
        });
        std::iter::once(current).chain(stalled)
    }

    /// Returns whether a backend server failed the request.
    pub(crate) fn is_tried(&self, backend: u32) -> bool {
        self.tried.iter().any(|t| t.backend == backend)
    }

    /// Records that a backend server failed the request.
    pub(crate) fn add_tried(&mut self, backend: u32, may_have_run: bool) {
        self.tried.push(TriedServer {
            backend,
            may_have_run,
            silent: false,
        });
        if may_have_run {
            self.add_run(backend);
        }
    }

    /// Records that a backend server was silent until another one took over.
    pub(crate) fn add_silent(&mut self, backend: u32) {
        self.tried.push(TriedServer {
            backend,
            may_have_run: true,
            silent: true,
        });
        self.add_run(backend);
    }

    /// Allows the backend servers that were only silent to get the request again.
    pub(crate) fn forget_silent(&mut self) {
        self.tried.retain(|t| !t.silent);
    }

    /// Allows a backend server that did not run the request to get it again.
    pub(crate) fn forget_tried(&mut self, backend: u32) {
        self.tried
            .retain(|t| t.backend != backend || t.may_have_run);
    }

    /// Records that a backend server may have run the request.
    pub(crate) fn add_run(&mut self, backend: u32) {
        if !self.ran.contains(&backend) {
            self.ran.push(backend);
        }
    }

    /// Returns whether a backend server may run the request within the limit of its route.
    pub(crate) fn may_run_on(&self, backend: u32) -> bool {
        let max = self.request.options.max_attempts.map(usize::from);
        max.is_none_or(|max| self.ran.len() < max || self.ran.contains(&backend))
    }
}

/// Requests by slot, with an index by id.
#[derive(Debug, Default)]
pub(crate) struct RequestTable {
    slots: Vec<Option<Box<RequestEntry>>>,
    free: Vec<u32>,
    index: Vec<(RequestId, u32)>,
}

impl RequestTable {
    pub(crate) fn find(&self, id: RequestId) -> Option<u32> {
        let at = self.index.binary_search_by_key(&id, |e| e.0).ok()?;
        Some(self.index[at].1)
    }

    /// Adds a request whose id must not be in the table.
    #[expect(
        clippy::cast_possible_truncation,
        reason = "the memory ends long before four billion requests"
    )]
    pub(crate) fn insert(&mut self, entry: RequestEntry) -> u32 {
        let id = entry.request.id;
        let entry = Some(Box::new(entry));
        let slot = if let Some(slot) = self.free.pop() {
            self.slots[slot as usize] = entry;
            slot
        } else {
            self.slots.push(entry);
            (self.slots.len() - 1) as u32
        };
        let at = self.index.partition_point(|e| e.0 < id);
        self.index.insert(at, (id, slot));
        slot
    }

    pub(crate) fn remove(&mut self, slot: u32) -> Option<Box<RequestEntry>> {
        let entry = self.slots.get_mut(slot as usize)?.take()?;
        self.free.push(slot);
        let id = entry.request.id;
        if let Ok(at) = self.index.binary_search_by_key(&id, |e| e.0) {
            self.index.remove(at);
        }
        Some(entry)
    }

    pub(crate) fn get(&self, slot: u32) -> Option<&RequestEntry> {
        self.slots.get(slot as usize)?.as_deref()
    }

    pub(crate) fn get_mut(&mut self, slot: u32) -> Option<&mut RequestEntry> {
        self.slots.get_mut(slot as usize)?.as_deref_mut()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (u32, &RequestEntry)> {
        let by_slot = self.index.iter().map(|e| e.1);
        by_slot.filter_map(|slot| self.get(slot).map(|f| (slot, f)))
    }

    pub(crate) fn slots(&self) -> Vec<u32> {
        self.index.iter().map(|e| e.1).collect()
    }

    pub(crate) fn len(&self) -> usize {
        self.index.len()
    }

    pub(crate) fn heap_bytes(&self) -> usize {
        self.slots.capacity() * size_of::<Option<Box<RequestEntry>>>()
            + self.free.capacity() * size_of::<u32>()
            + self.index.capacity() * size_of::<(RequestId, u32)>()
            + self.len() * size_of::<RequestEntry>()
    }
}
