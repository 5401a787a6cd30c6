//! Leases that a worker may have and that the current leader did not grant: those of earlier leaders,
//! and those of delayed orders to an earlier incarnation of the worker.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::mem;

use zinnia_types::Time;

use crate::Leader;
use crate::LeaseTimes;
use crate::Silence;
use crate::State;
use crate::Task;
use crate::TaskId;
use crate::Worker;
use crate::lease;
use crate::worker_view::OrderState;
use crate::worker_view::SentOrder;
use crate::worker_view::WorkerView;

/// Longest time in which an order without an answer may still be carried out.
pub(crate) const MAX_ORDER_DELAY_MS: u64 = 12_000;
/// Longest difference between the wall clocks of two leaders.
pub(crate) const MAX_CLOCK_SKEW_MS: u64 = 5_000;

/// The longest lease of a worker that this leader did not grant.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Inherited {
    /// Its length in milliseconds.
    pub(crate) lease_ms: u64,
    /// When it has expired.
    pub(crate) until: Time,
}

impl Inherited {
    fn new(lease_ms: u64, granted_at: Time) -> Self {
        Self {
            lease_ms,
            until: granted_at.after(lease::max_duration_ms(lease_ms)),
        }
    }

    /// Longest time, on the worker's clock, that it may last after a reading that arrives at `now`.
    pub(crate) fn remaining_ms(&self, now: Time) -> u64 {
        self.lease_ms.min(self.until.since(now))
    }
}

/// Runs that an earlier incarnation of a worker received. They end with its leases, also if the current
/// incarnation never answers, since an order is carried out once.
#[derive(Debug)]
pub(crate) struct Predecessor {
    pub(crate) runs: BTreeSet<(TaskId, u32)>,
    /// When the leases of that incarnation have expired.
    pub(crate) until: Time,
}

/// What a new leader knows about the leases of a worker from the log.
#[derive(Debug, Default)]
pub(crate) struct KnownLeases {
    /// Incarnation that the times refer to.
    born: i64,
    /// Until when the leases of the worker last if it is silent.
    silent_until: Option<Time>,
    /// Until when the leases of its earlier incarnation last if it is silent.
    received_until: Option<Time>,
    /// When it had answered for the first time, if it replaced an earlier incarnation.
    answered_at: Option<Time>,
}

/// Returns what this member knows about the leases of each worker at the start of a term.
pub(crate) fn known_leases(state: &State, times: &LeaseTimes) -> BTreeMap<String, KnownLeases> {
    let known = |worker: &Worker| {
        let silence = worker.silence;
        let lease_end = |wait: fn(Silence) -> u64| {
            let silence = silence?;
            Some(times.get(silence.number)?.after(wait(silence)))
        };
        KnownLeases {
            born: worker.incarnation.born,
            silent_until: lease_end(|s| s.wait_ms),
            received_until: lease_end(|s| s.received_ms),
            answered_at: worker.answer_entry.and_then(|number| times.get(number)),
        }
    };
    let is_known = |k: &KnownLeases| k.silent_until.is_some() || k.answered_at.is_some();
    let all = state
        .workers
        .iter()
        .map(|(name, w)| (name.clone(), known(w)));
    all.filter(|(_, k)| is_known(k)).collect()
}

/// Longest time until a lease of a delayed order to an earlier incarnation has expired.
fn max_delayed_ms(max_lease_ms: u64) -> u64 {
    MAX_ORDER_DELAY_MS + lease::max_duration_ms(max_lease_ms)
}

impl State {
    /// Runs whose start order cannot have reached the incarnation that was born at `born`, since an earlier
    /// one carried it out or it is too old.
    fn runs_of_predecessor(&self, name: &str, born: i64) -> BTreeSet<(TaskId, u32)> {
        let Some(worker) = self.workers.get(name) else {
            return BTreeSet::new();
        };
        let replaced_ms = match worker.incarnation.born == born {
            true => worker.replaced_ms.unwrap_or(i64::MIN),
            // The new incarnation is not in the log yet.
            false => self.at_ms,
        };
        let delay_ms = i64::try_from(MAX_ORDER_DELAY_MS + MAX_CLOCK_SKEW_MS).unwrap_or(i64::MAX);
        let is_settled = |(id, run): &&(TaskId, u32)| {
            let is_old = |t: &Task| t.started_ms.saturating_add(delay_ms) < replaced_ms;
            let is_received = |t: &Task| t.received.is_some_and(|by| by < born);
            let task = self.task(*id).filter(|t| t.run == *run);
            task.is_some_and(|t| is_received(t) || is_old(t))
        };
        worker.runs.iter().filter(is_settled).copied().collect()
    }
}

