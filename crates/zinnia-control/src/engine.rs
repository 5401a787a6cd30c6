//! What a member shares between its tasks and the log thread.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use tokio::sync::Notify;
use tokio::sync::mpsc;
use zinnia_peer::Links;
use zinnia_plan::Leader;
use zinnia_plan::Reply;
use zinnia_plan::StartOrder;
use zinnia_plan::State;
use zinnia_raft::Node;
use zinnia_raft::Role;
use zinnia_replica::Replica;
use zinnia_replica::clock;
use zinnia_types::Time;
use zinnia_types::VmId;

use crate::Settings;

/// State and, on the leader, what it knows beyond it.
#[derive(Default)]
pub(crate) struct Core {
    pub(crate) state: State,
    pub(crate) leader: Option<Leader>,
    /// Processes that can ask the outside policy, by address.
    pub(crate) helpers: BTreeMap<String, Helper>,
}

/// A process that can ask the outside policy.
#[derive(Clone, Debug)]
pub(crate) struct Helper {
    pub(crate) seen: Time,
    /// Milliseconds of open questions.
    pub(crate) load_ms: u64,
    /// Until when it gets no questions, after one was not answered.
    pub(crate) rest: Time,
}

/// Silence after which a process gets no more questions for the policy.
pub(crate) const HELPER_MS: u64 = 1_500;

impl Helper {
    pub(crate) fn new(now: Time) -> Self {
        Self {
            seen: now,
            load_ms: 0,
            rest: Time(0),
        }
    }

    pub(crate) fn is_usable(&self, now: Time) -> bool {
        now >= self.rest && now.since(self.seen) < HELPER_MS
    }
}

/// A member of the log.
pub(crate) struct Engine {
    pub(crate) settings: Settings,
    pub(crate) id: VmId,
    pub(crate) core: Mutex<Core>,
    pub(crate) replica: OnceLock<Replica<Vec<Reply>>>,
    pub(crate) links: Links,
    pub(crate) runtime: tokio::runtime::Handle,
    /// Latest term in which this process was ready to lead.
    pub(crate) ready_term: AtomicU64,
    /// Wakes the leader's planning.
    pub(crate) kick: Notify,
    /// Wakes reads that wait for the end of a job.
    pub(crate) progress: Notify,
    /// Start orders that were committed.
    pub(crate) orders: mpsc::UnboundedSender<StartOrder>,
    /// Peer addresses of processes that are not, or not yet, members.
    pub(crate) addrs: Mutex<BTreeMap<VmId, String>>,
}

impl Engine {
    pub(crate) fn core(&self) -> MutexGuard<'_, Core> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn read<T>(&self, f: impl FnOnce(&Node) -> T) -> Option<T> {
        self.replica.get().map(|r| r.read(f))
    }

    /// Whether this process leads and may answer reads.
    pub(crate) fn is_leader(&self) -> bool {
        self.leading_term().is_some()
    }

    /// Term of the own leadership while it may answer reads; without the lease another leader may
    /// act already.
    pub(crate) fn leading_term(&self) -> Option<u64> {
        let term = self.term()?;
        let contact = |n: &Node| n.has_quorum_contact(clock::now());
        self.read(contact)?.then_some(term)
    }

    /// Term of the own leadership, once all that was committed before it is applied.
    ///
    /// A leader is ready for the rest of its term: its later entries are acknowledged only after
    /// they are applied, so a read never misses one, though some may be on their way to the disk.
    fn term(&self) -> Option<u64> {
        let replica = self.replica.get()?;
        if let Some(ready) = replica.ready_term() {
            self.ready_term.store(ready, Ordering::Relaxed);
        }
        let term = replica.read(|n| (n.role() == Role::Leader).then(|| n.term()))?;
        (self.ready_term.load(Ordering::Relaxed) == term).then_some(term)
    }

    pub(crate) fn address(&self, vm: VmId) -> Option<String> {
        let known = self.read(|n| n.members().get(vm).map(|m| m.peer.clone()));
        known.flatten().or_else(|| {
            let addrs = self.addrs.lock().unwrap_or_else(PoisonError::into_inner);
            addrs.get(&vm).cloned()
        })
    }

    pub(crate) fn note_address(&self, vm: VmId, addr: &str) {
        let mut addrs = self.addrs.lock().unwrap_or_else(PoisonError::into_inner);
        addrs.insert(vm, addr.to_owned());
    }

    /// Addresses of the leader for other processes and for workers.
    pub(crate) fn leader(&self) -> Option<(String, String)> {
        self.read(|n| {
            let member = n.members().get(n.leader()?)?;
            Some((member.peer.clone(), member.http.clone()))
        })?
    }
}
