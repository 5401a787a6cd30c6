//! Handles requests on the leader.

use std::time::Duration;

use zinnia_plan::Backlog;
use zinnia_plan::Document;
use zinnia_plan::Heartbeat;
use zinnia_plan::Job;
use zinnia_plan::JobSpec;
use zinnia_plan::Leader;
use zinnia_plan::Load;
use zinnia_plan::Queue;
use zinnia_plan::Record;
use zinnia_plan::Refusal;
use zinnia_plan::Reply;
use zinnia_plan::intake_refusal;
use zinnia_plan::refuse_job;
use zinnia_raft::RejectReason;
use zinnia_replica::ProposalOutcome;
use zinnia_replica::clock;
use zinnia_types::JobId;

use crate::Answer;
use crate::CallerAction;
use crate::CallerRequest;
use crate::LeaderTime;
use crate::Request;
use crate::context::CellState;
use crate::context::MemberContext;
use crate::leader::propose_until;
use crate::leader_memory::has_no_room;

/// Timeout of a proposal for a request.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Retry delay for callers while the request cannot be handled.
const RETRY_AFTER_MS: u64 = 1_000;

/// How long the answer to a deregistration waits for the runs of the worker to end. Workers try another
/// process after a second.
const DEREGISTER_WAIT: Duration = Duration::from_millis(700);

/// Why a request is refused that the log cannot hold.
const TOO_LARGE: &str = "the request exceeds the size limit of the log";

/// How to handle a caller's request under the current document.
enum Decision {
    Answer(Answer),
    Record(Record),
}

impl MemberContext {
    /// Handles a request, or names the leader if this process is not the leader.
    pub(crate) async fn handle(&self, request: Request) -> Answer {
        if !self.is_leader() {
            return Answer::Elsewhere(self.leader().map(|(peer, _)| peer));
        }
        match request {
            Request::Caller(request) => self.handle_caller(request).await,
            Request::Settle(request) => self.settle(&request),
            Request::Publish { raw, document } => self.publish(raw, document).await,
            Request::Read => self.read_document(),
            Request::Heartbeat(heartbeat) => self.heartbeat(&heartbeat).await,
            Request::Evacuate(request) => self.evacuate(request).await,
            Request::Leave { worker, born } => self.deregister(worker, born).await,
        }
    }

    async fn handle_caller(&self, request: CallerRequest) -> Answer {
        if request.action == CallerAction::Get {
            self.wait_for_end(&request).await;
        } else if let Err(answer) = self.check_deadline(request.deadline, &request.path) {
            return answer;
        }
        let deadline = request.deadline;
        match self.decide(request) {
            Decision::Answer(answer) => self.confirm_leader(answer),
            Decision::Record(record) => self.commit_until(vec![record], deadline).await,
        }
    }

    /// Checks whether a request with this deadline may still be carried out; returns the answer if not. `what`
    /// is what the request is about.
    pub(crate) fn check_deadline(
        &self,
        deadline: Option<LeaderTime>,
        what: &str,
    ) -> Result<(), Answer> {
        let Some(deadline) = deadline else {
            return Ok(());
        };
        let Some(now) = self.leader_time() else {
            return Err(Answer::Elsewhere(None));
        };
        if deadline.allows(now) {
            return Ok(());
        }
        report_late(what, deadline, now);
        Err(Answer::Expired(now))
    }

    async fn publish(&self, raw: String, document: Document) -> Answer {
        if let Some(error) = document.find_error() {
            return Answer::Invalid(error.to_string());
        }
        let held = self.cell_state().state.document.version;
        tracing::info!(
            event = "document",
            version = document.version,
            held,
            "document received"
        );
        if held >= document.version {
            return self.confirm_leader(Answer::Done);
        }
        self.commit(vec![Record::Document { raw, document }]).await
    }

    fn read_document(&self) -> Answer {
        let raw = self.cell_state().state.raw.clone();
        let answer = match raw.is_empty() {
            true => Answer::Busy(RETRY_AFTER_MS),
            false => Answer::Document(raw),
        };
        self.confirm_leader(answer)
    }

