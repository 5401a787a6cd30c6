//! The steps of the demo; each one checks its own result.

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
use super::deployment::Submission;

/// Longest wait for each step.
const STEP: Duration = Duration::from_secs(8);
/// Within this time every VM in reach must refuse a withdrawn key.
const WITHDRAWAL: Duration = Duration::from_secs(2);
/// Longest run of the whole demo.
const WHOLE: Duration = Duration::from_secs(29);

/// Runs the demo and prints its steps.
///
/// # Errors
///
/// Fails when any step goes wrong or an invariant is violated.
pub(crate) async fn run(deployment: &Deployment, out: &mut dyn Write) -> Result<()> {
    tokio::time::timeout(WHOLE, steps(deployment, out))
        .await
        .context("the demo did not end within 29 s")?
}

async fn steps(deployment: &Deployment, out: &mut dyn Write) -> Result<()> {
    let settings = Settings {
        cell: deployment.name.parse()?,
        domains: deployment.domains.map(str::to_owned).to_vec(),
        ..Settings::default()
    };
    let mut cell = Cell::start(settings).await?;
    writeln!(
        out,
        "cell {}: 3 daemons, one a failure domain",
        deployment.name
    )?;
    start_workers(&mut cell, deployment).await?;
    let document: Document = parse_jsonc(deployment.document)?;
    let version = cell
        .apply(0, &serde_json::to_value(&document)?, "demo-document")
        .await?;
    writeln!(
        out,
        "document version {version}: {} teams, {} kinds of work",
        document.teams.len(),
        document.kinds.len()
    )?;
    wait_for_workers(&cell, out).await?;
    let keys = grant(&cell, deployment).await?;
    submit(&cell, deployment, &keys, out).await?;
    finish(&cell, deployment, &keys).await?;
    call(&cell, deployment, &keys, out).await?;
    withdraw(&cell, &keys, out).await?;
    show(&cell, deployment, out)?;
    examine(&cell, &document, out)?;
    cell.stop().await;
    writeln!(out, "done")?;
    Ok(())
}

async fn start_workers(cell: &mut Cell, deployment: &Deployment) -> Result<()> {
    for domain in deployment.domains {
        for n in 0..4 {
            let name = format!("{domain}-{n}");
            let (rack, capacity) = match n {
                0 | 1 => ("plain", deployment.plain),
                _ => ("accelerated", deployment.accelerated),
            };
            let rack = format!("{rack}-{}", n % 2);
            cell.add_worker(&name, domain, &rack, capacity).await?;
        }
    }
    Ok(())
}

async fn wait_for_workers(cell: &Cell, out: &mut dyn Write) -> Result<()> {
    let wanted = cell.workers().count();
    cell.until(STEP, "workers", |cell| {
        let client = cell.operator(0);
        async move {
            let answer = client.get("/v1/workers").await?;
            let list = answer["workers"].as_array().cloned().unwrap_or_default();
            let ready = list.iter().filter(|w| w["state"] == "ready").count();
            Ok(ready == wanted)
        }
    })
    .await?;
    writeln!(out, "{wanted} workers announced themselves")?;
    Ok(())
}

/// A team of the demo with its key.
struct Key {
    team: TeamId,
    id: String,
    client: Client,
}

async fn grant(cell: &Cell, deployment: &Deployment) -> Result<Vec<Key>> {
    let mut keys = Vec::new();
    for (at, team) in deployment.teams.into_iter().enumerate() {
        let team: TeamId = team.parse()?;
        let (id, key) = cell.grant(at, team).await?;
        let client = cell.operator(at).with_key(key);
        keys.push(Key { team, id, client });
    }
    Ok(keys)
}

async fn submit(
    cell: &Cell,
    deployment: &Deployment,
    keys: &[Key],
    out: &mut dyn Write,
) -> Result<()> {
    for (at, job) in deployment.jobs.iter().enumerate() {
        let payload = if job.run_ms == 0 {
            json!({})
        } else {
            json!({"run_ms": job.run_ms})
        };
        let body = json!({"name": job.name, "kind": job.kind, "payload": payload});
        let client = keys[job.team].client.at(cell.addr(at % cell.len()));
        let answer = client.post("/v1/jobs", &body).await?;
        let repeated = client.post("/v1/jobs", &body).await?;
        ensure!(answer == repeated, "a resend got another answer");
        let team = keys[job.team].team;
        writeln!(
            out,
            "team {team} submits {} ({}): domain {}, durable on {}",
            job.name,
            job.kind,
            text(&answer["domain"]),
            text(&answer["durable"])
        )?;
    }
    Ok(())
}

