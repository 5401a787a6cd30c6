//! Queries to the placement policy, which entry processes and members send for the leader.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;
use zinnia_plan::Leader;
use zinnia_plan::PolicyQuery;
use zinnia_plan::QueryBudget;
use zinnia_plan::QueueStats;
use zinnia_plan::StepId;
use zinnia_replica::clock;
use zinnia_types::Time;

use crate::Transport;
use crate::context::MemberContext;
use crate::context::POLICY_CLIENT_TIMEOUT_MS;
use crate::context::PolicyClient;

/// Policy time of open queries, in milliseconds, above which a process gets no further query.
/// Queries wait at the leader instead, which sends the most urgent ones first.
const MAX_QUERY_LOAD_MS: u64 = 300;
/// How long a process gets no queries after one failed through it.
const QUERY_BACKOFF_MS: u64 = 500;
/// Time that a query to the policy may take beyond its expected cost.
const QUERY_SLACK_MS: u64 = 700;

/// Policy time that a planning pass may use, over all processes that can send queries.
pub(crate) fn budget(
    clients: &mut BTreeMap<String, PolicyClient>,
    own_addr: String,
    now: Time,
) -> QueryBudget {
    let own = clients.entry(own_addr);
    own.or_insert_with(|| PolicyClient::new(now)).last_seen = now;
    let mut budget = QueryBudget::default();
    for client in clients.values().filter(|c| c.is_usable(now)) {
        budget.free_ms += MAX_QUERY_LOAD_MS.saturating_sub(client.load_ms);
        budget.total_ms += MAX_QUERY_LOAD_MS;
    }
    budget
}

/// Sends a query to the policy through the process with the least policy time in open queries,
/// since the policy handles the queries of each machine one after the other.
pub(crate) fn send(context: &Arc<MemberContext>, transport: &Transport, query: PolicyQuery) {
    let now = clock::now();
    let own_addr = context.settings.peer_addr.to_string();
    let chosen = {
        let mut cell = context.cell_state();
        cell.policy_clients
            .retain(|_, c| now.since(c.last_seen) < POLICY_CLIENT_TIMEOUT_MS || c.load_ms > 0);
        let usable = cell
            .policy_clients
            .iter_mut()
            .filter(|(_, c)| c.is_usable(now));
        let least = usable.min_by_key(|(_, c)| c.load_ms);
        least.map(|(addr, client)| {
            client.load_ms = client.load_ms.saturating_add(query.cost_ms);
            (addr.clone(), client.load_ms)
        })
    };
    let (addr, load_ms) = chosen.unwrap_or((own_addr.clone(), query.cost_ms));
    let (context, transport) = (Arc::clone(context), transport.clone());
    tokio::spawn(async move {
        let limit = Duration::from_millis(load_ms.saturating_add(QUERY_SLACK_MS));
        let granted = query_policy(&context, &transport, &addr, &own_addr, &query, limit).await;
        let answered_at = clock::now();
        tracing::info!(
            event = "advice", step = %query.step, asked = query.workers.len(),
            granted = granted.as_ref().map(Vec::len), via = addr, ms = answered_at.since(now),
            "policy query finished"
        );
        metrics::histogram!("zinnia_advice_ms").record(answered_at.since(now) as f64);
        let mut cell = context.cell_state();
        if let Some(client) = cell.policy_clients.get_mut(&addr) {
            client.load_ms = client.load_ms.saturating_sub(query.cost_ms);
            if granted.is_none() {
                client.blocked_until = answered_at.after(QUERY_BACKOFF_MS);
            }
        }
        if let Some(leader) = cell.leader.as_mut() {
            leader.policy_answered(&query, granted, answered_at);
        }
        drop(cell);
        context.plan_wakeup.notify_one();
    });
}

async fn query_policy(
    context: &MemberContext,
    transport: &Transport,
    addr: &str,
    own_addr: &str,
    query: &PolicyQuery,
    limit: Duration,
) -> Option<Vec<(String, String)>> {
    let step: StepId = query.step;
    if addr == own_addr {
        let answer = (transport.query_policy)((step, query.workers.clone()));
        return tokio::time::timeout(limit, answer).await.ok()?;
    }
    let query = (step.job, step.round, step.step, &query.workers);
    let answer = context
        .links
        .call_with_timeout(addr, "advise", &query, limit)
        .await;
    answer
        .inspect_err(|error| tracing::warn!(event = "advice", step = %step, %error, "policy query through another process failed"))
        .ok()?
}

/// Reports what the queries of each queue cost and grant.
pub(crate) fn report(context: &MemberContext) {
    let cell = context.cell_state();
    let Some(leader) = cell.leader.as_ref() else {
        return;
    };
    let mut sum = QueueStats::default();
    for (queue, stats) in leader.query_stats() {
        let set = |name: &'static str, value: f64| {
            metrics::gauge!(name, "queue" => queue.to_owned()).set(value);
        };
        set("zinnia_policy_queries", stats.queries as f64);
        set("zinnia_policy_query_failures", stats.failures as f64);
        set("zinnia_policy_query_workers", stats.workers as f64);
        set("zinnia_policy_starts", stats.starts as f64);
        set("zinnia_policy_granted_share", stats.share());
        set("zinnia_policy_delay_ms", stats.delay_ms());
        sum.queries += stats.queries;
        sum.failures += stats.failures;
        sum.workers += stats.workers;
        sum.starts += stats.starts;
    }
    if sum.queries > 0 {
        tracing::info!(
            event = "queries",
            queries = sum.queries,
            failures = sum.failures,
            workers = sum.workers,
            starts = sum.starts,
            "policy queries and planned starts of this term"
        );
    }
}

/// Learned values of each queue, for a state dump.
pub(crate) fn dump(leader: &Leader) -> Value {
    let row = |(queue, stats): (&str, &QueueStats)| {
        let values = serde_json::json!({
            "queries": stats.queries,
            "workers": stats.workers,
            "failures": stats.failures,
            "starts": stats.starts,
            "share": stats.share(),
            "delay_ms": stats.delay_ms(),
            "failing": stats.is_failing(),
        });
        (queue.to_owned(), values)
    };
    leader.query_stats().map(row).collect()
}
