//! Order in which waiting steps are placed.
//!
//! With weights, the order is: tasks to last that ran before, since they must run again within a bound; priority of
//! the queue; what can still meet its objective, then what is late, then what has expired; the team that uses
//! least of its weighted share, in coarse levels; and the step whose job has the least slack. Each step counts as placed for those after it, so that the steps of the
//! teams alternate from the front of the order on.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::State;
use crate::StepId;
use crate::shares::LaneIndex;
use crate::shares::Shares;
use crate::shares::TeamWeights;
use crate::waiting::WaitingStep;
use crate::waiting::waiting_steps;

/// Number of levels into which a team's share is divided. Teams of the same level count as equal, so that each end or
/// start of a task does not change which gang gets the next reservation.
const LEVELS: f64 = 8.0;

/// Settings of the order of waiting work. By default, steps are placed by priority and age.
#[derive(Clone, Debug, Default)]
pub struct OrderSettings {
    /// Whether the weights of the teams decide between steps of the same priority.
    pub weighted: bool,
    /// Half-life of the past use of a team in milliseconds, if past use counts and the document sets none.
    pub past_use_ms: Option<u64>,
}

/// Returns the steps that wait in the order in which they are placed. `weights` are those of the teams, if they count.
pub(crate) fn ranked_steps<'a>(
    state: &'a State,
    weights: Option<&'a TeamWeights>,
    wall_ms: i64,
) -> Vec<WaitingStep<'a>> {
    let Some(weights) = weights else {
        let mut waiting = waiting_steps(state, None, wall_ms);
        rank(&mut waiting);
        return waiting;
    };
    let mut shares = Shares::new(weights);
    let waiting = waiting_steps(state, Some(&mut shares), wall_ms);
    rank_by_shares(&waiting, &mut shares)
}

/// Sorts waiting steps by queue priority and age. Within a priority, jobs that can still end in time go before
/// those that have expired.
fn rank(waiting: &mut [WaitingStep<'_>]) {
    waiting.sort_by_key(|d| (d.queue.priority, d.expired, d.job.accepted_ms, d.id));
}

/// Whether a job can be of use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Usefulness {
    /// The job can still meet its objective.
    InTime,
    /// The job ends after its objective, but before it expires.
    Late,
    /// The job ends too late to be of use.
    Expired,
}

/// Steps among which the shares of the teams decide. Groups are placed one after the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Group {
    /// Whether the step has no tasks to last that ran before.
    is_new: bool,
    priority: u32,
    usefulness: Usefulness,
}

/// Place of a step among those of its team, and where it is in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Key {
    group: Group,
    lane: LaneIndex,
    slack_ms: i64,
    id: StepId,
    position: usize,
}

/// The next step of a team within a group, compared by the share of the team and the slack of the step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Head {
    /// Level of what the team uses of its share.
    level: u64,
    slack_ms: i64,
    id: StepId,
    /// Index of the step among the sorted keys.
    index: usize,
}

/// Orders waiting steps by priority, usefulness, weighted shares and slack. `shares` contains the running tasks.
fn rank_by_shares<'a>(
    waiting: &[WaitingStep<'a>],
    shares: &mut Shares<'a>,
) -> Vec<WaitingStep<'a>> {
    let mut keys: Vec<Key> = (0..)
        .zip(waiting)
        .map(|(position, step)| {
            let lane = shares.lane(&step.queue.pool, &step.job.team);
            key(step, lane, position)
        })
        .collect();
    keys.sort_unstable();
    let mut order = Vec::with_capacity(waiting.len());
    for group in keys.chunk_by(|a, b| a.group == b.group) {
        merge_lanes(group, waiting, shares, &mut order);
    }
    order
}

fn key(step: &WaitingStep<'_>, lane: LaneIndex, position: usize) -> Key {
    let slack_ms = step.slack_ms;
    // Tasks to last have no end that could be late.
    let usefulness = match slack_ms >= 0 || step.step.long_running {
        _ if step.expired => Usefulness::Expired,
        true => Usefulness::InTime,
        false => Usefulness::Late,
    };
    Key {
        group: Group {
            is_new: !must_run_again(step),
            priority: step.queue.priority,
            usefulness,
        },
        lane,
        slack_ms,
        id: step.id,
        position,
    }
}

/// Whether tasks to last wait that ran before.
fn must_run_again(step: &WaitingStep<'_>) -> bool {
    let ran = || {
        step.state
            .tasks
            .iter()
            .any(|t| t.run > 0 && t.worker.is_none())
    };
    step.step.long_running && ran()
}

/// Appends the steps of a group to the order. Its keys are sorted by team and slack.
fn merge_lanes<'a>(
    group: &[Key],
    waiting: &[WaitingStep<'a>],
    shares: &mut Shares<'a>,
    order: &mut Vec<WaitingStep<'a>>,
) {
    let mut heads = BinaryHeap::new();
    let mut index = 0;
    for lane in group.chunk_by(|a, b| a.lane == b.lane) {
        heads.extend(lane.first().map(|key| Reverse(head(key, index, shares))));
        index += lane.len();
    }
    while let Some(Reverse(next)) = heads.pop() {
        let Some(key) = group.get(next.index) else {
            continue;
        };
        if let Some(step) = waiting.get(key.position) {
            let count = step.count as u64;
            shares.add(key.lane, &step.step.resources.times(count));
            order.push(*step);
        }
        let index = next.index + 1;
        let following = group.get(index).filter(|k| k.lane == key.lane);
        heads.extend(following.map(|key| Reverse(head(key, index, shares))));
    }
}

fn head(key: &Key, index: usize, shares: &Shares<'_>) -> Head {
    Head {
        level: level(shares.share(key.lane)),
        slack_ms: key.slack_ms,
        id: key.id,
        index,
    }
}

/// Level of a share.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the conversion saturates, and the share is positive"
)]
fn level(share: f64) -> u64 {
    (share * LEVELS) as u64
}
