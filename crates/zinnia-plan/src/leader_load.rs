//! Bounds on the work that the leader does for waiting jobs.
//!
//! A planning pass considers a bounded number of waiting steps in the order of their rank, and some of the others
//! in rotation, so that none waits for ever. A step that is like one which has just found no room is not considered
//! at all: the free resources only decrease during a pass.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::IntakeSettings;
use crate::Resources;
use crate::Step;
use crate::StepId;
use crate::wait_reason::WaitReason;
use crate::waiting::WaitingStep;

/// Settings of the bounds on the leader's own work. Without them all waiting work is considered in each pass.
#[derive(Clone, Debug)]
pub struct LoadSettings {
    /// Whether the work of a planning pass, and the intake of new jobs, are bounded by the leader's own time.
    pub bounded: bool,
    /// Number of steps that a pass considers in the order of their rank.
    pub max_steps: usize,
    /// Number of further steps that a pass considers in rotation.
    pub rotation_steps: usize,
    /// Intake of new jobs by the leader's own time.
    pub intake: IntakeSettings,
}

impl Default for LoadSettings {
    fn default() -> Self {
        Self {
            bounded: false,
            max_steps: 192,
            rotation_steps: 16,
            intake: IntakeSettings::default(),
        }
    }
}

/// What one planning pass cost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PassCost {
    /// Steps that waited before the pass.
    pub waiting: usize,
    /// Steps that were compared with the workers.
    pub considered: usize,
    /// Steps that were left out because one like them had found no room.
    pub alike: usize,
    /// Steps that were left to a later pass.
    pub postponed: usize,
}

/// Requirements that decide whether any worker has room for a task of a step. Of steps with the same
/// requirements, none finds room after one has found none.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Requirements<'a> {
    queue: &'a str,
    team: &'a str,
    expired: bool,
    resources: [u64; 3],
    demand: [u64; 3],
    label: &'a str,
    best_effort: bool,
    long_running: bool,
    /// Whether it leaves headroom in the limit of its team.
    yields: bool,
}

impl<'a> Requirements<'a> {
    /// `None` for a step whose room also depends on its other tasks or on the placement policy.
    fn of(waiting: &WaitingStep<'a>, wall_ms: i64) -> Option<Self> {
        let step: &'a Step = waiting.step;
        let depends_on_others = step.gang || step.per_worker > 0 || waiting.queue.policy.is_some();
        let amounts = |r: &Resources| [r.cpu, r.mem, r.gpu];
        (!depends_on_others).then(|| Self {
            queue: &waiting.queue.name,
            team: &waiting.job.team,
            expired: waiting.expired,
            resources: amounts(&step.resources),
            demand: amounts(&step.demand()),
            label: &step.label,
            best_effort: step.best_effort,
            long_running: step.long_running,
            yields: waiting.leaves_team_headroom(wall_ms),
        })
    }
}

/// How to treat a waiting step in a pass.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Selected {
    /// Compare it with the workers.
    Consider,
    /// A step like it has found no room for this reason.
    LeaveOut(WaitReason),
    /// Leave it to a later pass.
    Postpone,
}

/// Selection of the steps that a pass considers.
pub(crate) struct StepSelection<'a> {
    max_steps: usize,
    wall_ms: i64,
    /// Steps that are considered in this pass whatever their rank.
    rotation: BTreeSet<StepId>,
    /// Requirements for which there was no room, and why.
    no_room: BTreeMap<Requirements<'a>, WaitReason>,
    pub(crate) cost: PassCost,
}

impl<'a> StepSelection<'a> {
    /// Prepares a pass over these steps. `cursor` is the last step of the rotation of the pass before.
    pub(crate) fn new(
        settings: &LoadSettings,
        waiting: &[WaitingStep<'a>],
        cursor: &mut Option<StepId>,
        wall_ms: i64,
    ) -> Self {
        let is_bounded = settings.bounded && waiting.len() > settings.max_steps;
        let rotation = match is_bounded {
            true => next_in_rotation(waiting, settings.rotation_steps, cursor),
            false => BTreeSet::new(),
        };
        Self {
            max_steps: if is_bounded {
                settings.max_steps
            } else {
                usize::MAX
            },
            wall_ms,
            rotation,
            no_room: BTreeMap::new(),
            cost: PassCost {
                waiting: waiting.len(),
                ..PassCost::default()
            },
        }
    }

    /// Decides on the next step in the order of rank.
    pub(crate) fn select(&mut self, waiting: &WaitingStep<'a>) -> Selected {
        if self.max_steps == usize::MAX {
            self.cost.considered += 1;
            return Selected::Consider;
        }
        let known =
            Requirements::of(waiting, self.wall_ms).and_then(|r| self.no_room.get(&r).copied());
        if let Some(reason) = known {
            self.cost.alike += 1;
            return Selected::LeaveOut(reason);
        }
        // Expired jobs are of no use any more, so they are considered in rotation only.
        let is_ranked = !waiting.expired && self.cost.considered < self.max_steps;
        if is_ranked || self.rotation.contains(&waiting.id) {
            self.cost.considered += 1;
            return Selected::Consider;
        }
        self.cost.postponed += 1;
        Selected::Postpone
    }

    /// Records that no further task of a step has room in this pass.
    pub(crate) fn record_no_room(&mut self, waiting: &WaitingStep<'a>, reason: WaitReason) {
        if self.max_steps == usize::MAX {
            return;
        }
        if let Some(requirements) = Requirements::of(waiting, self.wall_ms) {
            self.no_room.insert(requirements, reason);
        }
    }
}

/// Returns the `count` steps that follow the cursor in the cyclic order of their ids, and moves the cursor.
fn next_in_rotation(
    waiting: &[WaitingStep<'_>],
    count: usize,
    cursor: &mut Option<StepId>,
) -> BTreeSet<StepId> {
    // Steps before the cursor come after all others.
    let position = |id: StepId| (cursor.is_some_and(|c| id <= c), id);
    let mut next = BTreeSet::new();
    for step in waiting {
        next.insert(position(step.id));
        if next.len() > count {
            next.pop_last();
        }
    }
    if let Some((_, last)) = next.last() {
        *cursor = Some(*last);
    }
    next.into_iter().map(|(_, id)| id).collect()
}
