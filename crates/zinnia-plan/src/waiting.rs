//! Steps with tasks that wait for a worker.

use std::collections::BTreeMap;

use crate::Job;
use crate::Queue;
use crate::Route;
use crate::State;
use crate::Status;
use crate::Step;
use crate::StepId;
use crate::StepState;
use crate::TaskId;
use crate::policy::PolicyDecisions;
use crate::policy::QueryPurpose;
use crate::shares::Shares;

/// A step with tasks that wait for a worker.
#[derive(Clone, Copy)]
pub(crate) struct WaitingStep<'a> {
    pub(crate) id: StepId,
    pub(crate) job: &'a Job,
    pub(crate) step: &'a Step,
    pub(crate) state: &'a StepState,
    pub(crate) queue: &'a Queue,
    /// Number of tasks that wait.
    pub(crate) count: usize,
    /// Whether the job would end too late to be of use.
    pub(crate) expired: bool,
    /// Time after a round is due from which its end is of no use, in milliseconds.
    pub(crate) expiry_ms: u64,
    /// Time that the round may wait so that it still meets its objective, in milliseconds; 0 where the order does
    /// not depend on it.
    pub(crate) slack_ms: i64,
}

impl WaitingStep<'_> {
    /// Id of one of the step's tasks.
    pub(crate) fn task_id(&self, index: u32) -> TaskId {
        TaskId {
            job: self.id.job,
            round: self.id.round,
            step: self.id.step,
            index,
        }
    }

    /// Purpose of the next query that lets tasks of the step start.
    pub(crate) fn query_purpose(&self, decisions: &PolicyDecisions) -> QueryPurpose {
        match decisions.queried.is_empty() {
            true if self.queue.is_urgent() => QueryPurpose::Urgent,
            true => QueryPurpose::Start,
            false => QueryPurpose::Parallel,
        }
    }
}

impl Queue {
    /// Whether a round of a job can only end too late to be of use.
    pub(crate) fn has_expired(&self, job: &Job, round: u32, wall_ms: i64) -> bool {
        age_ms(job, round, wall_ms) > self.expiry_ms(&job.spec)
    }
}

/// Time since a round of a job was due, in milliseconds.
fn age_ms(job: &Job, round: u32, wall_ms: i64) -> u64 {
    u64::try_from(wall_ms.saturating_sub(job.due_ms(round))).unwrap_or(0)
}

/// Time that a round may wait so that it still meets its objective, by the estimates of the steps that are left.
fn slack_ms(job: &Job, round: u32, objective_ms: u64, wall_ms: i64) -> i64 {
    let left_ms = remaining_ms(job, round);
    let slack_ms = i64::try_from(objective_ms)
        .unwrap_or(i64::MAX)
        .saturating_sub(i64::try_from(left_ms).unwrap_or(i64::MAX));
    let elapsed_ms = wall_ms.saturating_sub(job.due_ms(round));
    slack_ms.saturating_sub(elapsed_ms)
}

/// Estimated run time of the longest chain of steps of a round that are not complete.
fn remaining_ms(job: &Job, round: u32) -> u64 {
    let Some(states) = job.rounds.get(round as usize) else {
        return 0;
    };
    let mut ends: Vec<u64> = Vec::with_capacity(job.spec.steps.len());
    for (step, state) in job.spec.steps.iter().zip(states) {
        let ready = step.depends_on.iter().filter_map(|&d| ends.get(d)).max();
        let own_ms = if state.is_done() { 0 } else { step.estimate_ms };
        ends.push(ready.copied().unwrap_or(0).saturating_add(own_ms));
    }
    ends.into_iter().max().unwrap_or(0)
}

/// Returns the steps that are due, have complete dependencies and have tasks without a worker. `shares`, if any, get
/// the resources of the tasks that have a worker.
pub(crate) fn waiting_steps<'a>(
    state: &'a State,
    mut shares: Option<&mut Shares<'a>>,
    wall_ms: i64,
) -> Vec<WaitingStep<'a>> {
    let mut steps_waiting = Vec::new();
    // The lookup of a queue is cached, since a document may have many hundreds of queues, of which
    // few have jobs.
    let mut queues: BTreeMap<&Route, Option<&Queue>> = BTreeMap::new();
    for id in &state.live {
        let Some(job) = state.jobs.get(id).filter(|j| j.status == Status::Open) else {
            continue;
        };
        let find = || state.queue_of(job);
        let found = match &job.route {
            Some(route) => *queues.entry(route).or_insert_with(find),
            None => find(),
        };
        let Some(queue) = found else {
            continue;
        };
        if let Some(shares) = &mut shares {
            add_running(shares, job, queue);
        }
        // These take time in proportion to all dependencies of the job, so that they are found once for each job, or
        // round, that has waiting steps.
        let mut expiry = None;
        let mut objective = None;
        for (r, steps) in (0..).zip(&job.rounds) {
            if job.due_ms(r) > wall_ms {
                break;
            }
            let mut slack = None;
            for (s, tasks) in (0..).zip(steps) {
                let Some(step) = job.spec.steps.get(s as usize) else {
                    continue;
                };
                let settled = tasks.done as usize + tasks.assigned as usize;
                let count = tasks.tasks.len().saturating_sub(settled);
                if count == 0 || tasks.is_done() || !job.is_ready(r, s) {
                    continue;
                }
                if step.gang && tasks.assigned > 0 {
                    continue;
                }
                let expiry_ms = *expiry.get_or_insert_with(|| queue.expiry_ms(&job.spec));
                let slack_ms = match shares {
                    Some(_) => *slack.get_or_insert_with(|| {
                        let objective_ms =
                            *objective.get_or_insert_with(|| queue.objective_ms(&job.spec));
                        slack_ms(job, r, objective_ms, wall_ms)
                    }),
                    None => 0,
                };
                steps_waiting.push(WaitingStep {
                    id: StepId {
                        job: *id,
                        round: r,
                        step: s,
                    },
                    job,
                    step,
                    state: tasks,
                    queue,
                    count,
                    expired: age_ms(job, r, wall_ms) > expiry_ms,
                    expiry_ms,
                    slack_ms,
                });
            }
        }
    }
    steps_waiting
}

/// Adds the resources of the tasks of a job that have a worker.
fn add_running<'a>(shares: &mut Shares<'a>, job: &'a Job, queue: &'a Queue) {
    if job.assigned == 0 {
        return;
    }
    let lane = shares.lane(&queue.pool, &job.team);
    for (step, tasks) in job.rounds.iter().flat_map(|r| job.spec.steps.iter().zip(r)) {
        if tasks.assigned > 0 {
            shares.add(lane, &step.resources.times(u64::from(tasks.assigned)));
        }
    }
}
