//! Table of the measures and the goals that they must meet.

use std::fmt::Write;

use crate::{
    policy::{Place, Route},
    spec::{Case, Spec},
    world::{Measures, run},
};

/// Results of one case on one deployment.
pub struct Row {
    spec: Spec,
    case: Case,
    real: Measures,
    baselines: Vec<(Place, Route, Measures)>,
}

/// Goal that is not met.
pub struct Fault {
    pub name: String,
    pub seen: String,
}

impl Row {
    pub fn run(spec: &Spec, case: Case) -> Self {
        let mut baselines = Vec::new();
        for place in Place::BASELINES {
            for route in Route::BASELINES {
                baselines.push((place, route, run(spec, case, route, place)));
            }
        }
        Self {
            spec: spec.clone(),
            case,
            real: run(spec, case, Route::Real, Place::Real),
            baselines,
        }
    }

    fn best(&self) -> &(Place, Route, Measures) {
        let by = |a: &&(Place, Route, Measures), b: &&(Place, Route, Measures)| {
            a.2.attainment().total_cmp(&b.2.attainment())
        };
        self.baselines
            .iter()
            .max_by(by)
            .expect("there are baselines")
    }

    /// Moves of the baseline with least recently used eviction that attains most.
    fn lru_moves(&self) -> u64 {
        let lru = self.baselines.iter().filter(|b| b.0 == Place::Lru);
        let best = lru.max_by(|a, b| a.2.attainment().total_cmp(&b.2.attainment()));
        best.map_or(0, |b| b.2.moves)
    }

    fn ratio(&self) -> f64 {
        self.real.attainment() / self.best().2.attainment().max(f64::MIN_POSITIVE)
    }

    /// Goals of the design page that this row does not meet.
    pub fn faults(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        let mut check = |met: bool, goal: &str, seen: String| {
            if !met {
                let slug = |s: &str| s.to_lowercase().replace(' ', "-");
                let (spec, case) = (slug(self.spec.name), slug(self.case.name()));
                let name = format!("bench goals {spec}/{case}/{goal}");
                faults.push(Fault { name, seen });
            }
        };
        let bound = if self.spec.name == "Te Awa" && self.case.is_demanding() {
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
            let (moves, lru) = (self.real.moves, self.lru_moves());
            check(
                moves * 3 <= lru,
                "moves",
                format!("{moves} of a third of {lru}"),
            );
        }
        let without = self.real.without_copy;
        check(
            without == 0.0,
            "reachability",
            format!("{without:.2} s without a copy"),
        );
        let loads = self.real.adapter_loads;
        let limit = self.spec.adapter_limit as usize;
        check(
            loads <= limit,
            "adapter loads",
            format!("{loads} in flight"),
        );
        faults
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
        let (place, route, best) = row.best();
        let real = &row.real;
        let by: Vec<String> = real
            .by_priority
            .iter()
            .map(|p| format!("{:.3}", p.1 as f64 / (p.0 as f64).max(1.0)))
            .collect();
        let refused: Vec<String> = real
            .refused
            .iter()
            .map(|(code, n)| format!("{} {n}", code.number()))
            .collect();
        let _infallible = writeln!(
            s,
            "| {} | {} | {:.3} | {:.4} | {} | {} + {} | {:.3} | {:.2} | {} | {} | {} | {} | {} | {:.2} |",
            row.spec.name,
            row.case.name(),
            real.attainment(),
            real.attainment() / Spec::accelerators(),
            by.join(" / "),
            place.name(),
            route.name(),
            best.attainment(),
            row.ratio(),
            real.moves,
            row.lru_moves(),
            refused.join(", "),
            real.retries,
            real.adapter_loads,
            real.without_copy,
        );
    }
    s
}
