//! Messages between daemons: pings, log messages, forwarded proposals, key withdrawals, and
//! formation and growth of the cell.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::PoisonError;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_json::value::RawValue;
use zinnia_cell::KeyId;
use zinnia_cell::Vm;
use zinnia_cell::WithdrawnDigest;
use zinnia_raft::Members;
use zinnia_raft::Message;
use zinnia_types::AttemptId;
use zinnia_types::Code;
use zinnia_types::DomainId;
use zinnia_types::ErrorBody;
use zinnia_types::JobId;
use zinnia_types::Resources;
use zinnia_types::TeamId;
use zinnia_types::Time;
use zinnia_types::VmId;
use zinnia_types::WorkerId;

use crate::authority::PeerContact;
use crate::engine::FreeCapacity;
use crate::engine::PeerStatus;
use crate::shared::ProposeError;
use crate::shared::Shared;
use crate::ticker::Ticker;

/// Periodic message of every VM to every other VM.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Ping {
    /// Peer address of the sender.
    pub peer: String,
    /// Services that its workers run, with the number of endpoints.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub services: BTreeMap<String, usize>,
    /// By how much the teams' demand in its domains exceeds their allotments.
    #[serde(rename = "short", default, skip_serializing_if = "Vec::is_empty")]
    pub shortages: Vec<(DomainId, TeamId, Resources)>,
    /// Free capacity of those of its domains in which no job is queued.
    #[serde(rename = "room", default, skip_serializing_if = "Vec::is_empty")]
    pub free_capacity: Vec<FreeCapacity>,
    /// Workers that it considers lost as acting owner of their domain.
    #[serde(rename = "lost", default, skip_serializing_if = "Vec::is_empty")]
    pub lost_workers: Vec<WorkerId>,
    /// Whether it is draining.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub draining: bool,
    /// Whether its disk has failed, so that it applies no more log entries.
    #[serde(rename = "faulty", default)]
    pub disk_failed: bool,
    /// Digest of the withdrawn keys that it knows.
    pub withdrawn: WithdrawnDigest,
}

/// Answer to a [`Ping`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Pong {
    /// Whether the answering VM has contact with the quorum.
    #[serde(rename = "contact")]
    pub quorum_contact: bool,
    /// The leader's commit index, present if the answer renews the VM lease of the pinging VM.
    #[serde(rename = "lease", default, skip_serializing_if = "Option::is_none")]
    pub lease_commit: Option<u64>,
    /// All withdrawn keys that the answering VM knows, if the digests differ.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub withdrawn: Vec<KeyId>,
}

/// What a VM reports about itself to a VM that looks for its cell.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Probe {
    /// Id of the cell to which it belongs.
    pub cell: String,
    /// Its identity and addresses.
    pub vm: Vm,
    /// Members of its log; empty before the cell is formed or joined.
    pub members: Members,
}

fn decode<T: DeserializeOwned>(method: &str, value: &RawValue) -> Result<T, ErrorBody> {
    serde_json::from_str(value.get())
        .map_err(|e| ErrorBody::new(Code::BadRequest, method, e.to_string()))
}

fn encode<T: Serialize>(method: &str, value: &T) -> Result<Value, ErrorBody> {
    serde_json::to_value(value).map_err(|e| ErrorBody::new(Code::Internal, method, e.to_string()))
}

/// Handles a message of another daemon and returns the answer.
///
/// # Errors
///
/// Refuses malformed messages and unknown methods, and returns the refusals of the method itself.
pub async fn handle_message(
    shared: Arc<Shared>,
    from: VmId,
    method: String,
    value: Box<RawValue>,
) -> Result<Value, ErrorBody> {
    let name = method.as_str();
    match name {
        "raft" => {
            let message: Message = decode(name, &value)?;
            if let Some(replica) = shared.replica() {
                replica.receive(from, message);
            }
            Ok(Value::Null)
        }
        "ping" => encode(name, &on_ping(&shared, from, decode(name, &value)?)),
        "propose" => {
            let text: String = decode(name, &value)?;
            encode(name, &on_propose(&shared, &text).await?)
        }
        "withdraw" => {
            let ids: Vec<KeyId> = decode(name, &value)?;
            encode(name, &withdraw_keys(&shared, &ids)?)
        }
        "commit" => encode(name, &crate::leader::leader_commit_index(&shared)),
        "probe" => encode(name, &own_probe(&shared)),
        "form" => {
            let members: Members = decode(name, &value)?;
            let formed = match shared.replica() {
                Some(replica) => replica.bootstrap(members).await,
                None => false,
            };
            encode(name, &formed)
        }
        "join" => {
            let vm: Vm = decode(name, &value)?;
            shared.record_address(vm.id, &vm.peer);
            encode(name, &crate::join::admit(&shared, vm).await?)
        }
        "running" => {
            let jobs: Vec<JobId> = decode(name, &value)?;
            encode(name, &job_progress(&shared, &jobs))
        }
        "routes" => encode(name, &shared.with_engine(|engine, _| engine.worker_rows())),
        _ => Err(ErrorBody::new(
            Code::NotFound,
            "peer",
            format!("unknown method {name}"),
        )),
    }
}

