//! Records of at-most-once calls and of their outcomes.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest as _;
use sha2::Sha256;
use zinnia_types::TeamId;

use crate::CallState;
use crate::Digest;
use crate::Refusal;
use crate::Reply;
use crate::Retention;
use crate::documents::is_valid_id;
use crate::rows::digest_prefix;

/// Maximum size in bytes of a retained response body. A larger body would evict many others.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// Recorded outcome of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallOutcome {
    /// HTTP status.
    pub status: u16,
    /// Response body; `None` if it was dropped to bound the size of the state.
    pub body: Option<String>,
}

/// A recorded call. It is keyed by a digest of its team and id, which is smaller than the two
/// strings.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct CallRecord {
    #[serde(rename = "t")]
    team: TeamId,
    #[serde(rename = "q")]
    request_hash: u128,
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    outcome: Option<Box<CallOutcome>>,
}

/// All recorded calls, with the queues by which calls and bodies expire.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Calls {
    calls: BTreeMap<u128, CallRecord>,
    /// Number of recorded calls per team; teams without calls are absent.
    #[serde(rename = "counts")]
    team_counts: BTreeMap<TeamId, usize>,
    /// Keys of all calls, oldest first, with the cell clock at which each was recorded.
    #[serde(rename = "order")]
    expiry_queue: VecDeque<(i64, u128)>,
    /// Keys of finished calls whose body is retained, in the order in which they finished.
    #[serde(rename = "bodies")]
    body_queue: VecDeque<u128>,
    /// Total size of all retained bodies.
    #[serde(rename = "bytes")]
    body_bytes: usize,
}

/// Key of a call in the maps and queues of [`Calls`].
fn call_key(team: TeamId, id: &str) -> u128 {
    let mut hash = Sha256::new();
    hash.update(team.as_str());
    hash.update([0]);
    hash.update(id);
    digest_prefix(Digest(hash.finalize().into()))
}

impl Calls {
    /// Number of recorded calls of each team that has at least one.
    pub(crate) fn team_counts(&self) -> &BTreeMap<TeamId, usize> {
        &self.team_counts
    }

    /// Total size of all retained bodies.
    pub(crate) fn body_bytes(&self) -> usize {
        self.body_bytes
    }

    pub(crate) fn get(&self, team: TeamId, id: &str) -> Option<CallState> {
        self.calls.get(&call_key(team, id)).map(CallRecord::state)
    }

    /// Records a call, or returns the state of the call if it was recorded before.
    pub(crate) fn record(
        &mut self,
        team: TeamId,
        id: &str,
        request_hash: Digest,
        clock_ms: i64,
        retention: &Retention,
    ) -> Reply {
        if !is_valid_id(id) {
            return Reply::Refused(Refusal::BadId);
        }
        let key = call_key(team, id);
        if let Some(call) = self.calls.get(&key) {
            if call.request_hash != digest_prefix(request_hash) {
                return Reply::Refused(Refusal::CallConflict);
            }
            return Reply::Call(call.state());
        }
        // A team may record at most half of the slots that the others leave free, so that no team
        // can starve the rest.
        let own_count = self.team_counts.get(&team).copied().unwrap_or(0);
        let other_count = self.expiry_queue.len().saturating_sub(own_count);
        if own_count >= retention.calls.saturating_sub(other_count) / 2 {
            return Reply::Refused(Refusal::CallsFull);
        }
        let call = CallRecord {
            team,
            request_hash: digest_prefix(request_hash),
            outcome: None,
        };
        self.calls.insert(key, call);
        self.team_counts.insert(team, own_count + 1);
        self.expiry_queue.push_back((clock_ms, key));
        Reply::Call(CallState::Fresh)
    }

    /// Records the outcome of a call. The first outcome is kept.
    pub(crate) fn finish(
        &mut self,
        team: TeamId,
        id: &str,
        status: u16,
        body: &str,
        retention: &Retention,
    ) -> Reply {
        let key = call_key(team, id);
        let Some(call) = self.calls.get_mut(&key) else {
            return Reply::Refused(Refusal::UnknownCall);
        };
        if call.outcome.is_some() {
            return Reply::Call(call.state());
        }
        let keep_body = body.len() <= MAX_BODY_BYTES.min(retention.call_bytes);
        call.outcome = Some(Box::new(CallOutcome {
            status,
            body: keep_body.then(|| body.to_owned()),
        }));
        let state = call.state();
        if keep_body {
            self.body_bytes += body.len();
            self.body_queue.push_back(key);
        }
        while self.body_bytes > retention.call_bytes {
            let Some(oldest_key) = self.body_queue.pop_front() else {
                break;
            };
            let call = self.calls.get_mut(&oldest_key);
            self.body_bytes -= call.map_or(0, CallRecord::drop_body);
        }
        Reply::Call(state)
    }

    /// Removes calls that are older than the retention period.
    pub(crate) fn expire(&mut self, clock_ms: i64, retention: &Retention) {
        let expiry_threshold = clock_ms.saturating_sub(retention.calls_ms);
        while let Some(&(recorded_at, key)) = self.expiry_queue.front() {
            if recorded_at >= expiry_threshold {
                break;
            }
            self.expiry_queue.pop_front();
            let Some(mut call) = self.calls.remove(&key) else {
                continue;
            };
            self.body_bytes -= call.drop_body();
            let remaining = self.team_counts.get(&call.team).map_or(0, |n| n - 1);
            if remaining == 0 {
                self.team_counts.remove(&call.team);
            } else {
                self.team_counts.insert(call.team, remaining);
            }
        }
        // Calls finish in a different order than they are recorded, so entries of removed calls
        // are dropped only when they reach the front of the queue.
        while let Some(key) = self.body_queue.front() {
            if self.calls.contains_key(key) {
                break;
            }
            self.body_queue.pop_front();
        }
    }
}

impl CallRecord {
    fn state(&self) -> CallState {
        match &self.outcome {
            None => CallState::Unknown,
            Some(outcome) => CallState::Finished(CallOutcome::clone(outcome)),
        }
    }

    /// Drops the response body and returns its size in bytes.
    fn drop_body(&mut self) -> usize {
        let body = self.outcome.as_mut().and_then(|o| o.body.take());
        body.map_or(0, |body| body.len())
    }
}
