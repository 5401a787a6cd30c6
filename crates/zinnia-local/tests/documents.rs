//! Edits of the document under races, lost answers and restarts.

mod common;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use anyhow::ensure;
use common::LIMIT;
use common::RED;
use common::document;
use http::Method;
use serde_json::Value;
use serde_json::json;
use tokio::task::JoinHandle;
use zinnia_local::Cell;
use zinnia_local::Client;
use zinnia_types::Resources;

/// Changes before a restart.
const CHANGES: u64 = 500;

fn edit(from: u64, request: &str, cpu: u64) -> Value {
    let document = document(Resources { cpu, ..RED });
    json!({"request": request, "from": from, "document": document})
}

async fn put(client: &Client, body: &Value) -> Result<(u16, Value)> {
    client.send(Method::PUT, "/v1/document", body).await
}

/// Reads the version on every VM until told to stop; fails if one goes back, also over restarts.
fn watch(cell: &Cell, stop: &Arc<AtomicBool>) -> Vec<JoinHandle<Result<u64>>> {
    let watcher = |at: usize| {
        let client = cell.operator_client(at);
        let stop = Arc::clone(stop);
        tokio::spawn(async move {
            let (mut last, mut looks) = (0, 0);
            while !stop.load(Ordering::Relaxed) {
                if let Ok(seen) = client.get("/v1/document").await {
                    let version = seen["version"].as_u64().context("no version")?;
                    ensure!(
                        version >= last,
                        "VM {at} went from {last} back to {version}"
                    );
                    (last, looks) = (version, looks + 1);
                }
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            ensure!(looks > 0, "VM {at} never showed its document");
            Ok(last)
        })
    };
    (0..cell.len()).map(watcher).collect()
}

/// Bound from the acceptance of a document until it is in force on every VM in reach.
const BOUND: Duration = Duration::from_millis(2_000);

async fn all_show(cell: &Cell, version: u64, limit: Duration) -> Result<()> {
    for at in 0..cell.len() {
        let look = |cell: &Cell| {
            let client = cell.operator_client(at);
            async move { Ok(client.get("/v1/document").await?["version"] == version) }
        };
        cell.wait_until(limit, "document in force", look).await?;
    }
    Ok(())
}

/// Guards against two winners of one version, an edit that reverts another, and a resend that is
/// applied again or answered differently.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn races_and_resends() -> Result<()> {
    let mut cell = Cell::start(common::settings(2)).await?;
    let stop = Arc::new(AtomicBool::new(false));
    let watchers = watch(&cell, &stop);
    let mut first = Value::Null;
    for round in 0..30 {
        let bodies = ["a", "b"].map(|who| edit(round, &format!("{who}{round}"), 1_000 + round));
        let mut bodies = bodies.to_vec();
        bodies[1]["document"]["teams"][0]["share"] = json!(5);
        let at = usize::try_from(round)? % cell.len();
        let (one, two) = (
            cell.operator_client(at),
            cell.operator_client((at + 1) % cell.len()),
        );
        let (one, two) = tokio::join!(put(&one, &bodies[0]), put(&two, &bodies[1]));
        let answers = [one?, two?];
        let won = answers.iter().filter(|(status, _)| *status == 200).count();
        ensure!(won == 1, "round {round}: {answers:?}");
        let winner = usize::from(answers[1].0 == 200);
        let (status, lost) = &answers[1 - winner];
        ensure!(*status == 409 && lost["code"] == "conflict", "{lost}");
        let request = &bodies[winner]["request"];
        ensure!(lost["winner"]["request"] == *request, "{lost}");
        ensure!(answers[winner].1["version"] == round + 1);
        for again in 0..cell.len() {
            let got = put(&cell.operator_client(again), &bodies[winner]).await?;
            ensure!(got == answers[winner], "VM {again}: {got:?}");
        }
        all_show(&cell, round + 1, BOUND).await?;
        if round == 0 {
            first = bodies[winner].clone();
        }
    }
    // The answer is lost with the VM that was asked; the resend through another one, after later
    // edits and a change of leader, still gets the first answer.
    let leader = cell.leader(0).context("no leader")?;
    let body = edit(30, "lost", 2_000);
    let client = cell.operator_client(leader);
    let sent = tokio::spawn({
        let body = body.clone();
        async move { put(&client, &body).await }
    });
    cell.kill_vm(leader).await;
    let _ = sent.await?;
    let other = (0..3).find(|&at| at != leader).unwrap_or_default();
    let look = |cell: &Cell| {
        let client = cell.operator_client(other);
        let body = body.clone();
        async move { Ok(put(&client, &body).await?.0 == 200) }
    };
    cell.wait_until(LIMIT, "resend is answered", look).await?;
    let again = put(&cell.operator_client(other), &body).await?;
    ensure!(again.1["version"] == 31, "{again:?}");
    let old = put(&cell.operator_client(other), &first).await?;
    ensure!(old.0 == 200 && old.1["version"] == 1, "{old:?}");
    cell.start_vm(leader).await?;
    all_show(&cell, 31, LIMIT).await?;
    stop.store(true, Ordering::Relaxed);
    for watcher in watchers {
        ensure!(watcher.await?? == 31);
    }
    cell.stop().await;
    Ok(())
}

/// Guards against a version that goes back after a restart from a compacted log, of one VM and of
/// all VMs at the same time.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn restarts_after_many_changes() -> Result<()> {
    let settings = zinnia_local::Settings {
        compact_entries: 64,
        ..common::settings(2)
    };
    let mut cell = Cell::start(settings).await?;
    let stop = Arc::new(AtomicBool::new(false));
    let watchers = watch(&cell, &stop);
    let client = cell.operator_client(0);
    let mut hashes = BTreeSet::new();
    for from in 0..CHANGES {
        let got = put(&client, &edit(from, &format!("r{from}"), 1_000 + from)).await?;
        ensure!(got.0 == 200 && got.1["version"] == from + 1, "{got:?}");
        hashes.insert(got.1["hash"].to_string());
    }
    ensure!(hashes.len() as u64 == CHANGES);
    cell.kill_vm(1).await;
    cell.start_vm(1).await?;
    all_show(&cell, CHANGES, LIMIT).await?;
    let last = edit(CHANGES - 1, "r499", 1_000 + CHANGES - 1);
    for at in 0..cell.len() {
        let again = put(&cell.operator_client(at), &last).await?;
        ensure!(again.1["version"] == CHANGES, "VM {at}: {again:?}");
    }
    for at in 0..cell.len() {
        cell.kill_vm(at).await;
    }
    for at in 0..cell.len() {
        cell.start_vm(at).await?;
    }
    all_show(&cell, CHANGES, LIMIT).await?;
    let look = |cell: &Cell| {
        let client = cell.operator_client(2);
        async move { Ok(put(&client, &edit(CHANGES, "after", 9)).await?.0 == 200) }
    };
    cell.wait_until(LIMIT, "edit after the restart", look)
        .await?;
    all_show(&cell, CHANGES + 1, BOUND).await?;
    stop.store(true, Ordering::Relaxed);
    for watcher in watchers {
        ensure!(watcher.await?? == CHANGES + 1);
    }
    cell.stop().await;
    Ok(())
}
