//! Loss of the acting owner of a failure domain while jobs are running.

mod common;

use std::time::Duration;
use std::time::Instant;

use anyhow::Result;
use anyhow::ensure;
use common::TIMEOUT;
use common::TestCell;
use common::red_job_id;
use serde_json::json;

/// How the domain gets an acting owner again after the kill.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Recovery {
    /// Another VM of the domain takes over.
    Takeover,
    /// The same VM restarts before the task leases lapse.
    Restart,
    /// The domain has no other VM. A VM of another domain takes over after the isolation period.
    Move,
}

struct Case {
    /// Number of VMs in each domain.
    domain_vms: usize,
    recovery: Recovery,
    /// Run time of the tasks. If it exceeds the task lease, workers without an owner stop their
    /// tasks.
    run_ms: u64,
    /// Whether a worker of the domain is killed together with the VM.
    kill_worker: bool,
}

/// Kills the acting owner of the domain `east` and checks the outcomes and attempts of its jobs.
async fn check_owner_loss(case: Case) -> Result<()> {
    let mut test_cell = TestCell::start(common::settings(case.domain_vms), 2).await?;
    let owner = test_cell.acting_owner(0, "east").await?;
    let observer = (0..3).find(|&vm| vm != owner).unwrap_or_default();
    let jobs = [("batch", "build"), ("gang", "solve"), ("bills", "bill")];
    for (name, kind) in jobs {
        let body = json!({"name": name, "kind": kind, "domain": "east", "payload": {"run_ms": case.run_ms}});
        test_cell.submit_job(observer, &body).await?;
    }
    // These tasks exceed the capacity of the domain, so that some of them start after the takeover.
    let body = json!({"name": "queued", "kind": "build", "tasks": 12, "domain": "east", "payload": {"run_ms": 300}});
    test_cell.submit_job(observer, &body).await?;
    let all_started = |_: &zinnia_local::Cell| {
        let started = test_cell.started_tasks(red_job_id("batch")) == 3
            && test_cell.started_tasks(red_job_id("gang")) == 2
            && test_cell.started_tasks(red_job_id("bills")) == 3;
        async move { Ok(started) }
    };
    test_cell
        .cell
        .wait_until(TIMEOUT, "start of all tasks", all_started)
        .await?;
    let killed_at = Instant::now();
    test_cell.cell.kill_vm(owner).await;
    if case.kill_worker {
        test_cell.cell.kill_worker("w00");
    }
    let late =
        json!({"name": "late", "kind": "bill", "domain": "east", "payload": {"run_ms": 100}});
    if case.recovery == Recovery::Restart {
        test_cell.cell.start_vm(owner).await?;
    }
    if case.recovery == Recovery::Takeover {
        // The new owner must place tasks within the owner lease plus 2 s from the kill.
        let owner_ms = test_cell
            .cell
            .vm_settings(owner)
            .map_or(0, |settings| settings.lease.owner_ms);
        let time_bound = Duration::from_millis(owner_ms + 2_000);
        let in_east = |worker: &serde_json::Value| worker["domain"] == "east";
        test_cell
            .wait_for_workers(
                observer,
                time_bound.saturating_sub(killed_at.elapsed()),
                if case.kill_worker { 1 } else { 2 },
                in_east,
            )
            .await?;
        eprintln!(
            "the workers were ready again after {} ms",
            killed_at.elapsed().as_millis()
        );
    }
    test_cell.submit_job(observer, &late).await?;
    for name in ["batch", "gang", "queued", "late"] {
        test_cell
            .wait_for_outcome(observer, name, &["done"])
            .await?;
    }
    // Tasks of the non-repeatable job that were lost while they ran must not run again.
    let tasks_lost = case.recovery == Recovery::Move || case.kill_worker;
    let state = if tasks_lost { "unknown" } else { "done" };
    test_cell
        .wait_for_outcome(observer, "bills", &[state])
        .await?;
    test_cell.check_invariants(&[red_job_id("bills"), red_job_id("late")])?;
    for ((id, task), attempts) in test_cell.attempt_counts() {
        // A repeatable task gets a second attempt only after its lease lapsed or its worker was
        // lost.
        let only_once = !tasks_lost || id == red_job_id("bills") || id == red_job_id("late");
        ensure!(
            !only_once || attempts == 1,
            "task {task} of {id} was started {attempts} times"
        );
    }
    test_cell.cell.stop().await;
    Ok(())
}

const TAKEOVER: Case = Case {
    domain_vms: 2,
    recovery: Recovery::Takeover,
    run_ms: 2_500,
    kill_worker: false,
};

/// Guards against tasks that are lost, run twice at the same time or run again when another VM of
/// the domain takes over.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn another_vm_takes_over_running_jobs() -> Result<()> {
    check_owner_loss(TAKEOVER).await
}

/// Guards against a second attempt of a non-repeatable task whose worker was lost together with the
/// acting owner.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn another_vm_takes_over_after_a_worker_is_lost() -> Result<()> {
    let kill_worker = true;
    check_owner_loss(Case {
        kill_worker,
        ..TAKEOVER
    })
    .await
}

/// Guards against an acting owner that loses track of its running tasks when it restarts.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_restarted_owner_adopts_running_jobs() -> Result<()> {
    let recovery = Recovery::Restart;
    let domain_vms = 1;
    check_owner_loss(Case {
        domain_vms,
        recovery,
        ..TAKEOVER
    })
    .await
}

/// Guards against jobs that never end because the only VM of their domain is lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn jobs_of_a_lost_domain_move() -> Result<()> {
    let case = Case {
        domain_vms: 1,
        recovery: Recovery::Move,
        run_ms: 6_000,
        kill_worker: false,
    };
    check_owner_loss(case).await
}