    async fn heartbeat(&self, heartbeat: &Heartbeat) -> Answer {
        let records = {
            let mut cell = self.cell_state();
            let cell = &mut *cell;
            let Some(leader) = cell.leader.as_mut() else {
                return Answer::Busy(RETRY_AFTER_MS);
            };
            if !cell.state.may_register(&heartbeat.incarnation) {
                metrics::counter!("zinnia_unnamed_pool_heartbeats_total").increment(1);
            }
            leader.heartbeat(&cell.state, heartbeat, clock::now())
        };
        if records.is_empty() {
            return Answer::Done;
        }
        tracing::info!(
            event = "worker",
            worker = heartbeat.incarnation.worker,
            born = heartbeat.incarnation.born,
            pool = heartbeat.incarnation.pool,
            draining = heartbeat.draining,
            cpu = heartbeat.incarnation.resources.cpu,
            "worker is new, starts to drain or has another capacity"
        );
        self.commit(records).await
    }

    /// Handles the deregistration of a worker's incarnation; without `born`, of the current one.
    ///
    /// The worker ends when it is acknowledged. The answer waits for its runs to end, so that their ends and
    /// checkpoints are known and their tasks can start elsewhere at once. A worker that asks again is
    /// acknowledged with runs, too, since it may have stopped to serve; its runs then wait for the leases.
    async fn deregister(&self, worker: String, born: Option<i64>) -> Answer {
        let (born, is_recorded) = {
            let cell = self.cell_state();
            let Some(current) = cell.state.deregistering(&worker, born) else {
                tracing::info!(
                    event = "deregister",
                    worker,
                    born,
                    "deregistration is outdated"
                );
                return Answer::Done;
            };
            let runs = current.runs.len();
            let born = current.incarnation.born;
            tracing::info!(
                event = "deregister",
                worker,
                born,
                runs,
                "worker shuts down"
            );
            (born, current.left)
        };
        if !is_recorded {
            let record = Record::Deregister {
                worker: worker.clone(),
                born,
            };
            let answer = self.commit(vec![record]).await;
            if answer != Answer::Done {
                return answer;
            }
        }
        let runs = self.wait_for_last_run(&worker, born).await;
        let answer = match runs == 0 || is_recorded {
            true => Answer::Done,
            false => Answer::Busy(RETRY_AFTER_MS),
        };
        tracing::info!(event = "deregister", worker, born, runs, answer = ?answer, "deregistration answered");
        self.confirm_leader(answer)
    }

    /// Waits until a deregistered incarnation has no runs. Returns their number after the wait.
    async fn wait_for_last_run(&self, worker: &str, born: i64) -> usize {
        let runs_left = || {
            let cell = self.cell_state();
            cell.state
                .runs_after_deregistration(worker, born)
                .unwrap_or(0)
        };
        self.wait_for_progress(DEREGISTER_WAIT, || runs_left() == 0)
            .await;
        runs_left()
    }

    /// Delays the read of a job that may end soon until it ends. Callers poll at the time when they
    /// expect the end; without the delay they would learn of an end shortly after a read only with
    /// the next one.
    async fn wait_for_end(&self, request: &CallerRequest) {
        let Some(id) = request.path.rsplit('/').next().and_then(job_id) else {
            return;
        };
        let may_end = || {
            self.cell_state()
                .state
                .jobs
                .get(&id)
                .is_some_and(Job::may_end_soon)
        };
        // Requests without access to the job must be answered at once, since the delay would reveal
        // its state.
        let allowed = |decision| matches!(decision, Decision::Answer(Answer::Job { .. }));
        if !may_end() || !allowed(self.decide(request.clone())) {
            return;
        }
        let limit = Duration::from_millis(self.settings.read_wait_ms);
        self.wait_for_progress(limit, || !may_end()).await;
    }

    /// Waits until `is_reached` holds in the state, or for `limit`.
    async fn wait_for_progress(&self, limit: Duration, is_reached: impl Fn() -> bool) {
        let deadline = tokio::time::Instant::now() + limit;
        loop {
            let job_progress = self.job_progress.notified();
            tokio::pin!(job_progress);
            // Registered before the check, so that a change between the check and the wait is not
            // missed.
            job_progress.as_mut().enable();
            if is_reached()
                || tokio::time::timeout_at(deadline, job_progress)
                    .await
                    .is_err()
            {
                return;
            }
        }
    }

