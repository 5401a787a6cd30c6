//! The leader's loop: plans, proposes records, and sends orders to workers.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::mpsc;
use zinnia_plan::Batch;
use zinnia_plan::ConfirmedStart;
use zinnia_plan::ExpiredLease;
use zinnia_plan::Leader;
use zinnia_plan::LeaseChanges;
use zinnia_plan::Plan;
use zinnia_plan::Poll;
use zinnia_plan::PollAnswer;
use zinnia_plan::Record;
use zinnia_plan::Reply;
use zinnia_plan::SilentWorker;
use zinnia_plan::StartOrder;
use zinnia_plan::StartOutcome;
use zinnia_plan::TeamShare;
use zinnia_plan::WaitReason;
use zinnia_plan::WaitingSteps;
use zinnia_plan::lease_bound_ms;
use zinnia_replica::ProposalOutcome;
use zinnia_replica::clock;

use crate::LeaderTime;
use crate::Transport;
use crate::context::MemberContext;
use crate::evacuation;
use crate::policy_queries;

/// Maximum interval between two planning passes.
const MAX_PASS_INTERVAL: Duration = Duration::from_millis(50);
/// Minimum interval between two planning passes, so that one pass covers several events.
const MIN_PASS_INTERVAL: Duration = Duration::from_millis(5);
/// Pause after a planning pass as a multiple of its duration. With a long backlog a pass takes long,
/// and requests and the answers of workers must not wait behind one pass after the other.
const PASS_PAUSE_FACTOR: u32 = 4;
/// Longest pause after a planning pass if the leader's work is bounded. Passes that take long then take a fifth of
/// the time, and each covers more events.
const MAX_BOUNDED_PAUSE: Duration = Duration::from_millis(200);
/// Interval between two reports of the steps that wait for workers.
const WAITING_INTERVAL: Duration = Duration::from_secs(2);
/// Timeout of the leader's own proposals; the loss of leadership ends the wait earlier.
pub(crate) const PROPOSE_TIMEOUT: Duration = Duration::from_secs(20);
/// Proposes records; `None` if the outcome is unknown.
pub(crate) async fn propose(
    context: &MemberContext,
    records: Vec<Record>,
    limit: Duration,
) -> Option<ProposalOutcome<Vec<Reply>>> {
    propose_until(context, records, None, limit).await
}

/// Proposes records of a request, unless its deadline has passed when they would be proposed.
pub(crate) async fn propose_until(
    context: &MemberContext,
    records: Vec<Record>,
    deadline: Option<LeaderTime>,
    limit: Duration,
) -> Option<ProposalOutcome<Vec<Reply>>> {
    propose_batch(context, records, LeaseChanges::default(), deadline, limit).await
}

/// Proposes records and changes of leases, together with others that wait if the leader's work is bounded.
async fn propose_batch(
    context: &MemberContext,
    records: Vec<Record>,
    lease_changes: LeaseChanges,
    deadline: Option<LeaderTime>,
    limit: Duration,
) -> Option<ProposalOutcome<Vec<Reply>>> {
    match context.settings.plan.load.bounded {
        true => {
            let queue = &context.log_queue;
            queue.propose(records, lease_changes, deadline, limit).await
        }
        false => propose_entry(context, records, lease_changes, limit).await,
    }
}