async fn finish(cell: &Cell, deployment: &Deployment, keys: &[Key]) -> Result<()> {
    for job in &deployment.jobs {
        let client = &keys[job.team].client;
        if job.run_ms == 0 {
            let all = |r: &Value| r["running"] == r["tasks"];
            cell.until_job(client, job.name, STEP, all).await?;
        } else {
            let ended = |r: &Value| r["state"] == "ended";
            let row = cell.until_job(client, job.name, STEP, ended).await?;
            ensure!(row["outcome"]["state"] == "done", "job {}: {row}", job.name);
        }
    }
    Ok(())
}

fn service(deployment: &Deployment) -> Result<&Submission> {
    let mut jobs = deployment.jobs.iter();
    jobs.find(|j| j.run_ms == 0)
        .context("the demo has no service")
}

async fn call(
    cell: &Cell,
    deployment: &Deployment,
    keys: &[Key],
    out: &mut dyn Write,
) -> Result<()> {
    let service = service(deployment)?;
    let client = &keys[service.team].client;
    let mut workers = BTreeSet::new();
    for n in 0..12_usize {
        let body = json!({"order": n, "text": "x".repeat(n * 100)});
        let client = client.at(cell.addr(n % cell.len()));
        let sent = client.call(service.name, &[], body.to_string());
        let (status, worker, bytes) = sent.await?;
        ensure!(status == 200, "call {n}: status {status}");
        let answer: Value = serde_json::from_slice(&bytes)?;
        ensure!(answer["body"] == body, "call {n} got another answer");
        workers.extend(worker);
    }
    writeln!(
        out,
        "12 calls to {} through 3 VMs: each answered whole, by {} workers",
        service.name,
        workers.len()
    )?;
    let once = [("x-repeat", "no"), ("x-request-id", "bill-1")];
    let (status, _, first) = client.call(service.name, &once, r#"{"bill":1}"#).await?;
    ensure!(status == 200, "call not to be repeated: status {status}");
    let other = client.at(cell.addr(2));
    let (status, _, second) = other.call(service.name, &once, r#"{"bill":1}"#).await?;
    ensure!(
        status == 200 && first == second,
        "a resend got another answer"
    );
    let ran = cell.workers().flat_map(zinnia_worker::Handle::records);
    let ran = ran
        .filter(|r| matches!(&r.event, WorkerEvent::Called { id: Some(id), .. } if id == "bill-1"));
    ensure!(ran.count() == 1, "the call ran more than once");
    writeln!(out, "call bill-1, not to be repeated, sent twice: ran once")?;
    Ok(())
}

async fn withdraw(cell: &Cell, keys: &[Key], out: &mut dyn Write) -> Result<()> {
    let key = &keys[1];
    let began = std::time::Instant::now();
    cell.operator(0)
        .post("/v1/keys/withdraw", &json!({"ids": [key.id]}))
        .await?;
    for at in 0..cell.len() {
        cell.until(WITHDRAWAL, "refusal of the withdrawn key", |cell| {
            let client = key.client.at(cell.addr(at));
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
        began.elapsed().as_millis()
    )?;
    Ok(())
}

fn show(cell: &Cell, deployment: &Deployment, out: &mut dyn Write) -> Result<()> {
    let names: BTreeMap<JobId, &Submission> = deployment
        .jobs
        .iter()
        .map(|j| {
            let team: TeamId = deployment.teams[j.team].parse()?;
            Ok((JobId::of(team, j.name), j))
        })
        .collect::<Result<_>>()?;
    let mut placed: BTreeMap<(&str, String), u32> = BTreeMap::new();
    for record in cell.workers().flat_map(zinnia_worker::Handle::records) {
        if let WorkerEvent::Started { attempt, .. } = record.event
            && let Some(job) = names.get(&attempt.job)
        {
            let place = (job.name, record.worker.to_string());
            *placed.entry(place).or_default() += 1;
        }
    }
    writeln!(out, "\n{:<10} {:<24} {:>5}  why", "job", "worker", "tasks")?;
    for ((name, worker), tasks) in &placed {
        let rule = deployment.jobs.iter().find(|j| j.name == *name);
        let rule = rule.map_or("", |j| j.rule);
        writeln!(out, "{name:<10} {worker:<24} {tasks:>5}  {rule}")?;
    }
    Ok(())
}

fn examine(cell: &Cell, document: &Document, out: &mut dyn Write) -> Result<()> {
    let limits: BTreeMap<TeamId, Resources> =
        document.teams.iter().map(|t| (t.name, t.limit)).collect();
    let facts = cell.facts(&limits);
    let starts = facts
        .iter()
        .filter(|e| matches!(e.fact, zinnia_check::Fact::Started { .. }));
    ensure!(starts.count() > 0, "nothing was started");
    let settings = zinnia_check::Settings::default();
    check(settings, &facts, zinnia_worker::now()).map_err(|v| anyhow::anyhow!("{v}"))?;
    writeln!(
        out,
        "\n{} facts checked: no invariant violated",
        facts.len()
    )?;
    Ok(())
}

fn text(value: &Value) -> &str {
    value.as_str().unwrap_or("?")
}
