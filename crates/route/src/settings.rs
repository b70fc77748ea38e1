//! Parameters of the router.

use types::{DataCentreId, Micros};

use crate::window::RetryLimits;

/// Latency that the estimate of a request to a model engine predicts.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LatencyMetric {
    /// Completion time, from the requests in flight and the learned slowdown.
    #[default]
    Completion,
    /// Time to first token, from the pending prompts and the cached prefixes.
    FirstToken,
}

/// Parameters of the router; every mechanism has its own switch.
#[derive(Clone, Debug, PartialEq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each mechanism has a switch of its own, so that a test can turn off exactly one"
)]
pub struct Settings {
    /// Data centre of this entry host; if absent, all backend servers can be selected.
    pub dc: Option<DataCentreId>,
    /// Data centre whose backend servers are preferred over others with similar estimates.
    pub preferred_dc: Option<DataCentreId>,
    /// Tokens per second that a worker of speed one generates at full load.
    pub base_tokens_per_second: f64,
    /// Batch size at which a worker reaches half of its full rate.
    pub half_rate_batch: f64,
    /// Cost of a prompt token relative to an output token.
    pub prompt_weight: f64,
    /// Number of random candidates to compare, drawn in proportion to their speed; zero compares
    /// all.
    pub sampled_candidates: u32,
    /// Latency that the estimate of a request to a model engine predicts.
    pub latency_metric: LatencyMetric,
    /// Prompt tokens per second that a worker with a slowdown of one processes.
    pub prefill_tokens_per_second: f64,
    /// Minimum time per output token, in seconds.
    pub min_seconds_per_token: f64,
    /// Factor by which the remaining time of a request must exceed its estimated completion time.
    pub deadline_margin: f64,
    /// Retries earned per success.
    pub retry_fraction: f64,
    /// Maximum balance of the retry budget, which is also the initial balance.
    pub retry_burst: f64,
    /// Retry limits shared by all hosts; if absent, successes earn retries.
    pub retry_limits: Option<RetryLimits>,
    /// Maximum number of dispatches per request, unless the request overrides it.
    pub max_attempts: u8,
    /// Interval after which the placement of a missing model or adapter is requested again.
    pub placement_retry_interval: Micros,
    /// Expected time to load a missing model; if absent, requests for missing models are refused.
    pub load_on_demand: Option<Micros>,
    /// Time for which a request that is confirmed as the cause of crashes is refused.
    pub confirmed_ttl: Micros,
    /// Timeout of a request for a suspect slot.
    pub slot_timeout: Micros,
    /// Half-life of the smoothed demand.
    pub demand_half_life: Micros,
    /// Whether a worker may get a request for an adapter that it does not hold.
    pub adapter_on_demand: bool,
    /// Whether requests that would miss their deadline are refused immediately.
    pub early_refusal: bool,
    /// Whether load reports are corrected by the requests sent since the measurement.
    pub report_correction: bool,
    /// Whether leaving and dead backend servers are excluded.
    pub liveness: bool,
    /// Whether the in-flight limits of backend servers are enforced.
    pub in_flight_limits: bool,
    /// Whether a non-idempotent request that may have run is never run again.
    pub at_most_once: bool,
    /// Whether requests in flight at a crash become suspects.
    pub suspects: bool,
    /// Whether a suspect runs only in a slot granted by a peer.
    ///
    /// Without slots, every request that was in flight at two crashes is confirmed as the cause.
    pub suspect_slots: bool,
    /// Whether the queue is ordered by priority and deadline instead of arrival.
    pub ordered_queue: bool,
    /// Whether the retry budget is enforced.
    pub retry_budget: bool,
    /// Whether cached prefixes lower the estimates.
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
