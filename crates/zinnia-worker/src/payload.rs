//! Payload of a simulated task.

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use zinnia_types::Class;
use zinnia_types::Resources;
use zinnia_types::worker::Task;

/// Run time in milliseconds if the payload sets none.
const DEFAULT_RUN_MS: u64 = 1_000;
/// Time in milliseconds to save a checkpoint if the payload sets none.
const DEFAULT_CHECKPOINT_MS: u64 = 50;

/// Payload of a simulated task. Unknown fields are ignored.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct SimPayload {
    /// Run time in milliseconds without throttling. A service without a run time runs until it is
    /// stopped.
    pub run_ms: Option<u64>,
    /// Exit status; the task fails unless it is 0.
    pub exit: i32,
    /// CPU usage in thousandths of a core; defaults to the need.
    pub use_cpu: Option<u64>,
    /// Memory usage in MiB; defaults to the need.
    pub use_mem: Option<u64>,
    /// Time in milliseconds to save a checkpoint.
    pub checkpoint_ms: Option<u64>,
    /// For services: run time of each call in milliseconds.
    pub delay_ms: u64,
}

impl SimPayload {
    /// Parses the payload of `task`. Returns the defaults if it is null or invalid.
    pub fn from_task(task: &Task) -> Self {
        match &task.payload {
            Value::Null => Self::default(),
            payload => serde_json::from_value(payload.clone()).unwrap_or_default(),
        }
    }

    /// Run time in milliseconds, or `None` if the task does not end by itself.
    pub(crate) fn run_ms(&self, class: Class) -> Option<u64> {
        match class {
            Class::Service => self.run_ms,
            Class::Batch | Class::Gang => Some(self.run_ms.unwrap_or(DEFAULT_RUN_MS)),
        }
    }

    pub(crate) fn checkpoint_ms(&self) -> u64 {
        self.checkpoint_ms.unwrap_or(DEFAULT_CHECKPOINT_MS)
    }

    /// Resource usage of the task under a limit of `cpu_limit` thousandths of a core.
    pub(crate) fn usage(&self, need: Resources, cpu_limit: u64) -> Resources {
        Resources {
            cpu: self.use_cpu.unwrap_or(need.cpu).min(cpu_limit),
            mem: self.use_mem.unwrap_or(need.mem),
            gpu: need.gpu,
        }
    }
}
