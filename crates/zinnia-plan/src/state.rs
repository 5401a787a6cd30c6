//! The replicated state: document, jobs and workers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;
use zinnia_types::JobId;

use crate::Batch;
use crate::Document;
use crate::End;
use crate::EndReason;
use crate::Incarnation;
use crate::Job;
use crate::JobSpec;
use crate::Queue;
use crate::Record;
use crate::Reply;
use crate::Resources;
use crate::Settings;
use crate::Silence;
use crate::Status;
use crate::Step;
use crate::TaskId;
use crate::cancelled_ids::CancelledIds;
use crate::evacuation::Evacuations;
use crate::job::StepState;
use crate::job::Task;
use crate::past_use::PastUse;
use crate::retired::Retired;

/// How long an ended or cancelled job stays in the state. Callers can read its outcome, and a submission that
/// arrives late does not start it again.
const RETENTION_MS: i64 = 180_000;

/// The current incarnation of a worker and the runs that are assigned to it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Worker {
    /// The current incarnation.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// Sequence number of the heartbeat that reported the capacity.
    #[serde(default)]
    pub sequence: u64,
    /// Number of the last run end that was stored.
    #[serde(rename = "noted")]
    pub acked_end: u64,
    /// When the incarnation replaced an earlier one of the same worker, in milliseconds since the Unix
    /// epoch; `None` if it did not.
    #[serde(rename = "replaced", default)]
    pub replaced_ms: Option<i64>,
    /// Number of the entry after which the incarnation had answered for the first time, as in
    /// [`State::lease_entries`]; only if it replaced an earlier one.
    #[serde(rename = "answered", default, skip_serializing_if = "Option::is_none")]
    pub answer_entry: Option<u64>,
    /// Number of entries that allowed the renewal of its leases.
    #[serde(default)]
    pub permits: u64,
    /// The entry that ended the renewal of its leases; `None` if they may be renewed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub silence: Option<Silence>,
    /// Whether the incarnation is about to shut down and gets no new tasks.
    pub draining: bool,
    /// Whether the incarnation has deregistered or ended. It gets no new tasks and no leases; its runs stay
    /// assigned until each of them has certainly ended.
    pub left: bool,
    /// Assigned runs: the task and the number of the run.
    pub runs: BTreeSet<(TaskId, u32)>,
    /// Capacity that the assigned runs take.
    pub used: Resources,
    /// Number of assigned runs that are best-effort.
    #[serde(rename = "fills")]
    pub best_effort: u32,
    /// Number of assigned runs that serve user requests.
    #[serde(rename = "serves")]
    pub services: u32,
    /// When the incarnation was last assigned a run, in milliseconds since the Unix epoch; 0 before
    /// the first.
    #[serde(default)]
    pub last_start_ms: i64,
    /// Runs that were released since then and are suspects if the incarnation turns out to have
    /// crashed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub released: Vec<(TaskId, u32)>,
}

/// State that the log replicates to all members.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// Highest proposer clock so far, in milliseconds since the Unix epoch.
    pub at_ms: i64,
    /// Upper bound, in milliseconds, of the leases that workers may have; `None` if the latest entry
    /// does not contain it.
    #[serde(rename = "lease", default)]
    pub lease_bound: Option<u64>,
    /// Number of entries that stopped or resumed the renewal of leases.
    #[serde(default)]
    pub lease_entries: u64,
    /// Text of the current document as received.
    pub raw: String,
    /// The current document.
    pub document: Document,
    /// Queues and teams that the current document does not have any more and that have open jobs.
    #[serde(default, skip_serializing_if = "Retired::is_empty")]
    pub(crate) retired: Retired,
    /// Jobs, including recently ended ones.
    pub jobs: BTreeMap<JobId, Job>,
    /// Ids that were cancelled while no open job had them.
    #[serde(default, skip_serializing_if = "CancelledIds::is_empty")]
    cancelled_ids: CancelledIds,
    /// Failure domains that are out of service.
    #[serde(default, skip_serializing_if = "Evacuations::is_empty")]
    pub(crate) evacuations: Evacuations,
    /// Latest incarnation of each worker, by name.
    pub workers: BTreeMap<String, Worker>,
    /// Resources of the assigned runs of each team.
    pub usage: BTreeMap<String, Resources>,
    /// What the tasks of each team used in the past.
    #[serde(default, skip_serializing_if = "PastUse::is_empty")]
    pub(crate) past_use: PastUse,
    /// Jobs that have not ended or still have assigned runs.
    pub live: BTreeSet<JobId>,
    /// Runs of open jobs that ended by a crash of their worker and may have caused it: the task, the
    /// first one for a gang, and the number of the run.
    #[serde(default)]
    pub crashed: BTreeSet<(TaskId, u32)>,
    /// Ended jobs by the time of their end, for removal after the retention time.
    ended: BTreeSet<(i64, JobId)>,
}

