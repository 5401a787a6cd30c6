//! The state machine of the replicated log.

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
/// Two cells are equal if the log has brought them to the same state. Key withdrawals that only one
/// of the VMs knows of are not compared.
#[derive(Clone, Debug)]
pub struct Cell {
    pub(crate) state: State,
    /// All withdrawn keys that this VM knows of, from the log and from its peers.
    pub(crate) withdrawn: BTreeSet<KeyId>,
}

/// The part of the state that the log alone determines.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct State {
    pub(crate) format: u32,
    /// Index of the last applied log entry.
    pub(crate) index: u64,
    /// Cell clock, derived from the timestamps of commands; milliseconds since the Unix epoch.
    #[serde(rename = "clock")]
    pub(crate) clock_ms: i64,
    pub(crate) retention: Retention,
    pub(crate) documents: Documents,
    pub(crate) keys: Keys,
    pub(crate) members: Members,
    pub(crate) limits: Limits,
    pub(crate) jobs: Jobs,
    pub(crate) calls: Calls,
}

/// Reason why a snapshot cannot be restored.
#[derive(Debug)]
pub enum RestoreError {
    /// The bytes cannot be parsed as a snapshot.
    Malformed(serde_json::Error),
    /// The snapshot has an unsupported format version.
    Format(u32),
    /// Jobs in the snapshot refer to names that its name table lacks.
    Inconsistent,
}

impl fmt::Display for RestoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(e) => write!(f, "malformed snapshot: {e}"),
            Self::Inconsistent => write!(f, "a job in the snapshot refers to a missing name"),
            Self::Format(n) => write!(f, "unsupported snapshot format {n}, expected {FORMAT}"),
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
    /// Creates an empty cell. The retention must be the same on all VMs of the cell.
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
    /// An entry whose index has been applied before is refused and changes nothing.
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
        self.state.advance_clock(command);
        self.state
            .execute(index, command)
            .unwrap_or_else(Reply::Refused)
    }

    /// Serialises the replicated state.
    ///
    /// # Errors
    ///
    /// Returns the error of the serialiser, which does not occur for plain data.
    pub fn snapshot(&self) -> Result<Vec<u8>, serde_json::Error> {
        serde_json::to_vec(&self.state)
    }

    /// Replaces the replicated state by that of a snapshot. Keys that this VM knows to be withdrawn
    /// stay withdrawn.
    ///
    /// # Errors
    ///
    /// Returns a [`RestoreError`] and changes nothing if the snapshot is invalid.
    pub fn restore(&mut self, bytes: &[u8]) -> Result<(), RestoreError> {
        let state: State = serde_json::from_slice(bytes).map_err(RestoreError::Malformed)?;
        if state.format != FORMAT {
            return Err(RestoreError::Format(state.format));
        }
        // A job with an unresolvable name would be skipped by every view: neither run nor refused.
        if !state.jobs.names_resolve() {
            return Err(RestoreError::Inconsistent);
        }
        self.withdrawn.extend(state.keys.withdrawn());
        self.state = state;
        Ok(())
    }
}

impl State {
    /// Moves the cell clock towards the timestamp of the command, if it has one.
    fn advance_clock(&mut self, command: &Command) {
        let timestamp_ms = match command {
            Command::ApplyDocument { at_ms, .. }
            | Command::EndJob { at_ms, .. }
            | Command::Cancel { at_ms, .. }
            | Command::RecordCall { at_ms, .. } => *at_ms,
            Command::AcceptJob { job, .. } => job.accepted_ms,
            _ => return,
        };
        // The clock moves by a bounded step in either direction, so that it follows the median of
        // the proposers' clocks. One VM with a wrong clock can neither expire records early nor
        // keep them from expiring.
        let step = self.retention.step_ms.max(0);
        self.clock_ms = if self.clock_ms == 0 {
            timestamp_ms
        } else {
            timestamp_ms.clamp(
                self.clock_ms.saturating_sub(step),
                self.clock_ms.saturating_add(step),
            )
        };
    }

    fn execute(&mut self, index: u64, command: &Command) -> Result<Reply, Refusal> {
        let clock_ms = self.clock_ms;
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
            Command::JoinVm { vm } => self.members.add_vm(vm),
            Command::RemoveVm { id } => self.members.remove_vm(*id),
            Command::Workers {
                add,
                remove,
                leases,
            } => {
                if let Some(changes) = leases {
                    self.members.change_leases(changes, index)?;
                }
                self.members.update_workers(add, remove)
            }
            Command::SetOwner {
                domain,
                vm,
                from_term,
                silent,
            } => {
                let reply = self.members.set_owner(*domain, *vm, *from_term);
                if let Reply::Owner(_) = reply {
                    self.members
                        .keep_silences(*domain, silent.as_deref(), index);
                }
                reply
            }
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
                    expected_index: *from,
                    entry_index: index,
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
                    expected_index: *from,
                    entry_index: index,
                })
            }
            Command::AcceptJob { job, request, key } => self.accept_job(job, *request, *key)?,
            Command::Dispatch {
                job,
                tasks,
                domain,
                term,
            } => {
                self.members.check_term(*domain, *term)?;
                self.jobs.record_dispatch(*job, tasks, *domain, *term)?
            }
            Command::EndTasks { ends } => self.jobs.record_task_ends(ends),
            Command::EndJob {
                job,
                outcome,
                at_ms,
            } => {
                let reply = self.jobs.end_job(*job, outcome, *at_ms, clock_ms)?;
                self.jobs.expire(clock_ms, &self.retention);
                reply
            }
            Command::Cancel { team, which, .. } => self.jobs.mark_cancelled(*team, which),
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
                self.jobs.move_to_domain(*job, *from, *to)?
            }
            Command::RecordCall { team, id, hash, .. } => {
                self.limit(*team).ok_or(Refusal::UnknownTeam(*team))?;
                self.calls.expire(clock_ms, &self.retention);
                self.calls
                    .record(*team, id, *hash, clock_ms, &self.retention)
            }
            Command::FinishCall {
                team,
                id,
                status,
                body,
            } => self.calls.finish(*team, id, *status, body, &self.retention),
        })
    }

    /// Accepts a job if its key, its team and its id permit it.
    fn accept_job(
        &mut self,
        job: &Job,
        request: Digest,
        key: Option<KeyId>,
    ) -> Result<Reply, Refusal> {
        if let Some(id) = key {
            match self.keys.role(id)? {
                KeyRole::Team(team) if team == job.team => {}
                _ => return Err(Refusal::KeyRefused(id)),
            }
        }
        // A resend gets the first reply again, even if the document no longer has the team.
        if let Some(reply) = self.jobs.reply_to_resend(job.id, request) {
            return Ok(reply);
        }
        self.limit(job.team).ok_or(Refusal::UnknownTeam(job.team))?;
        Ok(self.jobs.insert_job(job, request))
    }

    /// Limit of the team in the current document.
    pub(crate) fn limit(&self, team: TeamId) -> Option<Resources> {
        let team = self.documents.current()?.team(team)?;
        Some(team.limit)
    }
}
