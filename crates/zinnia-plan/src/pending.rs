//! Number of jobs that have not begun.

use zinnia_types::JobId;

use crate::Job;
use crate::Leader;
use crate::Queue;
use crate::State;
use crate::Status;
use crate::TaskId;
use crate::worker_view::OrderState;

impl Leader {
    /// Number of open jobs of a queue of which no worker has started a task.
    ///
    /// A task that is assigned to a worker has not begun before the worker shows it: its order may never arrive.
    /// After a change of the leader, a job whose runs have neither ended nor been reported again counts, too.
    pub fn pending(&self, state: &State, queue: &Queue) -> usize {
        let jobs = state.live.iter().filter_map(|id| {
            let job = state.jobs.get(id)?;
            let is_open = job.is_of(queue) && job.status == Status::Open;
            is_open.then_some((*id, job))
        });
        let has_begun = |id, job: &Job| job.ran || (job.begun && self.runs_somewhere(id, job));
        jobs.filter(|(id, job)| !has_begun(*id, job)).count()
    }

    /// Whether a worker has accepted or reported a run of the job that is assigned to it.
    fn runs_somewhere(&self, id: JobId, job: &Job) -> bool {
        (0..).zip(&job.rounds).any(|(round, steps)| {
            (0..).zip(steps).any(|(step, state)| {
                (0..).zip(&state.tasks).any(|(index, task)| {
                    let id = TaskId {
                        job: id,
                        round,
                        step,
                        index,
                    };
                    let worker = task.worker.as_deref();
                    worker.is_some_and(|w| self.is_shown(w, id, task.run))
                })
            })
        })
    }

    fn is_shown(&self, worker: &str, task: TaskId, run: u32) -> bool {
        self.views.get(worker).is_some_and(|view| {
            let order = view.orders.get(&(task, run));
            let is_accepted = order.is_some_and(|o| matches!(o.state, OrderState::Accepted { .. }));
            is_accepted || view.progress.contains_key(&(task, run))
        })
    }
}
