//! Feasibility: detection of jobs that no worker can ever run.

use zinnia_types::Class;
use zinnia_types::JobId;
use zinnia_types::Outcome;
use zinnia_types::Resources;
use zinnia_types::Time;

use crate::action::Action;
use crate::job_state::TaskEntry;
use crate::job_state::TaskPhase;
use crate::scheduler::Scheduler;

impl Scheduler {
    /// Checks every job without running attempts again after a change of the fleet or of the teams'
    /// limits.
    pub(crate) fn check_feasibility(&mut self, now: Time, out: &mut Vec<Action>) {
        let is_idle = |w: &&crate::job_state::JobState| w.live_attempts == 0 && w.outcome.is_none();
        let jobs: Vec<JobId> = self
            .jobs
            .values()
            .filter(is_idle)
            .map(|w| w.job.id)
            .collect();
        for id in jobs {
            self.check_job_feasibility(id, now, out);
        }
    }

    /// Ends a job that would not fit even if all workers were empty, or releases it to another
    /// failure domain that has large enough workers.
    pub(crate) fn check_job_feasibility(&mut self, id: JobId, now: Time, out: &mut Vec<Action>) {
        let Some(work) = self.jobs.get(&id) else {
            return;
        };
        let is_undecided = !self.active || !self.fleet.unreported_workers.is_empty();
        if is_undecided || work.live_attempts > 0 || work.outcome.is_some() {
            return;
        }
        if let Some(why) = self.limit_violation(id) {
            self.close_job(id, Outcome::NeverFits { why }, now, out);
            return;
        }
        // Before the first worker registers, the capacities in this failure domain are unknown.
        if self.fleet.shapes.is_empty() && self.fleet.lost_shapes.is_empty() {
            return;
        }
        let Some(why) = self.infeasibility(id) else {
            return;
        };
        let Some(work) = self.jobs.get(&id) else {
            return;
        };
        let job = &work.job;
        let fits_elsewhere = self.remote_shapes.iter().any(|s| job.need.fits(s));
        if !job.pinned && fits_elsewhere {
            self.remove_job(id);
            out.push(Action::Release {
                job: id,
                reason: why,
            });
        } else {
            self.close_job(id, Outcome::NeverFits { why }, now, out);
        }
    }

    /// Releases a job to another failure domain if none of its tasks has been started.
    pub(crate) fn on_yield(&mut self, id: JobId, out: &mut Vec<Action>) {
        let Some(work) = self.jobs.get(&id) else {
            return;
        };
        let is_unstarted =
            |slot: &TaskEntry| slot.phase == TaskPhase::Ready && !slot.dispatch_recorded;
        let is_idle = work.live_attempts == 0
            && work.outcome.is_none()
            && work.tasks.iter().all(is_unstarted);
        if !is_idle || work.job.pinned {
            return;
        }
        self.remove_job(id);
        let why = "another failure domain has free capacity".to_owned();
        out.push(Action::Release {
            job: id,
            reason: why,
        });
    }

    /// Why the job can never fit within its team's limit, or `None` if it can.
    fn limit_violation(&self, id: JobId) -> Option<String> {
        let work = self.jobs.get(&id)?;
        // A team that the document has dropped may come back, and its accepted jobs wait for that.
        let team = &self.teams.list[work.team];
        let limit = team.limit.filter(|_| team.is_named)?;
        let job = &work.job;
        let total_need = job.need.saturating_mul(concurrent_tasks(job));
        if total_need.fits(&limit) {
            return None;
        }
        let (name, need, have) = first_shortage(&total_need, &limit);
        Some(format!(
            "{name}: needs {need} at once, the limit of team {} is {have}",
            job.team
        ))
    }

    /// Why the job could not run even if all workers were empty, or `None` if it could.
    fn infeasibility(&self, id: JobId) -> Option<String> {
        let work = self.jobs.get(&id)?;
        let job = &work.job;
        let owned_shapes = self.fleet.shapes.iter().map(|(s, n)| (s, *n));
        let lost_shapes = self.fleet.lost_shapes.iter().map(|(s, (n, _))| (s, *n));
        let mut largest = Resources::ZERO;
        let mut max_tasks: u64 = 0;
        for (shape, count) in owned_shapes.chain(lost_shapes) {
            largest = Resources::elementwise_max(&largest, shape);
            let per_worker = shape.count_fitting(&job.need);
            max_tasks = max_tasks.saturating_add(per_worker.saturating_mul(count.into()));
        }
        let required = concurrent_tasks(job);
        if max_tasks >= required {
            return None;
        }
        if max_tasks > 0 {
            return Some(format!(
                "tasks: {required} must start at once, {max_tasks} fit into the empty domain"
            ));
        }
        if job.need.fits(&largest) {
            return Some(
                "no single worker has enough of every resource that a task needs".to_owned(),
            );
        }
        let (name, need, have) = first_shortage(&job.need, &largest);
        Some(format!(
            "{name}: a task needs {need}, the largest worker has {have}"
        ))
    }

    /// Expires capacities of lost workers that did not come back, and checks the jobs again.
    pub(crate) fn expire_shapes(&mut self, now: Time, out: &mut Vec<Action>) {
        let grace = self.settings.queue.shape_grace;
        let before = self.fleet.lost_shapes.len();
        if !self.fleet.shapes.is_empty() {
            self.fleet
                .lost_shapes
                .retain(|_, (_, at)| now.since(*at) < grace);
        }
        if self.fleet.lost_shapes.len() < before {
            self.check_feasibility(now, out);
        }
    }
}

/// Minimum number of tasks of the job that must run at the same time.
fn concurrent_tasks(job: &zinnia_types::Job) -> u64 {
    if job.class == Class::Gang {
        job.tasks.into()
    } else {
        1
    }
}

/// The first resource of which `need` exceeds `have`, with both amounts.
fn first_shortage(need: &Resources, have: &Resources) -> (&'static str, u64, u64) {
    if need.gpu > have.gpu {
        ("accelerators", need.gpu, have.gpu)
    } else if need.mem > have.mem {
        ("memory in MiB", need.mem, have.mem)
    } else {
        ("processor in thousandths of a core", need.cpu, have.cpu)
    }
}
