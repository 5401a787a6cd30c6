//! VMs that lose their disk, stay lost, or come back after a long time.

mod common;

use anyhow::Context;
use anyhow::Result;
use anyhow::ensure;
use common::Fleet;
use common::LIMIT;
use common::RED;
use common::document;
use common::job;
use serde_json::Value;
use serde_json::json;
use zinnia_local::Cell;

/// Rows of the VMs as the VM at `asked` sees them.
async fn vms(cell: &Cell, asked: usize) -> Result<Vec<Value>> {
    let list = cell.operator_client(asked).get("/v1/vms").await?;
    Ok(list["vms"].as_array().cloned().unwrap_or_default())
}

fn is_voter(row: &Value) -> bool {
    row["role"] == "voter" || row["role"] == "leader"
}

/// Waits until the rows of the VMs, seen from `asked`, satisfy a condition.
async fn until(
    cell: &Cell,
    asked: usize,
    what: &str,
    check: impl Fn(&[Value]) -> bool,
) -> Result<()> {
    let check = &check;
    let look = |cell: &Cell| {
        let client = cell.operator_client(asked);
        async move {
            let list = client.get("/v1/vms").await?;
            let rows = list["vms"].as_array().cloned().unwrap_or_default();
            ensure!(check(&rows), "{rows:?}");
            Ok(true)
        }
    };
    cell.wait_until(LIMIT, what, look).await
}

fn id(cell: &Cell, at: usize) -> Result<String> {
    let daemon = cell.daemon(at).context("the VM does not run")?;
    Ok(daemon.shared().id().to_string())
}

/// An edit is accepted through `at`, and all the given VMs put it in force.
async fn edit(cell: &Cell, at: usize, request: &str, shown: &[usize]) -> Result<()> {
    let version = std::sync::atomic::AtomicU64::new(0);
    let version = &version;
    let look = |cell: &Cell| {
        let client = cell.operator_client(at);
        async move {
            let from = client.get("/v1/document").await?["version"].clone();
            let body = json!({"request": request, "from": from, "document": document(RED)});
            let answer = client.put("/v1/document", &body).await?;
            let got = answer["version"].as_u64().unwrap_or_default();
            version.store(got, std::sync::atomic::Ordering::Relaxed);
            Ok(true)
        }
    };
    cell.wait_until(LIMIT, "edit is accepted", look).await?;
    let version = version.load(std::sync::atomic::Ordering::Relaxed);
    for &at in shown {
        let look = |cell: &Cell| {
            let client = cell.operator_client(at);
            async move {
                let seen = client.get("/v1/document").await?["version"].as_u64();
                ensure!(
                    seen >= Some(version),
                    "VM {at} shows {seen:?}, not {version}"
                );
                Ok(true)
            }
        };
        cell.wait_until(LIMIT, "edit in force", look).await?;
    }
    Ok(())
}

/// Guards against a VM that votes as its old self after its disk was wiped, and against a quorum
/// that does not hold a second loss right after the repair.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_wiped_disk_returns_as_a_new_member() -> Result<()> {
    let mut fleet = Fleet::start(common::settings(1), 1).await?;
    let old = id(&fleet.cell, 0)?;
    fleet.cell.kill_vm(0).await;
    fleet.cell.wipe_vm(0)?;
    fleet.cell.start_vm(0).await?;
    let new = id(&fleet.cell, 0)?;
    ensure!(new != old, "the identity survived the wipe");
    until(&fleet.cell, 1, "new member listed", |rows| {
        rows.iter().any(|r| r["id"] == new)
    })
    .await?;
    // Until the repair the new member must not count as the old voter.
    let rows = vms(&fleet.cell, 1).await?;
    let row = rows.iter().find(|r| r["id"] == new).context("not listed")?;
    ensure!(
        !is_voter(row) || !rows.iter().any(|r| r["id"] == old && is_voter(r)),
        "{rows:?}"
    );
    until(&fleet.cell, 1, "voter replaced", |rows| {
        let voters: Vec<_> = rows.iter().filter(|r| is_voter(r)).collect();
        voters.len() == 3 && voters.iter().any(|r| r["id"] == new)
    })
    .await?;
    fleet.cell.kill_vm(1).await;
    edit(&fleet.cell, 2, "after", &[0, 2]).await?;
    fleet.cell.start_vm(1).await?;
    edit(&fleet.cell, 1, "again", &[0, 1, 2]).await?;
    fleet.cell.stop().await;
    Ok(())
}

