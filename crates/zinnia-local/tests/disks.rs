//! Full disks and corrupt journals.

mod common;

use std::fs;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use anyhow::ensure;
use common::RED_LIMIT;
use common::TIMEOUT;
use common::TestCell;
use common::document;
use common::red_job_id;
use http::Method;
use serde_json::json;
use zinnia_local::Cell;

/// Guards against a VM with a full disk that still votes, accepts requests that it cannot store,
/// does not report the failure, or stops routing calls.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_full_disk_takes_the_vm_out_of_the_quorum_only() -> Result<()> {
    let test_cell = TestCell::start(common::settings(2), 2).await?;
    let web = json!({"name": "web", "kind": "api", "domain": "west"});
    test_cell.submit_job(0, &web).await?;
    let build =
        json!({"name": "batch", "kind": "build", "domain": "north", "payload": {"run_ms": 2_000}});
    test_cell.submit_job(0, &build).await?;
    let all_started = |_: &Cell| {
        let started = test_cell.started_tasks(red_job_id("web")) == 3
            && test_cell.started_tasks(red_job_id("batch")) == 3;
        async move { Ok(started) }
    };
    test_cell
        .cell
        .wait_until(TIMEOUT, "start of all tasks", all_started)
        .await?;
    let full_vm = test_cell.cell.leader(0).context("the cell has no leader")?;
    let other_vm = (0..3).find(|&vm| vm != full_vm).unwrap_or_default();
    test_cell.cell.fill_disk(full_vm);
    // This change of the document causes the first failed write. Either its outcome is unknown, or
    // another leader records it, so that it is retried.
    let apply = |cell: &Cell, vm: usize, request_id: &'static str| {
        let client = cell.operator_client(vm);
        async move {
            let version = client.get("/v1/document").await?["version"].clone();
            let body =
                json!({"request": request_id, "from": version, "document": document(RED_LIMIT)});
            client.put("/v1/document", &body).await.map(|_| true)
        }
    };
    let apply_on_other_vm = |cell: &Cell| apply(cell, other_vm, "second");
    test_cell
        .cell
        .wait_until(
            TIMEOUT,
            "acceptance of the document by the other voters",
            apply_on_other_vm,
        )
        .await?;
    let operator = test_cell.cell.operator_client(full_vm);
    let dump = operator.get("/v1/dump").await?;
    ensure!(dump["log"]["fault"].is_string(), "{}", dump["log"]["fault"]);
    let response = operator.get("/v1/vms").await?;
    let addr = test_cell.cell.http_addr(full_vm);
    let vms = response["vms"]
        .as_array()
        .context("the response has no list of VMs")?;
    ensure!(
        vms.iter()
            .any(|vm| vm["addr"] == addr && vm["disk"] == "failed"),
        "{vms:?}"
    );
    let metrics = zinnia_daemon::telemetry::recorder().render();
    ensure!(metrics.contains("zinnia_disk_failures_total 1"));
    // The VM refuses jobs and reports correctly that they did not run.
    let late = json!({"name": "late", "kind": "build"});
    let (status, body) = test_cell
        .red_client(full_vm)
        .send(Method::POST, "/v1/jobs", &late)
        .await?;
    ensure!(status == 503 && body["ran"] == "no", "{status} {body}");
    ensure!(
        test_cell
            .red_client(other_vm)
            .get("/v1/jobs/late")
            .await
            .is_err()
    );
    test_cell
        .wait_for_outcome(other_vm, "batch", &["done"])
        .await?;
    // Although its own disk failed, the VM is not isolated. It must route calls even after the
    // isolation period.
    let isolation_ms = test_cell
        .cell
        .vm_settings(full_vm)
        .map_or(0, |settings| settings.lease.isolation_ms);
    let deadline = zinnia_worker::now().after(isolation_ms + 1_000);
    while zinnia_worker::now() < deadline {
        let call_succeeds = |_: &Cell| {
            let client = test_cell.red_client(full_vm);
            async move {
                let (status, _, body) = client.call_service("web", &[], "{}").await?;
                ensure!(status == 200, "{status} {}", String::from_utf8_lossy(&body));
                Ok(true)
            }
        };
        // The VM refuses calls for a short time while another VM takes over the workers.
        test_cell
            .cell
            .wait_until(Duration::from_secs(5), "successful call", call_succeeds)
            .await?;
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    test_cell.check_invariants(&[])?;
    test_cell.cell.stop().await;
    Ok(())
}

/// Guards against a daemon that starts with a corrupt journal, that does not report the file and
/// position of the fault, or that does not rejoin the cell after its data folder was deleted.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn corrupt_journal_prevents_the_start() -> Result<()> {
    let mut test_cell = TestCell::start(common::settings(1), 1).await?;
    test_cell.cell.kill_vm(1).await;
    let settings = test_cell
        .cell
        .vm_settings(1)
        .context("VM 1 does not exist")?;
    let data_folder = settings.data.clone().context("VM 1 has no data folder")?;
    let mut journals: Vec<_> = fs::read_dir(&data_folder)?
        .map(|e| e.map(|e| e.path()))
        .collect::<std::io::Result<_>>()?;
    journals.retain(|path| {
        path.file_name()
            .is_some_and(|name| name.to_string_lossy().starts_with("journal-"))
    });
    journals.sort();
    let journal = journals.first().context("the data folder has no journal")?;
    let mut bytes = fs::read(journal)?;
    let middle = bytes.len() / 2;
    bytes[middle] ^= 0xff;
    fs::write(journal, &bytes)?;
    let error = test_cell
        .cell
        .start_vm(1)
        .await
        .err()
        .context("the daemon started with a corrupt journal")?;
    let message = format!("{error:#}");
    let file_name = journal.file_name().unwrap_or_default().to_string_lossy();
    ensure!(
        message.contains(&*file_name) && message.contains("corrupt"),
        "{message}"
    );
    ensure!(
        message.bytes().any(|b| b.is_ascii_digit()) && message.contains("at byte"),
        "{message}"
    );
    test_cell.cell.wipe_vm(1)?;
    test_cell.cell.start_vm(1).await?;
    test_cell.wait_until_vm_ready(1).await?;
    test_cell
        .submit_job(
            1,
            &json!({"name": "after", "kind": "build", "payload": {"run_ms": 100}}),
        )
        .await?;
    test_cell.wait_for_outcome(1, "after", &["done"]).await?;
    test_cell.cell.stop().await;
    Ok(())
}
