//! Results table and goals.

use std::fmt::Write;

use crate::{
    policy::{PlacementKind, RoutingKind},
    simulation::{Metrics, run},
    spec::{Case, DeploymentSpec},
};

/// Results of one case on one deployment.
pub struct Row {
    spec: DeploymentSpec,
    case: Case,
    production: Metrics,
    baselines: Vec<(PlacementKind, RoutingKind, Metrics)>,
}

/// Goal that the results do not meet.
pub struct UnmetGoal {
    pub name: String,
    pub measured: String,
}

impl Row {
    pub fn run(spec: &DeploymentSpec, case: Case) -> Self {
        let mut baselines = Vec::new();
        for place in PlacementKind::BASELINES {
            for route in RoutingKind::BASELINES {
                baselines.push((place, route, run(spec, case, route, place)));
            }
        }
        Self {
            spec: spec.clone(),
            case,
            production: run(
                spec,
                case,
                RoutingKind::Production,
                PlacementKind::Production,
            ),
            baselines,
        }
    }

    fn best_baseline(&self) -> &(PlacementKind, RoutingKind, Metrics) {
        let by_attainment =
            |a: &&(PlacementKind, RoutingKind, Metrics),
             b: &&(PlacementKind, RoutingKind, Metrics)| {
                a.2.attainment().total_cmp(&b.2.attainment())
            };
        self.baselines
            .iter()
            .max_by(by_attainment)
            .expect("there are baselines")
    }

    /// Returns the moves of the LRU baseline with the highest attainment.
    fn lru_moves(&self) -> u64 {
        let lru = self.baselines.iter().filter(|b| b.0 == PlacementKind::Lru);
        let best = lru.max_by(|a, b| a.2.attainment().total_cmp(&b.2.attainment()));
        best.map_or(0, |b| b.2.moves)
    }

    fn ratio(&self) -> f64 {
        self.production.attainment() / self.best_baseline().2.attainment().max(f64::MIN_POSITIVE)
    }

    /// Returns the goals of the design page that this row does not meet.
    pub fn unmet_goals(&self) -> Vec<UnmetGoal> {
        let mut unmet_goals = Vec::new();
        let mut check = |met: bool, goal: &str, measured: String| {
            if !met {
                let slug = |s: &str| s.to_lowercase().replace(' ', "-");
                let (spec, case) = (slug(self.spec.name), slug(self.case.name()));
                let name = format!("bench goals {spec}/{case}/{goal}");
                unmet_goals.push(UnmetGoal { name, measured });
            }
        };
        let bound = if self.spec.name == "Te Awa" && self.case.has_raised_goal() {
            1.25
        } else {
            1.0
        };
        let ratio = self.ratio();
        check(
            ratio >= bound,
            "attainment",
            format!("{ratio:.3} of {bound}"),
        );
        if self.spec.name == "Nour Linen" {
            let (moves, lru) = (self.production.moves, self.lru_moves());
            check(
                moves * 3 <= lru,
                "moves",
                format!("{moves} of a third of {lru}"),
            );
        }
        let outage = self.production.longest_outage_seconds;
        check(
            outage == 0.0,
            "reachability",
            format!("{outage:.2} s without a copy"),
        );
        let loads = self.production.adapter_loads;
        let limit = self.spec.adapter_limit as usize;
        check(
            loads <= limit,
            "adapter loads",
            format!("{loads} in flight"),
        );
        unmet_goals
    }
}

/// Renders the rows as Markdown.
pub fn render(rows: &[Row]) -> String {
    let mut s = String::from(
        "| deployment | case | attained | per accelerator | by priority 0 / 1 / 2 | best baseline \
         | its attainment | ratio | moves | moves of LRU | refusals by code | retries \
         | adapter loads at most | s without a copy |\n",
    );
    s.push_str(&"| --- ".repeat(14));
    s.push_str("|\n");
    for row in rows {
        let (place, route, best) = row.best_baseline();
        let production = &row.production;
        let by: Vec<String> = production
            .by_priority
            .iter()
            .map(|p| format!("{:.3}", p.1 as f64 / (p.0 as f64).max(1.0)))
            .collect();
        let refused: Vec<String> = production
            .refused
            .iter()
            .map(|(code, n)| format!("{} {n}", code.number()))
            .collect();
        let _infallible = writeln!(
            s,
            "| {} | {} | {:.3} | {:.4} | {} | {} + {} | {:.3} | {:.2} | {} | {} | {} | {} | {} | {:.2} |",
            row.spec.name,
            row.case.name(),
            production.attainment(),
            production.attainment() / DeploymentSpec::accelerators(),
            by.join(" / "),
            place.name(),
            route.name(),
            best.attainment(),
            row.ratio(),
            production.moves,
            row.lru_moves(),
            refused.join(", "),
            production.retries,
            production.adapter_loads,
            production.longest_outage_seconds,
        );
    }
    s
}
