//! State of one backend server as known to this entry host.

use types::{Deadline, Incarnation, Instant, Micros};

use crate::{
    crash::probe::ProbeState, event::Liveness, prefix::PrefixCache, slowdown::SlowdownStats,
};

/// Number of past values of the own in-flight count, kept to correct delayed reports.
const HISTORY_LEN: usize = 32;
/// Interval between these values; with [`HISTORY_LEN`] it covers reports up to 3.2 s late.
const HISTORY_STEP: Micros = Micros::from_millis(100);
/// Learning rate of the slowdown: weight of one finished request.
const LEARNING_RATE: f32 = 0.1;
/// Weight of one attempt in the failure rate.
const FAILURE_WEIGHT: f32 = 0.2;
/// Time in which the failure rate halves while no attempt ends.
const FAILURE_HALF_LIFE: Micros = Micros::from_secs(3);
/// Bounds of the learned slowdown.
const SLOWDOWN_RANGE: (f32, f32) = (0.02, 50.0);

/// Model that is resident on a backend server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Resident {
    /// Index of the model in the configuration.
    pub model: u16,
    /// Learned slowdown relative to the slowdown of the server.
    pub slowdown: f32,
    /// Time since which the model is known to be resident.
    pub since: Instant,
}

/// Source of the information that a server is leaving.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LeavingBy {
    /// The server itself; valid until its process restarts.
    Server,
    /// The platform's list; valid until the list says otherwise.
    Platform,
}

/// State of a backend server.
#[derive(Debug)]
pub(crate) struct Backend {
    /// Whether the server is in the data centre of this host.
    pub local: bool,
    /// Whether the server is outside the preferred data centre.
    pub outside_preferred_dc: bool,
    pub service: u16,
    pub max_in_flight: u16,
    pub speed: f32,
    /// Incarnation of the server process.
    pub incarnation: Option<Incarnation>,
    /// Last incarnation that is known to have ended; reports of it are outdated.
    pub ended_incarnation: Option<Incarnation>,
    /// Probes after the server seemed to crash.
    pub probe: ProbeState,
    /// Incarnation of the last registration.
    pub registered_incarnation: Option<Incarnation>,
    pub liveness: Liveness,
    pub leaving_by: Option<LeavingBy>,
    /// Earliest time at which the process may be terminated, whatever it runs.
    pub terminates_at: Deadline,
    /// Time until which the server gets no work after it refused a request or could not be reached.
    pub cooldown_until: Deadline,
    /// Time until which the server wants no requests from this host.
    pub held_off_until: Deadline,
    /// Consecutive failed connection attempts, up to a bound.
    pub unreachable: u8,
    /// Time of the last response from the server to this host.
    pub last_response: Instant,
    /// Whether a response to this host is overdue.
    pub overdue: bool,
    /// Time at which the connection of an attempt broke, if the server has not responded to this host since.
    pub lost_response: Option<Instant>,
    /// Number of other hosts that report the server as unreachable.
    pub unreachable_reports: u16,
    /// Number of other hosts that lost the last response of the server.
    pub lost_reports: u16,
    /// Number of other hosts to which the server has responded a short time ago.
    pub response_reports: u16,
    /// Requests of this host in flight.
    pub own: u16,
    /// Suspect requests among them.
    pub suspects: u16,
    /// Requests of other hosts in flight at the time of the last measurement.
    pub others: u16,
    /// Prefill time of the pending requests of this host, in seconds.
    pub own_work: f32,
    /// Prefill time of the pending requests of other hosts, in seconds.
    pub others_work: f32,
    /// Failure rate of recent attempts as of `failed_at`.
    failure_rate: f32,
    failed_at: Instant,
    /// Total in flight at the last measurement.
    pub measured_total: u16,
    /// Time of the last measurement.
    pub measured_at: Instant,
    pub tokens_per_second: f32,
    /// Learned slowdown relative to the configured speed.
    pub slowdown: f32,
    /// Samples behind the slowdown when it is pooled over all hosts.
    pub slowdown_stats: SlowdownStats,
    /// Resident models, sorted by index.
    pub residents: Vec<Resident>,
    /// Resident adapters, sorted by index.
    pub adapters: Vec<u16>,
    /// Checksum of the residents in the last report; zero before the first report.
    pub residents_checksum: u16,
    pub prefixes: PrefixCache,
    history: Vec<(Instant, u16)>,
}

