//! Handles requests on the leader.

use std::time::Duration;

use zinnia_plan::Job;
use zinnia_plan::Record;
use zinnia_plan::Reply;
use zinnia_replica::ProposalOutcome;
use zinnia_replica::clock;
use zinnia_types::JobId;

use crate::Answer;
use crate::CallerAction;
use crate::CallerRequest;
use crate::Request;
use crate::engine::Engine;
use crate::leader::propose;

/// Timeout of a proposal for a request.
const COMMIT: Duration = Duration::from_millis(2_000);
/// Retry delay for callers while the request cannot be handled.
const BUSY_MS: u64 = 1_000;

/// How to handle a caller's request under the current document.
enum Meaning {
    Answer(Answer),
    Record(Record),
}

impl Engine {
    /// Handles a request, or names the leader if this process is not the leader.
    pub(crate) async fn serve(&self, request: Request) -> Answer {
        if !self.is_leader() {
            return Answer::Elsewhere(self.leader().map(|(peer, _)| peer));
        }
        match request {
            Request::Caller(ask) => {
                if ask.action == CallerAction::Get {
                    self.until_ended(&ask).await;
                }
                match self.meaning(ask) {
                    Meaning::Answer(answer) => self.if_leading(answer),
                    Meaning::Record(record) => self.commit(vec![record]).await,
                }
            }
            Request::Publish { raw, document } => {
                if let Some(fault) = document.find_error() {
                    return Answer::Invalid(fault.to_string());
                }
                tracing::info!(
                    event = "document",
                    version = document.version,
                    held = self.core().state.document.version,
                    "document received"
                );
                self.commit(vec![Record::Document { raw, document }]).await
            }
            Request::Read => {
                let raw = self.core().state.raw.clone();
                let answer = if raw.is_empty() {
                    Answer::Busy(BUSY_MS)
                } else {
                    Answer::Document(raw)
                };
                self.if_leading(answer)
            }
            Request::Heartbeat(heartbeat) => {
                let records = {
                    let mut core = self.core();
                    let core = &mut *core;
                    let Some(leader) = core.leader.as_mut() else {
                        return Answer::Busy(BUSY_MS);
                    };
                    leader.heartbeat(&core.state, &heartbeat, clock::now())
                };
                self.kick.notify_one();
                if records.is_empty() {
                    return Answer::Done;
                }
                tracing::info!(
                    event = "worker",
                    worker = heartbeat.incarnation.worker,
                    born = heartbeat.incarnation.born,
                    pool = heartbeat.incarnation.pool,
                    draining = heartbeat.draining,
                    "worker announced a change"
                );
                self.commit(records).await
            }
            Request::Leave { worker, born } => {
                let known = self
                    .core()
                    .state
                    .workers
                    .get(&worker)
                    .map(|w| w.incarnation.born);
                let Some(known) = known.filter(|k| born.is_none_or(|b| b == *k)) else {
                    return Answer::Done;
                };
                tracing::info!(event = "worker", worker, born = known, "worker left");
                let left = Record::Left {
                    worker,
                    born: known,
                };
                self.commit(vec![left]).await
            }
        }
    }

    /// Delays the read of a job that may end soon until it ends. Callers poll at the time when they
    /// expect the end; without the delay they would learn of an end shortly after a read only with
    /// the next one.
    async fn until_ended(&self, ask: &CallerRequest) {
        let Some(id) = ask.path.rsplit('/').next().and_then(job_id) else {
            return;
        };
        let closing = || self.core().state.jobs.get(&id).is_some_and(Job::is_closing);
        // Requests without access to the job must be answered at once, since the delay would reveal
        // its state.
        let allowed = |meaning| matches!(meaning, Meaning::Answer(Answer::Job { .. }));
        if !closing() || !allowed(self.meaning(ask.clone())) {
            return;
        }
        let limit = Duration::from_millis(self.settings.read_wait_ms);
        let deadline = tokio::time::Instant::now() + limit;
        loop {
            let progress = self.progress.notified();
            tokio::pin!(progress);
            // Registered before the check, so that a change between the check and the wait is not
            // missed.
            progress.as_mut().enable();
            if !closing() || tokio::time::timeout_at(deadline, progress).await.is_err() {
                return;
            }
        }
    }

