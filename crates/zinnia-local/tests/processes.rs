//! Signals to daemons that run as processes: SIGKILL, SIGSTOP with SIGCONT, and SIGTERM.

mod common;

use std::time::Duration;
use std::time::Instant;

use anyhow::Result;
use anyhow::ensure;
use common::TIMEOUT;
use common::process_cell::ProcessCell;
use common::process_cell::wait_until;
use common::red_job_id;
use serde_json::json;
use tokio::task::JoinSet;
use zinnia_local::Settings;

/// Starts three jobs in the domain `east` and submits a fourth that exceeds the free capacity of
/// the domain.
async fn submit_jobs(cell: &ProcessCell, observer: usize) -> Result<()> {
    for (name, kind, tasks) in [
        ("batch", "build", 3),
        ("gang", "solve", 2),
        ("bills", "bill", 3),
    ] {
        let body =
            json!({"name": name, "kind": kind, "domain": "east", "payload": {"run_ms": 2500}});
        cell.submit_job(observer, &body).await?;
        wait_until(TIMEOUT, name, || async {
            Ok(cell.started_tasks(name) == tasks)
        })
        .await?;
    }
    let body = json!({"name": "queued", "kind": "build", "tasks": 40, "domain": "east", "payload": {"run_ms": 300}});
    cell.submit_job(observer, &body).await
}

/// Waits until all jobs of [`submit_jobs`] are done and checks that each task had exactly one
/// attempt.
async fn check_single_attempts(cell: &ProcessCell, observer: usize) -> Result<()> {
    for name in ["batch", "gang", "bills", "queued"] {
        cell.wait_for_outcome(observer, name, "done").await?;
    }
    cell.check_invariants(&[red_job_id("bills")])?;
    for ((id, task), attempts) in cell.attempt_counts() {
        ensure!(
            attempts == 1,
            "task {task} of {id} was started {attempts} times"
        );
    }
    Ok(())
}

/// Guards against failures that only the end of a real process shows: state that was not synced to
/// disk, sockets that stay open, and workers that do not find another VM.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn sigkill_of_an_acting_owner() -> Result<()> {
    let mut cell = ProcessCell::start(2, 2).await?;
    cell.spawn_worker_process("child", "north")?;
    cell.wait_for_workers(0, TIMEOUT, 7, |_| true).await?;
    let owner = cell.acting_owner(0, "east").await?;
    let observer = usize::from(owner == 0);
    submit_jobs(&cell, observer).await?;
    let body = json!({"name": "wide", "kind": "build", "tasks": 24, "domain": "north", "payload": {"run_ms": 300}});
    cell.submit_job(observer, &body).await?;
    let killed_at = Instant::now();
    cell.signal_vm(owner, "-KILL")?;
    let time_bound = Duration::from_millis(Settings::short_leases().owner_ms + 2_000);
    cell.wait_for_workers(observer, time_bound, 2, |worker| worker["domain"] == "east")
        .await?;
    eprintln!(
        "the workers were ready again after {} ms",
        killed_at.elapsed().as_millis()
    );
    cell.wait_for_exit(owner).await?;
    cell.start_vm(owner)?;
    cell.wait_for_outcome(observer, "wide", "done").await?;
    check_single_attempts(&cell, observer).await?;
    cell.wait_for_outcome(owner, "queued", "done").await
}

/// Guards against an acting owner that is paused, loses its domain to another VM, and continues to
/// place tasks when it resumes.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn resumed_owner_does_not_place_tasks_after_a_takeover() -> Result<()> {
    let cell = ProcessCell::start(2, 2).await?;
    let owner = cell.acting_owner(0, "east").await?;
    let observer = usize::from(owner == 0);
    submit_jobs(&cell, observer).await?;
    cell.signal_vm(owner, "-STOP")?;
    wait_until(TIMEOUT, "takeover by another VM", || async {
        Ok(cell.acting_owner(observer, "east").await? != owner)
    })
    .await?;
    // The old owner resumes, with its outdated view of the queue, while the new one places tasks.
    let started_before = cell.started_tasks("queued");
    wait_until(TIMEOUT, "start of a queued task", || async {
        Ok(cell.started_tasks("queued") > started_before)
    })
    .await?;
    ensure!(
        cell.started_tasks("queued") < 40,
        "no queued task is left to place"
    );
    cell.signal_vm(owner, "-CONT")?;
    check_single_attempts(&cell, observer).await
}

