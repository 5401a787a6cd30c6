//! A running daemon: startup, drain and shutdown.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use anyhow::bail;
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
use zinnia_http::ClientSettings;
use zinnia_http::server::Admission;
use zinnia_http::server::Stop;
use zinnia_peer::ClusterKey;
use zinnia_peer::CountedStream;
use zinnia_peer::Links;
use zinnia_peer::Server;
use zinnia_raft::Entry;
use zinnia_raft::Payload;
use zinnia_raft::RecoveredState;
use zinnia_replica::Hooks;
use zinnia_store::Store;

use crate::call_router::CallRouter;
use crate::data_folder::RecoveredData;
use crate::data_folder::reopen_hook;
use crate::engine::Engine;
use crate::engine::Identity;
use crate::http;
use crate::settings::Settings;
use crate::shared::Replica;
use crate::shared::Shared;
use crate::telemetry;
use crate::ticker::Ticker;
use crate::traffic::byte_counter;

/// Longest wait for a worker's answer to a command.
const WORKER_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval of the schedulers' ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which a draining VM keeps answering its workers, so that they learn of the drain.
const HANDOVER_GRACE: Duration = Duration::from_millis(500);

/// A daemon that runs in this process.
pub struct Daemon {
    shared: Arc<Shared>,
    http: SocketAddr,
    close_listener: CancellationToken,
    accept_task: JoinHandle<()>,
    peer_server: Option<Server>,
    tasks: Vec<JoinHandle<()>>,
}

impl Daemon {
    /// Starts a daemon: opens the data folder, listens, and starts the tasks that form or join the
    /// cell.
    ///
    /// # Errors
    ///
    /// Fails on invalid settings, unreadable secrets, a corrupt data folder or an address in use.
    pub async fn start(settings: Settings) -> Result<Self> {
        let problems = settings.check();
        if !problems.is_empty() {
            bail!("settings: {}", problems.join("; "));
        }
        telemetry::recorder();
        let cluster_key = read_secret(&settings.secrets.cluster, &settings.secrets.cluster_file)?
            .context("settings: secrets.cluster_file is missing")?;
        let operator_key =
            read_secret(&settings.secrets.operator, &settings.secrets.operator_file)?;
        let recovered_data = RecoveredData::open(&settings)?;
        let vm = Vm {
            id: recovered_data.id,
            name: settings.name,
            domain: settings.domain,
            http: settings.listen.to_string(),
            peer: settings.peer.to_string(),
            disk: settings.data.is_some(),
        };
        let key = ClusterKey::new(&cluster_key).context("settings: cluster key")?;
        let peer = zinnia_peer::Settings {
            addr: vm.peer.clone(),
            drop_filter: settings.drop_filter.as_ref().map(|c| Arc::clone(&c.0)),
            ..zinnia_peer::Settings::new(key)
        };
        let engine = Engine::new(Identity {
            vm,
            leases: settings.lease,
            seed: recovered_data.id.0,
        });
        let shared = Arc::new(Shared {
            engine: Mutex::new(engine),
            replica: OnceLock::new(),
            withdrawn_file: Mutex::new(recovered_data.withdrawn_file),
            journal: recovered_data.journal,
            links: Links::new(peer.clone(), recovered_data.id),
            worker_client: Client::with_settings(&ClientSettings {
                timeout: WORKER_TIMEOUT,
                max_idle: 1,
                ..ClientSettings::default()
            }),
            call_client: Client::new(Duration::from_secs(65)),
            peer_addresses: Mutex::default(),
            runtime: Handle::current(),
            shutdown: CancellationToken::new(),
            in_flight: TaskTracker::new(),
            id_counter: AtomicU64::new(1),
            routing: CallRouter::new(recovered_data.id.0),
            last_catchup: tokio::sync::Mutex::default(),
            traffic: Arc::default(),
            hop_secret: hop_secret(&cluster_key),
            settings,
        });
        shared.with_engine(|engine, _| {
            engine.cell.withdraw_locally(&recovered_data.withdrawn_ids);
            engine.isolated_jobs = recovered_data.isolated_jobs;
        });
        start_replica(&shared, recovered_data.store, recovered_data.log)?;
        let listener = TcpListener::bind(shared.settings.listen)
            .await
            .with_context(|| format!("listen on {}", shared.settings.listen))?;
        let http = listener
            .local_addr()
            .context("read the address of the listener")?;
        let handler = {
            let shared = Arc::clone(&shared);
            move |from, method, value| {
                crate::peers::handle_message(Arc::clone(&shared), from, method, value)
            }
        };
        let peer_server = zinnia_peer::serve(shared.settings.peer, peer, handler)
            .await
            .with_context(|| format!("listen on {}", shared.settings.peer))?;
        let close_listener = CancellationToken::new();
        let accept_task = tokio::spawn(serve_http(
            listener,
            Arc::clone(&shared),
            close_listener.clone(),
        ));
        let tasks = spawn_loops(&shared, operator_key);
        tracing::info!(vm = %shared.settings.name, id = %recovered_data.id, %http, "daemon started");
        Ok(Self {
            shared,
            http,
            close_listener,
            accept_task,
            peer_server: Some(peer_server),
            tasks,
        })
    }

