//! Authenticated transport between the daemons of a cell.
//!
//! JSON-RPC over WebSocket on IP addresses. [`Links`] keeps one outgoing connection per peer;
//! [`serve`] answers the peers' connections. One-way messages of a connection are handed over in the
//! order in which they were sent; calls overtake them and one another.

mod counters;
mod error;
mod key;
mod link;
mod links;
mod order;
mod queue;
mod rpc;
mod server;
mod settings;
mod stream;

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
pub use stream::CountedStream;
pub use stream::Direction;
