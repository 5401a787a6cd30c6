//! Relative speed of workers, learned from the run times of tasks of the same step.
//!
//! The estimates of submitters are too rough to compare workers by them, but the tasks of one step
//! take about equally long on equally fast workers.

use std::collections::BTreeMap;

use crate::End;
use crate::EndReason;
use crate::Leader;
use crate::State;
use crate::StepId;
use crate::worker_index::WorkerIndex;

/// Number of run times of a step from which speeds are learned.
const MIN_RUNS: usize = 3;
/// Number of run times of a worker from which its speed counts as known.
const MIN_SAMPLES: u32 = 3;
/// Smallest weight of a new run time against the earlier ones.
const MIN_WEIGHT: f64 = 0.1;
/// Difference of the logarithm of the run time from which a worker counts as fast or slow: about a
/// tenth of the run time.
const LOG_TOLERANCE: f64 = 0.1;

/// Speed of a worker, fastest first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Speed {
    Fast,
    #[default]
    Typical,
    Slow,
}

/// What the run times of a worker tell about its speed.
#[derive(Clone, Copy, Debug, Default)]
struct Estimate {
    /// Logarithm of its run time relative to that of other workers.
    log_time: f64,
    samples: u32,
}

impl Estimate {
    fn add(&mut self, log_time: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = (1.0 / f64::from(self.samples)).max(MIN_WEIGHT);
        self.log_time += weight * (log_time - self.log_time);
    }

    fn speed(&self) -> Speed {
        match self.log_time {
            _ if self.samples < MIN_SAMPLES => Speed::Typical,
            log_time if log_time > LOG_TOLERANCE => Speed::Slow,
            log_time if log_time < -LOG_TOLERANCE => Speed::Fast,
            _ => Speed::Typical,
        }
    }
}

/// Run time of a task that is complete.
#[derive(Clone, Copy, Debug)]
struct RunTime {
    worker: WorkerIndex,
    /// Logarithm of the run time in milliseconds.
    log_ms: f64,
}

/// Speeds of all workers.
#[derive(Debug, Default)]
pub(crate) struct WorkerSpeeds {
    estimates: BTreeMap<WorkerIndex, Estimate>,
    /// Run times of steps that are not complete.
    steps: BTreeMap<StepId, Vec<RunTime>>,
}

impl WorkerSpeeds {
    /// Speed of a worker.
    pub(crate) fn speed(&self, worker: WorkerIndex) -> Speed {
        let estimate = self.estimates.get(&worker);
        estimate.map(Estimate::speed).unwrap_or_default()
    }

    /// Forgets the speed of a worker that has restarted, possibly on another machine.
    pub(crate) fn forget(&mut self, worker: WorkerIndex) {
        self.estimates.remove(&worker);
    }

    /// Drops the run times of all other steps.
    pub(crate) fn retain_steps(&mut self, is_live: impl Fn(&StepId) -> bool) {
        self.steps.retain(|step, _| is_live(step));
    }

    /// Adds the run time of a task of a step with `count` tasks.
    fn add(&mut self, step: StepId, count: usize, worker: WorkerIndex, run_ms: u32) {
        let times = self.steps.entry(step).or_default();
        times.push(RunTime {
            worker,
            log_ms: f64::from(run_ms.max(1)).ln(),
        });
        if times.len() < count {
            return;
        }
        let times = self.steps.remove(&step).unwrap_or_default();
        if times.len() >= MIN_RUNS {
            self.learn(&times);
        }
    }

    /// Learns from the run times of a whole step. Those that ended first would make a typical worker
    /// look fast.
    fn learn(&mut self, times: &[RunTime]) {
        let known = |w| {
            self.estimates
                .get(&w)
                .map_or(0.0, |e: &Estimate| e.log_time)
        };
        let count = u32::try_from(times.len()).unwrap_or(u32::MAX);
        // The time on a typical worker, which does not depend on which workers ran the step.
        let sum: f64 = times.iter().map(|t| t.log_ms - known(t.worker)).sum();
        let typical = sum / f64::from(count);
        for time in times {
            let estimate = self.estimates.entry(time.worker).or_default();
            estimate.add(time.log_ms - typical);
        }
    }
}

impl Leader {
    /// Learns from the end of a run that took `run_ms`.
    pub(crate) fn learn_speed(
        &mut self,
        state: &State,
        worker: WorkerIndex,
        rack: Option<&str>,
        end: &End,
        run_ms: u64,
    ) {
        let Some((step, task)) = state.step(end.task).zip(state.task(end.task)) else {
            return;
        };
        // Members of a gang end together, and a run from a checkpoint does a part of the work.
        let is_whole = !step.gang && task.checkpoint.is_empty();
        let is_near_data = step.data_rack.is_empty() || rack == Some(step.data_rack.as_str());
        let is_comparable = is_whole && is_near_data && !step.best_effort && !step.long_running;
        if end.reason == EndReason::Done && is_comparable {
            let run_ms = u32::try_from(run_ms).unwrap_or(u32::MAX);
            let count = step.count as usize;
            self.speeds
                .add(StepId::from(end.task), count, worker, run_ms);
        }
    }
}
