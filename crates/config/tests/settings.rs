//! Host settings.

use std::{fs, path::PathBuf};

use config::{HostSettings, LogFormat, LogLevel};
use types::Micros;

fn write(dir: &tempfile::TempDir, text: &str) -> PathBuf {
    fs::write(dir.path().join("platform.token"), "platform-secret\n").unwrap();
    fs::write(dir.path().join("peer.token"), "peer-secret\n").unwrap();
    let path = dir.path().join("host.toml");
    fs::write(&path, text).unwrap();
    path
}

const SETTINGS: &str = r#"
host = "entry-1"
data_centre = "north"
listen = { http = "127.0.0.1:0", peers = "127.0.0.1:0" }
platform = { url = "http://127.0.0.1:8001", token_file = "platform.token" }
peers = { seeds = ["127.0.0.1:2", "127.0.0.1:1"], token_file = "peer.token" }
"#;

/// Guards against tokens in debug output and against optional fields that become mandatory.
#[test]
fn settings_have_defaults_and_hide_tokens() {
    let dir = tempfile::tempdir().unwrap();
    let settings: HostSettings = config::from_path(write(&dir, SETTINGS)).unwrap();
    assert_eq!(settings.seeds.len(), 2);
    assert!(settings.seeds.is_sorted());
    assert_eq!(settings.platform_token.expose(), "platform-secret");
    assert!(settings.peer_token.matches("peer-secret"));
    assert!(!settings.peer_token.matches("peer-secre"));
    assert_eq!(settings.tuning.exchange_period, Micros::from_secs(1));
    assert_eq!(
        (settings.log_format, settings.log_level),
        (LogFormat::Json, LogLevel::Info)
    );
    let printed = format!("{settings:?}");
    assert!(!printed.contains("-secret"), "{printed}");
}

/// Guards against accepting settings with which a host is unreachable or cannot authenticate.
#[test]
fn faults_are_reported_with_their_lines() {
    let dir = tempfile::tempdir().unwrap();
    let path = write(
        &dir,
        r#"
host = "entry 1"
listen = { http = "localhost:80", peers = "127.0.0.1:0" }
advertise = { http = "0.0.0.0:80" }
platform = { url = "127.0.0.1:8001", token_file = "missing.token" }
peers = { token_file = "peer.token", token_env = "TOKEN" }
log = { format = "xml" }
tuning = { lease_duration = "1 ms" }
"#,
    );
    let err = config::from_path::<HostSettings>(path).unwrap_err();
    let lines = err.faults().iter().map(|f| (f.line, f.field.as_str()));
    let expected = [
        (1, "data_centre"),
        (2, "host"),
        (3, "listen.http"),
        (4, "advertise.http"),
        (5, "platform.token_file"),
        (5, "platform.url"),
        (6, "peers.token_file"),
        (7, "log.format"),
        (8, "tuning.lease_duration"),
    ];
    assert_eq!(lines.collect::<Vec<_>>(), expected);
    let missing = dir.path().join("none.toml");
    let err = config::from_path::<HostSettings>(missing).unwrap_err();
    assert_eq!(err.category(), config::Category::Io);
}

/// Guards against an outdated example file.
#[test]
fn the_example_is_accepted() {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    let text = fs::read_to_string(root.join("../../examples/host.toml")).unwrap();
    let dir = tempfile::tempdir().unwrap();
    let text = text
        .replace(
            "token_env = \"CELERYTALLY_PLATFORM_TOKEN\"",
            "token_file = \"platform.token\"",
        )
        .replace(
            "token_env = \"CELERYTALLY_PEER_TOKEN\"",
            "token_file = \"peer.token\"",
        )
        .replace(
            "token_env = \"CELERYTALLY_OPERATOR_TOKEN\"",
            "token_file = \"peer.token\"",
        );
    let settings: HostSettings = config::from_path(write(&dir, &text)).unwrap();
    assert_eq!(settings.tuning, config::Tuning::default());
    assert!(settings.operator_token.is_some());
}
