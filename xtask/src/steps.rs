//! Commands that the tasks run.

use std::{
    env, fs,
    path::PathBuf,
    process::{Command, Stdio},
};

use crate::{Failure, test};

/// Paths that exist on one machine only must not be in the tree.
const MACHINE_PATHS: &str = r"(^|[^a-zA-Z0-9.])/(work|root|farm)/|/tmp/[b]ash";

/// Headers, calls and fields of the users' platform, which only its adapter may name.
const PLATFORM_NAMES: &str = "attempt-id|time-remaining|server-seal|not-executed|\
expect-instance|expect-version|token-counts|prompt-prefix|request-urgency|length-hint|\
celerytally/(order|report|objects|readiness|kv-|hold-)|celerytally_boot|\
op_kind|create_rev|current_rev|at_hand|path_prefix\"|loads_per_s[^e]|kv_capacity|max_attempts\"|\
gap_aim|adapter_slots\"|time_left_ms";

/// Returns the root of the checkout.
pub(crate) fn root() -> PathBuf {
    let manifest = env::var_os("CARGO_MANIFEST_DIR").map(PathBuf::from);
    let parent = manifest.and_then(|dir| dir.parent().map(PathBuf::from));
    parent.unwrap_or_else(|| PathBuf::from("."))
}

/// Makes a cargo command in the root of the checkout.
pub(crate) fn cargo(args: &[&str]) -> Command {
    let cargo = env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut command = Command::new(cargo);
    command.args(args).current_dir(root()).stdin(Stdio::null());
    command
}

/// Runs a cargo command and fails when it fails.
pub(crate) fn check(args: &[&str]) -> Result<(), Failure> {
    println!("== cargo {}", args.join(" "));
    match cargo(args).status() {
        Ok(status) if status.success() => Ok(()),
        Ok(status) => Err(format!("cargo {} failed: {status}", args.join(" "))),
        Err(e) => Err(format!("cargo {}: {e}", args.join(" "))),
    }
}

/// Builds the program and the stand-ins, which the demo and the integration tests start.
pub(crate) fn build() -> Result<(), Failure> {
    let packages = ["--package", "standin", "--package", "celerytally"];
    check(&[&["build", "--locked"], &packages[..]].concat())
}

/// Runs the policy bench, prints its table and writes it under `target/`.
pub(crate) fn bench(bounds: bool) -> Result<(), Failure> {
    let mut args = vec!["run", "--release", "--locked", "--package", "bench", "--"];
    if bounds {
        args.push("--check");
    }
    println!("== cargo {}", args.join(" "));
    let output = cargo(&args).stderr(Stdio::inherit()).output();
    let output = output.map_err(|e| format!("bench: {e}"))?;
    let table = String::from_utf8_lossy(&output.stdout);
    print!("{table}");
    let dir = root().join("target");
    // Builds may go to another folder.
    fs::create_dir_all(&dir).map_err(|e| format!("{}: {e}", dir.display()))?;
    let path = dir.join("bench-table.txt");
    fs::write(&path, table.as_bytes()).map_err(|e| format!("{}: {e}", path.display()))?;
    if output.status.success() {
        Ok(())
    } else {
        Err(format!(
            "the bench is out of bounds or failed: {}",
            output.status
        ))
    }
}

fn no_machine_paths() -> Result<(), Failure> {
    println!("== no machine paths in the tree");
    let mut grep = Command::new("git");
    grep.args(["grep", "-nIE", MACHINE_PATHS, "--", ".", ":!*.lock"]);
    match grep.current_dir(root()).status() {
        // The search found nothing.
        Ok(status) if status.code() == Some(1) => Ok(()),
        Ok(_) => Err("the tree names a path of one machine".to_owned()),
        Err(e) => Err(format!("git grep: {e}")),
    }
}

fn platform_names_in_one_folder() -> Result<(), Failure> {
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
        // The search found nothing.
        Ok(status) if status.code() == Some(1) => Ok(()),
        Ok(_) => Err("a name of the users' platform stands outside platform/".to_owned()),
        Err(e) => Err(format!("git grep: {e}")),
    }
}

/// Runs every check of the project.
pub(crate) fn ci() -> Result<(), Failure> {
    check(&["fmt", "--all", "--check"])?;
    let lint = [
        "clippy",
        "--locked",
        "--workspace",
        "--all-targets",
        "--",
        "-D",
        "warnings",
    ];
    check(&lint)?;
    no_machine_paths()?;
    platform_names_in_one_folder()?;
    check(&["build", "--locked", "--workspace"])?;
    test::run()?;
    bench(true)
}
