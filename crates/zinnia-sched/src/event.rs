//! What the daemon tells the scheduler.

use zinnia_types::AttemptId;
use zinnia_types::Document;
use zinnia_types::Epoch;
use zinnia_types::Job;
use zinnia_types::JobId;
use zinnia_types::Resources;
use zinnia_types::TeamId;
use zinnia_types::WorkerId;
use zinnia_types::worker::End;
use zinnia_types::worker::Profile;
use zinnia_types::worker::Report;

/// Input of [`Scheduler::step`](crate::Scheduler::step).
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A worker granted ownership under `epoch`. With an epoch not seen before, `reports` lists
    /// everything that the worker runs, so an attempt that is absent does not run and never will.
    OwnershipGranted {
        /// What the worker is and has.
        profile: Profile,
        /// Epoch under which it is owned.
        epoch: Epoch,
        /// Whether it is leaving.
        leaving: bool,
        /// What it runs, and ends that are not yet acknowledged.
        reports: Vec<Report>,
    },
    /// A heartbeat of an owned worker, with its changes. Reports of another boot are ignored.
    Heartbeat {
        /// The worker.
        worker: WorkerId,
        /// Boot number from the heartbeat.
        boot: u64,
        /// Changes.
        reports: Vec<Report>,
    },
    /// The worker does not answer: nothing is placed on it before its next report.
    Unresponsive {
        /// The worker.
        worker: WorkerId,
    },
    /// The worker's task lease plus margin has elapsed: its attempts no longer run.
    /// It is also sent for workers of the takeover roster that never reported.
    LeaseExpired {
        /// The worker.
        worker: WorkerId,
    },
    /// The worker is leaving: nothing new is placed on it, and what may be repeated moves away.
    Leaving {
        /// The worker.
        worker: WorkerId,
    },
    /// The worker process is known to have ended, and its attempts with it.
    Exited {
        /// The worker.
        worker: WorkerId,
    },
    /// A job of this domain is in the log. A second submission only adds to `done` and `dispatched`.
    Submit {
        /// The job.
        job: Box<Job>,
        /// Tasks that the log records as ended well.
        done: Vec<u32>,
        /// Tasks whose dispatch the log records; they must not be repeated.
        dispatched: Vec<u32>,
        /// Whether it was accepted before the takeover, so that its tasks may be running.
        recovered: bool,
    },
    /// Jobs are cancelled.
    Cancel {
        /// The jobs; unknown ones are ignored.
        jobs: Vec<JobId>,
    },
    /// Another domain has room for a job that waits here. It is released if nothing of it runs, may
    /// be running or is recorded as dispatched; otherwise nothing happens.
    RequestRelease {
        /// The job.
        job: JobId,
    },
    /// A start was answered: the attempt runs.
    Started {
        /// The attempt.
        attempt: AttemptId,
    },
    /// A start was refused, or a tombstone was confirmed: the attempt does not run and never will.
    Refused {
        /// The attempt.
        attempt: AttemptId,
        /// Why.
        reason: StartRefusal,
    },
    /// The answer to a start or a stop was lost.
    Unanswered {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The worker confirmed a stop: the attempt no longer runs and never will.
    Stopped {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended, or `None` when it never ran.
        end: Option<End>,
    },
    /// The worker confirmed that an attempt uses at most `cpu`.
    Throttled {
        /// The attempt.
        attempt: AttemptId,
        /// Thousandths of a core.
        cpu: u64,
    },
    /// The log has recorded the dispatch of tasks that must not be repeated.
    DispatchRecorded {
        /// The job.
        job: JobId,
        /// The tasks.
        tasks: Vec<u32>,
    },
    /// A document is in force.
    Document {
        /// The document.
        document: Box<Document>,
    },
    /// The part of a team's limit that this domain holds.
    Allotment {
        /// The team.
        team: TeamId,
        /// What it may have running here.
        amount: Resources,
    },
    /// This VM became acting owner. Every job is forgotten and must be submitted again.
    Takeover {
        /// Term of the acting owner.
        term: u64,
        /// Workers of the domain. Until each has reported or lapsed, those that have not count
        /// with their whole capacity as used by every team.
        workers: Vec<Profile>,
    },
    /// Whether this VM may start tasks. It may not until this is first sent.
    Active {
        /// Whether it may.
        active: bool,
    },
    /// Capacities of workers in other domains, to which jobs that fit nowhere here are released.
    RemoteCapacities {
        /// One entry for each distinct capacity.
        capacities: Vec<Resources>,
    },
    /// Offset of the wall clock: milliseconds since the Unix epoch at `Time(0)`.
    Clock {
        /// The offset.
        offset_ms: i64,
    },
    /// Time passes; sent at least once in 500 ms.
    Tick,
}

/// Why a start was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartRefusal {
    /// The worker has not enough left.
    NoCapacity {
        /// What it has left.
        free: Resources,
    },
    /// The worker is leaving.
    Leaving,
    /// The epoch is older than the worker's. This alone does not show that the attempt does not
    /// run; the scheduler waits for the worker's next announcement or its lapse.
    StaleEpoch,
    /// The attempt had been refused for good before.
    Tombstone,
}
