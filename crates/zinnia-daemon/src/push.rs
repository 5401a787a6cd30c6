//! Sends the scheduler's commands to workers and returns the answers to it.

use std::sync::Arc;
use std::time::Duration;

use axum::http::Method;
use serde::Serialize;
use serde::de::DeserializeOwned;
use zinnia_sched::Action;
use zinnia_sched::Event;
use zinnia_sched::StartRefusal;
use zinnia_types::AttemptId;
use zinnia_types::Class;
use zinnia_types::Epoch;
use zinnia_types::ServiceId;
use zinnia_types::WorkerId;
use zinnia_types::worker::Start;
use zinnia_types::worker::StartReply;
use zinnia_types::worker::Stop;
use zinnia_types::worker::StopReply;
use zinnia_types::worker::Task;
use zinnia_types::worker::TaskState;
use zinnia_types::worker::Throttle;

use crate::acting::Push;
use crate::shared::Shared;

/// Pause before the answer to a lost command is looked for at the worker.
const PROBE_DELAY: Duration = Duration::from_millis(500);

/// Performs a command in a task of its own.
pub fn spawn(shared: &Arc<Shared>, push: Push) {
    let owned = Arc::clone(shared);
    shared.runtime.spawn(async move { run(&owned, push).await });
}

/// Domain and term of the scheduler that waits for an answer.
#[derive(Clone, Copy)]
struct Origin {
    domain: zinnia_types::DomainId,
    term: u64,
}

async fn run(shared: &Arc<Shared>, push: Push) {
    let origin = Origin {
        domain: push.domain,
        term: push.term,
    };
    match push.action {
        Action::Start {
            worker,
            epoch,
            attempt,
            task,
        } => start(shared, origin, worker, epoch, attempt, *task).await,
        Action::Stop {
            worker,
            epoch,
            attempt,
            checkpoint,
            reason: why,
        } => {
            tracing::debug!(%worker, ?attempt, ?why, "stop");
            stop(shared, origin, worker, epoch, attempt, checkpoint).await;
        }
        Action::Throttle {
            worker,
            epoch,
            attempt,
            cpu,
        } => throttle(shared, origin, worker, epoch, attempt, cpu).await,
        Action::Refuse {
            worker,
            epoch,
            attempt,
        } => refuse(shared, origin, worker, epoch, attempt).await,
        _ => {}
    }
}

/// Passes an answer to the scheduler, unless another term has begun.
fn tell(shared: &Arc<Shared>, origin: Origin, event: Event) {
    shared.with_engine(|engine, now| {
        if let Some(open) = engine.acting.get_mut(&origin.domain)
            && open.term == origin.term
        {
            open.step(event, now, &mut engine.pushes);
        }
    });
}

/// How a worker is reached.
struct Reach {
    addr: String,
    lane: Arc<tokio::sync::Mutex<()>>,
}

/// How a worker that is owned under `epoch` is reached.
fn reach(shared: &Arc<Shared>, worker: WorkerId, epoch: Epoch) -> Option<Reach> {
    shared.with_engine(|engine, _| {
        let owned = engine.owned.get(&worker).filter(|o| o.epoch == epoch)?;
        Some(Reach {
            addr: owned.profile.addr.clone(),
            lane: Arc::clone(&owned.lane),
        })
    })
}

/// Sends a command; `None` when no usable answer came.
async fn send<T: Serialize, R: DeserializeOwned>(
    shared: &Arc<Shared>,
    reach: &Reach,
    path: &str,
    body: &T,
) -> Option<R> {
    // One command at a time over one connection: a burst of starts would otherwise open a connection
    // for each, whose buffers made 217 KiB a worker.
    let _turn = reach.lane.lock().await;
    let addr = reach.addr.as_str();
    let sent = shared
        .workers
        .send(Method::POST, addr, path, None, body)
        .await;
    let answer = match sent {
        Ok((status, bytes)) => {
            zinnia_http::decode_response(status, &bytes, addr).map_err(|e| e.to_string())
        }
        Err(e) => Err(e.to_string()),
    };
    match answer {
        Ok(reply) => Some(reply),
        Err(error) => {
            metrics::counter!("zinnia_pushes_unanswered_total").increment(1);
            tracing::debug!(addr, path, error, "command to a worker has no answer");
            None
        }
    }
}

