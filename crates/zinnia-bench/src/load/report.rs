//! Latencies and outcomes of a load run.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Deserialize;
use serde::Serialize;

/// Maximum latency that the histogram can represent, in microseconds; longer ones are clamped to
/// it.
const MAX_LATENCY_US: u64 = 120_000_000;

/// Collects latencies and outcomes of one kind of request.
pub(crate) struct RequestStats {
    latency: Histogram<u64>,
    refused: BTreeMap<String, u64>,
    no_response: u64,
}

impl RequestStats {
    pub(crate) fn new() -> anyhow::Result<Self> {
        Ok(Self {
            latency: Histogram::new_with_bounds(1, MAX_LATENCY_US, 3)?,
            refused: BTreeMap::new(),
            no_response: 0,
        })
    }

    /// Records a successful request with its latency in microseconds.
    pub(crate) fn record_granted(&mut self, latency_us: u64) {
        self.latency.saturating_record(latency_us.max(1));
    }

    /// Records a refused request with the code of the refusal.
    pub(crate) fn record_refused(&mut self, code: String) {
        *self.refused.entry(code).or_default() += 1;
    }

    /// Records a request without a response.
    pub(crate) fn record_no_response(&mut self) {
        self.no_response += 1;
    }

    pub(crate) fn summary(&self) -> RequestSummary {
        let ms = |us: u64| us as f64 / 1_000.0;
        let refused: u64 = self.refused.values().sum();
        RequestSummary {
            sent: self.latency.len() + refused + self.no_response,
            granted: self.latency.len(),
            refused: self.refused.clone(),
            lost: self.no_response,
            p50_ms: ms(self.latency.value_at_quantile(0.50)),
            p90_ms: ms(self.latency.value_at_quantile(0.90)),
            p99_ms: ms(self.latency.value_at_quantile(0.99)),
            p999_ms: ms(self.latency.value_at_quantile(0.999)),
            max_ms: ms(self.latency.max()),
        }
    }
}

/// Statistics of one kind of request. Latencies count from the scheduled send time, so that a
/// sender that falls behind does not hide them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct RequestSummary {
    /// Number of requests.
    pub(crate) sent: u64,
    /// Number of successful requests.
    pub(crate) granted: u64,
    /// Number of refused requests or failed jobs by error code or state.
    pub(crate) refused: BTreeMap<String, u64>,
    /// Number of requests without a response, or of jobs whose end was not observed.
    pub(crate) lost: u64,
    pub(crate) p50_ms: f64,
    pub(crate) p90_ms: f64,
    pub(crate) p99_ms: f64,
    pub(crate) p999_ms: f64,
    pub(crate) max_ms: f64,
}

/// Result of a load run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct LoadReport {
    pub(crate) deployment: String,
    pub(crate) seed: u64,
    pub(crate) seconds: f64,
    /// Configured rate of calls a second outside the burst.
    pub(crate) calls_rate: f64,
    /// Configured rate of submissions a second outside the burst.
    pub(crate) jobs_rate: f64,
    /// Largest delay of a request behind its scheduled send time; a large value means that the load
    /// generator was overloaded.
    pub(crate) behind_ms: f64,
    /// Statistics by kind of request. `call`: service calls. `submit`: submissions. `finish`: from
    /// the scheduled submission of a job to its observed end. `urgent`: from the scheduled
    /// submission of an urgent job to its first start on a worker, only for a cell in this process.
    pub(crate) requests: BTreeMap<String, RequestSummary>,
    /// Propagation delays in milliseconds, only for a cell in this process. `key_ms`: from the
    /// withdrawal of a key until every VM refuses it. `document_ms`: from applying a document until
    /// it is in force on every VM.
    pub(crate) figures: BTreeMap<String, f64>,
}

impl LoadReport {
    /// Formats the result as a table.
    pub(crate) fn table(&self) -> String {
        let heading = format!(
            "{} seed {}, {:.0} s, {} calls/s and {} jobs/s, requests sent at most {:.1} ms late",
            self.deployment,
            self.seed,
            self.seconds,
            self.calls_rate,
            self.jobs_rate,
            self.behind_ms
        );
        let mut lines = vec![heading];
        lines.push(format!(
            "{:<8} {:>8} {:>8} {:>8} {:>6} {:>9} {:>9} {:>9} {:>9} {:>9}",
            "request",
            "sent",
            "granted",
            "refused",
            "lost",
            "p50 ms",
            "p90 ms",
            "p99 ms",
            "p99.9 ms",
            "max ms"
        ));
        for (name, s) in &self.requests {
            let refused: u64 = s.refused.values().sum();
            lines.push(format!(
                "{:<8} {:>8} {:>8} {:>8} {:>6} {:>9.2} {:>9.2} {:>9.2} {:>9.2} {:>9.2}",
                name,
                s.sent,
                s.granted,
                refused,
                s.lost,
                s.p50_ms,
                s.p90_ms,
                s.p99_ms,
                s.p999_ms,
                s.max_ms
            ));
        }
        for (name, ms) in &self.figures {
            lines.push(format!("{name:<12} {ms:>9.1}"));
        }
        lines.join("\n")
    }
}
