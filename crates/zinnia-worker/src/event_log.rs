//! Event records of a worker, from which tests and checkers verify what ran where.

use std::hash::DefaultHasher;
use std::hash::Hasher;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use serde::Serialize;
use zinnia_types::AttemptId;
use zinnia_types::Resources;
use zinnia_types::ServiceId;
use zinnia_types::TeamId;
use zinnia_types::Time;
use zinnia_types::WorkerId;
use zinnia_types::worker::AttemptEnd;

/// The number that [`next_sequence`] returns next.
static NEXT_SEQUENCE: AtomicU64 = AtomicU64::new(0);

/// Draws the next number of a sequence that orders all events of this process.
///
/// Timestamps in milliseconds are too coarse for this: the end of an attempt on one worker and the
/// start that follows from it on another worker may carry the same time.
pub fn next_sequence() -> u64 {
    NEXT_SEQUENCE.fetch_add(1, Ordering::SeqCst)
}

/// An event of a worker with its time and position.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct EventRecord {
    /// Time of the event on the clock of [`crate::now`].
    pub at: Time,
    /// Position among all events of this process, see [`next_sequence`].
    #[serde(rename = "place")]
    pub sequence: u64,
    /// The worker.
    pub worker: WorkerId,
    /// The event.
    #[serde(rename = "entry")]
    pub event: WorkerEvent,
}

/// Event on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case", tag = "entry")]
pub enum WorkerEvent {
    /// The worker process started.
    Up {
        /// Its boot number.
        boot: u64,
    },
    /// The worker process ended, and with it every attempt and call that ran there.
    Down,
    /// An attempt started.
    Started {
        /// The attempt.
        attempt: AttemptId,
        /// Team that is charged for the resources.
        team: TeamId,
        /// Resources that are reserved for the attempt.
        need: Resources,
        /// Whether the task may be retried after an attempt that may have run.
        repeat: bool,
    },
    /// An attempt ended.
    Ended {
        /// The attempt.
        attempt: AttemptId,
        /// Result of the attempt on the worker.
        end: AttemptEnd,
    },
    /// A call started.
    Called {
        /// The service.
        service: ServiceId,
        /// Request id, if the caller sent one.
        id: Option<String>,
        /// Digest of the request body, see [`crate::digest`].
        request: u64,
    },
    /// A call was answered, or dropped because its caller closed the connection.
    Served {
        /// The service.
        service: ServiceId,
        /// Request id, if the caller sent one.
        id: Option<String>,
        /// Digest of the response body; absent if the call failed or was dropped.
        response: Option<u64>,
    },
}

/// Digest of a request or response body, used to compare bodies across records.
pub fn digest(body: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    hasher.write(body);
    hasher.finish()
}

/// Event log of one worker; clones share the records.
#[derive(Clone, Debug)]
pub(crate) struct EventLog {
    worker: WorkerId,
    records: Arc<Mutex<Vec<EventRecord>>>,
}

impl EventLog {
    pub(crate) fn new(worker: WorkerId) -> Self {
        Self {
            worker,
            records: Arc::default(),
        }
    }

    /// Adds a record, unless the worker was stopped. Returns whether the event was recorded.
    pub(crate) fn add(&self, event: WorkerEvent) -> bool {
        let mut records = self.lock();
        if matches!(records.last(), Some(last) if last.event == WorkerEvent::Down) {
            // The simulated process has ended, so an operation that still runs must not show.
            return false;
        }
        // The clock is read under the lock to keep the records in order of time.
        let at = crate::now();
        records.push(EventRecord {
            at,
            sequence: next_sequence(),
            worker: self.worker,
            event,
        });
        true
    }

    pub(crate) fn records(&self) -> Vec<EventRecord> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<EventRecord>> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
