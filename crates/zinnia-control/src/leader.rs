//! The leader's loop: plans, proposes records, and sends orders to workers.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::mpsc;
use zinnia_plan::Batch;
use zinnia_plan::ExpiredLease;
use zinnia_plan::Leader;
use zinnia_plan::LeaseChanges;
use zinnia_plan::Plan;
use zinnia_plan::PolicyQuery;
use zinnia_plan::Poll;
use zinnia_plan::PollAnswer;
use zinnia_plan::QueryBudget;
use zinnia_plan::Record;
use zinnia_plan::Reply;
use zinnia_plan::SilentWorker;
use zinnia_plan::StartOrder;
use zinnia_plan::StartOutcome;
use zinnia_plan::StepId;
use zinnia_plan::WaitReason;
use zinnia_plan::WaitingSteps;
use zinnia_plan::lease_bound_ms;
use zinnia_replica::ProposalOutcome;
use zinnia_replica::clock;

use crate::Transport;
use crate::context::MemberContext;
use crate::context::POLICY_CLIENT_TIMEOUT_MS;
use crate::context::PolicyClient;

/// Maximum interval between two planning passes.
const MAX_PASS_INTERVAL: Duration = Duration::from_millis(50);
/// Minimum interval between two planning passes, so that one pass covers several events.
const MIN_PASS_INTERVAL: Duration = Duration::from_millis(5);
/// Pause after a planning pass as a multiple of its duration. With a long backlog a pass takes long,
/// and requests and the answers of workers must not wait behind one pass after the other.
const PASS_PAUSE_FACTOR: u32 = 4;
/// Interval between two reports of the steps that wait for workers.
const WAITING_INTERVAL: Duration = Duration::from_secs(2);
/// Timeout of the leader's own proposals; the loss of leadership ends the wait earlier.
const PROPOSE_TIMEOUT: Duration = Duration::from_secs(20);
/// Policy time of open queries, in milliseconds, above which a process gets no further query.
/// Queries wait at the leader instead, which sends the most urgent ones first.
const MAX_QUERY_LOAD_MS: u64 = 300;
/// How long a process gets no queries after one failed through it.
const QUERY_BACKOFF_MS: u64 = 500;
/// Time that a query to the policy may take beyond its expected cost.
const QUERY_SLACK_MS: u64 = 700;

/// Proposes records; `None` if the outcome is unknown.
pub(crate) async fn propose(
    context: &MemberContext,
    records: Vec<Record>,
    limit: Duration,
) -> Option<ProposalOutcome<Vec<Reply>>> {
    propose_batch(context, records, LeaseChanges::default(), limit).await
}

async fn propose_batch(
    context: &MemberContext,
    records: Vec<Record>,
    lease_changes: LeaseChanges,
    limit: Duration,
) -> Option<ProposalOutcome<Vec<Reply>>> {
    let lease_bound = {
        let cell = context.cell_state();
        let leader = cell.leader.as_ref();
        lease_bound_ms(&cell.state, leader, &context.settings.plan, clock::now())
    };
    let batch = Batch {
        at_ms: clock::wall_ms(),
        lease_bound: Some(lease_bound),
        lease_changes: Some(lease_changes),
        records,
    };
    let text = match serde_json::to_string(&batch) {
        Ok(text) => text,
        Err(error) => {
            tracing::error!(step = "propose", %error, "cannot encode the records");
            return None;
        }
    };
    context.replica.get()?.propose(text, limit).await
}

/// Runs until the process ends; plans only while this process is the leader.
pub(crate) async fn run(
    context: Arc<MemberContext>,
    transport: Transport,
    mut start_orders: mpsc::UnboundedReceiver<StartOrder>,
) {
    let starts_pending = Arc::new(AtomicBool::new(false));
    let mut last_report = Instant::now();
    loop {
        tokio::select! {
            () = context.plan_wakeup.notified() => {}
            Some(order) = start_orders.recv() => {
                send_start(&context, &transport, order);
                continue;
            }
            () = tokio::time::sleep(MAX_PASS_INTERVAL) => {}
        }
        while let Ok(order) = start_orders.try_recv() {
            send_start(&context, &transport, order);
        }
        let started = Instant::now();
        if let Some(plan) = plan_once(&context, &starts_pending) {
            let took = started.elapsed();
            metrics::histogram!("zinnia_plan_pass_ms").record(took.as_secs_f64() * 1e3);
            let is_due = last_report.elapsed() >= WAITING_INTERVAL;
            if let Some(waiting) = plan.waiting.as_ref().filter(|_| is_due) {
                last_report = Instant::now();
                report_waiting(waiting);
            }
            execute_plan(&context, &transport, plan, &starts_pending);
            tokio::time::sleep(pause_after_pass(took)).await;
        }
    }
}