impl WorkerView {
    /// Returns, once, the assigned runs that have ended with the leases of the incarnation before.
    pub(crate) fn ended_runs_of_predecessor(
        &mut self,
        assigned: &BTreeSet<(TaskId, u32)>,
        now: Time,
    ) -> Vec<(TaskId, u32, String)> {
        let ended = self.predecessor.take_if(|p| now >= p.until);
        let runs = ended.map(|p| p.runs).unwrap_or_default();
        let still_assigned = assigned.intersection(&runs);
        still_assigned
            .map(|&(id, run)| (id, run, String::new()))
            .collect()
    }

    /// The orders without an answer, which the next incarnation may carry out.
    fn take_unanswered(&mut self) -> BTreeMap<(TaskId, u32), SentOrder> {
        let mut orders = mem::take(&mut self.orders);
        orders.retain(|_, o| !matches!(o.state, OrderState::Accepted { .. }));
        for order in orders.values_mut() {
            order.state = OrderState::Unknown;
        }
        orders
    }

    /// What remains of this incarnation once another one has replaced it.
    fn predecessor(&mut self, now: Time) -> Predecessor {
        let until = now.after(self.remaining_lease_ms(now));
        let mut runs = self.received_runs();
        let Some(earlier) = self.predecessor.take() else {
            return Predecessor { runs, until };
        };
        runs.extend(earlier.runs);
        Predecessor {
            runs,
            until: until.max(earlier.until),
        }
    }
}

impl Leader {
    /// Returns the view of an incarnation, which is created if it is new.
    pub(crate) fn view(
        &mut self,
        state: &State,
        worker: &str,
        born: i64,
        now: Time,
    ) -> &mut WorkerView {
        let index = self.indices.assign(worker);
        let base_fence = self.base_fence;
        let max_lease_ms = self.settings.max_lease_ms;
        let (inherited, predecessor) = self.inherited(state, worker, born);
        let view = self.views.entry(worker.to_owned()).or_insert_with(|| {
            let mut view = WorkerView::new(index, born, base_fence, now, inherited);
            view.predecessor = predecessor;
            view
        });
        if view.born < born {
            // The higher token rejects delayed orders, and their leases may last from their latest
            // possible arrival.
            let inherited = Inherited {
                lease_ms: max_lease_ms,
                until: now.after(max_delayed_ms(max_lease_ms)),
            };
            let mut predecessor = view.predecessor(now);
            predecessor
                .runs
                .extend(state.runs_of_predecessor(worker, born));
            let orders = view.take_unanswered();
            *view = WorkerView::new(index, born, view.fence + 1, now, inherited);
            view.predecessor = Some(predecessor);
            view.unanswered = orders.keys().copied().collect();
            view.orders = orders;
        }
        view
    }

    /// Returns the longest lease that a worker may have at the start of the term, and the runs that do
    /// not depend on it.
    fn inherited(&self, state: &State, name: &str, born: i64) -> (Inherited, Option<Predecessor>) {
        let granted = Inherited::new(self.inherited_lease_ms, self.term_start);
        let known = self.known_leases.get(name).filter(|k| k.born == born);
        let max_lease_ms = self.settings.max_lease_ms;
        let worker = state.workers.get(name);
        // Delayed orders to the previous incarnation may have reached the current one, whose clock
        // restarted, so that it shortens their leases to the longest that it accepts.
        let replaced =
            worker.filter(|_| state.was_replaced_within(name, max_delayed_ms(max_lease_ms)));
        let silent_until = known.and_then(|k| k.silent_until);
        let answered_at = known.and_then(|k| k.answered_at);
        let longest = match (replaced, answered_at) {
            (None, _) => granted,
            (Some(_), Some(at)) => {
                // Since its first answer the worker has ignored delayed orders.
                let delayed = Inherited::new(max_lease_ms, at.min(self.term_start));
                Inherited {
                    until: delayed.until.max(granted.until),
                    ..delayed
                }
            }
            (Some(_), None) => Inherited {
                lease_ms: max_lease_ms,
                until: self.term_start.after(max_delayed_ms(max_lease_ms)),
            },
        };
        let inherited = Inherited {
            until: silent_until.map_or(longest.until, |end| end.min(longest.until)),
            ..longest
        };
        if replaced.is_none() || answered_at.is_some() {
            return (inherited, None);
        }
        let received_until = known.and_then(|k| k.received_until);
        let predecessor = Predecessor {
            runs: state.runs_of_predecessor(name, born),
            until: received_until.map_or(granted.until, |end| end.min(granted.until)),
        };
        (inherited, Some(predecessor))
    }
}
