//! Stand-ins and scenarios of the review. Usage: `kit CASE FOLDER [TROUBLE]`, from the root of the
//! checkout. With 0 as the last argument, the case runs without its disruption.
//!
//! Ends with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod case_board;
mod case_caller;
mod case_cut;
mod case_leaving;
mod case_part;
mod case_shared;
mod json;
mod net;
mod proxy;
mod site;
mod store;
mod worker;

use std::{
    env, fs, process, thread,
    time::{Duration, Instant},
};

/// Longest time of a case.
const LIMIT: Duration = Duration::from_secs(115);

/// Text of `record.txt`.
pub struct Record {
    started: Instant,
    lines: Vec<String>,
}

impl Record {
    pub fn add(&mut self, line: impl AsRef<str>) {
        let line = format!(
            "{:8.3} s  {}",
            self.started.elapsed().as_secs_f64(),
            line.as_ref()
        );
        println!("{line}");
        self.lines.push(line);
    }
}

/// Outcome of a case.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() {
    let args: Vec<String> = env::args().collect();
    let (case, rest) = (
        args.get(1).map_or("", String::as_str),
        args.get(2..).unwrap_or_default(),
    );
    if case == "worker" {
        return worker::run(rest);
    }
    let trouble = rest.get(1).is_none_or(|t| t != "0");
    let folder = rest.first().cloned().unwrap_or_else(|| ".".to_owned());
    thread::spawn(|| {
        thread::sleep(LIMIT);
        site::kill_all();
        process::exit(2);
    });
    let mut record = Record {
        started: Instant::now(),
        lines: Vec::new(),
    };
    record.add(format!("case {case}, with the disruption: {trouble}"));
    let verdict = match case {
        "leaving" => case_leaving::run(trouble, &mut record),
        "board" => case_board::run(trouble, &mut record),
        "shared" => case_shared::run(trouble, &mut record),
        "caller" => case_caller::run(trouble, &mut record),
        "cut" => case_cut::run(trouble, &mut record),
        // Without the disruption no host is killed.
        "forgotten" => case_part::run(trouble, true, 2, &mut record),
        // Without the disruption the part crashes no worker. PLACE is the number of parts before it.
        "far" => {
            let place = env::var("PLACE").ok().and_then(|p| p.parse().ok());
            case_part::run(false, trouble, place.unwrap_or(36), &mut record)
        }
        _ => Verdict::NotRun,
    };
    let (code, text) = match verdict {
        Verdict::Held => (0, "the rule held"),
        Verdict::Broken => (1, "the rule was broken"),
        Verdict::NotRun => (2, "the case could not run"),
    };
    record.add(text);
    drop(fs::write(
        format!("{folder}/record.txt"),
        record.lines.join("\n") + "\n",
    ));
    site::kill_all();
    process::exit(code);
}
