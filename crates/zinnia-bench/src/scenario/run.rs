//! Runs the steps of a scenario.

use anyhow::Context;
use anyhow::Result;
use anyhow::bail;
use anyhow::ensure;
use serde_json::json;
use tokio::time::Instant;
use zinnia_check::EventKind;
use zinnia_types::Code;
use zinnia_types::ExecutionStatus;

use super::POLL_INTERVAL;
use super::conditions;
use super::context::GrantedKey;
use super::context::ScenarioContext;
use super::documents::apply_concurrently;
use super::documents::apply_documents;
use super::documents::apply_series;
use super::faults::control_vm;
use super::faults::control_worker;
use super::faults::cut_links;
use super::requests;
use super::requests::RequestOutcome;
use super::step::Step;

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

/// Fails unless the outcome is a refusal with this code and, if given, this execution status.
pub(crate) fn expect_refused(
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
