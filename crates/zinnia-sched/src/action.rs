//! What the scheduler asks the daemon to do.

use zinnia_types::AttemptId;
use zinnia_types::Epoch;
use zinnia_types::JobId;
use zinnia_types::Outcome;
use zinnia_types::Resources;
use zinnia_types::TeamId;
use zinnia_types::Time;
use zinnia_types::WorkerId;
use zinnia_types::worker::End;
use zinnia_types::worker::Task;

/// Output of [`Scheduler::step`](crate::Scheduler::step), to be performed in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt; answered by `Started`, `Refused` or `Unanswered`.
    Start {
        /// Where.
        worker: WorkerId,
        /// Owner epoch.
        epoch: Epoch,
        /// The attempt.
        attempt: AttemptId,
        /// What to run.
        task: Box<Task>,
    },
    /// Stop an attempt; answered by `Stopped`, a report of its end, or `Unanswered`.
    Stop {
        /// Where.
        worker: WorkerId,
        /// Owner epoch.
        epoch: Epoch,
        /// The attempt.
        attempt: AttemptId,
        /// Whether to save a checkpoint first.
        checkpoint: bool,
        /// Why.
        reason: StopReason,
    },
    /// Limit the processor of an attempt; answered by `Throttled`.
    Throttle {
        /// Where.
        worker: WorkerId,
        /// Owner epoch.
        epoch: Epoch,
        /// The attempt.
        attempt: AttemptId,
        /// Thousandths of a core that it may use.
        cpu: u64,
    },
    /// Make the worker refuse an attempt for good, since its start or stop had no answer;
    /// answered by `Refused` or `Stopped`, or by a report.
    Refuse {
        /// Where.
        worker: WorkerId,
        /// Owner epoch.
        epoch: Epoch,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Record in the log that tasks are dispatched; answered by `DispatchRecorded`.
    RecordDispatch {
        /// The job.
        job: JobId,
        /// The tasks.
        tasks: Vec<u32>,
    },
    /// A task ended well, or ended in a way that is final.
    TaskEnded {
        /// The attempt.
        attempt: AttemptId,
        /// Where it ran.
        worker: WorkerId,
        /// How it ended.
        end: End,
    },
    /// A job ended. Nothing of it runs any more, and it is forgotten.
    JobEnded {
        /// The job.
        job: JobId,
        /// How.
        outcome: Outcome,
    },
    /// Give a job, of which nothing runs, to a domain that can run it. It is forgotten here.
    Release {
        /// The job.
        job: JobId,
        /// Which need cannot be met here.
        reason: String,
    },
    /// What a team could use in this domain: running and queued, up to its limit.
    Demand {
        /// The team.
        team: TeamId,
        /// The amount.
        amount: Resources,
    },
    /// A worker gets nothing until the given time, since it fails what it starts. A time that is
    /// not later than now ends a quarantine for which the jobs turned out to be at fault.
    Quarantine {
        /// The worker.
        worker: WorkerId,
        /// When it is probed with a single task.
        until: Time,
    },
}

/// Why an attempt is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// Its job was cancelled.
    Cancelled,
    /// Its job failed.
    JobFailed,
    /// Another task of its gang was lost or did not start.
    Gang,
    /// It makes room for urgent work.
    Urgent,
    /// Its team runs more than its share while another waits for its own.
    Share,
    /// Its worker is leaving.
    Leaving,
    /// The task already ended or runs elsewhere.
    Superseded,
    /// No job of this domain owns it.
    Orphan,
}
