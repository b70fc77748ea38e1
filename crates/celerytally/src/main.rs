//! Serves many models on fewer accelerators.

use std::{env, process::ExitCode};

use celerytally::{
    Category, Error, Result,
    cli::{self, Command},
    run,
};
use mimalloc::MiMalloc;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

fn main() -> ExitCode {
    let result = cli::parse(env::args_os().skip(1)).and_then(start);
    result.unwrap_or_else(|e| {
        eprintln!("celerytally: {e}");
        ExitCode::from(e.category().exit_code())
    })
}

/// Runs a command on a single-threaded runtime for `entry` and a multi-threaded one otherwise.
fn start(command: Command) -> Result<ExitCode> {
    // An entry host on the users' platform gets a fraction of one core, where worker threads only
    // add overhead.
    let mut builder = match command {
        Command::Entry => tokio::runtime::Builder::new_current_thread(),
        _ => tokio::runtime::Builder::new_multi_thread(),
    };
    let runtime = builder.enable_all().build();
    let runtime = runtime.map_err(|e| Error::new(Category::Internal, e))?;
    runtime.block_on(run(command))
}
