//! Calls to services while workers and VMs fail under them.

mod common;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use anyhow::ensure;
use common::DOMAINS;
use common::Fleet;
use common::LIMIT;
use common::job;
use serde_json::Value;
use serde_json::json;
use tokio::task::JoinSet;
use zinnia_local::Client;
use zinnia_types::Code;
use zinnia_types::ErrorBody;
use zinnia_types::ExecutionStatus;
use zinnia_types::ServiceId;
use zinnia_worker::WorkerEvent;

/// Concurrent calls.
const CALLS: usize = 200;

/// What a caller got: the body of its answer or the refusal.
type Got = Result<Value, ErrorBody>;

async fn call(client: Client, service: String, id: String, repeat: bool, n: usize) -> Result<Got> {
    let mut headers = vec![("x-request-id", id.as_str())];
    if !repeat {
        headers.push(("x-repeat", "no"));
    }
    let (status, _, body) = client
        .call_service(&service, &headers, format!("{{\"n\":{n}}}"))
        .await?;
    if status == 200 {
        return Ok(Ok(serde_json::from_slice(&body)?));
    }
    let refusal = serde_json::from_slice(&body).context("a refusal has the usual form")?;
    Ok(Err(refusal))
}

/// A service of three tasks in each domain, answering after `delay_ms`.
async fn services(fleet: &Fleet, delay_ms: u64) -> Result<()> {
    for domain in DOMAINS {
        let body = json!({"name": format!("web-{domain}"), "kind": "api", "domain": domain, "payload": {"delay_ms": delay_ms}});
        fleet.submit(0, &body).await?;
    }
    for domain in DOMAINS {
        for at in 0..fleet.cell.len() {
            let name = format!("web-{domain}");
            let look = |_: &zinnia_local::Cell| {
                let id = format!("first-{domain}-{at}");
                let sent = call(fleet.red(at), name.clone(), id, true, 0);
                async { Ok(sent.await?.is_ok()) }
            };
            fleet
                .cell
                .wait_until(LIMIT, "service answers", look)
                .await?;
        }
    }
    Ok(())
}

/// Guards against answers that reach another caller, are cut short or lost, against refusals whose
/// `ran` is false, and against calls to a worker that has left.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn each_caller_gets_its_own_answer_or_a_true_refusal() -> Result<()> {
    let mut fleet = Fleet::start(common::settings(2), 3).await?;
    services(&fleet, 150).await?;
    let owner = fleet.owner(0, "west").await?;
    let mut calls = JoinSet::new();
    for n in 0..CALLS {
        let client = fleet.red(n % fleet.cell.len());
        let service = format!("web-{}", DOMAINS[n / 7 % 3]);
        calls.spawn(async move { (n, call(client, service, format!("c{n}"), true, n).await) });
    }
    let begun = |_: &zinnia_local::Cell| {
        let runs = fleet.runs();
        async move { Ok(runs.keys().filter(|id| id.starts_with('c')).count() >= 20) }
    };
    fleet.cell.wait_until(LIMIT, "calls run", begun).await?;
    fleet.cell.kill_worker("w00");
    fleet.cell.worker("w10").context("no worker")?.leave();
    let left = zinnia_worker::now();
    ensure!(
        fleet.cell.drain_vm(owner).await,
        "the drain cut requests off"
    );
    let mut refused = BTreeMap::new();
    while let Some(done) = calls.join_next().await {
        let (n, got) = done?;
        let id = format!("c{n}");
        match got.with_context(|| format!("call {n} lost its connection"))? {
            Ok(answer) => {
                ensure!(answer["body"] == json!({"n": n}), "call {n} got {answer}");
                ensure!(answer["id"] == id, "call {n} got {answer}");
            }
            Err(refusal) => {
                refused.insert(id, refusal);
            }
        }
    }
    let runs = fleet.runs();
    for n in 0..CALLS {
        let id = format!("c{n}");
        let ran = runs.get(&id).copied().unwrap_or_default();
        let allowed = match refused.get(&id).map(|r| r.ran) {
            None | Some(ExecutionStatus::Ran) => ran == 1,
            Some(ExecutionStatus::NotRun) => ran == 0,
            Some(ExecutionStatus::Unknown) => ran <= 1,
        };
        ensure!(allowed, "call {id} ran {ran} times: {:?}", refused.get(&id));
    }
    let mut kinds: BTreeMap<String, usize> = BTreeMap::new();
    for refusal in refused.values() {
        let kind = format!("{:?} {:?} at {}", refusal.code, refusal.ran, refusal.step);
        *kinds.entry(kind).or_default() += 1;
    }
    eprintln!("refused: {kinds:?}");
    // A target that is leaving gets nothing after 2 s.
    let at = (0..fleet.cell.len())
        .find(|&at| at != owner)
        .unwrap_or_default();
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    for n in 0..40 {
        let sent = call(
            fleet.red(at),
            "web-north".to_owned(),
            format!("l{n}"),
            true,
            n,
        );
        ensure!(sent.await?.is_ok(), "call l{n} is refused");
    }
    for record in fleet.cell.worker("w10").context("no worker")?.records() {
        let new = matches!(
            record.event,
            WorkerEvent::Called { .. } | WorkerEvent::Started { .. }
        );
        ensure!(!new || record.at.since(left) <= 2_000, "{record:?}");
    }
    fleet.check(&[])?;
    fleet.cell.stop().await;
    Ok(())
}

