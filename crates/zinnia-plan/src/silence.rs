//! Workers whose leases are not renewed, because they do not answer.
//!
//! The leader records that in the log, so that a new leader counts the wait for these leases from the
//! entry and not from its own term.

use serde::Deserialize;
use serde::Serialize;
use zinnia_types::Time;

use crate::Batch;
use crate::Leader;
use crate::LeaseChanges;
use crate::Plan;
use crate::ReceivedRun;
use crate::State;
use crate::StoppedRenewal;
use crate::Worker;
use crate::worker_view::WorkerView;
use crate::worker_view::current_workers;

/// The end of the renewal of a worker's leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Silence {
    /// Number of the entry that stopped the renewal, as in [`State::lease_entries`].
    pub number: u64,
    /// Time, in milliseconds, after which the leases that it had at the proposal have expired.
    pub wait_ms: u64,
    /// The same for the runs that an earlier incarnation received.
    pub received_ms: u64,
}

impl State {
    /// Applies what an entry says about leases.
    pub(crate) fn apply_lease_changes(&mut self, batch: &Batch) {
        let Some(changes) = &batch.lease_changes else {
            // A leader of an earlier build renews leases without an entry.
            for worker in self.workers.values_mut() {
                worker.silence = None;
            }
            return;
        };
        self.apply_unanswered(changes);
        for received in &changes.received {
            if let Some(task) = self.task_mut(received.task)
                && task.run == received.run
                && task.worker.is_some()
            {
                task.received = Some(received.born);
                task.order_carried_out(received.run);
            }
        }
        if changes.stopped.is_empty() && changes.resumed.is_empty() {
            return;
        }
        self.lease_entries += 1;
        let number = self.lease_entries;
        for resumed in &changes.resumed {
            if let Some(worker) = self.incarnation_mut(&resumed.worker, resumed.born) {
                worker.permit_renewal();
                if worker.replaced_ms.is_some() {
                    worker.answer_entry.get_or_insert(number);
                }
            }
        }
        for stopped in &changes.stopped {
            // A start or a resumed renewal since the proposal may have granted a later lease.
            if let Some(worker) = self.incarnation_mut(&stopped.worker, stopped.born)
                && worker.permits == stopped.permits
            {
                worker.silence.get_or_insert(Silence {
                    number,
                    wait_ms: stopped.wait_ms,
                    received_ms: stopped.received_ms,
                });
            }
        }
    }

    fn incarnation_mut(&mut self, name: &str, born: i64) -> Option<&mut Worker> {
        let worker = self.workers.get_mut(name)?;
        (worker.incarnation.born == born).then_some(worker)
    }
}

impl Worker {
    /// Allows the renewal of the worker's leases.
    pub(crate) fn permit_renewal(&mut self) {
        self.permits += 1;
        self.silence = None;
    }
}

impl WorkerView {
    /// Whether this leader has renewed no lease of the worker since its last answer.
    fn renews_no_lease(&self) -> bool {
        self.failed_calls > 0 || !self.knows_clock()
    }
}

impl Leader {
    /// Requests the entry about received runs of tasks that are to last, and of those whose order counts as one
    /// without an answer. Only these must start again within a bound, and an entry for each run of other tasks
    /// would double the log.
    pub(crate) fn record_received(&mut self, state: &State, plan: &mut Plan) {
        for (_, view, worker) in current_workers(&mut self.views, state) {
            for key in view.new_runs.drain(..) {
                let is_lasting = state.step(key.0).is_some_and(|s| s.long_running);
                let task = state.task(key.0);
                let is_late = task.is_some_and(|t| t.late_order.is_some());
                let is_recorded = task.is_none_or(|t| t.received.is_some());
                if (is_lasting || is_late) && !is_recorded && worker.runs.contains(&key) {
                    plan.lease_changes.received.push(ReceivedRun {
                        task: key.0,
                        run: key.1,
                        born: view.born,
                    });
                }
            }
        }
    }

    /// Requests the entry that stops the renewal of the leases of workers that do not answer or have
    /// deregistered.
    pub(crate) fn stop_renewals(&mut self, state: &State, now: Time, plan: &mut Plan) {
        let retry_ms = self.settings.retry_ms;
        for (name, view, worker) in current_workers(&mut self.views, state) {
            if worker.runs.is_empty() || worker.silence.is_some() {
                continue;
            }
            match view.stop_proposed {
                Some(at) if now.since(at) < retry_ms => continue,
                None if !view.renews_no_lease() && !worker.left => continue,
                // The worker may answer again, but a proposed stop must be settled first.
                _ => {}
            }
            view.stop_proposed = Some(now);
            let wait_ms = view.remaining_lease_ms(now);
            let predecessor = view.predecessor.as_ref();
            plan.lease_changes.stopped.push(StoppedRenewal {
                worker: name.to_owned(),
                born: view.born,
                permits: worker.permits,
                wait_ms,
                received_ms: predecessor.map_or(wait_ms, |p| p.until.since(now)),
            });
        }
    }

    /// Processes the application of an entry that changes which leases are renewed.
    pub fn lease_changes_applied(&mut self, changes: &LeaseChanges, now: Time) {
        for stopped in &changes.stopped {
            if let Some(view) = self.views.get_mut(&stopped.worker) {
                view.stop_proposed = None;
            }
        }
        for resumed in &changes.resumed {
            if let Some(view) = self.views.get_mut(&resumed.worker) {
                view.next_poll = view.next_poll.min(now);
            }
        }
    }
}
