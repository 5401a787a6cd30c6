//! Changes of cell membership after VMs lose their disks, fail for good, or return after a long
//! time.

mod common;

use anyhow::Context;
use anyhow::Result;
use anyhow::ensure;
use common::RED_LIMIT;
use common::TIMEOUT;
use common::TestCell;
use common::document;
use common::red_job_id;
use serde_json::Value;
use serde_json::json;
use zinnia_local::Cell;

/// Lists the VMs of the cell, as JSON, according to the VM `observer`.
async fn list_vms(cell: &Cell, observer: usize) -> Result<Vec<Value>> {
    let response = cell.operator_client(observer).get("/v1/vms").await?;
    Ok(response["vms"].as_array().cloned().unwrap_or_default())
}

/// Whether a VM from the list of VMs votes. The leader is a voter too.
fn is_voter(vm: &Value) -> bool {
    vm["role"] == "voter" || vm["role"] == "leader"
}

/// Waits until the list of VMs, according to the VM `observer`, satisfies a condition.
async fn wait_until_vms(
    cell: &Cell,
    observer: usize,
    description: &str,
    condition: impl Fn(&[Value]) -> bool,
) -> Result<()> {
    let condition = &condition;
    let check_list = |cell: &Cell| {
        let client = cell.operator_client(observer);
        async move {
            let response = client.get("/v1/vms").await?;
            let vms = response["vms"].as_array().cloned().unwrap_or_default();
            ensure!(condition(&vms), "{vms:?}");
            Ok(true)
        }
    };
    cell.wait_until(TIMEOUT, description, check_list).await
}

fn vm_id(cell: &Cell, vm: usize) -> Result<String> {
    let daemon = cell.daemon(vm).context("the daemon does not run")?;
    Ok(daemon.shared().id().to_string())
}

/// Applies the document again through a VM, and waits until the new version is in force on the VMs
/// `in_force_on`.
async fn apply_everywhere(
    cell: &Cell,
    vm: usize,
    request_id: &str,
    in_force_on: &[usize],
) -> Result<()> {
    let version = std::sync::atomic::AtomicU64::new(0);
    let version = &version;
    let apply = |cell: &Cell| {
        let client = cell.operator_client(vm);
        async move {
            let current = client.get("/v1/document").await?["version"].clone();
            let body =
                json!({"request": request_id, "from": current, "document": document(RED_LIMIT)});
            let response = client.put("/v1/document", &body).await?;
            let applied = response["version"].as_u64().unwrap_or_default();
            version.store(applied, std::sync::atomic::Ordering::Relaxed);
            Ok(true)
        }
    };
    cell.wait_until(TIMEOUT, "acceptance of the document", apply)
        .await?;
    let version = version.load(std::sync::atomic::Ordering::Relaxed);
    for &vm in in_force_on {
        let is_in_force = |cell: &Cell| {
            let client = cell.operator_client(vm);
            async move {
                let in_force = client.get("/v1/document").await?["version"].as_u64();
                ensure!(
                    in_force >= Some(version),
                    "the version on VM {vm} is {in_force:?}, expected {version}"
                );
                Ok(true)
            }
        };
        cell.wait_until(TIMEOUT, "new document version in force", is_in_force)
            .await?;
    }
    Ok(())
}

/// Guards against a VM that votes under its old identity after its disk was wiped, and against a
/// repaired quorum that does not survive the loss of another voter.
///
/// The wiped VM has lost its record of the votes that it cast and of the log entries that it
/// stored.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_wiped_disk_returns_as_a_new_member() -> Result<()> {
    let mut test_cell = TestCell::start(common::settings(1), 1).await?;
    let old_id = vm_id(&test_cell.cell, 0)?;
    test_cell.cell.kill_vm(0).await;
    test_cell.cell.wipe_vm(0)?;
    test_cell.cell.start_vm(0).await?;
    let new_id = vm_id(&test_cell.cell, 0)?;
    ensure!(new_id != old_id, "the identity survived the wipe");
    wait_until_vms(&test_cell.cell, 1, "new member in the list of VMs", |vms| {
        vms.iter().any(|vm| vm["id"] == new_id)
    })
    .await?;
    // Until the old voter is replaced, the new member must not count as a voter besides it.
    let vms = list_vms(&test_cell.cell, 1).await?;
    let new_vm = vms
        .iter()
        .find(|vm| vm["id"] == new_id)
        .context("the new member is not listed")?;
    ensure!(
        !is_voter(new_vm) || !vms.iter().any(|vm| vm["id"] == old_id && is_voter(vm)),
        "{vms:?}"
    );
    wait_until_vms(&test_cell.cell, 1, "replacement of the voter", |vms| {
        let voters: Vec<_> = vms.iter().filter(|vm| is_voter(vm)).collect();
        voters.len() == 3 && voters.iter().any(|vm| vm["id"] == new_id)
    })
    .await?;
    test_cell.cell.kill_vm(1).await;
    apply_everywhere(&test_cell.cell, 2, "after", &[0, 2]).await?;
    test_cell.cell.start_vm(1).await?;
    apply_everywhere(&test_cell.cell, 1, "again", &[0, 1, 2]).await?;
    test_cell.cell.stop().await;
    Ok(())
}

