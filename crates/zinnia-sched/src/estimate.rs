//! Estimates of run times and usage, learned for each team and kind of job.

use zinnia_types::Resources;

use crate::index::level;

/// Buckets of the run time histogram. Two for each doubling reach beyond a year in milliseconds.
const LEVELS: usize = 80;
/// Number of samples after which all counts are halved, so that the estimate follows changes.
const DECAY_SAMPLES: u32 = 400;
/// Samples from which the estimate replaces the declared run time.
const MIN_RUNS: u32 = 3;
/// Samples from which the observed usage replaces the declared processor need.
const MIN_USAGES: u32 = 8;

/// Observed run times and usage of one kind of job of one team.
#[derive(Clone, Debug)]
pub(crate) struct Estimate {
    /// Number of run times in each logarithmic level.
    histogram: [u32; LEVELS],
    run_samples: u32,
    usage_samples: u32,
    peak_usage: Resources,
}

impl Default for Estimate {
    fn default() -> Self {
        Self {
            histogram: [0; LEVELS],
            run_samples: 0,
            usage_samples: 0,
            peak_usage: Resources::ZERO,
        }
    }
}

impl Estimate {
    /// Adds the run time of a successful task.
    pub(crate) fn observe_run(&mut self, run_ms: u64) {
        let level_index = (level(run_ms) as usize).min(LEVELS - 1);
        self.histogram[level_index] += 1;
        self.run_samples += 1;
        if self.run_samples >= DECAY_SAMPLES {
            for count in &mut self.histogram {
                *count /= 2;
            }
            self.run_samples = self.histogram.iter().sum();
        }
    }

    /// Adds the peak usage of a successful task.
    pub(crate) fn observe_usage(&mut self, peak: &Resources) {
        self.usage_samples = self.usage_samples.saturating_add(1);
        // The processor peak decays slowly, so that one idle task does not lower the estimate for
        // the next ones.
        let cpu = self.peak_usage.cpu - self.peak_usage.cpu / 64;
        self.peak_usage = Resources {
            cpu: cpu.max(peak.cpu),
            mem: self.peak_usage.mem.max(peak.mem),
            gpu: 0,
        };
    }

    /// Upper bound of the given quantile of the run times, or `declared` if there are too few
    /// samples.
    pub(crate) fn run_quantile_ms(&self, quantile: f64, declared: u64) -> u64 {
        if self.run_samples < MIN_RUNS {
            return declared;
        }
        let target = (f64::from(self.run_samples) * quantile).ceil() as u32;
        let mut cumulative = 0;
        for (level_index, count) in self.histogram.iter().enumerate() {
            cumulative += count;
            if cumulative >= target {
                return level_max(level_index as u32);
            }
        }
        declared
    }

    /// Lowers the processor need to the observed usage and raises the memory need to the observed
    /// peak. The memory need is never lowered, because a task that exceeds it cannot be throttled,
    /// only killed.
    pub(crate) fn adjust_need(&self, need: &Resources) -> Resources {
        let mut adjusted = *need;
        if self.usage_samples >= MIN_USAGES {
            let wanted = self.peak_usage.cpu + self.peak_usage.cpu / 4;
            adjusted.cpu = wanted.clamp(need.cpu / 4, need.cpu);
        }
        adjusted.mem = need.mem.max(self.peak_usage.mem);
        adjusted
    }
}

/// Upper bound of a level, the inverse of [`level`].
fn level_max(level: u32) -> u64 {
    if level == 0 {
        return 0;
    }
    let log = (level - 1) / 2;
    let base = 1_u64 << log.min(62);
    if (level - 1).is_multiple_of(2) {
        base + base / 2
    } else {
        base.saturating_mul(2)
    }
}
