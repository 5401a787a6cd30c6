//! Bounded queue of one-way messages to one peer.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use serde_json::value::RawValue;

use crate::QueueLimits;

/// Queued one-way message.
pub(crate) struct QueuedMessage {
    pub(crate) method: String,
    pub(crate) value: Box<RawValue>,
}

impl QueuedMessage {
    fn size_bytes(&self) -> usize {
        self.method.len() + self.value.get().len()
    }
}

#[derive(Default)]
struct QueueState {
    messages: VecDeque<QueuedMessage>,
    total_bytes: usize,
}

/// Bounded queue of one-way messages. A full queue drops its oldest messages.
///
/// The newest message is kept because it describes the current state of the sender.
pub(crate) struct MessageQueue {
    state: Mutex<QueueState>,
    limits: QueueLimits,
}

impl MessageQueue {
    pub(crate) fn new(limits: QueueLimits) -> Self {
        Self {
            state: Mutex::default(),
            limits,
        }
    }

    /// Appends `message` and returns the number of older messages dropped.
    pub(crate) fn push(&self, message: QueuedMessage) -> u64 {
        let mut state = self.lock();
        state.total_bytes += message.size_bytes();
        state.messages.push_back(message);
        let mut dropped = 0;
        while state.messages.len() > 1
            && (state.messages.len() > self.limits.max_messages
                || state.total_bytes > self.limits.max_bytes)
        {
            let Some(oldest) = state.messages.pop_front() else {
                break;
            };
            state.total_bytes -= oldest.size_bytes();
            dropped += 1;
        }
        dropped
    }

    pub(crate) fn pop(&self) -> Option<QueuedMessage> {
        let mut state = self.lock();
        let message = state.messages.pop_front()?;
        state.total_bytes -= message.size_bytes();
        Some(message)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.lock().messages.is_empty()
    }

    fn lock(&self) -> MutexGuard<'_, QueueState> {
        // No code panics while it holds the lock, so the queue is consistent even if poisoned.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
