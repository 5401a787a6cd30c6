//! Calls on their way to workers, and the answers.

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
use zinnia_types::Ran;
use zinnia_types::ServiceId;
use zinnia_types::TeamId;
use zinnia_types::WorkerId;

use crate::shared::Shared;

/// Header with the request id.
pub(super) const ID_HEADER: &str = "x-request-id";
/// Header of an answer with the worker that gave it.
pub(super) const WORKER_HEADER: &str = "x-worker";
/// With this a worker tells how many calls it holds, so that VMs see each other's load on it.
const HELD_HEADER: &str = "x-held";

/// A call as it is passed on.
#[derive(Clone)]
pub(super) struct Call {
    pub(super) team: TeamId,
    pub(super) id: String,
    pub(super) service: ServiceId,
    pub(super) name: String,
    pub(super) repeat: Repeat,
    pub(super) deadline_ms: u64,
    pub(super) kind: Option<HeaderValue>,
    pub(super) body: Bytes,
    /// Whether another daemon passed it on.
    pub(super) hop: bool,
}

/// What the caller says about running the call again.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Repeat {
    /// It may run again after a failure.
    Yes,
    /// It runs at most once in the cell, whatever the caller resends.
    No,
    /// It is sent again only when no byte reached a worker.
    Unsent,
}

/// A whole answer of a worker.
pub(super) struct Answer {
    pub(super) status: u16,
    pub(super) kind: Option<HeaderValue>,
    pub(super) worker: Option<HeaderValue>,
    /// Calls that the worker held for the service, of all VMs.
    pub(super) held: Option<u32>,
    pub(super) body: Bytes,
}

pub(super) fn headers(call: &Call) -> HeaderMap {
    let mut headers = HeaderMap::new();
    if let Some(kind) = &call.kind {
        headers.insert(CONTENT_TYPE, kind.clone());
    }
    if let Ok(id) = HeaderValue::from_str(&call.id) {
        headers.insert(HeaderName::from_static(ID_HEADER), id);
    }
    headers
}

pub(super) async fn send(
    shared: &Arc<Shared>,
    addr: &str,
    path: &str,
    headers: HeaderMap,
    call: &Call,
) -> Result<Answer, SendError> {
    let limit = Duration::from_millis(call.deadline_ms);
    let (status, headers, body) = shared
        .calls
        .forward(addr, path, headers, call.body.clone(), limit)
        .await?;
    Ok(Answer {
        status,
        kind: headers.get(CONTENT_TYPE).cloned(),
        worker: headers.get(WORKER_HEADER).cloned(),
        held: headers
            .get(HELD_HEADER)
            .and_then(|v| v.to_str().ok())
            .and_then(|v| v.parse().ok()),
        body,
    })
}

/// Takes the call out of the router when its caller has gone.
struct Opened<'a> {
    shared: &'a Shared,
    id: CallId,
    ended: bool,
}

impl Drop for Opened<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.shared.routing.step(Event::Cancelled { id: self.id });
        }
        self.shared.routing.close(self.id);
    }
}

/// Lets the router choose own workers until the call is answered or refused.
pub(super) async fn dispatch(shared: &Arc<Shared>, call: &Call) -> Result<Answer, ErrorBody> {
    let id = CallId(shared.number());
    let event = Event::Call {
        id,
        team: call.team,
        service: call.service,
        retryable: call.repeat == Repeat::Yes,
        deadline: clock::now().after(call.deadline_ms),
    };
    let mut actions = shared.routing.open(id, event);
    let mut opened = Opened {
        shared,
        id,
        ended: false,
    };
    let result = follow(shared, call, id, &mut actions).await;
    opened.ended = true;
    result
}

async fn follow(
    shared: &Arc<Shared>,
    call: &Call,
    id: CallId,
    actions: &mut mpsc::UnboundedReceiver<Action>,
) -> Result<Answer, ErrorBody> {
    let mut answers: BTreeMap<u32, Answer> = BTreeMap::new();
    let mut sends: JoinSet<Outcome> = JoinSet::new();
    let mut aborts = BTreeMap::new();
    loop {
        tokio::select! {
            action = actions.recv() => match action {
                Some(Action::Dispatch { turn: attempt, worker, .. }) => {
                    let task = send_attempt(Arc::clone(shared), call.clone(), id, attempt, worker);
                    aborts.insert(attempt, sends.spawn(task));
                }
                Some(Action::Deliver { turn: attempt, .. }) => {
                    return answers.remove(&attempt).ok_or_else(|| {
                        ErrorBody::new(Code::Internal, "answer", "the answer is missing")
                            .ran(Ran::Unknown)
                    });
                }
                Some(Action::Refuse { code, ran, .. }) => {
                    metrics::counter!("zinnia_calls_refused_total").increment(1);
                    let text = format!("the call to {} has no answer", call.name);
                    return Err(ErrorBody::new(code, "dispatch", text).ran(ran));
                }
                Some(Action::Abandon { turn: attempt, .. }) => {
                    if let Some(task) = aborts.remove(&attempt) {
                        task.abort();
                    }
                    shared.routing.step(Event::Failed { id, attempt, error: AttemptError::ConnectionLost });
                }
                Some(Action::Eject { .. }) => {}
                None => {
                    let text = "the router forgot the call";
                    return Err(ErrorBody::new(Code::Internal, "dispatch", text).ran(Ran::Unknown));
                }
            },
            Some(Ok(outcome)) = sends.join_next() => {
                if let Some(answer) = outcome.answer {
                    answers.insert(outcome.attempt, answer);
                }
                shared.routing.step(outcome.event);
            }
        }
    }
}

/// What became of one dispatch.
struct Outcome {
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
) -> Outcome {
    let failed = |error| Outcome {
        attempt,
        event: Event::Failed { id, attempt, error },
        answer: None,
    };
    let Some(addr) = shared.routing.address(call.service, worker) else {
        return failed(AttemptError::NotSent);
    };
    shared.routing.step(Event::Sent { id, attempt });
    let path = format!("/call/{}", call.service);
    let sent = send(&shared, &addr, &path, headers(&call), &call).await;
    if let Ok(Answer {
        held: Some(held), ..
    }) = &sent
    {
        shared.routing.step(Event::WorkerLoad {
            service: call.service,
            worker,
            in_flight: *held,
        });
    }
    match sent {
        Err(e) if e.is_not_sent() => failed(AttemptError::NotSent),
        Err(_) => failed(AttemptError::ConnectionLost),
        Ok(answer) if refused_unrun(&answer) => failed(AttemptError::Busy),
        Ok(answer) => Outcome {
            attempt,
            event: Event::Answered { id, attempt },
            answer: Some(Answer {
                worker: HeaderValue::from_str(worker.as_str()).ok(),
                ..answer
            }),
        },
    }
}

/// Whether a worker says that it did not run the call.
fn refused_unrun(answer: &Answer) -> bool {
    matches!(answer.status, 404 | 429 | 503)
        && serde_json::from_slice::<ErrorBody>(&answer.body).is_ok_and(|b| b.ran == Ran::No)
}
