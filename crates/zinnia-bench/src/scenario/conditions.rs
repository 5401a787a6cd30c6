//! Waits until a condition on the cell holds.

use std::time::Duration;

use anyhow::Result;
use anyhow::bail;
use http::Method;
use serde_json::Value;
use tokio::time::Instant;
use zinnia_worker::WorkerEvent;

use super::POLL_INTERVAL;
use super::context::ScenarioContext;
use super::step::Condition;

/// Interval between two checks of the event log during a wait.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Waits until a condition holds, and checks the event log against the invariants in the meantime.
pub(crate) async fn wait(
    context: &mut ScenarioContext,
    condition: &Condition,
    timeout: Duration,
) -> Result<()> {
    let deadline = Instant::now() + timeout;
    let mut last_check = Instant::now();
    loop {
        let reason = match check_condition(context, condition).await {
            Ok(None) => return Ok(()),
            Ok(Some(reason)) => reason,
            Err(error) => format!("{error:#}"),
        };
        if Instant::now() >= deadline {
            bail!("not within {} s: {reason}", timeout.as_secs());
        }
        if last_check.elapsed() >= CHECK_INTERVAL {
            context.check_invariants(false)?;
            last_check = Instant::now();
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns `None` if the condition holds, and otherwise the reason why it does not.
async fn check_condition(
    context: &mut ScenarioContext,
    condition: &Condition,
) -> Result<Option<String>> {
    let holds = match condition {
        Condition::Rows {
            view,
            fields,
            expected_count,
            vm,
        } => {
            let vm_index = context.request_vm(vm.as_deref())?;
            let path = match view.as_str() {
                "jobs" => "/v1/jobs?limit=10000".to_owned(),
                view => format!("/v1/{view}"),
            };
            let response = context.cell.operator_client(vm_index).get(&path).await?;
            let rows = response[view].as_array().cloned().unwrap_or_default();
            let found = rows.iter().filter(|row| row_matches(row, fields)).count();
            if !expected_count.matches(found) {
                let rows = serde_json::to_string(&rows)?;
                let preview: String = rows.chars().take(2_000).collect();
                return Ok(Some(format!("{found} rows match; {preview}")));
            }
            true
        }
        Condition::DocumentVersion(expected) => (0..context.cell.len()).all(|vm_index| {
            context.cell.daemon(vm_index).is_none_or(|daemon| {
                let version = daemon.shared().with_engine(|engine, _| {
                    let document = engine.cell.document();
                    document.map(|(stamp, _)| stamp.version)
                });
                version == Some(*expected)
            })
        }),
        Condition::KeyRefused(key) => {
            let mut all_match = true;
            for vm_index in 0..context.cell.len() {
                if context.cell.daemon(vm_index).is_some() {
                    let client = context.client(vm_index, key)?;
                    let response = client.send(Method::GET, "/v1/jobs", &Value::Null).await?;
                    all_match &= response.0 == 401;
                }
            }
            all_match
        }
        Condition::WorkerEvents {
            event,
            worker,
            request_id,
            expected_count,
        } => {
            let records = context.cell.event_records();
            let matching = records.iter().filter(|r| {
                let (name, id) = match &r.event {
                    WorkerEvent::Started { .. } => ("started", None),
                    WorkerEvent::Ended { .. } => ("ended", None),
                    WorkerEvent::Called { id, .. } => ("called", id.as_deref()),
                    WorkerEvent::Served { id, .. } => ("served", id.as_deref()),
                    WorkerEvent::Up { .. } | WorkerEvent::Down => return false,
                };
                name == event
                    && text_matches(worker.as_deref(), Some(r.worker.as_str()))
                    && text_matches(request_id.as_deref(), id)
            });
            let found = matching.count();
            if !expected_count.matches(found) {
                return Ok(Some(format!("{found} worker events match")));
            }
            true
        }
        Condition::HasLeader => context.resolve_vms("leader").is_ok(),
        Condition::VmReady(vm) => {
            let mut all_match = true;
            for vm_index in context.resolve_vms(vm)? {
                let client = context.cell.operator_client(vm_index);
                let response = client.send(Method::GET, "/healthz", &Value::Null).await?;
                all_match &= response.0 == 200;
            }
            all_match
        }
    };
    Ok((!holds).then(|| "the condition does not hold".to_owned()))
}

/// Whether `found` equals `expected`, or starts with it if it ends in `*`. `None` expects any text.
fn text_matches(expected: Option<&str>, found: Option<&str>) -> bool {
    match expected {
        None => true,
        Some(expected) => match expected.strip_suffix('*') {
            Some(prefix) => found.is_some_and(|f| f.starts_with(prefix)),
            None => found == Some(expected),
        },
    }
}

/// Whether a row has the expected values in all `fields`.
fn row_matches(row: &Value, fields: &[(String, String)]) -> bool {
    fields.iter().all(|(name, expected)| {
        let value = match name.as_str() {
            "outcome" => &row["outcome"]["state"],
            name => &row[name],
        };
        let text = match value {
            Value::String(text) => text.clone(),
            other => other.to_string(),
        };
        text_matches(Some(expected), Some(&text))
    })
}
