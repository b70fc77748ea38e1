//! Command line parser.

use std::{ffi::OsString, net::SocketAddr, path::PathBuf};

use lexopt::{
    Arg::{Long, Short, Value},
    Parser, ValueExt,
};
use types::ConfigVersion;

use crate::error::{Error, Result};

/// Command that the command line selects.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Run an entry host.
    Serve {
        /// File that holds the settings of the host.
        settings: PathBuf,
    },
    /// Run an entry host on the users' platform, with the settings that the environment names.
    Entry,
    /// Check a deployment file.
    Check {
        /// The file.
        file: PathBuf,
        /// Whether the output is JSON.
        json: bool,
    },
    /// Show which models applying a file would load and unload.
    Plan {
        /// The file.
        file: PathBuf,
        /// How to reach the platform.
        access: PlatformAccess,
        /// Whether the output is JSON.
        json: bool,
    },
    /// Apply a file as the configuration of the deployment.
    Apply {
        /// The file.
        file: PathBuf,
        /// How to reach the platform.
        access: PlatformAccess,
        /// Version that must be in force, or else the command fails with a conflict.
        if_version: Option<ConfigVersion>,
        /// Name of the operator, which is shown to others whose apply conflicts.
        author: String,
        /// Whether the output is JSON.
        json: bool,
    },
    /// Show the configuration version on the platform and the controllers.
    Status {
        /// How to reach the platform.
        access: PlatformAccess,
        /// Whether the output is JSON.
        json: bool,
    },
    /// Show the report of an entry host.
    Report {
        /// Address of the entry host.
        host: SocketAddr,
        /// File that holds the operators' token, which the JSON report may need.
        token_file: Option<PathBuf>,
        /// Whether the output is JSON.
        json: bool,
    },
    /// Print a text and exit.
    Print(&'static str),
}

/// Address and credentials with which an operator's command reaches the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlatformAccess {
    /// From a host's settings file.
    Settings(PathBuf),
    /// A URL, and a token from a file.
    Url {
        /// URL of the platform.
        url: String,
        /// File that holds the token.
        token_file: PathBuf,
    },
}

const HELP: &str = "\
Serves many models on fewer accelerators.

Usage: celerytally COMMAND [OPTIONS]

Commands:
  serve --settings FILE   run an entry host
  entry                   run an entry host on the users' platform
  check FILE              check a deployment file
  plan FILE               show what applying a file would load and unload
  apply FILE              apply a file atomically
  status                  show the version that the platform holds
  report --host ADDR      show whether the intended state holds

Options:
  --help                  print help; after a command, help for it
  --version               print the version

Exit codes: 0 done, 1 the intended state does not hold, 2 wrong usage,
3 the file has faults, 4 conflict, 5 the platform or host does not answer,
6 internal failure.
";

const HELP_SERVE: &str = "\
Runs an entry host until SIGTERM or SIGINT, then drains it.

Usage: celerytally serve --settings FILE

Options:
  --settings FILE   settings of the host (TOML, see examples/host.toml)

Prints `listening http=ADDR peer=ADDR` once both addresses are bound.
";

const HELP_ENTRY: &str = "\
Runs an entry host on the users' platform until SIGTERM or SIGINT, then drains it.
The platform passes the settings in a file that an environment variable names;
SIGHUP reads them again.

Usage: celerytally entry
";

const HELP_CHECK: &str = "\
Checks a deployment file and prints every fault with its line and field.

Usage: celerytally check FILE [--json]
";

const HELP_PLAN: &str = "\
Shows what applying a file would load and unload, without applying it.

Usage: celerytally plan FILE (--settings FILE | --platform URL --token-file FILE) [--json]

Options:
  --settings FILE     take the platform's address and token from a host's settings
  --platform URL      address of the platform
  --token-file FILE   file that holds the platform token
  --json              print JSON
";

const HELP_APPLY: &str = "\
Checks a deployment file and applies it atomically.

Usage: celerytally apply FILE (--settings FILE | --platform URL --token-file FILE)
           [--if-version V] [--author NAME] [--json]

Options:
  --if-version V      fail with a conflict unless version V is in force
  --author NAME       name to show to operators whose apply conflicts (default: operator)
  --settings FILE     take the platform's address and token from a host's settings
  --platform URL      address of the platform
  --token-file FILE   file that holds the platform token
  --json              print JSON
";

const HELP_STATUS: &str = "\
Shows the configuration version that the platform holds, its author, and the controllers.

Usage: celerytally status (--settings FILE | --platform URL --token-file FILE) [--json]
";

const HELP_REPORT: &str = "\
Shows the report of an entry host: at most twelve lines, the first of which is
`OK` or says what does not hold. The exit code is 1 if it is not `OK`.

Usage: celerytally report --host ADDR [--json [--token-file FILE]]

Options:
  --host ADDR         address of the host's caller port
  --json              print JSON, with all facts
  --token-file FILE   file that holds the operators' token, if the host has one
";

