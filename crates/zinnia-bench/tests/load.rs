//! The commands `load` and `compare`.

use std::fs;
use std::path::Path;
use std::process::Command;
use std::process::Output;

use serde_json::Value;
use serde_json::json;

fn run_bench(args: &[&str]) -> std::io::Result<Output> {
    let bin = env!("CARGO_BIN_EXE_zinniabench");
    Command::new(bin).args(args).output()
}

fn summary(sent: u64, lost: u64, max_ms: f64) -> Value {
    json!({
        "sent": sent, "granted": sent - lost, "refused": {}, "lost": lost,
        "p50_ms": 1.0, "p90_ms": 1.0, "p99_ms": 1.0, "p999_ms": max_ms, "max_ms": max_ms
    })
}

/// A load result in which every measurement is within its bound.
fn passing_result() -> Value {
    json!({
        "deployment": "coaster", "seed": 1, "seconds": 10.0, "calls_rate": 100.0,
        "jobs_rate": 5.0, "behind_ms": 0.5,
        "requests": {
            "call": summary(100, 0, 40.0),
            "finish": summary(10, 0, 900.0),
            "submit": summary(10, 0, 90.0),
            "urgent": summary(7, 0, 1_500.0)
        },
        "figures": {"key_ms": 80.0, "document_ms": 2_000.0}
    })
}

struct Case {
    name: &'static str,
    /// Edits the new result.
    change: fn(&mut Value),
    exit_code: i32,
    expected_text: &'static str,
}

const CASES: [Case; 7] = [
    Case {
        name: "the same result, with measurements at their bounds",
        change: |_| {},
        exit_code: 0,
        expected_text: "ok",
    },
    Case {
        name: "an urgent job that starts too late",
        change: |v| v["requests"]["urgent"] = summary(7, 0, 1_500.1),
        exit_code: 1,
        expected_text: "REGRESSED",
    },
    Case {
        name: "a withdrawn key that is accepted too long",
        change: |v| v["figures"]["key_ms"] = json!(2_000.5),
        exit_code: 1,
        expected_text: "REGRESSED",
    },
    Case {
        name: "a call without a response",
        change: |v| v["requests"]["call"] = summary(100, 1, 40.0),
        exit_code: 1,
        expected_text: "REGRESSED",
    },
    Case {
        name: "a measurement that is missing from the new result",
        change: |v| v["figures"] = json!({"key_ms": 80.0}),
        exit_code: 1,
        expected_text: "MISSING",
    },
    Case {
        name: "slower, but within the bound",
        change: |v| v["figures"]["key_ms"] = json!(1_900.0),
        exit_code: 0,
        expected_text: "1900.0",
    },
    Case {
        name: "results of different loads",
        change: |v| v["jobs_rate"] = json!(6.0),
        exit_code: 2,
        expected_text: "different loads",
    },
];

/// Guards against a comparison that passes a result beyond a bound.
#[test]
fn exceeded_bounds_fail() -> anyhow::Result<()> {
    let folder = tempfile::tempdir()?;
    let (old, new) = (
        folder.path().join("old.json"),
        folder.path().join("new.json"),
    );
    let to_string = |path: &Path| path.display().to_string();
    for case in CASES {
        fs::write(&old, passing_result().to_string())?;
        let mut changed = passing_result();
        (case.change)(&mut changed);
        fs::write(&new, changed.to_string())?;
        let output = run_bench(&["compare", &to_string(&old), &to_string(&new)])?;
        let text = [output.stdout, output.stderr].concat();
        let text = String::from_utf8_lossy(&text);
        assert_eq!(
            output.status.code(),
            Some(case.exit_code),
            "{}: {text}",
            case.name
        );
        assert!(text.contains(case.expected_text), "{}: {text}", case.name);
    }
    Ok(())
}

/// Guards against a load tool that sends no requests, loses requests or writes a result that
/// `compare` cannot read.
#[test]
fn load_on_each_deployment_gets_responses() -> anyhow::Result<()> {
    let folder = tempfile::tempdir()?;
    for deployment in ["coaster", "consortium"] {
        let path = folder.path().join(format!("{deployment}.json"));
        let path = path.display().to_string();
        let args = [
            "load",
            "--deployment",
            deployment,
            "--seconds",
            "3",
            "--calls",
            "20",
        ];
        let output = run_bench(&[args.as_slice(), &["--out", &path]].concat())?;
        let text = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success(), "{deployment}: {text}");
        let report: Value = serde_json::from_str(&fs::read_to_string(&path)?)?;
        for kind in ["call", "submit", "finish"] {
            let row = &report["requests"][kind];
            assert!(
                row["granted"].as_u64() > Some(0),
                "{deployment} {kind}: {report}"
            );
            assert_eq!(row["lost"], 0, "{deployment} {kind}: {report}");
        }
        // Whether the measurements are within their bounds is not checked: a debug build on a busy
        // machine may exceed them.
        let output = run_bench(&["compare", &path, &path])?;
        assert_ne!(output.status.code(), Some(2), "{deployment}");
    }
    Ok(())
}
