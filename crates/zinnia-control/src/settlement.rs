//! Definite answers to submissions whose attempts had no answer.
//!
//! An attempt without an answer may have been carried out, or may still be. Once the deadline of all attempts has
//! passed, the leader can tell: none of them is carried out any more, and what was accepted is in the state or among
//! the submissions that are proposed and have no outcome yet.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use tokio::time::Instant;
use tokio::time::sleep;
use zinnia_plan::Status;
use zinnia_replica::clock;
use zinnia_types::JobId;
use zinnia_types::Time;

use crate::Answer;
use crate::CallerRequest;
use crate::Gateway;
use crate::Request;
use crate::context::MemberContext;
use crate::gateway::RETRY_DELAY;
use crate::requests::job_id;

/// Part of a request's time in which its outcome is asked for.
pub(crate) const SETTLE_TIME: Duration = Duration::from_millis(250);
/// Timeout of one question for an outcome.
const QUESTION_TIMEOUT: Duration = Duration::from_millis(200);
/// How long an id that was answered as not accepted is refused. The attempts of another process for the same id
/// have passed their deadlines by then.
const REFUSAL_MS: u64 = 2_000;

/// Ids that the leader has answered as not accepted.
///
/// They are not replicated: deadlines count on the clock of one leader, so the next one carries out none of the
/// attempts of this one's term.
#[derive(Debug, Default)]
pub(crate) struct RejectedIds {
    until: BTreeMap<JobId, Time>,
}

impl RejectedIds {
    /// Time in milliseconds for which submissions of the id are still refused, if they are.
    pub(crate) fn refusal_ms(&self, id: JobId, now: Time) -> Option<u64> {
        let until = *self.until.get(&id)?;
        (now < until).then(|| until.since(now))
    }

    fn insert(&mut self, id: JobId, now: Time) {
        self.until.retain(|_, until| now < *until);
        self.until.insert(id, now.after(REFUSAL_MS));
    }
}

/// A proposed submission: the job, and a number that no other submission has.
type OpenSubmit = (JobId, u64);

/// Submissions that were proposed in this term and have no outcome yet. Several may be of the same job.
#[derive(Debug, Default)]
pub(crate) struct OpenSubmits {
    open: BTreeSet<OpenSubmit>,
    last: u64,
}

impl OpenSubmits {
    /// Adds a submission of the job.
    pub(crate) fn insert(&mut self, id: JobId) -> OpenSubmit {
        self.last += 1;
        self.open.insert((id, self.last));
        (id, self.last)
    }

    /// Removes a submission, which has an outcome.
    pub(crate) fn remove(&mut self, submit: OpenSubmit) {
        self.open.remove(&submit);
    }

    /// Whether a submission of the job has no outcome yet.
    pub(crate) fn contains(&self, id: JobId) -> bool {
        self.open.range((id, 0)..=(id, u64::MAX)).next().is_some()
    }

    /// Removes all submissions, at the end of a term.
    pub(crate) fn clear(&mut self) {
        self.open.clear();
    }
}

impl MemberContext {
    /// Answers what has become of a submission whose deadline has passed. [`Answer::Busy`] means that it was not
    /// accepted and never will be.
    pub(crate) fn settle(&self, request: &CallerRequest) -> Answer {
        let Some(now) = self.leader_time() else {
            return Answer::Elsewhere(None);
        };
        let is_over = request.deadline.is_some_and(|d| !d.allows(now));
        let id = request.path.rsplit('/').next().and_then(job_id);
        let Some(id) = id.filter(|_| is_over && self.settings.plan.load.bounded) else {
            return Answer::Unknown;
        };
        let mut cell = self.cell_state();
        let document = &cell.state.document;
        let queue = document.route(&request.host, &request.path);
        let team = request.key.as_deref().and_then(|k| document.team_of(k));
        let team = team.map(|t| t.name.as_str()).unwrap_or_default();
        let answer = match cell.state.jobs.get(&id) {
            Some(job) => {
                let is_same = queue.is_some_and(|q| job.is_of(q)) && job.team == team;
                match is_same && job.status != Status::Cancelled {
                    true => Answer::Done,
                    false => Answer::Unknown,
                }
            }
            None if cell.open_submits.contains(id) || cell.state.is_cancelled(id) => {
                Answer::Unknown
            }
            None => Answer::Busy(REFUSAL_MS),
        };
        if matches!(answer, Answer::Busy(_)) {
            cell.rejected.insert(id, now.at);
        }
        drop(cell);
        // The state is that of the leader only if this process still leads after it was read.
        if !self.is_leader() {
            return Answer::Elsewhere(None);
        }
        metrics::counter!("zinnia_outcome_questions_total", "certain" => (answer != Answer::Unknown).to_string())
            .increment(1);
        answer
    }
}

impl Gateway {
    /// Asks the leader what has become of a submission whose attempts may have been carried out. None of them is
    /// any more once `given_up_at` has passed on the clock of this process.
    pub(crate) async fn settle(
        &self,
        request: CallerRequest,
        given_up_at: Time,
        deadline: Instant,
    ) -> Answer {
        let question = Request::Settle(request);
        while Instant::now() + RETRY_DELAY < deadline {
            if clock::now() <= given_up_at {
                sleep(RETRY_DELAY).await;
                continue;
            }
            let answer = match self.context.as_ref().filter(|c| c.is_leader()) {
                Some(context) => context.handle(question.clone()).await,
                None => self.ask_leader(&question, deadline).await,
            };
            if matches!(answer, Answer::Done | Answer::Busy(_)) {
                return answer;
            }
            sleep(RETRY_DELAY).await;
        }
        Answer::Unknown
    }

    async fn ask_leader(&self, question: &Request, deadline: Instant) -> Answer {
        let left = deadline.saturating_duration_since(Instant::now());
        let Some(addr) = self.next_target() else {
            return Answer::Unknown;
        };
        let limit = left.min(QUESTION_TIMEOUT);
        let answer = self
            .links
            .call_with_timeout::<_, Answer>(&addr, "ask", question, limit);
        answer.await.unwrap_or(Answer::Unknown)
    }
}
