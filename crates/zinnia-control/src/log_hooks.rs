//! Callbacks of the log thread: applies entries, and saves and restores snapshots.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::Weak;

use serde_json::value::RawValue;
use serde_json::value::to_raw_value;
use zinnia_plan::Batch;
use zinnia_plan::EndReason;
use zinnia_plan::LeaseChanges;
use zinnia_plan::Record;
use zinnia_plan::Reply;
use zinnia_plan::StepId;
use zinnia_plan::TaskId;
use zinnia_raft::Entry;
use zinnia_raft::Message;
use zinnia_raft::Payload;
use zinnia_raft::Role;
use zinnia_raft::Snapshot;
use zinnia_replica::Hooks;
use zinnia_replica::clock;
use zinnia_store::Identity;
use zinnia_store::Store;
use zinnia_types::VmId;

use crate::context::CellState;
use crate::context::MemberContext;
use crate::member::CLUSTER_NAME;
use crate::message::RAFT_METHOD;

/// Number of released runs of one step up to which each has a line of its own.
const MAX_LINES_PER_STEP: usize = 32;

/// Creates the callbacks of the log thread.
pub(crate) fn hooks(context: &Arc<MemberContext>) -> Hooks<Vec<Reply>> {
    let downgrade = |context: &Arc<MemberContext>| Arc::downgrade(context);
    let (sender, applier, installer, snapshotter, observer) = (
        downgrade(context),
        downgrade(context),
        downgrade(context),
        downgrade(context),
        downgrade(context),
    );
    let identity = Identity {
        id: context.id,
        cluster: CLUSTER_NAME.to_owned(),
    };
    let dir = context.settings.data_dir.clone().unwrap_or_default();
    let options = context.settings.store.clone();
    let last_encoded = Mutex::default();
    Hooks {
        reopen: Some(Box::new(move || {
            Store::open_with(&dir, &identity, options.clone())
        })),
        send: Box::new(move |to, message| {
            if let Some(context) = sender.upgrade() {
                send(&context, &last_encoded, to, message);
            }
        }),
        apply: Box::new(move |entry| apply(&applier, entry)),
        install_snapshot: Box::new(move |snapshot| install(&installer, snapshot)),
        take_snapshot: Box::new(move || {
            let context = snapshotter.upgrade()?;
            let text = serde_json::to_string(&context.cell_state().state);
            text.inspect_err(
                |error| tracing::error!(step = "snapshot", %error, "cannot encode the state for a snapshot"),
            )
            .ok()
        }),
        role_changed: Box::new(move |role, term, leader| {
            let Some(context) = observer.upgrade() else {
                return;
            };
            let leader = leader.map(|l| l.to_string());
            tracing::info!(event = "role", ?role, term, leader, "raft role changed");
            if role != Role::Leader {
                let mut cell = context.cell_state();
                cell.leader = None;
                cell.open_submits.clear();
            }
            context.plan_wakeup.notify_one();
        }),
    }
}

/// A message with entries and its encoding.
struct EncodedMessage {
    message: Message,
    encoded: Box<RawValue>,
}

/// Sends a message to another member.
///
/// A leader sends the same entries to each member. They are encoded once, since the log thread can
/// send no heartbeats meanwhile.
fn send(
    context: &MemberContext,
    last_encoded: &Mutex<Option<EncodedMessage>>,
    to: VmId,
    message: Message,
) {
    let Some(addr) = context.address(to) else {
        return;
    };
    let _guard = context.runtime.enter();
    if !matches!(&message, Message::Append(append) if !append.entries.is_empty()) {
        context.links.notify(&addr, RAFT_METHOD, &message);
        return;
    }
    let mut last = last_encoded.lock().unwrap_or_else(PoisonError::into_inner);
    if last.as_ref().is_none_or(|l| l.message != message) {
        *last = match to_raw_value(&message) {
            Ok(encoded) => Some(EncodedMessage { message, encoded }),
            Err(error) => {
                tracing::error!(step = "send", %error, "cannot encode a message with log entries");
                return;
            }
        };
    }
    if let Some(last) = last.as_ref() {
        context.links.notify(&addr, RAFT_METHOD, &last.encoded);
    }
}

fn install(context: &Weak<MemberContext>, snapshot: &Snapshot) {
    let Some(context) = context.upgrade() else {
        return;
    };
    if snapshot.data.is_empty() {
        context.cell_state().restore(zinnia_plan::State::default());
        return;
    }
    match serde_json::from_str(snapshot.data.as_str()) {
        Ok(state) => {
            tracing::info!(
                event = "restore",
                index = snapshot.index,
                "restored the state from a snapshot"
            );
            context.cell_state().restore(state);
        }
        Err(error) => {
            tracing::error!(step = "restore", index = snapshot.index, %error, "cannot decode the snapshot");
        }
    }
}

