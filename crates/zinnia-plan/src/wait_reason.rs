//! Why steps wait for workers, for logs and metrics.

use std::collections::BTreeMap;

use crate::StepId;
use crate::waiting::WaitingStep;

/// Why a step waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WaitReason {
    /// It leaves capacity free for urgent steps.
    Headroom,
    /// The limit of its team allows no further task.
    TeamLimit,
    /// The placement policy is being queried.
    OpenQuery,
    /// The steps in front of it take what becomes free before a ticket for it would expire.
    Turn,
    /// No process may send a query to the policy now.
    QueryBudget,
    /// No worker that may run it has enough free resources.
    Capacity,
    /// A start order without an answer may still be carried out, and no task may start elsewhere meanwhile.
    OpenOrder,
    /// The pass considers a bounded number of steps; a later pass considers this one.
    Postponed,
    /// It could not start if all tasks ended: the workers that may run it, or the limit of its team, are too
    /// small.
    Infeasible,
}

impl WaitReason {
    /// All reasons.
    pub const ALL: [Self; 9] = [
        Self::Headroom,
        Self::TeamLimit,
        Self::OpenQuery,
        Self::Turn,
        Self::QueryBudget,
        Self::Capacity,
        Self::OpenOrder,
        Self::Postponed,
        Self::Infeasible,
    ];

    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Headroom => "headroom",
            Self::TeamLimit => "team_limit",
            Self::OpenQuery => "open_query",
            Self::Turn => "turn",
            Self::QueryBudget => "query_budget",
            Self::Capacity => "capacity",
            Self::OpenOrder => "open_order",
            Self::Postponed => "postponed",
            Self::Infeasible => "infeasible",
        }
    }
}

/// The step that has waited for longest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OldestStep {
    /// The step.
    pub step: StepId,
    /// Name of its queue.
    pub queue: String,
    /// Time since its job was due, in milliseconds.
    pub age_ms: u64,
    /// Why it waits.
    pub reason: WaitReason,
}

/// Steps that wait after a planning pass.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WaitingSteps {
    /// Number of steps by reason.
    pub counts: BTreeMap<WaitReason, u64>,
    /// The step that has waited for longest, if any waits.
    pub oldest: Option<OldestStep>,
}

impl WaitingSteps {
    pub(crate) fn add(&mut self, waiting: &WaitingStep<'_>, reason: WaitReason, wall_ms: i64) {
        *self.counts.entry(reason).or_default() += 1;
        let due_ms = waiting.job.due_ms(waiting.id.round);
        let age_ms = u64::try_from(wall_ms.saturating_sub(due_ms)).unwrap_or(0);
        if self.oldest.as_ref().is_none_or(|o| age_ms > o.age_ms) {
            self.oldest = Some(OldestStep {
                step: waiting.id,
                queue: waiting.queue.name.clone(),
                age_ms,
                reason,
            });
        }
    }
}