    /// The address for callers, workers and operators.
    pub fn http(&self) -> SocketAddr {
        self.http
    }

    /// The shared state of the daemon, for tests and tools in the same process.
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Drains the daemon and stops it: takes no new work, hands its domains and workers over, and
    /// finishes the requests in flight.
    ///
    /// Returns whether every request in flight was finished within the drain limit.
    pub async fn drain(mut self) -> bool {
        let limit = Duration::from_millis(self.shared.settings.bounds.drain_ms);
        self.shared.with_engine(|engine, now| {
            engine.draining = true;
            engine.refresh_authority(now);
        });
        self.shared.routing.step(zinnia_route::Event::Drain);
        crate::leader::hand_over_domains(&self.shared).await;
        tokio::time::sleep(HANDOVER_GRACE).await;
        self.close_listener.cancel();
        self.shared.in_flight.close();
        let finished = tokio::time::timeout(limit, self.shared.in_flight.wait())
            .await
            .is_ok();
        let accepted = tokio::time::timeout(limit, &mut self.accept_task)
            .await
            .is_ok();
        tracing::info!(finished, accepted, "drained");
        self.shut_down().await;
        finished && accepted
    }

    /// Stops the daemon immediately, as if the process were killed. Requests in flight are aborted.
    pub async fn kill(mut self) {
        self.accept_task.abort();
        // The listener is closed once the task has ended, so that its address can be used again.
        let _ = (&mut self.accept_task).await;
        self.shut_down().await;
    }

