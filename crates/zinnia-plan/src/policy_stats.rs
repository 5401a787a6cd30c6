//! What the queries of each queue cost and grant, learned by the leader.
//!
//! A new leader begins with the defaults; nothing of this decides whether a start is allowed.

use std::collections::BTreeMap;

use zinnia_types::Time;

/// Share of the workers that a policy grants, as long as its answers do not tell.
const DEFAULT_SHARE: f64 = 0.5;
/// Number of workers by which the default share counts beside the decided ones.
const DEFAULT_WEIGHT: f64 = 10.0;
/// Number of decided workers from which the sums are halved, so that older answers count less.
const MAX_DECIDED: f64 = 512.0;
/// Weight of an answer in the mean delay.
const DELAY_WEIGHT: f64 = 0.125;
/// Maximum number of queues of which values are kept.
const MAX_QUEUES: usize = 256;
/// Number of consecutive failures from which queries of the queue are sent one at a time.
const FAILURES_TO_BACK_OFF: u32 = 3;
/// Shortest and longest interval between two queries of a queue whose policy does not answer.
const MIN_BACKOFF_MS: u64 = 250;
const MAX_BACKOFF_MS: u64 = 2_000;

/// What the queries of one queue cost and grant.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QueueStats {
    /// Queries sent in this term.
    pub queries: u64,
    /// Workers in these queries.
    pub workers: u64,
    /// Queries that failed.
    pub failures: u64,
    /// Starts that were planned with a ticket.
    pub starts: u64,
    /// Workers that the policy decided on and that it granted; older ones count less.
    decided: f64,
    granted: f64,
    /// Mean time of an answer beyond the cost of its query, in milliseconds.
    delay_ms: f64,
    /// Consecutive failures, the pause after the latest, and when the next query may be sent.
    failed: u32,
    backoff_ms: u64,
    retry_at: Time,
    used_at: Time,
}

impl QueueStats {
    /// Share of the workers that the policy grants.
    pub fn share(&self) -> f64 {
        (self.granted + DEFAULT_SHARE * DEFAULT_WEIGHT) / (self.decided + DEFAULT_WEIGHT)
    }

    /// Mean time of an answer beyond the cost of its query, in milliseconds.
    pub fn delay_ms(&self) -> f64 {
        self.delay_ms
    }

    /// Whether the policy has not answered the latest queries.
    pub fn is_failing(&self) -> bool {
        self.failed >= FAILURES_TO_BACK_OFF
    }

    /// Whether the pause after a failure is over.
    pub(crate) fn may_query(&self, now: Time) -> bool {
        !self.is_failing() || now >= self.retry_at
    }

    /// Records that a query about this many workers is sent.
    pub(crate) fn sent(&mut self, workers: usize, now: Time) {
        self.queries += 1;
        self.workers += workers as u64;
        self.used_at = now;
        // While the policy fails, the next query waits for the answer to this one, or for the longest pause.
        if self.is_failing() {
            self.retry_at = now.after(MAX_BACKOFF_MS);
        }
    }

    /// Records an answer: the number of workers that it decided on for the first time, how many of these it
    /// granted, and its time beyond the cost of the query.
    pub(crate) fn answered(&mut self, decided: usize, granted: usize, delay_ms: u64) {
        self.failed = 0;
        self.backoff_ms = 0;
        self.decided += decided as f64;
        self.granted += granted as f64;
        if self.decided > MAX_DECIDED {
            self.decided /= 2.0;
            self.granted /= 2.0;
        }
        self.delay_ms += (delay_ms as f64 - self.delay_ms) * DELAY_WEIGHT;
    }

    /// Records that a query failed. A failure tells nothing about the share or the cost.
    pub(crate) fn failed(&mut self, now: Time) {
        self.failures += 1;
        self.failed = self.failed.saturating_add(1);
        // Queries that were open together fail together, and count as one failure for the pause.
        if now >= self.retry_at {
            let longer_ms = self.backoff_ms.saturating_mul(2);
            self.backoff_ms = longer_ms.clamp(MIN_BACKOFF_MS, MAX_BACKOFF_MS);
            self.retry_at = now.after(self.backoff_ms);
        }
    }
}

/// Values of all queues whose policy was queried lately.
#[derive(Debug, Default)]
pub(crate) struct PolicyStats {
    queues: BTreeMap<String, QueueStats>,
}

impl PolicyStats {
    /// Values of a queue; the defaults if none are kept.
    pub(crate) fn get(&self, queue: &str) -> QueueStats {
        self.queues.get(queue).cloned().unwrap_or_default()
    }

    /// Values of a queue, to be changed. The queue that was queried longest ago makes room for a new one.
    pub(crate) fn entry(&mut self, queue: &str) -> &mut QueueStats {
        if !self.queues.contains_key(queue) && self.queues.len() >= MAX_QUEUES {
            let oldest = self.queues.iter().min_by_key(|(_, q)| q.used_at);
            if let Some(name) = oldest.map(|(name, _)| name.clone()) {
                self.queues.remove(&name);
            }
        }
        self.queues.entry(queue.to_owned()).or_default()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&str, &QueueStats)> {
        self.queues.iter().map(|(name, q)| (name.as_str(), q))
    }
}
