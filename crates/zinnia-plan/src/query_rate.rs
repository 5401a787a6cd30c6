//! Bound on the number of queries to the placement policy per second.

use zinnia_types::Time;

use crate::policy::QueryPurpose;

/// Time over which unused queries are saved up, in milliseconds.
const BURST_MS: u64 = 500;
/// Part of the queries, as a divisor, that urgent steps leave to others. Their pools may differ, and work of other
/// pools must not wait while urgent steps use up what there is.
const OTHERS_DIVISOR: f64 = 4.0;
/// Part of a burst, as a divisor, that further queries of a step and renewals leave to first queries.
const EXTRA_DIVISOR: f64 = 2.0;

/// Token buckets of the queries of all queues: one for any step, and one that urgent steps do not use.
#[derive(Debug)]
pub(crate) struct QueryRate {
    any: Bucket,
    others: Bucket,
    filled_at: Option<Time>,
}

#[derive(Debug)]
struct Bucket {
    /// Queries per second.
    rate: f64,
    tokens: f64,
}

impl Bucket {
    fn new(rate: f64) -> Self {
        let mut bucket = Self { rate, tokens: 0.0 };
        bucket.tokens = bucket.burst();
        bucket
    }

    /// Largest number of queries that may be sent at once.
    fn burst(&self) -> f64 {
        (self.rate * BURST_MS as f64 / 1_000.0).max(1.0)
    }

    fn fill(&mut self, passed_ms: u64) {
        let earned = self.rate * passed_ms as f64 / 1_000.0;
        self.tokens = (self.tokens + earned).min(self.burst());
    }

    /// Whether it has a query beside what is left to more important ones.
    fn has_token(&self, purpose: QueryPurpose) -> bool {
        let left = match purpose {
            QueryPurpose::Urgent | QueryPurpose::Start => 0.0,
            QueryPurpose::Parallel | QueryPurpose::Renewal => self.burst() / EXTRA_DIVISOR,
        };
        self.tokens >= 1.0 && self.tokens > left
    }
}

impl QueryRate {
    pub(crate) fn new(per_second: u32) -> Self {
        let rate = f64::from(per_second);
        let others = rate / OTHERS_DIVISOR;
        Self {
            any: Bucket::new(rate - others),
            others: Bucket::new(others),
            filled_at: None,
        }
    }

    /// Adds what has been earned until `now`.
    pub(crate) fn fill(&mut self, now: Time) {
        let passed_ms = self.filled_at.map_or(0, |at| now.since(at));
        self.any.fill(passed_ms);
        self.others.fill(passed_ms);
        self.filled_at = Some(now);
    }

    /// Whether another query for this purpose may be sent.
    pub(crate) fn allows(&self, purpose: QueryPurpose, is_urgent: bool) -> bool {
        self.any.has_token(purpose) || (!is_urgent && self.others.has_token(purpose))
    }

    /// Takes one query.
    pub(crate) fn take(&mut self, is_urgent: bool) {
        let bucket = match !is_urgent && self.others.tokens >= 1.0 {
            true => &mut self.others,
            false => &mut self.any,
        };
        bucket.tokens = (bucket.tokens - 1.0).max(0.0);
    }
}