/// Guards against a second run of a call not to be repeated, whichever VM its resends reach.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_call_not_to_be_repeated_runs_at_most_once() -> Result<()> {
    let mut fleet = Fleet::start(common::settings(1), 2).await?;
    services(&fleet, 1_000).await?;
    let once = |at: usize, id: &str| {
        let service = "web-north".to_owned();
        call(fleet.red(at), service, id.to_owned(), false, 7)
    };
    // Finished: every VM gives the recorded answer.
    let first = once(0, "done").await?.map_err(anyhow::Error::from)?;
    for at in 0..3 {
        let again = once(at, "done").await?.map_err(anyhow::Error::from)?;
        ensure!(again == first, "VM {at}: {again}");
    }
    let other = call(
        fleet.red(1),
        "web-north".to_owned(),
        "done".to_owned(),
        false,
        8,
    );
    let other = other.await?.err().context("other content was accepted")?;
    ensure!(
        other.code == Code::Conflict && other.ran == ExecutionStatus::NotRun,
        "{other:?}"
    );
    // All at once, from every VM twice.
    let mut race = JoinSet::new();
    for n in 0..30 {
        race.spawn(once(n % 3, &format!("race-{}", n / 6)));
    }
    let mut answered = 0;
    while let Some(got) = race.join_next().await {
        answered += usize::from(got??.is_ok());
    }
    ensure!(answered >= 5, "{answered} of 5 requests were answered");
    // Running: every VM says that the outcome is not known; then the recording VM is killed.
    let running = tokio::spawn(once(0, "cut"));
    let begun = |_: &zinnia_local::Cell| {
        let runs = fleet.runs();
        async move { Ok(runs.contains_key("cut")) }
    };
    fleet.cell.wait_until(LIMIT, "call runs", begun).await?;
    for at in 0..3 {
        let refusal = once(at, "cut").await?.err().context("ran twice")?;
        ensure!(
            refusal.ran == ExecutionStatus::Unknown,
            "VM {at}: {refusal:?}"
        );
    }
    fleet.cell.kill_vm(0).await;
    ensure!(
        running.await?.is_err(),
        "the recording VM was not killed in time"
    );
    for at in 1..3 {
        let look = |_: &zinnia_local::Cell| {
            let sent = call(
                fleet.red(at),
                "web-north".to_owned(),
                "cut".to_owned(),
                false,
                7,
            );
            async {
                let refusal = sent.await?.err().context("ran twice")?;
                ensure!(refusal.ran == ExecutionStatus::Unknown, "{refusal:?}");
                Ok(true)
            }
        };
        fleet
            .cell
            .wait_until(LIMIT, "outcome unknown", look)
            .await?;
    }
    fleet.cell.start_vm(0).await?;
    let look = |_: &zinnia_local::Cell| {
        let sent = call(
            fleet.red(0),
            "web-north".to_owned(),
            "cut".to_owned(),
            false,
            7,
        );
        async {
            let refusal = sent.await?.err().context("ran twice")?;
            Ok(refusal.ran == ExecutionStatus::Unknown)
        }
    };
    fleet
        .cell
        .wait_until(LIMIT, "outcome unknown", look)
        .await?;
    let runs = fleet.runs();
    let ids: BTreeSet<&String> = runs.keys().filter(|id| !id.starts_with("first-")).collect();
    ensure!(ids.len() == 7, "{ids:?}");
    ensure!(ids.iter().all(|id| runs[*id] == 1), "{runs:?}");
    ensure!(fleet.begun(job("web-north")) == 3);
    fleet.cell.stop().await;
    Ok(())
}

/// Guards against a drain that gives workers up while accepted calls still wait for their slots.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn calls_that_wait_for_a_slot_survive_a_drain() -> Result<()> {
    for vms in [1, 2] {
        let mut fleet = Fleet::start(common::settings(vms), 1).await?;
        let owner = fleet.owner(0, "east").await?;
        let body = json!({"name": "web", "kind": "api", "tasks": 1, "domain": "east", "payload": {"delay_ms": 1_000}});
        fleet.submit(owner, &body).await?;
        let service = ServiceId::new(&job("web").to_string())?;
        let serves = |cell: &zinnia_local::Cell| {
            let daemon = cell.daemon(owner);
            let serves = daemon.is_some_and(|d| d.shared().routing.serves(service));
            async move { Ok(serves) }
        };
        fleet.cell.wait_until(LIMIT, "service runs", serves).await?;
        // Twice as many as a worker has slots.
        let mut calls = JoinSet::new();
        for n in 0..16 {
            let client = fleet.red(owner);
            calls.spawn(call(client, "web".to_owned(), format!("q{n}"), true, n));
        }
        let waiting = |cell: &zinnia_local::Cell| {
            let daemon = cell.daemon(owner);
            let all = daemon.is_some_and(|d| d.shared().in_flight.len() == 16);
            let running = fleet.runs().len() == 8;
            async move { Ok(all && running) }
        };
        fleet.cell.wait_until(LIMIT, "calls wait", waiting).await?;
        ensure!(
            fleet.cell.drain_vm(owner).await,
            "the drain cut requests off"
        );
        while let Some(got) = calls.join_next().await {
            let got = got??;
            ensure!(got.is_ok(), "{vms} VMs a domain: {got:?}");
        }
        ensure!(fleet.runs().values().all(|&n| n == 1));
        fleet.cell.stop().await;
    }
    Ok(())
}
