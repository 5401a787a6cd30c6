//! Workers in buckets by free amounts.

use std::collections::BTreeMap;

use zinnia_types::Resources;

/// Levels per doubling of an amount. More levels make the buckets purer and more numerous.
const LEVELS_PER_DOUBLING: u64 = 2;

/// Bucket of a worker. The order makes an ascending walk meet accelerator-free workers first,
/// and among equal accelerators the fullest first.
type BucketKey = (u64, u32, u32);

/// Logarithmic level of an amount: 0 for nothing, then `STEPS` levels per doubling.
pub(crate) fn level(amount: u64) -> u32 {
    let Some(log) = amount.checked_ilog2() else {
        return 0;
    };
    let part = (u128::from(amount - (1 << log)) * u128::from(LEVELS_PER_DOUBLING)) >> log;
    1 + log * LEVELS_PER_DOUBLING as u32 + part as u32
}

fn bucket_key(free: &Resources) -> BucketKey {
    (free.gpu, level(free.cpu), level(free.mem))
}

/// Finds workers with enough room in time that depends on the number of buckets, not of workers.
#[derive(Debug, Default)]
pub(crate) struct WorkerIndex {
    buckets: BTreeMap<BucketKey, Vec<usize>>,
    /// Bucket and position in it of each worker.
    positions: Vec<Option<(BucketKey, usize)>>,
}

impl WorkerIndex {
    /// Files `worker` under `free`, or takes it out with `None`.
    pub(crate) fn update(&mut self, worker: usize, free: Option<&Resources>) {
        if self.positions.len() <= worker {
            self.positions.resize(worker + 1, None);
        }
        let wanted = free.map(bucket_key);
        if self.positions[worker].map(|(c, _)| c) == wanted {
            return;
        }
        if let Some((old, at)) = self.positions[worker].take() {
            self.remove(old, at);
        }
        if let Some(new) = wanted {
            let bucket = self.buckets.entry(new).or_default();
            self.positions[worker] = Some((new, bucket.len()));
            bucket.push(worker);
        }
    }

    fn remove(&mut self, cell: BucketKey, at: usize) {
        let Some(bucket) = self.buckets.get_mut(&cell) else {
            return;
        };
        bucket.swap_remove(at);
        if let Some(&moved) = bucket.get(at) {
            self.positions[moved] = Some((cell, at));
        }
        if bucket.is_empty() {
            self.buckets.remove(&cell);
        }
    }

    /// Workers that may have room for `need`, the tightest buckets first. The caller checks each
    /// one, since workers of the lowest buckets may be slightly too small.
    pub(crate) fn tightest_first(&self, need: &Resources) -> impl Iterator<Item = usize> {
        let (gpu, cpu, mem) = bucket_key(need);
        (gpu..=self.max_gpu())
            .flat_map(move |g| self.buckets.range((g, cpu, 0)..=(g, u32::MAX, u32::MAX)))
            .filter(move |(c, _)| c.2 >= mem)
            .flat_map(|(_, bucket)| bucket.iter().copied())
    }

    /// Like [`Self::tight`], with the emptiest buckets first.
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

    fn max_gpu(&self) -> u64 {
        self.buckets.last_key_value().map_or(0, |(c, _)| c.0)
    }
}
