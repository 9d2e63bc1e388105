//! Tests of the commands that work offline, and of command-line errors.

use std::io::Write;
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};

use test_case::test_case;

const GREAT_LAKES: &str = "examples/great-lakes.jsonc";
const BROKEN: &str = "crates/gs-ctl/tests/fixtures/broken.jsonc";

/// Runs gs-ctl in the root folder of the workspace with this standard input.
fn run_ctl(arguments: &[&str], input: &str) -> Output {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut child = Command::new(env!("CARGO_BIN_EXE_gs-ctl"))
        .args(arguments)
        .current_dir(root)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("gs-ctl starts");
    let mut stdin = child.stdin.take().expect("the input is piped");
    // The write fails if the command ends without reading its input.
    let _ = stdin.write_all(input.as_bytes());
    drop(stdin);
    child.wait_with_output().expect("gs-ctl ends")
}

fn text(bytes: &[u8]) -> &str {
    std::str::from_utf8(bytes).expect("the output is text")
}

#[test_case(&["check", GREAT_LAKES, "examples/klang-valley.jsonc"], 0, "klang-valley.jsonc: ok, sha256:", ""; "valid documents")]
#[test_case(&["check", "--settings", "entry", "examples/entry.jsonc"], 0, "entry.jsonc: ok", ""; "valid settings of an entry")]
#[test_case(&["check", "--settings", "admin", "examples/admin.jsonc"], 0, "admin.jsonc: ok", ""; "valid settings of the administration")]
#[test_case(&["check", GREAT_LAKES, BROKEN], 1, "", "broken.jsonc:6:15: callers.desk.rank: found \"urgnt\"; did you mean \"urgent\"?"; "broken document")]
#[test_case(&["check", "--json", BROKEN], 1, "\"path\": \"callers.desk.rank\"", ""; "broken document as JSON")]
#[test_case(&["check", "absent.jsonc"], 2, "", "cannot read file \"absent.jsonc\""; "missing file")]
#[test_case(&["check"], 2, "", "FILE"; "no file argument")]
#[test_case(&["chekc", GREAT_LAKES], 2, "", "check"; "unknown command")]
#[test_case(&["check", "--help"], 0, "gs-ctl check --settings entry examples/entry.jsonc", ""; "help with examples")]
#[test_case(&["diff", GREAT_LAKES, GREAT_LAKES], 0, "no field differs", ""; "the same document")]
#[test_case(&["diff", GREAT_LAKES, BROKEN], 1, "", "broken.jsonc:7:7: callers.desk.firstTokensMs"; "difference to a broken document")]
#[test_case(&["promote", "--admin", "127.0.0.1:1", "--token-file", "x", "--operation", "0198c0de-0000-7000-8000-000000000000", "sha256:0"], 2, "", "--operation needs --expected"; "retry without the expected sequence number")]
fn a_command_ends_with_the_documented_exit_code(
    arguments: &[&str],
    code: i32,
    stdout: &str,
    stderr: &str,
) {
    let output = run_ctl(arguments, "");
    let (out, err) = (text(&output.stdout), text(&output.stderr));
    assert_eq!(output.status.code(), Some(code), "{out}\n{err}");
    assert!(out.contains(stdout), "{out}");
    assert!(err.contains(stderr), "{err}");
}

#[test]
fn every_mistake_of_a_file_is_listed() {
    let output = run_ctl(&["check", BROKEN], "");
    let paths: Vec<&str> = text(&output.stderr)
        .lines()
        .filter_map(|line| line.strip_prefix(BROKEN)?.split(' ').nth(1))
        .collect();
    let expected = [
        "callers.desk.rank:",
        "callers.desk.firstTokensMs:",
        "callers.desk.models[0]:",
        "models.notes.serverKind:",
    ];
    // The missing field "firstTokenMs" is reported first, at the start of the object that lacks it.
    assert_eq!(paths[0], "callers.desk:");
    assert_eq!(paths[1..], expected);
}

#[test_case("secret\n"; "with a line break")]
#[test_case("secret"; "without a line break")]
fn a_token_is_digested_without_its_line_break(input: &str) {
    let output = run_ctl(&["token-digest"], input);
    let expected = format!("{}\n", gs_document::digest_token("secret"));
    assert_eq!(text(&output.stdout), expected);
}

#[test_case(""; "empty")]
#[test_case("two words"; "two words")]
fn an_invalid_token_is_refused(input: &str) {
    assert_eq!(run_ctl(&["token-digest"], input).status.code(), Some(2));
}
