//! Settings of the agent.

use serde::Deserialize;
use serde::Serialize;
use zinnia_types::Epoch;
use zinnia_types::LeaseSettings;

/// Settings of an [`crate::Agent`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Seed of the random delays.
    pub seed: u64,
    /// Epoch before the first one that is offered.
    ///
    /// It must exceed all epochs of earlier boots of the worker. A command carries an epoch but no
    /// boot number, so a delayed command to an earlier boot would be obeyed if the epochs were
    /// equal.
    #[serde(rename = "floor")]
    pub epoch_floor: Epoch,
    /// Leases and the heartbeat interval.
    pub leases: LeaseSettings,
    /// Search for an owner.
    pub search: SearchSettings,
    /// Reports to the owner.
    pub reports: ReportSettings,
    /// Tombstones of refused and forgotten attempts.
    pub tombstones: TombstoneSettings,
}

/// Settings of the search for an owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct SearchSettings {
    /// Addresses of VMs as `ip:port`, those of the worker's failure domain first.
    pub vms: Vec<String>,
    /// Timeout of an announcement in milliseconds.
    pub timeout_ms: u64,
    /// Mean delay in milliseconds after a first round in which no VM accepted. It doubles with each
    /// further round.
    pub backoff_ms: u64,
    /// Largest mean delay between rounds in milliseconds.
    #[serde(rename = "limit_ms")]
    pub max_backoff_ms: u64,
    /// Largest random delay in milliseconds before the first announcement after the worker lost its
    /// owner. It keeps the workers of a failed VM from announcing themselves all at once.
    #[serde(rename = "spread_ms")]
    pub jitter_ms: u64,
    /// Largest number of redirects that are followed in one round.
    #[serde(rename = "redirects")]
    pub max_redirects: u32,
}

impl Default for SearchSettings {
    fn default() -> Self {
        Self {
            vms: Vec::new(),
            // A worker must be schedulable again within the owner lease plus 2 s, which leaves time
            // for two unanswered announcements.
            timeout_ms: 700,
            backoff_ms: 200,
            max_backoff_ms: 5_000,
            jitter_ms: 200,
            max_redirects: 8,
        }
    }
}

/// Settings of the reports to the owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ReportSettings {
    /// Shortest interval in milliseconds between two heartbeats while an end or a refusal is unsent.
    #[serde(rename = "early_ms")]
    pub urgent_interval_ms: u64,
    /// Shortest interval in milliseconds between two usage reports of one attempt.
    #[serde(rename = "usage_ms")]
    pub usage_interval_ms: u64,
    /// Change of usage, as a percentage of the need, above which the usage is reported.
    #[serde(rename = "step_percent")]
    pub threshold_percent: u64,
    /// Time in milliseconds after which an acknowledged end is reported again, because the answer
    /// that carried its `forget` may have been lost.
    #[serde(rename = "remind_ms")]
    pub resend_ms: u64,
    /// Largest number of ends that are kept. At this number the worker refuses starts, since an end
    /// must not be dropped before the owner has recorded it.
    #[serde(rename = "ends")]
    pub max_ends: usize,
}

impl Default for ReportSettings {
    fn default() -> Self {
        Self {
            urgent_interval_ms: 250,
            usage_interval_ms: 9_000,
            threshold_percent: 10,
            resend_ms: 15_000,
            max_ends: 8_192,
        }
    }
}

/// Bounds on the tombstones of attempts that must not start on the worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TombstoneSettings {
    /// Largest number of tombstones.
    #[serde(rename = "count")]
    pub max_count: usize,
    /// Age in milliseconds from which a tombstone is dropped.
    #[serde(rename = "age_ms")]
    pub max_age_ms: u64,
}

impl Default for TombstoneSettings {
    fn default() -> Self {
        Self {
            max_count: 8_192,
            // A tombstone of this age makes the worker renew its epoch, which costs one full
            // announcement. At 1,700 workers, that is one announcement every 2 s.
            max_age_ms: 3_600_000,
        }
    }
}
