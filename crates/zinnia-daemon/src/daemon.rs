//! A running daemon: start, drain and stop.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use anyhow::bail;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulShutdown;
use hyper_util::service::TowerToHyperService;
use sha2::Digest;
use sha2::Sha256;
use tokio::net::TcpListener;
use tokio::runtime::Handle;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use zinnia_cell::Command;
use zinnia_cell::KeyHash;
use zinnia_cell::KeyRole;
use zinnia_cell::Vm;
use zinnia_http::Client;
use zinnia_peer::ClusterKey;
use zinnia_peer::CountedStream;
use zinnia_peer::Links;
use zinnia_peer::Server;
use zinnia_raft::Entry;
use zinnia_raft::Payload;
use zinnia_raft::RecoveredState;
use zinnia_replica::Hooks;
use zinnia_store::Identity as FolderIdentity;
use zinnia_store::Store;
use zinnia_store::StoreOptions;
use zinnia_types::JobId;

use crate::counted;
use crate::engine::Engine;
use crate::engine::Identity;
use crate::http;
use crate::journal::Accepted;
use crate::journal::Journal;
use crate::routing::Routing;
use crate::settings::Settings;
use crate::shared::Replica;
use crate::shared::Shared;
use crate::telemetry;
use crate::ticker::Ticker;

/// Longest wait for an answer of a worker to a command.
const WORKER_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval of the scheduler's tick.
const TICK: Duration = Duration::from_millis(100);
/// Time for which a draining VM still answers workers, so that they hear of it.
const HANDOVER: Duration = Duration::from_millis(500);

/// A daemon within this process.
pub struct Daemon {
    shared: Arc<Shared>,
    http: SocketAddr,
    close: CancellationToken,
    accept: JoinHandle<()>,
    peers: Option<Server>,
    tasks: Vec<JoinHandle<()>>,
}

impl Daemon {
    /// Starts a daemon: opens the data folder, listens, and forms or joins its cell.
    ///
    /// # Errors
    ///
    /// Fails on faulty settings, unusable secrets, a corrupt data folder or an address in use.
    pub async fn start(settings: Settings) -> Result<Self> {
        let problems = settings.check();
        if !problems.is_empty() {
            bail!("settings: {}", problems.join("; "));
        }
        telemetry::recorder();
        let cluster = secret(&settings.secrets.cluster, &settings.secrets.cluster_file)?
            .context("settings: secrets.cluster_file is missing")?;
        let operator = secret(&settings.secrets.operator, &settings.secrets.operator_file)?;
        let opened = Opened::open(&settings)?;
        let vm = Vm {
            id: opened.id,
            name: settings.name,
            domain: settings.domain,
            http: settings.listen.to_string(),
            peer: settings.peer.to_string(),
            disk: settings.data.is_some(),
        };
        let key = ClusterKey::new(&cluster).context("settings: cluster key")?;
        let peer = zinnia_peer::Settings {
            addr: vm.peer.clone(),
            drop_filter: settings.drop_filter.as_ref().map(|c| Arc::clone(&c.0)),
            ..zinnia_peer::Settings::new(key)
        };
        let engine = Engine::new(Identity {
            vm,
            leases: settings.lease,
            seed: opened.id.0,
        });
        let shared = Arc::new(Shared {
            engine: Mutex::new(engine),
            replica: OnceLock::new(),
            withdrawn: Mutex::new(opened.withdrawn),
            journal: opened.journal,
            links: Links::new(peer.clone(), opened.id),
            workers: Client::with_max_idle(WORKER_TIMEOUT, 1),
            calls: Client::new(Duration::from_secs(65)),
            addresses: Mutex::default(),
            runtime: Handle::current(),
            stop: CancellationToken::new(),
            in_flight: TaskTracker::new(),
            numbers: AtomicU64::new(1),
            routing: Routing::new(opened.id.0),
            caught: tokio::sync::Mutex::default(),
            traffic: Arc::default(),
            hop: hop_secret(&cluster),
            settings,
        });
        shared.with_engine(|b, _| {
            b.cell.withdraw_locally(&opened.ids);
            b.local = opened.local;
        });
        start_replica(&shared, opened.store, opened.recovered)?;
        let listener = TcpListener::bind(shared.settings.listen)
            .await
            .with_context(|| format!("listen on {}", shared.settings.listen))?;
        let http = listener.local_addr().context("read the own address")?;
        let handler = {
            let shared = Arc::clone(&shared);
            move |from, method, value| {
                crate::peers::handle(Arc::clone(&shared), from, method, value)
            }
        };
        let peers = zinnia_peer::serve(shared.settings.peer, peer, handler)
            .await
            .with_context(|| format!("listen on {}", shared.settings.peer))?;
        let close = CancellationToken::new();
        let accept = tokio::spawn(accept_loop(listener, Arc::clone(&shared), close.clone()));
        let tasks = spawn_loops(&shared, operator);
        tracing::info!(vm = %shared.settings.name, id = %opened.id, %http, "daemon started");
        Ok(Self {
            shared,
            http,
            close,
            accept,
            peers: Some(peers),
            tasks,
        })
    }

