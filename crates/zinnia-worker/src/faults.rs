//! Fault injection.

use serde::Deserialize;
use serde::Serialize;

/// Faults that a worker injects into tasks and calls; the default injects none.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultInjection {
    /// Makes every task fail right after its start and every call return an error after it ran.
    pub fail: bool,
    /// Makes tasks and calls hang: they start, but never end by themselves.
    pub stall: bool,
    /// Reported resource usage as a percentage of the actual usage.
    pub usage_percent: u64,
    /// Delay in milliseconds of each response to a command or a call, after the work was done.
    #[serde(rename = "late_ms")]
    pub response_delay_ms: u64,
}

impl Default for FaultInjection {
    fn default() -> Self {
        Self {
            fail: false,
            stall: false,
            usage_percent: 100,
            response_delay_ms: 0,
        }
    }
}
