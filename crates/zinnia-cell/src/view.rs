//! Read access to the cell, and the local set of withdrawn keys.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use zinnia_types::Document;
use zinnia_types::DomainId;
use zinnia_types::JobId;
use zinnia_types::Resources;
use zinnia_types::TeamId;
use zinnia_types::VmId;
use zinnia_types::WorkerId;
use zinnia_types::worker::WorkerProfile;

use crate::Allotment;
use crate::CallState;
use crate::Cell;
use crate::DocumentVersion;
use crate::EndedJob;
use crate::JobState;
use crate::KeyError;
use crate::KeyGrant;
use crate::KeyId;
use crate::LiveJob;
use crate::Owner;
use crate::Retention;
use crate::Silence;
use crate::VersionStamp;
use crate::Vm;
use crate::WithdrawnDigest;
use crate::keys::parse_key_id;

impl Cell {
    /// Index of the last applied log entry.
    pub fn index(&self) -> u64 {
        self.state.index
    }

    /// Cell clock, derived from the timestamps of commands; milliseconds since the Unix epoch.
    pub fn clock_ms(&self) -> i64 {
        self.state.clock_ms
    }

    /// Bounds on retained records.
    pub fn retention(&self) -> &Retention {
        &self.state.retention
    }

    /// The document in force and its version stamp.
    pub fn document(&self) -> Option<(&VersionStamp, &Document)> {
        let documents = &self.state.documents;
        documents.stamp().zip(documents.current())
    }

    /// Document versions whose content is retained, newest first.
    pub fn history(&self) -> impl Iterator<Item = DocumentVersion> {
        self.state.documents.history()
    }

    /// Checks a key text of the form `zk_<id>_<secret>`.
    ///
    /// # Errors
    ///
    /// Returns a [`KeyError`] if the key is malformed, unknown or withdrawn.
    pub fn check_key(&self, key: &str) -> Result<KeyGrant, KeyError> {
        let id = parse_key_id(key)?;
        let checked = self.state.keys.check(id, key);
        if self.withdrawn.contains(&id) {
            return Err(KeyError::Withdrawn);
        }
        checked
    }

    /// All granted keys by id, and whether each is withdrawn.
    pub fn keys(&self) -> impl Iterator<Item = (KeyGrant, bool)> {
        let grants = self.state.keys.grants();
        grants.map(|grant| (grant, self.withdrawn.contains(&grant.id)))
    }

    /// Adds ids to the set of withdrawn keys of this VM and returns those that are new to it.
    ///
    /// The change is local, so it needs no quorum. The leader proposes ids that are missing from
    /// the log.
    pub fn withdraw_locally(&mut self, ids: &[KeyId]) -> Vec<KeyId> {
        let new_ids = ids.iter().filter(|&&id| self.withdrawn.insert(id));
        new_ids.copied().collect()
    }

    /// All withdrawn keys that this VM knows of.
    pub fn withdrawn_keys(&self) -> &BTreeSet<KeyId> {
        &self.withdrawn
    }

    /// Size and hash of the set of withdrawn keys of this VM.
    pub fn withdrawn_digest(&self) -> WithdrawnDigest {
        WithdrawnDigest::of(&self.withdrawn)
    }

    /// Withdrawn keys that this VM knows of but the log does not record yet.
    pub fn unlogged_withdrawals(&self) -> impl Iterator<Item = KeyId> {
        let logged = self.state.keys.withdrawn();
        self.withdrawn.difference(logged).copied()
    }

    /// The acting owner of a domain.
    pub fn owner(&self, domain: DomainId) -> Option<Owner> {
        self.state.members.owner(domain)
    }

    /// Acting owners of all domains that ever had one.
    pub fn owners(&self) -> impl Iterator<Item = (DomainId, Owner)> {
        self.state.members.owners()
    }

    /// All VMs of the cell, sorted by id.
    pub fn vms(&self) -> impl Iterator<Item = &Vm> {
        self.state.members.vms.values()
    }

    /// The VM with this id.
    pub fn vm(&self, id: VmId) -> Option<&Vm> {
        self.state.members.vms.get(&id)
    }

