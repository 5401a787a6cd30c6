//! The acting owner of a domain is killed in the middle of running jobs.

mod common;

use std::time::Duration;
use std::time::Instant;

use anyhow::Result;
use anyhow::ensure;
use common::Fleet;
use common::LIMIT;
use common::job;
use serde_json::json;

/// What follows the kill.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Next {
    /// Another VM of the domain takes over.
    Peer,
    /// The same VM starts again before the task leases lapse.
    Restart,
    /// Nothing: the domain moves to a VM of another domain after the isolation period.
    Move,
}

struct Case {
    vms: usize,
    next: Next,
    /// Run time of the tasks; one above the task lease makes workers without an owner end them.
    run_ms: u64,
    /// Whether a worker of the domain dies together with the VM.
    worker: bool,
}

async fn kill_and_check(case: Case) -> Result<()> {
    let mut fleet = Fleet::start(common::settings(case.vms), 2).await?;
    let owner = fleet.owner(0, "east").await?;
    let asked = (0..3).find(|&at| at != owner).unwrap_or_default();
    let jobs = [("batch", "build"), ("gang", "solve"), ("bills", "bill")];
    for (name, kind) in jobs {
        let body = json!({"name": name, "kind": kind, "domain": "east", "payload": {"run_ms": case.run_ms}});
        fleet.submit(asked, &body).await?;
    }
    // More than the domain has room for, so that some of it starts only after the takeover.
    let body = json!({"name": "queued", "kind": "build", "tasks": 12, "domain": "east", "payload": {"run_ms": 300}});
    fleet.submit(asked, &body).await?;
    let begun = |_: &zinnia_local::Cell| {
        let all = fleet.begun(job("batch")) == 3
            && fleet.begun(job("gang")) == 2
            && fleet.begun(job("bills")) == 3;
        async move { Ok(all) }
    };
    fleet
        .cell
        .wait_until(LIMIT, "all tasks started", begun)
        .await?;
    let killed = Instant::now();
    fleet.cell.kill_vm(owner).await;
    if case.worker {
        fleet.cell.kill_worker("w00");
    }
    let late =
        json!({"name": "late", "kind": "bill", "domain": "east", "payload": {"run_ms": 100}});
    if case.next == Next::Restart {
        fleet.cell.start_vm(owner).await?;
    }
    if case.next == Next::Peer {
        // The promise: owner lease plus 2 s from the death of the VM.
        let lease = fleet
            .cell
            .vm_settings(owner)
            .map_or(0, |s| s.lease.owner_ms);
        let bound = Duration::from_millis(lease + 2_000);
        let east = |w: &serde_json::Value| w["domain"] == "east";
        fleet
            .ready(
                asked,
                bound.saturating_sub(killed.elapsed()),
                if case.worker { 1 } else { 2 },
                east,
            )
            .await?;
        eprintln!("placeable after {} ms", killed.elapsed().as_millis());
    }
    fleet.submit(asked, &late).await?;
    for name in ["batch", "gang", "queued", "late"] {
        fleet.ended(asked, name, &["done"]).await?;
    }
    // The tasks of the bills that were lost while they ran must not be run again.
    let lost = case.next == Next::Move || case.worker;
    let state = if lost { "unknown" } else { "done" };
    fleet.ended(asked, "bills", &[state]).await?;
    fleet.check(&[job("bills"), job("late")])?;
    for ((id, task), starts) in fleet.starts() {
        // A task is run again only when its lease lapsed without an owner.
        let once = !lost || id == job("bills") || id == job("late");
        ensure!(
            !once || starts == 1,
            "task {task} of {id} was started {starts} times"
        );
    }
    fleet.cell.stop().await;
    Ok(())
}

const PEER: Case = Case {
    vms: 2,
    next: Next::Peer,
    run_ms: 2_500,
    worker: false,
};

/// Guards against lost, doubled or repeated tasks when another VM of the domain takes over.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_peer_takes_over_running_jobs() -> Result<()> {
    kill_and_check(PEER).await
}

/// Guards against a second run of work not to be repeated whose worker dies with the owner.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_peer_takes_over_after_a_worker_is_lost() -> Result<()> {
    let worker = true;
    kill_and_check(Case { worker, ..PEER }).await
}

/// Guards against an acting owner that forgets its running tasks over a restart.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_restarted_owner_adopts_running_jobs() -> Result<()> {
    let next = Next::Restart;
    let vms = 1;
    kill_and_check(Case { vms, next, ..PEER }).await
}

/// Guards against jobs that stay with a domain whose only VM is lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn jobs_of_a_lost_domain_move() -> Result<()> {
    let case = Case {
        vms: 1,
        next: Next::Move,
        run_ms: 6_000,
        worker: false,
    };
    kill_and_check(case).await
}
