//! Runs all scenario files, and checks the errors of the scenario runner.

use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;

/// Number of concurrent scenarios; each one starts a complete cell.
const PARALLEL: &str = "4";

fn workspace_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn run_bench(args: &[String]) -> std::io::Result<Output> {
    let bin = env!("CARGO_BIN_EXE_zinniabench");
    Command::new(bin)
        .current_dir(workspace_root())
        .args(args)
        .output()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Paths of the scenarios with known failures, which KNOWN-RED.txt lists at the beginning of lines.
fn known_failures() -> Vec<String> {
    let text = fs::read_to_string(workspace_root().join("KNOWN-RED.txt")).unwrap_or_default();
    let lines = text.lines().filter_map(|l| l.split_whitespace().next());
    let named = lines.filter(|w| w.starts_with("scenarios/"));
    named.map(str::to_owned).collect()
}

/// Guards against a violated invariant, and against a cell that does not recover from a fault as a
/// scenario expects.
#[test]
fn all_scenarios_pass() -> anyhow::Result<()> {
    let mut files = Vec::new();
    for entry in fs::read_dir(workspace_root().join("scenarios"))? {
        let name = entry?.file_name();
        files.push(format!("scenarios/{}", name.to_string_lossy()));
    }
    files.sort();
    let known_failures = known_failures();
    files.retain(|file| !known_failures.contains(file));
    let mut args: Vec<String> = ["scenario", "--parallel", PARALLEL]
        .map(str::to_owned)
        .into();
    args.extend(files);
    let output = run_bench(&args)?;
    print!("{}", text(&output.stdout));
    for file in known_failures {
        println!("known failure, not run: {file}");
    }
    assert!(
        output.status.success(),
        "{}{}",
        text(&output.stdout),
        text(&output.stderr)
    );
    Ok(())
}

struct Case {
    name: &'static str,
    text: &'static str,
    /// Expected part of the error message.
    expected: &'static str,
}

const SYNTAX_ERRORS: [Case; 6] = [
    Case {
        name: "an unknown step",
        text: "heal\nheel\n",
        expected: ":2:1: no step is called heel",
    },
    Case {
        name: "a character that starts no token",
        text: "heal\n  kill east-0 ?\n",
        expected: ":2:15: expected a word",
    },
    Case {
        name: "a value that is not a number",
        text: "workers east count=many\n",
        expected: ":1:14: count must be a number, not many",
    },
    Case {
        name: "a token that the step does not use",
        text: "# A comment line.\nheal now\n",
        expected: ":2:6: unexpected token",
    },
    Case {
        name: "an unclosed JSON object",
        text: "document {\"teams\": []\n",
        expected: ":1:10: expected a JSON object",
    },
    Case {
        name: "an unknown error code",
        text: "expect no_code heal\n",
        expected: ":1:8: no_code is not a code of a refusal",
    },
];

/// Guards against syntax errors that are not reported, or are reported without their position.
#[test]
fn syntax_errors_have_positions() -> anyhow::Result<()> {
    let folder = tempfile::tempdir()?;
    for case in SYNTAX_ERRORS {
        let path = folder.path().join("faulty.scn");
        fs::write(&path, case.text)?;
        let args = ["scenario", "--check"].map(str::to_owned);
        let mut args = args.to_vec();
        args.push(path.display().to_string());
        let output = run_bench(&args)?;
        let error = text(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{}: {error}", case.name);
        assert!(error.contains(case.expected), "{}: {error}", case.name);
    }
    Ok(())
}

/// Guards against a runner that passes a scenario whose condition does not hold or whose request is
/// not refused as expected.
#[test]
fn failed_steps_fail_the_scenario() -> anyhow::Result<()> {
    let folder = tempfile::tempdir()?;
    let cases = [
        ("until workers count=1 within=1\n", "line 1: not within 1 s"),
        (
            "expect conflict document {\"teams\": [], \"kinds\": []}\n",
            "granted, but a refusal was expected",
        ),
    ];
    for (lines, expected) in cases {
        let path = folder.path().join("failing.scn");
        fs::write(&path, lines)?;
        let output = run_bench(&["scenario".to_owned(), path.display().to_string()])?;
        let stdout = text(&output.stdout);
        assert_eq!(output.status.code(), Some(1), "{stdout}");
        assert!(
            stdout.contains(expected) && stdout.contains("seed 1"),
            "{stdout}"
        );
    }
    Ok(())
}
