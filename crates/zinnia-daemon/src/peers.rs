//! Messages between daemons: pings, forwarded proposals, withdrawals and joins.

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
use crate::engine::Neighbour;
use crate::engine::Room;
use crate::shared::Missed;
use crate::shared::Shared;
use crate::ticker::Ticker;

/// Periodic message of each VM to each other one.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Ping {
    /// Peer address of the sender.
    pub peer: String,
    /// Services that it reaches, with the number of endpoints.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub services: BTreeMap<String, usize>,
    /// How much more its domains need of the teams' limits.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub short: Vec<(DomainId, TeamId, Resources)>,
    /// What is free in its domains, where nothing is queued.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub room: Vec<Room>,
    /// Workers that it lost as acting owner.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub lost: Vec<WorkerId>,
    /// Whether it is draining.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub draining: bool,
    /// Whether its disk is out of use, so that it applies no more entries.
    #[serde(default)]
    pub faulty: bool,
    /// Its set of withdrawn keys.
    pub withdrawn: WithdrawnDigest,
}

/// Answer to a [`Ping`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Pong {
    /// Whether the answering VM has quorum contact.
    pub contact: bool,
    /// Commit index, when the answering VM leads the log and thereby renews the VM lease.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lease: Option<u64>,
    /// All withdrawn keys, when the sets differ.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub withdrawn: Vec<KeyId>,
}

/// What a VM says of itself before a cell is formed or joined.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Probe {
    /// Cell that it belongs to.
    pub cell: String,
    /// The VM.
    pub vm: Vm,
    /// Members of the log; empty while it has none.
    pub members: Members,
}

fn decode<T: DeserializeOwned>(method: &str, value: &RawValue) -> Result<T, ErrorBody> {
    serde_json::from_str(value.get())
        .map_err(|e| ErrorBody::new(Code::BadRequest, method, e.to_string()))
}

fn encode<T: Serialize>(method: &str, value: &T) -> Result<Value, ErrorBody> {
    serde_json::to_value(value).map_err(|e| ErrorBody::new(Code::Internal, method, e.to_string()))
}

/// Handles one message of another daemon.
///
/// # Errors
///
/// Refuses malformed messages and unknown methods, and passes refusals of the cell on.
pub async fn handle(
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
            encode(name, &withdraw(&shared, &ids)?)
        }
        "commit" => encode(name, &crate::lead::commit(&shared)),
        "probe" => encode(name, &probe(&shared)),
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
            shared.note_address(vm.id, &vm.peer);
            encode(name, &crate::join::admit(&shared, vm).await?)
        }
        "running" => {
            let jobs: Vec<JobId> = decode(name, &value)?;
            encode(name, &progress(&shared, &jobs))
        }
        "routes" => encode(name, &shared.with_engine(|b, _| b.dump_workers())),
        _ => Err(ErrorBody::new(
            Code::NotFound,
            "peer",
            format!("unknown method {name}"),
        )),
    }
}

fn on_ping(shared: &Arc<Shared>, from: VmId, ping: Ping) -> Pong {
    shared.note_address(from, &ping.peer);
    // A VM that applies nothing never holds its lease again; counted as alive it would keep its
    // domains from getting another acting owner.
    let lease = (!ping.faulty)
        .then(|| crate::lead::answer_ping(shared, from))
        .flatten();
    let contact = has_contact(shared);
    shared.with_engine(|engine, now| {
        let digest = engine.cell.withdrawn_digest();
        let withdrawn = if digest == ping.withdrawn {
            Vec::new()
        } else {
            engine.cell.withdrawn_keys().iter().copied().collect()
        };
        if let Some(liveness) = engine.liveness.as_mut() {
            liveness.lost_workers.retain(|w, _| ping.lost.contains(w));
            for &worker in &ping.lost {
                liveness.lost_workers.entry(worker).or_insert(now);
            }
        }
        let known = engine.neighbours.get(&from);
        let unbroken = known.filter(|n| now.since(n.heard) < engine.me.leases.vm_ms);
        let since = unbroken.map_or(now, |n| n.since);
        engine.neighbours.insert(
            from,
            Neighbour {
                since,
                heard: now,
                services: ping.services,
                short: ping.short,
                room: ping.room,
                lost: ping.lost,
                draining: ping.draining,
            },
        );
        Pong {
            contact,
            lease,
            withdrawn,
        }
    })
}

/// Whether the quorum was heard of late. A leader without quorum must not claim contact.
pub fn has_contact(shared: &Shared) -> bool {
    let now = zinnia_replica::clock::now();
    shared
        .replica()
        .is_some_and(|r| r.read(|n| n.has_quorum_contact(now)) && r.disk_error().is_none())
}