impl State {
    /// Applies a log entry and returns a reply to each record.
    pub fn apply(&mut self, batch: &Batch) -> Vec<Reply> {
        self.at_ms = self.at_ms.max(batch.at_ms);
        self.lease_bound = batch.lease_bound;
        self.apply_lease_changes(batch);
        self.advance_past_use(batch.past_use_ms);
        let replies = batch.records.iter().map(|r| self.apply_record(r)).collect();
        self.remove_expired();
        replies
    }

    /// Upper bound, in milliseconds, of the leases that earlier leaders may have granted.
    pub fn inherited_lease_ms(&self, settings: &Settings) -> u64 {
        // Only workers in the state can have a lease.
        match self.workers.is_empty() {
            true => settings.lease_ms,
            false => self.lease_bound.unwrap_or(settings.max_lease_ms),
        }
    }

    /// Whether delayed orders to an earlier incarnation of the worker may have reached the current one
    /// within the last `ms` milliseconds.
    pub(crate) fn was_replaced_within(&self, worker: &str, ms: u64) -> bool {
        let replaced_ms = self.workers.get(worker).and_then(|w| w.replaced_ms);
        let limit_ms = i64::try_from(ms).unwrap_or(i64::MAX);
        replaced_ms.is_some_and(|at| self.at_ms.saturating_sub(at) < limit_ms)
    }

    fn apply_record(&mut self, record: &Record) -> Reply {
        match record {
            Record::Document { raw, document } => {
                if document.version > self.document.version {
                    self.replace_document(raw, document);
                }
                Reply::Done
            }
            Record::Submit {
                id,
                queue,
                route,
                team,
                spec,
            } => {
                let job = Job::new(queue.clone(), team.clone(), spec.clone(), self.at_ms);
                let job = Job {
                    route: route.clone(),
                    version: self.document.version,
                    ..job
                };
                self.submit(*id, job)
            }
            Record::Cancel(id) => self.cancel(*id),
            Record::AddIncarnation {
                incarnation,
                sequence,
            } => {
                self.update_capacity(incarnation, *sequence);
                Reply::Added {
                    given_up: self.add_incarnation(incarnation, *sequence),
                }
            }
            Record::Drain { worker, born } => {
                if let Some(current) = self.workers.get_mut(worker)
                    && current.incarnation.born == *born
                {
                    current.draining = true;
                }
                Reply::Done
            }
            Record::Deregister { worker, born } => {
                self.deregister(worker, *born);
                Reply::Done
            }
            Record::Replaced { worker, born } => Reply::Replaced {
                given_up: self.replace_incarnation(worker, *born),
            },
            Record::EndIncarnation { worker, born } => {
                self.end_incarnation(worker, *born);
                Reply::Done
            }
            Record::Evacuate { domain, evacuated } => self.set_evacuated(domain, *evacuated),
            Record::Start(starts) => Reply::Started(self.apply_starts(starts)),
            Record::Ends {
                worker,
                born,
                upto,
                list,
            } => {
                self.store_ends(worker, *born, *upto, list);
                Reply::Done
            }
            Record::Release(list) => {
                for (task, run, _) in list {
                    self.keep_released(*task, *run);
                }
                for (task, run, checkpoint) in list {
                    self.release_run(*task, *run, checkpoint);
                }
                Reply::Done
            }
        }
    }

