//! Amounts of CPU, memory and accelerators.

use std::ops::Add;
use std::ops::AddAssign;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// Amounts of CPU, memory and accelerators.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct Resources {
    /// CPU in thousandths of a core (millicores).
    pub cpu: u64,
    /// Memory in MiB.
    pub mem: u64,
    /// Number of accelerators (GPUs).
    #[serde(default)]
    pub gpu: u64,
}

impl Resources {
    /// Zero of each resource.
    pub const ZERO: Self = Self {
        cpu: 0,
        mem: 0,
        gpu: 0,
    };

    /// Returns whether `self` is at most `free` in every dimension.
    pub fn fits(&self, free: &Self) -> bool {
        self.cpu <= free.cpu && self.mem <= free.mem && self.gpu <= free.gpu
    }

    /// Returns `self - other`, or `None` if any dimension would be negative.
    pub fn checked_sub(&self, other: &Self) -> Option<Self> {
        Some(Self {
            cpu: self.cpu.checked_sub(other.cpu)?,
            mem: self.mem.checked_sub(other.mem)?,
            gpu: self.gpu.checked_sub(other.gpu)?,
        })
    }

    /// Returns `self - other`, with negative dimensions replaced by zero.
    #[must_use]
    pub fn saturating_sub(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(other.cpu),
            mem: self.mem.saturating_sub(other.mem),
            gpu: self.gpu.saturating_sub(other.gpu),
        }
    }

    /// Returns the smaller amount in each dimension.
    ///
    /// Differs from `Ord::min`, which compares the dimensions lexicographically.
    #[must_use]
    pub fn elementwise_min(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.min(other.cpu),
            mem: self.mem.min(other.mem),
            gpu: self.gpu.min(other.gpu),
        }
    }

    /// Returns the larger amount in each dimension.
    ///
    /// Differs from `Ord::max`, which compares the dimensions lexicographically.
    #[must_use]
    pub fn elementwise_max(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.max(other.cpu),
            mem: self.mem.max(other.mem),
            gpu: self.gpu.max(other.gpu),
        }
    }

    /// Returns `self * n`, saturating at the maximum of each dimension.
    #[must_use]
    pub fn saturating_mul(&self, n: u64) -> Self {
        Self {
            cpu: self.cpu.saturating_mul(n),
            mem: self.mem.saturating_mul(n),
            gpu: self.gpu.saturating_mul(n),
        }
    }

    /// Returns how many times `need` fits into `self`; `u64::MAX` if `need` is zero.
    pub fn count_fitting(&self, need: &Self) -> u64 {
        let fitting = |available: u64, need: u64| available.checked_div(need).unwrap_or(u64::MAX);
        fitting(self.cpu, need.cpu)
            .min(fitting(self.mem, need.mem))
            .min(fitting(self.gpu, need.gpu))
    }

    /// Returns the dominant share of `self`: the largest fraction of `total` in any dimension, as
    /// in dominant resource fairness.
    pub fn dominant_share(&self, total: &Self) -> f64 {
        let fraction = |used: u64, total: u64| {
            if total == 0 {
                0.0
            } else {
                used as f64 / total as f64
            }
        };
        fraction(self.cpu, total.cpu)
            .max(fraction(self.mem, total.mem))
            .max(fraction(self.gpu, total.gpu))
    }
}

impl Add for Resources {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.saturating_add(other.cpu),
            mem: self.mem.saturating_add(other.mem),
            gpu: self.gpu.saturating_add(other.gpu),
        }
    }
}

impl AddAssign for Resources {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}