    async fn shut_down(&mut self) {
        self.shared.shutdown.cancel();
        for task in &self.tasks {
            task.abort();
        }
        if let Some(server) = self.peer_server.take() {
            server.stop().await;
        }
        self.shared.links.retain(|_| false);
        if let Some(replica) = self.shared.replica() {
            replica.stop().await;
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.shared.shutdown.cancel();
        self.accept_task.abort();
        for task in &self.tasks {
            task.abort();
        }
    }
}

fn read_secret(text: &Option<String>, file: &Option<std::path::PathBuf>) -> Result<Option<String>> {
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

/// Derives the secret that authenticates calls forwarded between daemons. It does not reveal the
/// cluster key.
fn hop_secret(cluster_key: &str) -> String {
    let mut hash = Sha256::new();
    hash.update(b"hop\0");
    hash.update(cluster_key);
    let digest = hash.finalize();
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn start_replica(
    shared: &Arc<Shared>,
    store: Option<Store>,
    recovered: RecoveredState,
) -> Result<()> {
    let replication = shared.settings.replication;
    let settings = zinnia_raft::Settings {
        id: shared.id(),
        seed: shared.id().0,
        heartbeat_ms: replication.heartbeat_ms,
        election_min_ms: replication.election_ms,
        election_max_ms: 2 * replication.election_ms,
        // The lease is a tenth shorter than the election timeout, as a margin for clock drift.
        lease_ms: replication.election_ms - replication.election_ms / 10,
        ..zinnia_raft::Settings::default()
    };
    let replica = Replica::start(
        settings,
        store,
        recovered,
        replication.compact_entries,
        replica_hooks(shared),
    )
    .context("start the thread of the replicated log")?;
    if shared.replica.set(replica).is_err() {
        bail!("the thread of the replicated log was started twice");
    }
    Ok(())
}

fn replica_hooks(shared: &Arc<Shared>) -> Hooks<zinnia_cell::Reply> {
    let weak = Arc::downgrade(shared);
    let send = {
        let weak = weak.clone();
        move |to, message: zinnia_raft::Message| {
            let Some(shared) = weak.upgrade() else {
                return;
            };
            if let Some(addr) = shared.peer_address(to) {
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
                    let reply =
                        shared.with_engine(|engine, now| engine.apply(entry.index, &command, now));
                    if matches!(command, Command::ApplyDocument { .. }) {
                        shared.with_engine(|engine, _| {
                            if let Some((_, document)) = engine.cell.document() {
                                shared.routing.update_teams(document);
                            }
                        });
                    }
                    Some(reply)
                }
                Err(error) => {
                    tracing::error!(step = "apply", index = entry.index, %error, "log entry cannot be parsed");
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
                shared.with_engine(|engine, _| {
                    engine.install_snapshot(snapshot.index, snapshot.data.as_str().as_bytes());
                });
            }
        }
    };
    let snapshot = move || {
        let shared = weak.upgrade()?;
        let bytes = shared
            .with_engine(|engine, _| engine.cell.snapshot())
            .ok()?;
        String::from_utf8(bytes).ok()
    };
    let role = |role, term, leader: Option<zinnia_types::VmId>| {
        tracing::info!(?role, term, ?leader, "role in the log changed");
        metrics::counter!("zinnia_role_changes_total").increment(1);
    };
    Hooks {
        reopen: reopen_hook(shared),
        send: Box::new(send),
        apply: Box::new(apply),
        install_snapshot: Box::new(install),
        take_snapshot: Box::new(snapshot),
        role_changed: Box::new(role),
    }
}

fn spawn_loops(shared: &Arc<Shared>, operator_key: Option<String>) -> Vec<JoinHandle<()>> {
    vec![
        tokio::spawn(tick_loop(Arc::clone(shared))),
        tokio::spawn(router_loop(Arc::clone(shared))),
        tokio::spawn(crate::join::join_loop(Arc::clone(shared))),
        tokio::spawn(crate::peers::ping_loop(Arc::clone(shared))),
        tokio::spawn(crate::leader::leader_loop(Arc::clone(shared))),
        tokio::spawn(crate::proposals::proposal_loop(Arc::clone(shared))),
        tokio::spawn(crate::proposals::rebalance_loop(Arc::clone(shared))),
        tokio::spawn(grant_first_operator_key(Arc::clone(shared), operator_key)),
    ]
}

async fn tick_loop(shared: Arc<Shared>) {
    let mut ticker = Ticker::new(&shared, TICK_INTERVAL);
    while ticker.tick().await {
        shared.with_engine(Engine::tick);
    }
}

async fn router_loop(shared: Arc<Shared>) {
    loop {
        let pause = Duration::from_millis(shared.routing.tick());
        tokio::select! {
            () = shared.shutdown.cancelled() => return,
            () = tokio::time::sleep(pause) => {}
        }
    }
}

/// Grants the operator key of the settings once this VM is listed, unless the cell has any operator
/// key.
async fn grant_first_operator_key(shared: Arc<Shared>, key: Option<String>) {
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
            "the operator key does not have the form zk_<id>_<secret>"
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
        let status = shared.with_engine(|engine, _| {
            let has_operator = engine.cell.keys().any(|(g, _)| g.role == KeyRole::Operator);
            let listed = engine.cell.vm(engine.identity.vm.id).is_some();
            (has_operator, listed)
        });
        match status {
            (true, _) => return,
            (false, true) => {
                let _ = shared.propose(&command).await;
            }
            (false, false) => {}
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Serves HTTP within the limits of the settings until it is stopped.
async fn serve_http(listener: TcpListener, shared: Arc<Shared>, close: CancellationToken) {
    let router = http::routes(Arc::clone(&shared));
    let admission = Admission::new(shared.settings.client_limits());
    let stop = Stop {
        close,
        abort: shared.shutdown.clone(),
    };
    let traffic = Arc::clone(&shared.traffic);
    let count = move |stream| CountedStream::new(stream, byte_counter(Arc::clone(&traffic)));
    zinnia_http::server::serve(listener, router, admission, stop, count).await;
}