async fn on_propose(shared: &Arc<Shared>, text: &str) -> Result<crate::shared::Applied, ErrorBody> {
    let limit = Duration::from_millis(shared.settings.replication.propose_ms);
    match shared.propose_here(text, limit).await {
        Ok(applied) => Ok(applied),
        Err(Missed::NotLeader(_)) => Err(ErrorBody::new(
            Code::Unavailable,
            "propose",
            "this VM does not lead the log",
        )),
        Err(Missed::Refused(body)) => Err(body),
    }
}

/// Adds withdrawn keys here: on disk first, if there is one, then in memory. Returns whether they
/// are on disk.
///
/// # Errors
///
/// Refuses when the disk fails; the keys are refused in memory all the same.
pub fn withdraw(shared: &Arc<Shared>, ids: &[KeyId]) -> Result<bool, ErrorBody> {
    let fresh = shared.with_engine(|engine, _| engine.cell.withdraw_locally(ids));
    let mut file = shared
        .withdrawn
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    let Some(file) = file.as_mut() else {
        return Ok(false);
    };
    if fresh.is_empty() {
        return Ok(true);
    }
    metrics::counter!("zinnia_keys_withdrawn_total").increment(fresh.len() as u64);
    let texts: Vec<&str> = fresh.iter().map(KeyId::as_str).collect();
    file.append(&texts)
        .map_err(|e| ErrorBody::new(Code::Internal, "withdraw", e.to_string()))?;
    Ok(true)
}

fn probe(shared: &Arc<Shared>) -> Probe {
    let members = shared
        .replica()
        .map(|r| r.read(|n| n.members().clone()))
        .unwrap_or_default();
    Probe {
        cell: shared.settings.cell.to_string(),
        vm: shared.with_engine(|b, _| b.me.vm.clone()),
        members,
    }
}

/// What the acting owner of a job's domain knows about it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Progress {
    /// Tasks that may be running.
    pub running: u32,
    /// Some of them, with their workers.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub attempts: Vec<(AttemptId, WorkerId)>,
    /// Why nothing of it runs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub why: Option<String>,
}

/// Most attempts listed for a job.
const MAX_ATTEMPTS: usize = 100;

/// Progress of the jobs that this VM schedules as acting owner.
pub fn progress(shared: &Arc<Shared>, jobs: &[JobId]) -> BTreeMap<JobId, Progress> {
    shared.with_engine(|engine, now| {
        let mut list: BTreeMap<JobId, Progress> =
            jobs.iter().map(|&j| (j, Progress::default())).collect();
        for acting in engine.acting.values() {
            for (attempt, worker, _) in acting.sched.running() {
                if let Some(p) = list.get_mut(&attempt.job) {
                    p.running += 1;
                    if p.attempts.len() < MAX_ATTEMPTS {
                        p.attempts.push((attempt, worker));
                    }
                }
            }
        }
        let room = engine.room();
        for (&id, p) in list.iter_mut().filter(|(_, p)| p.running == 0) {
            p.why = engine.why(id, &room, now);
        }
        list
    })
}

/// Pings every other VM at each interval until the daemon stops.
pub async fn ping_loop(shared: Arc<Shared>) {
    let every = Duration::from_millis(shared.settings.lease.ping_ms);
    let mut ticker = Ticker::new(&shared, every);
    while ticker.next().await {
        ping_all(&shared);
    }
}

fn ping_all(shared: &Arc<Shared>) {
    let faulty = shared.replica().is_some_and(|r| r.disk_error().is_some());
    let (vms, ping) = shared.with_engine(|engine, now| {
        let me = engine.me.vm.id;
        let vms: Vec<Vm> = engine.cell.vms().filter(|v| v.id != me).cloned().collect();
        let ping = Ping {
            peer: engine.me.vm.peer.clone(),
            services: engine.endpoints.counts(),
            short: engine.shortages(),
            room: engine.room(),
            lost: engine.lost_workers(now),
            draining: engine.draining,
            faulty,
            withdrawn: engine.cell.withdrawn_digest(),
        };
        (vms, ping)
    });
    crate::lead::renew_own(shared);
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
                Ok(pong) => take_pong(&shared, vm.id, sent, pong),
                Err(_) => metrics::counter!("zinnia_pings_lost_total").increment(1),
            }
        });
    }
}

fn take_pong(shared: &Arc<Shared>, from: VmId, sent: Time, pong: Pong) {
    if !pong.withdrawn.is_empty()
        && let Err(error) = withdraw(shared, &pong.withdrawn)
    {
        tracing::error!(step = "withdraw", %error, "withdrawn keys are not on disk");
    }
    let applied = shared
        .replica()
        .map_or(0, crate::shared::Replica::applied_index);
    shared.with_engine(|engine, _| {
        let word = PeerContact {
            sent,
            contact: pong.contact,
        };
        engine.authority.heard(from, word);
        if let Some(commit) = pong.lease {
            engine.authority.answered(sent, commit, applied);
        }
    });
}
