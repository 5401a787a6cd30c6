//! The leader's loop: plans, proposes records, and sends orders to workers.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::mpsc;
use zinnia_plan::Batch;
use zinnia_plan::Leader;
use zinnia_plan::Plan;
use zinnia_plan::PolicyQuery;
use zinnia_plan::Poll;
use zinnia_plan::Record;
use zinnia_plan::Reply;
use zinnia_plan::StartOrder;
use zinnia_plan::StartOutcome;
use zinnia_plan::StepId;
use zinnia_replica::ProposalOutcome;
use zinnia_replica::clock;

use crate::Transport;
use crate::engine::Engine;
use crate::engine::HELPER_MS;
use crate::engine::Helper;

/// Maximum interval between two planning passes.
const PASS: Duration = Duration::from_millis(50);
/// Minimum interval between two planning passes, so that one pass covers several events.
const PAUSE: Duration = Duration::from_millis(5);
/// Timeout of the leader's own proposals; the loss of leadership ends the wait earlier.
const PROPOSE: Duration = Duration::from_secs(20);
/// Policy time of open queries, in milliseconds, above which a process gets no further query.
/// Queries wait at the leader instead, which sends the most urgent ones first.
const MOST_LOAD_MS: u64 = 300;
/// How long a process gets no queries after one failed through it.
const REST_MS: u64 = 500;
/// Time that a query to the policy may take beyond its expected cost.
const ADVICE_SLACK_MS: u64 = 700;

/// Proposes records; `None` if the outcome is unknown.
pub(crate) async fn propose(
    engine: &Engine,
    list: Vec<Record>,
    limit: Duration,
) -> Option<ProposalOutcome<Vec<Reply>>> {
    let batch = Batch {
        at_ms: clock::wall_ms(),
        list,
    };
    let text = match serde_json::to_string(&batch) {
        Ok(text) => text,
        Err(error) => {
            tracing::error!(step = "propose", %error, "records cannot be written");
            return None;
        }
    };
    engine.replica.get()?.propose(text, limit).await
}

/// Runs until the process ends; plans only while this process is the leader.
pub(crate) async fn run(
    engine: Arc<Engine>,
    transport: Transport,
    mut orders: mpsc::UnboundedReceiver<StartOrder>,
) {
    let starting = Arc::new(AtomicBool::new(false));
    loop {
        tokio::select! {
            () = engine.kick.notified() => {}
            Some(call) = orders.recv() => {
                start(&engine, &transport, call);
                continue;
            }
            () = tokio::time::sleep(PASS) => {}
        }
        while let Ok(call) = orders.try_recv() {
            start(&engine, &transport, call);
        }
        if let Some(plan) = pass(&engine, &starting) {
            carry_out(&engine, &transport, plan, &starting);
            tokio::time::sleep(PAUSE).await;
        }
    }
}

/// Runs one planning pass; `None` if this process is not the leader.
fn pass(engine: &Arc<Engine>, starting: &AtomicBool) -> Option<Plan> {
    let term = engine.leading_term()?;
    let now = clock::now();
    let mut core = engine.core();
    let core = &mut *core;
    let own = core.helpers.entry(engine.settings.peer_addr.to_string());
    own.or_insert_with(|| Helper::new(now)).seen = now;
    if core.leader.is_none() {
        tracing::info!(
            event = "lead",
            term,
            jobs = core.state.live.len(),
            workers = core.state.workers.len(),
            "leadership begins"
        );
        core.leader = Some(Leader::new(engine.settings.plan.clone(), term, now));
        starting.store(false, Ordering::Relaxed);
    }
    let leader = core.leader.as_mut()?;
    let may_start = !starting.load(Ordering::Relaxed);
    let usable = core.helpers.values().filter(|h| h.is_usable(now));
    let query_ms = usable.map(|h| MOST_LOAD_MS.saturating_sub(h.load_ms)).sum();
    Some(leader.plan(&core.state, may_start, query_ms, now, clock::wall_ms()))
}

fn carry_out(engine: &Arc<Engine>, transport: &Transport, plan: Plan, starting: &Arc<AtomicBool>) {
    if !plan.records.is_empty() {
        record(engine, plan.records);
    }
    if !plan.starts.is_empty() {
        starting.store(true, Ordering::Relaxed);
        let (engine, starting) = (Arc::clone(engine), Arc::clone(starting));
        tokio::spawn(async move {
            let verdict = propose(&engine, vec![Record::Start(plan.starts)], PROPOSE).await;
            if !matches!(verdict, Some(ProposalOutcome::Applied { .. })) {
                tracing::warn!(event = "start", "starts were not committed");
            }
            starting.store(false, Ordering::Relaxed);
            engine.kick.notify_one();
        });
    }
    for poll in plan.polls {
        ask(engine, transport, poll);
    }
    for call in plan.stops {
        tracing::info!(event = "stop", task = %call.task, run = call.run, worker = call.worker, "run is told to stop");
        tokio::spawn((transport.stop)(call));
    }
    for query in plan.queries {
        advise(engine, transport, query);
    }
}

