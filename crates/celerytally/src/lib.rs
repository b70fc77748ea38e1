//! Entry host and operator commands of celerytally.
//!
//! The binary calls [`cli::parse`], which turns the command line into a [`cli::Command`], and
//! [`run`], which executes it. The logic is in the other crates of the workspace, which this one
//! connects.
//!
//! ```
//! use celerytally::cli::{Command, parse};
//!
//! let command = parse(["check".into(), "deployment.toml".into()])?;
//! assert_eq!(
//!     command,
//!     Command::Check {
//!         file: "deployment.toml".into(),
//!         json: false
//!     }
//! );
//! # Ok::<(), celerytally::Error>(())
//! ```

mod cache_events;
pub mod cli;
mod entry;
mod error;
mod host;
mod integration;
mod operator;
mod poll;
mod publish;
mod reporter;
mod serve;
mod sweep;
mod updates;

use std::process::ExitCode;

pub use error::{Category, Error, Result};

use crate::cli::Command;

/// Executes a command and returns the exit code of the process.
///
/// # Errors
///
/// [`Category::exit_code`] gives the exit code of the process for the error.
pub async fn run(command: Command) -> Result<ExitCode> {
    match command {
        Command::Serve { settings } => serve::serve(&settings).await,
        Command::Entry => entry::run().await,
        Command::Check { file, json } => operator::check(&file, json),
        Command::Plan { file, access, json } => operator::plan(&file, &access, json).await,
        Command::Apply {
            file,
            access,
            if_version,
            author,
            json,
        } => operator::apply(&file, &access, if_version, &author, json).await,
        Command::Status { access, json } => operator::status(&access, json).await,
        Command::Report {
            host,
            token_file,
            json,
        } => operator::report(host, token_file.as_deref(), json).await,
        Command::Print(text) => {
            print!("{text}");
            Ok(ExitCode::SUCCESS)
        }
    }
}
