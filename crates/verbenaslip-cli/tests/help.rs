//! Help texts and errors for invalid command lines.

use std::process::Command;

/// Runs a program with an empty environment and returns its output and exit code.
fn run_program(program: &str, words: &[&str]) -> String {
    let output = Command::new(program).args(words).env_clear().output().expect("the program runs");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    let code = output.status.code().expect("the program exits");
    format!(
        "$ {}\n{}{}exit {code}\n\n",
        words.join(" "),
        text(&output.stdout),
        text(&output.stderr)
    )
}

#[test]
fn operators_help() {
    let lines: [&[&str]; 6] = [
        &["--help"],
        &["table", "--help"],
        &["table", "show", "--help"],
        &["table", "apply", "--help"],
        &["drain", "--help"],
        &["voters", "replace", "--help"],
    ];
    let program = env!("CARGO_BIN_EXE_verbenaslip");
    insta::assert_snapshot!(lines.map(|line| run_program(program, line)).concat());
}

#[test]
fn operators_wrong_lines() {
    let lines: [&[&str]; 6] = [
        &[],
        &["tables"],
        &["table", "apply"],
        &["table", "apply", "F", "--timeout", "3"],
        &["status"],
        &["--admin", "127.0.0.1:1", "status"],
    ];
    let program = env!("CARGO_BIN_EXE_verbenaslip");
    insta::assert_snapshot!(lines.map(|line| run_program(program, line)).concat());
}

#[test]
fn daemons_help() {
    insta::assert_snapshot!(run_program(env!("CARGO_BIN_EXE_verbenaslipd"), &["--help"]));
}
