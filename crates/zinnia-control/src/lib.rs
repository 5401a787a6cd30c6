//! A process of a cell that runs jobs in steps.
//!
//! Every process has a [`Gateway`] that finds the leader and asks it. A process with a disk is a
//! [`Member`] of the replicated log as well; the member that leads decides for the whole cell.

mod apply;
mod engine;
mod gateway;
mod lead;
mod member;
mod message;
mod peers;
mod port;
mod serve;
mod settings;

pub use gateway::Gateway;
pub use member::Member;
pub use message::Answer;
pub use message::CallerAction;
pub use message::CallerRequest;
pub use message::Request;
pub use peers::Process;
pub use port::PolicyTickets;
pub use port::Transport;
pub use port::TransportCall;
pub use port::TransportFuture;
pub use settings::Settings;