    fn submit(&mut self, id: JobId, job: Job) -> Reply {
        if let Some(known) = self.jobs.get(&id) {
            return match known.is_same(&job, self.document.version) {
                true => Reply::Done,
                false => Reply::Conflict,
            };
        }
        if self.is_cancelled(id) {
            return Reply::Cancelled;
        }
        // The document may have changed since the leader chose the queue.
        if job
            .route
            .as_ref()
            .is_some_and(|r| self.document.queue_at(r).is_none())
        {
            return Reply::NoQueue;
        }
        self.jobs.insert(id, job);
        self.bind_job(id);
        self.live.insert(id);
        Reply::Done
    }

    fn cancel(&mut self, id: JobId) -> Reply {
        let known = self.jobs.get(&id).map(|j| j.status);
        if known == Some(Status::Open) {
            self.end_job(id, Status::Cancelled);
            return Reply::Done;
        }
        // An ended job may be removed soon, so that its id must be kept, too.
        match self.cancelled_ids.insert(id, self.at_ms) {
            Ok(()) if known.is_some() => Reply::Done,
            Ok(()) => Reply::Unknown,
            Err(oldest_ms) => {
                let wait_ms = oldest_ms.saturating_add(RETENTION_MS) - self.at_ms;
                Reply::Busy {
                    retry_after_ms: u64::try_from(wait_ms).unwrap_or(0),
                }
            }
        }
    }

    /// Whether the id was cancelled so recently that a submission may still be on its way.
    pub fn is_cancelled(&self, id: JobId) -> bool {
        self.cancelled_ids.contains(id)
    }

    pub(crate) fn end_job(&mut self, id: JobId, status: Status) {
        let at = self.at_ms;
        if let Some(job) = self.jobs.get_mut(&id)
            && job.status == Status::Open
        {
            job.status = status;
            job.ended_ms = at;
            self.ended.insert((at, id));
            self.clear_crashes(id);
        }
        self.release_ended(id);
    }

    /// Clears the description and the task states of a job that has ended and has no assigned runs.
    pub(crate) fn release_ended(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get_mut(&id)
            && job.status != Status::Open
            && job.assigned == 0
        {
            job.spec = JobSpec::default();
            job.rounds = Vec::new();
            self.live.remove(&id);
        }
    }

    fn remove_expired(&mut self) {
        let limit_ms = self.at_ms.saturating_sub(RETENTION_MS);
        self.cancelled_ids.remove_until(limit_ms);
        while let Some(&(at, id)) = self.ended.first() {
            if at + RETENTION_MS > self.at_ms || self.live.contains(&id) {
                return;
            }
            self.ended.pop_first();
            self.jobs.remove(&id);
        }
    }

    /// Returns the specification and the state of a task's step.
    pub(crate) fn step_mut(&mut self, id: TaskId) -> Option<(&Step, &mut StepState)> {
        let job = self.jobs.get_mut(&id.job)?;
        let spec = job.spec.steps.get(id.step as usize)?;
        let state = job
            .rounds
            .get_mut(id.round as usize)?
            .get_mut(id.step as usize)?;
        Some((spec, state))
    }

    pub(crate) fn task_mut(&mut self, id: TaskId) -> Option<&mut Task> {
        let (_, step) = self.step_mut(id)?;
        step.tasks.get_mut(id.index as usize)
    }