/// Proposes records without waiting for the result, which shows in the state.
fn record(engine: &Arc<Engine>, list: Vec<Record>) {
    let engine = Arc::clone(engine);
    tokio::spawn(async move {
        if propose(&engine, list, PROPOSE).await.is_none() {
            tracing::warn!(event = "record", "outcome of a proposal is not known");
        }
    });
}

fn start(engine: &Arc<Engine>, transport: &Transport, order: StartOrder) {
    let call = order.common.clone();
    let outcome = (transport.start)(order);
    let engine = Arc::clone(engine);
    tokio::spawn(async move {
        let outcome = outcome.await;
        tracing::info!(
            event = "start", task = %call.task, run = call.run, worker = call.worker,
            fence = call.fence, outcome = ?outcome, "start order answered"
        );
        let word = match outcome {
            StartOutcome::Accepted { .. } => "accepted",
            StartOutcome::Refused { .. } => "refused",
            StartOutcome::Unknown => "unknown",
        };
        metrics::counter!("zinnia_starts_total", "outcome" => word).increment(1);
        let record_of = {
            let mut core = engine.core();
            let now = clock::now();
            core.leader
                .as_mut()
                .and_then(|l| l.start_answered(&call, &outcome, now))
        };
        if let Some(found) = record_of {
            record(&engine, vec![found]);
        }
        if outcome == StartOutcome::Unknown {
            engine.kick.notify_one();
        }
    });
}

fn ask(engine: &Arc<Engine>, transport: &Transport, poll: Poll) {
    let answer = (transport.poll)(poll.clone());
    let engine = Arc::clone(engine);
    tokio::spawn(async move {
        let report = answer.await;
        let records = {
            let mut core = engine.core();
            let core = &mut *core;
            let now = clock::now();
            match core.leader.as_mut() {
                Some(leader) => leader.poll_answered(&core.state, &poll, report.as_ref(), now),
                None => Vec::new(),
            }
        };
        if !records.is_empty() {
            record(&engine, records);
        }
        engine.kick.notify_one();
    });
}

/// Sends a query to the policy through the process with the shortest open queries, since the policy
/// handles the queries of each machine one after the other.
fn advise(engine: &Arc<Engine>, transport: &Transport, query: PolicyQuery) {
    let now = clock::now();
    let own = engine.settings.peer_addr.to_string();
    let chosen = {
        let mut core = engine.core();
        core.helpers
            .retain(|_, h| now.since(h.seen) < HELPER_MS || h.load_ms > 0);
        let usable = core.helpers.iter_mut().filter(|(_, h)| h.is_usable(now));
        let least = usable.min_by_key(|(_, h)| h.load_ms);
        least.map(|(addr, helper)| {
            helper.load_ms += query.cost_ms;
            (addr.clone(), helper.load_ms)
        })
    };
    let (addr, load_ms) = chosen.unwrap_or((own.clone(), query.cost_ms));
    let (engine, transport) = (Arc::clone(engine), transport.clone());
    tokio::spawn(async move {
        let limit = Duration::from_millis(load_ms + ADVICE_SLACK_MS);
        let granted = ask_policy(&engine, &transport, &addr, &own, &query, limit).await;
        let now_done = clock::now();
        tracing::info!(
            event = "advice", step = %query.step, asked = query.workers.len(),
            granted = granted.as_ref().map(Vec::len), via = addr, ms = now_done.since(now),
            "policy answered"
        );
        metrics::histogram!("zinnia_advice_ms").record(now_done.since(now) as f64);
        let mut core = engine.core();
        if let Some(helper) = core.helpers.get_mut(&addr) {
            helper.load_ms = helper.load_ms.saturating_sub(query.cost_ms);
            if granted.is_none() {
                helper.rest = now_done.after(REST_MS);
            }
        }
        if let Some(leader) = core.leader.as_mut() {
            leader.policy_answered(&query, granted, now_done);
        }
        drop(core);
        engine.kick.notify_one();
    });
}

async fn ask_policy(
    engine: &Engine,
    transport: &Transport,
    addr: &str,
    own: &str,
    query: &PolicyQuery,
    limit: Duration,
) -> Option<Vec<(String, String)>> {
    let step: StepId = query.step;
    let workers = query.workers.clone();
    if addr == own {
        return tokio::time::timeout(limit, (transport.query_policy)((step, workers)))
            .await
            .ok()?;
    }
    let query = (step.job, step.round, step.step, workers);
    let answer = engine
        .links
        .call_within(addr, "advise", &query, limit)
        .await;
    answer
        .inspect_err(|error| tracing::warn!(event = "advice", step = %step, %error, "no answer through a helper"))
        .ok()?
}
