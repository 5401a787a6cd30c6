//! Router settings.

use serde::Deserialize;
use serde::Serialize;

/// Settings of a [`crate::Router`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Seed of the random number generator.
    pub seed: u64,
    /// Limits on queued calls.
    pub queue: QueueSettings,
    /// Retry budget.
    pub retry: RetrySettings,
    /// Ejection of failing workers.
    pub eject: EjectionSettings,
}

/// Limits on queued calls.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct QueueSettings {
    /// Most queued calls per service.
    #[serde(rename = "calls")]
    pub max_calls: usize,
    /// Longest accepted queueing delay in milliseconds; a call with a longer expected one is refused.
    pub wait_ms: u64,
    /// Upper limit in milliseconds on the deadline of a call.
    pub limit_ms: u64,
    /// Time in milliseconds after which the connection of an abandoned attempt is taken as closed.
    pub grace_ms: u64,
    /// Time in milliseconds for which calls stay queued while no worker serves the service.
    pub empty_ms: u64,
    /// Most calls in flight of a team that is not in the document.
    pub team_calls: u32,
}

impl Default for QueueSettings {
    fn default() -> Self {
        Self {
            // Bounds memory; the expected wait usually refuses calls earlier.
            max_calls: 8_192,
            // With a longer wait the caller is better off being refused and trying another VM.
            wait_ms: 100,
            limit_ms: 60_000,
            grace_ms: 5_000,
            empty_ms: 5_000,
            team_calls: 256,
        }
    }
}

/// Retry budget.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RetrySettings {
    /// Retries per hundred calls of a service.
    pub percent: u32,
    /// Most retries that an unused budget accumulates.
    pub burst: u32,
    /// Most retries of one call.
    #[serde(rename = "most")]
    pub max_retries: u32,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            percent: 10,
            burst: 20,
            max_retries: 2,
        }
    }
}

/// Ejection of failing workers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EjectionSettings {
    /// Consecutive failures that eject a worker.
    pub failures: u32,
    /// Consecutive refused connections that eject a worker.
    #[serde(rename = "refused")]
    pub refused_connections: u32,
    /// Duration of the first ejection in milliseconds; doubles with each further one.
    #[serde(rename = "first_ms")]
    pub base_ms: u64,
    /// Longest ejection in milliseconds.
    #[serde(rename = "limit_ms")]
    pub max_ms: u64,
    /// Largest percentage of a service's workers that may be ejected at the same time.
    #[serde(rename = "percent")]
    pub max_percent: u32,
    /// Consecutive successes after which the duration starts at `base_ms` again.
    #[serde(rename = "calm")]
    pub reset_successes: u32,
}

impl Default for EjectionSettings {
    fn default() -> Self {
        Self {
            failures: 5,
            // A refused connection is stronger evidence than an error: no process listens there.
            refused_connections: 2,
            base_ms: 1_000,
            max_ms: 60_000,
            max_percent: 50,
            reset_successes: 20,
        }
    }
}