/// Guards against a cell that loses its quorum at the second failure although a spare VM has
/// replaced the first lost voter, and against a replaced voter that cannot rejoin the cell.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_lost_voter_is_replaced_before_a_second_loss() -> Result<()> {
    let settings = zinnia_local::Settings {
        domain_disks: 2,
        ..common::settings(2)
    };
    let mut test_cell = TestCell::start(settings, 1).await?;
    let lost_id = vm_id(&test_cell.cell, 0)?;
    let spare_id = vm_id(&test_cell.cell, 3)?;
    test_cell.cell.kill_vm(0).await;
    wait_until_vms(&test_cell.cell, 1, "replacement of the voter", |vms| {
        let voters: Vec<_> = vms.iter().filter(|vm| is_voter(vm)).collect();
        voters.len() == 3 && voters.iter().any(|vm| vm["id"] == spare_id)
    })
    .await?;
    test_cell.cell.kill_vm(1).await;
    apply_everywhere(&test_cell.cell, 2, "after", &[2, 3, 4, 5]).await?;
    // The lost voter restarts with its old disk, on which it is still a voter.
    test_cell.cell.start_vm(0).await?;
    wait_until_vms(&test_cell.cell, 2, "lost voter in the list of VMs", |vms| {
        let returned_vm = vms.iter().find(|vm| vm["id"] == lost_id);
        returned_vm.is_some_and(|vm| vm["role"] == "learner" || is_voter(vm))
    })
    .await?;
    apply_everywhere(&test_cell.cell, 2, "again", &[0, 2, 3, 4, 5]).await?;
    test_cell.wait_until_vm_ready(0).await?;
    test_cell.cell.stop().await;
    Ok(())
}

/// Guards against a VM without a disk that was removed from the cell during a network partition and
/// never joins again, because it does not notice the removal.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn removed_learner_joins_again() -> Result<()> {
    let test_cell = TestCell::start(common::settings(2), 1).await?;
    let learner_id = vm_id(&test_cell.cell, 4)?;
    test_cell.cell.isolate_vm(4);
    wait_until_vms(&test_cell.cell, 0, "removal of the learner", |vms| {
        !vms.iter().any(|vm| vm["id"] == learner_id)
    })
    .await?;
    apply_everywhere(&test_cell.cell, 0, "meanwhile", &[0, 1, 2, 3, 5]).await?;
    test_cell.cell.restore_links();
    wait_until_vms(&test_cell.cell, 0, "learner in the list of VMs", |vms| {
        vms.iter().any(|vm| vm["id"] == learner_id)
    })
    .await?;
    apply_everywhere(&test_cell.cell, 0, "after", &[0, 1, 2, 3, 4, 5]).await?;
    test_cell.wait_until_vm_ready(4).await?;
    test_cell.cell.stop().await;
    Ok(())
}

/// Guards against two acting owners of a domain, or two running attempts of a task, when a VM
/// returns after another VM took over its domain.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_vm_comes_back_after_the_isolation_period() -> Result<()> {
    let test_cell = TestCell::start(common::settings(1), 2).await?;
    for (name, kind) in [("long", "build"), ("bills", "bill")] {
        let body =
            json!({"name": name, "kind": kind, "domain": "north", "payload": {"run_ms": 14_000}});
        test_cell.submit_job(0, &body).await?;
    }
    let all_started = |_: &Cell| {
        let started = test_cell.started_tasks(red_job_id("long")) == 3
            && test_cell.started_tasks(red_job_id("bills")) == 3;
        async move { Ok(started) }
    };
    test_cell
        .cell
        .wait_until(TIMEOUT, "start of all tasks", all_started)
        .await?;
    test_cell.cell.isolate_vm(1);
    wait_until_vms(&test_cell.cell, 0, "takeover of the domain", |vms| {
        let other_vms = vms.iter().filter(|vm| vm["domain"] != "north");
        let mut acting_domains = other_vms.filter_map(|vm| vm["acts_for"].as_array());
        acting_domains.any(|domains| domains.iter().any(|name| name == "north"))
    })
    .await?;
    test_cell
        .wait_for_workers(0, TIMEOUT, 2, |worker| worker["domain"] == "north")
        .await?;
    apply_everywhere(&test_cell.cell, 0, "meanwhile", &[0, 2]).await?;
    test_cell.cell.restore_links();
    apply_everywhere(&test_cell.cell, 0, "after", &[0, 1, 2]).await?;
    test_cell.wait_for_outcome(0, "long", &["done"]).await?;
    test_cell.wait_for_outcome(0, "bills", &["unknown"]).await?;
    test_cell.wait_until_vm_ready(1).await?;
    let body =
        json!({"name": "late", "kind": "bill", "domain": "north", "payload": {"run_ms": 100}});
    test_cell.submit_job(1, &body).await?;
    test_cell.wait_for_outcome(1, "late", &["done"]).await?;
    test_cell.check_invariants(&[red_job_id("bills"), red_job_id("late")])?;
    test_cell.cell.stop().await;
    Ok(())
}
