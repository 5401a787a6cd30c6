//! Decisions of the external placement policy about the workers that may run a step.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use zinnia_types::Time;

use crate::Plan;
use crate::Policy;
use crate::StepId;
use crate::worker_index::WorkerIndex;
use crate::worker_index::WorkerIndices;

/// Minimum remaining validity of a ticket when a start is planned with it.
const MIN_TICKET_MS: u64 = 250;
/// Delay before a failed query is repeated.
const QUERY_RETRY_MS: u64 = 150;

/// A query to the placement policy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PolicyQuery {
    /// Step to be placed.
    pub step: StepId,
    /// Candidate workers.
    pub workers: Vec<String>,
    /// Time that the policy needs for the query.
    pub cost_ms: u64,
    /// How long the returned tickets are valid.
    pub valid_ms: u64,
}

#[derive(Debug)]
struct Ticket {
    text: String,
    valid_until: Time,
}

impl Ticket {
    /// Whether the ticket is valid for long enough to start a run.
    fn is_usable(&self, now: Time) -> bool {
        now.after(MIN_TICKET_MS) < self.valid_until
    }
}

/// The policy's decisions about one step.
#[derive(Debug, Default)]
pub(crate) struct PolicyDecisions {
    tickets: BTreeMap<WorkerIndex, Ticket>,
    /// Workers that may run the step; their tickets may have expired.
    pub(crate) granted: BTreeSet<WorkerIndex>,
    pub(crate) denied: BTreeSet<WorkerIndex>,
    /// Workers in the open query; empty without an open query.
    pub(crate) queried: Vec<WorkerIndex>,
    pub(crate) retry_at: Time,
}

impl PolicyDecisions {
    /// Returns the ticket for a worker if it is valid for long enough to start a run.
    pub(crate) fn ticket(&self, worker: WorkerIndex, now: Time) -> Option<&str> {
        let ticket = self.tickets.get(&worker)?;
        ticket.is_usable(now).then_some(ticket.text.as_str())
    }

    /// Returns the workers for which there is a ticket that is valid for long enough to start a run.
    pub(crate) fn ticketed(&self, now: Time) -> impl Iterator<Item = WorkerIndex> {
        let usable = self.tickets.iter().filter(move |(_, t)| t.is_usable(now));
        usable.map(|(worker, _)| *worker)
    }

    /// Whether the step may be queried now.
    pub(crate) fn may_query(&self, now: Time, plan: &Plan) -> bool {
        self.queried.is_empty() && now >= self.retry_at && plan.query_ms > 0
    }

    /// Adds a query about these workers to the plan; does nothing without workers. `names` are
    /// their names.
    pub(crate) fn query(
        &mut self,
        step: StepId,
        workers: Vec<WorkerIndex>,
        names: Vec<String>,
        policy: &Policy,
        plan: &mut Plan,
    ) {
        if workers.is_empty() {
            return;
        }
        let query = new_query(step, names, policy);
        plan.query_ms = plan.query_ms.saturating_sub(query.cost_ms);
        self.queried = workers;
        plan.queries.push(query);
    }

    /// Removes the ticket of a worker that rejected it.
    pub(crate) fn drop_ticket(&mut self, worker: WorkerIndex) {
        self.tickets.remove(&worker);
    }

    /// Records the answer to a query; `None` if the query failed.
    pub(crate) fn answer(
        &mut self,
        query: &PolicyQuery,
        granted: Option<Vec<(String, String)>>,
        indices: &WorkerIndices,
        now: Time,
    ) {
        self.queried.clear();
        let Some(granted) = granted else {
            self.retry_at = now.after(QUERY_RETRY_MS);
            return;
        };
        for worker in query.workers.iter().filter_map(|w| indices.get(w)) {
            self.granted.remove(&worker);
            self.denied.insert(worker);
        }
        // The validity counts from the answer, since the policy may have queued the query before it
        // issued the tickets.
        let valid_until = now.after(query.valid_ms);
        for (name, text) in granted {
            let Some(worker) = indices.get(&name) else {
                continue;
            };
            self.denied.remove(&worker);
            self.granted.insert(worker);
            self.tickets.insert(worker, Ticket { text, valid_until });
        }
    }
}

fn new_query(step: StepId, workers: Vec<String>, policy: &Policy) -> PolicyQuery {
    let count = u32::try_from(workers.len()).unwrap_or(u32::MAX);
    let cost = policy.base_ms + policy.worker_ms * f64::from(count);
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a query takes a few seconds at most"
    )]
    let cost_ms = cost.max(0.0) as u64;
    PolicyQuery {
        step,
        workers,
        cost_ms,
        valid_ms: policy.valid_ms,
    }
}
