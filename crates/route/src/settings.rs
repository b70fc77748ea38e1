//! Parameters of the router.

use types::{DataCentreId, Micros};

use crate::window::RetryLimits;

/// What the estimate of a request to a model engine aims at.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LatencyMetric {
    /// The end of the answer, from requests in flight and learned speed.
    #[default]
    Completion,
    /// The first token, from the prompts that wait to be read and the cached prefixes.
    FirstToken,
}

/// Parameters of the router, with one switch for each mechanism.
#[derive(Clone, Debug, PartialEq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each mechanism has a switch of its own, so that a test can turn off exactly one"
)]
pub struct Settings {
    /// Data centre of this entry host; without one, every backend server is in reach.
    pub dc: Option<DataCentreId>,
    /// Data centre whose backend servers are preferred where others would serve as fast.
    pub preferred_dc: Option<DataCentreId>,
    /// Tokens a second that a worker of speed one generates at full load.
    pub base_tokens_per_second: f64,
    /// Requests in a batch at which a worker reaches half of its full rate.
    pub half_rate_batch: f64,
    /// Work of a prompt token relative to an output token.
    pub prompt_weight: f64,
    /// Random candidates that are compared, drawn by speed; zero compares all.
    pub sampled_candidates: u32,
    /// What the estimate of a request to a model engine aims at.
    pub latency_metric: LatencyMetric,
    /// Prompt tokens a second that a worker of pace one reads.
    pub prefill_tokens_per_second: f64,
    /// Seconds that an output token takes at least.
    pub min_seconds_per_token: f64,
    /// Share of its estimated finish time that a request must have left to be admitted.
    pub deadline_margin: f64,
    /// Retries that one success earns.
    pub retry_fraction: f64,
    /// Retries that may be saved up, and the number that a new router starts with.
    pub retry_burst: f64,
    /// Budget of repeated requests that all hosts share; without one, successes earn retries.
    pub retry_limits: Option<RetryLimits>,
    /// Dispatches of one request at most, unless the request says otherwise.
    pub max_attempts: u8,
    /// Time after which a model or adapter that is still missing is asked for again.
    pub placement_retry_interval: Micros,
    /// Time in which a missing model is loaded; without one, its requests are refused.
    pub load_on_demand: Option<Micros>,
    /// Time for which a convicted request is refused.
    pub confirmed_ttl: Micros,
    /// Time to wait for the answer to a question for a suspect slot.
    pub slot_timeout: Micros,
    /// Time in which the smoothed demand halves without arrivals.
    pub demand_half_life: Micros,
    /// Whether a worker may get a request for an adapter that it does not hold.
    pub adapter_on_demand: bool,
    /// Whether requests that can't meet their deadline are refused at once.
    pub early_refusal: bool,
    /// Whether load reports are corrected by the requests sent since they were measured.
    pub report_correction: bool,
    /// Whether leaving and dead backend servers are left out.
    pub liveness: bool,
    /// Whether the limit of requests in flight per backend server holds.
    pub in_flight_limits: bool,
    /// Whether a non-idempotent request that may have run is kept from running again.
    pub at_most_once: bool,
    /// Whether requests that were in flight at a crash are treated as suspects.
    pub suspects: bool,
    /// Whether a suspect runs only in a slot that peers grant.
    ///
    /// Without slots, every request that was in flight at two crashes is convicted.
    pub suspect_slots: bool,
    /// Whether the queue is ordered by priority and deadline instead of arrival.
    pub ordered_queue: bool,
    /// Whether the retry budget holds.
    pub retry_budget: bool,
    /// Whether prefix hints count.
    pub prefix_hints: bool,
    /// Whether requests are forwarded to other data centres.
    pub forwarding: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            dc: None,
            preferred_dc: None,
            base_tokens_per_second: 1_000.0,
            half_rate_batch: 4.0,
            prompt_weight: 0.05,
            sampled_candidates: 3,
            latency_metric: LatencyMetric::Completion,
            prefill_tokens_per_second: 44_000.0,
            min_seconds_per_token: 0.004,
            deadline_margin: 1.4,
            retry_fraction: 0.1,
            retry_burst: 10.0,
            retry_limits: None,
            max_attempts: 3,
            placement_retry_interval: Micros::from_secs(1),
            load_on_demand: None,
            confirmed_ttl: Micros::from_secs(600),
            slot_timeout: Micros::from_secs(1),
            demand_half_life: Micros::from_secs(6),
            adapter_on_demand: false,
            early_refusal: true,
            report_correction: true,
            liveness: true,
            in_flight_limits: true,
            at_most_once: true,
            suspects: true,
            suspect_slots: true,
            ordered_queue: true,
            retry_budget: true,
            prefix_hints: true,
            forwarding: true,
        }
    }
}
