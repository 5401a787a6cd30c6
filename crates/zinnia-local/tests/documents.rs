//! Concurrent document changes, lost responses and restarts.

mod common;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use anyhow::ensure;
use common::RED_LIMIT;
use common::TIMEOUT;
use common::document;
use http::Method;
use serde_json::Value;
use serde_json::json;
use tokio::task::JoinHandle;
use zinnia_local::Cell;
use zinnia_local::Client;
use zinnia_types::Resources;

/// Number of document changes before a restart.
const CHANGE_COUNT: u64 = 500;

/// Request that replaces document version `from` by one with the CPU limit `cpu` for team `red`.
fn apply_request(from: u64, request_id: &str, cpu: u64) -> Value {
    let document = document(Resources { cpu, ..RED_LIMIT });
    json!({"request": request_id, "from": from, "document": document})
}

async fn put_document(client: &Client, body: &Value) -> Result<(u16, Value)> {
    client.send(Method::PUT, "/v1/document", body).await
}

/// Starts a task per VM that polls the document version until `stop` is set, and once after that.
///
/// A task fails if the version decreases, also when its VM restarts, or if the last read fails. It
/// returns the version of the last read.
fn watch_versions(cell: &Cell, stop: &Arc<AtomicBool>) -> Vec<JoinHandle<Result<u64>>> {
    let watch_vm = |vm: usize| {
        let client = cell.operator_client(vm);
        let stop = Arc::clone(stop);
        tokio::spawn(async move {
            let mut last = 0;
            loop {
                // Checked before the read, so that one read follows the end of the test.
                let is_last_read = stop.load(Ordering::Relaxed);
                match client.get("/v1/document").await {
                    Ok(response) => {
                        let version = response["version"]
                            .as_u64()
                            .context("the response has no version")?;
                        ensure!(
                            version >= last,
                            "the document version of VM {vm} decreased from {last} to {version}"
                        );
                        last = version;
                    }
                    Err(error) if is_last_read => return Err(error),
                    Err(_) => {}
                }
                if is_last_read {
                    return Ok(last);
                }
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        })
    };
    (0..cell.len()).map(watch_vm).collect()
}

/// Time bound from the acceptance of a document until it is in force on every reachable VM.
const PROPAGATION_BOUND: Duration = Duration::from_millis(2_000);

/// Waits until a document version is in force on every VM.
async fn wait_for_version(cell: &Cell, version: u64, timeout: Duration) -> Result<()> {
    for vm in 0..cell.len() {
        let is_in_force = |cell: &Cell| {
            let client = cell.operator_client(vm);
            async move { Ok(client.get("/v1/document").await?["version"] == version) }
        };
        cell.wait_until(timeout, "new document version in force", is_in_force)
            .await?;
    }
    Ok(())
}

/// Guards against two changes that are both accepted for the same version, a change that reverts
/// another one, and a repeated request that is applied again or gets a different response.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn races_and_resends() -> Result<()> {
    let mut cell = Cell::start(common::settings(2)).await?;
    let stop = Arc::new(AtomicBool::new(false));
    let watchers = watch_versions(&cell, &stop);
    let mut first_request = Value::Null;
    for round in 0..30 {
        let requests =
            ["a", "b"].map(|name| apply_request(round, &format!("{name}{round}"), 1_000 + round));
        let mut requests = requests.to_vec();
        requests[1]["document"]["teams"][0]["share"] = json!(5);
        let vm = usize::try_from(round)? % cell.len();
        let (client_a, client_b) = (
            cell.operator_client(vm),
            cell.operator_client((vm + 1) % cell.len()),
        );
        let (a, b) = tokio::join!(
            put_document(&client_a, &requests[0]),
            put_document(&client_b, &requests[1])
        );
        let responses = [a?, b?];
        let accepted = responses
            .iter()
            .filter(|(status, _)| *status == 200)
            .count();
        ensure!(accepted == 1, "round {round}: {responses:?}");
        let winner = usize::from(responses[1].0 == 200);
        let (status, refusal) = &responses[1 - winner];
        ensure!(*status == 409 && refusal["code"] == "conflict", "{refusal}");
        let winner_id = &requests[winner]["request"];
        ensure!(refusal["winner"]["request"] == *winner_id, "{refusal}");
        ensure!(responses[winner].1["version"] == round + 1);
        for vm in 0..cell.len() {
            let repeated = put_document(&cell.operator_client(vm), &requests[winner]).await?;
            ensure!(repeated == responses[winner], "VM {vm}: {repeated:?}");
        }
        wait_for_version(&cell, round + 1, PROPAGATION_BOUND).await?;
        if round == 0 {
            first_request = requests[winner].clone();
        }
    }
    // The response is lost, because the VM that got the request is killed. A repeated request to
    // another VM must still get the original response, also after further changes and a change of
    // leader.
    let leader = cell.leader(0).context("the cell has no leader")?;
    let request = apply_request(30, "lost", 2_000);
    let client = cell.operator_client(leader);
    let pending = tokio::spawn({
        let request = request.clone();
        async move { put_document(&client, &request).await }
    });
    cell.kill_vm(leader).await;
    let _ = pending.await?;
    let other_vm = (0..3).find(|&vm| vm != leader).unwrap_or_default();
    let repeat_request = |cell: &Cell| {
        let client = cell.operator_client(other_vm);
        let request = request.clone();
        async move { Ok(put_document(&client, &request).await?.0 == 200) }
    };
    cell.wait_until(TIMEOUT, "response to the repeated request", repeat_request)
        .await?;
    let repeated = put_document(&cell.operator_client(other_vm), &request).await?;
    ensure!(repeated.1["version"] == 31, "{repeated:?}");
    let oldest = put_document(&cell.operator_client(other_vm), &first_request).await?;
    ensure!(oldest.0 == 200 && oldest.1["version"] == 1, "{oldest:?}");
    cell.start_vm(leader).await?;
    wait_for_version(&cell, 31, TIMEOUT).await?;
    stop.store(true, Ordering::Relaxed);
    for watcher in watchers {
        ensure!(watcher.await?? == 31);
    }
    cell.stop().await;
    Ok(())
}

