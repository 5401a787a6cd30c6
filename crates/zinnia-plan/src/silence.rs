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
use crate::State;
use crate::lease;
use crate::worker_view::WorkerView;
use crate::worker_view::current_workers;

/// Number of entries whose time of application a member keeps. For older ones the wait counts from
/// the term of the new leader.
const MAX_TIMES: usize = 1_024;

/// Interval after which a proposed change is proposed again if it was not applied.
const RETRY_MS: u64 = 400;

/// The last renewal of a worker's lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Silence {
    /// Number of the entry that stopped the renewal, as in [`State::silences`].
    pub number: u64,
    /// Longest lease, in milliseconds, that the worker may have had when the entry was proposed.
    pub lease_ms: u64,
}

/// When a member applied the entries that stopped the renewal of leases, on its own clock.
///
/// An entry is applied after it was proposed, so that a lease has expired everywhere once its length
/// has passed since the application.
#[derive(Debug, Default)]
pub struct SilenceTimes {
    times: BTreeMap<u64, Time>,
}

impl SilenceTimes {
    /// Records that the latest entry in `state` was applied at `now`.
    pub fn applied(&mut self, state: &State, now: Time) {
        if state.silences == 0 {
            return;
        }
        self.times.entry(state.silences).or_insert(now);
        if self.times.len() > MAX_TIMES {
            self.times.pop_first();
        }
    }

    /// Forgets all times. Numbers of a state from a snapshot may count other entries.
    pub fn clear(&mut self) {
        self.times.clear();
    }

    /// Until when the leases of silent workers may last, by the name of the worker.
    pub(crate) fn lease_ends(&self, state: &State) -> BTreeMap<String, (i64, Time)> {
        let lease_end = |silence: Silence| {
            let at = self.times.get(&silence.number)?;
            Some(at.after(lease::max_duration_ms(silence.lease_ms)))
        };
        let silent = state.workers.iter().filter_map(|(name, worker)| {
            let until = lease_end(worker.silence?)?;
            Some((name.clone(), (worker.incarnation.born, until)))
        });
        silent.collect()
    }
}

impl State {
    pub(crate) fn apply_lease_changes(&mut self, batch: &Batch) {
        let (Some(changes), Some(lease_ms)) = (&batch.lease_changes, batch.lease_bound) else {
            // A leader of an earlier build renews leases without an entry.
            for worker in self.workers.values_mut() {
                worker.silence = None;
            }
            return;
        };
        for name in &changes.resumed {
            if let Some(worker) = self.workers.get_mut(name) {
                worker.silence = None;
            }
        }
        if changes.stopped.is_empty() {
            return;
        }
        self.silences += 1;
        let silence = Silence {
            number: self.silences,
            lease_ms,
        };
        for name in &changes.stopped {
            if let Some(worker) = self.workers.get_mut(name) {
                worker.silence.get_or_insert(silence);
            }
        }
    }
}

impl WorkerView {
    /// Whether this leader has renewed no lease of the worker since its last answer.
    fn renews_no_lease(&self) -> bool {
        self.failed_calls > 0 || !self.knows_clock()
    }
}

impl Leader {
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
                plan.lease_changes.stopped.push(name.to_owned());
            }
        }
    }

    /// Processes the application of an entry that changes which leases are renewed.
    pub fn lease_changes_applied(&mut self, changes: &LeaseChanges, now: Time) {
        for name in &changes.stopped {
            if let Some(view) = self.views.get_mut(name) {
                view.stop_proposed = None;
            }
        }
        for name in &changes.resumed {
            if let Some(view) = self.views.get_mut(name) {
                view.next_poll = view.next_poll.min(now);
            }
        }
    }
}
