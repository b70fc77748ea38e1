//! Operator commands.

use std::{fmt::Write, fs, net::SocketAddr, path::Path, process::ExitCode, time::Duration};

use config::{Deployment, HostSettings, Manifest};
use control::LeaseObject;
use place::Placement;
use serde_json::{Value, json};
use store::{HttpPlatform, Platform};
use types::ConfigVersion;

use crate::{
    cli::PlatformAccess,
    error::{Category, Error, Result},
};

/// Timeout of a report request, so that a host that hangs does not block an operator's command.
const REPORT_TIMEOUT: Duration = Duration::from_secs(5);

/// Exit code of `report` when the intended state does not hold.
const NOT_OK: u8 = 1;

impl From<config::Error> for Error {
    fn from(e: config::Error) -> Self {
        let category = match e.category() {
            config::Category::Io => Category::Usage,
            config::Category::Invalid => Category::Invalid,
            config::Category::Conflict => Category::Conflict,
            config::Category::Away | config::Category::Unknown => Category::Unavailable,
            config::Category::Garbage => Category::Internal,
        };
        let faults = e.faults();
        if faults.is_empty() {
            return Self::new(category, e);
        }
        let mut message = e.to_string();
        for fault in faults {
            // Writing to a string can't fail.
            let _ = write!(message, "\n{fault}");
        }
        Self::new(category, message)
    }
}

impl From<store::Error> for Error {
    fn from(e: store::Error) -> Self {
        Self::new(Category::Unavailable, e)
    }
}

impl From<place::Error> for Error {
    fn from(e: place::Error) -> Self {
        Self::new(Category::Invalid, e)
    }
}

/// Checks a deployment file, including whether its models can be placed.
pub(crate) fn check(file: &Path, json: bool) -> Result<ExitCode> {
    let (deployment, copies) = read_deployment(file)?;
    let text = format!(
        "{}: {} models, {} adapters, {} backend servers, {} copies at least",
        deployment.name,
        deployment.models.len(),
        deployment.adapters.len(),
        deployment.backends.len(),
        copies.len(),
    );
    let value = json!({
        "name": deployment.name,
        "models": deployment.models.len(),
        "adapters": deployment.adapters.len(),
        "backends": deployment.backends.len(),
        "copies": copies.len(),
    });
    print(json, &text, &value);
    Ok(ExitCode::SUCCESS)
}

/// Shows which models applying a file would load and unload.
pub(crate) async fn plan(file: &Path, access: &PlatformAccess, json: bool) -> Result<ExitCode> {
    let (deployment, copies) = read_deployment(file)?;
    let platform = connect(access)?;
    let current = config::load(&platform).await?;
    let before = match &current {
        Some(snapshot) => placement_lines(
            &snapshot.in_force.deployment,
            &floor(&snapshot.in_force.deployment)?,
        ),
        None => Vec::new(),
    };
    let after = placement_lines(&deployment, &copies);
    let loads = difference(&after, &before);
    let unloads = difference(&before, &after);
    let mut text = format!("{} loads, {} unloads", loads.len(), unloads.len());
    for (sign, moves) in [("+", &loads), ("-", &unloads)] {
        for line in moves {
            let _ = write!(text, "\n{sign} {line}");
        }
    }
    print(json, &text, &json!({ "loads": loads, "unloads": unloads }));
    Ok(ExitCode::SUCCESS)
}

/// Applies a file atomically.
pub(crate) async fn apply(
    file: &Path,
    access: &PlatformAccess,
    if_version: Option<ConfigVersion>,
    author: &str,
    json: bool,
) -> Result<ExitCode> {
    let (deployment, _) = read_deployment(file)?;
    let platform = connect(access)?;
    let applied = config::apply(&platform, &deployment, author, if_version).await?;
    let text = format!("version {} is in force", applied.version);
    let value = json!({
        "version": applied.version,
        "chunks_written": applied.chunks_written,
        "chunks_deleted": applied.chunks_deleted,
    });
    print(json, &text, &value);
    Ok(ExitCode::SUCCESS)
}