impl Backend {
    pub(crate) fn new() -> Self {
        Self {
            local: false,
            outside_preferred_dc: false,
            service: 0,
            max_in_flight: 1,
            speed: 1.0,
            incarnation: None,
            ended_incarnation: None,
            probe: ProbeState::None,
            registered_incarnation: None,
            liveness: Liveness::Live,
            leaving_by: None,
            terminates_at: Deadline::NEVER,
            cooldown_until: Deadline::at(Instant::ZERO),
            held_off_until: Deadline::at(Instant::ZERO),
            unreachable: 0,
            last_response: Instant::ZERO,
            overdue: false,
            lost_response: None,
            unreachable_reports: 0,
            lost_reports: 0,
            response_reports: 0,
            own: 0,
            suspects: 0,
            others: 0,
            own_work: 0.0,
            others_work: 0.0,
            failure_rate: 0.0,
            failed_at: Instant::ZERO,
            measured_total: 0,
            measured_at: Instant::ZERO,
            tokens_per_second: 0.0,
            slowdown: 1.0,
            slowdown_stats: SlowdownStats::default(),
            residents: Vec::new(),
            adapters: Vec::new(),
            residents_checksum: 0,
            prefixes: PrefixCache::default(),
            history: Vec::new(),
        }
    }

    pub(crate) fn takes_work(&self, now: Instant) -> bool {
        self.liveness == Liveness::Live
            && self.cooldown_until.is_past(now)
            && self.held_off_until.is_past(now)
            && !self.awaits_probe_response()
    }

    /// Returns the estimated number of requests in flight from all hosts.
    pub(crate) fn in_flight(&self, corrected: bool) -> u16 {
        if corrected {
            self.own.saturating_add(self.others)
        } else {
            self.measured_total
        }
    }

    pub(crate) fn add_own(&mut self, now: Instant) {
        self.record_history(now);
        self.own = self.own.saturating_add(1);
    }

    pub(crate) fn remove_own(&mut self, now: Instant) {
        self.record_history(now);
        self.own = self.own.saturating_sub(1);
    }

    /// Records the count before a change, at most once per [`HISTORY_STEP`].
    fn record_history(&mut self, now: Instant) {
        let due = self
            .history
            .last()
            .is_none_or(|last| now.since(last.0) >= HISTORY_STEP);
        if due {
            if self.history.len() == HISTORY_LEN {
                self.history.remove(0);
            }
            self.history.push((now, self.own));
        }
    }

    /// Returns the number of own requests in flight at an earlier time.
    fn own_at(&self, at: Instant) -> u16 {
        let later = self.history.iter().find(|h| h.0 >= at);
        later.map_or(self.own, |h| h.1)
    }

    /// Applies a measurement of the total in flight, unless a newer one is known.
    pub(crate) fn measure(&mut self, total: u32, at: Instant) -> bool {
        if at < self.measured_at {
            return false;
        }
        let total = u16::try_from(total).unwrap_or(u16::MAX);
        self.measured_at = at;
        self.measured_total = total;
        self.others = total.saturating_sub(self.own_at(at));
        true
    }

