//! Task placement, queueing and fairness decisions without I/O.
//!
//! [`Scheduler::step`] takes an [`Event`] and the time, and returns [`Action`]s. It does no I/O,
//! reads no clock and draws random numbers only from the seed in [`Settings`].
//!
//! # Order of events
//!
//! A new acting owner sends `Takeover`, `Document`, one `Allot` for each team, `Clock`, `Elsewhere`
//! and then `Submit` for each open job of the domain; `Active` comes last or at any time, and
//! nothing is started without it. `Worker` and `Lapsed` may arrive in between. From then on the
//! daemon passes on what happens, every heartbeat as `Reports` even when it carries no change, and
//! a `Tick` at least every 500 ms.
//!
//! # What the caller guarantees
//!
//! - A refused start is refused for good: the worker keeps a tombstone for it, also when it had no
//!   capacity or was leaving.
//! - A command under an older epoch is refused by the worker. The list of reports that comes with a
//!   new epoch is complete.
//! - The term of a takeover is new, also after a restart of the same VM, so that no attempt id is
//!   used twice.
//! - `Lapsed` is sent only after the task lease and the margin.
//! - A `Record` that is proposed twice is recorded once.
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

mod action;
mod answers;
mod attempt;
mod changes;
mod dispatch;
mod dump;
mod estimate;
mod event;
mod fair;
mod fits;
mod fleet;
mod gang;
mod health;
mod index;
mod jobs;
mod ledger;
mod place;
mod policy;
mod queue;
mod retry;
mod scheduler;
mod settings;
mod team;
mod tick;
mod timer;
mod urgent;
mod work;
mod workers;

pub use action::Action;
pub use action::StopReason;
pub use event::Event;
pub use event::Refusal;
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
