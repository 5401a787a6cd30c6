//! The built programs as processes of their own, under SIGKILL, SIGSTOP and SIGTERM.

mod common;

use std::time::Duration;
use std::time::Instant;

use anyhow::Result;
use anyhow::ensure;
use common::LIMIT;
use common::job;
use common::procs::Procs;
use common::procs::until;
use serde_json::json;
use tokio::task::JoinSet;
use zinnia_local::Settings;

/// Running jobs of each class and a queue in the domain `east`.
async fn load(cell: &Procs, asked: usize) -> Result<()> {
    for (name, kind, tasks) in [
        ("batch", "build", 3),
        ("gang", "solve", 2),
        ("bills", "bill", 3),
    ] {
        let body =
            json!({"name": name, "kind": kind, "domain": "east", "payload": {"run_ms": 2500}});
        cell.submit(asked, &body).await?;
        until(LIMIT, name, || async { Ok(cell.begun(name) == tasks) }).await?;
    }
    let body = json!({"name": "queued", "kind": "build", "tasks": 40, "domain": "east", "payload": {"run_ms": 300}});
    cell.submit(asked, &body).await
}

/// Every job is done, and every task ran exactly once.
async fn all_once(cell: &Procs, asked: usize) -> Result<()> {
    for name in ["batch", "gang", "bills", "queued"] {
        cell.ended(asked, name, "done").await?;
    }
    cell.check(&[job("bills")])?;
    for ((id, task), starts) in cell.starts() {
        ensure!(
            starts == 1,
            "task {task} of {id} was started {starts} times"
        );
    }
    Ok(())
}

/// Guards against what only a real end of the process shows: unsynced state, sockets that stay
/// open, and workers that do not find another VM.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn sigkill_of_an_acting_owner() -> Result<()> {
    let mut cell = Procs::start(2, 2).await?;
    cell.spawn_worker("child", "north")?;
    cell.ready(0, LIMIT, 7, |_| true).await?;
    let owner = cell.owner(0, "east").await?;
    let asked = usize::from(owner == 0);
    load(&cell, asked).await?;
    let body = json!({"name": "wide", "kind": "build", "tasks": 24, "domain": "north", "payload": {"run_ms": 300}});
    cell.submit(asked, &body).await?;
    let killed = Instant::now();
    cell.signal_vm(owner, "-KILL")?;
    let bound = Duration::from_millis(Settings::short_leases().owner_ms + 2_000);
    cell.ready(asked, bound, 2, |w| w["domain"] == "east")
        .await?;
    eprintln!("placeable after {} ms", killed.elapsed().as_millis());
    cell.exit(owner).await?;
    cell.start_vm(owner)?;
    cell.ended(asked, "wide", "done").await?;
    all_once(&cell, asked).await?;
    cell.ended(owner, "queued", "done").await
}

/// Guards against a paused acting owner that goes on placing after another VM has taken over.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn sigstop_past_the_leases_and_sigcont_while_placing() -> Result<()> {
    let cell = Procs::start(2, 2).await?;
    let owner = cell.owner(0, "east").await?;
    let asked = usize::from(owner == 0);
    load(&cell, asked).await?;
    cell.signal_vm(owner, "-STOP")?;
    until(LIMIT, "another owner", || async {
        Ok(cell.owner(asked, "east").await? != owner)
    })
    .await?;
    // The new owner places the queue while the old one, with its own full view of it, wakes up.
    let first = cell.begun("queued");
    until(LIMIT, "placement", || async {
        Ok(cell.begun("queued") > first)
    })
    .await?;
    ensure!(cell.begun("queued") < 40, "nothing was left to place");
    cell.signal_vm(owner, "-CONT")?;
    all_once(&cell, asked).await
}

/// Guards against a paused acting owner of a one-VM domain that believes, when it resumes, that
/// tasks still run or still may run, although their leases have lapsed meanwhile.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn sigstop_past_the_task_leases_in_a_domain_of_one_vm() -> Result<()> {
    let cell = Procs::start(1, 2).await?;
    let owner = cell.owner(0, "east").await?;
    let asked = usize::from(owner == 0);
    let body =
        json!({"name": "long", "kind": "build", "domain": "east", "payload": {"run_ms": 6000}});
    cell.submit(asked, &body).await?;
    let body =
        json!({"name": "bills", "kind": "bill", "domain": "east", "payload": {"run_ms": 6000}});
    cell.submit(asked, &body).await?;
    let begun = || async { Ok(cell.begun("long") == 3 && cell.begun("bills") == 3) };
    until(LIMIT, "tasks run", begun).await?;
    cell.signal_vm(owner, "-STOP")?;
    // The workers end their tasks by themselves.
    let ended = || async {
        let records = cell.workers.iter().flat_map(zinnia_worker::Handle::records);
        let ends = records.filter(|r| matches!(r.event, zinnia_worker::WorkerEvent::Ended { .. }));
        Ok(ends.count() == 6)
    };
    until(LIMIT, "tasks fenced", ended).await?;
    cell.signal_vm(owner, "-CONT")?;
    cell.ended(asked, "bills", "unknown").await?;
    cell.ended(asked, "long", "done").await?;
    cell.check(&[job("bills")])?;
    let starts = cell.starts();
    ensure!(
        starts
            .iter()
            .all(|(&(id, _), &n)| n <= if id == job("long") { 2 } else { 1 })
    );
    Ok(())
}

/// Guards against a drain that cuts off requests in flight, on both VMs that a call passes.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn sigterm_with_calls_in_flight() -> Result<()> {
    let mut cell = Procs::start(1, 1).await?;
    let owner = cell.owner(0, "east").await?;
    let asked = usize::from(owner == 0);
    let body = json!({"name": "web", "kind": "api", "tasks": 2, "domain": "east", "payload": {"delay_ms": 2000}});
    cell.submit(asked, &body).await?;
    until(LIMIT, "service", || async { Ok(cell.begun("web") == 2) }).await?;
    let serves = || async { Ok(cell.red(asked).call_service("web", &[], "{}").await?.0 == 200) };
    until(LIMIT, "first answer", serves).await?;
    let called = |cell: &Procs| {
        let records = cell.workers.iter().flat_map(zinnia_worker::Handle::records);
        records
            .filter(|r| matches!(r.event, zinnia_worker::WorkerEvent::Called { .. }))
            .count()
    };
    let before = called(&cell);
    let mut calls = JoinSet::new();
    for n in 0..8 {
        // Half of them enter at the VM that drains, half at another that passes them on to it.
        let client = cell.red(if n % 2 == 0 { owner } else { asked });
        calls.spawn(async move {
            (
                n,
                client
                    .call_service("web", &[], format!("{{\"n\":{n}}}"))
                    .await,
            )
        });
    }
    until(LIMIT, "calls run", || async {
        Ok(called(&cell) == before + 8)
    })
    .await?;
    cell.signal_vm(owner, "-TERM")?;
    while let Some(done) = calls.join_next().await {
        let (n, answer) = done?;
        let (status, _, body) = answer?;
        ensure!(
            status == 200,
            "call {n}: {status} {}",
            String::from_utf8_lossy(&body)
        );
        let body: serde_json::Value = serde_json::from_slice(&body)?;
        ensure!(body["body"]["n"] == n, "call {n} got {body}");
    }
    let status = cell.exit(owner).await?;
    ensure!(status.success(), "the drained VM ended with {status}");
    Ok(())
}
