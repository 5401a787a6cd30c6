//! End-to-end path of jobs and calls, from submission to the recorded outcome.

use std::time::Duration;

use serde_json::json;
use zinnia_local::Cell;
use zinnia_local::Settings;
use zinnia_types::Resources;

const TIMEOUT: Duration = Duration::from_secs(15);

fn document() -> serde_json::Value {
    json!({
        "teams": [
            {"name": "red", "share": 3, "limit": {"cpu": 64000, "mem": 65536, "gpu": 8}},
            {"name": "blue", "share": 1, "limit": {"cpu": 16000, "mem": 16384}}
        ],
        "kinds": [
            {"name": "api", "class": "service", "tasks": 2, "need": {"cpu": 1000, "mem": 1024}},
            {"name": "build", "class": "batch", "tasks": 3, "need": {"cpu": 1000, "mem": 512}, "runtime_ms": 300},
            {"name": "solve", "class": "gang", "tasks": 2, "need": {"cpu": 2000, "mem": 1024}, "runtime_ms": 300}
        ]
    })
}

/// Guards against a fault anywhere between submission, placement, execution on a worker and the
/// recorded outcome.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn jobs_of_each_class_run_and_calls_are_answered() -> anyhow::Result<()> {
    let mut cell = Cell::start(Settings::default()).await?;
    for (domain_index, domain) in ["east", "north", "west"].into_iter().enumerate() {
        for n in 0..2 {
            let name = format!("w{domain_index}{n}");
            let capacity = Resources {
                cpu: 8000,
                mem: 8192,
                gpu: 0,
            };
            cell.add_worker(&name, domain, &format!("r{n}"), capacity)
                .await?;
        }
    }
    assert_eq!(cell.apply_document(0, &document(), "first").await?, 1);
    let (_, key) = cell.grant_key(1, "red".parse()?).await?;
    let client = cell.operator_client(2).with_key(key);
    cell.wait_until(TIMEOUT, "readiness of all workers", |cell| {
        let client = cell.operator_client(0);
        async move {
            let response = client.get("/v1/workers").await?;
            let workers = response["workers"].as_array().cloned().unwrap_or_default();
            Ok(workers.iter().filter(|w| w["state"] == "ready").count() == 6)
        }
    })
    .await?;
    for (name, kind, payload) in [
        ("web", "api", json!({})),
        ("nightly", "build", json!({"run_ms": 200})),
        ("fit", "solve", json!({"run_ms": 200})),
    ] {
        let body = json!({"name": name, "kind": kind, "payload": payload});
        client.post("/v1/jobs", &body).await?;
    }
    for name in ["nightly", "fit"] {
        let job = cell
            .wait_for_job(&client, name, TIMEOUT, |job| job["state"] == "ended")
            .await?;
        assert_eq!(job["outcome"]["state"], "done", "{job}");
    }
    cell.wait_for_job(&client, "web", TIMEOUT, |job| job["running"] == 2)
        .await?;
    for vm in 0..3 {
        let client = client.with_addr(cell.http_addr(vm));
        let body = format!("{{\"n\":{vm}}}");
        let (status, worker, bytes) = client.call_service("web", &[], body.clone()).await?;
        assert_eq!(status, 200, "{}", String::from_utf8_lossy(&bytes));
        assert!(worker.is_some());
        let response: serde_json::Value = serde_json::from_slice(&bytes)?;
        assert_eq!(response["body"]["n"], vm);
    }
    // These two tasks occupy most of the capacity of the domain, so that the next job has to wait.
    let wide = json!({"name": "wide", "kind": "build", "domain": "west", "tasks": 2,
        "need": {"cpu": 6000, "mem": 512}, "payload": {"run_ms": 60_000}});
    client.post("/v1/jobs", &wide).await?;
    let job = cell
        .wait_for_job(&client, "wide", TIMEOUT, |job| job["running"] == 2)
        .await?;
    assert_eq!(job["attempts"].as_array().map(Vec::len), Some(2), "{job}");
    let next = json!({"name": "next", "kind": "build", "domain": "west",
        "need": {"cpu": 6000, "mem": 512}});
    client.post("/v1/jobs", &next).await?;
    let waits_for_capacity =
        |job: &serde_json::Value| job["why"].as_str().is_some_and(|why| why.contains("room"));
    cell.wait_for_job(&client, "next", TIMEOUT, waits_for_capacity)
        .await?;
    cell.stop().await;
    Ok(())
}
