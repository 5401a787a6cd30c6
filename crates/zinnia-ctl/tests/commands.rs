//! Requests, output and exit codes of every command, against a server with scripted responses.
#![expect(clippy::unwrap_used, reason = "helpers of tests")]

mod common;

use std::fs;

use common::ScriptedResponse;
use common::ScriptedResponse::Api;
use common::ScriptedResponse::Disconnect;
use common::ScriptedResponse::Service;
use common::ScriptedServer;
use common::run_tool;
use tempfile::TempDir;

const DOCUMENT: &str = r#"{
  // Comments are allowed.
  "teams": [{"name": "kibo", "share": 1, "limit": {"cpu": 1000, "mem": 1024}}],
  "kinds": [{"name": "proof", "class": "service", "need": {"cpu": 500, "mem": 512}}]
}"#;

/// A command, the responses of the server, and the expected requests, output and exit code.
#[derive(Clone, Copy)]
struct Case {
    /// Command line; `DIR` is replaced by the path of a folder with the files of [`write_files`].
    command: &'static str,
    responses: &'static [ScriptedResponse],
    exit_code: u8,
    /// Expected parts of standard output, in order.
    out: &'static [&'static str],
    /// Expected parts of standard error, in order.
    err: &'static [&'static str],
    /// Expected requests: the request line and a part of the body.
    requests: &'static [(&'static str, &'static str)],
}

/// Defaults of the fields that a case does not set.
const CASE: Case = Case {
    command: "",
    responses: &[Api(200, "{}")],
    exit_code: 0,
    out: &[],
    err: &[],
    requests: &[],
};

/// Creates a folder with valid and invalid documents and submissions.
fn write_files() -> TempDir {
    let dir = TempDir::new().unwrap();
    let write = |name: &str, text: &str| fs::write(dir.path().join(name), text).unwrap();
    write("valid.jsonc", DOCUMENT);
    write(
        "invalid.jsonc",
        &DOCUMENT.replace("\"share\": 1", "\"share\": 0"),
    );
    write(
        "unknown-field.jsonc",
        r#"{"name": "j1", "kind": "proof", "task": 2}"#,
    );
    write(
        "unknown-key.jsonc",
        "{\n  \"teams\": [],\n  \"kind\": []\n}",
    );
    write(
        "submission.jsonc",
        r#"{"name": "j1", "kind": "proof", "tasks": 2} // job"#,
    );
    dir
}

#[track_caller]
fn assert_parts_in_order(text: &str, parts: &[&str], context: &str) {
    let mut offset = 0;
    for part in parts {
        let found = text[offset..].find(part);
        assert!(found.is_some(), "{context}: no {part:?} in {text:?}");
        offset += found.unwrap() + part.len();
    }
}

/// Runs each case and compares the requests, the output and the exit code.
async fn check(cases: &[Case]) {
    let dir = write_files();
    for case in cases {
        let server = ScriptedServer::new(case.responses).await;
        let command = case.command.replace("DIR", dir.path().to_str().unwrap());
        let result = run_tool(&server.addr, &command, Some("zk_1_secret")).await;
        let requests = server.requests();
        let context = format!(
            "{}: {:?} {:?} {requests:?}",
            case.command, result.out, result.err
        );
        assert_eq!(result.exit_code, case.exit_code, "{context}");
        assert_parts_in_order(&result.out, case.out, case.command);
        assert_parts_in_order(&result.err, case.err, case.command);
        if case.exit_code == 0 {
            assert_eq!(result.err, "", "{context}");
        } else if !case.responses.iter().any(|a| matches!(a, Service(..))) {
            assert_eq!(result.out, "", "{context}");
            assert_ne!(result.err, "", "{context}");
        }
        assert!(!result.err.contains("zk_1_secret"), "{context}");
        assert_eq!(requests.len(), case.requests.len(), "{context}");
        for (request, (request_line, body)) in requests.iter().zip(case.requests) {
            assert_eq!(&request.request_line, request_line, "{context}");
            assert!(request.body.contains(body), "{body}: {context}");
            assert!(request.headers.contains("Bearer zk_1_secret"), "{context}");
        }
    }
}

