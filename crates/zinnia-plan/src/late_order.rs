//! Start orders without an answer, which may still be carried out.
//!
//! An incarnation that has seen a higher fencing token ignores such an order. The next incarnation of the same
//! worker has seen no token and carries it out. A task that runs elsewhere by then would run twice, so until the
//! order can no longer arrive the task starts again on the worker of the order only, which never has two runs of
//! a task. A task that is to last must run again within a bound: it waits no longer than for an expired lease, and
//! only while the worker does not answer.

use serde::Deserialize;
use serde::Serialize;
use zinnia_types::Time;

use crate::Leader;
use crate::LeaseChanges;
use crate::State;
use crate::Step;
use crate::Task;
use crate::TaskId;
use crate::inherited::MAX_CLOCK_SKEW_MS;
use crate::inherited::MAX_ORDER_DELAY_MS;
use crate::lease;
use crate::placement::PlacementPass;
use crate::waiting::WaitingStep;
use crate::worker_index::WorkerIndex;

/// Number of unanswered orders in a row after which a task is not started on the worker any more. It then waits
/// until the last one can no longer arrive.
const MAX_ATTEMPTS: u32 = 3;

/// A start order without an answer, as an entry of the log tells it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnansweredOrder {
    /// Task that the order starts.
    pub task: TaskId,
    /// Number of the run within the task.
    pub run: u32,
    /// Term of the leader that sent it.
    pub term: u64,
    /// When the order was sent, on the clock of that leader.
    pub sent_at: u64,
    /// Time since then at the proposal, in milliseconds.
    pub age_ms: u64,
}

/// The latest start order of a task that got no answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LateOrder {
    /// Worker that the order was sent to.
    #[serde(rename = "w")]
    pub(crate) worker: String,
    /// Run that the order starts.
    #[serde(rename = "r")]
    pub(crate) run: u32,
    /// Number of orders to this worker in a row that got no answer.
    #[serde(rename = "n")]
    attempts: u32,
    /// Term of the leader that sent it.
    #[serde(rename = "t")]
    term: u64,
    /// When it was sent, on the clock of that leader.
    #[serde(rename = "s")]
    sent_at: u64,
    /// When it was sent, in milliseconds since the Unix epoch.
    #[serde(rename = "m")]
    sent_ms: i64,
}

impl State {
    /// Applies what an entry says about orders without an answer.
    pub(crate) fn apply_unanswered(&mut self, changes: &LeaseChanges) {
        let at_ms = self.at_ms;
        for order in &changes.unanswered {
            let Some(task) = self.task_mut(order.task).filter(|t| t.run == order.run) else {
                continue;
            };
            let Some(worker) = &task.worker else {
                continue;
            };
            let earlier = task.late_order.as_ref().filter(|o| o.worker == *worker);
            let age_ms = i64::try_from(order.age_ms).unwrap_or(i64::MAX);
            let late_order = LateOrder {
                worker: worker.clone(),
                run: order.run,
                attempts: earlier.map_or(0, |o| o.attempts) + 1,
                term: order.term,
                sent_at: order.sent_at,
                sent_ms: at_ms.saturating_sub(age_ms),
            };
            task.late_order = Some(Box::new(late_order));
        }
    }
}

impl Task {
    /// Records that a run is known to have begun. An order is carried out once, so that of this run binds the task no
    /// longer; an earlier one still does, but its worker answers orders again.
    pub(crate) fn order_carried_out(&mut self, run: u32) {
        self.late_order.take_if(|o| o.run == run);
        if let Some(order) = &mut self.late_order {
            order.attempts = 0;
        }
    }
}

/// Which orders without an answer may still be carried out, from the view of a leader.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OrderWindow {
    term: u64,
    term_start: Time,
    /// Time from the sending of an order until a run that it has started is known.
    max_ms: u64,
    /// The same for tasks that are to last.
    lasting_ms: u64,
}

impl OrderWindow {
    /// Whether the order may have started a run, or may still do so, that is not known yet.
    pub(crate) fn is_open(&self, state: &State, order: &LateOrder, now: Time) -> bool {
        self.is_within(state, order, now, self.max_ms)
    }

