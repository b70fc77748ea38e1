//! Runs one stand-in.

use std::{io, net::SocketAddr, path::PathBuf, process::ExitCode};

use lexopt::{Arg, Parser, ValueExt};

const USAGE: &str = "usage: standin platform|engine|plain|proxy \
    [--listen ADDR] [--log FILE] [--token TOKEN] [--set JSON]";

struct Args {
    command: String,
    listen: SocketAddr,
    log: Option<PathBuf>,
    token: String,
    set: serde_json::Value,
}

fn parse() -> Result<Args, lexopt::Error> {
    let mut args = Args {
        command: String::new(),
        listen: SocketAddr::from(([127, 0, 0, 1], 0)),
        log: None,
        token: "platform-token".to_owned(),
        set: serde_json::json!({}),
    };
    let mut parser = Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Value(command) if args.command.is_empty() => args.command = command.string()?,
            Arg::Long("listen") => args.listen = parser.value()?.parse()?,
            Arg::Long("log") => args.log = Some(parser.value()?.into()),
            Arg::Long("token") => args.token = parser.value()?.string()?,
            Arg::Long("set") => args.set = parser.value()?.parse()?,
            other => return Err(other.unexpected()),
        }
    }
    Ok(args)
}

async fn run(args: Args) -> io::Result<()> {
    let log = args.log.as_deref();
    match args.command.as_str() {
        "platform" => standin::serve_platform(args.listen, args.token).await,
        "engine" => standin::serve_engine(args.listen, log, &args.set).await,
        "plain" => standin::serve_plain(args.listen, log).await,
        "proxy" => standin::serve_proxy(args.listen).await,
        _ => Err(io::Error::other(USAGE)),
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let result = match parse() {
        Ok(args) => run(args).await.map_err(|e| e.to_string()),
        Err(e) => Err(format!("{e}; {USAGE}")),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("standin: {e}");
            ExitCode::from(2)
        }
    }
}
