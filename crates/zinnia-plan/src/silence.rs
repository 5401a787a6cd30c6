//! Workers that do not answer: when the renewal of their leases stopped.
//!
//! The leader tells the other members through the log, so that a new leader counts the wait for
//! these leases from that entry and not from its own term.

use std::collections::BTreeMap;

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

/// Number of entries whose time of application a member keeps. For older ones the wait counts from
/// the term of the new leader.
const MAX_TIMES: u64 = 1_024;

/// Interval after which a proposed change is proposed again if it was not applied.
const RETRY_MS: u64 = 400;

/// The last renewal of a worker's lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Silence {
    /// Number of the entry that stopped the renewal, as in [`State::lease_entries`].
    pub number: u64,
    /// Time, in milliseconds, after which the leases that it had at the proposal have expired.
    pub wait_ms: u64,
    /// The same for the runs that an earlier incarnation received.
    pub received_ms: u64,
}

/// When a member applied the entries that list workers whose leases are renewed no more, or again, on
/// its own clock.
///
/// An entry is applied after it was proposed, so that a lease which was granted before has expired
/// once its length has passed since the application.
#[derive(Debug, Default)]
pub struct LeaseTimes {
    times: BTreeMap<u64, Time>,
}

impl LeaseTimes {
    /// Records that the latest entry in `state` was applied at `now`.
    pub fn applied(&mut self, state: &State, now: Time) {
        let known = self.times.last_key_value().map_or(0, |(number, _)| *number);
        let oldest = state.lease_entries.saturating_sub(MAX_TIMES);
        for number in known.max(oldest)..state.lease_entries {
            self.times.insert(number + 1, now);
        }
        while self
            .times
            .first_key_value()
            .is_some_and(|(number, _)| *number <= oldest)
        {
            self.times.pop_first();
        }
    }

    /// Forgets all times. Numbers of a state from a snapshot may count other entries.
    pub fn clear(&mut self) {
        self.times.clear();
    }

    /// When this member applied the entry with this number.
    pub(crate) fn get(&self, number: u64) -> Option<Time> {
        self.times.get(&number).copied()
    }
}

impl State {
    pub(crate) fn apply_lease_changes(&mut self, batch: &Batch) {
        let Some(changes) = &batch.lease_changes else {
            // A leader of an earlier build renews leases without an entry.
            for worker in self.workers.values_mut() {
                worker.silence = None;
            }
            return;
        };
        for received in &changes.received {
            if let Some(task) = self.task_mut(received.task)
                && task.run == received.run
                && task.worker.is_some()
            {
                task.received = Some(received.born);
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
                    worker.answered.get_or_insert(number);
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
    /// Requests the entry that tells which runs of tasks that are to last were received. Only these must
    /// start again within a bound, and an entry for each run of other tasks would double the log.
    pub(crate) fn tell_received(&mut self, state: &State, plan: &mut Plan) {
        for (_, view, worker) in current_workers(&mut self.views, state) {
            for key in view.new_runs.drain(..) {
                let is_lasting = state.step(key.0).is_some_and(|s| s.long_running);
                let is_told = state.task(key.0).is_none_or(|t| t.received.is_some());
                if is_lasting && !is_told && worker.runs.contains(&key) {
                    plan.lease_changes.received.push(ReceivedRun {
                        task: key.0,
                        run: key.1,
                        born: view.born,
                    });
                }
            }
        }
    }

    /// Requests the entry that stops the renewal of the leases of workers that do not answer.
    pub(crate) fn stop_renewals(&mut self, state: &State, now: Time, plan: &mut Plan) {
        for (name, view, worker) in current_workers(&mut self.views, state) {
            if worker.runs.is_empty() || worker.silence.is_some() {
                continue;
            }
            let is_open = |at: Time| now.since(at) < RETRY_MS;
            let is_proposed = view.stop_proposed.is_some();
            if (view.renews_no_lease() || is_proposed) && !view.stop_proposed.is_some_and(is_open) {
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
