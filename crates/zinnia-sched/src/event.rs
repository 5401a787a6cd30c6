//! Events from the daemon to the scheduler.

use zinnia_types::AttemptId;
use zinnia_types::Document;
use zinnia_types::Epoch;
use zinnia_types::Job;
use zinnia_types::JobId;
use zinnia_types::Resources;
use zinnia_types::TeamId;
use zinnia_types::WorkerId;
use zinnia_types::worker::AttemptEnd;
use zinnia_types::worker::AttemptReport;
use zinnia_types::worker::WorkerProfile;

/// Input of [`Scheduler::step`](crate::Scheduler::step).
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A worker granted ownership under `epoch`. With a new epoch, `reports` lists everything that
    /// the worker runs, so an attempt that is not listed does not run and never will.
    OwnershipGranted {
        /// Identity, location and capacity of the worker.
        profile: WorkerProfile,
        /// Epoch under which it is owned.
        epoch: Epoch,
        /// Whether it is leaving.
        leaving: bool,
        /// Its running attempts, and ends that are not yet acknowledged.
        reports: Vec<AttemptReport>,
    },
    /// Heartbeat of an owned worker with the changes since the last one. Heartbeats of another boot
    /// are ignored.
    Heartbeat {
        /// The worker.
        worker: WorkerId,
        /// Boot number from the heartbeat.
        boot: u64,
        /// Attempts that changed.
        reports: Vec<AttemptReport>,
    },
    /// The worker does not answer: nothing is placed on it until its next heartbeat.
    Unresponsive {
        /// The worker.
        worker: WorkerId,
    },
    /// The task lease of the worker plus a safety margin has elapsed, so its attempts no longer
    /// run. Also sent for workers of the takeover that never reported.
    LeaseExpired {
        /// The worker.
        worker: WorkerId,
    },
    /// The worker is leaving: nothing is placed on it, and its repeatable attempts are checkpointed
    /// and started elsewhere.
    Leaving {
        /// The worker.
        worker: WorkerId,
    },
    /// The worker process has exited, and its attempts with it.
    Exited {
        /// The worker.
        worker: WorkerId,
    },
    /// The log has accepted a job for this domain. A repeated submission only updates `done` and
    /// `dispatched`.
    Submit {
        /// The job.
        job: Box<Job>,
        /// Tasks that the log records as done.
        done: Vec<u32>,
        /// Tasks whose dispatch the log records; they must not be repeated.
        dispatched: Vec<u32>,
        /// Whether it was accepted before the takeover, so that its tasks may be running.
        recovered: bool,
    },
    /// Cancels jobs.
    Cancel {
        /// The jobs; unknown ones are ignored.
        jobs: Vec<JobId>,
    },
    /// Another domain has capacity for a queued job. The job is released unless one of its tasks
    /// may be running or is recorded as dispatched.
    RequestRelease {
        /// The job.
        job: JobId,
    },
    /// A worker confirmed a start: the attempt runs.
    Started {
        /// The attempt.
        attempt: AttemptId,
    },
    /// A worker refused a start or confirmed a tombstone: the attempt does not run and never will.
    Refused {
        /// The attempt.
        attempt: AttemptId,
        /// Reason for the refusal.
        reason: StartRefusal,
    },
    /// A start or stop was not answered.
    Unanswered {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The worker confirmed a stop: the attempt no longer runs and never will.
    Stopped {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended, or `None` when it never ran.
        end: Option<AttemptEnd>,
    },
    /// The worker confirmed that an attempt uses at most `cpu`.
    Throttled {
        /// The attempt.
        attempt: AttemptId,
        /// Processor limit in thousandths of a core.
        cpu: u64,
    },
    /// The log has recorded the dispatch of tasks that must not be repeated.
    DispatchRecorded {
        /// The job.
        job: JobId,
        /// The tasks.
        tasks: Vec<u32>,
    },
    /// A document was applied.
    Document {
        /// The document.
        document: Box<Document>,
    },
    /// The part of a team's limit that is allotted to this domain changed.
    Allotment {
        /// The team.
        team: TeamId,
        /// Resources that its attempts may use here.
        amount: Resources,
    },
    /// This VM became the acting owner. All jobs are dropped and must be submitted again.
    Takeover {
        /// Term of the acting owner.
        term: u64,
        /// Workers of the domain. Until a worker has reported or its lease has expired, its whole
        /// capacity counts as used by every team.
        workers: Vec<WorkerProfile>,
    },
    /// Sets whether this VM may start tasks. It may not before the first such event.
    Active {
        /// Whether it may.
        active: bool,
    },
    /// Capacities of workers in other domains, to which jobs are released that fit no worker here.
    RemoteCapacities {
        /// One entry for each distinct capacity.
        capacities: Vec<Resources>,
    },
    /// Offset between the wall clock and the scheduler's time.
    Clock {
        /// Milliseconds since the Unix epoch at `Time(0)`.
        offset_ms: i64,
    },
    /// Time has passed. Sent at least every 500 ms.
    Tick,
}

/// Why a start was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartRefusal {
    /// The worker has not enough free resources.
    NoCapacity {
        /// Its free resources.
        free: Resources,
    },
    /// The worker is leaving.
    Leaving,
    /// The epoch is older than that of the worker. The attempt may still run, so the scheduler
    /// waits until the worker announces itself again or its lease expires.
    StaleEpoch,
    /// The worker holds a tombstone for the attempt: it was refused for good before.
    Tombstone,
}
