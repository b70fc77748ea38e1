//! Commands that are shared by the tasks.

use std::{
    env, fs,
    path::PathBuf,
    process::{Command, Stdio},
};

use crate::{Failure, test};

/// Matches absolute paths of a single machine, which must not appear in the source tree.
const MACHINE_PATHS: &str = r"(^|[^a-zA-Z0-9.])/(work|root|farm)/|/tmp/[b]ash";

/// Headers, calls and fields of the users' platform, which only its adapter may contain.
const PLATFORM_NAMES: &str = "attempt-id|time-remaining|server-seal|server-leaving|not-executed|\
expect-instance|expect-version|token-counts|prompt-prefix|request-urgency|length-hint|\
celerytally/(order|report|objects|readiness|kv-|hold-)|celerytally_boot|\
op_kind|create_rev|current_rev|at_hand|path_prefix\"|loads_per_s[^e]|kv_capacity|max_attempts\"|\
gap_aim|adapter_slots\"|time_left_ms|plain_tokens|quota_slack|quota_window_s|rate_per_s";

/// Returns the root of the checkout.
pub(crate) fn root() -> PathBuf {
    let manifest = env::var_os("CARGO_MANIFEST_DIR").map(PathBuf::from);
    let parent = manifest.and_then(|dir| dir.parent().map(PathBuf::from));
    parent.unwrap_or_else(|| PathBuf::from("."))
}

/// Creates a cargo command that runs in the root of the checkout.
pub(crate) fn cargo(args: &[&str]) -> Command {
    let cargo = env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut command = Command::new(cargo);
    command.args(args).current_dir(root()).stdin(Stdio::null());
    command
}

/// Runs a cargo command and returns an error if it fails.
pub(crate) fn run_cargo(args: &[&str]) -> Result<(), Failure> {
    println!("== cargo {}", args.join(" "));
    match cargo(args).status() {
        Ok(status) if status.success() => Ok(()),
        Ok(status) => Err(format!("cargo {} failed: {status}", args.join(" "))),
        Err(e) => Err(format!("cargo {}: {e}", args.join(" "))),
    }
}

/// Builds celerytally and the stand-ins, which the demo and the integration tests start.
pub(crate) fn build() -> Result<(), Failure> {
    let packages = ["--package", "standin", "--package", "celerytally"];
    run_cargo(&[&["build", "--locked"], &packages[..]].concat())
}

/// Runs the policy bench, prints its table and writes it under `target/`.
pub(crate) fn bench(check_goals: bool) -> Result<(), Failure> {
    let mut args = vec!["run", "--release", "--locked", "--package", "bench", "--"];
    if check_goals {
        args.push("--check");
    }
    println!("== cargo {}", args.join(" "));
    let output = cargo(&args).stderr(Stdio::inherit()).output();
    let output = output.map_err(|e| format!("bench: {e}"))?;
    let table = String::from_utf8_lossy(&output.stdout);
    print!("{table}");
    let dir = root().join("target");
    // With CARGO_TARGET_DIR set, `target/` may not exist.
    fs::create_dir_all(&dir).map_err(|e| format!("{}: {e}", dir.display()))?;
    let path = dir.join("bench-table.txt");
    fs::write(&path, table.as_bytes()).map_err(|e| format!("{}: {e}", path.display()))?;
    if output.status.success() {
        Ok(())
    } else {
        Err(format!("bench failed or missed a goal: {}", output.status))
    }
}

fn check_machine_paths() -> Result<(), Failure> {
    println!("== machine-specific paths");
    let mut grep = Command::new("git");
    grep.args(["grep", "-nIE", MACHINE_PATHS, "--", ".", ":!*.lock"]);
    match grep.current_dir(root()).status() {
        // git grep exits with 1 if nothing matches.
        Ok(status) if status.code() == Some(1) => Ok(()),
        Ok(_) => Err("the source tree contains a machine-specific path".to_owned()),
        Err(e) => Err(format!("git grep: {e}")),
    }
}

fn check_platform_names() -> Result<(), Failure> {
    println!("== names of the users' platform outside platform/");
    let mut grep = Command::new("git");
    grep.args([
        "grep",
        "-nIiE",
        PLATFORM_NAMES,
        "--",
        "crates",
        "xtask",
        ":!xtask/src/steps.rs",
    ]);
    match grep.current_dir(root()).status() {
        // git grep exits with 1 if nothing matches.
        Ok(status) if status.code() == Some(1) => Ok(()),
        Ok(_) => Err("a name of the users' platform appears outside platform/".to_owned()),
        Err(e) => Err(format!("git grep: {e}")),
    }
}

/// Runs every check of the project.
pub(crate) fn ci() -> Result<(), Failure> {
    run_cargo(&["fmt", "--all", "--check"])?;
    let lint = [
        "clippy",
        "--locked",
        "--workspace",
        "--all-targets",
        "--",
        "-D",
        "warnings",
    ];
    run_cargo(&lint)?;
    check_machine_paths()?;
    check_platform_names()?;
    run_cargo(&["build", "--locked", "--workspace"])?;
    test::run()?;
    bench(true)
}
