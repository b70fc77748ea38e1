//! Development tasks: demo, test, bench, soak and ci.

mod capacity;
mod demo;
mod design_size;
mod known_red;
mod soak;
mod steps;
mod test;
mod traffic;

use std::process::ExitCode;

use lexopt::{Arg, Parser, ValueExt};

const USAGE: &str = "usage: cargo xtask demo [--deployment te-awa|nour] [--keep] | test | \
    bench [--check] | capacity | soak [--seeds N | --seed S | --minutes M] | ci";

#[derive(Default)]
struct Args {
    task: String,
    deployment: Option<String>,
    keep: bool,
    check: bool,
    soak: soak::SeedSelection,
}

/// Error message of a failed task.
type Failure = String;

fn parse() -> Result<Args, lexopt::Error> {
    let mut args = Args::default();
    let mut parser = Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Value(task) if args.task.is_empty() => args.task = task.string()?,
            Arg::Long("deployment") => args.deployment = Some(parser.value()?.string()?),
            Arg::Long("keep") => args.keep = true,
            Arg::Long("check") => args.check = true,
            Arg::Long("seed") => args.soak.seed = Some(parser.value()?.parse()?),
            Arg::Long("seeds") => args.soak.count = Some(parser.value()?.parse()?),
            Arg::Long("minutes") => args.soak.minutes = Some(parser.value()?.parse()?),
            other => return Err(other.unexpected()),
        }
    }
    Ok(args)
}

fn run(args: &Args) -> Result<(), Failure> {
    match args.task.as_str() {
        "demo" => demo::run(args.deployment.as_deref().unwrap_or("te-awa"), args.keep),
        "test" => test::run(),
        "bench" => steps::bench(args.check),
        "capacity" => capacity::run(),
        "soak" => soak::run(args.soak),
        "ci" => steps::ci(),
        _ => Err(USAGE.to_owned()),
    }
}

fn main() -> ExitCode {
    let result = match parse() {
        Ok(args) => run(&args),
        Err(e) => Err(format!("{e}; {USAGE}")),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("xtask: {e}");
            ExitCode::FAILURE
        }
    }
}