async fn start(
    shared: &Arc<Shared>,
    origin: Origin,
    worker: WorkerId,
    epoch: Epoch,
    attempt: AttemptId,
    mut task: Task,
) {
    let Some(reach) = reach(shared, worker, epoch) else {
        tell(shared, origin, Event::Unanswered { attempt });
        return;
    };
    // Workers know a service by the id of its job, which is unique over all teams.
    if task.class == Class::Service {
        task.service = ServiceId::new(&attempt.job.to_string()).ok();
    }
    let kept = task.clone();
    let body = Start {
        epoch,
        attempt,
        task,
    };
    metrics::counter!("zinnia_starts_total").increment(1);
    let refused = |why| Event::Refused {
        attempt,
        reason: why,
    };
    let event = match send(shared, &reach, "/start", &body).await {
        None => Event::Unanswered { attempt },
        Some(StartReply::Started) => {
            note_running(shared, worker, epoch, attempt, kept);
            Event::Started { attempt }
        }
        Some(StartReply::StaleEpoch) => refused(StartRefusal::StaleEpoch),
        Some(StartReply::NoCapacity { free }) => refused(StartRefusal::NoCapacity { free }),
        Some(StartReply::Leaving) => refused(StartRefusal::Leaving),
        Some(StartReply::Refused) => refused(StartRefusal::Tombstone),
    };
    tell(shared, origin, event);
}

/// Makes a started service reachable before the worker's next heartbeat.
fn note_running(
    shared: &Arc<Shared>,
    worker: WorkerId,
    epoch: Epoch,
    attempt: AttemptId,
    task: Task,
) {
    shared.with_engine(|engine, _| {
        let Some(owned) = engine.owned.get_mut(&worker).filter(|o| o.epoch == epoch) else {
            return;
        };
        // A heartbeat that overtook this answer may already have reported the end.
        owned.tasks.entry(attempt).or_insert(TaskState::Running {
            usage: task.need,
            task: Box::new(task),
        });
        engine.refresh_endpoints(worker);
    });
}

async fn stop(
    shared: &Arc<Shared>,
    origin: Origin,
    worker: WorkerId,
    epoch: Epoch,
    attempt: AttemptId,
    checkpoint: bool,
) {
    let Some(reach) = reach(shared, worker, epoch) else {
        tell(shared, origin, Event::Unanswered { attempt });
        return;
    };
    let body = Stop {
        epoch,
        attempt,
        checkpoint,
    };
    let event = match send(shared, &reach, "/stop", &body).await {
        Some(StopReply::Stopped { end }) => {
            note_stopped(shared, worker, epoch, attempt);
            Event::Stopped { attempt, end }
        }
        // The end comes with a heartbeat.
        Some(StopReply::Stopping) => return,
        Some(StopReply::StaleEpoch) | None => Event::Unanswered { attempt },
    };
    tell(shared, origin, event);
}

fn note_stopped(shared: &Arc<Shared>, worker: WorkerId, epoch: Epoch, attempt: AttemptId) {
    shared.with_engine(|engine, _| {
        let Some(owned) = engine.owned.get_mut(&worker).filter(|o| o.epoch == epoch) else {
            return;
        };
        if matches!(owned.tasks.get(&attempt), Some(TaskState::Running { .. })) {
            owned.tasks.remove(&attempt);
        }
        engine.refresh_endpoints(worker);
    });
}

async fn throttle(
    shared: &Arc<Shared>,
    origin: Origin,
    worker: WorkerId,
    epoch: Epoch,
    attempt: AttemptId,
    cpu: u64,
) {
    let Some(reach) = reach(shared, worker, epoch) else {
        return;
    };
    let body = Throttle {
        epoch,
        attempt,
        cpu,
    };
    let answer: Option<serde_json::Value> = send(shared, &reach, "/throttle", &body).await;
    if answer.is_some() {
        tell(shared, origin, Event::Throttled { attempt, cpu });
    }
}

/// Makes the worker refuse an attempt for good: with the next heartbeat, and with a stop at once in
/// case only the answer was lost.
async fn refuse(
    shared: &Arc<Shared>,
    origin: Origin,
    worker: WorkerId,
    epoch: Epoch,
    attempt: AttemptId,
) {
    shared.with_engine(|engine, _| {
        if let Some(owned) = engine.owned.get_mut(&worker).filter(|o| o.epoch == epoch) {
            owned.refuse.insert(attempt);
        }
    });
    tokio::time::sleep(PROBE_DELAY).await;
    let Some(reach) = reach(shared, worker, epoch) else {
        return;
    };
    let body = Stop {
        epoch,
        attempt,
        checkpoint: false,
    };
    if let Some(StopReply::Stopped { end }) = send(shared, &reach, "/stop", &body).await {
        note_stopped(shared, worker, epoch, attempt);
        tell(shared, origin, Event::Stopped { attempt, end });
    }
}
