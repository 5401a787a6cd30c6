//! Withdrawn keys, also on VMs that are cut off when the withdrawal is made.

mod common;

use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use anyhow::Result;
use anyhow::bail;
use anyhow::ensure;
use common::Fleet;
use common::LIMIT;
use http::Method;
use serde_json::json;

/// Bound from a withdrawal until every VM in reach refuses the key.
const BOUND: Duration = Duration::from_millis(2_000);

/// Status with which a VM answers a harmless request with the key.
async fn status(fleet: &Fleet, at: usize) -> Result<u16> {
    let (status, _) = fleet.red(at).send(Method::GET, "/v1/jobs", &()).await?;
    Ok(status)
}

async fn accepted(fleet: &Fleet, at: usize) -> Result<bool> {
    let (status, body) = fleet.red(at).send(Method::GET, "/v1/jobs", &()).await?;
    ensure!(status == 200, "VM {at}: {status} {body}");
    Ok(true)
}

/// Waits until the VMs refuse the key, at most until `limit` after `since`.
async fn refused(fleet: &Fleet, vms: &[usize], since: Instant, limit: Duration) -> Result<()> {
    for &at in vms {
        loop {
            let got = status(fleet, at).await?;
            if got == 401 {
                break;
            }
            if since.elapsed() > limit {
                bail!("VM {at} answers {got} after {:?}", since.elapsed());
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
    eprintln!("refused on {vms:?} after {:?}", since.elapsed());
    Ok(())
}

async fn withdraw(fleet: &Fleet, at: usize) -> Result<serde_json::Value> {
    let body = json!({"ids": [fleet.key_id]});
    fleet
        .cell
        .operator_client(at)
        .post("/v1/keys/withdraw", &body)
        .await
}

/// Guards against a withdrawal that waits for a quorum, is lost in a restart of the only VM that
/// has it, or stays unknown on one side after healing.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn withdrawn_on_an_isolated_vm() -> Result<()> {
    let mut fleet = Fleet::start(common::settings(2), 1).await?;
    for at in 0..fleet.cell.len() {
        ensure!(accepted(&fleet, at).await?, "VM {at}");
    }
    fleet.cell.isolate_vm(2);
    let since = Instant::now();
    // Its own disk has it; the quorum does not, for which the answer waits.
    let (answer, refused_here) =
        tokio::join!(withdraw(&fleet, 2), refused(&fleet, &[2], since, BOUND));
    refused_here?;
    let answer = answer?;
    ensure!(answer["durable"] == "domain", "{answer}");
    ensure!(accepted(&fleet, 0).await?, "the cut does not hold");
    // The isolated VM starts again before anybody else has heard of it.
    fleet.cell.kill_vm(2).await;
    fleet.cell.start_vm(2).await?;
    let look = |cell: &zinnia_local::Cell| {
        let id = fleet.key_id.clone();
        let shared = cell.daemon(2).map(|d| std::sync::Arc::clone(d.shared()));
        async move {
            let shared = shared.context("VM 2 does not run")?;
            let keeps = shared.with_engine(|b, _| {
                let mut ids = b.cell.withdrawn_keys().iter();
                ids.any(|k| k.as_str() == id)
            });
            Ok(keeps)
        }
    };
    fleet
        .cell
        .wait_until(BOUND, "withdrawal kept", look)
        .await?;
    ensure!(accepted(&fleet, 0).await?, "the cut does not hold");
    fleet.cell.restore_links();
    // VMs in reach again count from the healing.
    let healed = Instant::now();
    let all: Vec<usize> = (0..fleet.cell.len()).collect();
    refused(&fleet, &all, healed, BOUND).await?;
    for at in 0..fleet.cell.len() {
        fleet.cell.kill_vm(at).await;
    }
    for at in 0..fleet.cell.len() {
        fleet.cell.start_vm(at).await?;
    }
    // After a restart of all VMs no VM ever accepts it.
    for at in 0..fleet.cell.len() {
        fleet.healthy(at).await?;
    }
    let ready = Instant::now();
    let mut seen = vec![false; fleet.cell.len()];
    while seen.iter().any(|s| !s) {
        for (at, seen) in seen.iter_mut().enumerate() {
            let got = status(&fleet, at).await.unwrap_or_default();
            ensure!(got != 200, "VM {at} accepts the key after a restart");
            *seen |= got == 401;
        }
        ensure!(ready.elapsed() < LIMIT, "not all VMs came back");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    fleet.cell.stop().await;
    Ok(())
}

/// Guards against a withdrawal that reaches only the quorum, or only learners, too late.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn withdrawn_on_each_vm() -> Result<()> {
    let mut fleet = Fleet::start(common::settings(2), 1).await?;
    let all: Vec<usize> = (0..fleet.cell.len()).collect();
    for &at in &all {
        let body = json!({"request": format!("again-{at}"), "team": "red"});
        let grant = fleet
            .cell
            .operator_client(at)
            .post("/v1/keys", &body)
            .await?;
        fleet.key = grant["key"].as_str().context("no key")?.to_owned();
        fleet.key_id = grant["id"].as_str().context("no id")?.to_owned();
        for &other in &all {
            ensure!(accepted(&fleet, other).await?, "VM {other}");
        }
        let since = Instant::now();
        let answer = withdraw(&fleet, at).await?;
        ensure!(answer["durable"] == "quorum", "{answer}");
        refused(&fleet, &all, since, BOUND).await?;
    }
    fleet.cell.stop().await;
    Ok(())
}

/// Guards against a VM that accepts keys for ever although it cannot hear of withdrawals.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_isolated_vm_stops_accepting_keys() -> Result<()> {
    let fleet = Fleet::start(common::settings(1), 1).await?;
    ensure!(accepted(&fleet, 2).await?);
    fleet.cell.isolate_vm(2);
    let cut = Instant::now();
    ensure!(withdraw(&fleet, 0).await?["durable"] == "quorum");
    ensure!(accepted(&fleet, 2).await?, "an isolated VM serves on");
    let isolation = Duration::from_millis(
        fleet
            .cell
            .vm_settings(2)
            .map_or(0, |s| s.lease.isolation_ms),
    );
    while status(&fleet, 2).await? == 200 {
        ensure!(
            cut.elapsed() < isolation + BOUND,
            "VM 2 still accepts the key"
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    ensure!(status(&fleet, 2).await? == 503);
    fleet.cell.restore_links();
    refused(&fleet, &[2], Instant::now(), BOUND).await?;
    fleet.cell.stop().await;
    Ok(())
}