fn on_ping(shared: &Arc<Shared>, from: VmId, ping: Ping) -> Pong {
    shared.record_address(from, &ping.peer);
    // A VM with a failed disk applies no entries and can never hold a lease again. If it counted as
    // alive, its domains would get no other acting owner.
    let lease_commit = (!ping.disk_failed)
        .then(|| crate::leader::renew_vm_lease(shared, from))
        .flatten();
    let quorum_contact = has_quorum_contact(shared);
    shared.with_engine(|engine, now| {
        let digest = engine.cell.withdrawn_digest();
        let withdrawn = if digest == ping.withdrawn {
            Vec::new()
        } else {
            engine.cell.withdrawn_keys().iter().copied().collect()
        };
        if let Some(liveness) = engine.liveness.as_mut() {
            liveness
                .lost_workers
                .retain(|w, _| ping.lost_workers.contains(w));
            for &worker in &ping.lost_workers {
                liveness.lost_workers.entry(worker).or_insert(now);
            }
        }
        let status = engine.peer_statuses.get(&from);
        let uninterrupted =
            status.filter(|s| now.since(s.last_ping) < engine.identity.leases.vm_ms);
        let up_since = uninterrupted.map_or(now, |s| s.up_since);
        engine.peer_statuses.insert(
            from,
            PeerStatus {
                up_since,
                last_ping: now,
                services: ping.services,
                shortages: ping.shortages,
                free_capacity: ping.free_capacity,
                lost_workers: ping.lost_workers,
                draining: ping.draining,
            },
        );
        Pong {
            quorum_contact,
            lease_commit,
            withdrawn,
        }
    })
}

/// Whether this VM has recent contact with the quorum. A leader has it only while a quorum answers
/// it.
pub fn has_quorum_contact(shared: &Shared) -> bool {
    let now = zinnia_replica::clock::now();
    shared
        .replica()
        .is_some_and(|r| r.read(|n| n.has_quorum_contact(now)) && r.disk_error().is_none())
}

async fn on_propose(shared: &Arc<Shared>, text: &str) -> Result<crate::shared::Applied, ErrorBody> {
    let limit = Duration::from_millis(shared.settings.replication.propose_ms);
    match shared.propose_locally(text, limit).await {
        Ok(applied) => Ok(applied),
        Err(ProposeError::NotLeader(_)) => Err(ErrorBody::new(
            Code::Unavailable,
            "propose",
            "this VM does not lead the log",
        )),
        Err(ProposeError::Refused(body)) => Err(body),
    }
}

/// Withdraws keys on this VM, in memory and on disk if it has one. Returns whether the withdrawal
/// is on disk.
///
/// # Errors
///
/// Fails when the disk fails. The keys are withdrawn in memory nevertheless.
pub fn withdraw_keys(shared: &Arc<Shared>, ids: &[KeyId]) -> Result<bool, ErrorBody> {
    let new_ids = shared.with_engine(|engine, _| engine.cell.withdraw_locally(ids));
    let mut file = shared
        .withdrawn_file
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    let Some(file) = file.as_mut() else {
        return Ok(false);
    };
    if new_ids.is_empty() {
        return Ok(true);
    }
    metrics::counter!("zinnia_keys_withdrawn_total").increment(new_ids.len() as u64);
    let records: Vec<&str> = new_ids.iter().map(KeyId::as_str).collect();
    file.append(&records)
        .map_err(|e| ErrorBody::new(Code::Internal, "withdraw", e.to_string()))?;
    Ok(true)
}

