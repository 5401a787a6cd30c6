//! Dispatch of service calls to workers, as directed by the router.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use axum::body::Bytes;
use axum::http::HeaderMap;
use axum::http::HeaderName;
use axum::http::HeaderValue;
use axum::http::header::CONTENT_TYPE;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use zinnia_http::SendError;
use zinnia_replica::clock;
use zinnia_route::Action;
use zinnia_route::AttemptError;
use zinnia_route::CallId;
use zinnia_route::Event;
use zinnia_types::Code;
use zinnia_types::ErrorBody;
use zinnia_types::ExecutionStatus;
use zinnia_types::ServiceId;
use zinnia_types::TeamId;
use zinnia_types::WorkerId;

use crate::shared::Shared;

/// Header with the request id.
pub(super) const ID_HEADER: &str = "x-request-id";
/// Response header that names the worker which answered.
pub(super) const WORKER_HEADER: &str = "x-worker";
/// Response header of a worker with its number of calls in flight for the service. It shows each VM
/// the load that the others put on the worker.
const HELD_HEADER: &str = "x-held";

/// A service call.
#[derive(Clone)]
pub(super) struct Call {
    pub(super) team: TeamId,
    pub(super) id: String,
    pub(super) service: ServiceId,
    pub(super) name: String,
    pub(super) repeat: RepeatPolicy,
    pub(super) deadline_ms: u64,
    pub(super) content_type: Option<HeaderValue>,
    pub(super) body: Bytes,
    /// Whether another daemon forwarded the call.
    pub(super) forwarded: bool,
}

/// Whether a call may run more than once, as the caller demands.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum RepeatPolicy {
    /// The call may run again after a failure.
    Allowed,
    /// The call runs at most once in the cell, even if the caller resends it.
    Forbidden,
    /// The call is sent again only if no byte of it reached a worker.
    OnlyUnsent,
}

/// A complete answer to a call.
pub(super) struct Answer {
    pub(super) status: u16,
    pub(super) content_type: Option<HeaderValue>,
    pub(super) worker: Option<HeaderValue>,
    /// Number of calls in flight that the worker has for the service, from all VMs.
    pub(super) in_flight: Option<u32>,
    pub(super) body: Bytes,
}

pub(super) fn call_headers(call: &Call) -> HeaderMap {
    let mut headers = HeaderMap::new();
    if let Some(content_type) = &call.content_type {
        headers.insert(CONTENT_TYPE, content_type.clone());
    }
    if let Ok(id) = HeaderValue::from_str(&call.id) {
        headers.insert(HeaderName::from_static(ID_HEADER), id);
    }
    headers
}

pub(super) async fn send_call(
    shared: &Arc<Shared>,
    addr: &str,
    path: &str,
    headers: HeaderMap,
    call: &Call,
) -> Result<Answer, SendError> {
    let limit = Duration::from_millis(call.deadline_ms);
    let (status, headers, body) = shared
        .call_client
        .forward(addr, path, headers, call.body.clone(), limit)
        .await?;
    Ok(Answer {
        status,
        content_type: headers.get(CONTENT_TYPE).cloned(),
        worker: headers.get(WORKER_HEADER).cloned(),
        in_flight: headers
            .get(HELD_HEADER)
            .and_then(|v| v.to_str().ok())
            .and_then(|v| v.parse().ok()),
        body,
    })
}

/// Closes a call in the router when dropped, and cancels it first if its caller disconnected before
/// it ended.
struct CallGuard<'a> {
    shared: &'a Shared,
    id: CallId,
    ended: bool,
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.shared.routing.step(Event::Cancelled { id: self.id });
        }
        self.shared.routing.close_call(self.id);
    }
}

/// Dispatches a call to workers of this VM, as the router chooses them, until it is answered or
/// refused.
pub(super) async fn dispatch(shared: &Arc<Shared>, call: &Call) -> Result<Answer, ErrorBody> {
    let id = CallId(shared.next_id());
    let event = Event::Call {
        id,
        team: call.team,
        service: call.service,
        retryable: call.repeat == RepeatPolicy::Allowed,
        deadline: clock::now().after(call.deadline_ms),
    };
    let mut actions = shared.routing.open_call(id, event);
    let mut guard = CallGuard {
        shared,
        id,
        ended: false,
    };
    let result = run_actions(shared, call, id, &mut actions).await;
    guard.ended = true;
    result
}

