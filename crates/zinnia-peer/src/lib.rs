//! Authenticated transport between the daemons of a cell: JSON-RPC over WebSocket.
//!
//! [`Links`] maintains one outgoing connection per peer, and [`serve`] accepts incoming
//! connections. The one-way messages of a connection are dispatched to the handler in send order.
//! Calls are not ordered, neither with each other nor with one-way messages.

mod counted_stream;
mod counters;
mod error;
mod key;
mod link;
mod links;
mod message_order;
mod queue;
mod rpc;
mod server;
mod settings;

pub use counted_stream::CountedStream;
pub use counted_stream::Direction;
pub use counters::PeerCounters;
pub use error::CallStep;
pub use error::PeerError;
pub use key::ClusterKey;
pub use key::ClusterKeyError;
pub use links::Links;
pub use server::Server;
pub use server::serve;
pub use settings::Backoff;
pub use settings::DropFilter;
pub use settings::PingSettings;
pub use settings::QueueLimits;
pub use settings::Settings;