fn own_probe(shared: &Arc<Shared>) -> Probe {
    let members = shared
        .replica()
        .map(|r| r.read(|n| n.members().clone()))
        .unwrap_or_default();
    Probe {
        cell: shared.settings.cell.to_string(),
        vm: shared.with_engine(|engine, _| engine.identity.vm.clone()),
        members,
    }
}

/// Progress of a job as known to the acting owner of its domain.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct JobProgress {
    /// Number of tasks that may be running.
    pub running: u32,
    /// Their attempts and workers, up to `MAX_ATTEMPTS`.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub attempts: Vec<(AttemptId, WorkerId)>,
    /// Why none of its tasks runs.
    #[serde(rename = "why", default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
}

/// Most attempts that [`JobProgress`] lists.
const MAX_ATTEMPTS: usize = 100;

/// Progress of the given jobs, as far as this VM schedules them as acting owner.
pub fn job_progress(shared: &Arc<Shared>, jobs: &[JobId]) -> BTreeMap<JobId, JobProgress> {
    shared.with_engine(|engine, now| {
        let mut progress: BTreeMap<JobId, JobProgress> =
            jobs.iter().map(|&j| (j, JobProgress::default())).collect();
        for scheduler in engine.schedulers.values() {
            for (attempt, worker, _) in scheduler.inner.running() {
                if let Some(p) = progress.get_mut(&attempt.job) {
                    p.running += 1;
                    if p.attempts.len() < MAX_ATTEMPTS {
                        p.attempts.push((attempt, worker));
                    }
                }
            }
        }
        let free = engine.free_capacity();
        for (&id, p) in progress.iter_mut().filter(|(_, p)| p.running == 0) {
            p.reason = engine.queue_reason(id, &free, now);
        }
        progress
    })
}

/// Pings every other VM at each interval until the daemon shuts down.
pub async fn ping_loop(shared: Arc<Shared>) {
    let interval = Duration::from_millis(shared.settings.lease.ping_ms);
    let mut ticker = Ticker::new(&shared, interval);
    while ticker.tick().await {
        ping_all(&shared);
    }
}

fn ping_all(shared: &Arc<Shared>) {
    let disk_failed = shared.replica().is_some_and(|r| r.disk_error().is_some());
    let (vms, ping) = shared.with_engine(|engine, now| {
        let own_id = engine.identity.vm.id;
        let vms: Vec<Vm> = engine
            .cell
            .vms()
            .filter(|v| v.id != own_id)
            .cloned()
            .collect();
        let ping = Ping {
            peer: engine.identity.vm.peer.clone(),
            services: engine.endpoints.counts(),
            shortages: engine.shortages(),
            free_capacity: engine.free_capacity(),
            lost_workers: engine.lost_workers(now),
            draining: engine.draining,
            disk_failed,
            withdrawn: engine.cell.withdrawn_digest(),
        };
        (vms, ping)
    });
    crate::leader::renew_own_lease(shared);
    let ping = Arc::new(ping);
    for vm in vms {
        let shared = Arc::clone(shared);
        let ping = Arc::clone(&ping);
        tokio::spawn(async move {
            let sent = zinnia_replica::clock::now();
            let limit = Duration::from_millis(shared.settings.lease.ping_ms);
            let answer = shared
                .links
                .call_with_timeout::<_, Pong>(&vm.peer, "ping", &*ping, limit)
                .await;
            match answer {
                Ok(pong) => handle_pong(&shared, vm.id, sent, pong),
                Err(_) => metrics::counter!("zinnia_pings_lost_total").increment(1),
            }
        });
    }
}

fn handle_pong(shared: &Arc<Shared>, from: VmId, sent: Time, pong: Pong) {
    if !pong.withdrawn.is_empty()
        && let Err(error) = withdraw_keys(shared, &pong.withdrawn)
    {
        tracing::error!(step = "withdraw", %error, "withdrawn keys could not be written to disk");
    }
    let applied = shared
        .replica()
        .map_or(0, crate::shared::Replica::applied_index);
    shared.with_engine(|engine, _| {
        let contact = PeerContact {
            sent,
            contact: pong.quorum_contact,
        };
        engine.authority.record_contact(from, contact);
        if let Some(commit) = pong.lease_commit {
            engine.authority.record_lease_answer(sent, commit, applied);
        }
    });
}
