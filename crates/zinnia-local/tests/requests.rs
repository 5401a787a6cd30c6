//! Calls to services during failures and shutdowns of workers and VMs.

mod common;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use anyhow::ensure;
use common::DOMAINS;
use common::TIMEOUT;
use common::TestCell;
use common::red_job_id;
use serde_json::Value;
use serde_json::json;
use tokio::task::JoinSet;
use zinnia_local::Client;
use zinnia_types::Code;
use zinnia_types::ErrorBody;
use zinnia_types::ExecutionStatus;
use zinnia_types::ServiceId;
use zinnia_worker::WorkerEvent;

/// Number of concurrent calls.
const CALL_COUNT: usize = 200;

/// Body of the response to a call, or the refusal of the call.
type CallResult = Result<Value, ErrorBody>;

/// Calls a service with a request id. `repeat` tells whether the call may run again after a
/// failure, and `n` is the content of the request.
async fn call(
    client: Client,
    service: String,
    id: String,
    repeat: bool,
    n: usize,
) -> Result<CallResult> {
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
    let refusal = serde_json::from_slice(&body).context("parse the body of a refusal")?;
    Ok(Err(refusal))
}

/// Starts a service with three tasks in each domain, and waits until every VM can call all of them.
///
/// A call takes `delay_ms`.
async fn start_services(test_cell: &TestCell, delay_ms: u64) -> Result<()> {
    for domain in DOMAINS {
        let body = json!({"name": format!("web-{domain}"), "kind": "api", "domain": domain, "payload": {"delay_ms": delay_ms}});
        test_cell.submit_job(0, &body).await?;
    }
    for domain in DOMAINS {
        for vm in 0..test_cell.cell.len() {
            let name = format!("web-{domain}");
            let answers_call = |_: &zinnia_local::Cell| {
                let id = format!("first-{domain}-{vm}");
                let response = call(test_cell.red_client(vm), name.clone(), id, true, 0);
                async { Ok(response.await?.is_ok()) }
            };
            test_cell
                .cell
                .wait_until(TIMEOUT, "first answered call", answers_call)
                .await?;
        }
    }
    Ok(())
}

/// Guards against responses that are lost, truncated or sent to another caller, against refusals
/// with a wrong value of `ran`, and against calls that are routed to a worker that is leaving.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn each_caller_gets_its_own_response_or_a_correct_refusal() -> Result<()> {
    let mut test_cell = TestCell::start(common::settings(2), 3).await?;
    start_services(&test_cell, 150).await?;
    let owner = test_cell.acting_owner(0, "west").await?;
    let mut calls = JoinSet::new();
    for n in 0..CALL_COUNT {
        let client = test_cell.red_client(n % test_cell.cell.len());
        let service = format!("web-{}", DOMAINS[n / 7 % 3]);
        calls.spawn(async move { (n, call(client, service, format!("c{n}"), true, n).await) });
    }
    let enough_started = |_: &zinnia_local::Cell| {
        let runs = test_cell.call_runs();
        async move { Ok(runs.keys().filter(|id| id.starts_with('c')).count() >= 20) }
    };
    test_cell
        .cell
        .wait_until(TIMEOUT, "start of 20 calls", enough_started)
        .await?;
    test_cell.cell.kill_worker("w00");
    test_cell
        .cell
        .worker("w10")
        .context("worker w10 does not exist")?
        .leave();
    let left_at = zinnia_worker::now();
    ensure!(
        test_cell.cell.drain_vm(owner).await,
        "the drain aborted calls in flight"
    );
    let mut refusals = BTreeMap::new();
    while let Some(joined) = calls.join_next().await {
        let (n, result) = joined?;
        let id = format!("c{n}");
        match result.with_context(|| format!("call {n} got no complete response"))? {
            Ok(response) => {
                ensure!(
                    response["body"] == json!({"n": n}),
                    "call {n} got the response {response}"
                );
                ensure!(response["id"] == id, "call {n} got the response {response}");
            }
            Err(refusal) => {
                refusals.insert(id, refusal);
            }
        }
    }
    let runs = test_cell.call_runs();
    for n in 0..CALL_COUNT {
        let id = format!("c{n}");
        let run_count = runs.get(&id).copied().unwrap_or_default();
        let allowed = match refusals.get(&id).map(|r| r.ran) {
            None | Some(ExecutionStatus::Ran) => run_count == 1,
            Some(ExecutionStatus::NotRun) => run_count == 0,
            Some(ExecutionStatus::Unknown) => run_count <= 1,
        };
        ensure!(
            allowed,
            "call {id} ran {run_count} times and its refusal is {:?}",
            refusals.get(&id)
        );
    }
    let mut refusal_counts: BTreeMap<String, usize> = BTreeMap::new();
    for refusal in refusals.values() {
        let reason = format!("{:?} {:?} at {}", refusal.code, refusal.ran, refusal.step);
        *refusal_counts.entry(reason).or_default() += 1;
    }
    eprintln!("refused calls by reason: {refusal_counts:?}");
    // 2 s after a worker starts to leave, it must get no more calls or tasks.
    let running_vm = (0..test_cell.cell.len())
        .find(|&vm| vm != owner)
        .unwrap_or_default();
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    for n in 0..40 {
        let response = call(
            test_cell.red_client(running_vm),
            "web-north".to_owned(),
            format!("l{n}"),
            true,
            n,
        );
        ensure!(response.await?.is_ok(), "call l{n} was refused");
    }
    for record in test_cell
        .cell
        .worker("w10")
        .context("worker w10 does not exist")?
        .records()
    {
        let is_new_work = matches!(
            record.event,
            WorkerEvent::Called { .. } | WorkerEvent::Started { .. }
        );
        ensure!(
            !is_new_work || record.at.since(left_at) <= 2_000,
            "{record:?}"
        );
    }
    test_cell.check_invariants(&[])?;
    test_cell.cell.stop().await;
    Ok(())
}

