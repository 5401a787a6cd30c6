//! Sends the schedulers' commands to workers and returns the answers to the schedulers.

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

use crate::domain_scheduler::WorkerCommand;
use crate::shared::Shared;

/// Delay before a stop follows a tombstone, in case only the answer to the start was lost.
const TOMBSTONE_STOP_DELAY: Duration = Duration::from_millis(500);

/// Executes a worker command in a task of its own.
pub fn spawn(shared: &Arc<Shared>, command: WorkerCommand) {
    let task_shared = Arc::clone(shared);
    shared
        .runtime
        .spawn(async move { execute(&task_shared, command).await });
}

/// Domain and term of the scheduler that issued a command.
#[derive(Clone, Copy)]
struct Origin {
    domain: zinnia_types::DomainId,
    term: u64,
}

async fn execute(shared: &Arc<Shared>, command: WorkerCommand) {
    let origin = Origin {
        domain: command.domain,
        term: command.term,
    };
    match command.action {
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

/// Passes the answer to a command to its scheduler, unless the term has ended.
fn notify_scheduler(shared: &Arc<Shared>, origin: Origin, event: Event) {
    shared.with_engine(|engine, now| {
        if let Some(scheduler) = engine.schedulers.get_mut(&origin.domain)
            && scheduler.term == origin.term
        {
            scheduler.step(event, now, &mut engine.worker_commands);
        }
    });
}

/// Address of a worker, with the lock that serialises commands to it.
struct WorkerLink {
    addr: String,
    command_lock: Arc<tokio::sync::Mutex<()>>,
}

/// The link to a worker, if this VM owns it under `epoch`.
fn worker_link(shared: &Arc<Shared>, worker: WorkerId, epoch: Epoch) -> Option<WorkerLink> {
    shared.with_engine(|engine, _| {
        let owned = engine
            .owned_workers
            .get(&worker)
            .filter(|o| o.epoch == epoch)?;
        Some(WorkerLink {
            addr: owned.profile.addr.clone(),
            command_lock: Arc::clone(&owned.command_lock),
        })
    })
}

/// Sends a command to a worker; `None` without a usable answer.
async fn send<T: Serialize, R: DeserializeOwned>(
    shared: &Arc<Shared>,
    link: &WorkerLink,
    path: &str,
    body: &T,
) -> Option<R> {
    // Commands to a worker are sent one at a time over a single connection. Otherwise a burst of
    // starts opens a connection for each start, whose buffers took 217 KiB per worker.
    let _guard = link.command_lock.lock().await;
    let addr = link.addr.as_str();
    let sent = shared
        .worker_client
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
            tracing::debug!(addr, path, error, "worker did not answer a command");
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
    let Some(link) = worker_link(shared, worker, epoch) else {
        notify_scheduler(shared, origin, Event::Unanswered { attempt });
        return;
    };
    // Workers identify a service by the id of its job, which is unique across teams.
    if task.class == Class::Service {
        task.service = ServiceId::new(&attempt.job.to_string()).ok();
    }
    let started_task = task.clone();
    let body = Start {
        epoch,
        attempt,
        task,
    };
    metrics::counter!("zinnia_starts_total").increment(1);
    let refused = |reason| Event::Refused { attempt, reason };
    let event = match send(shared, &link, "/start", &body).await {
        None => Event::Unanswered { attempt },
        Some(StartReply::Started) => {
            record_running(shared, worker, epoch, attempt, started_task);
            Event::Started { attempt }
        }
        Some(StartReply::StaleEpoch) => refused(StartRefusal::StaleEpoch),
        Some(StartReply::NoCapacity { free }) => refused(StartRefusal::NoCapacity { free }),
        Some(StartReply::Leaving) => refused(StartRefusal::Leaving),
        Some(StartReply::Refused) => refused(StartRefusal::Tombstone),
    };
    notify_scheduler(shared, origin, event);
}

/// Records a started attempt, so that a service receives calls before the worker's next heartbeat.
fn record_running(
    shared: &Arc<Shared>,
    worker: WorkerId,
    epoch: Epoch,
    attempt: AttemptId,
    task: Task,
) {
    shared.with_engine(|engine, _| {
        let Some(owned) = engine
            .owned_workers
            .get_mut(&worker)
            .filter(|o| o.epoch == epoch)
        else {
            return;
        };
        // A heartbeat that arrived before this answer may already have reported the end.
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
    let Some(link) = worker_link(shared, worker, epoch) else {
        notify_scheduler(shared, origin, Event::Unanswered { attempt });
        return;
    };
    let body = Stop {
        epoch,
        attempt,
        checkpoint,
    };
    let event = match send(shared, &link, "/stop", &body).await {
        Some(StopReply::Stopped { end }) => {
            record_stopped(shared, worker, epoch, attempt);
            Event::Stopped { attempt, end }
        }
        // A later heartbeat reports the end.
        Some(StopReply::Stopping) => return,
        Some(StopReply::StaleEpoch) | None => Event::Unanswered { attempt },
    };
    notify_scheduler(shared, origin, event);
}

fn record_stopped(shared: &Arc<Shared>, worker: WorkerId, epoch: Epoch, attempt: AttemptId) {
    shared.with_engine(|engine, _| {
        let Some(owned) = engine
            .owned_workers
            .get_mut(&worker)
            .filter(|o| o.epoch == epoch)
        else {
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
    let Some(link) = worker_link(shared, worker, epoch) else {
        return;
    };
    let body = Throttle {
        epoch,
        attempt,
        cpu,
    };
    let answer: Option<serde_json::Value> = send(shared, &link, "/throttle", &body).await;
    if answer.is_some() {
        notify_scheduler(shared, origin, Event::Throttled { attempt, cpu });
    }
}

/// Makes the worker refuse an attempt permanently. The next heartbeat answer carries the tombstone,
/// and a stop follows sooner in case the attempt runs and only the answer to its start was lost.
async fn refuse(
    shared: &Arc<Shared>,
    origin: Origin,
    worker: WorkerId,
    epoch: Epoch,
    attempt: AttemptId,
) {
    shared.with_engine(|engine, _| {
        if let Some(owned) = engine
            .owned_workers
            .get_mut(&worker)
            .filter(|o| o.epoch == epoch)
        {
            owned.refused_attempts.insert(attempt);
        }
    });
    tokio::time::sleep(TOMBSTONE_STOP_DELAY).await;
    let Some(link) = worker_link(shared, worker, epoch) else {
        return;
    };
    let body = Stop {
        epoch,
        attempt,
        checkpoint: false,
    };
    if let Some(StopReply::Stopped { end }) = send(shared, &link, "/stop", &body).await {
        record_stopped(shared, worker, epoch, attempt);
        notify_scheduler(shared, origin, Event::Stopped { attempt, end });
    }
}