/// Reports which steps wait for workers and why.
fn report_waiting(waiting: &WaitingSteps) {
    for reason in WaitReason::ALL {
        let count = waiting.counts.get(&reason).copied().unwrap_or(0);
        metrics::gauge!("zinnia_waiting_steps", "reason" => reason.name()).set(count as f64);
    }
    let age_ms = waiting.oldest.as_ref().map_or(0, |o| o.age_ms);
    metrics::gauge!("zinnia_oldest_waiting_step_ms").set(age_ms as f64);
    let Some(oldest) = &waiting.oldest else {
        return;
    };
    tracing::info!(
        event = "waiting", step = %oldest.step, queue = oldest.queue, age_ms = oldest.age_ms,
        reason = oldest.reason.name(), steps = waiting.counts.values().sum::<u64>(),
        "steps wait for workers; this one for longest"
    );
}

/// Returns how long the loop pauses after a planning pass that took `took`.
fn pause_after_pass(took: Duration) -> Duration {
    (took * PASS_PAUSE_FACTOR).clamp(MIN_PASS_INTERVAL, MAX_PASS_INTERVAL)
}

/// Runs one planning pass; `None` if this process is not the leader.
fn plan_once(context: &Arc<MemberContext>, starts_pending: &AtomicBool) -> Option<Plan> {
    // Leases count from a time at which this process certainly led, also if it is paused right after
    // the check.
    let now = clock::now();
    let term = context.leading_term()?;
    let mut cell = context.cell_state();
    let cell = &mut *cell;
    let own_client = cell
        .policy_clients
        .entry(context.settings.peer_addr.to_string());
    own_client
        .or_insert_with(|| PolicyClient::new(now))
        .last_seen = now;
    if cell.leader.is_none() {
        tracing::info!(
            event = "lead",
            term,
            jobs = cell.state.live.len(),
            workers = cell.state.workers.len(),
            inherited_ms = cell.state.inherited_lease_ms(&context.settings.plan),
            "this process starts to lead"
        );
        let settings = context.settings.plan.clone();
        // `now` may be before the term, and leases of earlier leaders count from its start.
        let term_start = clock::now();
        cell.leader = Some(Leader::new(
            settings,
            term,
            &cell.state,
            &cell.lease_times,
            term_start,
        ));
        starts_pending.store(false, Ordering::Relaxed);
    }
    let leader = cell.leader.as_mut()?;
    let may_start = !starts_pending.load(Ordering::Relaxed);
    let mut budget = QueryBudget::default();
    for client in cell.policy_clients.values().filter(|c| c.is_usable(now)) {
        budget.free_ms += MAX_QUERY_LOAD_MS.saturating_sub(client.load_ms);
        budget.total_ms += MAX_QUERY_LOAD_MS;
    }
    Some(leader.plan(&cell.state, may_start, budget, now, clock::wall_ms()))
}

fn execute_plan(
    context: &Arc<MemberContext>,
    transport: &Transport,
    plan: Plan,
    starts_pending: &Arc<AtomicBool>,
) {
    for worker in &plan.silent {
        log_silent_worker(worker);
    }
    for lease in &plan.expired {
        log_expired_lease(lease);
    }
    if !plan.records.is_empty() || !plan.lease_changes.is_empty() {
        propose_in_background(context, plan.records, plan.lease_changes);
    }
    if !plan.starts.is_empty() {
        starts_pending.store(true, Ordering::Relaxed);
        let (context, starts_pending) = (Arc::clone(context), Arc::clone(starts_pending));
        tokio::spawn(async move {
            let verdict =
                propose(&context, vec![Record::Start(plan.starts)], PROPOSE_TIMEOUT).await;
            if !matches!(verdict, Some(ProposalOutcome::Applied { .. })) {
                tracing::warn!(
                    event = "start",
                    "start proposal was rejected or its outcome is unknown"
                );
            }
            starts_pending.store(false, Ordering::Relaxed);
            context.plan_wakeup.notify_one();
        });
    }
    for poll in plan.polls {
        send_poll(context, transport, poll);
    }
    for order in plan.stops {
        tracing::info!(event = "stop", task = %order.task, run = order.run, worker = order.worker, "sending a stop order");
        tokio::spawn((transport.stop)(order));
    }
    for query in plan.queries {
        send_query(context, transport, query);
    }
}

fn log_silent_worker(silent: &SilentWorker) {
    metrics::counter!("zinnia_silent_workers_total").increment(1);
    tracing::info!(
        event = "silent",
        worker = silent.worker,
        born = silent.born,
        runs = silent.runs,
        silent_ms = silent.silent_ms,
        wait_ms = silent.wait_ms,
        term_age_ms = silent.term_age_ms,
        "a worker with runs does not answer; its leases are not renewed any more"
    );
}