    /// Passes on the answer to a read if this process is still the leader.
    pub(crate) fn confirm_leader(&self, answer: Answer) -> Answer {
        if self.is_leader() {
            answer
        } else {
            Answer::Elsewhere(None)
        }
    }

    fn decide(&self, request: CallerRequest) -> Decision {
        let cell = self.cell_state();
        let state = &cell.state;
        let document = &state.document;
        if document.version == 0 {
            return Decision::Answer(Answer::Busy(RETRY_AFTER_MS));
        }
        let Some(queue) = document.route(&request.host, &request.path) else {
            return Decision::Answer(Answer::NoQueue);
        };
        let team = request.key.as_deref().and_then(|k| document.team_of(k));
        if team.is_none() && !queue.public {
            return Decision::Answer(Answer::NoKey);
        }
        let team = team.map(|t| t.name.clone()).unwrap_or_default();
        let rest = request.path.strip_prefix(&queue.prefix).unwrap_or_default();
        if rest.is_empty() && request.action == CallerAction::Get {
            let answer = cell
                .leader
                .as_ref()
                .map_or(Answer::Busy(RETRY_AFTER_MS), |leader| {
                    Answer::Pending(leader.pending(state, queue))
                });
            return Decision::Answer(answer);
        }
        let Some(id) = job_id(rest) else {
            return Decision::Answer(Answer::NoQueue);
        };
        match request.action {
            CallerAction::Submit(Ok(spec)) => {
                if let Some(why) = spec.find_error() {
                    return Decision::Answer(Answer::Invalid(why));
                }
                if let Some(ms) = cell.rejected.refusal_ms(id, clock::now()) {
                    return Decision::Answer(Answer::Busy(ms));
                }
                if !state.jobs.contains_key(&id) && state.is_cancelled(id) {
                    return Decision::Answer(Answer::Cancelled);
                }
                // A repeated request for a job that is or may become accepted is never refused.
                let is_new = !state.jobs.contains_key(&id) && !cell.open_submits.contains(id);
                if is_new && has_no_room(state, &spec, self.settings.max_open_tasks) {
                    metrics::counter!("zinnia_refusals_total", "reason" => "too_many_tasks")
                        .increment(1);
                    return Decision::Answer(Answer::Busy(RETRY_AFTER_MS));
                }
                if is_new && let Some(refusal) = self.refuse(&cell, queue, &team, &spec) {
                    log_refusal(id, &queue.name, &team, refusal);
                    return Decision::Answer(Answer::Busy(refusal.retry_after_ms));
                }
                Decision::Record(Record::Submit {
                    id,
                    queue: queue.name.clone(),
                    route: Some(queue.route()),
                    team,
                    spec,
                })
            }
            CallerAction::Submit(Err(why)) => Decision::Answer(Answer::Invalid(why)),
            CallerAction::Cancel | CallerAction::Get
                if is_foreign(state.jobs.get(&id), |job| {
                    state.may_access(job, queue, &team)
                }) =>
            {
                metrics::counter!("zinnia_foreign_requests_total").increment(1);
                tracing::info!(
                    event = "foreign", job = %id, queue = queue.name, team,
                    "the job belongs to another queue or team; it is not shown"
                );
                Decision::Answer(Answer::Gone)
            }
            CallerAction::Cancel => Decision::Record(Record::Cancel(id)),
            CallerAction::Get => Decision::Answer(match state.jobs.get(&id) {
                Some(job) => Answer::Job {
                    status: job.status,
                    begun: job.begun,
                },
                None => Answer::Gone,
            }),
        }
    }

    /// Returns why a new job is refused, if it is.
    fn refuse(
        &self,
        cell: &CellState,
        queue: &Queue,
        team: &str,
        spec: &JobSpec,
    ) -> Option<Refusal> {
        let document = &cell.state.document;
        let is_bounded = self.settings.plan.load.bounded;
        if is_bounded && let Some(ms) = self.intake().refuse(document, team, spec, clock::now()) {
            return Some(intake_refusal(&self.settings.admission, ms));
        }
        let none = Backlog::default();
        let backlog = cell.leader.as_ref().map_or(&none, Leader::backlog);
        let load = Load {
            live_jobs: cell.state.live.len(),
            backlog,
        };
        let refusal = refuse_job(&self.settings.admission, load, document, queue, team, spec);
        if is_bounded && refusal.is_some() {
            self.intake().give_back(team, spec);
        }
        refusal
    }

