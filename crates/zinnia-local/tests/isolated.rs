//! Operation of a failure domain that is isolated from the rest of the cell.

use std::time::Duration;

use http::Method;
use serde_json::json;
use zinnia_local::Cell;
use zinnia_local::Settings;
use zinnia_types::LeaseSettings;
use zinnia_types::Resources;
use zinnia_worker::WorkerEvent;

const TIMEOUT: Duration = Duration::from_secs(20);

/// Guards against a job pinned to an isolated domain that is refused, that is lost when the domain
/// is reconnected, or that runs twice.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn pinned_job_runs_in_isolation_and_is_merged() -> anyhow::Result<()> {
    let settings = Settings {
        lease: LeaseSettings {
            isolation_ms: 60_000,
            ..Settings::short_leases()
        },
        ..Settings::default()
    };
    let mut cell = Cell::start(settings).await?;
    let capacity = Resources {
        cpu: 8_000,
        mem: 8_192,
        gpu: 0,
    };
    for domain in ["east", "north", "west"] {
        cell.add_worker(&format!("{domain}-w"), domain, "r1", capacity)
            .await?;
    }
    let document = json!({
        "teams": [{"name": "red", "share": 1, "limit": {"cpu": 24000, "mem": 24576}}],
        "kinds": [{"name": "build", "class": "batch", "need": {"cpu": 1000, "mem": 512}, "runtime_ms": 200}],
    });
    cell.apply_document(0, &document, "first").await?;
    let (_, key) = cell.grant_key(0, "red".parse()?).await?;
    let client = cell.operator_client(0).with_key(key);
    // The end of this job shows that the domain holds an allotment of the team limit and owns its
    // worker before it is isolated.
    let before =
        json!({"name": "before", "kind": "build", "domain": "east", "payload": {"run_ms": 50}});
    client.post("/v1/jobs", &before).await?;
    let is_done = |job: &serde_json::Value| job["outcome"]["state"] == "done";
    cell.wait_for_job(&client, "before", TIMEOUT, is_done)
        .await?;
    cell.isolate_vm(0);
    let body =
        json!({"name": "inside", "kind": "build", "domain": "east", "payload": {"run_ms": 50}});
    cell.wait_until(TIMEOUT, "acceptance of a job in isolation", |_| {
        let (client, body) = (client.clone(), body.clone());
        async move {
            let (status, response) = client.send(Method::POST, "/v1/jobs", &body).await?;
            anyhow::ensure!(status == 200, "{response}");
            Ok(response["durable"] == "domain")
        }
    })
    .await?;
    let conflicting =
        json!({"name": "inside", "kind": "build", "domain": "east", "payload": {"run_ms": 60}});
    let (status, response) = client.send(Method::POST, "/v1/jobs", &conflicting).await?;
    assert_eq!(
        status, 409,
        "a job with the same name but other content: {response}"
    );
    cell.wait_for_job(&client, "inside", TIMEOUT, is_done)
        .await?;
    cell.restore_links();
    let remote_client = client.with_addr(cell.http_addr(1));
    cell.wait_for_job(&remote_client, "inside", TIMEOUT, is_done)
        .await?;
    let job_id = zinnia_types::JobId::of("red".parse()?, "inside");
    let records = cell.workers().flat_map(zinnia_worker::Handle::records);
    let starts = records.filter(
        |r| matches!(&r.event, WorkerEvent::Started { attempt, .. } if attempt.job == job_id),
    );
    assert_eq!(starts.count(), 1, "number of attempts of the job");
    cell.stop().await;
    Ok(())
}
