//! Index of workers by their free resources.

use std::collections::BTreeMap;

use zinnia_types::Resources;

/// Levels for each doubling of an amount. More levels make the buckets more uniform, but there are
/// more of them to search.
const LEVELS_PER_DOUBLING: u64 = 2;

/// Key of a bucket: free accelerators, level of the free processor, level of the free memory. In
/// ascending order, workers without free accelerators come first, and among workers with equal
/// accelerators the fullest.
type BucketKey = (u64, u32, u32);

/// Logarithmic level of an amount: 0 for nothing, then [`LEVELS_PER_DOUBLING`] levels for each
/// doubling.
pub(crate) fn level(amount: u64) -> u32 {
    let Some(log) = amount.checked_ilog2() else {
        return 0;
    };
    let part = (u128::from(amount - (1 << log)) * u128::from(LEVELS_PER_DOUBLING)) >> log;
    1 + log * LEVELS_PER_DOUBLING as u32 + part as u32
}

/// Key of the bucket for an amount of free resources.
fn bucket_key(free: &Resources) -> BucketKey {
    (free.gpu, level(free.cpu), level(free.mem))
}

/// Finds workers with enough free resources in time that depends on the number of buckets, not on
/// the number of workers.
#[derive(Debug, Default)]
pub(crate) struct WorkerIndex {
    /// Slots of the workers in each bucket.
    buckets: BTreeMap<BucketKey, Vec<usize>>,
    /// Bucket and position in it of each worker.
    positions: Vec<Option<(BucketKey, usize)>>,
}

impl WorkerIndex {
    /// Updates the free resources of a worker, or removes it with `None`.
    pub(crate) fn update(&mut self, worker: usize, free: Option<&Resources>) {
        if self.positions.len() <= worker {
            self.positions.resize(worker + 1, None);
        }
        let target = free.map(bucket_key);
        if self.positions[worker].map(|(c, _)| c) == target {
            return;
        }
        if let Some((old, position)) = self.positions[worker].take() {
            self.remove(old, position);
        }
        if let Some(new) = target {
            let bucket = self.buckets.entry(new).or_default();
            self.positions[worker] = Some((new, bucket.len()));
            bucket.push(worker);
        }
    }

    fn remove(&mut self, key: BucketKey, position: usize) {
        let Some(bucket) = self.buckets.get_mut(&key) else {
            return;
        };
        bucket.swap_remove(position);
        if let Some(&moved) = bucket.get(position) {
            self.positions[moved] = Some((key, position));
        }
        if bucket.is_empty() {
            self.buckets.remove(&key);
        }
    }

    /// Workers that may fit `need`, the fullest buckets first. The caller checks each worker,
    /// because those of the lowest buckets may be slightly too small.
    pub(crate) fn tightest_first(&self, need: &Resources) -> impl Iterator<Item = usize> {
        let (gpu, cpu, mem) = bucket_key(need);
        (gpu..=self.max_gpu())
            .flat_map(move |g| self.buckets.range((g, cpu, 0)..=(g, u32::MAX, u32::MAX)))
            .filter(move |(c, _)| c.2 >= mem)
            .flat_map(|(_, bucket)| bucket.iter().copied())
    }

    /// Like [`Self::tightest_first`], but with the emptiest buckets first.
    pub(crate) fn emptiest_first(&self, need: &Resources) -> impl Iterator<Item = usize> {
        let (gpu, cpu, mem) = bucket_key(need);
        (gpu..=self.max_gpu())
            .flat_map(move |g| {
                self.buckets
                    .range((g, cpu, 0)..=(g, u32::MAX, u32::MAX))
                    .rev()
            })
            .filter(move |(c, _)| c.2 >= mem)
            .flat_map(|(_, bucket)| bucket.iter().copied())
    }

    /// Largest number of free accelerators on a worker.
    fn max_gpu(&self) -> u64 {
        self.buckets.last_key_value().map_or(0, |(c, _)| c.0)
    }
}