fn apply(context: &Weak<MemberContext>, entry: &Entry) -> Option<Vec<Reply>> {
    let context = context.upgrade()?;
    let Payload::Data(data) = &entry.payload else {
        return None;
    };
    let mut batch: Batch = match serde_json::from_str(data.as_str()) {
        Ok(batch) => batch,
        Err(error) => {
            tracing::error!(step = "apply", index = entry.index, %error, "cannot decode the log entry");
            return None;
        }
    };
    batch.drop_outdated(entry.term);
    let now = clock::now();
    let mut cell = context.cell_state();
    let cell = &mut *cell;
    let replies = cell.state.apply(&batch);
    cell.lease_times.applied(&cell.state, now);
    if let (Some(leader), Some(changes)) = (cell.leader.as_mut(), &batch.lease_changes) {
        leader.lease_changes_applied(changes, now);
        report_unanswered(changes);
    }
    if cell.leader.is_some() {
        for (record, reply) in batch.records.iter().zip(&replies) {
            run_follow_ups(&context, cell, record, reply, now);
        }
        context.plan_wakeup.notify_one();
        context.job_progress.notify_waiters();
    }
    Some(replies)
}

/// Runs the leader's follow-up actions for a committed record.
fn run_follow_ups(
    context: &MemberContext,
    cell: &mut CellState,
    record: &Record,
    reply: &Reply,
    now: zinnia_types::Time,
) {
    let CellState {
        state,
        leader: Some(leader),
        ..
    } = cell
    else {
        return;
    };
    match (record, reply) {
        (Record::Start(_), Reply::Started(starts)) => {
            for start in starts {
                match leader.prepare_start(state, start, now) {
                    Some(order) => {
                        let _ = context.start_orders.send(order);
                    }
                    None => tracing::warn!(
                        event = "start", task = %start.task, run = start.run, worker = start.worker,
                        "committed start is not sent: the job, the task or the worker is no longer available"
                    ),
                }
            }
        }
        (Record::Ends { worker, list, .. }, _) => {
            context.intake().record_ends(list.len());
            for end in list {
                metrics::counter!("zinnia_ends_total", "how" => format!("{:?}", end.reason))
                    .increment(1);
                let failed = end.reason == EndReason::Failed;
                if failed || end.reason == EndReason::Done {
                    leader.record_result(worker, end.task, failed, now);
                }
                tracing::info!(
                    event = "end", task = %end.task, run = end.run, worker, how = ?end.reason,
                    "run end stored"
                );
            }
            leader.ends_acked(worker, now);
        }
        (Record::AddIncarnation { incarnation, .. }, Reply::Added { given_up }) => {
            log_given_up(&incarnation.worker, given_up);
        }
        (Record::Replaced { worker, .. }, Reply::Replaced { given_up }) => {
            log_given_up(worker, given_up);
        }
        (Record::Release(list), _) => {
            metrics::counter!("zinnia_voids_total").increment(list.len() as u64);
            report_released(list);
        }
        (Record::Evacuate { .. }, _) => crate::evacuation::report_domains(state),
        _ => {}
    }
}

/// Reports released runs: each of them, or the first of each step if there are many.
fn report_released(list: &[(TaskId, u32, String)]) {
    let step = |(task, _, _): &(TaskId, u32, String)| StepId::from(*task);
    for runs in list.chunk_by(|a, b| step(a) == step(b)) {
        let shown = match runs.len() {
            n if n > MAX_LINES_PER_STEP => 1,
            n => n,
        };
        let more = runs.len() - shown;
        for (task, run, _) in runs.iter().take(shown) {
            tracing::info!(event = "void", task = %task, run, more, "run released without a result");
        }
    }
}

fn report_unanswered(changes: &LeaseChanges) {
    metrics::counter!("zinnia_unanswered_orders_total").increment(changes.unanswered.len() as u64);
    for order in &changes.unanswered {
        tracing::info!(
            event = "unanswered", task = %order.task, run = order.run, age_ms = order.age_ms,
            "start order without an answer binds its task to its worker"
        );
    }
}

fn log_given_up(worker: &str, given_up: &[TaskId]) {
    metrics::counter!("zinnia_given_up_jobs_total").increment(given_up.len() as u64);
    for task in given_up {
        tracing::warn!(
            event = "give_up", task = %task, worker,
            "job is given up: too many workers crashed under one of its tasks"
        );
    }
}