/// Guards against a second run of a non-repeatable call when the request is sent again, to any VM.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_call_not_to_be_repeated_runs_at_most_once() -> Result<()> {
    let mut test_cell = TestCell::start(common::settings(1), 2).await?;
    start_services(&test_cell, 1_000).await?;
    let call_once = |vm: usize, id: &str| {
        let service = "web-north".to_owned();
        call(test_cell.red_client(vm), service, id.to_owned(), false, 7)
    };
    // After the call has finished, every VM returns the recorded response.
    let first = call_once(0, "done").await?.map_err(anyhow::Error::from)?;
    for vm in 0..3 {
        let again = call_once(vm, "done").await?.map_err(anyhow::Error::from)?;
        ensure!(again == first, "VM {vm} returned {again}");
    }
    let conflicting = call(
        test_cell.red_client(1),
        "web-north".to_owned(),
        "done".to_owned(),
        false,
        8,
    );
    let refusal = conflicting
        .await?
        .err()
        .context("a request with the same id but other content was accepted")?;
    ensure!(
        refusal.code == Code::Conflict && refusal.ran == ExecutionStatus::NotRun,
        "{refusal:?}"
    );
    // Each of 5 requests is sent concurrently, twice to every VM.
    let mut concurrent_calls = JoinSet::new();
    for n in 0..30 {
        concurrent_calls.spawn(call_once(n % 3, &format!("race-{}", n / 6)));
    }
    let mut answered = 0;
    while let Some(joined) = concurrent_calls.join_next().await {
        answered += usize::from(joined??.is_ok());
    }
    ensure!(
        answered >= 5,
        "only {answered} calls for 5 requests were answered"
    );
    // While the call runs, every VM responds that the outcome is unknown. Then the VM that
    // recorded the call is killed before it can record the response.
    let running_call = tokio::spawn(call_once(0, "cut"));
    let has_started = |_: &zinnia_local::Cell| {
        let runs = test_cell.call_runs();
        async move { Ok(runs.contains_key("cut")) }
    };
    test_cell
        .cell
        .wait_until(TIMEOUT, "start of the call", has_started)
        .await?;
    for vm in 0..3 {
        let refusal = call_once(vm, "cut")
            .await?
            .err()
            .context("the call ran again")?;
        ensure!(
            refusal.ran == ExecutionStatus::Unknown,
            "VM {vm} refused the call with {refusal:?}"
        );
    }
    test_cell.cell.kill_vm(0).await;
    ensure!(
        running_call.await?.is_err(),
        "the call finished before its VM was killed"
    );
    for vm in 1..3 {
        let outcome_is_unknown = |_: &zinnia_local::Cell| {
            let response = call(
                test_cell.red_client(vm),
                "web-north".to_owned(),
                "cut".to_owned(),
                false,
                7,
            );
            async {
                let refusal = response.await?.err().context("the call ran again")?;
                ensure!(refusal.ran == ExecutionStatus::Unknown, "{refusal:?}");
                Ok(true)
            }
        };
        test_cell
            .cell
            .wait_until(
                TIMEOUT,
                "refusal with an unknown outcome",
                outcome_is_unknown,
            )
            .await?;
    }
    test_cell.cell.start_vm(0).await?;
    let outcome_is_unknown = |_: &zinnia_local::Cell| {
        let response = call(
            test_cell.red_client(0),
            "web-north".to_owned(),
            "cut".to_owned(),
            false,
            7,
        );
        async {
            let refusal = response.await?.err().context("the call ran again")?;
            Ok(refusal.ran == ExecutionStatus::Unknown)
        }
    };
    test_cell
        .cell
        .wait_until(
            TIMEOUT,
            "refusal with an unknown outcome",
            outcome_is_unknown,
        )
        .await?;
    let runs = test_cell.call_runs();
    let ids: BTreeSet<&String> = runs.keys().filter(|id| !id.starts_with("first-")).collect();
    ensure!(ids.len() == 7, "{ids:?}");
    ensure!(ids.iter().all(|id| runs[*id] == 1), "{runs:?}");
    ensure!(test_cell.started_tasks(red_job_id("web-north")) == 3);
    test_cell.cell.stop().await;
    Ok(())
}

