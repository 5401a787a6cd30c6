//! Linear regression, and memory and CPU counters of processes.

use std::fs;

/// A measured point.
#[derive(Clone, Copy, Debug)]
pub(super) struct Point {
    /// Independent variable, such as the number of workers.
    pub(super) x: f64,
    /// Measured value.
    pub(super) y: f64,
}

/// A line `intercept + slope * x`.
#[derive(Clone, Copy, Debug)]
pub(super) struct Line {
    pub(super) intercept: f64,
    pub(super) slope: f64,
}

impl Line {
    /// Fits a line by least squares; the slope is 0 when all points have the same `x`.
    pub(super) fn fit(points: &[Point]) -> Self {
        let n = points.len().max(1) as f64;
        let mean = |f: fn(&Point) -> f64| points.iter().map(f).sum::<f64>() / n;
        let (mean_x, mean_y) = (mean(|p| p.x), mean(|p| p.y));
        let covariance: f64 = points.iter().map(|p| (p.x - mean_x) * (p.y - mean_y)).sum();
        let variance: f64 = points.iter().map(|p| (p.x - mean_x).powi(2)).sum();
        let slope = if variance == 0.0 {
            0.0
        } else {
            covariance / variance
        };
        Self {
            intercept: mean_y - slope * mean_x,
            slope,
        }
    }

    /// Value of the line at `x`.
    pub(super) fn value_at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}

/// Resident memory of a process in KiB, or 0 if it cannot be read. `process` is a process id or
/// `self`.
pub(super) fn resident_kib(process: &str) -> u64 {
    let text = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = text.lines().find(|l| l.starts_with("VmRSS:"));
    let value = line.and_then(|l| l.split_whitespace().nth(1));
    value.and_then(|v| v.parse().ok()).unwrap_or(0)
}

/// CPU time (user and system) of a process in clock ticks of 10 ms, or 0 if it cannot be read.
pub(super) fn cpu_ticks(process: &str) -> u64 {
    let text = fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    // The program name in parentheses may contain spaces.
    let rest = text.rsplit_once(')').map_or("", |(_, rest)| rest);
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let ticks = |index: usize| fields.get(index).and_then(|f| f.parse::<u64>().ok());
    ticks(11).unwrap_or(0) + ticks(12).unwrap_or(0)
}
