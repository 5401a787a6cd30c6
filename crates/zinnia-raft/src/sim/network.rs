//! Simulated network: messages that are lost, duplicated, delayed and reordered.

use rand::Rng;
use zinnia_types::VmId;

use super::Simulation;
use crate::Event;
use crate::Message;

/// Maximum size of an append message without its entries, in bytes.
const OVERHEAD_BYTES: usize = 192;

impl Simulation {
    /// Passes the messages that are due to their receivers, unless the link is cut.
    pub(super) fn deliver(&mut self) {
        let remaining = self.in_flight.split_off(&(self.now + 1, 0));
        for (_, (from, to, text)) in std::mem::replace(&mut self.in_flight, remaining) {
            match serde_json::from_str(&text) {
                Ok(_) if self.cut_links.contains(&(from, to)) => {}
                Ok(message) => self.queue_event(to, Event::Receive { from, message }),
                Err(e) => self
                    .checker
                    .expect(false, || format!("cannot decode message {text}: {e}")),
            }
        }
    }

    /// Sends a message, which may be lost, duplicated or delayed.
    pub(super) fn send(&mut self, from: VmId, to: VmId, message: &Message) {
        let text = match serde_json::to_string(message) {
            Ok(text) => text,
            Err(e) => return self.checker.expect(false, || e.to_string()),
        };
        let totals = self.sent_totals.entry(from).or_default();
        totals.0 += 1;
        totals.1 += text.len() as u64;
        let limit = self.options.settings.max_message_bytes + OVERHEAD_BYTES;
        let fits = !matches!(message, Message::Append(_)) || text.len() <= limit;
        self.checker.expect(fits, || {
            format!("append message of {} bytes exceeds the limit", text.len())
        });
        let copies = 1 + u32::from(self.rng.random_range(0..100) < self.options.duplicate_percent);
        for _ in 0..copies {
            if self.rng.random_range(0..100) < self.options.loss_percent {
                continue;
            }
            let at = self.now + self.rng.random_range(1..=self.options.delay_ms);
            let key = (at, self.next_number());
            self.in_flight.insert(key, (from, to, text.clone()));
        }
    }
}