/// Guards against a drain that releases workers while accepted calls still wait for a slot on them.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn calls_that_wait_for_a_slot_survive_a_drain() -> Result<()> {
    for domain_vms in [1, 2] {
        let mut test_cell = TestCell::start(common::settings(domain_vms), 1).await?;
        let owner = test_cell.acting_owner(0, "east").await?;
        let body = json!({"name": "web", "kind": "api", "tasks": 1, "domain": "east", "payload": {"delay_ms": 1_000}});
        test_cell.submit_job(owner, &body).await?;
        let service = ServiceId::new(&red_job_id("web").to_string())?;
        let is_serving = |cell: &zinnia_local::Cell| {
            let daemon = cell.daemon(owner);
            let is_serving = daemon.is_some_and(|daemon| daemon.shared().routing.serves(service));
            async move { Ok(is_serving) }
        };
        test_cell
            .cell
            .wait_until(TIMEOUT, "start of the service", is_serving)
            .await?;
        // Half of these calls have to wait, since a worker has 8 slots.
        let mut calls = JoinSet::new();
        for n in 0..16 {
            let client = test_cell.red_client(owner);
            calls.spawn(call(client, "web".to_owned(), format!("q{n}"), true, n));
        }
        let half_waiting = |cell: &zinnia_local::Cell| {
            let daemon = cell.daemon(owner);
            let all_accepted = daemon.is_some_and(|daemon| daemon.shared().in_flight.len() == 16);
            let half_running = test_cell.call_runs().len() == 8;
            async move { Ok(all_accepted && half_running) }
        };
        test_cell
            .cell
            .wait_until(TIMEOUT, "8 running and 8 waiting calls", half_waiting)
            .await?;
        ensure!(
            test_cell.cell.drain_vm(owner).await,
            "the drain aborted calls in flight"
        );
        while let Some(joined) = calls.join_next().await {
            let result = joined??;
            ensure!(
                result.is_ok(),
                "with {domain_vms} VMs per domain: {result:?}"
            );
        }
        ensure!(test_cell.call_runs().values().all(|&n| n == 1));
        test_cell.cell.stop().await;
    }
    Ok(())
}
