//! Amounts of processor, memory and accelerators.

use std::ops::Add;
use std::ops::AddAssign;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// An amount of each resource: what a task needs, a worker has or a team may use.
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
    /// Processor in thousandths of a core.
    pub cpu: u64,
    /// Memory in MiB.
    pub mem: u64,
    /// Whole accelerators.
    #[serde(default)]
    pub gpu: u64,
}

impl Resources {
    /// Nothing of anything.
    pub const ZERO: Self = Self {
        cpu: 0,
        mem: 0,
        gpu: 0,
    };

    /// Whether `self` fits into `free` in every dimension.
    pub fn fits(&self, free: &Self) -> bool {
        self.cpu <= free.cpu && self.mem <= free.mem && self.gpu <= free.gpu
    }

    /// `self - other`, or `None` when any dimension would fall below zero.
    pub fn checked_sub(&self, other: &Self) -> Option<Self> {
        Some(Self {
            cpu: self.cpu.checked_sub(other.cpu)?,
            mem: self.mem.checked_sub(other.mem)?,
            gpu: self.gpu.checked_sub(other.gpu)?,
        })
    }

    /// `self - other` with each dimension cut at zero.
    #[must_use]
    pub fn saturating_sub(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(other.cpu),
            mem: self.mem.saturating_sub(other.mem),
            gpu: self.gpu.saturating_sub(other.gpu),
        }
    }

    /// The smaller amount in each dimension.
    #[must_use]
    pub fn elementwise_min(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.min(other.cpu),
            mem: self.mem.min(other.mem),
            gpu: self.gpu.min(other.gpu),
        }
    }

    /// The larger amount in each dimension.
    #[must_use]
    pub fn elementwise_max(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.max(other.cpu),
            mem: self.mem.max(other.mem),
            gpu: self.gpu.max(other.gpu),
        }
    }

    /// `self` taken `n` times, saturating.
    #[must_use]
    pub fn saturating_mul(&self, n: u64) -> Self {
        Self {
            cpu: self.cpu.saturating_mul(n),
            mem: self.mem.saturating_mul(n),
            gpu: self.gpu.saturating_mul(n),
        }
    }

    /// How many times `need` fits into `self`; `u64::MAX` when `need` is zero.
    pub fn count_fitting(&self, need: &Self) -> u64 {
        let by = |have: u64, need: u64| have.checked_div(need).unwrap_or(u64::MAX);
        by(self.cpu, need.cpu)
            .min(by(self.mem, need.mem))
            .min(by(self.gpu, need.gpu))
    }

    /// The largest fraction of `total` that `self` takes in any dimension.
    pub fn dominant_share(&self, total: &Self) -> f64 {
        let part = |used: u64, all: u64| {
            if all == 0 {
                0.0
            } else {
                used as f64 / all as f64
            }
        };
        part(self.cpu, total.cpu)
            .max(part(self.mem, total.mem))
            .max(part(self.gpu, total.gpu))
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
