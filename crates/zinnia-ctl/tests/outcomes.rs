//! Exit codes, retries and request ids.

mod common;

use common::ScriptedResponse;
use common::ScriptedResponse::Api;
use common::ScriptedResponse::Disconnect;
use common::ScriptedResponse::Service;
use common::ScriptedServer;
use common::run_tool;
use serde_json::Value;
use tokio::net::TcpListener;

const NO_QUORUM: ScriptedResponse = Api(
    503,
    r#"{"code":"unavailable","message":"no quorum","step":"propose","peer":"","ran":"no"}"#,
);
const TIMED_OUT: ScriptedResponse = Api(
    504,
    r#"{"code":"timeout","message":"no majority in time","step":"propose","peer":"","ran":"unknown"}"#,
);
const KEY_REFUSED: ScriptedResponse = Api(
    401,
    r#"{"code":"key_refused","message":"key k1 is withdrawn","step":"key","peer":"","ran":"no"}"#,
);
const ACCEPTED: ScriptedResponse = Api(
    200,
    r#"{"id":"00000000000000aa","durable":"quorum","domain":"a"}"#,
);
const BAD_GATEWAY: ScriptedResponse = Api(502, "<html>bad gateway</html>");

struct Case {
    name: &'static str,
    command: &'static str,
    responses: &'static [ScriptedResponse],
    exit_code: u8,
    attempts: usize,
}

/// Guards against an unsafe retry, a missing retry that would be safe, and an exit code that does
/// not tell an unknown outcome from a known one.
#[tokio::test]
async fn retries_and_exit_codes() {
    let submit = "submit --kind proof";
    let default_call = "call quote";
    let cases = [
        Case {
            name: "a final refusal is not retried",
            command: submit,
            responses: &[KEY_REFUSED],
            exit_code: 3,
            attempts: 1,
        },
        Case {
            name: "a transient refusal is retried",
            command: submit,
            responses: &[NO_QUORUM, ACCEPTED],
            exit_code: 0,
            attempts: 2,
        },
        Case {
            name: "a transient refusal that persists",
            command: submit,
            responses: &[NO_QUORUM],
            exit_code: 3,
            attempts: 4,
        },
        Case {
            name: "a lost response is fetched by a retry",
            command: submit,
            responses: &[Disconnect, ACCEPTED],
            exit_code: 0,
            attempts: 2,
        },
        Case {
            name: "an unknown outcome is resolved by a retry",
            command: submit,
            responses: &[TIMED_OUT, ACCEPTED],
            exit_code: 0,
            attempts: 2,
        },
        Case {
            name: "an unknown outcome that persists",
            command: submit,
            responses: &[TIMED_OUT],
            exit_code: 5,
            attempts: 4,
        },
        Case {
            name: "a transient refusal after a lost response leaves the outcome unknown",
            command: submit,
            responses: &[Disconnect, NO_QUORUM],
            exit_code: 5,
            attempts: 4,
        },
        Case {
            name: "a final refusal after a lost response",
            command: submit,
            responses: &[Disconnect, KEY_REFUSED],
            exit_code: 3,
            attempts: 2,
        },
        Case {
            name: "the load balancer lost the connection to the VM",
            command: submit,
            responses: &[BAD_GATEWAY],
            exit_code: 5,
            attempts: 4,
        },
        Case {
            name: "a read that fails is unreachable, not unknown",
            command: "vms",
            responses: &[Disconnect],
            exit_code: 4,
            attempts: 4,
        },
        Case {
            name: "a read that timed out is not retried",
            command: "vms",
            responses: &[TIMED_OUT, Api(200, "{}")],
            exit_code: 3,
            attempts: 1,
        },
        Case {
            name: "a call without a repeat option that was not run",
            command: default_call,
            responses: &[NO_QUORUM, Service(200, "")],
            exit_code: 0,
            attempts: 2,
        },
        Case {
            name: "a call without a repeat option that may have run",
            command: default_call,
            responses: &[TIMED_OUT],
            exit_code: 5,
            attempts: 1,
        },
        Case {
            name: "a call with --no-repeat is retried under its id",
            command: "call quote --no-repeat",
            responses: &[Disconnect, Service(200, "")],
            exit_code: 0,
            attempts: 2,
        },
    ];
    for case in cases {
        let server = ScriptedServer::new(case.responses).await;
        let result = run_tool(&server.addr, case.command, None).await;
        let requests = server.requests();
        assert_eq!(
            result.exit_code, case.exit_code,
            "{}: {}",
            case.name, result.err
        );
        assert_eq!(requests.len(), case.attempts, "{}", case.name);
        for request in &requests {
            assert_eq!(
                request.request_line, requests[0].request_line,
                "{}: the same request line",
                case.name
            );
            assert_eq!(
                request.body, requests[0].body,
                "{}: the same body",
                case.name
            );
            assert_eq!(
                request.headers, requests[0].headers,
                "{}: the same headers",
                case.name
            );
        }
    }
}

/// Guards against request ids that repeat, and against an unknown outcome whose message does not
/// name the request id for a safe repetition.
#[tokio::test]
async fn request_ids_are_unique_and_reported() {
    let server = ScriptedServer::new(&[TIMED_OUT]).await;
    let mut ids = Vec::new();
    for _ in 0..2 {
        let result = run_tool(&server.addr, "key grant --operator", None).await;
        assert_eq!(result.exit_code, 5);
        let body: Value = serde_json::from_str(&server.requests().last().unwrap().body).unwrap();
        let id = body["request"].as_str().unwrap().to_owned();
        assert!(
            result.err.contains(&format!("--request {id}")),
            "{}",
            result.err
        );
        ids.push(id);
    }
    assert_ne!(ids[0], ids[1]);
    assert_eq!(ids[0].len(), 32);
}

/// Guards against accepting an invalid command line, and against help that fails.
#[tokio::test]
async fn invalid_command_lines() {
    struct Case(&'static str, u8, &'static str);
    let cases = [
        Case("", 2, "a command is required"),
        Case("frobnicate", 2, "usage"),
        Case("config", 2, "check, apply, show or history"),
        Case("key", 2, "grant, withdraw or list"),
        Case("config check", 2, "usage"),
        Case("status --limit many", 2, "usage"),
        Case("--help", 0, "Exit codes"),
        Case("config apply --help", 0, "Usage: zinniactl config apply"),
        Case("--server localhost:7070 vms", 2, "IP address"),
    ];
    for Case(command, exit_code, part) in cases {
        let result = run_tool("127.0.0.1:1", command, None).await;
        assert_eq!(result.exit_code, exit_code, "{command}: {}", result.err);
        let text = if exit_code == 0 {
            result.out
        } else {
            result.err
        };
        assert!(text.contains(part), "{command}: {text}");
    }
}

/// Guards against reporting an unreachable cell as an unknown outcome, and against a message that
/// contains the key.
#[tokio::test]
async fn unreachable_cell() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    drop(listener);
    let result = run_tool(&addr, "submit --kind proof", Some("zk_1_secret")).await;
    assert_eq!(result.exit_code, 4, "{}", result.err);
    assert!(result.err.contains(&addr), "{}", result.err);
    let result = run_tool(&addr, "vms", Some("bad\nkey")).await;
    assert_eq!(result.exit_code, 4);
    assert!(!result.err.contains("bad"), "{}", result.err);
}