fn log_expired_lease(lease: &ExpiredLease) {
    metrics::counter!("zinnia_expired_leases_total").increment(1);
    tracing::info!(
        event = "lease_expired",
        worker = lease.worker,
        born = lease.born,
        runs = lease.runs,
        silent_ms = lease.silent_ms,
        term_age_ms = lease.term_age_ms,
        "leases of a silent worker have expired; its runs are released"
    );
}

/// Proposes records without waiting for the result, which shows in the state.
fn propose_in_background(
    context: &Arc<MemberContext>,
    records: Vec<Record>,
    lease_changes: LeaseChanges,
) {
    let context = Arc::clone(context);
    tokio::spawn(async move {
        let proposal = propose_batch(&context, records, lease_changes, PROPOSE_TIMEOUT);
        if proposal.await.is_none() {
            tracing::warn!(event = "record", "outcome of a proposal is unknown");
        }
    });
}

/// Returns the order if this process may still send it.
fn confirm_start(context: &MemberContext, order: StartOrder) -> Option<StartOrder> {
    let may_act = context.is_leader();
    if !may_act {
        tracing::warn!(
            event = "start", task = %order.common.task, run = order.common.run,
            worker = order.common.worker,
            "start order is held back: this process has lost contact with the quorum"
        );
    }
    let mut cell = context.cell_state();
    let leader = cell.leader.as_mut()?;
    leader.confirm_start(order, may_act, clock::now())
}

fn send_start(context: &Arc<MemberContext>, transport: &Transport, order: StartOrder) {
    let Some(order) = confirm_start(context, order) else {
        return;
    };
    let run_order = order.common.clone();
    let outcome = (transport.start)(order);
    let context = Arc::clone(context);
    tokio::spawn(async move {
        let outcome = outcome.await;
        tracing::info!(
            event = "start", task = %run_order.task, run = run_order.run, worker = run_order.worker,
            fence = run_order.fence, outcome = ?outcome, "start order answered"
        );
        let label = match outcome {
            StartOutcome::Accepted { .. } => "accepted",
            StartOutcome::Refused { .. } => "refused",
            StartOutcome::Unknown => "unknown",
        };
        metrics::counter!("zinnia_starts_total", "outcome" => label).increment(1);
        let new_record = {
            let mut cell = context.cell_state();
            let now = clock::now();
            cell.leader
                .as_mut()
                .and_then(|l| l.start_answered(&run_order, &outcome, now))
        };
        if let Some(record) = new_record {
            propose_in_background(&context, vec![record], LeaseChanges::default());
        }
        if outcome == StartOutcome::Unknown {
            context.plan_wakeup.notify_one();
        }
    });
}

fn send_poll(context: &Arc<MemberContext>, transport: &Transport, poll: Poll) {
    let answer = (transport.poll)(poll.clone());
    let context = Arc::clone(context);
    tokio::spawn(async move {
        let answer = answer.await;
        let records = {
            let mut cell = context.cell_state();
            let cell = &mut *cell;
            let now = clock::now();
            let state = &cell.state;
            match (cell.leader.as_mut(), answer) {
                (None, _) => Vec::new(),
                (Some(leader), PollAnswer::Report(report)) => {
                    leader.poll_answered(state, &poll, Some(&report), now)
                }
                (Some(leader), PollAnswer::OtherWorker) => {
                    let record = leader.poll_misdirected(state, &poll, now);
                    tracing::info!(
                        event = "worker",
                        worker = poll.worker,
                        born = poll.born,
                        addr = poll.addr,
                        ended = record.is_some(),
                        "another worker answers at the address of a worker"
                    );
                    record.into_iter().collect()
                }
                (Some(leader), PollAnswer::None) => leader.poll_answered(state, &poll, None, now),
            }
        };
        if !records.is_empty() {
            propose_in_background(&context, records, LeaseChanges::default());
        }
        context.plan_wakeup.notify_one();
    });
}

/// Sends a query to the policy through the process with the least policy time in open queries,
/// since the policy handles the queries of each machine one after the other.
fn send_query(context: &Arc<MemberContext>, transport: &Transport, query: PolicyQuery) {
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
    let workers = query.workers.clone();
    if addr == own_addr {
        return tokio::time::timeout(limit, (transport.query_policy)((step, workers)))
            .await
            .ok()?;
    }
    let query = (step.job, step.round, step.step, workers);
    let answer = context
        .links
        .call_with_timeout(addr, "advise", &query, limit)
        .await;
    answer
        .inspect_err(|error| tracing::warn!(event = "advice", step = %step, %error, "policy query through another process failed"))
        .ok()?
}
