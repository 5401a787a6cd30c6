//! The whole path from a submission to its end, against real daemons and workers.

use std::time::Duration;

use serde_json::json;
use zinnia_local::Cell;
use zinnia_local::Settings;
use zinnia_types::Resources;

const LIMIT: Duration = Duration::from_secs(15);

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

/// Guards against a break anywhere between submission, placement, worker and recorded end.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn jobs_of_each_class_run_and_calls_are_answered() -> anyhow::Result<()> {
    let mut cell = Cell::start(Settings::default()).await?;
    for (i, domain) in ["east", "north", "west"].into_iter().enumerate() {
        for n in 0..2 {
            let name = format!("w{i}{n}");
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
    cell.wait_until(LIMIT, "workers in the roster", |cell| {
        let client = cell.operator_client(0);
        async move {
            let list = client.get("/v1/workers").await?;
            let ready = list["workers"].as_array().cloned().unwrap_or_default();
            Ok(ready.iter().filter(|w| w["state"] == "ready").count() == 6)
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
        let row = cell
            .wait_for_job(&client, name, LIMIT, |r| r["state"] == "ended")
            .await?;
        assert_eq!(row["outcome"]["state"], "done", "{row}");
    }
    cell.wait_for_job(&client, "web", LIMIT, |r| r["running"] == 2)
        .await?;
    for at in 0..3 {
        let client = client.with_addr(cell.http_addr(at));
        let body = format!("{{\"n\":{at}}}");
        let (status, worker, bytes) = client.call_service("web", &[], body.clone()).await?;
        assert_eq!(status, 200, "{}", String::from_utf8_lossy(&bytes));
        assert!(worker.is_some());
        let answer: serde_json::Value = serde_json::from_slice(&bytes)?;
        assert_eq!(answer["body"]["n"], at);
    }
    let wide = json!({"name": "wide", "kind": "build", "domain": "west", "tasks": 2,
        "need": {"cpu": 6000, "mem": 512}, "payload": {"run_ms": 60_000}});
    client.post("/v1/jobs", &wide).await?;
    let row = cell
        .wait_for_job(&client, "wide", LIMIT, |r| r["running"] == 2)
        .await?;
    assert_eq!(row["attempts"].as_array().map(Vec::len), Some(2), "{row}");
    let next = json!({"name": "next", "kind": "build", "domain": "west",
        "need": {"cpu": 6000, "mem": 512}});
    client.post("/v1/jobs", &next).await?;
    let waits = |r: &serde_json::Value| r["why"].as_str().is_some_and(|w| w.contains("room"));
    cell.wait_for_job(&client, "next", LIMIT, waits).await?;
    cell.stop().await;
    Ok(())
}