    /// Stores a checkpoint. A checkpoint of one gang member applies to the whole gang.
    pub(crate) fn store_checkpoint(&mut self, id: TaskId, checkpoint: &str) {
        if checkpoint.is_empty() {
            return;
        }
        let Some((step, state)) = self.step_mut(id) else {
            return;
        };
        let kept = match state.tasks.get_mut(id.index as usize) {
            _ if step.gang => &mut state.checkpoint,
            Some(task) => &mut task.checkpoint,
            None => return,
        };
        checkpoint.clone_into(kept);
    }

    /// Checkpoint from which a task resumes; empty if there is none.
    pub(crate) fn checkpoint(&self, id: TaskId) -> &str {
        let round = self
            .jobs
            .get(&id.job)
            .and_then(|j| j.rounds.get(id.round as usize));
        let Some(step) = round.and_then(|r| r.get(id.step as usize)) else {
            return "";
        };
        // An earlier build keeps the checkpoint of a gang with each task.
        match step.tasks.get(id.index as usize) {
            Some(task) if step.checkpoint.is_empty() => &task.checkpoint,
            _ => &step.checkpoint,
        }
    }

    fn store_ends(&mut self, worker: &str, born: i64, upto: u64, list: &[End]) {
        let Some(current) = self.workers.get_mut(worker) else {
            return;
        };
        if current.incarnation.born != born {
            return;
        }
        let previous_end = current.acked_end;
        current.acked_end = current.acked_end.max(upto);
        for end in list.iter().filter(|e| e.number > previous_end) {
            if self.unassign(end.task, end.run) {
                self.finish_run(worker, end);
                self.release_ended(end.task.job);
            }
        }
    }

    fn finish_run(&mut self, worker: &str, end: &End) {
        let id = end.task;
        if let Some(job) = self.jobs.get_mut(&id.job) {
            job.ran = true;
        }
        if let Some(task) = self.task_mut(id) {
            task.order_carried_out(end.run);
        }
        self.store_checkpoint(id, &end.checkpoint);
        let Some((step, state)) = self.step_mut(id) else {
            return;
        };
        let long_running = step.long_running;
        let gang = step.gang;
        let mut failures = 0;
        match end.reason {
            EndReason::Done if long_running => {}
            // The end of one member stands for all of them.
            EndReason::Done if gang && state.is_done() => {}
            EndReason::Done if gang => {
                for task in &mut state.tasks {
                    task.done = true;
                }
                state.done = u32::try_from(state.tasks.len()).unwrap_or(u32::MAX);
            }
            EndReason::Done => {
                if let Some(task) = state.tasks.get_mut(id.index as usize)
                    && !task.done
                {
                    task.done = true;
                    state.done += 1;
                }
            }
            EndReason::Failed => {
                if gang && state.failed_run < end.run {
                    state.failed_run = end.run;
                    state.failures += 1;
                }
                failures = state.failures;
                if let Some(task) = state.tasks.get_mut(id.index as usize) {
                    task.failures += 1;
                    worker.clone_into(&mut task.failed_on);
                    failures = failures.max(task.failures);
                }
            }
            EndReason::Stopped | EndReason::Lapsed | EndReason::Broken | EndReason::Alone => {}
        }
        let is_done = state.is_done();
        let Some(job) = self.jobs.get(&id.job) else {
            return;
        };
        let is_exhausted = |q: &Queue| failures > 0 && failures >= q.max_attempts;
        if !long_running && self.queue_of(job).is_some_and(is_exhausted) {
            self.end_job(id.job, Status::Failed);
        } else if is_done && job.is_complete() {
            self.end_job(id.job, Status::Completed);
        }
    }

    /// Returns the task with this id.
    pub fn task(&self, id: TaskId) -> Option<&Task> {
        let round = self.jobs.get(&id.job)?.rounds.get(id.round as usize)?;
        round.get(id.step as usize)?.tasks.get(id.index as usize)
    }

    /// Returns the specification of a task's step. Ended jobs may no longer have one.
    pub fn step(&self, id: TaskId) -> Option<&Step> {
        self.jobs.get(&id.job)?.spec.steps.get(id.step as usize)
    }
}
