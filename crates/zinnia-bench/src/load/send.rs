//! Open-loop load generator: sends each request at its scheduled time, without waiting for earlier
//! responses.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use serde_json::json;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;
use zinnia_local::Client;
use zinnia_types::ErrorBody;
use zinnia_types::JobId;

use super::profile::Arrival;
use super::profile::LoadProfile;
use super::profile::Request;
use super::report::RequestStats;
use super::target::Target;

/// Interval at which the ended jobs are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum wait for jobs to end after the last request.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(30);

/// Delay before the time zero of the arrivals, so that the first ones are not late.
const START_DELAY: Duration = Duration::from_millis(100);

/// Measurements of a load run.
pub(crate) struct LoadResults {
    pub(crate) stats: BTreeMap<&'static str, RequestStats>,
    /// Largest delay of a request behind its scheduled send time.
    pub(crate) max_lateness: Duration,
    /// Urgent jobs with their scheduled send times in milliseconds on the clock of the workers.
    urgent_jobs: Vec<(JobId, u64)>,
}

/// Outcome of a request, or of a job that was waited for.
enum RequestOutcome {
    /// Successful, with its latency.
    Granted(Duration),
    /// Refused or failed, with the code or the state.
    Refused(String),
    /// No response, or no end of the job was observed.
    NoResponse,
}

/// A completed request: its key in [`LoadResults::stats`] and its outcome.
struct CompletedRequest {
    kind: &'static str,
    outcome: RequestOutcome,
}

/// Sends all requests and waits for their responses and for the accepted jobs to end.
pub(crate) async fn send_all(
    target: &Target,
    profile: &LoadProfile,
    arrivals: Vec<Arrival>,
) -> Result<LoadResults> {
    let service = profile.service.0;
    let start = Instant::now() + START_DELAY;
    let mut tasks = JoinSet::new();
    let mut max_lateness = Duration::ZERO;
    let mut results = LoadResults {
        stats: BTreeMap::from([
            ("call", RequestStats::new()?),
            ("submit", RequestStats::new()?),
            ("finish", RequestStats::new()?),
            ("urgent", RequestStats::new()?),
        ]),
        max_lateness,
        urgent_jobs: Vec::new(),
    };
    let start_ms = zinnia_worker::now().0 + u64::try_from(START_DELAY.as_millis())?;
    let pending = PendingJobs::default();
    let (finished_sender, finished) = watch::channel(false);
    let clients = (0..profile.teams.len()).filter_map(|team| target.client(team, team).cloned());
    let watcher = tokio::spawn(watch_jobs(clients.collect(), pending.clone(), finished));
    for (index, arrival) in arrivals.into_iter().enumerate() {
        let scheduled = start + arrival.send_at;
        tokio::time::sleep_until(scheduled).await;
        max_lateness = max_lateness.max(scheduled.elapsed());
        results
            .urgent_jobs
            .extend(urgent_job(profile, &arrival, start_ms));
        let Some(client) = target.client(arrival.team_index, index) else {
            continue;
        };
        let (client, pending) = (client.clone(), pending.clone());
        tasks.spawn(async move {
            match arrival.request {
                Request::Call { size } => call(&client, service, size, scheduled).await,
                Request::Submit { body } => {
                    submit(&client, &body, arrival.team_index, scheduled, &pending).await
                }
            }
        });
    }
    results.max_lateness = max_lateness;
    for completed in tasks.join_all().await {
        results.record(completed.kind, completed.outcome);
    }
    let _ = finished_sender.send(true);
    for outcome in watcher
        .await
        .context("the task that polls the ended jobs failed")?
    {
        results.record("finish", outcome);
    }
    Ok(results)
}

/// Returns the id of a submission of the urgent kind and its scheduled send time in milliseconds.
fn urgent_job(profile: &LoadProfile, arrival: &Arrival, start_ms: u64) -> Option<(JobId, u64)> {
    let Request::Submit { body } = &arrival.request else {
        return None;
    };
    let kind = body["kind"].as_str()?;
    let (name, _) = profile.teams.get(arrival.team_index)?;
    let scheduled_ms = start_ms + u64::try_from(arrival.send_at.as_millis()).ok()?;
    let id = JobId::of(name.parse().ok()?, body["name"].as_str()?);
    (profile.urgent_kind == Some(kind)).then_some((id, scheduled_ms))
}

