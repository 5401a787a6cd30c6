//! Assignment of runs to workers in the replicated state.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::mem;

use crate::Start;
use crate::State;
use crate::Status;
use crate::StepId;
use crate::TaskId;

/// What an entry of starts needs to know of each step only once, since it may start many tasks of it.
#[derive(Default)]
struct StepChecks {
    /// Whether the dependencies of a step are complete.
    ready: BTreeMap<StepId, bool>,
    /// Whether the state allows the starts of all members of a gang, by the number of the run.
    gangs: BTreeMap<(StepId, u32), bool>,
}

impl State {
    /// Whether the state allows a start: the incarnation is current and accepts tasks, the job is
    /// open, the dependencies are complete, and the task has no run.
    fn may_start(&self, start: &Start, checks: &mut StepChecks) -> bool {
        let id = start.task;
        let Some(job) = self.jobs.get(&id.job) else {
            return false;
        };
        let known = self.workers.get(&start.worker);
        let accepts_tasks =
            known.is_some_and(|w| w.incarnation.born == start.born && self.accepts_tasks(w));
        let task = job
            .rounds
            .get(id.round as usize)
            .and_then(|r| r.get(id.step as usize))
            .and_then(|s| s.tasks.get(id.index as usize));
        let is_waiting = task.is_some_and(|t| !t.done && t.worker.is_none() && start.run > t.run);
        let ready = checks.ready.entry(StepId::from(id));
        accepts_tasks
            && is_waiting
            && job.status == Status::Open
            && *ready.or_insert_with(|| job.is_ready(id.round, id.step))
    }

    /// Tells for each gang in an entry whether the state allows the starts of all its members.
    fn check_gangs(&self, starts: &[Start], checks: &mut StepChecks) {
        let mut members: BTreeMap<(StepId, u32), BTreeSet<u32>> = BTreeMap::new();
        for start in starts {
            let is_member = self.step(start.task).is_some_and(|s| s.gang);
            if is_member && self.may_start(start, checks) {
                let gang = (StepId::from(start.task), start.run);
                members.entry(gang).or_default().insert(start.task.index);
            }
        }
        for ((step, run), indices) in members {
            let first = TaskId::from((step.job, step.round, step.step, 0));
            let is_whole = self
                .step(first)
                .is_some_and(|s| indices.len() == s.count as usize);
            checks.gangs.insert((step, run), is_whole);
        }
    }

    pub(crate) fn apply_starts(&mut self, starts: &[Start]) -> Vec<Start> {
        let mut checks = StepChecks::default();
        self.check_gangs(starts, &mut checks);
        let mut accepted = Vec::new();
        for start in starts {
            let gang = (StepId::from(start.task), start.run);
            let is_allowed = match self.step(start.task) {
                Some(step) if step.gang => checks.gangs.get(&gang).is_some_and(|whole| *whole),
                Some(_) => true,
                None => false,
            };
            // A task may be listed twice.
            if is_allowed && self.may_start(start, &mut checks) {
                self.assign(start);
                accepted.push(start.clone());
            }
        }
        accepted
    }

    fn assign(&mut self, start: &Start) {
        let (id, at) = (start.task, self.at_ms);
        let Some((step, state)) = self.step_mut(id) else {
            return;
        };
        let (demand, resources) = (step.demand(), step.resources);
        let counts = (u32::from(step.best_effort), u32::from(step.is_service()));
        state.assigned += 1;
        if let Some(task) = state.tasks.get_mut(id.index as usize) {
            task.run = start.run;
            task.worker = Some(start.worker.clone());
            task.started_ms = at;
            task.late_order.take_if(|o| o.worker != start.worker);
        }
        if let Some(worker) = self.workers.get_mut(&start.worker) {
            worker.runs.insert((id, start.run));
            worker.used = worker.used.plus(&demand);
            worker.best_effort += counts.0;
            worker.services += counts.1;
            worker.last_start_ms = at;
            // The order of the start contains a lease.
            worker.permit_renewal();
            // A worker gets runs only after it has answered.
            if worker.replaced_ms.is_some() && worker.answer_entry.is_none() {
                self.lease_entries += 1;
                worker.answer_entry = Some(self.lease_entries);
            }
            // The worker has answered since the runs were released.
            worker.released.clear();
        }
        if let Some(job) = self.jobs.get_mut(&id.job) {
            job.begun = true;
            job.assigned += 1;
            let usage = self.usage.entry(job.team.clone()).or_default();
            *usage = usage.plus(&resources);
        }
    }

    /// Removes a run from its worker. Returns false if the run is not assigned.
    pub(crate) fn unassign(&mut self, id: TaskId, run: u32) -> bool {
        let Some((step, state)) = self.step_mut(id) else {
            return false;
        };
        let (demand, resources) = (step.demand(), step.resources);
        let counts = (u32::from(step.best_effort), u32::from(step.is_service()));
        let Some(task) = state.tasks.get_mut(id.index as usize) else {
            return false;
        };
        if task.run != run {
            return false;
        }
        let Some(name) = task.worker.take() else {
            return false;
        };
        let started_ms = mem::take(&mut task.started_ms);
        task.received = None;
        state.assigned -= 1;
        if let Some(worker) = self.workers.get_mut(&name) {
            worker.runs.remove(&(id, run));
            worker.used = worker.used.minus(&demand);
            worker.best_effort = worker.best_effort.saturating_sub(counts.0);
            worker.services = worker.services.saturating_sub(counts.1);
        }
        if let Some(job) = self.jobs.get_mut(&id.job) {
            job.assigned -= 1;
            if let Some(usage) = self.usage.get_mut(&job.team) {
                *usage = usage.minus(&resources);
            }
        }
        self.clear_survivor(id, started_ms);
        true
    }

    pub(crate) fn release_run(&mut self, id: TaskId, run: u32, checkpoint: &str) {
        if self.unassign(id, run) {
            self.store_checkpoint(id, checkpoint);
            self.release_ended(id.job);
        }
    }
}
