//! Runs the binary to check its command line.
//!
//! Guards against unclear messages and changed exit codes, on which operators' scripts depend.

use std::process::{Command, Output};

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_celerytally"))
        .args(args)
        .output()
        .expect("the binary starts")
}

fn code_and_stderr(args: &[&str]) -> (i32, String) {
    let output = run(args);
    let stderr = String::from_utf8(output.stderr).expect("UTF-8");
    (output.status.code().expect("an exit code"), stderr)
}

fn help(command: &[&str]) -> String {
    let output = run(command);
    assert!(output.status.success());
    String::from_utf8(output.stdout).expect("UTF-8")
}

#[test]
fn unknown_option_is_named_on_one_line() {
    let (code, stderr) = code_and_stderr(&["serve", "--colour"]);

    assert_eq!(code, 2);
    assert_eq!(stderr, "celerytally: invalid option '--colour'\n");
}

#[test]
fn missing_file_is_named_on_one_line() {
    let (code, stderr) = code_and_stderr(&["check", "absent.toml"]);

    assert_eq!(code, 2);
    assert!(stderr.starts_with("celerytally: "), "{stderr}");
    assert!(stderr.contains("absent.toml"), "{stderr}");
    assert_eq!(stderr.lines().count(), 1, "{stderr}");
}

#[test]
fn missing_argument_is_named() {
    let (code, stderr) = code_and_stderr(&["apply", "--settings", "host.toml"]);

    assert_eq!(code, 2);
    assert_eq!(stderr, "celerytally: missing `FILE`\n");
}

#[test]
fn unknown_command_is_named() {
    let (code, stderr) = code_and_stderr(&["start"]);

    assert_eq!(code, 2);
    assert_eq!(stderr, "celerytally: unknown command `start`\n");
}

#[test]
fn no_host_answers() {
    let (code, _stderr) = code_and_stderr(&["report", "--host", "127.0.0.1:1"]);

    assert_eq!(code, 5);
}

#[test]
fn help_of_each_command() {
    for command in ["serve", "check", "plan", "apply", "status", "report"] {
        insta::assert_snapshot!(command, help(&[command, "--help"]));
    }
    insta::assert_snapshot!("celerytally", help(&["--help"]));
}
