//! Run times and usage learned per team and kind of work.

use zinnia_types::Resources;

use crate::index::level;

/// Levels of run times; two per doubling reach beyond a year in milliseconds.
const LEVELS: usize = 80;
/// Samples after which older ones count half, so that changes are followed.
const DECAY_SAMPLES: u32 = 400;
/// Samples from which observation replaces the declared run time.
const MIN_RUNS: u32 = 3;
/// Samples from which observation replaces the declared processor need.
const MIN_USAGES: u32 = 8;

/// What was observed of one kind of work of one team.
#[derive(Clone, Debug)]
pub(crate) struct Estimate {
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
    /// A task ran for `run_ms` milliseconds.
    pub(crate) fn observe_run(&mut self, run_ms: u64) {
        let at = (level(run_ms) as usize).min(LEVELS - 1);
        self.histogram[at] += 1;
        self.run_samples += 1;
        if self.run_samples >= DECAY_SAMPLES {
            for count in &mut self.histogram {
                *count /= 2;
            }
            self.run_samples = self.histogram.iter().sum();
        }
    }

    /// A task ended that had used at most `peak`.
    pub(crate) fn observe_usage(&mut self, peak: &Resources) {
        self.usage_samples = self.usage_samples.saturating_add(1);
        // The processor peak falls slowly, so that one idle task does not shrink the next ones.
        let cpu = self.peak_usage.cpu - self.peak_usage.cpu / 64;
        self.peak_usage = Resources {
            cpu: cpu.max(peak.cpu),
            mem: self.peak_usage.mem.max(peak.mem),
            gpu: 0,
        };
    }

    /// The run time that a part `q` of the tasks does not exceed, or `declared` without samples.
    pub(crate) fn run_quantile_ms(&self, q: f64, declared: u64) -> u64 {
        if self.run_samples < MIN_RUNS {
            return declared;
        }
        let wanted = (f64::from(self.run_samples) * q).ceil() as u32;
        let mut seen = 0;
        for (at, count) in self.histogram.iter().enumerate() {
            seen += count;
            if seen >= wanted {
                return level_max(at as u32);
            }
        }
        declared
    }

    /// The need with its processor lowered to what is used, and its memory raised to what was
    /// seen. Memory is never lowered: a task that exceeds it cannot be slowed down, only killed.
    pub(crate) fn adjust_need(&self, need: &Resources) -> Resources {
        let mut fixed = *need;
        if self.usage_samples >= MIN_USAGES {
            let wanted = self.peak_usage.cpu + self.peak_usage.cpu / 4;
            fixed.cpu = wanted.clamp(need.cpu / 4, need.cpu);
        }
        fixed.mem = need.mem.max(self.peak_usage.mem);
        fixed
    }
}

/// Largest amount of a level, the inverse of [`level`].
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