/// Guards against a cell that stops at the second loss after a spare has replaced a voter, and
/// against a replaced voter that does not find back into the cell.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_lost_voter_is_replaced_before_a_second_loss() -> Result<()> {
    let settings = zinnia_local::Settings {
        domain_disks: 2,
        ..common::settings(2)
    };
    let mut fleet = Fleet::start(settings, 1).await?;
    let lost = id(&fleet.cell, 0)?;
    let spare = id(&fleet.cell, 3)?;
    fleet.cell.kill_vm(0).await;
    until(&fleet.cell, 1, "voter replaced", |rows| {
        let voters: Vec<_> = rows.iter().filter(|r| is_voter(r)).collect();
        voters.len() == 3 && voters.iter().any(|r| r["id"] == spare)
    })
    .await?;
    fleet.cell.kill_vm(1).await;
    edit(&fleet.cell, 2, "after", &[2, 3, 4, 5]).await?;
    // The lost voter comes back with its disk, which still lists it as a voter.
    fleet.cell.start_vm(0).await?;
    until(&fleet.cell, 2, "lost voter listed", |rows| {
        let row = rows.iter().find(|r| r["id"] == lost);
        row.is_some_and(|r| r["role"] == "learner" || is_voter(r))
    })
    .await?;
    edit(&fleet.cell, 2, "again", &[0, 2, 3, 4, 5]).await?;
    fleet.healthy(0).await?;
    fleet.cell.stop().await;
    Ok(())
}

/// Guards against a VM without a disk that the cell has dropped while it was cut off, and that
/// never notices.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_dropped_learner_comes_back() -> Result<()> {
    let fleet = Fleet::start(common::settings(2), 1).await?;
    let away = id(&fleet.cell, 4)?;
    fleet.cell.isolate_vm(4);
    until(&fleet.cell, 0, "learner dropped", |rows| {
        !rows.iter().any(|r| r["id"] == away)
    })
    .await?;
    edit(&fleet.cell, 0, "meanwhile", &[0, 1, 2, 3, 5]).await?;
    fleet.cell.restore_links();
    until(&fleet.cell, 0, "learner listed", |rows| {
        rows.iter().any(|r| r["id"] == away)
    })
    .await?;
    edit(&fleet.cell, 0, "after", &[0, 1, 2, 3, 4, 5]).await?;
    fleet.healthy(4).await?;
    fleet.cell.stop().await;
    Ok(())
}

/// Guards against two owners of one domain, or against tasks in two places, when a VM comes back
/// after its domain was given away.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_vm_comes_back_after_the_isolation_period() -> Result<()> {
    let fleet = Fleet::start(common::settings(1), 2).await?;
    for (name, kind) in [("long", "build"), ("bills", "bill")] {
        let body =
            json!({"name": name, "kind": kind, "domain": "north", "payload": {"run_ms": 14_000}});
        fleet.submit(0, &body).await?;
    }
    let runs = |_: &Cell| {
        let all = fleet.begun(job("long")) == 3 && fleet.begun(job("bills")) == 3;
        async move { Ok(all) }
    };
    fleet.cell.wait_until(LIMIT, "tasks run", runs).await?;
    fleet.cell.isolate_vm(1);
    until(&fleet.cell, 0, "domain moved", |rows| {
        let others = rows.iter().filter(|r| r["domain"] != "north");
        let mut acting = others.filter_map(|r| r["acts_for"].as_array());
        acting.any(|d| d.iter().any(|d| d == "north"))
    })
    .await?;
    fleet.ready(0, LIMIT, 2, |w| w["domain"] == "north").await?;
    edit(&fleet.cell, 0, "meanwhile", &[0, 2]).await?;
    fleet.cell.restore_links();
    edit(&fleet.cell, 0, "after", &[0, 1, 2]).await?;
    fleet.ended(0, "long", &["done"]).await?;
    fleet.ended(0, "bills", &["unknown"]).await?;
    fleet.healthy(1).await?;
    let body =
        json!({"name": "late", "kind": "bill", "domain": "north", "payload": {"run_ms": 100}});
    fleet.submit(1, &body).await?;
    fleet.ended(1, "late", &["done"]).await?;
    fleet.check(&[job("bills"), job("late")])?;
    fleet.cell.stop().await;
    Ok(())
}
