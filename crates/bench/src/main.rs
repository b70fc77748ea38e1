//! Policy bench: routing and placement against simple baselines in virtual time.
//!
//! Prints one Markdown table that is the same on every run. With `--check` it fails if a goal of
//! the design page is not met and the entry is not listed in `KNOWN-RED.txt`. Any other argument
//! selects the cases whose names contain it.

mod control;
mod engine;
mod load;
mod policy;
mod simulation;
mod spec;
mod table;
mod worker;

use std::process::ExitCode;

use crate::{
    spec::{Case, specs},
    table::Row,
};

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let check = args.iter().any(|a| a == "--check");
    let selected = |case: Case| {
        let mut filters = args.iter().filter(|a| *a != "--check").peekable();
        filters.peek().is_none() || filters.any(|w| case.name().contains(w.as_str()))
    };
    let mut threads = Vec::new();
    for spec in specs() {
        for case in Case::ALL.into_iter().filter(|c| selected(*c)) {
            let spec = spec.clone();
            threads.push(std::thread::spawn(move || Row::run(&spec, case)));
        }
    }
    let rows: Vec<Row> = threads
        .into_iter()
        .map(|thread| thread.join().expect("a case does not panic"))
        .collect();
    print!("{}", table::render(&rows));
    let known = std::fs::read_to_string("KNOWN-RED.txt").unwrap_or_default();
    let names = known.lines().filter_map(|line| line.split('|').next());
    let mut known: Vec<&str> = names.map(str::trim).collect();
    known.retain(|name| name.starts_with("bench goals "));
    let mut failed = false;
    for goal in rows.iter().flat_map(Row::unmet_goals) {
        let at = known.iter().position(|name| *name == goal.name);
        let listed = at.map(|at| known.remove(at)).is_some();
        println!(
            "\n{}{}: {}",
            if listed { "known " } else { "" },
            goal.name,
            goal.measured
        );
        failed |= !listed;
    }
    // The goals of cases that did not run cannot be checked.
    known.retain(|_| args.iter().all(|a| a == "--check"));
    for name in known {
        println!("\n{name} is met: remove it from KNOWN-RED.txt");
        failed = true;
    }
    ExitCode::from(u8::from(check && failed))
}