    /// Address for callers, workers and operators.
    pub fn http(&self) -> SocketAddr {
        self.http
    }

    /// What the parts of the daemon share, for tests and tools in the same process.
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Drains and stops: takes no new work, hands owned workers over, finishes requests in flight.
    ///
    /// Returns whether every request in flight was finished within the drain limit.
    pub async fn drain(mut self) -> bool {
        let limit = Duration::from_millis(self.shared.settings.bounds.drain_ms);
        self.shared.with_engine(|b, now| {
            b.draining = true;
            b.refresh(now);
        });
        self.shared.routing.step(zinnia_route::Event::Drain);
        crate::lead::hand_over(&self.shared).await;
        tokio::time::sleep(HANDOVER).await;
        self.close.cancel();
        self.shared.in_flight.close();
        let finished = tokio::time::timeout(limit, self.shared.in_flight.wait())
            .await
            .is_ok();
        let accepted = tokio::time::timeout(limit, &mut self.accept).await.is_ok();
        tracing::info!(finished, accepted, "drained");
        self.end().await;
        finished && accepted
    }

    /// Stops at once, like the end of the process; requests in flight are cut off.
    pub async fn kill(mut self) {
        self.accept.abort();
        self.end().await;
    }

    async fn end(&mut self) {
        self.shared.stop.cancel();
        for task in &self.tasks {
            task.abort();
        }
        if let Some(peers) = self.peers.take() {
            peers.stop().await;
        }
        self.shared.links.retain(|_| false);
        if let Some(replica) = self.shared.replica() {
            replica.stop().await;
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.shared.stop.cancel();
        self.accept.abort();
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// What the data folder holds, or a new identity without one.
struct Opened {
    id: zinnia_types::VmId,
    store: Option<Store>,
    recovered: RecoveredState,
    withdrawn: Option<zinnia_store::RecordFile>,
    ids: Vec<zinnia_cell::KeyId>,
    journal: Journal,
    local: BTreeMap<JobId, Accepted>,
}

impl Opened {
    fn open(settings: &Settings) -> Result<Self> {
        let drawn = FolderIdentity::generate(settings.cell.as_str()).context("draw an identity")?;
        let Some(folder) = settings.data.as_ref() else {
            return Ok(Self {
                id: drawn.id,
                store: None,
                recovered: RecoveredState::default(),
                withdrawn: None,
                ids: Vec::new(),
                journal: Journal::default(),
                local: BTreeMap::new(),
            });
        };
        let options = StoreOptions {
            disk_hook: settings.disk_hook.as_ref().map(|d| Arc::clone(&d.0)),
            ..StoreOptions::default()
        };
        let (store, recovered) = Store::open_with(folder, &drawn, options)
            .with_context(|| format!("open the data folder {}", folder.display()))?;
        let (file, texts) = store.withdrawn_keys().context("open the withdrawn keys")?;
        let ids = texts
            .iter()
            .map(|t| t.parse().context("read the withdrawn keys"))
            .collect::<Result<_>>()?;
        let (jobs, texts) = store
            .open_records("jobs")
            .context("open the isolated jobs")?;
        let (journal, local) = Journal::open(jobs, &texts)?;
        Ok(Self {
            id: store.identity().id,
            store: Some(store),
            recovered,
            withdrawn: Some(file),
            ids,
            journal,
            local,
        })
    }
}

fn secret(text: &Option<String>, file: &Option<std::path::PathBuf>) -> Result<Option<String>> {
    if text.is_some() {
        return Ok(text.clone());
    }
    let Some(file) = file else {
        return Ok(None);
    };
    let text = std::fs::read_to_string(file)
        .with_context(|| format!("read the secret in {}", file.display()))?;
    Ok(Some(text.trim().to_owned()))
}

/// Secret that marks calls passed on between daemons; it does not reveal the cluster key.
fn hop_secret(cluster: &str) -> String {
    let mut hash = Sha256::new();
    hash.update(b"hop\0");
    hash.update(cluster);
    let sum = hash.finalize();
    sum.iter().map(|b| format!("{b:02x}")).collect()
}

fn start_replica(
    shared: &Arc<Shared>,
    store: Option<Store>,
    recovered: RecoveredState,
) -> Result<()> {
    let r = shared.settings.replication;
    let settings = zinnia_raft::Settings {
        id: shared.id(),
        seed: shared.id().0,
        heartbeat_ms: r.heartbeat_ms,
        election_min_ms: r.election_ms,
        election_max_ms: 2 * r.election_ms,
        // A tenth is left for the drift of clocks.
        lease_ms: r.election_ms - r.election_ms / 10,
        ..zinnia_raft::Settings::default()
    };
    let replica = Replica::start(settings, store, recovered, r.compact_entries, hooks(shared))
        .context("start the log thread")?;
    if shared.replica.set(replica).is_err() {
        bail!("the log thread was started twice");
    }
    Ok(())
}

fn hooks(shared: &Arc<Shared>) -> Hooks<zinnia_cell::Reply> {
    let weak = Arc::downgrade(shared);
    let send = {
        let weak = weak.clone();
        move |to, message: zinnia_raft::Message| {
            let Some(shared) = weak.upgrade() else {
                return;
            };
            if let Some(addr) = shared.address(to) {
                let _guard = shared.runtime.enter();
                shared.links.notify(&addr, "raft", &message);
            }
        }
    };
    let apply = {
        let weak = weak.clone();
        move |entry: &Entry| {
            let shared = weak.upgrade()?;
            let Payload::Data(data) = &entry.payload else {
                return None;
            };
            match serde_json::from_str::<Command>(data.as_str()) {
                Ok(command) => {
                    let reply = shared.with_engine(|b, now| b.apply(entry.index, &command, now));
                    if matches!(command, Command::ApplyDocument { .. }) {
                        shared.with_engine(|b, _| {
                            if let Some((_, document)) = b.cell.document() {
                                shared.routing.document(document);
                            }
                        });
                    }
                    Some(reply)
                }
                Err(error) => {
                    tracing::error!(step = "apply", index = entry.index, %error, "entry is unreadable");
                    None
                }
            }
        }
    };
    let install = {
        let weak = weak.clone();
        move |snapshot: &zinnia_raft::Snapshot| {
            if let Some(shared) = weak.upgrade()
                && !snapshot.data.is_empty()
            {
                shared.with_engine(|b, _| {
                    b.install(snapshot.index, snapshot.data.as_str().as_bytes())
                });
            }
        }
    };
    let snapshot = move || {
        let shared = weak.upgrade()?;
        let bytes = shared.with_engine(|b, _| b.cell.snapshot()).ok()?;
        String::from_utf8(bytes).ok()
    };
    let role = |role, term, leader: Option<zinnia_types::VmId>| {
        tracing::info!(?role, term, ?leader, "role in the log");
        metrics::counter!("zinnia_role_changes_total").increment(1);
    };
    Hooks {
        reopen: None,
        send: Box::new(send),
        apply: Box::new(apply),
        install_snapshot: Box::new(install),
        take_snapshot: Box::new(snapshot),
        role_changed: Box::new(role),
    }
}

fn spawn_loops(shared: &Arc<Shared>, operator: Option<String>) -> Vec<JoinHandle<()>> {
    vec![
        tokio::spawn(tick_loop(Arc::clone(shared))),
        tokio::spawn(route_loop(Arc::clone(shared))),
        tokio::spawn(crate::join::join_loop(Arc::clone(shared))),
        tokio::spawn(crate::peers::ping_loop(Arc::clone(shared))),
        tokio::spawn(crate::lead::lead_loop(Arc::clone(shared))),
        tokio::spawn(crate::flush::flush_loop(Arc::clone(shared))),
        tokio::spawn(crate::flush::rebalance_loop(Arc::clone(shared))),
        tokio::spawn(first_operator(Arc::clone(shared), operator)),
    ]
}

async fn tick_loop(shared: Arc<Shared>) {
    let mut ticker = Ticker::new(&shared, TICK);
    while ticker.next().await {
        shared.with_engine(Engine::tick);
    }
}

async fn route_loop(shared: Arc<Shared>) {
    loop {
        let pause = Duration::from_millis(shared.routing.tick());
        tokio::select! {
            () = shared.stop.cancelled() => return,
            () = tokio::time::sleep(pause) => {}
        }
    }
}

/// Grants the operator key of the settings once, while the cell has no operator key at all.
async fn first_operator(shared: Arc<Shared>, key: Option<String>) {
    let Some(key) = key else {
        return;
    };
    let id = key
        .strip_prefix("zk_")
        .and_then(|k| k.split('_').next())
        .and_then(|id| id.parse().ok());
    let Some(id) = id else {
        tracing::error!(
            step = "operator key",
            "the key is not of the form zk_<id>_<secret>"
        );
        return;
    };
    let command = Command::GrantKey {
        id,
        hash: KeyHash::of(&key),
        role: KeyRole::Operator,
        request: format!("first-operator-{id}"),
    };
    loop {
        let done = shared.with_engine(|b, _| {
            let operators = b.cell.keys().any(|(g, _)| g.role == KeyRole::Operator);
            let listed = b.cell.vm(b.me.vm.id).is_some();
            (operators, listed)
        });
        match done {
            (true, _) => return,
            (false, true) => {
                let _ = shared.propose(&command).await;
            }
            (false, false) => {}
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Accepts connections until closed, then lets the open ones finish.
async fn accept_loop(listener: TcpListener, shared: Arc<Shared>, close: CancellationToken) {
    let router = http::routes(Arc::clone(&shared));
    let graceful = GracefulShutdown::new();
    let read = Duration::from_millis(shared.settings.bounds.read_ms);
    loop {
        let stream = tokio::select! {
            () = close.cancelled() => break,
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(error) => {
                    tracing::warn!(step = "accept", %error, "connection is not accepted");
                    tokio::time::sleep(Duration::from_millis(50)).await;
                    continue;
                }
            },
        };
        let _ = stream.set_nodelay(true);
        let mut builder = auto::Builder::new(TokioExecutor::new()).http1_only();
        builder
            .http1()
            .timer(TokioTimer::new())
            // Heartbeats are most of the traffic, and workers have no use for the date.
            .auto_date_header(false)
            .header_read_timeout(read)
            .max_buf_size(16 * 1024);
        let service = TowerToHyperService::new(router.clone());
        let conn = builder.serve_connection(
            TokioIo::new(CountedStream::new(
                stream,
                counted::add_to(Arc::clone(&shared.traffic)),
            )),
            service,
        );
        let conn = graceful.watch(conn.into_owned());
        let stop = shared.stop.clone();
        tokio::spawn(async move {
            if let Some(Err(error)) = stop.run_until_cancelled(conn).await {
                tracing::debug!(%error, "connection ended");
            }
        });
    }
    drop(listener);
    graceful.shutdown().await;
}
