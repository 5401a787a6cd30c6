//! Worker with simulated tasks, for tests and demonstrations.
//!
//! It announces itself to a VM, sends reports with heartbeats, and serves its owner and the callers
//! of its services over HTTP. A task is a timer whose payload sets its run time; no process is
//! started.

mod call;
mod clock;
mod driver;
mod event_log;
mod faults;
mod handle;
mod input;
mod payload;
mod server;
mod service;
mod settings;
mod sim_task;
mod vm_client;

pub use call::CallResponse;
pub use call::IN_FLIGHT_HEADER;
pub use call::REQUEST_ID_HEADER;
pub use clock::now;
pub use event_log::EventRecord;
pub use event_log::WorkerEvent;
pub use event_log::digest;
pub use event_log::next_sequence;
pub use faults::FaultInjection;
pub use handle::Handle;
pub use handle::Worker;
pub use payload::SimPayload;
pub use settings::ServiceSettings;
pub use settings::Settings;
