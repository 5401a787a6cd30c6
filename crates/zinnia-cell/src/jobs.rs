//! Accepted jobs, dispatch records and ends.

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
use crate::rows::mark;

/// A job that has not ended.
#[derive(Clone, Debug, PartialEq)]
pub struct LiveJob {
    /// The job; its domain is the current one.
    pub job: Job,
    /// Whether its team cancelled it.
    pub cancelled: bool,
    /// Dispatched tasks that must not be repeated, with the term of the acting owner.
    pub dispatched: BTreeMap<u32, u64>,
    /// Tasks that ended for good.
    pub ends: BTreeMap<u32, TaskOutcome>,
}

/// A job that has ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedJob {
    /// Id.
    pub id: JobId,
    /// Owning team.
    pub team: TeamId,
    /// Name within the team.
    pub name: String,
    /// Kind of work.
    pub kind: Name,
    /// Domain in which it ended.
    pub domain: DomainId,
    /// Number of tasks.
    pub tasks: u32,
    /// Tasks that ended well.
    pub done: u32,
    /// How it ended.
    pub outcome: Outcome,
    /// When it was accepted, in milliseconds since the Unix epoch.
    pub accepted_ms: i64,
    /// When it ended, in milliseconds since the Unix epoch.
    pub ended_ms: i64,
}

/// What the cell knows about a job.
#[derive(Clone, Debug, PartialEq)]
pub enum JobState {
    /// It has not ended.
    Live(Box<LiveJob>),
    /// It has ended.
    Ended(Box<EndedJob>),
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Jobs {
    names: Names,
    live: BTreeMap<JobId, LiveRow>,
    ended: BTreeMap<JobId, EndedRow>,
    /// Ended jobs with the cell's time at their end, the oldest first.
    order: VecDeque<(i64, JobId)>,
}

impl Jobs {
    pub(crate) fn get(&self, id: JobId) -> Option<JobState> {
        if let Some(row) = self.live.get(&id) {
            let live = row.view(id, &self.names)?;
            return Some(JobState::Live(Box::new(live)));
        }
        let ended = self.ended.get(&id)?.view(id, &self.names)?;
        Some(JobState::Ended(Box::new(ended)))
    }

    /// Live jobs, of one domain if it is given.
    pub(crate) fn live(&self, domain: Option<DomainId>) -> impl Iterator<Item = LiveJob> {
        let only = domain.map(|domain| self.names.find(domain.0));
        let rows = self.live.iter();
        let rows = rows.filter(move |(_, row)| only.is_none_or(|only| only == Some(row.domain)));
        rows.filter_map(|(&id, row)| row.view(id, &self.names))
    }

    pub(crate) fn ended(&self) -> impl Iterator<Item = EndedJob> {
        let rows = self.ended.iter();
        rows.filter_map(|(&id, row)| row.view(id, &self.names))
    }

    /// Whether every name that a job refers to has a number.
    pub(crate) fn consistent(&self) -> bool {
        let known = |number: u32| self.names.name(number).is_some();
        let live = self.live.values().flat_map(LiveRow::names);
        let ended = self.ended.values().flat_map(EndedRow::names);
        live.chain(ended).all(known)
    }

    /// Number of live jobs in each domain.
    pub(crate) fn count(&self) -> BTreeMap<DomainId, usize> {
        let mut count = BTreeMap::new();
        for row in self.live.values() {
            if let Some(domain) = self.names.name(row.domain) {
                *count.entry(DomainId(domain)).or_default() += 1;
            }
        }
        count
    }

    pub(crate) fn ended_count(&self) -> usize {
        self.ended.len()
    }

    /// The answer to a resend, or `None` when the id is not known.
    pub(crate) fn accepted(&self, id: JobId, request: Digest) -> Option<Reply> {
        let live = self.live.get(&id).map(|row| row.request);
        let known = live.or_else(|| self.ended.get(&id).map(|row| row.request))?;
        Some(if known == mark(request) {
            Reply::Accepted { repeated: true }
        } else {
            Reply::Refused(Refusal::JobConflict(id))
        })
    }

    pub(crate) fn accept(&mut self, job: &Job, request: Digest) -> Reply {
        let row = LiveRow::new(job, request, &mut self.names);
        self.live.insert(job.id, row);
        Reply::Accepted { repeated: false }
    }