/// Proposes one entry of the log.
pub(crate) async fn propose_entry(
    context: &MemberContext,
    records: Vec<Record>,
    lease_changes: LeaseChanges,
    limit: Duration,
) -> Option<ProposalOutcome<Vec<Reply>>> {
    let settings = &context.settings.plan;
    let (lease_bound, past_use_ms) = {
        let cell = context.cell_state();
        let leader = cell.leader.as_ref();
        let lease_bound = lease_bound_ms(&cell.state, leader, settings, clock::now());
        (lease_bound, cell.state.past_use_change(&settings.order))
    };
    let batch = Batch {
        at_ms: clock::wall_ms(),
        lease_bound: Some(lease_bound),
        lease_changes: Some(lease_changes),
        past_use_ms,
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
                policy_queries::report(&context);
                report_slow_workers(&context);
                report_shares(&context);
            }
            record_cost(&plan);
            execute_plan(&context, &transport, plan, &starts_pending);
            let is_bounded = context.settings.plan.load.bounded;
            tokio::time::sleep(pause_after_pass(took, is_bounded)).await;
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

fn report_slow_workers(context: &MemberContext) {
    let cell = context.cell_state();
    let count = cell.leader.as_ref().map_or(0, Leader::slow_workers);
    metrics::gauge!("zinnia_slow_workers").set(count as f64);
}

/// Reports what the teams use and have used.
fn report_shares(context: &MemberContext) {
    let shares = {
        let cell = context.cell_state();
        let leader = cell.leader.as_ref();
        let shares = |l: &Leader| l.team_shares(&cell.state, clock::wall_ms());
        leader.map(shares).unwrap_or_default()
    };
    for share in &shares {
        let team = share.team.clone();
        metrics::gauge!("zinnia_team_used", "team" => team.clone()).set(share.used);
        metrics::gauge!("zinnia_team_past_use_ms", "team" => team.clone()).set(share.past_ms);
        metrics::gauge!("zinnia_team_weight", "team" => team).set(share.lowered);
    }
    let per_weight = |s: &&TeamShare| s.used / s.lowered;
    let most = shares
        .iter()
        .max_by(|a, b| per_weight(a).total_cmp(&per_weight(b)));
    if let Some(most) = most.filter(|s| s.used > 0.0) {
        tracing::info!(
            event = "share",
            team = most.team,
            weight = most.weight,
            lowered = most.lowered,
            used = most.used,
            past_ms = most.past_ms,
            "this team uses most for its weight"
        );
    }
}

/// Returns how long the loop pauses after a planning pass that took `took`.
fn pause_after_pass(took: Duration, is_bounded: bool) -> Duration {
    let longest = match is_bounded {
        true => MAX_BOUNDED_PAUSE,
        false => MAX_PASS_INTERVAL,
    };
    took.saturating_mul(PASS_PAUSE_FACTOR)
        .clamp(MIN_PASS_INTERVAL, longest)
}

/// Records what the placement of waiting steps cost.
fn record_cost(plan: &Plan) {
    let count = |outcome: &'static str, steps: usize| {
        metrics::counter!("zinnia_pass_steps_total", "outcome" => outcome).increment(steps as u64);
    };
    count("considered", plan.cost.considered);
    count("alike", plan.cost.alike);
    count("postponed", plan.cost.postponed);
}

/// Runs one planning pass; `None` if this process is not the leader.
fn plan_once(context: &Arc<MemberContext>, starts_pending: &AtomicBool) -> Option<Plan> {
    // Leases count from a time at which this process certainly led, also if it is paused right after
    // the check.
    let now = clock::now();
    let term = context.leading_term()?;
    let mut cell = context.cell_state();
    let cell = &mut *cell;
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
        evacuation::report_domains(&cell.state);
        starts_pending.store(false, Ordering::Relaxed);
    }
    let leader = cell.leader.as_mut()?;
    let may_start = !starts_pending.load(Ordering::Relaxed);
    let own_addr = context.settings.peer_addr.to_string();
    let budget = policy_queries::budget(&mut cell.policy_clients, own_addr, now);
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
    for run in plan.preempted {
        metrics::counter!("zinnia_preempted_runs_total").increment(1);
        tracing::info!(
            event = "preempt", task = %run.task, run = run.run, worker = run.worker, urgent = %run.urgent,
            "run is stopped to make room for an urgent task"
        );
    }
    for query in plan.queries {
        policy_queries::send(context, transport, query);
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
        let proposal = propose_batch(&context, records, lease_changes, None, PROPOSE_TIMEOUT);
        if proposal.await.is_none() {
            tracing::warn!(event = "record", "outcome of a proposal is unknown");
        }
    });
}

/// Returns the order if this process may still send it.
fn confirm_start(context: &Arc<MemberContext>, order: StartOrder) -> Option<StartOrder> {
    let may_act = context.is_leader();
    if !may_act {
        tracing::warn!(
            event = "start", task = %order.common.task, run = order.common.run,
            worker = order.common.worker,
            "start order is held back: this process has lost contact with the quorum"
        );
    }
    let mut cell = context.cell_state();
    let cell = &mut *cell;
    let leader = cell.leader.as_mut()?;
    let run_order = order.common.clone();
    match leader.confirm_start(&cell.state, order, may_act, clock::now()) {
        ConfirmedStart::Send(order) => Some(order),
        ConfirmedStart::HeldBack(record) => {
            if may_act {
                evacuation::report_held_order(&run_order);
            }
            if let Some(record) = record {
                propose_in_background(context, vec![record], LeaseChanges::default());
            }
            None
        }
    }
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