const CONFLICT: &str = r#"{"code":"conflict","message":"version 8 is in force","step":"propose",
    "peer":"","ran":"no","winner":{"version":8,"hash":"beef"}}"#;

/// Guards against applying a document that was not checked, and against overwriting a concurrent
/// edit.
#[tokio::test]
async fn config() {
    check(&[
        Case { command: "config check DIR/valid.jsonc", out: &["1 teams, 1 kinds, 0 shifts, no problems"], ..CASE },
        Case { command: "--json config check DIR/valid.jsonc", out: &["\"problems\": []"], ..CASE },
        Case { command: "config check DIR/invalid.jsonc", exit_code: 3, err: &["refused", "1 problem", "teams[0].share: a share is at least 1"], ..CASE },
        Case { command: "--json config check DIR/invalid.jsonc", exit_code: 3, err: &["{", "\"path\":\"teams[0].share\""], ..CASE },
        Case { command: "config check DIR/unknown-key.jsonc", exit_code: 2, err: &["unknown-key.jsonc: line 3, column 8: unknown field `kind`"], ..CASE },
        Case { command: "config check DIR/missing.jsonc", exit_code: 1, err: &["missing.jsonc"], ..CASE },
        Case { command: "config apply DIR/invalid.jsonc", exit_code: 3, err: &["teams[0].share"], ..CASE },
        Case {
            command: "config apply DIR/valid.jsonc",
            responses: &[Api(200, r#"{"version":7,"hash":"aa","document":{}}"#), Api(200, r#"{"version":8,"hash":"bb"}"#)],
            out: &["version 8 in force, hash bb"],
            requests: &[("GET /v1/document", ""), ("PUT /v1/document", "\"from\":7,\"document\":{\"teams\":[{\"name\":\"kibo\"")],
            ..CASE
        },
        Case {
            command: "config apply --from 6 --request r1 DIR/valid.jsonc",
            responses: &[Api(409, CONFLICT)],
            exit_code: 3,
            err: &["refused: propose: version 8 is in force [not run]", "version 8, hash beef"],
            requests: &[("PUT /v1/document", "{\"request\":\"r1\",\"from\":6,")],
            ..CASE
        },
        Case {
            command: "config show",
            responses: &[Api(200, r#"{"version":7,"hash":"aa","document":{"teams":[]}}"#)],
            out: &["// version 7, hash aa\n{", "\"teams\": []"],
            requests: &[("GET /v1/document", "")],
            ..CASE
        },
        Case {
            command: "config show --version 3",
            responses: &[Api(404, r#"{"code":"not_found","message":"version 3 is not kept","step":"read","peer":"","ran":"no"}"#)],
            exit_code: 3,
            err: &["version 3 is not kept"],
            requests: &[("GET /v1/document/history?version=3", "")],
            ..CASE
        },
        Case {
            command: "config history",
            responses: &[Api(200, r#"{"versions":[{"version":7,"from":6,"hash":"aa","request":"r","at_ms":5}]}"#)],
            out: &["VERSION  FROM  HASH  AT_MS  REQUEST\n", "7        6     aa    5      r\n"],
            requests: &[("GET /v1/document/history", "")],
            ..CASE
        },
    ])
    .await;
}

/// Guards against a key that is granted to no holder or to two, and against a key that is not
/// printed.
#[tokio::test]
async fn keys() {
    let granted = Api(200, r#"{"id":"k1","key":"zk_k1_s"}"#);
    let responses: &'static [ScriptedResponse] = Box::leak(Box::new([granted]));
    check(&[
        Case { command: "key grant --team kibo", responses, out: &["k1", "zk_k1_s"], requests: &[("POST /v1/keys", "\"team\":\"kibo\"")], ..CASE },
        Case { command: "--json key grant --operator --request r9", responses, out: &["\"key\": \"zk_k1_s\""], requests: &[("POST /v1/keys", "{\"operator\":true,\"request\":\"r9\"}")], ..CASE },
        Case { command: "key grant", exit_code: 2, err: &["either --team TEAM or --operator"], ..CASE },
        Case { command: "key grant --team a --operator", exit_code: 2, err: &["either"], ..CASE },
        Case { command: "key withdraw", exit_code: 2, err: &["usage"], ..CASE },
        Case {
            command: "key withdraw k1 k2",
            responses: &[Api(200, r#"{"durable":"memory"}"#)],
            out: &["2 withdrawn, durable: memory"],
            requests: &[("POST /v1/keys/withdraw", "{\"ids\":[\"k1\",\"k2\"]}")],
            ..CASE
        },
        Case {
            command: "key list",
            responses: &[Api(200, r#"{"keys":[{"id":"k1","team":null,"operator":true,"withdrawn":false,"granted_ms":1}]}"#)],
            out: &["ID  TEAM  OPERATOR  WITHDRAWN  GRANTED_MS\n", "k1  -     true      false      1\n"],
            requests: &[("GET /v1/keys", "")],
            ..CASE
        },
    ])
    .await;
}

const JOB_LIST: &str = r#"{"jobs":[{"id":"00000000000000aa","team":"kibo","name":"j1","kind":"proof","class":"service",
    "state":"ended","tasks":2,"running":0,"done":1,"why":null,"outcome":{"state":"failed","why":"x\u001b[2J"}}],"more":true}"#;
const AMBIGUOUS_LIST: &str =
    r#"{"jobs":[{"id":"00000000000000aa","name":"j1"},{"id":"00000000000000bb","name":"j1"}]}"#;
const JOB: &str = r#"{"id":"00000000000000aa","name":"j1","state":"running","attempts":[{"task":0,"attempt":"a.0.1.1","worker":"w1","state":"running"}]}"#;

/// Guards against submissions that lose a field, unsafe retries of a cancellation, and control
/// characters in the terminal output.
#[tokio::test]
async fn jobs() {
    check(&[
        Case {
            command: "submit --file DIR/submission.jsonc --tasks 3 --no-repeat --payload '{\"a\": 1}'",
            responses: &[Api(200, r#"{"id":"00000000000000aa","durable":"quorum","domain":"a"}"#)],
            out: &["job 00000000000000aa (j1) accepted in a, durable: quorum"],
            requests: &[("POST /v1/jobs", r#"{"name":"j1","kind":"proof","tasks":3,"repeat":false,"payload":{"a":1}}"#)],
            ..CASE
        },
        Case { command: "submit --file DIR/unknown-field.jsonc", exit_code: 2, err: &["unknown field task"], ..CASE },
        Case { command: "submit --name j1", exit_code: 2, err: &["missing field `kind`"], ..CASE },
        Case { command: "submit --kind proof --payload '{'", exit_code: 2, err: &["--payload is not JSON"], ..CASE },
        Case {
            command: "submit --kind huge --name j1",
            responses: &[Api(422, r#"{"code":"never_fits","message":"no worker has 9 gpu","step":"admit","peer":"","ran":"no"}"#)],
            exit_code: 3,
            err: &["refused: admit: no worker has 9 gpu [not run]"],
            requests: &[("POST /v1/jobs", "\"huge\"")],
            ..CASE
        },
        Case {
            command: "status --team kibo --state ended --limit 1",
            responses: &[Api(200, JOB_LIST)],
            out: &["ID ", "00000000000000aa  kibo  j1    proof  service  ended  2      0        1     -    failed: x\u{fffd}[2J", "More jobs match"],
            requests: &[("GET /v1/jobs?team=kibo&state=ended&limit=1", "")],
            ..CASE
        },
        Case { command: "--json status", responses: &[Api(200, JOB_LIST)], out: &["\"more\": true"], requests: &[("GET /v1/jobs", "")], ..CASE },
        Case {
            command: "status 00000000000000aa",
            responses: &[Api(200, JOB)],
            out: &["state    running", "WORKER", "w1"],
            requests: &[("GET /v1/jobs/00000000000000aa", "")],
            ..CASE
        },
        Case {
            command: "status j1",
            responses: &[Api(200, JOB_LIST), Api(200, JOB)],
            out: &["running"],
            requests: &[("GET /v1/jobs?prefix=j1", ""), ("GET /v1/jobs/00000000000000aa", "")],
            ..CASE
        },
        Case { command: "status 'a&b c'", responses: &[Api(200, JOB_LIST)], exit_code: 3, err: &["no job is called a&b c"], requests: &[("GET /v1/jobs?prefix=a%26b+c", "")], ..CASE },
        Case { command: "status j1", responses: &[Api(200, AMBIGUOUS_LIST)], exit_code: 3, err: &["add --team"], requests: &[("GET /v1/jobs?prefix=j1", "")], ..CASE },
        Case {
            command: "cancel j1 j2",
            responses: &[Disconnect, Api(200, r#"{"cancelled":2}"#)],
            out: &["2 cancelled"],
            requests: &[("POST /v1/cancel", r#"{"jobs":["j1","j2"]}"#), ("POST /v1/cancel", r#"{"jobs":["j1","j2"]}"#)],
            ..CASE
        },
        Case {
            command: "cancel --prefix nightly- --team kibo",
            responses: &[Disconnect],
            exit_code: 5,
            err: &["outcome unknown"],
            requests: &[("POST /v1/cancel", r#"{"prefix":"nightly-","team":"kibo"}"#)],
            ..CASE
        },
        Case { command: "cancel", exit_code: 2, err: &["either names or"], ..CASE },
        Case { command: "cancel j1 --kind proof", exit_code: 2, err: &["either names or"], ..CASE },
    ])
    .await;
}

/// Guards against altering the response of a service, and against taking it for a refusal by the
/// cell.
#[tokio::test]
async fn calls() {
    check(&[
        Case {
            command: "call quote --body '{\"n\": 1}'",
            responses: &[Service(200, "plain \u{1b} text")],
            out: &["plain \u{1b} text"],
            requests: &[("POST /v1/call/quote", "{\"n\": 1}")],
            ..CASE
        },
        Case {
            command: "call quote",
            responses: &[Service(404, "no such beer mat")],
            exit_code: 3,
            out: &["no such beer mat"],
            err: &["status 404", "[ran]"],
            requests: &[("POST /v1/call/quote", "")],
        },
        Case {
            command: "call quote",
            responses: &[Disconnect],
            exit_code: 5,
            err: &["outcome unknown"],
            requests: &[("POST /v1/call/quote", "")],
            ..CASE
        },
        Case {
            command: "call quote --repeat",
            responses: &[Disconnect, Service(200, "ok")],
            out: &["ok"],
            requests: &[("POST /v1/call/quote", ""), ("POST /v1/call/quote", "")],
            ..CASE
        },
        Case {
            command: "call quote --repeat --no-repeat",
            exit_code: 2,
            err: &["exclude"],
            ..CASE
        },
        Case {
            command: "call 'no name'",
            exit_code: 2,
            err: &["service"],
            ..CASE
        },
    ])
    .await;
}

/// Guards against tables and dumps that differ from the data in the response.
#[tokio::test]
async fn views() {
    check(&[
        Case {
            command: "workers",
            responses: &[Api(200, r#"{"workers":[{"worker":"w1","domain":"a","rack":"r1","state":"ready","capacity":{"cpu":64000,"mem":131072,"gpu":8},"used":{"cpu":500,"mem":512,"gpu":0},"tasks":1,"owner":"0a","heard_ms":12}]}"#)],
            out: &["WORKER", "w1      a       r1    ready  64.0c 128.0G 8gpu  0.5c 0.5G  1      0a     12"],
            requests: &[("GET /v1/workers", "")],
            ..CASE
        },
        Case {
            command: "vms",
            responses: &[Api(200, r#"{"vms":[{"vm":"0a","addr":"127.0.0.1:1","domain":"a","role":"leader","acting":true,"disk":"ok","version":3,"heard_ms":0}]}"#)],
            out: &["VM  ADDR", "0a  127.0.0.1:1  a       leader  true    ok    3        0"],
            requests: &[("GET /v1/vms", "")],
            ..CASE
        },
        Case { command: "dump", responses: &[Api(200, r#"{"raft":{"term":4}}"#)], out: &["\"term\": 4"], requests: &[("GET /v1/dump", "")], ..CASE },
        Case { command: "vms", responses: &[Api(200, "<html>")], exit_code: 4, err: &["unexpected shape"], requests: &[("GET /v1/vms", "")], ..CASE },
    ])
    .await;
}
