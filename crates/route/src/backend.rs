//! What this entry host knows of one backend server.

use types::{Deadline, Incarnation, Instant, Micros};

use crate::{event::Liveness, prefix::PrefixCache, slowdown::SlowdownStats};

/// Changes of the own count that are kept to correct a lagging report.
const HISTORY_LEN: usize = 32;
/// Spacing of the kept counts; together with [`HISTORY_LEN`] it covers reports up to 3.2 s late.
const HISTORY_STEP: Micros = Micros::from_millis(100);
/// Weight of one finished request in the learned pace.
const LEARNING_RATE: f32 = 0.1;
/// Weight of one attempt in the share of failed attempts.
const FAILURE_WEIGHT: f32 = 0.2;
/// Time in which that share halves while no request is sent.
const FAILURE_HALF_LIFE: Micros = Micros::from_secs(3);
/// Bounds of the learned pace relative to the configured speed.
const SLOWDOWN_RANGE: (f32, f32) = (0.02, 50.0);

/// Model on a backend server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Resident {
    /// Index of the model in the configuration.
    pub model: u16,
    /// Learned time relative to what the server's pace predicts.
    pub slowdown: f32,
    /// Since when it is known to be there.
    pub since: Instant,
}

/// Source of the knowledge that a server is leaving.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LeavingBy {
    /// The server itself said so; holds until its process restarts.
    Server,
    /// The platform's list; holds until the list says otherwise.
    Platform,
}

/// State of a backend server.
#[derive(Debug)]
pub(crate) struct Backend {
    /// Whether it is in this host's data centre.
    pub local: bool,
    /// Whether traffic to it leaves the preferred data centre.
    pub outside_preferred_dc: bool,
    pub service: u16,
    pub max_in_flight: u16,
    pub speed: f32,
    /// Life of the server process.
    pub incarnation: Option<Incarnation>,
    /// Last life that is known to have ended; views of it are out of date.
    pub ended_incarnation: Option<Incarnation>,
    pub liveness: Liveness,
    pub leaving_by: Option<LeavingBy>,
    /// Time until which the server is avoided after it refused work.
    pub cooldown_until: Deadline,
    /// Connection attempts that failed in a row, up to a bound.
    pub unreachable: u8,
    /// When the server last answered this host.
    pub last_response: Instant,
    /// Whether it owes this host an answer for too long.
    pub overdue: bool,
    /// Other hosts that take it to be out of reach.
    pub unreachable_reports: u16,
    /// Own requests in flight.
    pub own: u16,
    /// Own suspects among them.
    pub suspects: u16,
    /// Requests of other hosts, at the instant of the last measurement.
    pub others: u16,
    /// Seconds that the server needs to read the prompts of own requests that wait.
    pub own_work: f32,
    /// The same for requests of other hosts.
    pub others_work: f32,
    /// Share of recent attempts that failed, as of `failed_at`.
    failure_rate: f32,
    failed_at: Instant,
    /// Total of the last measurement.
    pub measured_total: u16,
    /// Instant of the last measurement.
    pub measured_at: Instant,
    pub tokens_per_second: f32,
    /// Learned time relative to the configured speed.
    pub slowdown: f32,
    /// What the pace was learned from, where it is pooled over all hosts.
    pub slowdown_stats: SlowdownStats,
    /// Models, sorted.
    pub residents: Vec<Resident>,
    /// Adapters, sorted.
    pub adapters: Vec<u16>,
    /// Check value of the last report's residents; zero before the first report.
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
            liveness: Liveness::Live,
            leaving_by: None,
            cooldown_until: Deadline::at(Instant::ZERO),
            unreachable: 0,
            last_response: Instant::ZERO,
            overdue: false,
            unreachable_reports: 0,
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
        self.liveness == Liveness::Live && self.cooldown_until.is_past(now)
    }

    /// Returns the estimated requests in flight over all hosts.
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

    /// Keeps the count that held until now, at most one per step.
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

    /// Returns the own requests in flight at an earlier instant.
    fn own_at(&self, at: Instant) -> u16 {
        let later = self.history.iter().find(|h| h.0 >= at);
        later.map_or(self.own, |h| h.1)
    }

    /// Takes a measurement of the total in flight, unless a newer one is known.
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

    /// Takes a view of one life of the process and tells whether it is up to date.
    ///
    /// A new life starts with an empty cache and is not leaving on its own account. Numbers of
    /// lives have no order, so only the age of the view tells an old life from a new one.
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
            self.prefixes.clear();
            if self.leaving_by == Some(LeavingBy::Server) {
                self.leaving_by = None;
            }
        }
        self.incarnation = Some(incarnation);
        true
    }

    /// Returns the share of recent attempts that failed; it halves while nothing fails.
    pub(crate) fn failure_rate(&self, now: Instant) -> f32 {
        let halvings = now.since(self.failed_at).as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64();
        #[expect(
            clippy::cast_possible_truncation,
            reason = "single precision suffices for a share"
        )]
        let factor = (-halvings).exp2() as f32;
        self.failure_rate * factor
    }

    /// Counts the end of an attempt.
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

    /// Learns from a finished request that took `ratio` times the prediction.
    pub(crate) fn learn(&mut self, model: Option<u16>, ratio: f32) {
        if !ratio.is_finite() || ratio <= 0.0 {
            return;
        }
        // A power of the ratio keeps one slow outlier from outweighing many ordinary requests.
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
