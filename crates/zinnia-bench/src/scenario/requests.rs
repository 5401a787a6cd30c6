//! Submissions and service calls, with what their senders observed.

use std::sync::Arc;

use anyhow::Result;
use bytes::Bytes;
use http::Method;
use serde_json::Value;
use serde_json::json;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use zinnia_check::EventKind;
use zinnia_local::Client;
use zinnia_types::ErrorBody;
use zinnia_types::ExecutionStatus;
use zinnia_types::VmId;
use zinnia_worker::digest;

use super::context::ScenarioContext;
use super::event_log::EventLog;
use super::step::Call;
use super::step::Submit;

/// Maximum number of concurrent submissions.
const MAX_SUBMISSIONS: usize = 16;

/// Outcome of a request as observed by its sender.
#[derive(Clone, Debug)]
pub(crate) enum RequestOutcome {
    /// The request succeeded.
    Granted,
    /// The cell refused the request with this error body.
    Refused(ErrorBody),
    /// No response arrived, for this reason.
    NoResponse(String),
}

impl RequestOutcome {
    /// Returns the outcome of a request that failed with `error`.
    pub(crate) fn from_error(error: anyhow::Error) -> Self {
        match error.downcast::<ErrorBody>() {
            Ok(body) => Self::Refused(body),
            Err(error) => Self::NoResponse(format!("{error:#}")),
        }
    }
}

/// Submits jobs and waits for all responses.
pub(crate) async fn submit(
    context: &mut ScenarioContext,
    submit: &Submit,
) -> Result<Vec<RequestOutcome>> {
    let kind = submit.body["kind"].as_str().unwrap_or_default().parse()?;
    let mut tasks = JoinSet::new();
    let slots = Arc::new(Semaphore::new(MAX_SUBMISSIONS));
    for n in 0..submit.count {
        let vm_index = context.request_vm(submit.vm.as_deref())?;
        let (client, key) = match &submit.key {
            Some(key) => (
                context.client(vm_index, key)?,
                Some(context.key(key)?.id.clone()),
            ),
            None => (context.cell.operator_client(vm_index).without_key(), None),
        };
        let mut body = submit.body.clone();
        body["name"] = match submit.count {
            1 => json!(submit.name),
            _ => json!(format!("{}-{n}", submit.name)),
        };
        let accepted_event = EventKind::Accepted {
            vm: context.vm_id(vm_index).unwrap_or(VmId(0)),
            team: submit.team.parse()?,
            kind,
            key,
        };
        let (event_log, slots) = (context.event_log.clone(), Arc::clone(&slots));
        tasks.spawn(async move {
            let _slot = slots.acquire().await;
            match client.post("/v1/jobs", &body).await {
                Ok(_) => {
                    event_log.add(accepted_event);
                    RequestOutcome::Granted
                }
                Err(error) => RequestOutcome::from_error(error),
            }
        });
    }
    Ok(tasks.join_all().await)
}

/// Calls a service and waits for all responses, except those of background calls, for which
/// [`join_calls`] waits.
pub(crate) async fn call(
    context: &mut ScenarioContext,
    call: &Call,
) -> Result<Vec<RequestOutcome>> {
    let mut tasks = JoinSet::new();
    for n in 0..call.count {
        let vm_index = context.request_vm(call.vm.as_deref())?;
        let key = context.key(&call.key)?;
        let pending = PendingCall {
            client: context.client(vm_index, &call.key)?,
            vm: context.vm_id(vm_index).unwrap_or(VmId(0)),
            event_log: context.event_log.clone(),
            id: match call.count {
                1 => call.id.clone(),
                _ => format!("{}-{n}", call.id),
            },
            accepted_event: EventKind::Accepted {
                vm: context.vm_id(vm_index).unwrap_or(VmId(0)),
                team: key.team,
                kind: call.service.parse()?,
                key: Some(key.id.clone()),
            },
        };
        let call = call.clone();
        if call.background {
            context.background_calls.spawn(async move {
                let outcome = pending.run(&call).await;
                (call, outcome)
            });
        } else {
            tasks.spawn(async move { pending.run(&call).await });
        }
    }
    let outcomes = tasks.join_all().await;
    if call.allow_failures {
        return Ok(Vec::new());
    }
    Ok(outcomes)
}

/// A call that is about to be sent.
struct PendingCall {
    client: Client,
    vm: VmId,
    event_log: EventLog,
    id: String,
    accepted_event: EventKind,
}

impl PendingCall {
    async fn run(self, call: &Call) -> RequestOutcome {
        let Self {
            client,
            vm,
            event_log,
            id,
            accepted_event,
        } = self;
        let body = json!({"call": id, "text": "x".repeat(call.size)}).to_string();
        let body = Bytes::from(body);
        event_log.add(EventKind::Called {
            call: id.clone(),
            vm,
            repeat: call.repeat != Some(false),
            request: digest(&body),
        });
        let deadline = call.deadline_ms.map(|ms| ms.to_string());
        let mut headers = vec![("x-request-id", id.as_str())];
        if let Some(repeat) = call.repeat {
            headers.push(("x-repeat", if repeat { "yes" } else { "no" }));
        }
        if let Some(deadline) = &deadline {
            headers.push(("x-deadline-ms", deadline));
        }
        let result = client.call_service(&call.service, &headers, body).await;
        let (status, bytes) = match result {
            Ok((status, _, bytes)) => (status, bytes),
            Err(error) => {
                event_log.add(EventKind::Dropped { call: id, vm });
                return RequestOutcome::from_error(error);
            }
        };
        if status == 200 {
            event_log.add(EventKind::Answered {
                call: id,
                vm,
                response: digest(&bytes),
            });
            event_log.add(accepted_event);
            return RequestOutcome::Granted;
        }
        let body = serde_json::from_slice(&bytes).unwrap_or_else(|_| {
            let message = format!("status {status} without an error body");
            ErrorBody::new(zinnia_types::Code::Internal, "call", message)
                .ran(ExecutionStatus::Unknown)
        });
        event_log.add(EventKind::Refused {
            call: id,
            vm,
            code: body.code,
            ran: body.ran,
        });
        RequestOutcome::Refused(body)
    }
}

/// Waits for all background calls.
pub(crate) async fn join_calls(context: &mut ScenarioContext) -> Vec<RequestOutcome> {
    let mut outcomes = Vec::new();
    while let Some(joined) = context.background_calls.join_next().await {
        match joined {
            Ok((call, outcome)) if !call.allow_failures => outcomes.push(outcome),
            Ok(_) => {}
            Err(error) => outcomes.push(RequestOutcome::NoResponse(error.to_string())),
        }
    }
    outcomes
}

/// Sends requests with a key to one VM until the task is aborted, and records each that is
/// accepted.
pub(crate) async fn probe_key(client: Client, accepted_event: EventKind, event_log: EventLog) {
    loop {
        let response = client.send(Method::GET, "/v1/jobs", &Value::Null).await;
        if matches!(response, Ok((200, _))) {
            event_log.add(accepted_event.clone());
        }
        tokio::time::sleep(super::POLL_INTERVAL).await;
    }
}
