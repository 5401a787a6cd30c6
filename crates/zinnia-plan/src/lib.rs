//! Scheduling of jobs with several steps: the replicated state of a cell and the decisions of its
//! leader.
//!
//! [`State`] is the replicated state machine: [`State::apply`] applies committed records.
//! [`Leader`] holds the volatile knowledge of the leader, such as which workers respond. It
//! proposes records and requests orders, polls and policy queries. Neither accesses a clock, a file
//! or a socket.

mod admission;
mod assignment;
mod backlog;
mod capacity;
mod crash;
mod document;
mod gang;
mod headroom;
mod heartbeat;
mod inherited;
mod job;
mod leader;
mod lease;
mod lease_times;
mod orders;
mod placement;
mod plan;
mod policy;
mod polls;
mod record;
mod retired;
mod runs;
mod silence;
mod spec;
mod state;
mod suitability;
mod team_limit;
mod wait_reason;
mod waiting;
mod worker_index;
mod worker_view;

pub use admission::AdmissionSettings;
pub use admission::Load;
pub use admission::Refusal;
pub use admission::RefusalReason;
pub use admission::refuse_job;
pub use backlog::Backlog;
pub use document::Document;
pub use document::DocumentError;
pub use document::Policy;
pub use document::Pool;
pub use document::Queue;
pub use document::Route;
pub use document::Team;
pub use heartbeat::Heartbeat;
pub use heartbeat::RelayedHeartbeat;
pub use job::Job;
pub use job::Status;
pub use job::StepState;
pub use job::Task;
pub use leader::Leader;
pub use lease::lease_bound_ms;
pub use lease::lease_within_ms;
pub use lease_times::LeaseTimes;
pub use plan::ExpiredLease;
pub use plan::Plan;
pub use plan::Poll;
pub use plan::RunOrder;
pub use plan::Settings;
pub use plan::SilentWorker;
pub use plan::StartOrder;
pub use plan::StartOutcome;
pub use policy::PolicyQuery;
pub use policy::QueryBudget;
pub use record::Batch;
pub use record::End;
pub use record::EndReason;
pub use record::Incarnation;
pub use record::LeaseChanges;
pub use record::ReceivedRun;
pub use record::Record;
pub use record::Reply;
pub use record::ResumedRenewal;
pub use record::Start;
pub use record::StoppedRenewal;
pub use silence::Silence;
pub use spec::BadTaskId;
pub use spec::JobSpec;
pub use spec::Repeat;
pub use spec::Resources;
pub use spec::Step;
pub use spec::StepId;
pub use spec::TaskId;
pub use state::State;
pub use state::Worker;
pub use wait_reason::OldestStep;
pub use wait_reason::WaitReason;
pub use wait_reason::WaitingSteps;
pub use worker_view::ActiveRun;
pub use worker_view::Report;
