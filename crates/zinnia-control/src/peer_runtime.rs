//! Thread for the messages between processes.

use std::io;

use tokio::runtime::Handle;
use tokio::sync::oneshot;

/// Runtime on a thread of its own that runs the connections to other processes.
///
/// On a leader, planning, requests and calls to workers can keep the main thread busy for hundreds of
/// milliseconds. The messages of the log must not wait behind them: without the answers of a quorum
/// the leader steps down, and its successor has even more to do.
#[derive(Debug)]
pub(crate) struct PeerRuntime {
    pub(crate) handle: Handle,
    /// Ends the thread when it is dropped.
    _stop: oneshot::Sender<()>,
}

impl PeerRuntime {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// Fails if the runtime or the thread cannot be created.
    pub(crate) fn start() -> io::Result<Self> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let handle = runtime.handle().clone();
        let (stop, stopped) = oneshot::channel::<()>();
        std::thread::Builder::new()
            .name("peers".to_owned())
            .spawn(move || {
                let _ = runtime.block_on(stopped);
            })?;
        Ok(Self {
            handle,
            _stop: stop,
        })
    }
}
