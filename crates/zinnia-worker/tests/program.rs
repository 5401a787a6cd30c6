//! Tests of the program: arguments, exit codes and SIGTERM.

#![expect(clippy::unwrap_used, reason = "a failed fixture must stop the test")]

use std::process::Command;
use std::process::Output;

use serde_json::json;
use zinnia_types::worker::Start;
use zinnia_types::worker::StartReply;

use common::MockVm;
use common::attempt;
use common::post_to;
use common::settings;
use common::task;

mod common;

fn run_program(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_zinnia-worker"))
        .args(args)
        .output()
        .unwrap()
}

fn write_file(name: &str, text: &str) -> String {
    let path = format!("{}/{name}", env!("CARGO_TARGET_TMPDIR"));
    std::fs::write(&path, text).unwrap();
    path
}

/// Settings file with a comment.
const SETTINGS: &str = r#"{
    // One of five in the rack.
    "worker": "desk-1", "domain": "dar-1", "rack": "r1",
    "capacity": {"cpu": 4000, "mem": 4096},
    "drain_ms": 100,
    "agent": {"search": {"vms": ["127.0.0.1:1"]}}
}"#;

/// Guards against exit codes and messages that mislead scripts and operators. An error in the
/// settings must name its line and column.
#[test]
fn arguments_and_settings_are_validated() {
    struct Case {
        name: &'static str,
        args: Vec<String>,
        code: i32,
        output: &'static str,
    }
    let check = |path: String| vec!["--settings".to_owned(), path, "--check".to_owned()];
    let good = write_file("good.jsonc", SETTINGS);
    let bad = write_file("bad.jsonc", &SETTINGS.replace("drain_ms", "drain"));
    let cases = [
        Case {
            name: "help",
            args: vec!["--help".to_owned()],
            code: 0,
            output: "--settings",
        },
        Case {
            name: "no settings",
            args: vec![],
            code: 2,
            output: "--settings is required",
        },
        Case {
            name: "unknown flag",
            args: vec!["--nothing".to_owned()],
            code: 2,
            output: "--nothing",
        },
        Case {
            name: "missing file",
            args: check("/nowhere".to_owned()),
            code: 2,
            output: "/nowhere",
        },
        Case {
            name: "good settings",
            args: check(good),
            code: 0,
            output: "",
        },
        Case {
            name: "unknown field",
            args: check(bad),
            code: 2,
            output: "line 5, column 11: unknown field `drain`",
        },
    ];
    for case in cases {
        let args: Vec<&str> = case.args.iter().map(String::as_str).collect();
        let out = run_program(&args);
        let output = [out.stdout, out.stderr].concat();
        let output = String::from_utf8(output).unwrap();
        assert_eq!(
            out.status.code(),
            Some(case.code),
            "{}: {output}",
            case.name
        );
        assert!(output.contains(case.output), "{}: {output}", case.name);
    }
}

/// Guards against work lost by a graceful shutdown (P9). SIGTERM lets a task finish within the drain
/// timeout, and the exit code shows if it did not.
#[tokio::test]
async fn sigterm_drains_the_worker() {
    for (run_ms, drain_ms, code) in [(300, 20_000, 0), (60_000, 200, 3)] {
        let vm = MockVm::start().await;
        let mut settings = settings(&vm);
        settings.drain_ms = drain_ms;
        let text = serde_json::to_string(&settings).unwrap();
        let path = write_file(&format!("sigterm-{run_ms}.jsonc"), &text);
        let mut child = Command::new(env!("CARGO_BIN_EXE_zinnia-worker"))
            .args(["--settings", &path])
            .spawn()
            .unwrap();
        vm.wait_until("announcement", |s| !s.announces.is_empty())
            .await;
        let addr = vm.state.lock().unwrap().announces[0].profile.addr.clone();
        let start = Start {
            epoch: vm.last_epoch(),
            attempt: attempt(1),
            task: task(None, json!({"run_ms": run_ms})),
        };
        let reply: StartReply = post_to(&addr, "/start", &start).await.unwrap();
        assert_eq!(reply, StartReply::Started);
        let kill = Command::new("kill").arg(child.id().to_string()).status();
        assert!(kill.unwrap().success());
        vm.wait_until("heartbeat with the leaving flag", |s| {
            s.heartbeats.iter().any(|h| h.leaving)
        })
        .await;
        let status = tokio::task::spawn_blocking(move || child.wait()).await;
        assert_eq!(status.unwrap().unwrap().code(), Some(code), "{run_ms} ms");
    }
}