    /// Applies the incarnation of a report and returns whether the report is current.
    ///
    /// A new incarnation starts with an empty cache and without the failures and the learned slowdown of
    /// the last one, and it is not leaving by its own account.
    /// Incarnation numbers are not ordered, so only the age of a report tells an old incarnation
    /// from a new one.
    pub(crate) fn accept_incarnation(&mut self, incarnation: Incarnation, at: Instant) -> bool {
        if self.ended_incarnation == Some(incarnation) {
            return false;
        }
        if self.incarnation == Some(incarnation) {
            return true;
        }
        if at < self.measured_at {
            return false;
        }
        if self.incarnation.is_some() {
            self.ended_incarnation = self.incarnation;
            self.probe = ProbeState::None;
            self.terminates_at = Deadline::NEVER;
            self.prefixes.clear();
            self.held_off_until = Deadline::at(Instant::ZERO);
            self.cooldown_until = Deadline::at(Instant::ZERO);
            self.unreachable = 0;
            self.failure_rate = 0.0;
            self.overdue = false;
            self.lost_response = None;
            self.slowdown = 1.0;
            self.slowdown_stats = SlowdownStats::default();
            if self.leaving_by == Some(LeavingBy::Server) {
                self.leaving_by = None;
            }
        }
        self.incarnation = Some(incarnation);
        true
    }

    /// Applies the incarnation of a registration and returns whether the registration is current.
    ///
    /// Registrations follow the order of the platform. One of an ended incarnation is outdated as
    /// long as the platform shows no other one; after another one it is newer, and the one between
    /// was not the server's own.
    pub(crate) fn accept_registration(&mut self, incarnation: Incarnation, now: Instant) -> bool {
        let last = self.registered_incarnation.replace(incarnation);
        let is_changed = last.is_some_and(|last| last != incarnation);
        if is_changed && self.ended_incarnation == Some(incarnation) {
            self.ended_incarnation = None;
        }
        self.accept_incarnation(incarnation, now)
    }

    /// Returns the failure rate of recent attempts, which decays while no attempt ends.
    pub(crate) fn failure_rate(&self, now: Instant) -> f32 {
        let halvings = now.since(self.failed_at).as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64();
        #[expect(
            clippy::cast_possible_truncation,
            reason = "single precision suffices for a share"
        )]
        let factor = (-halvings).exp2() as f32;
        self.failure_rate * factor
    }

    /// Adds the outcome of an attempt to the failure rate.
    pub(crate) fn record_attempt(&mut self, failed: bool, now: Instant) {
        let outcome = f32::from(u8::from(failed));
        if !failed {
            self.unreachable = 0;
        }
        self.failure_rate =
            self.failure_rate(now) * (1.0 - FAILURE_WEIGHT) + outcome * FAILURE_WEIGHT;
        self.failed_at = now;
    }

    pub(crate) fn set_leaving(&mut self, by: LeavingBy) {
        self.liveness = Liveness::Leaving;
        self.leaving_by = Some(by);
    }

    pub(crate) fn resident(&self, model: u16) -> Option<usize> {
        self.residents
            .binary_search_by_key(&model, |r| r.model)
            .ok()
    }

    pub(crate) fn model_slowdown(&self, model: u16) -> f32 {
        self.resident(model)
            .map_or(1.0, |at| self.residents[at].slowdown)
    }

    /// Updates the slowdown from a request that took `ratio` times the estimate.
    pub(crate) fn learn(&mut self, model: Option<u16>, ratio: f32) {
        if !ratio.is_finite() || ratio <= 0.0 {
            return;
        }
        // The power limits the weight of a single slow outlier.
        self.slowdown =
            (self.slowdown * ratio.powf(LEARNING_RATE)).clamp(SLOWDOWN_RANGE.0, SLOWDOWN_RANGE.1);
        if let Some(at) = model.and_then(|m| self.resident(m)) {
            let step = ratio.powf(LEARNING_RATE / 2.0);
            let slowdown = &mut self.residents[at].slowdown;
            *slowdown = (*slowdown * step).clamp(SLOWDOWN_RANGE.0, SLOWDOWN_RANGE.1);
        }
    }

    pub(crate) fn heap_bytes(&self) -> usize {
        self.residents.capacity() * size_of::<Resident>()
            + self.adapters.capacity() * size_of::<u16>()
            + self.history.capacity() * size_of::<(Instant, u16)>()
            + self.prefixes.heap_bytes()
    }
}
