//! Serves many models on fewer accelerators.

use std::{env, process::ExitCode};

use celerytally::{cli, run};
use mimalloc::MiMalloc;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

#[tokio::main]
async fn main() -> ExitCode {
    let result = match cli::parse(env::args_os().skip(1)) {
        Ok(command) => run(command).await,
        Err(e) => Err(e),
    };
    result.unwrap_or_else(|e| {
        eprintln!("celerytally: {e}");
        ExitCode::from(e.category().exit_code())
    })
}
