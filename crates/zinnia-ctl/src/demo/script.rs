//! The steps of the demo. Each step checks its result and fails the demo if it is wrong.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::io::Write;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use anyhow::ensure;
use serde_json::Value;
use serde_json::json;
use zinnia_check::check;
use zinnia_local::Cell;
use zinnia_local::Client;
use zinnia_local::Settings;
use zinnia_types::Document;
use zinnia_types::JobId;
use zinnia_types::Resources;
use zinnia_types::TeamId;
use zinnia_types::parse_jsonc;
use zinnia_worker::WorkerEvent;

use super::Deployment;
use super::deployment::DemoJob;

/// Timeout of each wait for a condition.
const STEP_TIMEOUT: Duration = Duration::from_secs(8);
/// Time within which every reachable VM must refuse a withdrawn key.
const WITHDRAWAL_LIMIT: Duration = Duration::from_secs(2);
/// Timeout of the whole demo.
const DEMO_TIMEOUT: Duration = Duration::from_secs(29);

/// Runs the demo and prints the result of each step.
///
/// # Errors
///
/// Fails when a step fails, an invariant is violated or the demo exceeds its timeout.
pub(crate) async fn run(deployment: &Deployment, out: &mut dyn Write) -> Result<()> {
    tokio::time::timeout(DEMO_TIMEOUT, run_steps(deployment, out))
        .await
        .context("the demo did not finish within 29 s")?
}

async fn run_steps(deployment: &Deployment, out: &mut dyn Write) -> Result<()> {
    let settings = Settings {
        cell_name: deployment.name.parse()?,
        domains: deployment.domains.map(str::to_owned).to_vec(),
        ..Settings::default()
    };
    let mut cell = Cell::start(settings).await?;
    writeln!(
        out,
        "cell {}: 3 daemons, one in each failure domain",
        deployment.name
    )?;
    start_workers(&mut cell, deployment).await?;
    let document: Document = parse_jsonc(deployment.document)?;
    let version = cell
        .apply_document(0, &serde_json::to_value(&document)?, "demo-document")
        .await?;
    writeln!(
        out,
        "document version {version}: {} teams, {} kinds of jobs",
        document.teams.len(),
        document.kinds.len()
    )?;
    wait_for_workers(&cell, out).await?;
    let keys = grant_keys(&cell, deployment).await?;
    submit_jobs(&cell, deployment, &keys, out).await?;
    wait_for_jobs(&cell, deployment, &keys).await?;
    call_service(&cell, deployment, &keys, out).await?;
    withdraw_key(&cell, &keys, out).await?;
    print_placement(&cell, deployment, out)?;
    check_invariants(&cell, &document, out)?;
    cell.stop().await;
    writeln!(out, "done")?;
    Ok(())
}

/// Starts four workers in each failure domain, two of them with accelerators.
async fn start_workers(cell: &mut Cell, deployment: &Deployment) -> Result<()> {
    for domain in deployment.domains {
        for n in 0..4 {
            let name = format!("{domain}-{n}");
            let (rack, capacity) = match n {
                0 | 1 => ("plain", deployment.cpu_capacity),
                _ => ("accelerated", deployment.gpu_capacity),
            };
            let rack = format!("{rack}-{}", n % 2);
            cell.add_worker(&name, domain, &rack, capacity).await?;
        }
    }
    Ok(())
}

async fn wait_for_workers(cell: &Cell, out: &mut dyn Write) -> Result<()> {
    let expected = cell.workers().count();
    cell.wait_until(STEP_TIMEOUT, "workers", |cell| {
        let client = cell.operator_client(0);
        async move {
            let response = client.get("/v1/workers").await?;
            let list = response["workers"].as_array().cloned().unwrap_or_default();
            let ready = list.iter().filter(|w| w["state"] == "ready").count();
            Ok(ready == expected)
        }
    })
    .await?;
    writeln!(out, "{expected} workers registered with the cell")?;
    Ok(())
}