    /// Proposes the records and returns the answer for the first one.
    pub(crate) async fn commit(&self, records: Vec<Record>) -> Answer {
        self.commit_until(records, None).await
    }

    /// Proposes the records, unless the deadline has passed then, and returns the answer for the first one.
    async fn commit_until(&self, records: Vec<Record>, deadline: Option<LeaderTime>) -> Answer {
        let id = match records.first() {
            Some(Record::Submit {
                id, queue, team, ..
            }) => Some(("submit", *id, queue.clone(), team.clone())),
            Some(Record::Cancel(id)) => Some(("cancel", *id, String::new(), String::new())),
            _ => None,
        };
        let submitted = match records.first() {
            Some(Record::Submit { id, .. }) => Some(*id),
            _ => None,
        };
        let open_submit = submitted.map(|id| self.cell_state().open_submits.insert(id));
        let is_bounded = self.settings.plan.load.bounded;
        let verdict = propose_until(self, records, deadline, COMMIT_TIMEOUT).await;
        if let Some(key) = open_submit.filter(|_| verdict.is_some()) {
            self.cell_state().open_submits.remove(key);
        }
        let answer = match verdict {
            Some(ProposalOutcome::Applied { reply, .. }) => {
                match reply.and_then(|r| r.into_iter().next()) {
                    Some(Reply::Conflict) => Answer::Conflict,
                    Some(Reply::Unknown) => Answer::Gone,
                    Some(Reply::Cancelled) => Answer::Cancelled,
                    Some(Reply::Busy { retry_after_ms }) => Answer::Busy(retry_after_ms),
                    Some(Reply::NoQueue) => Answer::NoQueue,
                    Some(_) => Answer::Done,
                    None => Answer::Unknown,
                }
            }
            Some(ProposalOutcome::Rejected { reason: why, .. }) => {
                tracing::info!(event = "refuse", ?why, "the log rejected a proposal");
                match why {
                    // No member accepts it at any time.
                    RejectReason::TooLarge => Answer::Invalid(TOO_LARGE.to_owned()),
                    // It waited for the log until its deadline.
                    RejectReason::Busy if deadline.is_some() && is_bounded => {
                        let now = self.leader_time();
                        now.map_or(Answer::Elsewhere(None), Answer::Expired)
                    }
                    _ => Answer::Elsewhere(None),
                }
            }
            None => Answer::Unknown,
        };
        if let Some((event, id, queue, team)) = id {
            tracing::info!(event, job = %id, queue, team, answer = ?answer, "job request answered");
        }
        answer
    }
}

/// Whether a job exists to which the caller has no access.
fn is_foreign(job: Option<&Job>, may_access: impl Fn(&Job) -> bool) -> bool {
    job.is_some_and(|job| !may_access(job))
}

/// Reports a request that arrived late. One with a deadline on the clock of another leader may be in time.
fn report_late(path: &str, deadline: LeaderTime, now: LeaderTime) {
    if deadline.term != now.term {
        return;
    }
    metrics::counter!("zinnia_late_requests_total").increment(1);
    tracing::info!(
        event = "late",
        path,
        late_ms = now.at.since(deadline.at),
        "request arrived after its deadline; it was not carried out"
    );
}

fn log_refusal(id: JobId, queue: &str, team: &str, refusal: Refusal) {
    let reason = refusal.reason.name();
    metrics::counter!("zinnia_refusals_total", "reason" => reason).increment(1);
    tracing::info!(
        event = "refuse", job = %id, queue, team, reason,
        retry_ms = refusal.retry_after_ms, "job refused; it was not accepted"
    );
}

/// Parses the job id that follows a queue's prefix: 16 hexadecimal digits in lower case.
pub(crate) fn job_id(text: &str) -> Option<JobId> {
    let id: JobId = text.parse().ok()?;
    (id.to_string() == text).then_some(id)
}
