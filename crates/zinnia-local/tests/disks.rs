//! Full disks and corrupt records.

mod common;

use std::fs;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use anyhow::ensure;
use common::Fleet;
use common::LIMIT;
use common::RED;
use common::document;
use common::job;
use http::Method;
use serde_json::json;
use zinnia_local::Cell;

/// Guards against a VM with a full disk that goes on voting, answers as if it had accepted
/// something, hides the failure, or stops to route.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_full_disk_takes_the_vm_out_of_the_quorum_only() -> Result<()> {
    let fleet = Fleet::start(common::settings(2), 2).await?;
    let web = json!({"name": "web", "kind": "api", "domain": "west"});
    fleet.submit(0, &web).await?;
    let build =
        json!({"name": "batch", "kind": "build", "domain": "north", "payload": {"run_ms": 2_000}});
    fleet.submit(0, &build).await?;
    let runs = |_: &Cell| {
        let all = fleet.begun(job("web")) == 3 && fleet.begun(job("batch")) == 3;
        async move { Ok(all) }
    };
    fleet.cell.wait_until(LIMIT, "tasks run", runs).await?;
    let full = fleet.cell.leader(0).context("no leader")?;
    let other = (0..3).find(|&at| at != full).unwrap_or_default();
    fleet.cell.fill_disk(full);
    // The write that fails first: its outcome is not known, or another leader takes it.
    let edit = |cell: &Cell, at: usize, request: &'static str| {
        let client = cell.operator_client(at);
        async move {
            let from = client.get("/v1/document").await?["version"].clone();
            let body = json!({"request": request, "from": from, "document": document(RED)});
            client.put("/v1/document", &body).await.map(|_| true)
        }
    };
    let look = |cell: &Cell| edit(cell, other, "second");
    fleet
        .cell
        .wait_until(LIMIT, "edit by the other voters", look)
        .await?;
    let operator = fleet.cell.operator_client(full);
    let dump = operator.get("/v1/dump").await?;
    ensure!(dump["log"]["fault"].is_string(), "{}", dump["log"]["fault"]);
    let rows = operator.get("/v1/vms").await?;
    let addr = fleet.cell.http_addr(full);
    let rows = rows["vms"].as_array().context("no VMs")?;
    ensure!(
        rows.iter()
            .any(|r| r["addr"] == addr && r["disk"] == "failed"),
        "{rows:?}"
    );
    let metrics = zinnia_daemon::telemetry::recorder().render();
    ensure!(metrics.contains("zinnia_disk_failures_total 1"));
    // It accepts nothing, and says so truthfully.
    let late = json!({"name": "late", "kind": "build"});
    let (status, body) = fleet
        .red(full)
        .send(Method::POST, "/v1/jobs", &late)
        .await?;
    ensure!(status == 503 && body["ran"] == "no", "{status} {body}");
    ensure!(fleet.red(other).get("/v1/jobs/late").await.is_err());
    fleet.ended(other, "batch", &["done"]).await?;
    // It still routes, also after the isolation period: it is not isolated.
    let isolation = fleet
        .cell
        .vm_settings(full)
        .map_or(0, |s| s.lease.isolation_ms);
    let until = zinnia_worker::now().after(isolation + 1_000);
    while zinnia_worker::now() < until {
        let look = |_: &Cell| {
            let client = fleet.red(full);
            async move {
                let (status, _, body) = client.call_service("web", &[], "{}").await?;
                ensure!(status == 200, "{status} {}", String::from_utf8_lossy(&body));
                Ok(true)
            }
        };
        // Calls are refused for a moment while another VM takes the workers over.
        fleet
            .cell
            .wait_until(Duration::from_secs(5), "call is routed", look)
            .await?;
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    fleet.check(&[])?;
    fleet.cell.stop().await;
    Ok(())
}

/// Guards against a daemon that starts on a corrupt journal, and against one that cannot say where
/// the fault is or does not return after its folder was cleared.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_corrupt_record_stops_the_start() -> Result<()> {
    let mut fleet = Fleet::start(common::settings(1), 1).await?;
    fleet.cell.kill_vm(1).await;
    let settings = fleet.cell.vm_settings(1).context("no VM")?;
    let folder = settings.data.clone().context("no data folder")?;
    let mut names: Vec<_> = fs::read_dir(&folder)?
        .map(|e| e.map(|e| e.path()))
        .collect::<std::io::Result<_>>()?;
    names.retain(|p| {
        p.file_name()
            .is_some_and(|n| n.to_string_lossy().starts_with("journal-"))
    });
    names.sort();
    let journal = names.first().context("no journal")?;
    let mut bytes = fs::read(journal)?;
    let at = bytes.len() / 2;
    bytes[at] ^= 0xff;
    fs::write(journal, &bytes)?;
    let error = fleet.cell.start_vm(1).await.err().context("it started")?;
    let text = format!("{error:#}");
    let file = journal.file_name().unwrap_or_default().to_string_lossy();
    ensure!(text.contains(&*file) && text.contains("corrupt"), "{text}");
    ensure!(
        text.bytes().any(|b| b.is_ascii_digit()) && text.contains("at byte"),
        "{text}"
    );
    fleet.cell.wipe_vm(1)?;
    fleet.cell.start_vm(1).await?;
    fleet.healthy(1).await?;
    fleet
        .submit(
            1,
            &json!({"name": "after", "kind": "build", "payload": {"run_ms": 100}}),
        )
        .await?;
    fleet.ended(1, "after", &["done"]).await?;
    fleet.cell.stop().await;
    Ok(())
}
