//! Metrics and log lines about the clients of a listener.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use metrics::Gauge;
use metrics::gauge;

/// Shortest time between two log lines about refused clients.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Refusals since the last log line.
#[derive(Debug, Default)]
struct Unlogged {
    last_line: Option<Instant>,
    refused: u64,
}

/// Reports what a listener holds and refuses.
pub(super) struct Report {
    listener: &'static str,
    connections: Gauge,
    held: Gauge,
    unlogged: Mutex<Unlogged>,
}

impl std::fmt::Debug for Report {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Report")
            .field("listener", &self.listener)
            .finish_non_exhaustive()
    }
}

impl Report {
    pub(super) fn new(listener: &'static str) -> Self {
        Self {
            listener,
            connections: gauge!("zinnia_open_connections", "listener" => listener),
            held: gauge!("zinnia_held_bytes", "listener" => listener),
            unlogged: Mutex::default(),
        }
    }

    pub(super) fn set_connections(&self, count: usize) {
        #[expect(clippy::cast_precision_loss, reason = "connections are few")]
        self.connections.set(count as f64);
    }

    pub(super) fn set_held(&self, bytes: usize) {
        #[expect(
            clippy::cast_precision_loss,
            reason = "the memory of a process is exact"
        )]
        self.held.set(bytes as f64);
    }

    /// Counts a refusal, and logs it unless another one was logged a moment ago.
    pub(super) fn refused(&self, reason: &'static str) {
        let listener = self.listener;
        metrics::counter!(
            "zinnia_refused_clients_total", "listener" => listener, "reason" => reason
        )
        .increment(1);
        let mut unlogged = self.unlogged.lock().unwrap_or_else(PoisonError::into_inner);
        unlogged.refused = unlogged.refused.saturating_add(1);
        if unlogged
            .last_line
            .is_some_and(|t| t.elapsed() < LOG_INTERVAL)
        {
            return;
        }
        let refused = unlogged.refused;
        *unlogged = Unlogged {
            last_line: Some(Instant::now()),
            refused: 0,
        };
        drop(unlogged);
        tracing::warn!(
            event = "crowd",
            listener,
            reason,
            refused,
            "clients were refused or their connections closed"
        );
    }
}
