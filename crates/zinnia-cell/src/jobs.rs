//! Accepted jobs with the dispatch records and outcomes of their tasks.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;
use zinnia_types::DomainId;
use zinnia_types::Job;
use zinnia_types::JobId;
use zinnia_types::Name;
use zinnia_types::Outcome;
use zinnia_types::TeamId;

use crate::Digest;
use crate::JobFilter;
use crate::Refusal;
use crate::Reply;
use crate::Retention;
use crate::TaskEnd;
use crate::TaskOutcome;
use crate::names::Names;
use crate::rows::EndedRow;
use crate::rows::LiveRow;
use crate::rows::digest_prefix;

/// A job that has not ended.
#[derive(Clone, Debug, PartialEq)]
pub struct LiveJob {
    /// The job. Its domain is the one that it is currently assigned to.
    pub job: Job,
    /// Whether its team has cancelled it.
    pub cancelled: bool,
    /// Dispatched non-repeatable tasks, each with the term of the acting owner that dispatched it.
    pub dispatched: BTreeMap<u32, u64>,
    /// Outcomes of the tasks that have ended.
    pub ends: BTreeMap<u32, TaskOutcome>,
}

/// A retained job that has ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedJob {
    /// Id of the job.
    pub id: JobId,
    /// Team that owns the job.
    pub team: TeamId,
    /// Name of the job, unique within the team.
    pub name: String,
    /// Kind of work.
    pub kind: Name,
    /// Failure domain in which it ended.
    pub domain: DomainId,
    /// Number of tasks.
    pub tasks: u32,
    /// Number of tasks that succeeded.
    pub done: u32,
    /// Outcome of the job.
    pub outcome: Outcome,
    /// Time of acceptance, in milliseconds since the Unix epoch.
    pub accepted_ms: i64,
    /// Time of the end, in milliseconds since the Unix epoch.
    pub ended_ms: i64,
}

/// State of a job that the cell knows.
#[derive(Clone, Debug, PartialEq)]
pub enum JobState {
    /// The job has not ended.
    Live(Box<LiveJob>),
    /// The job has ended.
    Ended(Box<EndedJob>),
}

/// Live jobs and retained ended jobs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Jobs {
    names: Names,
    live: BTreeMap<JobId, LiveRow>,
    ended: BTreeMap<JobId, EndedRow>,
    /// Ended jobs, oldest first, with the cell clock at which each ended.
    #[serde(rename = "order")]
    expiry_queue: VecDeque<(i64, JobId)>,
}

impl Jobs {
    pub(crate) fn get(&self, id: JobId) -> Option<JobState> {
        if let Some(row) = self.live.get(&id) {
            let live = row.expand(id, &self.names)?;
            return Some(JobState::Live(Box::new(live)));
        }
        let ended = self.ended.get(&id)?.expand(id, &self.names)?;
        Some(JobState::Ended(Box::new(ended)))
    }

    /// Live jobs of `domain`, or of all domains if it is `None`.
    pub(crate) fn live(&self, domain: Option<DomainId>) -> impl Iterator<Item = LiveJob> {
        let domain = domain.map(|domain| self.names.number_of(domain.0));
        let rows = self.live.iter();
        let rows =
            rows.filter(move |(_, row)| domain.is_none_or(|domain| domain == Some(row.domain)));
        rows.filter_map(|(&id, row)| row.expand(id, &self.names))
    }

    pub(crate) fn ended(&self) -> impl Iterator<Item = EndedJob> {
        let rows = self.ended.iter();
        rows.filter_map(|(&id, row)| row.expand(id, &self.names))
    }

    /// Whether every name number in the jobs is in the name table.
    pub(crate) fn names_resolve(&self) -> bool {
        let resolves = |number: u32| self.names.name(number).is_some();
        let live = self.live.values().flat_map(LiveRow::name_numbers);
        let ended = self.ended.values().flat_map(EndedRow::name_numbers);
        live.chain(ended).all(resolves)
    }

    /// Number of live jobs per domain.
    pub(crate) fn live_counts(&self) -> BTreeMap<DomainId, usize> {
        let mut counts = BTreeMap::new();
        for row in self.live.values() {
            if let Some(domain) = self.names.name(row.domain) {
                *counts.entry(DomainId(domain)).or_default() += 1;
            }
        }
        counts
    }

    pub(crate) fn ended_count(&self) -> usize {
        self.ended.len()
    }

    /// Reply to a job that was accepted before; `None` if the job id is unknown.
    pub(crate) fn reply_to_resend(&self, id: JobId, request: Digest) -> Option<Reply> {
        let live = self.live.get(&id).map(|row| row.request);
        let first_request = live.or_else(|| self.ended.get(&id).map(|row| row.request))?;
        Some(if first_request == digest_prefix(request) {
            Reply::Accepted { repeated: true }
        } else {
            Reply::Refused(Refusal::JobConflict(id))
        })
    }

    pub(crate) fn insert_job(&mut self, job: &Job, request: Digest) -> Reply {
        let row = LiveRow::new(job, request, &mut self.names);
        self.live.insert(job.id, row);
        Reply::Accepted { repeated: false }
    }

