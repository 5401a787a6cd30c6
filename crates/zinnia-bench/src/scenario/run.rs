//! Runs the steps of a scenario.

use std::collections::BTreeMap;
use std::fs;
use std::path::PathBuf;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use anyhow::bail;
use anyhow::ensure;
use serde_json::Value;
use serde_json::json;
use tokio::time::Instant;
use zinnia_check::EventKind;
use zinnia_local::Client;
use zinnia_types::Code;
use zinnia_types::Document;
use zinnia_types::ExecutionStatus;
use zinnia_types::Resources;
use zinnia_types::TeamId;

use super::POLL_INTERVAL;
use super::conditions;
use super::context::GrantedKey;
use super::context::ScenarioContext;
use super::monitor::document_digest;
use super::requests;
use super::requests::RequestOutcome;
use super::step::Step;
use super::step::VmAction;
use super::step::WorkerAction;

/// Maximum wait for a draining worker to finish its tasks and calls.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(20);

/// Runs one step. Unless the step expects refusals, it fails if any of its requests was not
/// granted.
pub(crate) async fn run_step(context: &mut ScenarioContext, step: &Step) -> Result<()> {
    match step {
        Step::Expect { code, ran, step } => {
            let outcomes = Box::pin(perform(context, step)).await?;
            ensure!(!outcomes.is_empty(), "the step sends no request");
            outcomes
                .iter()
                .try_for_each(|o| expect_refused(o, *code, *ran))
        }
        Step::Eventually { step, timeout } => {
            let deadline = Instant::now() + *timeout;
            loop {
                let result = Box::pin(run_step(context, step)).await;
                if result.is_ok() || Instant::now() >= deadline {
                    return result.with_context(|| format!("not within {} s", timeout.as_secs()));
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        _ => perform(context, step)
            .await?
            .iter()
            .try_for_each(expect_granted),
    }
}

fn expect_granted(outcome: &RequestOutcome) -> Result<()> {
    match outcome {
        RequestOutcome::Granted => Ok(()),
        RequestOutcome::Refused(body) => bail!("refused with {:?}: {body}", body.code),
        RequestOutcome::NoResponse(reason) => bail!("no response: {reason}"),
    }
}

fn expect_refused(
    outcome: &RequestOutcome,
    code: Code,
    ran: Option<ExecutionStatus>,
) -> Result<()> {
    match outcome {
        RequestOutcome::Refused(body) if body.code == code && ran.is_none_or(|r| r == body.ran) => {
            Ok(())
        }
        RequestOutcome::Refused(body) => bail!("refused with {:?}: {body}", body.code),
        RequestOutcome::Granted => bail!("granted, but a refusal was expected"),
        RequestOutcome::NoResponse(reason) => bail!("no response: {reason}"),
    }
}

/// Runs one step and returns the outcomes of its requests.
async fn perform(context: &mut ScenarioContext, step: &Step) -> Result<Vec<RequestOutcome>> {
    match step {
        Step::StartWorkers {
            domain,
            names,
            racks,
            capacity,
            faults,
        } => {
            for (n, name) in names.iter().enumerate() {
                let rack = n % (*racks).max(1);
                let spec = (domain.clone(), rack, *capacity);
                context.worker_specs.insert(name.clone(), spec);
                let rack = format!("{domain}-r{rack}");
                context
                    .cell
                    .add_faulty_worker(name, domain, &rack, *capacity, faults.clone())
                    .await?;
            }
        }
        Step::SetFaults { workers, faults } => {
            for name in context.resolve_workers(workers)? {
                let handle = context.cell.worker(&name).context("no such worker")?;
                handle.set_faults(faults.clone());
            }
        }
        Step::ControlWorkers { workers, action } => {
            for name in context.resolve_workers(workers)? {
                control_worker(context, &name, *action).await?;
            }
        }
        Step::ControlVm { vm, action } => {
            for vm_index in context.resolve_vms(vm)? {
                control_vm(context, vm_index, *action).await?;
            }
        }
        Step::Cut { from, to, both } => {
            let (from, to) = (context.resolve_vms(from)?, context.resolve_vms(to)?);
            let pairs = from.iter().flat_map(|&a| to.iter().map(move |&b| (a, b)));
            cut_links(context, pairs, *both);
        }
        Step::Isolate { vms } => {
            let inside = context.resolve_vms(vms)?;
            let outside = (0..context.cell.len()).filter(|vm_index| !inside.contains(vm_index));
            let outside: Vec<usize> = outside.collect();
            let pairs = inside
                .iter()
                .flat_map(|&a| outside.iter().map(move |&b| (a, b)));
            cut_links(context, pairs, true);
        }
        Step::Heal => {
            context.cell.restore_links();
            context.cut_links.clear();
            context.update_connectivity();
        }
        Step::ApplyDocument {
            document,
            request_id,
            base_version,
            vm,
        } => {
            let request_id = match request_id {
                Some(request_id) => request_id.clone(),
                None => context.next_request_id("document"),
            };
            let vm_index = context.request_vm(vm.as_deref())?;
            let edit = (vm_index, request_id, document.clone());
            return apply_documents(context, vec![edit], *base_version).await;
        }
        Step::ApplySeries { document, count } => {
            return apply_series(context, document, *count).await;
        }
        Step::ApplyConcurrently { documents } => {
            return apply_concurrently(context, documents).await;
        }
        Step::GrantKey { team, name, vm } => {
            let vm_index = context.request_vm(vm.as_deref())?;
            return Ok(vec![grant_key(context, vm_index, team, name).await?]);
        }
        Step::WithdrawKey { key, vm } => {
            let vm_index = context.request_vm(vm.as_deref())?;
            let id = context.key(key)?.id.clone();
            let client = context.cell.operator_client(vm_index);
            let result = client
                .post("/v1/keys/withdraw", &json!({"ids": [id]}))
                .await;
            return Ok(vec![match result {
                Ok(_) => {
                    context.event_log.add(EventKind::Withdrawn { key: id });
                    RequestOutcome::Granted
                }
                Err(error) => RequestOutcome::from_error(error),
            }]);
        }
        Step::ProbeKey { key } => probe_key(context, key)?,
        Step::Submit(submit) => return requests::submit(context, submit).await,
        Step::Cancel { team, prefix, vm } => {
            let vm_index = context.request_vm(vm.as_deref())?;
            let body = json!({"team": team, "prefix": prefix});
            let result = context
                .cell
                .operator_client(vm_index)
                .post("/v1/cancel", &body)
                .await;
            return Ok(vec![result.map_or_else(RequestOutcome::from_error, |_| {
                RequestOutcome::Granted
            })]);
        }
        Step::Call(call) => return requests::call(context, call).await,
        Step::JoinCalls => return Ok(requests::join_calls(context).await),
        Step::Until { condition, timeout } => {
            conditions::wait(context, condition, *timeout).await?;
        }
        Step::Expect { .. } | Step::Eventually { .. } => Box::pin(run_step(context, step)).await?,
    }
    Ok(Vec::new())
}

async fn control_worker(
    context: &mut ScenarioContext,
    name: &str,
    action: WorkerAction,
) -> Result<()> {
    if matches!(action, WorkerAction::Restart) {
        let (domain, rack, capacity) = context
            .worker_specs
            .get(name)
            .cloned()
            .context("no such worker")?;
        let rack = format!("{domain}-r{rack}");
        let cell = &mut context.cell;
        return cell.add_worker(name, &domain, &rack, capacity).await;
    }
    if matches!(action, WorkerAction::Kill) {
        context.cell.kill_worker(name);
        return Ok(());
    }
    let handle = context.cell.worker(name).context("no such worker")?;
    let id = handle.worker();
    match action {
        WorkerAction::Leave => {
            handle.leave();
            context.event_log.add(EventKind::Leaving { worker: id });
        }
        WorkerAction::Drain => {
            handle.leave();
            context.event_log.add(EventKind::Leaving { worker: id });
            let finished = context.cell.drain_worker(name, DRAIN_TIMEOUT).await;
            ensure!(
                finished,
                "worker {name} did not finish its tasks and calls in time"
            );
        }
        WorkerAction::PauseHeartbeats => handle.set_heartbeats_paused(true),
        WorkerAction::ResumeHeartbeats => handle.set_heartbeats_paused(false),
        WorkerAction::Kill | WorkerAction::Restart => {}
    }
    Ok(())
}

async fn control_vm(
    context: &mut ScenarioContext,
    vm_index: usize,
    action: VmAction,
) -> Result<()> {
    match action {
        VmAction::Kill => {
            let vm = context.vm_id(vm_index).context("the VM is not running")?;
            context.event_log.add(EventKind::Killed { vm });
            context.monitor.unwatch(vm);
            context.cell.kill_vm(vm_index).await;
            context.update_connectivity();
        }
        VmAction::Drain => {
            let vm = context.vm_id(vm_index).context("the VM is not running")?;
            context.event_log.add(EventKind::Drain { vm });
            let finished = context.cell.drain_vm(vm_index).await;
            // A response may still be in transit from the socket to its caller.
            context.event_log.wait_for_callers(vm).await;
            context.event_log.add(EventKind::Drained { vm });
            context.monitor.unwatch(vm);
            context.update_connectivity();
            ensure!(
                finished,
                "the VM was drained before its requests in flight had finished"
            );
        }
        // A step may start a whole domain, some VMs of which already run.
        VmAction::Start if context.cell.daemon(vm_index).is_some() => {}
        VmAction::Start => {
            context.cell.start_vm(vm_index).await?;
            context.watch_vm(vm_index);
            context.update_connectivity();
        }
        VmAction::ExpectStartFailure => {
            let Err(error) = context.cell.start_vm(vm_index).await else {
                bail!("the VM started with a corrupt journal");
            };
            let text = format!("{error:#}");
            ensure!(
                text.contains("journal-"),
                "the error does not name the journal file: {text}"
            );
        }
        VmAction::WipeDisk => context.cell.wipe_vm(vm_index)?,
        VmAction::AppendPartialRecord => {
            let path = newest_journal(context, vm_index)?;
            let mut bytes = fs::read(&path)?;
            // 7 bytes are fewer than the framing of a record takes, so the record is incomplete.
            let partial_record = bytes.get(..7).map(<[u8]>::to_vec);
            bytes.extend(partial_record.context("the journal is empty")?);
            fs::write(&path, bytes)?;
        }
        VmAction::CorruptJournal => {
            let path = newest_journal(context, vm_index)?;
            let mut bytes = fs::read(&path)?;
            let middle = bytes.len() / 2;
            let byte = bytes.get_mut(middle).context("the journal is empty")?;
            *byte ^= 0x40;
            fs::write(&path, bytes)?;
        }
    }
    Ok(())
}

/// Path of the newest journal file of a stopped VM.
fn newest_journal(context: &ScenarioContext, vm_index: usize) -> Result<PathBuf> {
    ensure!(context.cell.daemon(vm_index).is_none(), "the VM is running");
    let settings = context.cell.vm_settings(vm_index).context("no such VM")?;
    let folder = settings.data.as_ref().context("the VM has no disk")?;
    let mut files = Vec::new();
    for entry in fs::read_dir(folder)? {
        let entry = entry?;
        if entry.file_name().to_string_lossy().starts_with("journal-") {
            files.push(entry.path());
        }
    }
    files.into_iter().max().context("the VM has no journal")
}

fn cut_links(
    context: &mut ScenarioContext,
    pairs: impl Iterator<Item = (usize, usize)>,
    both: bool,
) {
    for (from, to) in pairs {
        context.cut_links.insert((from, to));
        if both {
            context.cut_links.insert((to, from));
        }
    }
    // Recorded before the links are cut: the invariants for reachable VMs do not apply to a VM from
    // the moment when it is cut off.
    context.update_connectivity();
    for &(from, to) in &context.cut_links {
        context.cell.drop_link(from, to);
    }
}

async fn grant_key(
    context: &mut ScenarioContext,
    vm_index: usize,
    team: &str,
    name: &str,
) -> Result<RequestOutcome> {
    let body = json!({"request": format!("grant-{name}"), "team": team});
    let response = match context
        .cell
        .operator_client(vm_index)
        .post("/v1/keys", &body)
        .await
    {
        Ok(response) => response,
        Err(error) => return Ok(RequestOutcome::from_error(error)),
    };
    let string_field = |field: &str| response[field].as_str().map(str::to_owned);
    let key = GrantedKey {
        id: string_field("id").context("the response has no key id")?,
        secret: string_field("key").context("the response has no key")?,
        team: team.parse()?,
    };
    context.event_log.add(EventKind::Granted {
        key: key.id.clone(),
        team: Some(key.team),
    });
    context.granted_keys.insert(name.to_owned(), key);
    Ok(RequestOutcome::Granted)
}

fn probe_key(context: &mut ScenarioContext, key: &str) -> Result<()> {
    let GrantedKey { id, team, .. } = context.key(key)?.clone();
    for vm_index in 0..context.cell.len() {
        let Some(vm) = context.vm_id(vm_index) else {
            continue;
        };
        let accepted_event = EventKind::Accepted {
            vm,
            team,
            kind: "probe".parse()?,
            key: Some(id.clone()),
        };
        let client = context.client(vm_index, key)?;
        let probe = requests::probe_key(client, accepted_event, context.event_log.clone());
        context.background_tasks.push(tokio::spawn(probe));
    }
    Ok(())
}

fn team_limits(document: &Value) -> BTreeMap<TeamId, Resources> {
    let parsed: Option<Document> = serde_json::from_value(document.clone()).ok();
    let teams = parsed.map(|d| d.teams).unwrap_or_default();
    teams.into_iter().map(|t| (t.name, t.limit)).collect()
}

fn record_limits(context: &ScenarioContext, limits: &BTreeMap<TeamId, Resources>) {
    for (&team, &limit) in limits {
        context.event_log.add(EventKind::Limit { team, limit });
    }
}

/// Applies documents concurrently, each through a VM and with a request id, all edited from the
/// same version; by default from the version in force.
async fn apply_documents(
    context: &mut ScenarioContext,
    documents: Vec<(usize, String, Value)>,
    base_version: Option<u64>,
) -> Result<Vec<RequestOutcome>> {
    // Tasks may start under a new limit before the response arrives, so the maximum of the old and
    // new limits applies first.
    let mut max_limits = context.limits.clone();
    for (_, _, document) in &documents {
        for (team, limit) in team_limits(document) {
            let entry = max_limits.entry(team).or_insert(limit);
            *entry = Resources::elementwise_max(entry, &limit);
        }
    }
    record_limits(context, &max_limits);
    let base_version = match (base_version, documents.first()) {
        (Some(base_version), _) => base_version,
        (None, Some((vm_index, _, _))) => {
            document_version(&context.cell.operator_client(*vm_index)).await?
        }
        (None, None) => 0,
    };
    let mut tasks = tokio::task::JoinSet::new();
    for (vm_index, request_id, document) in documents {
        let client = context.cell.operator_client(vm_index);
        tasks.spawn(async move {
            let body = json!({"request": request_id, "from": base_version, "document": document});
            (client.put("/v1/document", &body).await, document)
        });
    }
    let mut outcomes = Vec::new();
    for (response, document) in tasks.join_all().await {
        outcomes.push(match response {
            Ok(response) => {
                let version = response["version"]
                    .as_u64()
                    .context("the response has no version")?;
                let hash = response["hash"]
                    .as_str()
                    .context("the response has no hash")?;
                context.event_log.add(EventKind::Document {
                    version,
                    digest: document_digest(hash),
                });
                for (team, limit) in team_limits(&document) {
                    context.limits.insert(team, limit);
                }
                record_open_kinds(context, &document);
                RequestOutcome::Granted
            }
            Err(error) => RequestOutcome::from_error(error),
        });
    }
    // A document without a response may have been accepted, so the maximum limits still apply.
    if outcomes
        .iter()
        .any(|o| matches!(o, RequestOutcome::NoResponse(_)))
    {
        context.limits = max_limits;
    }
    record_limits(context, &context.limits);
    Ok(outcomes)
}

/// Version of the document in force at a VM.
async fn document_version(client: &Client) -> Result<u64> {
    let response = client.get("/v1/document").await?;
    response["version"]
        .as_u64()
        .context("the response has no version")
}

/// Records which team owns the submissions without a key of each kind.
fn record_open_kinds(context: &ScenarioContext, document: &Value) {
    let parsed: Option<Document> = serde_json::from_value(document.clone()).ok();
    for kind in parsed.map(|d| d.kinds).unwrap_or_default() {
        context.event_log.add(EventKind::Opened {
            kind: kind.name,
            team: kind.open,
        });
    }
}

/// Applies documents concurrently; exactly one must be accepted and the others must conflict.
async fn apply_concurrently(
    context: &mut ScenarioContext,
    documents: &[Value],
) -> Result<Vec<RequestOutcome>> {
    let mut edits = Vec::new();
    for document in documents {
        let vm_index = context.request_vm(None)?;
        edits.push((vm_index, context.next_request_id("race"), document.clone()));
    }
    let outcomes = apply_documents(context, edits, None).await?;
    let granted = outcomes
        .iter()
        .filter(|o| matches!(o, RequestOutcome::Granted));
    ensure!(
        granted.count() == 1,
        "not exactly one document was accepted: {outcomes:?}"
    );
    for outcome in outcomes
        .iter()
        .filter(|o| !matches!(o, RequestOutcome::Granted))
    {
        expect_refused(outcome, Code::Conflict, Some(ExecutionStatus::NotRun))?;
    }
    Ok(Vec::new())
}

/// Applies `count` documents in sequence, each with a different share of the first team.
async fn apply_series(
    context: &mut ScenarioContext,
    document: &Value,
    count: u32,
) -> Result<Vec<RequestOutcome>> {
    let mut outcomes = Vec::new();
    let mut document = document.clone();
    let vm_index = context.request_vm(None)?;
    let mut base_version = document_version(&context.cell.operator_client(vm_index)).await?;
    for n in 0..count {
        document["teams"][0]["share"] = json!(1 + n % 50);
        let vm_index = context.request_vm(None)?;
        let request_id = context.next_request_id("change");
        let edit = (vm_index, request_id, document.clone());
        // Counted here rather than queried, since a VM may lag behind the one that responded last.
        outcomes.extend(apply_documents(context, vec![edit], Some(base_version)).await?);
        base_version += 1;
    }
    Ok(outcomes)
}