impl LoadResults {
    /// Records the delays until urgent jobs first started, if the workers run in this process.
    pub(crate) fn record_urgent_starts(&mut self, target: &Target) {
        let starts = target.first_starts();
        for (id, scheduled_ms) in std::mem::take(&mut self.urgent_jobs) {
            if let Some(&start_ms) = starts.get(&id) {
                let delay = Duration::from_millis(start_ms.saturating_sub(scheduled_ms));
                self.record("urgent", RequestOutcome::Granted(delay));
            }
        }
    }

    fn record(&mut self, kind: &'static str, outcome: RequestOutcome) {
        let Some(stats) = self.stats.get_mut(kind) else {
            return;
        };
        match outcome {
            RequestOutcome::Granted(latency) => stats.record_granted(micros(latency)),
            RequestOutcome::Refused(code) => stats.record_refused(code),
            RequestOutcome::NoResponse => stats.record_no_response(),
        }
    }
}

/// Accepted jobs whose end has not been observed, by team index and name, with their scheduled send
/// times. Clones share the jobs.
#[derive(Clone, Default)]
struct PendingJobs {
    jobs: Arc<Mutex<BTreeMap<(usize, String), Instant>>>,
}

impl PendingJobs {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<(usize, String), Instant>> {
        self.jobs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    /// Requests the ended jobs of a team; removes and returns those that were pending.
    async fn take_ended(&self, client: &Client, team_index: usize) -> Vec<RequestOutcome> {
        let rows = client.get("/v1/jobs?limit=10000&state=ended").await;
        let rows = rows.unwrap_or_default();
        let mut outcomes = Vec::new();
        let mut jobs = self.lock();
        for row in rows["jobs"].as_array().into_iter().flatten() {
            let name = row["name"].as_str().unwrap_or_default().to_owned();
            let Some(scheduled) = jobs.remove(&(team_index, name)) else {
                continue;
            };
            let state = row["outcome"]["state"].as_str().unwrap_or("unknown");
            outcomes.push(match state {
                "done" => RequestOutcome::Granted(scheduled.elapsed()),
                other => RequestOutcome::Refused(other.to_owned()),
            });
        }
        outcomes
    }
}

/// Polls the ended jobs until all requests were sent and no job is pending, or until
/// [`DRAIN_TIMEOUT`] after the last request.
async fn watch_jobs(
    clients: Vec<Client>,
    pending: PendingJobs,
    mut finished: watch::Receiver<bool>,
) -> Vec<RequestOutcome> {
    let mut outcomes = Vec::new();
    let mut deadline = None;
    loop {
        for (team_index, client) in clients.iter().enumerate() {
            outcomes.extend(pending.take_ended(client, team_index).await);
        }
        if *finished.borrow_and_update() {
            let drain_end = *deadline.get_or_insert(Instant::now() + DRAIN_TIMEOUT);
            if pending.is_empty() || Instant::now() >= drain_end {
                break;
            }
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    outcomes.extend(pending.lock().values().map(|_| RequestOutcome::NoResponse));
    outcomes
}

async fn call(client: &Client, service: &str, size: usize, scheduled: Instant) -> CompletedRequest {
    let body = json!({"text": "x".repeat(size)}).to_string();
    let outcome = match client
        .call_service(service, &[("x-repeat", "yes")], body)
        .await
    {
        Ok((200, ..)) => RequestOutcome::Granted(scheduled.elapsed()),
        Ok((status, _, bytes)) => {
            RequestOutcome::Refused(match serde_json::from_slice::<ErrorBody>(&bytes) {
                Ok(body) => error_code(&body),
                Err(_) => format!("status {status}"),
            })
        }
        Err(_) => RequestOutcome::NoResponse,
    };
    CompletedRequest {
        kind: "call",
        outcome,
    }
}

async fn submit(
    client: &Client,
    body: &serde_json::Value,
    team_index: usize,
    scheduled: Instant,
    pending: &PendingJobs,
) -> CompletedRequest {
    let outcome = match client.post("/v1/jobs", body).await {
        Ok(_) => {
            let name = body["name"].as_str().unwrap_or_default().to_owned();
            pending.lock().insert((team_index, name), scheduled);
            RequestOutcome::Granted(scheduled.elapsed())
        }
        Err(error) => match error.downcast_ref::<ErrorBody>() {
            Some(body) => RequestOutcome::Refused(error_code(body)),
            None => RequestOutcome::NoResponse,
        },
    };
    CompletedRequest {
        kind: "submit",
        outcome,
    }
}

/// Returns the code of a refusal as it is written in JSON.
fn error_code(body: &ErrorBody) -> String {
    let value = serde_json::to_value(body.code).unwrap_or_default();
    value.as_str().unwrap_or("unknown").to_owned()
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
