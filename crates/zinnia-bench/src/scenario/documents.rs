//! Steps that apply documents.

use std::collections::BTreeMap;

use anyhow::Context;
use anyhow::Result;
use anyhow::ensure;
use serde_json::Value;
use serde_json::json;
use zinnia_check::EventKind;
use zinnia_local::Client;
use zinnia_types::Code;
use zinnia_types::Document;
use zinnia_types::ExecutionStatus;
use zinnia_types::Resources;
use zinnia_types::TeamId;

use super::context::ScenarioContext;
use super::monitor::document_digest;
use super::requests::RequestOutcome;
use super::run::expect_refused;

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
pub(crate) async fn apply_documents(
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
pub(crate) async fn apply_concurrently(
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
pub(crate) async fn apply_series(
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
