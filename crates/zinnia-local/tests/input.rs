//! Refusal of invalid requests, and confidentiality of secrets.

use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use anyhow::ensure;
use http::Method;
use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use zinnia_daemon::settings::BoundSettings;
use zinnia_local::Cell;
use zinnia_local::Settings;
use zinnia_types::Code;
use zinnia_types::ErrorBody;
use zinnia_types::ExecutionStatus;
use zinnia_types::Resources;

/// API key that is sent with a request.
#[derive(Clone, Copy)]
enum Key {
    None,
    /// The key of team `red` with a wrong secret.
    WrongSecret,
    Withdrawn,
    /// The key of team `red`.
    Team,
    Operator,
}

/// An invalid request and the expected refusal.
struct Case {
    name: &'static str,
    method: Method,
    path: &'static str,
    key: Key,
    body: String,
    code: Code,
    /// Text that the error message must contain, because it names the cause of the refusal.
    expected_text: &'static str,
}

fn case(
    name: &'static str,
    (method, path): (Method, &'static str),
    key: Key,
    body: impl Into<String>,
    code: Code,
    expected_text: &'static str,
) -> Case {
    Case {
        name,
        method,
        path,
        key,
        body: body.into(),
        code,
        expected_text,
    }
}

fn cases() -> Vec<Case> {
    let jobs = || (Method::POST, "/v1/jobs");
    let document = || (Method::PUT, "/v1/document");
    let job = |rest: &str| format!(r#"{{"name": "j", "kind": "build"{rest}}}"#);
    let apply_request =
        |document: &str| format!(r#"{{"request": "r", "from": 1, "document": {document}}}"#);
    let zero_share =
        r#"{"teams": [{"name": "red", "share": 0, "limit": {"cpu": 1, "mem": 1}}], "kinds": []}"#;
    vec![
        case(
            "no key",
            jobs(),
            Key::None,
            job(""),
            Code::KeyRefused,
            "key",
        ),
        case(
            "key with a wrong secret",
            jobs(),
            Key::WrongSecret,
            job(""),
            Code::KeyRefused,
            "not known",
        ),
        case(
            "withdrawn key",
            jobs(),
            Key::Withdrawn,
            job(""),
            Code::KeyRefused,
            "withdrawn",
        ),
        case(
            "job from the operator",
            jobs(),
            Key::Operator,
            job(""),
            Code::Forbidden,
            "team",
        ),
        case(
            "document from a team",
            document(),
            Key::Team,
            apply_request("{}"),
            Code::Forbidden,
            "operator",
        ),
        case(
            "dump for a team",
            (Method::GET, "/v1/dump"),
            Key::Team,
            "",
            Code::Forbidden,
            "operator",
        ),
        case("not JSON", jobs(), Key::Team, "{", Code::BadRequest, "EOF"),
        case(
            "unknown field",
            jobs(),
            Key::Team,
            job(r#", "colour": 1"#),
            Code::BadRequest,
            "colour",
        ),
        case(
            "unknown kind",
            jobs(),
            Key::Team,
            r#"{"name": "j", "kind": "x"}"#,
            Code::BadRequest,
            "kind",
        ),
        case(
            "no tasks",
            jobs(),
            Key::Team,
            job(r#", "tasks": 0"#),
            Code::BadRequest,
            "tasks",
        ),
        case(
            "body too large",
            jobs(),
            Key::Team,
            "x".repeat(70_000),
            Code::TooLarge,
            "large",
        ),
        case(
            "task larger than any worker",
            jobs(),
            Key::Team,
            job(r#", "need": {"cpu": 9000, "mem": 1}"#),
            Code::NeverFits,
            "workers",
        ),
        case(
            "task larger than the team limit",
            jobs(),
            Key::Team,
            job(r#", "need": {"cpu": 99000, "mem": 1}"#),
            Code::NeverFits,
            "team red",
        ),
        case(
            "unknown domain",
            jobs(),
            Key::Team,
            job(r#", "domain": "south""#),
            Code::BadRequest,
            "south",
        ),
        case(
            "document with a share of zero",
            document(),
            Key::Operator,
            apply_request(zero_share),
            Code::BadRequest,
            "share",
        ),
        case(
            "unknown field in a document",
            document(),
            Key::Operator,
            apply_request(r#"{"teams": [], "kinds": [], "x": 1}"#),
            Code::BadRequest,
            "unknown field",
        ),
        case(
            "document based on an old version",
            document(),
            Key::Operator,
            r#"{"request": "r", "from": 0, "document": {"teams": [], "kinds": []}}"#,
            Code::Conflict,
            "another edit",
        ),
        case(
            "key for an unknown team",
            (Method::POST, "/v1/keys"),
            Key::Operator,
            r#"{"request": "q", "team": "green"}"#,
            Code::NotFound,
            "green",
        ),
        case(
            "key without an owner",
            (Method::POST, "/v1/keys"),
            Key::Operator,
            r#"{"request": "q"}"#,
            Code::BadRequest,
            "team or operator",
        ),
        case(
            "cancellation without jobs",
            (Method::POST, "/v1/cancel"),
            Key::Team,
            "{}",
            Code::BadRequest,
            "prefix",
        ),
        case(
            "unknown service",
            (Method::POST, "/v1/call/nobody"),
            Key::Team,
            "x",
            Code::NotFound,
            "nobody",
        ),
        case(
            "unknown job",
            (Method::GET, "/v1/jobs/nobody"),
            Key::Team,
            "",
            Code::NotFound,
            "nobody",
        ),
        case(
            "unknown route",
            (Method::GET, "/v2/jobs"),
            Key::Team,
            "",
            Code::NotFound,
            "route",
        ),
        case(
            "heartbeat of an unknown worker",
            (Method::POST, "/v1/workers/heartbeat"),
            Key::None,
            r#"{"worker": "w", "boot": 1, "epoch": 1, "seq": 1}"#,
            Code::StaleEpoch,
            "own",
        ),
        case(
            "heartbeat without fields",
            (Method::POST, "/v1/workers/heartbeat"),
            Key::None,
            "{}",
            Code::BadRequest,
            "worker",
        ),
    ]
}

/// Captured log output of the daemons and workers. Clones share the buffer.
#[derive(Clone, Default)]
struct CapturedLog(Arc<Mutex<Vec<u8>>>);

impl io::Write for CapturedLog {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut log = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        log.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against refusals with a wrong error code, refused requests that change state, and secrets
/// in log lines of any level, dumps, metrics or refusals.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn bad_input_is_refused_and_secrets_stay_secret() -> Result<()> {
    let log = CapturedLog::default();
    let writer = log.clone();
    tracing_subscriber::fmt()
        .with_max_level(tracing::Level::TRACE)
        .with_writer(move || writer.clone())
        .init();
    let mut cell = Cell::start(Settings::default()).await?;
    let capacity = Resources {
        cpu: 8_000,
        mem: 8_192,
        gpu: 0,
    };
    cell.add_worker("w0", "east", "r1", capacity).await?;
    let document = json!({
        "teams": [{"name": "red", "share": 1, "limit": {"cpu": 16000, "mem": 16384}}],
        "kinds": [{"name": "build", "class": "batch", "need": {"cpu": 1000, "mem": 512}}],
    });
    cell.apply_document(0, &document, "first").await?;
    let (withdrawn_id, withdrawn_key) = cell.grant_key(0, "red".parse()?).await?;
    let operator = cell.operator_client(0);
    operator
        .post("/v1/keys/withdraw", &json!({"ids": [withdrawn_id]}))
        .await?;
    let body = json!({"request": "second", "team": "red"});
    let response = operator.post("/v1/keys", &body).await?;
    let key = response["key"]
        .as_str()
        .context("the response has no key")?
        .to_owned();
    cell.wait_until(Duration::from_secs(20), "readiness of the worker", |cell| {
        let client = cell.operator_client(0);
        async move {
            let response = client.get("/v1/workers").await?;
            Ok(response["workers"][0]["state"] == "ready")
        }
    })
    .await?;
    let operator_key = "zk_root_local-operator-secret";
    let secrets = [
        "local-operator-secret",
        "local-cluster-key-of-at-least-32-bytes",
        secret_part(&key),
        secret_part(&withdrawn_key),
    ];
    let http = zinnia_http::Client::new(Duration::from_secs(10));
    let mut output = String::new();
    for case in cases() {
        let wrong_key = format!("{key}x");
        let key = match case.key {
            Key::None => None,
            Key::WrongSecret => Some(wrong_key.as_str()),
            Key::Withdrawn => Some(withdrawn_key.as_str()),
            Key::Team => Some(key.as_str()),
            Key::Operator => Some(operator_key),
        };
        let addr = cell.http_addr(0);
        let response = http.send_bytes(case.method, &addr, case.path, key, case.body.into());
        let (status, bytes) = response.await.with_context(|| case.name)?;
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let body: ErrorBody = serde_json::from_str(&text)
            .with_context(|| format!("{}: {status} {text}", case.name))?;
        assert_eq!(body.code, case.code, "{}: {text}", case.name);
        assert_eq!(status, case.code.status(), "{}: {text}", case.name);
        assert_eq!(body.ran, ExecutionStatus::NotRun, "{}: {text}", case.name);
        assert!(text.contains(case.expected_text), "{}: {text}", case.name);
        output.push_str(&text);
    }
    let jobs = operator.get("/v1/jobs").await?;
    assert_eq!(jobs["jobs"], json!([]), "a refused job was accepted");
    assert_eq!(operator.get("/v1/document").await?["version"], 1);
    for vm in 0..cell.len() {
        let client = cell.operator_client(vm);
        for path in ["/v1/dump", "/v1/keys", "/v1/vms", "/v1/workers"] {
            let value: Value = client.get(path).await?;
            output.push_str(&value.to_string());
        }
        let addr = cell.http_addr(vm);
        let response = http.send(Method::GET, &addr, "/metrics", None, &());
        output.push_str(&String::from_utf8_lossy(&response.await?.1));
    }
    cell.stop().await;
    let log = log.0.lock().unwrap_or_else(PoisonError::into_inner);
    let log = String::from_utf8_lossy(&log);
    ensure!(log.contains("acting owner"), "the log was not captured");
    for secret in secrets {
        assert!(!output.contains(secret), "a response contains a secret");
        if let Some(line) = log.lines().find(|l| l.contains(secret)) {
            panic!(
                "a log line contains a secret: {}",
                line.replace(secret, "***")
            );
        }
    }
    Ok(())
}

/// Secret part of an API key of the form `zk_<id>_<secret>`.
fn secret_part(key: &str) -> &str {
    key.rsplit('_').next().unwrap_or(key)
}

/// Guards against a client that occupies a connection and a request slot by sending its body too
/// slowly.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_with_a_slow_body_is_aborted() -> Result<()> {
    let settings = Settings {
        bounds: BoundSettings {
            read_ms: 300,
            ..BoundSettings::default()
        },
        ..Settings::default()
    };
    let cell = Cell::start(settings).await?;
    let mut stream = tokio::net::TcpStream::connect(cell.http_addr(0)).await?;
    let incomplete_request =
        "POST /v1/workers/heartbeat HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\n{";
    stream.write_all(incomplete_request.as_bytes()).await?;
    let mut response = Vec::new();
    let read = stream.read_to_end(&mut response);
    tokio::time::timeout(Duration::from_secs(30), read)
        .await
        .context("the connection is still open after 30 s")??;
    let text = String::from_utf8_lossy(&response);
    assert!(!text.starts_with("HTTP/1.1 2"), "{text}");
    cell.stop().await;
    Ok(())
}
