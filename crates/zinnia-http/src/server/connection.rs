//! What a connection is doing, shared by its stream, its requests and the admission.

use std::net::IpAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use tokio::sync::Notify;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub(super) enum Phase {
    /// Waits for a request, or sends an answer.
    Idle = 0,
    /// Reads the head of a request.
    Head = 1,
    /// Reads the body of a request.
    Body = 2,
    /// Handles a request that was read whole.
    Handling = 3,
}

/// State of an open connection.
#[derive(Debug)]
pub(super) struct Connection {
    address: IpAddr,
    phase: AtomicU8,
    requests: AtomicU64,
    refused: AtomicBool,
    evicted: Notify,
}

impl Connection {
    pub(super) fn new(address: IpAddr) -> Self {
        Self {
            address,
            phase: AtomicU8::new(Phase::Idle as u8),
            requests: AtomicU64::new(0),
            refused: AtomicBool::new(false),
            evicted: Notify::new(),
        }
    }

    pub(super) fn address(&self) -> IpAddr {
        self.address
    }

    pub(super) fn phase(&self) -> Phase {
        match self.phase.load(Ordering::Relaxed) {
            0 => Phase::Idle,
            1 => Phase::Head,
            2 => Phase::Body,
            _ => Phase::Handling,
        }
    }

    pub(super) fn set_phase(&self, phase: Phase) {
        self.phase.store(phase as u8, Ordering::Relaxed);
    }

    /// Notes the end of a head.
    pub(super) fn begin_request(&self) {
        self.requests.fetch_add(1, Ordering::Relaxed);
        self.set_phase(Phase::Body);
    }

    /// Number of requests whose heads were read.
    pub(super) fn requests(&self) -> u64 {
        self.requests.load(Ordering::Relaxed)
    }

    /// Whether nothing goes on but what the client does not send or read. Such a connection can be closed
    /// without breaking off a request that runs.
    pub(super) fn waits_for_client(&self) -> bool {
        self.phase() != Phase::Handling
    }

    /// Notes that a request was refused before it was read whole, so that the connection is closed.
    pub(super) fn refuse(&self) {
        self.refused.store(true, Ordering::Relaxed);
    }

    pub(super) fn is_refused(&self) -> bool {
        self.refused.load(Ordering::Relaxed)
    }

    /// Makes [`Self::evicted`] return.
    pub(super) fn evict(&self) {
        self.evicted.notify_one();
    }

    pub(super) async fn evicted(&self) {
        self.evicted.notified().await;
    }
}
