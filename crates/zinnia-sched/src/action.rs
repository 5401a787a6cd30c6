//! What the scheduler asks the daemon to do.

use zinnia_types::AttemptId;
use zinnia_types::Epoch;
use zinnia_types::JobId;
use zinnia_types::Outcome;
use zinnia_types::Resources;
use zinnia_types::TeamId;
use zinnia_types::Time;
use zinnia_types::WorkerId;
use zinnia_types::worker::AttemptEnd;
use zinnia_types::worker::Task;

/// Output of [`Scheduler::step`](crate::Scheduler::step), to be performed in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Starts an attempt; answered by `Started`, `Refused` or `Unanswered`.
    Start {
        /// Worker that runs it.
        worker: WorkerId,
        /// Owner epoch.
        epoch: Epoch,
        /// The attempt.
        attempt: AttemptId,
        /// Task to run.
        task: Box<Task>,
    },
    /// Stops an attempt; answered by `Stopped`, a report of its end, or `Unanswered`.
    Stop {
        /// Worker that runs it.
        worker: WorkerId,
        /// Owner epoch.
        epoch: Epoch,
        /// The attempt.
        attempt: AttemptId,
        /// Whether to save a checkpoint first.
        checkpoint: bool,
        /// Reason for the stop.
        reason: StopReason,
    },
    /// Limits the processor of an attempt; answered by `Throttled`.
    Throttle {
        /// Worker that runs it.
        worker: WorkerId,
        /// Owner epoch.
        epoch: Epoch,
        /// The attempt.
        attempt: AttemptId,
        /// Processor limit in thousandths of a core.
        cpu: u64,
    },
    /// Makes the worker refuse an attempt for good, because its start was not answered; answered by
    /// `Refused` or `Stopped`, or by a report.
    Refuse {
        /// Worker to which the start was sent.
        worker: WorkerId,
        /// Owner epoch.
        epoch: Epoch,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Records the dispatch of tasks in the log; answered by `DispatchRecorded`.
    RecordDispatch {
        /// The job.
        job: JobId,
        /// The tasks.
        tasks: Vec<u32>,
    },
    /// A task succeeded, or ended and is not retried.
    TaskEnded {
        /// The attempt.
        attempt: AttemptId,
        /// Worker on which it ran.
        worker: WorkerId,
        /// How it ended.
        end: AttemptEnd,
    },
    /// A job ended. None of its attempts runs, and the scheduler has dropped it.
    JobEnded {
        /// The job.
        job: JobId,
        /// Its outcome.
        outcome: Outcome,
    },
    /// Releases a job of which no attempt runs to a domain that can run it. The scheduler has
    /// dropped it.
    Release {
        /// The job.
        job: JobId,
        /// Why it is not run here.
        reason: String,
    },
    /// Demand of a team in this domain: what its tasks use and what the queued ones need, up to its
    /// limit.
    Demand {
        /// The team.
        team: TeamId,
        /// The resources.
        amount: Resources,
    },
    /// Quarantines a worker because tasks fail on it. A time that is not later than now ends a
    /// quarantine, because a task succeeded on the worker or the jobs turned out to be at fault.
    Quarantine {
        /// The worker.
        worker: WorkerId,
        /// End of the quarantine, when the worker is probed with a single task.
        until: Time,
    },
}

/// Reason why an attempt is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// Its job was cancelled.
    Cancelled,
    /// Its job failed.
    JobFailed,
    /// Another task of its gang was lost or did not start.
    Gang,
    /// It was preempted by an urgent job.
    Urgent,
    /// Its team is above its fair share and another team is below its own.
    Share,
    /// Its worker is leaving.
    Leaving,
    /// The task has already ended or runs in another attempt.
    Superseded,
    /// Its job is not known in this domain.
    Orphan,
}
