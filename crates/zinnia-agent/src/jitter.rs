//! Random delays from a seeded generator.

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Random source of delays.
#[derive(Clone, Debug)]
pub(crate) struct Jitter(SmallRng);

impl Jitter {
    pub(crate) fn new(seed: u64) -> Self {
        Self(SmallRng::seed_from_u64(seed))
    }

    /// Draws a delay uniformly from `0..=max`.
    pub(crate) fn up_to(&mut self, max: u64) -> u64 {
        self.0.random_range(0..=max)
    }

    /// Draws a delay uniformly between 50% and 150% of `mean`.
    pub(crate) fn around(&mut self, mean: u64) -> u64 {
        (mean / 2).saturating_add(self.up_to(mean))
    }

    /// Exponential backoff with jitter. The mean is `initial` for attempt 0 and doubles up to `max`.
    pub(crate) fn backoff(&mut self, attempt: u32, initial: u64, max: u64) -> u64 {
        let mean = initial.saturating_mul(1 << attempt.min(16)).min(max);
        self.around(mean)
    }
}