/// A granted key of a team.
struct TeamKey {
    team: TeamId,
    id: String,
    client: Client,
}

async fn grant_keys(cell: &Cell, deployment: &Deployment) -> Result<Vec<TeamKey>> {
    let mut keys = Vec::new();
    for (index, team) in deployment.teams.into_iter().enumerate() {
        let team: TeamId = team.parse()?;
        let (id, key) = cell.grant_key(index, team).await?;
        let client = cell.operator_client(index).with_key(key);
        keys.push(TeamKey { team, id, client });
    }
    Ok(keys)
}

async fn submit_jobs(
    cell: &Cell,
    deployment: &Deployment,
    keys: &[TeamKey],
    out: &mut dyn Write,
) -> Result<()> {
    for (index, job) in deployment.jobs.iter().enumerate() {
        let payload = if job.run_ms == 0 {
            json!({})
        } else {
            json!({"run_ms": job.run_ms})
        };
        let body = json!({"name": job.name, "kind": job.kind, "payload": payload});
        let client = keys[job.team_index]
            .client
            .with_addr(cell.http_addr(index % cell.len()));
        let response = client.post("/v1/jobs", &body).await?;
        let repeated_response = client.post("/v1/jobs", &body).await?;
        ensure!(
            response == repeated_response,
            "a repeated submission returned a different response"
        );
        let team = keys[job.team_index].team;
        writeln!(
            out,
            "team {team} submits {} ({}): domain {}, durability {}",
            job.name,
            job.kind,
            str_or_placeholder(&response["domain"]),
            str_or_placeholder(&response["durable"])
        )?;
    }
    Ok(())
}

/// Waits until every batch job is done and all tasks of the service run.
async fn wait_for_jobs(cell: &Cell, deployment: &Deployment, keys: &[TeamKey]) -> Result<()> {
    for job in &deployment.jobs {
        let client = &keys[job.team_index].client;
        if job.run_ms == 0 {
            let all_running = |r: &Value| r["running"] == r["tasks"];
            cell.wait_for_job(client, job.name, STEP_TIMEOUT, all_running)
                .await?;
        } else {
            let ended = |r: &Value| r["state"] == "ended";
            let row = cell
                .wait_for_job(client, job.name, STEP_TIMEOUT, ended)
                .await?;
            ensure!(row["outcome"]["state"] == "done", "job {}: {row}", job.name);
        }
    }
    Ok(())
}

fn find_service(deployment: &Deployment) -> Result<&DemoJob> {
    let mut jobs = deployment.jobs.iter();
    jobs.find(|j| j.run_ms == 0)
        .context("the demo has no service")
}

