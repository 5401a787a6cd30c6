//! Heartbeats that members answer on behalf of the leader.
//!
//! Each worker keeps a connection open for its heartbeats. Above a number of workers these
//! connections would take the descriptors that the leader needs to poll the workers and to send them
//! orders. The workers then send their heartbeats to the other members, which answer those that
//! change nothing and pass them on together.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use zinnia_plan::Heartbeat;
use zinnia_plan::RelayedHeartbeat;
use zinnia_types::Time;

/// Method name of messages with answered heartbeats.
pub(crate) const HEARTBEATS_METHOD: &str = "heartbeats";
/// Interval between two messages with answered heartbeats. It delays the time from which a worker
/// counts as silent.
pub(crate) const RELAY_INTERVAL: Duration = Duration::from_millis(200);
/// Time without a reply after which a member gets no heartbeats of workers.
const MEMBER_TIMEOUT_MS: u64 = 1_000;
/// Maximum number of heartbeats that wait to be passed on. Further ones are not answered here.
const MAX_BUFFERED: usize = 10_000;

/// A member that may receive heartbeats.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Receiver {
    /// Address for workers.
    pub addr: String,
    /// Milliseconds since its last reply to the leader.
    pub silent_ms: u64,
}

/// Returns the addresses of the members to which the workers send their heartbeats. The list is empty
/// if the leader receives them itself: with few workers, or if no other member replies.
pub fn heartbeat_receivers(
    workers: usize,
    max_direct_workers: usize,
    others: &[Receiver],
) -> Vec<String> {
    if workers <= max_direct_workers {
        return Vec::new();
    }
    let replies = |r: &&Receiver| r.silent_ms < MEMBER_TIMEOUT_MS && !r.addr.is_empty();
    let mut addrs: Vec<String> = others
        .iter()
        .filter(replies)
        .map(|r| r.addr.clone())
        .collect();
    addrs.sort();
    addrs
}

/// Returns the receiver of a worker's heartbeats. When a receiver is lost, only its workers change
/// over (rendezvous hashing).
pub fn receiver_of<'a>(worker: &str, receivers: &'a [String]) -> Option<&'a str> {
    let weight = |addr: &&String| fnv1a(worker.bytes().chain(addr.bytes()));
    receivers.iter().max_by_key(weight).map(String::as_str)
}

/// 64-bit FNV-1a hash.
pub(crate) fn fnv1a(bytes: impl Iterator<Item = u8>) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    bytes.fold(OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    })
}

#[derive(Debug)]
struct Answered {
    heartbeat: Heartbeat,
    at: Time,
}

/// Heartbeats that this process has answered and not passed on yet.
#[derive(Debug, Default)]
pub(crate) struct RelayBuffer {
    answered: Mutex<Vec<Answered>>,
}

impl RelayBuffer {
    /// Adds a heartbeat that was received at `at`. Returns `false` if the buffer is full.
    pub(crate) fn push(&self, heartbeat: Heartbeat, at: Time) -> bool {
        let mut answered = self.answered.lock().unwrap_or_else(PoisonError::into_inner);
        let has_room = answered.len() < MAX_BUFFERED;
        if has_room {
            answered.push(Answered { heartbeat, at });
        }
        has_room
    }

    /// Removes all heartbeats, in the form in which they are passed on at `now`.
    pub(crate) fn take(&self, now: Time) -> Vec<RelayedHeartbeat> {
        let mut answered = self.answered.lock().unwrap_or_else(PoisonError::into_inner);
        let list = std::mem::take(&mut *answered);
        list.iter()
            .map(|a| a.heartbeat.relayed(now.since(a.at)))
            .collect()
    }
}
