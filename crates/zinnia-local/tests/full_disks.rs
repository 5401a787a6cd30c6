//! VMs whose disks are full for a while, one after another. In a file of its own, since the metrics
//! count the disk failures of a whole process.

mod common;

use std::time::Duration;

use anyhow::Result;
use common::RED_LIMIT;
use common::TIMEOUT;
use common::TestCell;
use common::document;
use serde_json::json;
use zinnia_local::Cell;

/// Guards against VMs that stay out of the quorum after their disk was full, so that all changes are
/// refused once this has happened to a majority.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn changes_are_accepted_after_disks_were_full_in_turn() -> Result<()> {
    let test_cell = TestCell::start(common::settings(1), 1).await?;
    let cell = &test_cell.cell;
    let apply = |vm: usize, request_id: String| async move {
        let client = cell.operator_client(vm);
        let version = client.get("/v1/document").await?["version"].clone();
        let body = json!({"request": request_id, "from": version, "document": document(RED_LIMIT)});
        client.put("/v1/document", &body).await.map(|_| true)
    };
    for full_vm in 0..3 {
        let other_vm = (full_vm + 1) % 3;
        cell.fill_disk(full_vm);
        let is_offline = |_: &Cell| async move {
            let response = apply(other_vm, format!("full {full_vm}")).await;
            let dump = cell.operator_client(full_vm).get("/v1/dump").await?;
            Ok(dump["log"]["fault"].is_string() && response?)
        };
        cell.wait_until(TIMEOUT, "failure of the full disk", is_offline)
            .await?;
        cell.clear_disk(full_vm);
    }
    for vm in 0..3 {
        let is_accepted = |_: &Cell| apply(vm, format!("room {vm}"));
        cell.wait_until(
            Duration::from_secs(20),
            "change after all disks have room",
            is_accepted,
        )
        .await?;
        let is_online = |_: &Cell| async move {
            let dump = cell.operator_client(vm).get("/v1/dump").await?;
            Ok(dump["log"]["fault"].is_null())
        };
        cell.wait_until(Duration::from_secs(20), "return of the VM", is_online)
            .await?;
    }
    let job = json!({"name": "after", "kind": "build", "payload": {"run_ms": 100}});
    test_cell.submit_job(0, &job).await?;
    test_cell.wait_for_outcome(0, "after", &["done"]).await?;
    test_cell.check_invariants(&[])?;
    test_cell.cell.stop().await;
    Ok(())
}
