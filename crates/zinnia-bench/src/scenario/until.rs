//! Waits for conditions.

use std::time::Duration;

use anyhow::Result;
use anyhow::bail;
use http::Method;
use serde_json::Value;
use tokio::time::Instant;
use zinnia_worker::WorkerEvent;

use super::POLL;
use super::step::Condition;
use super::world::World;

/// Time between two checks of the record during a wait.
const CHECK: Duration = Duration::from_millis(500);

/// Waits until a condition holds and checks the record meanwhile.
pub(crate) async fn wait(world: &mut World, condition: &Condition, limit: Duration) -> Result<()> {
    let deadline = Instant::now() + limit;
    let mut checked = Instant::now();
    loop {
        let why = match look(world, condition).await {
            Ok(None) => return Ok(()),
            Ok(Some(why)) => why,
            Err(error) => format!("{error:#}"),
        };
        if Instant::now() >= deadline {
            bail!("not within {} s: {why}", limit.as_secs());
        }
        if checked.elapsed() >= CHECK {
            world.check(false)?;
            checked = Instant::now();
        }
        tokio::time::sleep(POLL).await;
    }
}

/// Returns why the condition does not hold.
async fn look(world: &mut World, condition: &Condition) -> Result<Option<String>> {
    let holds = match condition {
        Condition::Rows {
            view,
            fields,
            amount,
            vm,
        } => {
            let at = world.via(vm.as_deref())?;
            let path = match view.as_str() {
                "jobs" => "/v1/jobs?limit=10000".to_owned(),
                view => format!("/v1/{view}"),
            };
            let answer = world.cell.operator(at).get(&path).await?;
            let rows = answer[view].as_array().cloned().unwrap_or_default();
            let found = rows.iter().filter(|row| matches(row, fields)).count();
            if !amount.is(found) {
                let rows = serde_json::to_string(&rows)?;
                let shown: String = rows.chars().take(2_000).collect();
                return Ok(Some(format!("{found} rows match; {shown}")));
            }
            true
        }
        Condition::Version(wanted) => (0..world.cell.len()).all(|at| {
            world.cell.daemon(at).is_none_or(|daemon| {
                let stamp = daemon.shared().with_engine(|b, _| {
                    let document = b.cell.document();
                    document.map(|(stamp, _)| stamp.version)
                });
                stamp == Some(*wanted)
            })
        }),
        Condition::Refused(key) => {
            let mut all = true;
            for at in 0..world.cell.len() {
                if world.cell.daemon(at).is_some() {
                    let client = world.client(at, key)?;
                    let answer = client.send(Method::GET, "/v1/jobs", &Value::Null).await?;
                    all &= answer.0 == 401;
                }
            }
            all
        }
        Condition::Entries {
            entry,
            worker,
            call,
            amount,
        } => {
            let records = world.cell.records();
            let wanted = records.iter().filter(|r| {
                let (name, id) = match &r.event {
                    WorkerEvent::Started { .. } => ("started", None),
                    WorkerEvent::Ended { .. } => ("ended", None),
                    WorkerEvent::Called { id, .. } => ("called", id.as_deref()),
                    WorkerEvent::Served { id, .. } => ("served", id.as_deref()),
                    WorkerEvent::Up { .. } | WorkerEvent::Down => return false,
                };
                name == entry
                    && is(worker.as_deref(), Some(r.worker.as_str()))
                    && is(call.as_deref(), id)
            });
            let found = wanted.count();
            if !amount.is(found) {
                return Ok(Some(format!("{found} entries match")));
            }
            true
        }
        Condition::Leader => world.vms("leader").is_ok(),
        Condition::Ready(vm) => {
            let mut all = true;
            for at in world.vms(vm)? {
                let client = world.cell.operator(at);
                let answer = client.send(Method::GET, "/healthz", &Value::Null).await?;
                all &= answer.0 == 200;
            }
            all
        }
    };
    Ok((!holds).then(|| "the condition does not hold".to_owned()))
}

/// Whether a text is the wanted one, or begins with the wanted one that ends in `*`.
fn is(wanted: Option<&str>, found: Option<&str>) -> bool {
    match wanted {
        None => true,
        Some(wanted) => match wanted.strip_suffix('*') {
            Some(prefix) => found.is_some_and(|f| f.starts_with(prefix)),
            None => found == Some(wanted),
        },
    }
}

fn matches(row: &Value, fields: &[(String, String)]) -> bool {
    fields.iter().all(|(name, wanted)| {
        let value = match name.as_str() {
            "outcome" => &row["outcome"]["state"],
            name => &row[name],
        };
        let text = match value {
            Value::String(text) => text.clone(),
            other => other.to_string(),
        };
        is(Some(wanted), Some(&text))
    })
}
