//! Order of the one-way messages of a connection.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use tokio::sync::oneshot;

#[derive(Default)]
struct OrderState {
    /// Sequence number of the next message to handle.
    next: u64,
    /// Wakes the tasks of later messages, by sequence number.
    waiting: BTreeMap<u64, oneshot::Sender<()>>,
}

/// Makes the handlers of one-way messages start in the order of the sequence numbers, from 0.
///
/// jsonrpsee spawns a task per message, and tokio does not run tasks in spawn order. Without this
/// type, a fifth of the messages in a burst of 2,000 were handled out of order.
#[derive(Default)]
pub(crate) struct MessageOrder(Mutex<OrderState>);

impl MessageOrder {
    /// Waits until all messages before `sequence` are dispatched. Dropping the returned turn lets
    /// the next message continue.
    ///
    /// TCP loses no message of a connection, so this waits only until the tasks of the earlier
    /// messages have started.
    pub(crate) async fn wait_turn(&self, sequence: u64) -> Turn<'_> {
        if let Some(is_next) = self.register(sequence) {
            // The sender is dropped only together with `self`, when the connection closes.
            let _ = is_next.await;
        }
        Turn {
            order: self,
            sequence,
        }
    }

    /// Registers a message that has to wait. Returns `None` if its turn has come.
    fn register(&self, sequence: u64) -> Option<oneshot::Receiver<()>> {
        let mut state = self.lock();
        if sequence <= state.next {
            return None;
        }
        let (wake, is_next) = oneshot::channel();
        state.waiting.insert(sequence, wake);
        Some(is_next)
    }

    fn lock(&self) -> MutexGuard<'_, OrderState> {
        // No code panics while it holds the lock, so the state is consistent even if poisoned.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Permission to dispatch one message. Dropping it lets the next message continue.
pub(crate) struct Turn<'a> {
    order: &'a MessageOrder,
    sequence: u64,
}

impl Drop for Turn<'_> {
    fn drop(&mut self) {
        let next = self.sequence + 1;
        let mut state = self.order.lock();
        state.next = next;
        if let Some(wake) = state.waiting.remove(&next) {
            // Fails only if the task of the message ended because the connection closed.
            let _ = wake.send(());
        }
    }
}