    /// The row of a live job; refused if the job is not assigned to `domain`.
    fn row_in_domain(&mut self, id: JobId, domain: DomainId) -> Result<&mut LiveRow, Refusal> {
        let row = self.live.get_mut(&id).ok_or(Refusal::UnknownJob(id))?;
        match self.names.name(row.domain) {
            Some(name) if name != domain.0 => Err(Refusal::OtherDomain(DomainId(name))),
            _ => Ok(row),
        }
    }

    /// Records that tasks are dispatched, so that no later command dispatches them again.
    pub(crate) fn record_dispatch(
        &mut self,
        id: JobId,
        tasks: &[u32],
        domain: DomainId,
        term: u64,
    ) -> Result<Reply, Refusal> {
        let row = self.row_in_domain(id, domain)?;
        if row.cancelled {
            return Err(Refusal::JobCancelled(id));
        }
        if let Some(&task) = tasks.iter().find(|&&task| task >= row.tasks) {
            return Err(Refusal::UnknownTask(task));
        }
        let progress = row.progress_mut();
        let mut fresh = Vec::new();
        let mut known = Vec::new();
        for &task in tasks {
            // A task may have ended without a dispatch record. It must not start again; term 0
            // stands for the unknown dispatcher.
            if let Some(&term) = progress.dispatched.get(&task) {
                known.push((task, term));
            } else if progress.ends.contains_key(&task) {
                known.push((task, 0));
            } else {
                progress.dispatched.insert(task, term);
                fresh.push(task);
            }
        }
        Ok(Reply::Dispatched { fresh, known })
    }

    /// Records final task outcomes. The first outcome of a task is kept.
    pub(crate) fn record_task_ends(&mut self, ends: &[TaskEnd]) -> Reply {
        let mut recorded = 0;
        let mut known = 0;
        let mut stray = 0;
        for end in ends {
            let row = self.live.get_mut(&end.job);
            let Some(row) = row.filter(|row| end.task < row.tasks) else {
                stray += 1;
                continue;
            };
            let ends = &mut row.progress_mut().ends;
            if ends.contains_key(&end.task) {
                known += 1;
                continue;
            }
            ends.insert(end.task, end.finish);
            recorded += 1;
        }
        Reply::Ends {
            recorded,
            known,
            stray,
        }
    }

    /// Turns a live job into an ended one. The first outcome of a job is kept.
    pub(crate) fn end_job(
        &mut self,
        id: JobId,
        outcome: &Outcome,
        at_ms: i64,
        clock_ms: i64,
    ) -> Result<Reply, Refusal> {
        if let Some(ended) = self.ended.get(&id) {
            return Ok(Reply::Ended {
                outcome: ended.outcome.clone(),
                repeated: true,
            });
        }
        let live = self.live.remove(&id).ok_or(Refusal::UnknownJob(id))?;
        self.ended.insert(id, EndedRow::new(live, outcome, at_ms));
        self.expiry_queue.push_back((clock_ms, id));
        Ok(Reply::Ended {
            outcome: outcome.clone(),
            repeated: false,
        })
    }

    /// Marks the live jobs of `team` that match the filter as cancelled.
    pub(crate) fn mark_cancelled(&mut self, team: TeamId, job_filter: &JobFilter) -> Reply {
        let mut jobs = Vec::new();
        let Some(team) = self.names.number_of(team.0) else {
            return Reply::Cancelled { jobs };
        };
        match job_filter {
            JobFilter::Jobs(ids) => {
                for id in ids {
                    if let Some(row) = self.live.get_mut(id)
                        && row.mark_cancelled(team)
                    {
                        jobs.push(*id);
                    }
                }
                jobs.sort_unstable();
            }
            JobFilter::Matching { prefix, kind } => {
                let kind = kind.map(|kind| self.names.number_of(kind));
                for (id, row) in &mut self.live {
                    if row.name.starts_with(prefix.as_str())
                        && kind.is_none_or(|kind| kind == Some(row.kind))
                        && row.mark_cancelled(team)
                    {
                        jobs.push(*id);
                    }
                }
            }
        }
        Reply::Cancelled { jobs }
    }

    /// Assigns a job to another domain unless it is pinned or has non-repeatable tasks in flight.
    pub(crate) fn move_to_domain(
        &mut self,
        id: JobId,
        from: DomainId,
        to: DomainId,
    ) -> Result<Reply, Refusal> {
        let domain = self.names.intern(to.0);
        let row = self.row_in_domain(id, from)?;
        if row.pinned {
            return Err(Refusal::Pinned);
        }
        if let Some(progress) = &row.progress {
            let mut tasks = progress.dispatched.keys();
            if let Some(&task) = tasks.find(|&task| !progress.ends.contains_key(task)) {
                return Err(Refusal::TaskDispatched(task));
            }
        }
        row.domain = domain;
        Ok(Reply::Done)
    }

    /// Removes ended jobs beyond the retention bounds.
    pub(crate) fn expire(&mut self, clock_ms: i64, retention: &Retention) {
        let expiry_threshold = clock_ms.saturating_sub(retention.jobs_ms);
        while let Some(&(ended_at, id)) = self.expiry_queue.front() {
            if self.expiry_queue.len() <= retention.jobs && ended_at >= expiry_threshold {
                break;
            }
            self.expiry_queue.pop_front();
            self.ended.remove(&id);
        }
    }
}
