//! When running tasks are likely to end, from their estimates and their progress.

use zinnia_types::Time;

use crate::Resources;
use crate::State;
use crate::TaskId;
use crate::worker_index::WorkerIndex;
use crate::worker_view::WorkerView;

/// Interval between two forecasts. Reports of progress arrive less often.
const FORECAST_INTERVAL_MS: u64 = 100;
/// Part of its run time, as a divisor, that a run without progress reports is given beyond its estimate.
const OVERDUE_DIVISOR: u64 = 4;

/// Likely end of a run, and what it leaves.
#[derive(Clone, Copy, Debug)]
struct RunEnd {
    at: Time,
    resources: Resources,
}

/// Likely ends of the runs on each worker.
#[derive(Debug, Default)]
pub(crate) struct Forecast {
    /// By number of the worker, in the order of time.
    ends: Vec<Vec<RunEnd>>,
    made_at: Option<Time>,
}

impl Forecast {
    /// Whether the forecast is to be made again.
    pub(crate) fn is_due(&self, now: Time) -> bool {
        self.made_at
            .is_none_or(|at| now.since(at) >= FORECAST_INTERVAL_MS)
    }

    /// Starts a new forecast for `count` workers.
    pub(crate) fn clear(&mut self, count: usize, now: Time) {
        self.ends.iter_mut().for_each(Vec::clear);
        self.ends.resize_with(count, Vec::new);
        self.made_at = Some(now);
    }

    /// Adds the runs of a worker. Tasks that last until they are cancelled are left out.
    pub(crate) fn add(
        &mut self,
        state: &State,
        view: &WorkerView,
        runs: impl Iterator<Item = (TaskId, u32)>,
        now: Time,
        wall_ms: i64,
    ) {
        let Some(ends) = self.ends.get_mut(view.index.position()) else {
            return;
        };
        for run in runs {
            let Some(step) = state.step(run.0).filter(|s| !s.long_running) else {
                continue;
            };
            let started_ms = state.task(run.0).map_or(wall_ms, |t| t.started_ms);
            let run_ms = u64::try_from(wall_ms.saturating_sub(started_ms)).unwrap_or(0);
            let left_ms = remaining_ms(step.estimate_ms, run_ms, run, view, now);
            ends.push(RunEnd {
                at: now.after(left_ms),
                resources: step.demand(),
            });
        }
        ends.sort_unstable_by_key(|e| e.at);
    }

    /// What the runs leave on a worker that end by `at`.
    pub(crate) fn freed_by(&self, worker: WorkerIndex, at: Time) -> Resources {
        let ends = self.of_worker(worker).iter().take_while(|e| e.at <= at);
        ends.fold(Resources::default(), |sum, e| sum.plus(&e.resources))
    }

    /// When the worker has room for `need`, if `room` is free now; `None` if the ends of its runs do not suffice.
    pub(crate) fn ready_at(
        &self,
        worker: WorkerIndex,
        mut room: Resources,
        need: &Resources,
        now: Time,
    ) -> Option<Time> {
        if room.fits(need) {
            return Some(now);
        }
        self.of_worker(worker).iter().find_map(|end| {
            room = room.plus(&end.resources);
            room.fits(need).then_some(end.at)
        })
    }

    fn of_worker(&self, worker: WorkerIndex) -> &[RunEnd] {
        self.ends
            .get(worker.position())
            .map(Vec::as_slice)
            .unwrap_or_default()
    }
}

/// Time until a run ends that has taken `run_ms` so far.
///
/// The progress of a first run tells its speed. A later run may have begun at a checkpoint, so that only the
/// estimate tells how long the rest takes.
fn remaining_ms(
    estimate_ms: u64,
    run_ms: u64,
    run: (TaskId, u32),
    view: &WorkerView,
    now: Time,
) -> u64 {
    let progress = view.progress.get(&run).filter(|p| p.percent > 0);
    let Some(progress) = progress else {
        return match run_ms < estimate_ms {
            true => estimate_ms - run_ms,
            false => run_ms / OVERDUE_DIVISOR,
        };
    };
    let clock_ms = view.min_clock(now).unwrap_or(progress.reported_ms);
    let age_ms = clock_ms.saturating_sub(progress.reported_ms);
    let percent = progress.percent.min(100);
    let worked_ms = run_ms.saturating_sub(age_ms);
    let rest_ms = match run.1 {
        1 => worked_ms.saturating_mul(100 - percent) / percent,
        _ => estimate_ms.saturating_mul(100 - percent) / 100,
    };
    rest_ms.saturating_sub(age_ms)
}
