//! Entry host and operator commands of celerytally.
//!
//! The binary is thin: [`cli::parse`] turns the command line into a [`cli::Command`], and [`run`]
//! performs it. Everything else lives in the crates that it wires together.
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

pub mod cli;
mod entry;
mod error;
mod facts;
mod follow;
mod hints;
mod host;
mod links;
mod operator;
mod poll;
mod serve;
mod share;
mod sweep;

use std::process::ExitCode;

pub use error::{Category, Error, Result};

use crate::cli::Command;

/// Performs a command and returns the exit code of the process.
///
/// # Errors
///
/// The category of the error decides the exit code.
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
