//! Decisions of the external placement policy about the workers that may run a step.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use zinnia_types::Time;

use crate::Plan;
use crate::Policy;
use crate::QueueStats;
use crate::StepId;
use crate::waiting::WaitingStep;
use crate::worker_index::WorkerIndex;
use crate::worker_index::WorkerIndices;

/// Minimum remaining validity of a ticket when a start is planned with it.
const MIN_TICKET_MS: u64 = 250;
/// Delay before a failed query is repeated.
const QUERY_RETRY_MS: u64 = 150;

/// A query to the placement policy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PolicyQuery {
    /// Name of the queue.
    pub queue: String,
    /// Step to be placed.
    pub step: StepId,
    /// Candidate workers.
    pub workers: Vec<String>,
    /// Time that the policy needs for the query.
    pub cost_ms: u64,
    /// How long the returned tickets are valid.
    pub valid_ms: u64,
    /// When the query was planned.
    pub sent_at: Time,
}

/// Purpose of a query, which decides how much of the policy time it may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QueryPurpose {
    /// Start of an urgent task.
    Urgent,
    /// Start of any other task; the step has no other open query.
    Start,
    /// Queries beside an open one of the same step.
    Parallel,
    /// Renewal of tickets for a gang that waits for resources.
    Renewal,
}

/// Policy time, in milliseconds, of all processes that send queries.
///
/// The policy handles the queries of one process one after the other, so a query waits behind
/// longer ones. The less a query is needed, the more of the time it leaves to others: a few gangs
/// with many workers could otherwise keep all other steps from being queried.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QueryBudget {
    /// Time that new queries may use beside the open ones.
    pub free_ms: u64,
    /// Time that all queries may use.
    pub total_ms: u64,
}

impl QueryBudget {
    /// Whether another query with this purpose may be sent.
    pub(crate) fn allows(&self, purpose: QueryPurpose) -> bool {
        let left_for_others = match purpose {
            QueryPurpose::Urgent => 0,
            QueryPurpose::Start => self.total_ms / 8,
            QueryPurpose::Parallel => self.total_ms / 2,
            QueryPurpose::Renewal => self.total_ms / 4 * 3,
        };
        self.free_ms > left_for_others
    }
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

/// How far a start of a step on a worker is from being allowed, best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Readiness {
    /// There is a ticket, or the step needs none.
    Ticketed,
    /// The policy is being queried about the worker.
    Queried,
    /// The policy has to be queried.
    NeedsQuery,
}

/// The policy's decisions about one step.
#[derive(Debug, Default)]
pub(crate) struct PolicyDecisions {
    tickets: BTreeMap<WorkerIndex, Ticket>,
    /// Workers that may run the step; their tickets may have expired.
    pub(crate) granted: BTreeSet<WorkerIndex>,
    pub(crate) denied: BTreeSet<WorkerIndex>,
    /// Workers in open queries, in the order of the queries.
    pub(crate) queried: Vec<WorkerIndex>,
    pub(crate) retry_at: Time,
    /// Whether the latest query failed. Nothing is reserved for work that waits for a policy which does not
    /// answer.
    pub(crate) is_failing: bool,
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

    /// How far a start on the worker is from being allowed.
    pub(crate) fn readiness(&self, worker: WorkerIndex, now: Time) -> Readiness {
        if self.ticket(worker, now).is_some() {
            return Readiness::Ticketed;
        }
        match self.queried.contains(&worker) {
            true => Readiness::Queried,
            false => Readiness::NeedsQuery,
        }
    }

    /// Whether the policy has not decided on the worker and is not being queried about it.
    pub(crate) fn is_undecided(&self, worker: WorkerIndex) -> bool {
        !self.granted.contains(&worker)
            && !self.denied.contains(&worker)
            && !self.queried.contains(&worker)
    }

    /// Whether a new query for this purpose may be sent now.
    pub(crate) fn may_query(&self, purpose: QueryPurpose, now: Time, plan: &Plan) -> bool {
        now >= self.retry_at && plan.query_budget.allows(purpose)
    }

    /// Adds a query about these workers to the plan; does nothing without workers. `names` are
    /// their names.
    pub(crate) fn query(
        &mut self,
        waiting: &WaitingStep<'_>,
        workers: &[WorkerIndex],
        names: Vec<String>,
        policy: &Policy,
        now: Time,
        plan: &mut Plan,
    ) {
        if workers.is_empty() {
            return;
        }
        let query = PolicyQuery {
            queue: waiting.queue.name.clone(),
            step: waiting.id,
            workers: names,
            cost_ms: policy.cost_ms(workers.len()),
            valid_ms: policy.valid_ms,
            sent_at: now,
        };
        let free_ms = &mut plan.query_budget.free_ms;
        *free_ms = free_ms.saturating_sub(query.cost_ms);
        self.queried.extend(workers);
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
        stats: &mut QueueStats,
        now: Time,
    ) {
        let workers: Vec<_> = query
            .workers
            .iter()
            .filter_map(|w| indices.get(w))
            .collect();
        self.queried.retain(|w| !workers.contains(w));
        self.is_failing = granted.is_none();
        let Some(granted) = granted else {
            self.retry_at = now.after(QUERY_RETRY_MS);
            stats.failed(now);
            return;
        };
        let delay_ms = now.since(query.sent_at).saturating_sub(query.cost_ms);
        let is_new = |w: &WorkerIndex| !self.granted.contains(w) && !self.denied.contains(w);
        let undecided: BTreeSet<_> = workers.iter().copied().filter(is_new).collect();
        let allowed = granted.iter().filter_map(|(name, _)| indices.get(name));
        let allowed = allowed.filter(|w| undecided.contains(w)).count();
        stats.answered(undecided.len(), allowed, delay_ms);
        for worker in workers {
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

impl Policy {
    /// Time that the policy needs for a query about this many workers.
    pub(crate) fn cost_ms(&self, workers: usize) -> u64 {
        let count = u32::try_from(workers).unwrap_or(u32::MAX);
        let cost = self.base_ms + self.worker_ms * f64::from(count);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a query takes a few seconds at most"
        )]
        let cost_ms = cost.max(0.0) as u64;
        cost_ms
    }
}
