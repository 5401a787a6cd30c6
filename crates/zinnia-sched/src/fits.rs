//! Jobs that no worker can ever run.

use zinnia_types::Class;
use zinnia_types::JobId;
use zinnia_types::Outcome;
use zinnia_types::Resources;
use zinnia_types::Time;

use crate::action::Action;
use crate::scheduler::Scheduler;
use crate::work::Phase;
use crate::work::TaskSlot;

impl Scheduler {
    /// Looks at all jobs of which nothing runs, after the fleet has changed.
    pub(crate) fn check_feasibility(&mut self, now: Time, out: &mut Vec<Action>) {
        let idle = |w: &&crate::work::Work| w.live == 0 && w.closing.is_none();
        let jobs: Vec<JobId> = self.jobs.values().filter(idle).map(|w| w.job.id).collect();
        for id in jobs {
            self.check_job_feasibility(id, now, out);
        }
    }

    /// Ends or releases a job that fits no worker even when all are empty.
    pub(crate) fn check_job_feasibility(&mut self, id: JobId, now: Time, out: &mut Vec<Action>) {
        let Some(work) = self.jobs.get(&id) else {
            return;
        };
        let unknown = !self.active || !self.fleet.unreported_workers.is_empty();
        if unknown || work.live > 0 || work.closing.is_some() {
            return;
        }
        if let Some(why) = self.limit_violation(id) {
            self.close(id, Outcome::NeverFits { why }, now, out);
            return;
        }
        // Without any worker nothing is known about what the domain has.
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
        let elsewhere = self.remote_shapes.iter().any(|s| job.need.fits(s));
        if !job.pinned && elsewhere {
            self.forget(id);
            out.push(Action::Release { job: id, why });
        } else {
            self.close(id, Outcome::NeverFits { why }, now, out);
        }
    }

    /// Releases a job of which nothing has been started.
    pub(crate) fn on_yield(&mut self, id: JobId, out: &mut Vec<Action>) {
        let Some(work) = self.jobs.get(&id) else {
            return;
        };
        let waits = |slot: &TaskSlot| slot.phase == Phase::Ready && !slot.recorded;
        let idle = work.live == 0 && work.closing.is_none() && work.tasks.iter().all(waits);
        if !idle || work.job.pinned {
            return;
        }
        self.forget(id);
        let why = "another domain has room".to_owned();
        out.push(Action::Release { job: id, why });
    }

    /// Why the job exceeds its team's limit, if it does.
    fn limit_violation(&self, id: JobId) -> Option<String> {
        let work = self.jobs.get(&id)?;
        let limit = self.teams.list[work.team].limit?;
        let job = &work.job;
        let all = job.need.times(concurrent_tasks(job));
        if all.fits(&limit) {
            return None;
        }
        let (name, need, have) = first_shortage(&all, &limit);
        Some(format!(
            "{name}: needs {need} at once, the limit of team {} is {have}",
            job.team
        ))
    }

    /// Why no set of workers could run the job, if none could.
    fn infeasibility(&self, id: JobId) -> Option<String> {
        let work = self.jobs.get(&id)?;
        let job = &work.job;
        let owned_shapes = self.fleet.shapes.iter().map(|(s, n)| (s, *n));
        let lost_shapes = self.fleet.lost_shapes.iter().map(|(s, (n, _))| (s, *n));
        let mut best = Resources::ZERO;
        let mut room: u64 = 0;
        for (shape, count) in owned_shapes.chain(lost_shapes) {
            best = Resources::max(&best, shape);
            let each = shape.count(&job.need);
            room = room.saturating_add(each.saturating_mul(count.into()));
        }
        let wanted = concurrent_tasks(job);
        if room >= wanted {
            return None;
        }
        if room > 0 {
            return Some(format!(
                "tasks: {wanted} must start at once, {room} fit into the empty domain"
            ));
        }
        if job.need.fits(&best) {
            return Some("no single worker has all that a task needs".to_owned());
        }
        let (name, need, have) = first_shortage(&job.need, &best);
        Some(format!(
            "{name}: a task needs {need}, the largest worker has {have}"
        ))
    }

    /// Forgets capacities that did not come back, and looks at the jobs again.
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

/// Tasks of a job that run at the same time at least.
fn concurrent_tasks(job: &zinnia_types::Job) -> u64 {
    if job.class == Class::Gang {
        job.tasks.into()
    } else {
        1
    }
}

/// The first dimension in which `need` exceeds `have`.
fn first_shortage(need: &Resources, have: &Resources) -> (&'static str, u64, u64) {
    if need.gpu > have.gpu {
        ("accelerators", need.gpu, have.gpu)
    } else if need.mem > have.mem {
        ("memory in MiB", need.mem, have.mem)
    } else {
        ("processor in thousandths of a core", need.cpu, have.cpu)
    }
}
