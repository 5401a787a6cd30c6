//! Heartbeats of workers, received by the leader itself or by other members on its behalf.

use serde::Deserialize;
use serde::Serialize;
use zinnia_types::Time;

use crate::Incarnation;
use crate::Leader;
use crate::Record;
use crate::Resources;
use crate::State;

/// Longest time for which a worker counts as cold, if the document tells none.
const MAX_COLD_MS: u64 = 60_000;

/// A worker's heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The incarnation that sends it.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// Sequence number within the incarnation.
    pub sequence: u64,
    /// Reading of the worker's clock, in milliseconds.
    pub clock_ms: u64,
    /// Whether the worker is about to shut down.
    pub draining: bool,
    /// Minimum time until it shuts down, if known.
    pub remaining_ms: Option<u64>,
    /// How much longer the worker is slow after its start; 0 if it is not.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub cold_ms: u64,
}

/// What a heartbeat tells the leader that another member has answered on its behalf.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedHeartbeat {
    /// Name of the worker.
    pub worker: String,
    /// Start time of the incarnation that sent it.
    pub born: i64,
    /// Sequence number within the incarnation.
    pub sequence: u64,
    /// Reading of the worker's clock when it was sent, in milliseconds.
    pub clock_ms: u64,
    /// How long ago the member received it.
    pub age_ms: u64,
    /// How much longer the worker was slow at that time.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub cold_ms: u64,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
fn is_zero(ms: &u64) -> bool {
    *ms == 0
}

impl Heartbeat {
    /// What a member passes on to the leader once it has answered.
    pub fn relayed(&self, age_ms: u64) -> RelayedHeartbeat {
        RelayedHeartbeat {
            worker: self.incarnation.worker.clone(),
            born: self.incarnation.born,
            sequence: self.sequence,
            clock_ms: self.clock_ms,
            age_ms,
            cold_ms: self.cold_ms,
        }
    }
}

impl State {
    /// Whether the state already contains all that the heartbeat reports. Any member may answer such
    /// a heartbeat; it only shows that the worker is alive.
    pub fn contains_heartbeat(&self, heartbeat: &Heartbeat) -> bool {
        let worker = self.workers.get(&heartbeat.incarnation.worker);
        worker.is_some_and(|w| {
            w.incarnation.born == heartbeat.incarnation.born
                && !w.left
                && (w.draining || !heartbeat.draining)
                && w.incarnation.resources == heartbeat.incarnation.resources
        })
    }
}

impl State {
    /// Whether a heartbeat of this incarnation may register it, or is one of the current incarnation.
    ///
    /// Another writer may use the name of a worker. A pool that no document names has no workers, so such a
    /// heartbeat must not take the place of one.
    pub fn may_register(&self, incarnation: &Incarnation) -> bool {
        let known = self.workers.get(&incarnation.worker);
        let is_current = known.is_some_and(|w| w.incarnation.born == incarnation.born);
        is_current || self.names_pool(&incarnation.pool)
    }
}

impl State {
    /// Longest time for which a heartbeat may claim that a worker of the pool is cold.
    fn max_cold_ms(&self, pool: &str) -> u64 {
        let pool = self.document.pools.iter().find(|p| p.name == pool);
        let known_ms = pool.map(|p| p.cold_ms).filter(|ms| *ms > 0);
        known_ms.unwrap_or(MAX_COLD_MS)
    }
}

impl Leader {
    /// Processes a heartbeat; returns the records to propose.
    pub fn heartbeat(&mut self, state: &State, heartbeat: &Heartbeat, now: Time) -> Vec<Record> {
        let incarnation = &heartbeat.incarnation;
        let known = state.workers.get(&incarnation.worker);
        if known.is_some_and(|w| {
            w.incarnation.born > incarnation.born
                || (w.incarnation.born == incarnation.born && w.left)
        }) {
            return Vec::new();
        }
        if !state.may_register(incarnation) {
            return Vec::new();
        }
        let view = self.view(state, &incarnation.worker, incarnation.born, now);
        if view.born != incarnation.born || !view.accept_sequence(heartbeat.sequence, now) {
            return Vec::new();
        }
        view.last_heard = now;
        view.read_heartbeat_clock(heartbeat.clock_ms, now);
        let max_cold_ms = state.max_cold_ms(&incarnation.pool);
        view.record_cold(heartbeat.cold_ms.min(max_cold_ms), now);
        let previous = view.resources.replace(incarnation.resources);
        let mut records = Vec::new();
        let known = known.filter(|w| w.incarnation.born == incarnation.born);
        let is_same = |resources: &Resources| *resources == incarnation.resources;
        let is_recorded = known.is_some_and(|w| is_same(&w.incarnation.resources))
            && previous.as_ref().is_none_or(is_same);
        if !is_recorded {
            records.push(Record::AddIncarnation {
                incarnation: incarnation.clone(),
                sequence: heartbeat.sequence,
            });
        }
        // Committed before the heartbeat is acknowledged, so that a later leader starts no task on
        // the worker either.
        if heartbeat.draining && known.is_none_or(|w| !w.draining) {
            records.push(Record::Drain {
                worker: incarnation.worker.clone(),
                born: incarnation.born,
            });
        }
        records
    }

    /// Processes a heartbeat that another member has answered.
    pub fn relayed_heartbeat(&mut self, state: &State, relayed: &RelayedHeartbeat, now: Time) {
        let known = state.workers.get(&relayed.worker);
        let Some(known) = known.filter(|w| !w.left && w.incarnation.born == relayed.born) else {
            return;
        };
        let max_cold_ms = state.max_cold_ms(&known.incarnation.pool);
        let view = self.view(state, &relayed.worker, relayed.born, now);
        if view.born != relayed.born || !view.accept_sequence(relayed.sequence, now) {
            return;
        }
        let heard_at = Time(now.0.saturating_sub(relayed.age_ms));
        view.record_cold(relayed.cold_ms.min(max_cold_ms), heard_at);
        view.last_heard = view.last_heard.max(heard_at);
        // The reading is older than `now`, so it is a lower bound of the worker's clock.
        view.read_heartbeat_clock(relayed.clock_ms, now);
    }
}
