//! The state machine that the log is applied to.

use std::collections::BTreeSet;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use zinnia_types::Job;
use zinnia_types::Resources;
use zinnia_types::TeamId;

use crate::Command;
use crate::Digest;
use crate::KeyId;
use crate::KeyRole;
use crate::Refusal;
use crate::Reply;
use crate::Retention;
use crate::calls::Calls;
use crate::documents::Documents;
use crate::jobs::Jobs;
use crate::keys::Keys;
use crate::limits::Limits;
use crate::limits::TransferProposal;
use crate::members::Members;

/// Version of the snapshot format.
const FORMAT: u32 = 1;

/// The replicated state of a cell on one VM.
///
/// Two cells are equal when the log has put them into the same state; withdrawals that reached
/// only one of the VMs do not count.
#[derive(Clone, Debug)]
pub struct Cell {
    pub(crate) state: State,
    /// Every withdrawn key this VM has heard of: those of the log and those merged from peers.
    pub(crate) withdrawn: BTreeSet<KeyId>,
}

/// What the log determines.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct State {
    pub(crate) format: u32,
    pub(crate) index: u64,
    /// Time by the commands' timestamps, in milliseconds since the Unix epoch.
    pub(crate) clock: i64,
    pub(crate) retention: Retention,
    pub(crate) documents: Documents,
    pub(crate) keys: Keys,
    pub(crate) members: Members,
    pub(crate) limits: Limits,
    pub(crate) jobs: Jobs,
    pub(crate) calls: Calls,
}

/// Why a snapshot cannot be restored.
#[derive(Debug)]
pub enum RestoreError {
    /// The bytes are not a snapshot.
    Malformed(serde_json::Error),
    /// The snapshot has another format version.
    Format(u32),
    /// Parts of the snapshot contradict each other.
    Inconsistent,
}

impl fmt::Display for RestoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(e) => write!(f, "snapshot is malformed: {e}"),
            Self::Inconsistent => write!(f, "parts of the snapshot contradict each other"),
            Self::Format(n) => write!(f, "snapshot has format {n}, expected {FORMAT}"),
        }
    }
}

impl std::error::Error for RestoreError {}

impl Default for Cell {
    fn default() -> Self {
        Self::new(Retention::default())
    }
}

impl PartialEq for Cell {
    fn eq(&self, other: &Self) -> bool {
        self.state == other.state
    }
}

impl Cell {
    /// An empty cell with the given retention, which must be the same on each VM.
    pub fn new(retention: Retention) -> Self {
        Self {
            state: State {
                format: FORMAT,
                retention,
                ..State::default()
            },
            withdrawn: BTreeSet::new(),
        }
    }

    /// Applies the log entry at `index`.
    ///
    /// An entry at or below the last applied index changes nothing.
    ///
    /// # Examples
    ///
    /// ```
    /// use zinnia_cell::Cell;
    /// use zinnia_cell::Command;
    /// use zinnia_cell::Reply;
    ///
    /// let mut cell = Cell::default();
    /// let edit = Command::ApplyDocument {
    ///     request: "first".to_owned(),
    ///     from: 0,
    ///     document: zinnia_types::Document::default(),
    ///     at_ms: 1_764_831_600_000,
    /// };
    /// assert!(matches!(cell.apply(1, &edit), Reply::Document { repeated: false, .. }));
    /// assert!(matches!(cell.apply(2, &edit), Reply::Document { repeated: true, .. }));
    /// ```
    pub fn apply(&mut self, index: u64, command: &Command) -> Reply {
        if index <= self.state.index {
            return Reply::Refused(Refusal::AlreadyApplied);
        }
        self.state.index = index;
        if let Command::WithdrawKeys { ids } = command {
            self.withdrawn.extend(ids);
        }
        self.state.advance(command);
        self.state
            .execute(index, command)
            .unwrap_or_else(Reply::Refused)
    }

    /// The state that the log has produced.
    ///
    /// # Errors
    ///
    /// Returns the serialiser's error, which plain data never causes.
    pub fn snapshot(&self) -> Result<Vec<u8>, serde_json::Error> {
        serde_json::to_vec(&self.state)
    }

    /// Replaces the state by that of a snapshot. Keys that this VM knows as withdrawn stay so.
    ///
    /// # Errors
    ///
    /// Returns a [`RestoreError`] and changes nothing when the bytes are not a snapshot.
    pub fn restore(&mut self, bytes: &[u8]) -> Result<(), RestoreError> {
        let state: State = serde_json::from_slice(bytes).map_err(RestoreError::Malformed)?;
        if state.format != FORMAT {
            return Err(RestoreError::Format(state.format));
        }
        // A job that cannot be viewed would silently be neither run nor refused.
        if !state.jobs.consistent() {
            return Err(RestoreError::Inconsistent);
        }
        self.withdrawn.extend(state.keys.withdrawn());
        self.state = state;
        Ok(())
    }
}

