//! Workers that are far slower than others for a while, and the runs that are moved off them.
//!
//! It answers the load of workers that run everything several times slower for some seconds: a wide step waits for
//! its slowest task. A task may be long by itself, so that one slow run shows nothing; a worker counts as slow only if
//! most of its runs make less progress than runs of the same kind usually do.

use std::collections::BTreeMap;

use crate::State;
use crate::TaskId;
use crate::worker_view::Progress;

/// Settings of the search for slow workers. By default no worker counts as slow.
#[derive(Clone, Debug)]
pub struct SlowWorkerSettings {
    /// Whether slow workers are searched for.
    pub enabled: bool,
    /// Time in milliseconds that a run takes to be stopped and to resume elsewhere.
    pub move_ms: u64,
}

impl Default for SlowWorkerSettings {
    fn default() -> Self {
        Self {
            enabled: false,
            move_ms: 1_000,
        }
    }
}

/// Time over which the progress of a run is measured. Reports give whole percents, and short tasks end before.
const WINDOW_MS: u64 = 1_000;
/// How many times as long as usual most runs of a slow worker take.
const SLOW_FACTOR: u64 = 3;
/// Number of measured runs from which a worker can count as slow.
const MIN_RUNS: usize = 2;
/// Number of measurements of a kind of run before others are compared with them.
const MIN_SAMPLES: u32 = 8;
/// Weight of a new measurement, as a divisor.
const SAMPLE_DIVISOR: u64 = 16;
/// Most kinds of runs that are kept. Images are named by callers.
const MAX_KINDS: usize = 1_000;
/// How many times as long the rest of a run must take here as elsewhere before it is moved.
const MIN_GAIN: u64 = 2;

/// Tasks that behave alike: those of one image in one queue.
type Kind = (String, String);

/// Usual run time of a kind of task.
#[derive(Clone, Copy, Debug)]
struct RunTime {
    mean_ms: u64,
    samples: u32,
}

/// Usual run times, learned from the progress of runs. Volatile: a new leader learns them again.
#[derive(Debug, Default)]
pub(crate) struct RunTimes {
    kinds: BTreeMap<Kind, RunTime>,
}

/// Progress of a run since the start of its latest window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Pace {
    /// Progress in percent, and reading of the worker's clock, at the start of the window.
    start: (u64, u64),
    /// Run time of the whole task at the pace of the last full window, in milliseconds.
    pub(crate) total_ms: Option<u64>,
}

impl Pace {
    pub(crate) fn new(percent: u64, clock_ms: u64) -> Self {
        Self {
            start: (percent, clock_ms),
            total_ms: None,
        }
    }

    /// Records a report. Returns the new measurement if it ends a window.
    pub(crate) fn record(&mut self, percent: u64, clock_ms: u64) -> Option<u64> {
        let (from, at) = self.start;
        let passed_ms = clock_ms.saturating_sub(at);
        if passed_ms < WINDOW_MS {
            return None;
        }
        let progress = percent.saturating_sub(from).max(1);
        let total_ms = passed_ms.saturating_mul(100) / progress;
        *self = Self {
            start: (percent, clock_ms),
            total_ms: Some(total_ms),
        };
        self.total_ms
    }
}

impl RunTimes {
    /// Records a measured run time. A slow worker shows the same few runs again and again, so that one far above the
    /// mean counts as twice the mean only.
    fn record(&mut self, kind: Kind, total_ms: u64) {
        if self.kinds.len() >= MAX_KINDS && !self.kinds.contains_key(&kind) {
            return;
        }
        let known = self.kinds.entry(kind).or_insert(RunTime {
            mean_ms: total_ms,
            samples: 0,
        });
        let sample_ms = total_ms.min(known.mean_ms.saturating_mul(2)).max(1);
        let kept = known.mean_ms - known.mean_ms / SAMPLE_DIVISOR;
        known.mean_ms = kept.saturating_add(sample_ms.div_ceil(SAMPLE_DIVISOR));
        known.samples = known.samples.saturating_add(1);
    }

    /// Usual run time of a kind of task, in milliseconds; `None` before there are enough measurements.
    fn usual_ms(&self, kind: &Kind) -> Option<u64> {
        let known = self.kinds.get(kind)?;
        (known.samples >= MIN_SAMPLES).then_some(known.mean_ms)
    }

    /// Records the report of a worker, and returns whether it is slow: whether most of its runs take far longer than
    /// usual.
    pub(crate) fn judge(
        &mut self,
        state: &State,
        progress: &mut BTreeMap<(TaskId, u32), Progress>,
    ) -> bool {
        let (mut slow, mut measured) = (0, 0);
        for (&(task, _), run) in progress {
            let Some(kind) = kind_of(state, task) else {
                continue;
            };
            let sample = run.pace.record(run.percent, run.reported_ms);
            if let (Some(total_ms), Some(usual_ms)) = (run.pace.total_ms, self.usual_ms(&kind)) {
                measured += 1;
                slow += usize::from(total_ms > usual_ms.saturating_mul(SLOW_FACTOR));
            }
            if let Some(total_ms) = sample {
                self.record(kind, total_ms);
            }
        }
        measured >= MIN_RUNS && slow * 2 > measured
    }

    /// Whether a run on a slow worker is moved: it resumes from a checkpoint, and its rest takes far longer here than
    /// elsewhere, with the move.
    pub(crate) fn should_move(
        &self,
        settings: &SlowWorkerSettings,
        state: &State,
        task: TaskId,
        run: &Progress,
    ) -> bool {
        let can_resume = state.step(task).is_some_and(|s| s.checkpoints && !s.gang);
        let usual_ms = kind_of(state, task).and_then(|kind| self.usual_ms(&kind));
        let (true, Some(usual_ms), Some(total_ms)) = (can_resume, usual_ms, run.pace.total_ms)
        else {
            return false;
        };
        let left = 100 - run.percent.min(100);
        let here_ms = total_ms.saturating_mul(left) / 100;
        let elsewhere_ms = usual_ms.saturating_mul(left) / 100 + settings.move_ms;
        here_ms > elsewhere_ms.saturating_mul(MIN_GAIN)
    }
}

/// Kind of a task whose progress can be compared; `None` for one that lasts, waits for others or fills gaps.
fn kind_of(state: &State, task: TaskId) -> Option<Kind> {
    let job = state.jobs.get(&task.job)?;
    let step = state.step(task)?;
    let is_comparable = !step.long_running && !step.gang && !step.best_effort;
    is_comparable.then(|| (job.queue.clone(), step.image.clone()))
}