/// Shows the configuration version on the platform and the controllers.
pub(crate) async fn status(access: &PlatformAccess, json: bool) -> Result<ExitCode> {
    let platform = connect(access)?;
    let manifest = platform.get::<Manifest>(Manifest::CURRENT).await?;
    let manifest = manifest.map(|object| object.value);
    let leases = platform.list::<LeaseObject>().await?;
    let mut text = match &manifest {
        Some(m) => format!("{} version {} by {}", m.name, m.version, m.author),
        None => "no file was applied yet".to_owned(),
    };
    let mut controllers = Vec::new();
    for lease in leases.items {
        let record = lease.value.0;
        let holder = record.holder.map(|h| h.to_string());
        let shown = holder.as_deref().unwrap_or("nobody");
        let epoch = record.epoch;
        let _ = write!(text, "\n{}: {shown}, epoch {epoch}", lease.name);
        controllers.push(json!({ "dc": lease.name, "holder": holder, "epoch": epoch }));
    }
    let value =
        json!({ "manifest": manifest.as_ref().map(manifest_json), "controllers": controllers });
    print(json, &text, &value);
    Ok(ExitCode::SUCCESS)
}

/// Shows the report of an entry host.
pub(crate) async fn report(
    host: SocketAddr,
    token_file: Option<&Path>,
    json: bool,
) -> Result<ExitCode> {
    let token = token_file.map(read_token).transpose()?;
    let query = if json { "?format=json" } else { "" };
    let body = fetch_body(&format!("http://{host}/report{query}"), token.as_deref())
        .await
        .map_err(|e| {
            let e = e.without_url();
            Error::new(Category::Unavailable, format!("no report from {host}: {e}"))
        })?;
    println!("{}", body.trim_end());
    let ok = if json {
        serde_json::from_str(&body).is_ok_and(|value: Value| value["ok"] == Value::Bool(true))
    } else {
        body.lines().next() == Some("OK")
    };
    Ok(if ok {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(NOT_OK)
    })
}

async fn fetch_body(url: &str, token: Option<&str>) -> reqwest::Result<String> {
    let client = reqwest::Client::builder()
        .timeout(REPORT_TIMEOUT)
        .no_proxy()
        .build()?;
    let mut req = client.get(url);
    if let Some(token) = token {
        req = req.bearer_auth(token);
    }
    req.send().await?.error_for_status()?.text().await
}

fn read_token(file: &Path) -> Result<String> {
    match fs::read_to_string(file) {
        Ok(text) => Ok(text.trim().to_owned()),
        Err(e) => Err(Error::usage(format!("can't read {}: {e}", file.display()))),
    }
}

fn read_deployment(file: &Path) -> Result<(Deployment, Vec<Placement>)> {
    let deployment: Deployment = config::from_path(file)?;
    let copies = floor(&deployment)?;
    Ok((deployment, copies))
}

fn floor(deployment: &Deployment) -> Result<Vec<Placement>> {
    Ok(place::floor(
        deployment,
        place::memory_headroom(deployment),
    )?)
}

fn connect(access: &PlatformAccess) -> Result<HttpPlatform> {
    match access {
        PlatformAccess::Settings(path) => {
            let settings: HostSettings = config::from_path(path)?;
            let token = settings.platform_token.expose();
            Ok(HttpPlatform::new(&settings.platform_url, token)?)
        }
        PlatformAccess::Url { url, token_file } => {
            Ok(HttpPlatform::new(url, &read_token(token_file)?)?)
        }
    }
}

/// Returns a line with the worker, model and version of each copy, sorted.
fn placement_lines(deployment: &Deployment, copies: &[Placement]) -> Vec<String> {
    let mut lines: Vec<String> = copies
        .iter()
        .map(|copy| {
            let at = deployment
                .models
                .binary_search_by(|m| m.id.cmp(&copy.model));
            let version = at.map_or("?", |at| deployment.models[at].version.as_str());
            format!("{} {} {version}", copy.worker, copy.model)
        })
        .collect();
    lines.sort();
    lines
}

fn difference(lines: &[String], excluded: &[String]) -> Vec<String> {
    let remaining = lines
        .iter()
        .filter(|line| excluded.binary_search(line).is_err());
    remaining.cloned().collect()
}

fn manifest_json(manifest: &Manifest) -> Value {
    json!({
        "name": manifest.name,
        "version": manifest.version,
        "author": manifest.author,
    })
}

fn print(json: bool, text: &str, value: &Value) {
    if json {
        println!("{value}");
    } else {
        println!("{text}");
    }
}
