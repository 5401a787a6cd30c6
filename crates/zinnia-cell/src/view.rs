//! Read access to the cell.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use zinnia_types::Document;
use zinnia_types::DomainId;
use zinnia_types::JobId;
use zinnia_types::Resources;
use zinnia_types::TeamId;
use zinnia_types::VmId;
use zinnia_types::WorkerId;
use zinnia_types::worker::Profile;

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
use crate::VersionStamp;
use crate::Vm;
use crate::WithdrawnDigest;
use crate::keys::split;

impl Cell {
    /// Index of the last applied log entry.
    pub fn index(&self) -> u64 {
        self.state.index
    }

    /// Time by the timestamps of the applied commands, in milliseconds since the Unix epoch.
    pub fn clock_ms(&self) -> i64 {
        self.state.clock
    }

    /// Bounds on what the cell remembers.
    pub fn retention(&self) -> &Retention {
        &self.state.retention
    }

    /// The document in force with its version and hash.
    pub fn document(&self) -> Option<(&VersionStamp, &Document)> {
        let documents = &self.state.documents;
        documents.stamp().zip(documents.current())
    }

    /// Retained versions of the document, the newest first.
    pub fn history(&self) -> impl Iterator<Item = DocumentVersion> {
        self.state.documents.history()
    }

    /// Checks a key text of the form `zk_<id>_<secret>`.
    ///
    /// # Errors
    ///
    /// Returns a [`KeyError`] when the key is malformed, unknown or withdrawn.
    pub fn check_key(&self, key: &str) -> Result<KeyGrant, KeyError> {
        let id = split(key)?;
        let checked = self.state.keys.check(id, key);
        if self.withdrawn.contains(&id) {
            return Err(KeyError::Withdrawn);
        }
        checked
    }

    /// Every granted key in order of id, and whether it is withdrawn.
    pub fn keys(&self) -> impl Iterator<Item = (KeyGrant, bool)> {
        let roles = self.state.keys.roles();
        roles.map(|grant| (grant, self.withdrawn.contains(&grant.id)))
    }

    /// Adds ids to the withdrawn set of this VM and returns those that it did not hold.
    ///
    /// This is local and works without quorum. The leader proposes what the log does not hold yet.
    pub fn withdraw_locally(&mut self, ids: &[KeyId]) -> Vec<KeyId> {
        let fresh = ids.iter().filter(|&&id| self.withdrawn.insert(id));
        fresh.copied().collect()
    }

    /// Every withdrawn key that this VM has heard of.
    pub fn withdrawn_keys(&self) -> &BTreeSet<KeyId> {
        &self.withdrawn
    }

    /// Size and hash of the withdrawn set of this VM.
    pub fn withdrawn_digest(&self) -> WithdrawnDigest {
        WithdrawnDigest::of(&self.withdrawn)
    }

    /// Withdrawn keys that the log does not hold yet.
    pub fn unlogged_withdrawals(&self) -> impl Iterator<Item = KeyId> {
        let logged = self.state.keys.withdrawn();
        self.withdrawn.difference(logged).copied()
    }

    /// The acting owner of a domain.
    pub fn owner(&self, domain: DomainId) -> Option<Owner> {
        self.state.members.owner(domain)
    }

    /// Every domain that ever had an acting owner.
    pub fn owners(&self) -> impl Iterator<Item = (DomainId, Owner)> {
        self.state.members.owners()
    }

    /// The VMs of the cell in order of id.
    pub fn vms(&self) -> impl Iterator<Item = &Vm> {
        self.state.members.vms.values()
    }

    /// One VM.
    pub fn vm(&self, id: VmId) -> Option<&Vm> {
        self.state.members.vms.get(&id)
    }

    /// The worker roster of a domain in order of name.
    pub fn workers(&self, domain: DomainId) -> impl Iterator<Item = &Profile> {
        let workers = self.state.members.workers.values();
        workers.filter(move |profile| profile.domain == domain)
    }

    /// One worker of the roster.
    pub fn worker(&self, id: WorkerId) -> Option<&Profile> {
        self.state.members.workers.get(&id)
    }

    /// What a domain may use of a team's limit now.
    ///
    /// While the allotments exceed a lowered limit this is zero in each dimension that exceeds it,
    /// so that nothing more is started in any domain until the excess has been given back.
    pub fn usable_allotment(&self, domain: DomainId, team: TeamId) -> Resources {
        let held = self.allotment(domain, team).amount;
        let excess = self.excess(team);
        let open = |held: u64, excess: u64| if excess == 0 { held } else { 0 };
        Resources {
            cpu: open(held.cpu, excess.cpu),
            mem: open(held.mem, excess.mem),
            gpu: open(held.gpu, excess.gpu),
        }
    }

    /// What a domain holds of a team's limit, as `Take` and `Give` refer to it.
    pub fn allotment(&self, domain: DomainId, team: TeamId) -> Allotment {
        self.state.limits.held(domain, team)
    }

    /// What each domain holds of a team's limit; domains that hold nothing are left out.
    pub fn allotments(&self, team: TeamId) -> impl Iterator<Item = (DomainId, Allotment)> {
        self.state.limits.of_team(team)
    }

    /// Limit of a team in the document in force; zero for a team that it does not have.
    pub fn limit(&self, team: TeamId) -> Resources {
        self.state.limit(team).unwrap_or_default()
    }

    /// What no domain holds of a team's limit.
    pub fn unallotted(&self, team: TeamId) -> Resources {
        let sum = self.state.limits.sum(team);
        self.limit(team).saturating_sub(&sum)
    }

    /// By how much the allotments exceed a team's lowered limit.
    pub fn excess(&self, team: TeamId) -> Resources {
        let sum = self.state.limits.sum(team);
        sum.saturating_sub(&self.limit(team))
    }

    /// The live jobs of a domain in order of id.
    pub fn live_jobs_in(&self, domain: DomainId) -> impl Iterator<Item = LiveJob> {
        self.state.jobs.live(Some(domain))
    }

    /// Every live job in order of id.
    pub fn live_jobs(&self) -> impl Iterator<Item = LiveJob> {
        self.state.jobs.live(None)
    }

    /// Number of live jobs in each domain that has one.
    pub fn live_job_counts(&self) -> BTreeMap<DomainId, usize> {
        self.state.jobs.count()
    }

    /// Every ended job that is retained, in order of id.
    pub fn ended_jobs(&self) -> impl Iterator<Item = EndedJob> {
        self.state.jobs.ended()
    }

    /// One job, live or ended.
    pub fn job(&self, id: JobId) -> Option<JobState> {
        self.state.jobs.get(id)
    }

    /// A recorded request that must not be repeated.
    pub fn call(&self, team: TeamId, id: &str) -> Option<CallState> {
        self.state.calls.get(team, id)
    }
}
