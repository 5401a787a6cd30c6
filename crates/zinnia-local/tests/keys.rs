//! Withdrawal of API keys, also on VMs that are isolated from the rest of the cell.

mod common;

use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use anyhow::Result;
use anyhow::bail;
use anyhow::ensure;
use common::TIMEOUT;
use common::TestCell;
use http::Method;
use serde_json::json;

/// Time bound from a withdrawal until every reachable VM refuses the key.
const WITHDRAWAL_BOUND: Duration = Duration::from_millis(2_000);

/// Status of the response of a VM to a read request with the key.
async fn read_status(test_cell: &TestCell, vm: usize) -> Result<u16> {
    let (status, _) = test_cell
        .red_client(vm)
        .send(Method::GET, "/v1/jobs", &())
        .await?;
    Ok(status)
}

/// Checks that a VM accepts the key.
async fn check_accepted(test_cell: &TestCell, vm: usize) -> Result<bool> {
    let (status, body) = test_cell
        .red_client(vm)
        .send(Method::GET, "/v1/jobs", &())
        .await?;
    ensure!(
        status == 200,
        "VM {vm} responds with status {status}: {body}"
    );
    Ok(true)
}

/// Waits until all the given VMs refuse the key, which must take at most `timeout` since `start`.
async fn wait_until_refused(
    test_cell: &TestCell,
    vms: &[usize],
    start: Instant,
    timeout: Duration,
) -> Result<()> {
    for &vm in vms {
        loop {
            let status = read_status(test_cell, vm).await?;
            if status == 401 {
                break;
            }
            if start.elapsed() > timeout {
                bail!(
                    "VM {vm} still responds with status {status} after {:?}",
                    start.elapsed()
                );
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
    eprintln!("VMs {vms:?} refused the key after {:?}", start.elapsed());
    Ok(())
}

/// Withdraws the key through a VM and returns the response.
async fn withdraw_key(test_cell: &TestCell, vm: usize) -> Result<serde_json::Value> {
    let body = json!({"ids": [test_cell.key_id]});
    test_cell
        .cell
        .operator_client(vm)
        .post("/v1/keys/withdraw", &body)
        .await
}

/// Guards against a withdrawal on an isolated VM that takes effect only with a quorum, that is lost
/// when the only VM that knows of it restarts, or that does not reach the other VMs after the
/// partition.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn withdrawal_on_an_isolated_vm_reaches_all_vms() -> Result<()> {
    let mut test_cell = TestCell::start(common::settings(2), 1).await?;
    for vm in 0..test_cell.cell.len() {
        ensure!(check_accepted(&test_cell, vm).await?, "VM {vm}");
    }
    test_cell.cell.isolate_vm(2);
    let start = Instant::now();
    // The VM refuses the key as soon as its own disk holds the withdrawal. Its response comes
    // later, because it waits for a quorum first.
    let (response, refusal) = tokio::join!(
        withdraw_key(&test_cell, 2),
        wait_until_refused(&test_cell, &[2], start, WITHDRAWAL_BOUND)
    );
    refusal?;
    let response = response?;
    ensure!(response["durable"] == "domain", "{response}");
    ensure!(
        check_accepted(&test_cell, 0).await?,
        "the withdrawal reached VM 0 despite the isolation of VM 2"
    );
    // The isolated VM restarts before any other VM knows of the withdrawal.
    test_cell.cell.kill_vm(2).await;
    test_cell.cell.start_vm(2).await?;
    let knows_withdrawal = |cell: &zinnia_local::Cell| {
        let key_id = test_cell.key_id.clone();
        let shared = cell
            .daemon(2)
            .map(|daemon| std::sync::Arc::clone(daemon.shared()));
        async move {
            let shared = shared.context("the daemon of VM 2 does not run")?;
            let is_withdrawn = shared.with_engine(|engine, _| {
                let mut ids = engine.cell.withdrawn_keys().iter();
                ids.any(|withdrawn| withdrawn.as_str() == key_id)
            });
            Ok(is_withdrawn)
        }
    };
    test_cell
        .cell
        .wait_until(
            WITHDRAWAL_BOUND,
            "withdrawal known after the restart",
            knows_withdrawal,
        )
        .await?;
    ensure!(
        check_accepted(&test_cell, 0).await?,
        "the withdrawal reached VM 0 despite the isolation of VM 2"
    );
    test_cell.cell.restore_links();
    // For VMs that were unreachable, the time bound starts when the links are restored.
    let restored_at = Instant::now();
    let all_vms: Vec<usize> = (0..test_cell.cell.len()).collect();
    wait_until_refused(&test_cell, &all_vms, restored_at, WITHDRAWAL_BOUND).await?;
    for vm in 0..test_cell.cell.len() {
        test_cell.cell.kill_vm(vm).await;
    }
    for vm in 0..test_cell.cell.len() {
        test_cell.cell.start_vm(vm).await?;
    }
    // No VM accepts the key after a restart of the whole cell.
    for vm in 0..test_cell.cell.len() {
        test_cell.wait_until_vm_ready(vm).await?;
    }
    let ready_at = Instant::now();
    let mut has_refused = vec![false; test_cell.cell.len()];
    while has_refused.iter().any(|refused| !refused) {
        for (vm, has_refused) in has_refused.iter_mut().enumerate() {
            let status = read_status(&test_cell, vm).await.unwrap_or_default();
            ensure!(status != 200, "VM {vm} accepts the key after a restart");
            *has_refused |= status == 401;
        }
        ensure!(
            ready_at.elapsed() < TIMEOUT,
            "not all VMs refuse the key after the restart"
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    test_cell.cell.stop().await;
    Ok(())
}

/// Guards against a withdrawal that reaches a VM too late, whether through a voter or a learner.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn withdrawal_on_each_vm_reaches_all_vms_in_time() -> Result<()> {
    let mut test_cell = TestCell::start(common::settings(2), 1).await?;
    let all_vms: Vec<usize> = (0..test_cell.cell.len()).collect();
    for &vm in &all_vms {
        let body = json!({"request": format!("again-{vm}"), "team": "red"});
        let response = test_cell
            .cell
            .operator_client(vm)
            .post("/v1/keys", &body)
            .await?;
        test_cell.key = response["key"]
            .as_str()
            .context("the response has no key")?
            .to_owned();
        test_cell.key_id = response["id"]
            .as_str()
            .context("the response has no key id")?
            .to_owned();
        for &other in &all_vms {
            ensure!(check_accepted(&test_cell, other).await?, "VM {other}");
        }
        let start = Instant::now();
        let response = withdraw_key(&test_cell, vm).await?;
        ensure!(response["durable"] == "quorum", "{response}");
        wait_until_refused(&test_cell, &all_vms, start, WITHDRAWAL_BOUND).await?;
    }
    test_cell.cell.stop().await;
    Ok(())
}

/// Guards against an isolated VM that accepts keys without a time limit, although no withdrawal can
/// reach it.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn isolated_vm_stops_accepting_keys_after_the_isolation_period() -> Result<()> {
    let test_cell = TestCell::start(common::settings(1), 1).await?;
    ensure!(check_accepted(&test_cell, 2).await?);
    test_cell.cell.isolate_vm(2);
    let isolated_at = Instant::now();
    ensure!(withdraw_key(&test_cell, 0).await?["durable"] == "quorum");
    ensure!(
        check_accepted(&test_cell, 2).await?,
        "the VM refuses the key before the end of the isolation period"
    );
    let isolation_period = Duration::from_millis(
        test_cell
            .cell
            .vm_settings(2)
            .map_or(0, |settings| settings.lease.isolation_ms),
    );
    while read_status(&test_cell, 2).await? == 200 {
        ensure!(
            isolated_at.elapsed() < isolation_period + WITHDRAWAL_BOUND,
            "VM 2 still accepts the key"
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    ensure!(read_status(&test_cell, 2).await? == 503);
    test_cell.cell.restore_links();
    wait_until_refused(&test_cell, &[2], Instant::now(), WITHDRAWAL_BOUND).await?;
    test_cell.cell.stop().await;
    Ok(())
}
