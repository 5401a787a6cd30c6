//! Bad input of each kind gets its own refusal, and secrets appear nowhere.

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

/// Which key comes with a request.
#[derive(Clone, Copy)]
enum Key {
    None,
    Wrong,
    Withdrawn,
    Team,
    Operator,
}

struct Case {
    name: &'static str,
    method: Method,
    path: &'static str,
    key: Key,
    body: String,
    code: Code,
    /// A word that the message must hold, so that it says what is wrong.
    says: &'static str,
}

fn case(
    name: &'static str,
    (method, path): (Method, &'static str),
    key: Key,
    body: impl Into<String>,
    code: Code,
    says: &'static str,
) -> Case {
    Case {
        name,
        method,
        path,
        key,
        body: body.into(),
        code,
        says,
    }
}

fn cases() -> Vec<Case> {
    let jobs = || (Method::POST, "/v1/jobs");
    let document = || (Method::PUT, "/v1/document");
    let job = |rest: &str| format!(r#"{{"name": "j", "kind": "build"{rest}}}"#);
    let edit = |doc: &str| format!(r#"{{"request": "r", "from": 1, "document": {doc}}}"#);
    let teamless =
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
            "wrong key",
            jobs(),
            Key::Wrong,
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
            "operator submits",
            jobs(),
            Key::Operator,
            job(""),
            Code::Forbidden,
            "team",
        ),
        case(
            "team edits",
            document(),
            Key::Team,
            edit("{}"),
            Code::Forbidden,
            "operator",
        ),
        case(
            "team dumps",
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
            "fits nowhere",
            jobs(),
            Key::Team,
            job(r#", "need": {"cpu": 9000, "mem": 1}"#),
            Code::NeverFits,
            "workers",
        ),
        case(
            "beyond the limit",
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
            "faulty document",
            document(),
            Key::Operator,
            edit(teamless),
            Code::BadRequest,
            "share",
        ),
        case(
            "unknown field of a document",
            document(),
            Key::Operator,
            edit(r#"{"teams": [], "kinds": [], "x": 1}"#),
            Code::BadRequest,
            "unknown field",
        ),
        case(
            "older version",
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
            "key for nobody",
            (Method::POST, "/v1/keys"),
            Key::Operator,
            r#"{"request": "q"}"#,
            Code::BadRequest,
            "team or operator",
        ),
        case(
            "cancel nothing",
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
            "heartbeat of a stranger",
            (Method::POST, "/v1/workers/heartbeat"),
            Key::None,
            r#"{"worker": "w", "boot": 1, "epoch": 1, "seq": 1}"#,
            Code::StaleEpoch,
            "own",
        ),
        case(
            "heartbeat that is none",
            (Method::POST, "/v1/workers/heartbeat"),
            Key::None,
            "{}",
            Code::BadRequest,
            "worker",
        ),
    ]
}

#[derive(Clone, Default)]
struct Log(Arc<Mutex<Vec<u8>>>);

impl io::Write for Log {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut log = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        log.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against a refusal with the wrong code, one that changes something, and a secret in a log
/// line (at every level), a dump, a metric or a refusal.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn bad_input_is_refused_and_secrets_stay_secret() -> Result<()> {
    let log = Log::default();
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
    let (id, withdrawn) = cell.grant_key(0, "red".parse()?).await?;
    let operator = cell.operator_client(0);
    operator
        .post("/v1/keys/withdraw", &json!({"ids": [id]}))
        .await?;
    let body = json!({"request": "second", "team": "red"});
    let granted = operator.post("/v1/keys", &body).await?;
    let key = granted["key"].as_str().context("no key")?.to_owned();
    cell.wait_until(Duration::from_secs(20), "the worker", |cell| {
        let client = cell.operator_client(0);
        async move {
            let list = client.get("/v1/workers").await?;
            Ok(list["workers"][0]["state"] == "ready")
        }
    })
    .await?;
    let root = "zk_root_local-operator-secret";
    let secrets = [
        "local-operator-secret",
        "local-cluster-key-of-at-least-32-bytes",
        secret(&key),
        secret(&withdrawn),
    ];
    let http = zinnia_http::Client::new(Duration::from_secs(10));
    let mut seen = String::new();
    for case in cases() {
        let wrong = format!("{key}x");
        let key = match case.key {
            Key::None => None,
            Key::Wrong => Some(wrong.as_str()),
            Key::Withdrawn => Some(withdrawn.as_str()),
            Key::Team => Some(key.as_str()),
            Key::Operator => Some(root),
        };
        let addr = cell.http_addr(0);
        let sent = http.send_bytes(case.method, &addr, case.path, key, case.body.into());
        let (status, bytes) = sent.await.with_context(|| case.name)?;
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let body: ErrorBody = serde_json::from_str(&text)
            .with_context(|| format!("{}: {status} {text}", case.name))?;
        assert_eq!(body.code, case.code, "{}: {text}", case.name);
        assert_eq!(status, case.code.status(), "{}: {text}", case.name);
        assert_eq!(body.ran, ExecutionStatus::NotRun, "{}: {text}", case.name);
        assert!(text.contains(case.says), "{}: {text}", case.name);
        seen.push_str(&text);
    }
    let jobs = operator.get("/v1/jobs").await?;
    assert_eq!(jobs["jobs"], json!([]), "nothing was accepted");
    assert_eq!(operator.get("/v1/document").await?["version"], 1);
    for at in 0..cell.len() {
        let client = cell.operator_client(at);
        for path in ["/v1/dump", "/v1/keys", "/v1/vms", "/v1/workers"] {
            let value: Value = client.get(path).await?;
            seen.push_str(&value.to_string());
        }
        let addr = cell.http_addr(at);
        let sent = http.send(Method::GET, &addr, "/metrics", None, &());
        seen.push_str(&String::from_utf8_lossy(&sent.await?.1));
    }
    cell.stop().await;
    let log = log.0.lock().unwrap_or_else(PoisonError::into_inner);
    let log = String::from_utf8_lossy(&log);
    ensure!(log.contains("acting owner"), "the log was not captured");
    for secret in secrets {
        assert!(!seen.contains(secret), "a secret in an answer");
        if let Some(line) = log.lines().find(|l| l.contains(secret)) {
            panic!("a secret in the log: {}", line.replace(secret, "***"));
        }
    }
    Ok(())
}

/// The secret part of a key.
fn secret(key: &str) -> &str {
    key.rsplit('_').next().unwrap_or(key)
}

/// Guards against a client that holds a connection and a place by sending its body too slowly.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_slow_body_is_given_up() -> Result<()> {
    let settings = Settings {
        bounds: BoundSettings {
            read_ms: 300,
            ..BoundSettings::default()
        },
        ..Settings::default()
    };
    let cell = Cell::start(settings).await?;
    let mut stream = tokio::net::TcpStream::connect(cell.http_addr(0)).await?;
    let head = "POST /v1/workers/heartbeat HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\n{";
    stream.write_all(head.as_bytes()).await?;
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer);
    tokio::time::timeout(Duration::from_secs(30), read)
        .await
        .context("the connection is still open after 30 s")??;
    let text = String::from_utf8_lossy(&answer);
    assert!(!text.starts_with("HTTP/1.1 2"), "{text}");
    cell.stop().await;
    Ok(())
}