async fn call_service(
    cell: &Cell,
    deployment: &Deployment,
    keys: &[TeamKey],
    out: &mut dyn Write,
) -> Result<()> {
    let service = find_service(deployment)?;
    let client = &keys[service.team_index].client;
    let mut workers = BTreeSet::new();
    for n in 0..12_usize {
        let body = json!({"order": n, "text": "x".repeat(n * 100)});
        let client = client.with_addr(cell.http_addr(n % cell.len()));
        let pending = client.call_service(service.name, &[], body.to_string());
        let (status, worker, bytes) = pending.await?;
        ensure!(status == 200, "call {n}: status {status}");
        let response: Value = serde_json::from_slice(&bytes)?;
        ensure!(
            response["body"] == body,
            "call {n} returned the response of another call"
        );
        workers.extend(worker);
    }
    writeln!(
        out,
        "12 calls to {} through 3 VMs: each response is complete, from {} workers",
        service.name,
        workers.len()
    )?;
    let headers = [("x-repeat", "no"), ("x-request-id", "bill-1")];
    let (status, _, first) = client
        .call_service(service.name, &headers, r#"{"bill":1}"#)
        .await?;
    ensure!(status == 200, "non-repeatable call: status {status}");
    let other_vm = client.with_addr(cell.http_addr(2));
    let (status, _, second) = other_vm
        .call_service(service.name, &headers, r#"{"bill":1}"#)
        .await?;
    ensure!(
        status == 200 && first == second,
        "a repeated call returned a different response"
    );
    let executions = cell.workers().flat_map(zinnia_worker::Handle::records);
    let executions = executions
        .filter(|r| matches!(&r.event, WorkerEvent::Called { id: Some(id), .. } if id == "bill-1"));
    ensure!(executions.count() == 1, "the call did not run exactly once");
    writeln!(out, "non-repeatable call bill-1 sent twice: ran once")?;
    Ok(())
}

async fn withdraw_key(cell: &Cell, keys: &[TeamKey], out: &mut dyn Write) -> Result<()> {
    let key = &keys[1];
    let started = std::time::Instant::now();
    cell.operator_client(0)
        .post("/v1/keys/withdraw", &json!({"ids": [key.id]}))
        .await?;
    for vm in 0..cell.len() {
        cell.wait_until(WITHDRAWAL_LIMIT, "refusal of the withdrawn key", |cell| {
            let client = key.client.with_addr(cell.http_addr(vm));
            async move {
                let (status, _) = client.send(http::Method::GET, "/v1/jobs", &()).await?;
                Ok(status == 401)
            }
        })
        .await?;
    }
    writeln!(
        out,
        "key of team {} withdrawn: refused on all 3 VMs after {} ms",
        key.team,
        started.elapsed().as_millis()
    )?;
    Ok(())
}

/// Prints which workers ran how many tasks of each job.
fn print_placement(cell: &Cell, deployment: &Deployment, out: &mut dyn Write) -> Result<()> {
    let jobs: BTreeMap<JobId, &DemoJob> = deployment
        .jobs
        .iter()
        .map(|j| {
            let team: TeamId = deployment.teams[j.team_index].parse()?;
            Ok((JobId::of(team, j.name), j))
        })
        .collect::<Result<_>>()?;
    let mut task_counts: BTreeMap<(&str, String), u32> = BTreeMap::new();
    for record in cell.workers().flat_map(zinnia_worker::Handle::records) {
        if let WorkerEvent::Started { attempt, .. } = record.event
            && let Some(job) = jobs.get(&attempt.job)
        {
            let placement = (job.name, record.worker.to_string());
            *task_counts.entry(placement).or_default() += 1;
        }
    }
    writeln!(
        out,
        "\n{:<10} {:<24} {:>5}  placement rule",
        "job", "worker", "tasks"
    )?;
    for ((name, worker), tasks) in &task_counts {
        let rule = deployment.jobs.iter().find(|j| j.name == *name);
        let rule = rule.map_or("", |j| j.placement_rule);
        writeln!(out, "{name:<10} {worker:<24} {tasks:>5}  {rule}")?;
    }
    Ok(())
}

/// Checks the events that the workers recorded against the invariants of a cell.
fn check_invariants(cell: &Cell, document: &Document, out: &mut dyn Write) -> Result<()> {
    let limits: BTreeMap<TeamId, Resources> =
        document.teams.iter().map(|t| (t.name, t.limit)).collect();
    let events = cell.checker_events(&limits);
    let starts = events
        .iter()
        .filter(|e| matches!(e.kind, zinnia_check::EventKind::Started { .. }));
    ensure!(starts.count() > 0, "no task was started");
    let settings = zinnia_check::Settings::default();
    check(settings, &events, zinnia_worker::now()).map_err(|v| anyhow::anyhow!("{v}"))?;
    writeln!(
        out,
        "\n{} recorded events checked: no invariant violated",
        events.len()
    )?;
    Ok(())
}

/// Returns a JSON string, or `?` for any other value.
fn str_or_placeholder(value: &Value) -> &str {
    value.as_str().unwrap_or("?")
}