    fn is_within(&self, state: &State, order: &LateOrder, now: Time, max_ms: u64) -> bool {
        if order.term == self.term {
            return now.since(Time(order.sent_at)) < max_ms;
        }
        // Earlier leaders sent their orders before this term. Wall clocks may differ, so that they only show that
        // an order is far too old.
        let longest_ms = i64::try_from(max_ms + MAX_CLOCK_SKEW_MS).unwrap_or(i64::MAX);
        let is_old = state.at_ms.saturating_sub(order.sent_ms) > longest_ms;
        !is_old && now.since(self.term_start) < max_ms
    }
}

impl Leader {
    pub(crate) fn order_window(&self) -> OrderWindow {
        OrderWindow {
            term: self.term,
            term_start: self.term_start,
            max_ms: MAX_ORDER_DELAY_MS + self.settings.silence_ms,
            lasting_ms: lease::max_duration_ms(self.settings.lease_ms),
        }
    }

    /// Requests the entry about orders that got no answer, so that the next leader knows of them.
    pub(crate) fn record_unanswered(&mut self, now: Time, changes: &mut LeaseChanges) {
        let term = self.term;
        for view in self.views.values_mut() {
            for (task, run) in view.unanswered.drain(..) {
                let Some(order) = view.orders.get(&(task, run)) else {
                    continue;
                };
                changes.unanswered.push(UnansweredOrder {
                    task,
                    run,
                    term,
                    sent_at: order.sent_at.0,
                    age_ms: now.since(order.sent_at),
                });
            }
        }
    }
}

/// Workers on which a task may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Binding {
    /// Any that suits it.
    Any,
    /// This one if it has room, else any.
    Preferred(WorkerIndex),
    /// No other than this one.
    Only(WorkerIndex),
    /// None for now.
    Wait,
}

/// A member of a gang that may start on one worker only.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BoundMember {
    /// Index of the task.
    pub(crate) index: usize,
    pub(crate) worker: WorkerIndex,
}

impl PlacementPass<'_> {
    /// Members of a gang that may start on one worker only, by index; `None` if one may start nowhere for now.
    pub(crate) fn bound_members(&self, waiting: &WaitingStep<'_>) -> Option<Vec<BoundMember>> {
        let mut members = Vec::new();
        for (index, task) in waiting.state.tasks.iter().enumerate() {
            match self.binding(waiting.step, task) {
                Binding::Any | Binding::Preferred(_) => {}
                Binding::Only(worker) => members.push(BoundMember { index, worker }),
                Binding::Wait => return None,
            }
        }
        Some(members)
    }

    /// Tells where a task may start while an order without an answer may still be carried out.
    pub(crate) fn binding(&self, step: &Step, task: &Task) -> Binding {
        let Some(order) = task.late_order.as_deref() else {
            return Binding::Any;
        };
        if !self.orders.is_open(self.state, order, self.now) {
            return Binding::Any;
        }
        let worker = self.indices.get(&order.worker);
        if step.long_running {
            return self.lasting_binding(order, worker);
        }
        match worker {
            Some(worker) if order.attempts < MAX_ATTEMPTS && task.failed_on != order.worker => {
                Binding::Only(worker)
            }
            _ => Binding::Wait,
        }
    }

    fn lasting_binding(&self, order: &LateOrder, worker: Option<WorkerIndex>) -> Binding {
        let view = self.views.get(&order.worker);
        let answers = view.is_some_and(|v| v.failed_calls == 0 && v.confirmed_fence > 0);
        let lasting_ms = self.orders.lasting_ms;
        match worker {
            Some(worker) if answers && order.attempts < MAX_ATTEMPTS => Binding::Preferred(worker),
            _ if answers => Binding::Any,
            _ if self
                .orders
                .is_within(self.state, order, self.now, lasting_ms) =>
            {
                Binding::Wait
            }
            _ => Binding::Any,
        }
    }
}