    /// Passes on the answer to a read if this process is still the leader.
    fn if_leading(&self, answer: Answer) -> Answer {
        if self.is_leader() {
            answer
        } else {
            Answer::Elsewhere(None)
        }
    }

    fn meaning(&self, ask: CallerRequest) -> Meaning {
        let core = self.core();
        let state = &core.state;
        let document = &state.document;
        if document.version == 0 {
            return Meaning::Answer(Answer::Busy(BUSY_MS));
        }
        let Some(queue) = document.route(&ask.host, &ask.path) else {
            return Meaning::Answer(Answer::NoQueue);
        };
        let team = ask.key.as_deref().and_then(|k| document.team_of(k));
        if team.is_none() && !queue.public {
            return Meaning::Answer(Answer::NoKey);
        }
        let team = team.map(|t| t.name.clone()).unwrap_or_default();
        let rest = ask.path.strip_prefix(&queue.prefix).unwrap_or_default();
        if rest.is_empty() && ask.action == CallerAction::Get {
            return Meaning::Answer(Answer::Pending(state.pending(&queue.name)));
        }
        let Some(id) = job_id(rest) else {
            return Meaning::Answer(Answer::NoQueue);
        };
        match ask.action {
            CallerAction::Submit(Ok(spec)) => match spec.find_error() {
                Some(why) => Meaning::Answer(Answer::Invalid(why)),
                None => Meaning::Record(Record::Submit {
                    id,
                    queue: queue.name.clone(),
                    team,
                    spec,
                }),
            },
            CallerAction::Submit(Err(why)) => Meaning::Answer(Answer::Invalid(why)),
            CallerAction::Cancel if !state.jobs.contains_key(&id) => Meaning::Answer(Answer::Gone),
            CallerAction::Cancel => Meaning::Record(Record::Cancel(id)),
            CallerAction::Get => Meaning::Answer(match state.jobs.get(&id) {
                Some(job) => Answer::Job {
                    status: job.status,
                    begun: job.begun,
                },
                None => Answer::Gone,
            }),
        }
    }

    /// Proposes the records and returns the answer for the first one.
    async fn commit(&self, records: Vec<Record>) -> Answer {
        let id = match records.first() {
            Some(Record::Submit {
                id, queue, team, ..
            }) => Some(("submit", *id, queue.clone(), team.clone())),
            Some(Record::Cancel(id)) => Some(("cancel", *id, String::new(), String::new())),
            _ => None,
        };
        let verdict = propose(self, records, COMMIT).await;
        let answer = match verdict {
            Some(ProposalOutcome::Applied { reply, .. }) => {
                match reply.and_then(|r| r.into_iter().next()) {
                    Some(Reply::Conflict) => Answer::Conflict,
                    Some(Reply::Unknown) => Answer::Gone,
                    Some(_) => Answer::Done,
                    None => Answer::Unknown,
                }
            }
            Some(ProposalOutcome::Rejected { reason: why, .. }) => {
                tracing::info!(event = "refuse", ?why, "the log refused an entry");
                Answer::Elsewhere(None)
            }
            None => Answer::Unknown,
        };
        if let Some((event, id, queue, team)) = id {
            tracing::info!(event, job = %id, queue, team, answer = ?answer, "job request decided");
        }
        answer
    }
}

/// Parses the job id that follows a queue's prefix: 16 hexadecimal digits in lower case.
fn job_id(text: &str) -> Option<JobId> {
    let id: JobId = text.parse().ok()?;
    (id.to_string() == text).then_some(id)
}