    /// A live job that must belong to `domain`.
    fn in_domain(&mut self, id: JobId, domain: DomainId) -> Result<&mut LiveRow, Refusal> {
        let row = self.live.get_mut(&id).ok_or(Refusal::UnknownJob(id))?;
        match self.names.name(row.domain) {
            Some(name) if name != domain.0 => Err(Refusal::OtherDomain(DomainId(name))),
            _ => Ok(row),
        }
    }

    pub(crate) fn dispatch(
        &mut self,
        id: JobId,
        tasks: &[u32],
        domain: DomainId,
        term: u64,
    ) -> Result<Reply, Refusal> {
        let row = self.in_domain(id, domain)?;
        if row.cancelled {
            return Err(Refusal::JobCancelled(id));
        }
        if let Some(&task) = tasks.iter().find(|&&task| task >= row.tasks) {
            return Err(Refusal::UnknownTask(task));
        }
        let progress = row.progress();
        let mut fresh = Vec::new();
        let mut known = Vec::new();
        for &task in tasks {
            // A task that ended without a record was dispatched by nobody who may start it now.
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

    pub(crate) fn end_tasks(&mut self, ends: &[TaskEnd]) -> Reply {
        let mut recorded = 0;
        let mut known = 0;
        let mut stray = 0;
        for end in ends {
            let row = self.live.get_mut(&end.job);
            let Some(row) = row.filter(|row| end.task < row.tasks) else {
                stray += 1;
                continue;
            };
            let ends = &mut row.progress().ends;
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

    pub(crate) fn end(
        &mut self,
        id: JobId,
        outcome: &Outcome,
        at_ms: i64,
        clock: i64,
    ) -> Result<Reply, Refusal> {
        if let Some(ended) = self.ended.get(&id) {
            return Ok(Reply::Ended {
                outcome: ended.outcome.clone(),
                repeated: true,
            });
        }
        let live = self.live.remove(&id).ok_or(Refusal::UnknownJob(id))?;
        self.ended.insert(id, EndedRow::new(live, outcome, at_ms));
        self.order.push_back((clock, id));
        Ok(Reply::Ended {
            outcome: outcome.clone(),
            repeated: false,
        })
    }

    pub(crate) fn cancel(&mut self, team: TeamId, which: &JobFilter) -> Reply {
        let mut jobs = Vec::new();
        let Some(team) = self.names.find(team.0) else {
            return Reply::Cancelled { jobs };
        };
        match which {
            JobFilter::Jobs(ids) => {
                for id in ids {
                    if let Some(row) = self.live.get_mut(id)
                        && row.cancel(team)
                    {
                        jobs.push(*id);
                    }
                }
                jobs.sort_unstable();
            }
            JobFilter::Matching { prefix, kind } => {
                let kind = kind.map(|kind| self.names.find(kind));
                for (id, row) in &mut self.live {
                    if row.name.starts_with(prefix.as_str())
                        && kind.is_none_or(|kind| kind == Some(row.kind))
                        && row.cancel(team)
                    {
                        jobs.push(*id);
                    }
                }
            }
        }
        Reply::Cancelled { jobs }
    }

    pub(crate) fn rehome(
        &mut self,
        id: JobId,
        from: DomainId,
        to: DomainId,
    ) -> Result<Reply, Refusal> {
        let number = self.names.number(to.0);
        let row = self.in_domain(id, from)?;
        if row.pinned {
            return Err(Refusal::Pinned);
        }
        if let Some(progress) = &row.progress {
            let mut tasks = progress.dispatched.keys();
            if let Some(&task) = tasks.find(|&task| !progress.ends.contains_key(task)) {
                return Err(Refusal::TaskDispatched(task));
            }
        }
        row.domain = number;
        Ok(Reply::Done)
    }

    /// Forgets ended jobs beyond the retention bounds.
    pub(crate) fn forget(&mut self, clock: i64, retention: &Retention) {
        let oldest = clock.saturating_sub(retention.jobs_ms);
        while let Some(&(at, id)) = self.order.front() {
            if self.order.len() <= retention.jobs && at >= oldest {
                break;
            }
            self.order.pop_front();
            self.ended.remove(&id);
        }
    }
}
