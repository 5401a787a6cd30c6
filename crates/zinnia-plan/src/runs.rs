//! Runs that the leader gives up: their lease has expired, they stalled or they are not wanted.

use zinnia_types::Time;

use crate::ExpiredLease;
use crate::Leader;
use crate::Plan;
use crate::Record;
use crate::RunOrder;
use crate::SilentWorker;
use crate::State;
use crate::Status;
use crate::Task;
use crate::TaskId;
use crate::inherited::MAX_ORDER_DELAY_MS;
use crate::worker_view::WorkerView;
use crate::worker_view::current_workers;

impl Leader {
    /// Reports workers with runs that have stopped answering, once for each silence.
    pub(crate) fn report_silent(&mut self, state: &State, now: Time, plan: &mut Plan) {
        for (name, view, worker) in current_workers(&mut self.views, state) {
            let is_silent = view.failed_calls > 0 && !worker.runs.is_empty();
            if is_silent && !view.reported_silent && !view.lease_expired {
                plan.silent.push(SilentWorker {
                    worker: name.to_owned(),
                    born: view.born,
                    runs: worker.runs.len(),
                    silent_ms: view.silent_ms(now),
                    wait_ms: view.remaining_lease_ms(now),
                    term_age_ms: now.since(self.term_start),
                });
            }
            view.reported_silent = is_silent;
        }
    }

    /// Releases the runs of workers whose leases have certainly expired.
    pub(crate) fn expire_leases(&mut self, state: &State, now: Time, plan: &mut Plan) {
        let term_start = self.term_start;
        let max_delay_ms = MAX_ORDER_DELAY_MS + self.settings.silence_ms;
        let window = self.order_window();
        let may_be_late = |task: &Task, run: u32| {
            let order = task.late_order.as_deref().filter(|o| o.run == run);
            order.is_some_and(|o| window.is_open(state, o, now))
        };
        for (name, view, worker) in current_workers(&mut self.views, state) {
            if worker.runs.is_empty() || view.lease_expired {
                continue;
            }
            let expired = |view: &WorkerView, runs: usize| ExpiredLease {
                worker: name.to_owned(),
                born: view.born,
                runs,
                silent_ms: view.silent_ms(now),
                term_age_ms: now.since(term_start),
            };
            if !view.leases_expired(now) {
                let ended = view.ended_runs_of_predecessor(&worker.runs, now);
                if !ended.is_empty() {
                    plan.expired.push(expired(view, ended.len()));
                    plan.records.push(Record::Release(ended));
                }
                continue;
            }
            let is_held = |key: &(TaskId, u32)| {
                let is_lasting = state.step(key.0).is_some_and(|step| step.long_running);
                let is_late = state.task(key.0).is_some_and(|t| may_be_late(t, key.1));
                !is_lasting && (is_late || view.may_still_arrive(*key, max_delay_ms, now))
            };
            let (held, ended): (Vec<_>, Vec<_>) = worker.runs.iter().partition(|key| is_held(key));
            if ended.is_empty() {
                continue;
            }
            view.lease_expired = held.is_empty();
            // The higher token rejects orders that are still in transit, and new tasks wait for an
            // answer that reports the active runs.
            view.fence += 1;
            view.confirmed_fence = 0;
            let checkpoint = |key| {
                view.progress
                    .get(&key)
                    .map_or("", |p| p.checkpoint.as_str())
            };
            let list = ended
                .iter()
                .map(|&&(t, r)| (t, r, checkpoint((t, r)).to_owned()));
            plan.records.push(Record::Release(list.collect()));
            plan.expired.push(expired(view, ended.len()));
        }
    }

    /// Stops runs that stalled, are no longer wanted or not assigned, or whose worker is about to end. The last ones
    /// can only start elsewhere once they have ended.
    pub(crate) fn stop_runs(&mut self, state: &State, now: Time, plan: &mut Plan) {
        let retry_ms = self.settings.retry_ms;
        let suspect_ms = self.settings.suspect_ms;
        for (name, view, worker) in current_workers(&mut self.views, state) {
            view.stop_times
                .retain(|_, at| now.since(*at) < retry_ms * 4);
            view.orders.retain(|key, _| worker.runs.contains(key));
            let strays: Vec<_> = view.strays.iter().copied().collect();
            for &(task, run) in worker.runs.iter().chain(&strays) {
                let is_due = |at: &Time| now.since(*at) >= retry_ms;
                let factor = view.stall_factor(&self.settings, now);
                let stalled = view
                    .progress
                    .get(&(task, run))
                    .zip(state.step(task))
                    .is_some_and(|(p, step)| p.is_stalled(step, &self.settings, factor));
                if stalled {
                    view.suspect_until = view.suspect_until.max(now.after(suspect_ms));
                }
                let leaves = worker.left || worker.draining && can_move(state, task);
                let is_stray = !worker.runs.contains(&(task, run));
                let slow = view
                    .is_slow
                    .then(|| view.progress.get(&(task, run)))
                    .flatten();
                let slow = slow.is_some_and(|p| {
                    let settings = &self.settings.slow_workers;
                    self.run_times.should_move(settings, state, task, p)
                });
                let unwanted =
                    leaves || stalled || slow || is_stray || !is_wanted(state, task, run);
                if unwanted && view.stop_times.get(&(task, run)).is_none_or(is_due) {
                    view.stop_times.insert((task, run), now);
                    plan.stops.push(RunOrder {
                        worker: name.to_owned(),
                        born: view.born,
                        addr: worker.incarnation.addr.clone(),
                        fence: view.fence,
                        task,
                        run,
                    });
                }
            }
        }
    }
}

/// Whether a run can be moved to another worker without the loss of work: the task resumes from a checkpoint,
/// which a stop saves, or lasts until it is cancelled.
fn can_move(state: &State, task: TaskId) -> bool {
    state
        .step(task)
        .is_some_and(|step| step.checkpoints || step.long_running)
}

/// Whether a run should continue: its job is open, and all members of its gang are assigned.
fn is_wanted(state: &State, task: TaskId, run: u32) -> bool {
    let Some(job) = state.jobs.get(&task.job) else {
        return false;
    };
    if job.status != Status::Open {
        return false;
    }
    let step = job
        .rounds
        .get(task.round as usize)
        .and_then(|r| r.get(task.step as usize));
    let (Some(states), Some(step)) = (step, job.spec.steps.get(task.step as usize)) else {
        return false;
    };
    // The members of a gang are assigned together, so that all of them have the same run while all have a worker.
    let is_current = states
        .tasks
        .get(task.index as usize)
        .is_some_and(|t| t.run == run);
    let is_whole = is_current && states.assigned as usize == states.tasks.len();
    !step.gang || states.is_done() || is_whole
}
