//! A process of a cell that runs jobs in steps.
//!
//! Every process has a [`Gateway`] that finds the leader and asks it. A process with a disk is a
//! [`Member`] of the replicated log as well; the member that leads decides for the whole cell.

mod apply;
mod engine;
mod gateway;
mod leader;
mod member;
mod message;
mod peers;
mod serve;
mod settings;
mod transport;

pub use gateway::Gateway;
pub use member::Member;
pub use message::Answer;
pub use message::CallerAction;
pub use message::CallerRequest;
pub use message::Request;
pub use peers::Process;
pub use settings::Settings;
pub use transport::PolicyTickets;
pub use transport::Transport;
pub use transport::TransportCall;
pub use transport::TransportFuture;