    /// Registered workers of a domain, sorted by id.
    pub fn workers(&self, domain: DomainId) -> impl Iterator<Item = &WorkerProfile> {
        let workers = self.state.members.workers.values();
        workers.filter(move |profile| profile.domain == domain)
    }

    /// The registered worker with this id.
    pub fn worker(&self, id: WorkerId) -> Option<&WorkerProfile> {
        self.state.members.workers.get(&id)
    }

    /// The last renewal of a worker's task leases, if the acting owner of its domain has stopped
    /// renewing them.
    pub fn silence(&self, domain: DomainId, worker: WorkerId) -> Option<Silence> {
        self.state.members.silence(domain, worker)
    }

    /// Workers of a domain whose task leases are not renewed, for [`Command::SetOwner`].
    ///
    /// [`Command::SetOwner`]: crate::Command::SetOwner
    pub fn silent_workers(&self, domain: DomainId) -> Vec<WorkerId> {
        self.state.members.silent_workers(domain)
    }

    /// Index of the entry that last changed which task leases of a domain are renewed; `None` if
    /// its acting owner does not log this.
    pub fn lease_index(&self, domain: DomainId) -> Option<u64> {
        self.state.members.lease_index(domain)
    }

    /// The part of an allotment that may be used now.
    ///
    /// While the allotments of the team exceed a lowered limit in some dimension, this is zero in
    /// that dimension, so that no domain starts tasks until the excess has been given back.
    pub fn usable_allotment(&self, domain: DomainId, team: TeamId) -> Resources {
        let allotted = self.allotment(domain, team).amount;
        let excess = self.excess(team);
        let usable = |allotted: u64, excess: u64| if excess == 0 { allotted } else { 0 };
        Resources {
            cpu: usable(allotted.cpu, excess.cpu),
            mem: usable(allotted.mem, excess.mem),
            gpu: usable(allotted.gpu, excess.gpu),
        }
    }

    /// A domain's allotment of a team's limit, which `Take` and `Give` change.
    pub fn allotment(&self, domain: DomainId, team: TeamId) -> Allotment {
        self.state.limits.allotment(domain, team)
    }

    /// Non-empty allotments of a team's limit, by domain.
    pub fn allotments(&self, team: TeamId) -> impl Iterator<Item = (DomainId, Allotment)> {
        self.state.limits.team_allotments(team)
    }

    /// Limit of a team in the document in force; zero if the document does not have the team.
    pub fn limit(&self, team: TeamId) -> Resources {
        self.state.limit(team).unwrap_or_default()
    }

    /// The part of a team's limit that is not allotted to any domain, also called the pool.
    pub fn unallotted(&self, team: TeamId) -> Resources {
        let total_allotted = self.state.limits.total_allotted(team);
        self.limit(team).saturating_sub(&total_allotted)
    }

    /// Amount by which the allotments of a team exceed its limit, after the limit was lowered.
    pub fn excess(&self, team: TeamId) -> Resources {
        let total_allotted = self.state.limits.total_allotted(team);
        total_allotted.saturating_sub(&self.limit(team))
    }

    /// Live jobs of a domain, sorted by id.
    pub fn live_jobs_in(&self, domain: DomainId) -> impl Iterator<Item = LiveJob> {
        self.state.jobs.live(Some(domain))
    }

    /// All live jobs, sorted by id.
    pub fn live_jobs(&self) -> impl Iterator<Item = LiveJob> {
        self.state.jobs.live(None)
    }

    /// Number of live jobs per domain; domains without live jobs are absent.
    pub fn live_job_counts(&self) -> BTreeMap<DomainId, usize> {
        self.state.jobs.live_counts()
    }

    /// Retained ended jobs, sorted by id.
    pub fn ended_jobs(&self) -> impl Iterator<Item = EndedJob> {
        self.state.jobs.ended()
    }

    /// The live or retained ended job with this id.
    pub fn job(&self, id: JobId) -> Option<JobState> {
        self.state.jobs.get(id)
    }

    /// State of a recorded at-most-once call.
    pub fn call(&self, team: TeamId, id: &str) -> Option<CallState> {
        self.state.calls.get(team, id)
    }
}
