//! Bounded queue of one-way messages to one peer.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use serde_json::value::RawValue;

use crate::QueueLimits;

/// A one-way message that waits to be sent.
pub(crate) struct Message {
    pub(crate) method: String,
    pub(crate) value: Box<RawValue>,
}

impl Message {
    fn size(&self) -> usize {
        self.method.len() + self.value.get().len()
    }
}

#[derive(Default)]
struct Waiting {
    messages: VecDeque<Message>,
    bytes: usize,
}

/// Bounded queue of one-way messages; the oldest give way.
///
/// The newest message says most about the sender's state, so it is the oldest that is dropped.
pub(crate) struct Queue {
    waiting: Mutex<Waiting>,
    bound: QueueLimits,
}

impl Queue {
    pub(crate) fn new(bound: QueueLimits) -> Self {
        Self {
            waiting: Mutex::default(),
            bound,
        }
    }

    /// Appends `message` and returns how many older ones were dropped for it.
    pub(crate) fn push(&self, message: Message) -> u64 {
        let mut waiting = self.lock();
        waiting.bytes += message.size();
        waiting.messages.push_back(message);
        let mut dropped = 0;
        while waiting.messages.len() > 1
            && (waiting.messages.len() > self.bound.max_messages
                || waiting.bytes > self.bound.max_bytes)
        {
            let Some(old) = waiting.messages.pop_front() else {
                break;
            };
            waiting.bytes -= old.size();
            dropped += 1;
        }
        dropped
    }

    pub(crate) fn pop(&self) -> Option<Message> {
        let mut waiting = self.lock();
        let message = waiting.messages.pop_front()?;
        waiting.bytes -= message.size();
        Some(message)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.lock().messages.is_empty()
    }

    fn lock(&self) -> MutexGuard<'_, Waiting> {
        // No code panics while it holds the lock, so a poisoned queue is still whole.
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
