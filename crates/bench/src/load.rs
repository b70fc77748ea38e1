//! Request arrivals of a load case, generated from a fixed seed.

use config::{Deployment, Priority};
use rand::{RngExt, SeedableRng, rngs::Xoshiro256PlusPlus};
use route::{Fingerprint, RoutingRequest, Target};
use types::{Deadline, Instant, Micros, RequestId};

use crate::spec::{Case, DeploymentSpec, PROMPT_WEIGHT, RUN_SECONDS};

/// Time step of the simulation.
pub const STEP: Micros = Micros::from_millis(10);
const BURST_SECONDS: u64 = 4;
const MEAN_OUTPUT_TOKENS: f64 = 115.0;
/// Weight added to each of four hot models, which together get about three fifths of the demand.
const HOT_WEIGHT: f64 = 3.0;

/// Step, entry host and request of an arrival; the deadline is relative to the arrival.
pub type Arrival = (u64, usize, RoutingRequest);

/// Returns the share of each model in the demand of a period.
fn demand_shares(case: Case, models: usize, period: u64, rng: &mut Xoshiro256PlusPlus) -> Vec<f64> {
    let second = period * BURST_SECONDS;
    let hot = |m: usize| (m as u64 + 25 - second / 20 * 4 % 25) % 25 < 4;
    let mut shares: Vec<f64> = (0..models)
        .map(|m| {
            let rank = (m * 7 + 3) % models;
            let burst = rng.random_range(-1.2_f64..1.2).exp();
            let base = burst / (1.0 + rank as f64).powf(0.7);
            if case == Case::HotSet && hot(m) {
                base + HOT_WEIGHT
            } else {
                base
            }
        })
        .collect();
    let total: f64 = shares.iter().sum();
    for share in &mut shares {
        *share /= total;
    }
    if case == Case::Tenfold && (28..76).contains(&second) {
        shares[models / 2] = 10.0 / models as f64;
    }
    shares
}

/// Generates the arrivals of a run.
pub fn arrivals(
    case: Case,
    seed: u64,
    spec: &DeploymentSpec,
    deployment: &Deployment,
    hosts: usize,
) -> Vec<Arrival> {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(1_400 + case as u64 + 100 * seed);
    let prompt = if case == Case::Prefixes {
        4_000.0
    } else {
        600.0
    };
    let rate = case.relative_load() * DeploymentSpec::capacity()
        / (MEAN_OUTPUT_TOKENS + PROMPT_WEIGHT * prompt);
    let per_step = rate * STEP.as_secs_f64();
    let steps_per_second = 1_000_000 / STEP.get();
    let mut all = Vec::new();
    let mut current = Vec::new();
    for step in 0..RUN_SECONDS * steps_per_second {
        if step % (BURST_SECONDS * steps_per_second) == 0 {
            let period = step / (BURST_SECONDS * steps_per_second);
            current = demand_shares(case, spec.models, period, &mut rng);
        }
        for (m, share) in current.iter().enumerate() {
            if rng.random::<f64>() < per_step * share {
                let request =
                    draw_request(case, deployment, m, prompt, all.len() as u128 + 1, &mut rng);
                all.push((step, rng.random_range(0..hosts), request));
            }
        }
    }
    all
}

fn draw_request(
    case: Case,
    deployment: &Deployment,
    m: usize,
    prompt: f64,
    id: u128,
    rng: &mut Xoshiro256PlusPlus,
) -> RoutingRequest {
    let model = &deployment.models[m];
    let adapters: Vec<_> = deployment
        .adapters
        .iter()
        .filter(|a| a.model == model.id)
        .collect();
    let adapter_probability = if case == Case::Adapters { 1.0 } else { 0.3 };
    let adapter = (rng.random::<f64>() < adapter_probability && !adapters.is_empty())
        .then(|| adapters[rng.random_range(0..adapters.len())].id.clone());
    let prefix_group: u64 = m as u64 * 100 + rng.random_range(0..3_u64);
    let prefixes = if case == Case::Prefixes {
        vec![prefix_group, prefix_group + 50]
    } else {
        Vec::new()
    };
    let priority = [0, 1, 1, 2][rng.random_range(0..4_usize)];
    let output = rng.random_range(30..200_u32);
    let seconds = 2.0 + 0.02 * f64::from(output);
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the values are small and positive"
    )]
    let (prompt, deadline) = (prompt as u32, (seconds * 1e6) as u64);
    RoutingRequest {
        id: RequestId::new(id),
        fingerprint: Fingerprint::new(id),
        service: "chat".parse().expect("a name"),
        target: Target::Model {
            model: model.id.clone(),
            adapter,
        },
        priority: Priority::new(priority),
        deadline: Deadline::at(Instant::from_micros(deadline)),
        idempotent: rng.random::<f64>() < 0.8,
        prompt_tokens: prompt,
        output_tokens: output,
        prefixes,
        forwarded: false,
        options: route::RequestOptions::default(),
    }
}
