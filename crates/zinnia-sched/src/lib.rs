//! Decides where tasks run, in which order jobs are served and how teams share the capacity.
//!
//! [`Scheduler::step`] takes an [`Event`] and the current time, and returns the [`Action`]s to
//! perform. It does no I/O, reads no clock, and takes its random numbers from the seed in
//! [`Settings`], so the same inputs always give the same decisions.
//!
//! # Order of events
//!
//! A VM that becomes acting owner sends `Takeover`, `Document`, one `Allotment` per team, `Clock`,
//! `RemoteCapacities`, and then `Submit` for each open job of the failure domain. `Active` may be
//! sent at any time; no task starts before it. `OwnershipGranted` and `LeaseExpired` may arrive at
//! any point in this sequence. After that the daemon forwards each event as it happens, including
//! every `Heartbeat`, even if it carries no change, and sends `Tick` at least every 500 ms.
//!
//! # Requirements on the caller
//!
//! - A refused start is final: the worker keeps a tombstone for the attempt, also when it refused
//!   for lack of capacity or because it is leaving.
//! - A worker refuses commands that carry an older epoch. The list of reports that comes with a new
//!   epoch is complete.
//! - Each takeover has a new term, also after a restart of the same VM, so that attempt ids are
//!   never reused.
//! - `LeaseExpired` is sent only after the task lease and the safety margin have elapsed.
//! - A `RecordDispatch` that is proposed twice is recorded once.
//!
//! # Example
//!
//! ```
//! use zinnia_sched::Action;
//! use zinnia_sched::Event;
//! use zinnia_sched::Policy;
//! use zinnia_sched::Scheduler;
//! use zinnia_sched::Settings;
//! use zinnia_types::JobId;
//! use zinnia_types::Time;
//!
//! let mut scheduler = Scheduler::new(Settings::default(), Policy::default());
//! scheduler.step(Event::Active { active: true }, Time(0));
//! let jobs = vec![JobId(7)];
//! let actions: Vec<Action> = scheduler.step(Event::Cancel { jobs }, Time(5));
//! assert!(actions.is_empty(), "the job is unknown");
//! ```

mod accounting;
mod action;
mod answers;
mod attempt;
mod changes;
mod dispatch;
mod dump;
mod estimate;
mod event;
mod fits;
mod fleet;
mod gang;
mod health;
mod index;
mod job_state;
mod jobs;
mod place;
mod policy;
mod queue;
mod reclaim;
mod retry;
mod scheduler;
mod settings;
mod team;
mod tick;
mod timer;
mod urgent;
mod workers;

pub use action::Action;
pub use action::StopReason;
pub use event::Event;
pub use event::StartRefusal;
pub use fleet::Fleet;
pub use fleet::Worker;
pub use place::best_fit;
pub use place::first_fit;
pub use policy::OrderFn;
pub use policy::PlacementFn;
pub use policy::PlacementRequest;
pub use policy::Policy;
pub use policy::QueuedJob;
pub use policy::Quota;
pub use policy::SplitFn;
pub use policy::TeamShare;
pub use policy::equal_quota;
pub use policy::fifo;
pub use policy::least_slack;
pub use policy::weighted_quota;
pub use scheduler::Counters;
pub use scheduler::Scheduler;
pub use settings::HealthSettings;
pub use settings::QueueSettings;
pub use settings::RetrySettings;
pub use settings::Settings;