const VERSION: &str = concat!("celerytally ", env!("CARGO_PKG_VERSION"), "\n");

/// Options of all commands as parsed.
#[derive(Debug, Default)]
struct Options {
    file: Option<PathBuf>,
    settings: Option<PathBuf>,
    platform: Option<String>,
    token_file: Option<PathBuf>,
    if_version: Option<ConfigVersion>,
    author: Option<String>,
    host: Option<SocketAddr>,
    json: bool,
    help: bool,
}

/// Parses the arguments that follow the program's name.
///
/// # Errors
/// `Usage` names the option, argument or value that is wrong or missing.
pub fn parse(args: impl IntoIterator<Item = OsString>) -> Result<Command> {
    let mut parser = Parser::from_args(args);
    match parser.next()? {
        None => Err(Error::usage("expected a command, see `celerytally --help`")),
        Some(Long("help") | Short('h')) => Ok(Command::Print(HELP)),
        Some(Long("version") | Short('V')) => Ok(Command::Print(VERSION)),
        Some(Value(name)) => parse_command(&name.string()?, &mut parser),
        Some(arg) => Err(arg.unexpected().into()),
    }
}

fn parse_command(name: &str, parser: &mut Parser) -> Result<Command> {
    let (help, allowed): (_, &[&str]) = match name {
        "serve" => (HELP_SERVE, &["settings"]),
        "entry" => (HELP_ENTRY, &[]),
        "check" => (HELP_CHECK, &["FILE", "json"]),
        "plan" => (
            HELP_PLAN,
            &["FILE", "settings", "platform", "token-file", "json"],
        ),
        "apply" => (
            HELP_APPLY,
            &[
                "FILE",
                "settings",
                "platform",
                "token-file",
                "if-version",
                "author",
                "json",
            ],
        ),
        "status" => (HELP_STATUS, &["settings", "platform", "token-file", "json"]),
        "report" => (HELP_REPORT, &["host", "token-file", "json"]),
        _ => return Err(Error::usage(format!("unknown command `{name}`"))),
    };
    let options = parse_options(parser, allowed)?;
    if options.help {
        return Ok(Command::Print(help));
    }
    build_command(name, options)
}

fn parse_options(parser: &mut Parser, allowed: &[&str]) -> Result<Options> {
    let mut found = Options::default();
    while let Some(arg) = parser.next()? {
        match arg {
            Long("help") | Short('h') => found.help = true,
            Long(name) if !allowed.contains(&name) => return Err(arg.unexpected().into()),
            Long("json") => found.json = true,
            Long("settings") => found.settings = Some(parser.value()?.into()),
            Long("platform") => found.platform = Some(parser.value()?.string()?),
            Long("token-file") => found.token_file = Some(parser.value()?.into()),
            Long("if-version") => found.if_version = Some(parser.value()?.parse()?),
            Long("author") => found.author = Some(parser.value()?.string()?),
            Long("host") => found.host = Some(parser.value()?.parse()?),
            Value(file) if found.file.is_none() && allowed.contains(&"FILE") => {
                found.file = Some(file.into());
            }
            _ => return Err(arg.unexpected().into()),
        }
    }
    Ok(found)
}

fn build_command(name: &str, options: Options) -> Result<Command> {
    let json = options.json;
    match name {
        "serve" => Ok(Command::Serve {
            settings: require(options.settings, "--settings FILE")?,
        }),
        "entry" => Ok(Command::Entry),
        "check" => Ok(Command::Check {
            file: require(options.file, "FILE")?,
            json,
        }),
        "plan" => Ok(Command::Plan {
            file: require(options.file.clone(), "FILE")?,
            access: platform_access(options)?,
            json,
        }),
        "apply" => Ok(Command::Apply {
            file: require(options.file.clone(), "FILE")?,
            if_version: options.if_version,
            author: options.author.clone().unwrap_or_else(|| "operator".into()),
            access: platform_access(options)?,
            json,
        }),
        "status" => Ok(Command::Status {
            access: platform_access(options)?,
            json,
        }),
        _ => Ok(Command::Report {
            host: require(options.host, "--host ADDR")?,
            token_file: options.token_file,
            json,
        }),
    }
}

fn platform_access(options: Options) -> Result<PlatformAccess> {
    match (options.settings, options.platform, options.token_file) {
        (Some(settings), None, None) => Ok(PlatformAccess::Settings(settings)),
        (None, Some(url), Some(token_file)) => Ok(PlatformAccess::Url { url, token_file }),
        (None, None, None) => Err(Error::usage(
            "missing `--settings FILE` or `--platform URL --token-file FILE`",
        )),
        (None, _, _) => Err(Error::usage(
            "`--platform URL` and `--token-file FILE` go together",
        )),
        (Some(_), _, _) => Err(Error::usage(
            "`--settings` excludes `--platform` and `--token-file`",
        )),
    }
}

fn require<T>(value: Option<T>, what: &str) -> Result<T> {
    value.ok_or_else(|| Error::usage(format!("missing `{what}`")))
}