/// Guards against a document version that decreases when one VM or all VMs restart from a compacted
/// log.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn restarts_after_many_changes() -> Result<()> {
    let settings = zinnia_local::Settings {
        compact_entries: 64,
        ..common::settings(2)
    };
    let mut cell = Cell::start(settings).await?;
    let stop = Arc::new(AtomicBool::new(false));
    let watchers = watch_versions(&cell, &stop);
    let client = cell.operator_client(0);
    let mut hashes = BTreeSet::new();
    for from in 0..CHANGE_COUNT {
        let response = put_document(
            &client,
            &apply_request(from, &format!("r{from}"), 1_000 + from),
        )
        .await?;
        ensure!(
            response.0 == 200 && response.1["version"] == from + 1,
            "{response:?}"
        );
        hashes.insert(response.1["hash"].to_string());
    }
    ensure!(hashes.len() as u64 == CHANGE_COUNT);
    cell.kill_vm(1).await;
    cell.start_vm(1).await?;
    wait_for_version(&cell, CHANGE_COUNT, TIMEOUT).await?;
    let last_request = apply_request(CHANGE_COUNT - 1, "r499", 1_000 + CHANGE_COUNT - 1);
    for vm in 0..cell.len() {
        let repeated = put_document(&cell.operator_client(vm), &last_request).await?;
        ensure!(
            repeated.1["version"] == CHANGE_COUNT,
            "VM {vm}: {repeated:?}"
        );
    }
    for vm in 0..cell.len() {
        cell.kill_vm(vm).await;
    }
    for vm in 0..cell.len() {
        cell.start_vm(vm).await?;
    }
    wait_for_version(&cell, CHANGE_COUNT, TIMEOUT).await?;
    let change_document = |cell: &Cell| {
        let client = cell.operator_client(2);
        async move {
            Ok(
                put_document(&client, &apply_request(CHANGE_COUNT, "after", 9))
                    .await?
                    .0
                    == 200,
            )
        }
    };
    cell.wait_until(
        TIMEOUT,
        "document change after the restart",
        change_document,
    )
    .await?;
    wait_for_version(&cell, CHANGE_COUNT + 1, PROPAGATION_BOUND).await?;
    stop.store(true, Ordering::Relaxed);
    for watcher in watchers {
        ensure!(watcher.await?? == CHANGE_COUNT + 1);
    }
    cell.stop().await;
    Ok(())
}
