//! Stand-in worker that runs simulated tasks under leases.
//!
//! It announces itself to a VM, reports over heartbeats, and serves its owner and callers over HTTP.
//! Tasks are timers driven by their payload; no process is started.

mod call;
mod clock;
mod faults;
mod handle;
mod input;
mod link;
mod load;
mod record;
mod server;
mod service;
mod settings;
mod shell;
mod sim;

pub use call::CallAnswer;
pub use call::HELD;
pub use call::REQUEST_ID;
pub use clock::now;
pub use faults::FaultInjection;
pub use handle::Handle;
pub use handle::Worker;
pub use load::Load;
pub use record::EventRecord;
pub use record::WorkerEvent;
pub use record::digest;
pub use record::next_sequence;
pub use settings::ServiceSettings;
pub use settings::Settings;