/// Guards against an acting owner that is paused for longer than the task leases and, when it
/// resumes, treats tasks as running or startable although their leases have lapsed.
///
/// The domain has no other VM that could take over in the meantime.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn resumed_only_owner_notices_lapsed_task_leases() -> Result<()> {
    let cell = ProcessCell::start(1, 2).await?;
    let owner = cell.acting_owner(0, "east").await?;
    let observer = usize::from(owner == 0);
    let body =
        json!({"name": "long", "kind": "build", "domain": "east", "payload": {"run_ms": 6000}});
    cell.submit_job(observer, &body).await?;
    let body =
        json!({"name": "bills", "kind": "bill", "domain": "east", "payload": {"run_ms": 6000}});
    cell.submit_job(observer, &body).await?;
    let all_started =
        || async { Ok(cell.started_tasks("long") == 3 && cell.started_tasks("bills") == 3) };
    wait_until(TIMEOUT, "start of all tasks", all_started).await?;
    cell.signal_vm(owner, "-STOP")?;
    // The workers stop their tasks when the task leases lapse.
    let all_ended = || async {
        let records = cell.workers.iter().flat_map(zinnia_worker::Handle::records);
        let ends = records.filter(|r| matches!(r.event, zinnia_worker::WorkerEvent::Ended { .. }));
        Ok(ends.count() == 6)
    };
    wait_until(TIMEOUT, "end of all tasks", all_ended).await?;
    cell.signal_vm(owner, "-CONT")?;
    cell.wait_for_outcome(observer, "bills", "unknown").await?;
    cell.wait_for_outcome(observer, "long", "done").await?;
    cell.check_invariants(&[red_job_id("bills")])?;
    let attempt_counts = cell.attempt_counts();
    ensure!(
        attempt_counts
            .iter()
            .all(|(&(id, _), &n)| n <= if id == red_job_id("long") { 2 } else { 1 })
    );
    Ok(())
}

/// Guards against a drain that aborts calls in flight, whether they arrived at the draining VM or
/// were forwarded to it.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn sigterm_with_calls_in_flight() -> Result<()> {
    let mut cell = ProcessCell::start(1, 1).await?;
    let owner = cell.acting_owner(0, "east").await?;
    let observer = usize::from(owner == 0);
    let body = json!({"name": "web", "kind": "api", "tasks": 2, "domain": "east", "payload": {"delay_ms": 2000}});
    cell.submit_job(observer, &body).await?;
    wait_until(TIMEOUT, "start of the service", || async {
        Ok(cell.started_tasks("web") == 2)
    })
    .await?;
    let answers_call = || async {
        Ok(cell
            .red_client(observer)
            .call_service("web", &[], "{}")
            .await?
            .0
            == 200)
    };
    wait_until(TIMEOUT, "first answered call", answers_call).await?;
    let call_count = |cell: &ProcessCell| {
        let records = cell.workers.iter().flat_map(zinnia_worker::Handle::records);
        records
            .filter(|r| matches!(r.event, zinnia_worker::WorkerEvent::Called { .. }))
            .count()
    };
    let earlier_calls = call_count(&cell);
    let mut calls = JoinSet::new();
    for n in 0..8 {
        // Half of the calls arrive at the draining VM, the others at a VM that forwards them to it.
        let client = cell.red_client(if n % 2 == 0 { owner } else { observer });
        calls.spawn(async move {
            (
                n,
                client
                    .call_service("web", &[], format!("{{\"n\":{n}}}"))
                    .await,
            )
        });
    }
    wait_until(TIMEOUT, "start of all calls", || async {
        Ok(call_count(&cell) == earlier_calls + 8)
    })
    .await?;
    cell.signal_vm(owner, "-TERM")?;
    while let Some(joined) = calls.join_next().await {
        let (n, response) = joined?;
        let (status, _, body) = response?;
        ensure!(
            status == 200,
            "call {n} failed with status {status}: {}",
            String::from_utf8_lossy(&body)
        );
        let body: serde_json::Value = serde_json::from_slice(&body)?;
        ensure!(body["body"]["n"] == n, "call {n} got the response {body}");
    }
    let status = cell.wait_for_exit(owner).await?;
    ensure!(status.success(), "the drained daemon exited with {status}");
    Ok(())
}
