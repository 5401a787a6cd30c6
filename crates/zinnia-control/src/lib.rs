//! A process of a cell that schedules jobs with several steps.
//!
//! Every process has a [`Gateway`], which finds the leader and sends requests to it. A process with
//! a data folder is also a [`Member`] of the replicated log; the leading member makes the decisions
//! for the whole cell.

mod context;
mod deadline;
mod evacuation;
mod gateway;
mod heartbeat_relay;
mod leader;
mod leader_memory;
mod load_monitor;
mod log_hooks;
mod log_queue;
mod member;
mod membership;
mod message;
mod policy_queries;
mod process;
mod requests;
mod settings;
mod settlement;
mod transport;

pub use deadline::LeaderClock;
pub use deadline::LeaderTime;
pub use gateway::Gateway;
pub use heartbeat_relay::Receiver;
pub use heartbeat_relay::heartbeat_receivers;
pub use heartbeat_relay::receiver_of;
pub use member::Member;
pub use membership::Membership;
pub use message::Answer;
pub use message::CallerAction;
pub use message::CallerRequest;
pub use message::EvacuationRequest;
pub use message::Request;
pub use process::Process;
pub use settings::Settings;
pub use transport::PolicyTickets;
pub use transport::Transport;
pub use transport::TransportCall;
pub use transport::TransportFuture;