impl State {
    /// Moves the clock and forgets what is too old.
    fn advance(&mut self, command: &Command) {
        let at = match command {
            Command::ApplyDocument { at_ms, .. }
            | Command::EndJob { at_ms, .. }
            | Command::Cancel { at_ms, .. }
            | Command::RecordCall { at_ms, .. } => *at_ms,
            Command::AcceptJob { job, .. } => job.accepted_ms,
            _ => return,
        };
        // Bounded steps in both directions make the clock follow the median of the proposers'
        // clocks: one VM with a wrong clock neither makes the cell forget what it must keep nor
        // stops it from forgetting.
        let step = self.retention.step_ms.max(0);
        self.clock = if self.clock == 0 {
            at
        } else {
            at.clamp(
                self.clock.saturating_sub(step),
                self.clock.saturating_add(step),
            )
        };
    }

    fn execute(&mut self, index: u64, command: &Command) -> Result<Reply, Refusal> {
        let clock = self.clock;
        Ok(match command {
            Command::ApplyDocument {
                request,
                from,
                document,
                at_ms,
            } => self
                .documents
                .apply(request, *from, document, *at_ms, &self.retention),
            Command::GrantKey { id, hash, role, .. } => self.keys.grant(*id, *hash, *role),
            Command::WithdrawKeys { ids } => self.keys.withdraw(ids),
            Command::JoinVm { vm } => self.members.join(vm),
            Command::RemoveVm { id } => self.members.remove(*id),
            Command::Workers { add, remove } => self.members.roster(add, remove),
            Command::SetOwner {
                domain,
                vm,
                from_term,
            } => self.members.set_owner(*domain, *vm, *from_term),
            Command::Take {
                domain,
                team,
                amount,
                term,
                from,
            } => {
                self.members.check_term(*domain, *term)?;
                let limit = self.limit(*team).ok_or(Refusal::UnknownTeam(*team))?;
                let transfer = TransferProposal {
                    domain: *domain,
                    team: *team,
                    amount: *amount,
                    from: *from,
                    index,
                };
                self.limits.take(&transfer, limit)
            }
            Command::Give {
                domain,
                team,
                amount,
                term,
                from,
            } => {
                self.members.check_term(*domain, *term)?;
                self.limits.give(&TransferProposal {
                    domain: *domain,
                    team: *team,
                    amount: *amount,
                    from: *from,
                    index,
                })
            }
            Command::AcceptJob { job, request, key } => self.accept(job, *request, *key)?,
            Command::Dispatch {
                job,
                tasks,
                domain,
                term,
            } => {
                self.members.check_term(*domain, *term)?;
                self.jobs.dispatch(*job, tasks, *domain, *term)?
            }
            Command::EndTasks { ends } => self.jobs.end_tasks(ends),
            Command::EndJob {
                job,
                outcome,
                at_ms,
            } => {
                let reply = self.jobs.end(*job, outcome, *at_ms, clock)?;
                self.jobs.forget(clock, &self.retention);
                reply
            }
            Command::Cancel { team, which, .. } => self.jobs.cancel(*team, which),
            Command::Rehome {
                job,
                from,
                to,
                term,
            } => {
                self.members.check_term(*from, *term)?;
                if self.members.owner(*to).is_none() {
                    return Err(Refusal::UnknownDomain(*to));
                }
                self.jobs.rehome(*job, *from, *to)?
            }
            Command::RecordCall { team, id, hash, .. } => {
                self.limit(*team).ok_or(Refusal::UnknownTeam(*team))?;
                self.calls.forget(clock, &self.retention);
                self.calls.record(*team, id, *hash, clock, &self.retention)
            }
            Command::FinishCall {
                team,
                id,
                status,
                body,
            } => self.calls.finish(*team, id, *status, body, &self.retention),
        })
    }

    fn accept(&mut self, job: &Job, request: Digest, key: Option<KeyId>) -> Result<Reply, Refusal> {
        if let Some(id) = key {
            match self.keys.role(id)? {
                KeyRole::Team(team) if team == job.team => {}
                _ => return Err(Refusal::KeyRefused(id)),
            }
        }
        // A resend gets its first answer even if the team has left the document since.
        if let Some(reply) = self.jobs.accepted(job.id, request) {
            return Ok(reply);
        }
        self.limit(job.team).ok_or(Refusal::UnknownTeam(job.team))?;
        Ok(self.jobs.accept(job, request))
    }

    /// Limit of the team in the document in force.
    pub(crate) fn limit(&self, team: TeamId) -> Option<Resources> {
        let team = self.documents.current()?.team(team)?;
        Some(team.limit)
    }
}