async fn run_actions(
    shared: &Arc<Shared>,
    call: &Call,
    id: CallId,
    actions: &mut mpsc::UnboundedReceiver<Action>,
) -> Result<Answer, ErrorBody> {
    let mut answers: BTreeMap<u32, Answer> = BTreeMap::new();
    let mut attempts: JoinSet<AttemptResult> = JoinSet::new();
    let mut abort_handles = BTreeMap::new();
    loop {
        tokio::select! {
            action = actions.recv() => match action {
                Some(Action::Dispatch { turn: attempt, worker, .. }) => {
                    let task = send_attempt(Arc::clone(shared), call.clone(), id, attempt, worker);
                    abort_handles.insert(attempt, attempts.spawn(task));
                }
                Some(Action::Deliver { turn: attempt, .. }) => {
                    return answers.remove(&attempt).ok_or_else(|| {
                        ErrorBody::new(Code::Internal, "answer", "the router delivered an attempt without an answer")
                            .ran(ExecutionStatus::Unknown)
                    });
                }
                Some(Action::Refuse { code, ran, .. }) => {
                    metrics::counter!("zinnia_calls_refused_total").increment(1);
                    let text = format!("the call to {} was not answered", call.name);
                    return Err(ErrorBody::new(code, "dispatch", text).ran(ran));
                }
                Some(Action::Abandon { turn: attempt, .. }) => {
                    if let Some(task) = abort_handles.remove(&attempt) {
                        task.abort();
                    }
                    shared.routing.step(Event::Failed { id, attempt, error: AttemptError::ConnectionLost });
                }
                Some(Action::Eject { .. }) => {}
                None => {
                    let text = "the router dropped the call";
                    return Err(ErrorBody::new(Code::Internal, "dispatch", text).ran(ExecutionStatus::Unknown));
                }
            },
            Some(Ok(outcome)) = attempts.join_next() => {
                if let Some(answer) = outcome.answer {
                    answers.insert(outcome.attempt, answer);
                }
                shared.routing.step(outcome.event);
            }
        }
    }
}

/// The result of one dispatch of a call.
struct AttemptResult {
    attempt: u32,
    event: Event,
    answer: Option<Answer>,
}

async fn send_attempt(
    shared: Arc<Shared>,
    call: Call,
    id: CallId,
    attempt: u32,
    worker: WorkerId,
) -> AttemptResult {
    let failed = |error| AttemptResult {
        attempt,
        event: Event::Failed { id, attempt, error },
        answer: None,
    };
    let Some(addr) = shared.routing.worker_address(call.service, worker) else {
        return failed(AttemptError::NotSent);
    };
    shared.routing.step(Event::Sent { id, attempt });
    let path = format!("/call/{}", call.service);
    let sent = send_call(&shared, &addr, &path, call_headers(&call), &call).await;
    if let Ok(Answer {
        in_flight: Some(in_flight),
        ..
    }) = &sent
    {
        shared.routing.step(Event::WorkerLoad {
            service: call.service,
            worker,
            in_flight: *in_flight,
        });
    }
    match sent {
        Err(e) if e.is_not_sent() => failed(AttemptError::NotSent),
        Err(_) => failed(AttemptError::ConnectionLost),
        Ok(answer) if was_not_run(&answer) => failed(AttemptError::Busy),
        Ok(answer) => AttemptResult {
            attempt,
            event: Event::Answered { id, attempt },
            answer: Some(Answer {
                worker: HeaderValue::from_str(worker.as_str()).ok(),
                ..answer
            }),
        },
    }
}

/// Whether an answer is a refusal of a worker that did not run the call.
fn was_not_run(answer: &Answer) -> bool {
    matches!(answer.status, 404 | 429 | 503)
        && serde_json::from_slice::<ErrorBody>(&answer.body)
            .is_ok_and(|body| body.ran == ExecutionStatus::NotRun)
}
