//! Reads bodies within the limits of their listener.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;
use tokio::time::Instant;
use tokio::time::timeout_at;

use super::Admission;
use super::Hold;
use super::hold::HeldBytes;

/// Size of the first buffer of a body in bytes.
const FIRST_BYTES: usize = 4 * 1024;

/// Why a request is refused before its body was read whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Refusal {
    /// The body is over the limit.
    TooLarge,
    /// The body comes too slowly.
    TooSlow,
    /// The open requests hold all memory that they may.
    NoMemory,
    /// The connection failed, or the body is malformed.
    Broken,
}

impl Refusal {
    /// Name in logs and metrics.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::TooLarge => "body_size",
            Self::TooSlow => "body_time",
            Self::NoMemory => "memory",
            Self::Broken => "body_broken",
        }
    }
}

/// Reads a whole body. The memory stays reserved until the returned bytes are dropped.
pub(super) async fn read(mut body: Incoming, admission: &Arc<Admission>) -> Result<Bytes, Refusal> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let max = admission.limits().body_bytes;
    let declared = body.size_hint().exact();
    let declared = declared.map(|n| usize::try_from(n).unwrap_or(usize::MAX));
    if declared.is_some_and(|n| n > max) {
        return Err(Refusal::TooLarge);
    }
    let expected = declared.unwrap_or(max);
    let mut held = HeldBytes {
        bytes: Vec::new(),
        hold: Hold::new(Arc::clone(admission)),
    };
    let started = Instant::now();
    loop {
        let deadline = started + time_for(held.bytes.len(), admission);
        let frame = match timeout_at(deadline, body.frame()).await {
            Err(_) => return Err(Refusal::TooSlow),
            Ok(None) => break,
            Ok(Some(Err(_))) => return Err(Refusal::Broken),
            Ok(Some(Ok(frame))) => frame,
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let length = held.bytes.len().saturating_add(data.len());
        if length > max {
            return Err(Refusal::TooLarge);
        }
        if !make_room(&mut held, length, expected) {
            return Err(Refusal::NoMemory);
        }
        held.bytes.extend_from_slice(&data);
    }
    Ok(Bytes::from_owner(held))
}

/// Time after its start in which a body of which `received` bytes have arrived must go on.
fn time_for(received: usize, admission: &Admission) -> Duration {
    let limits = &admission.limits().each;
    let extra_ms = received.saturating_mul(1_000) / limits.body_rate.max(1);
    let extra = Duration::from_millis(u64::try_from(extra_ms).unwrap_or(u64::MAX));
    limits.body_time.saturating_add(extra)
}

/// Makes room for `length` bytes, of `expected` that may come.
fn make_room(held: &mut HeldBytes<Vec<u8>>, length: usize, expected: usize) -> bool {
    let present = held.bytes.capacity();
    if length <= present {
        return true;
    }
    let wanted = present.saturating_mul(2).max(FIRST_BYTES).min(expected);
    let wanted = wanted.max(length);
    if !held.hold.grow(wanted.saturating_sub(present)) {
        return false;
    }
    let additional = wanted.saturating_sub(held.bytes.len());
    held.bytes.reserve_exact(additional);
    true
}
