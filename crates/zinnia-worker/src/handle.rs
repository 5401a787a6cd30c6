//! Starting a worker and controlling it through a handle.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;

use anyhow::Context;
use hyper::server::conn::http1;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::service::TowerToHyperService;
use serde_json::Value;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use zinnia_agent::Agent;
use zinnia_http::Client;
use zinnia_types::Epoch;
use zinnia_types::WorkerId;
use zinnia_types::worker::WorkerProfile;

use crate::EventRecord;
use crate::FaultInjection;
use crate::Settings;
use crate::WorkerEvent;
use crate::driver::Driver;
use crate::event_log::EventLog;
use crate::input::DriverInput;
use crate::server::ServerState;
use crate::server::routes;
use crate::service::Services;

/// Timeout for the head of a request.
///
/// It also closes idle connections. It exceeds the time for which clients keep theirs, because a
/// request sent while the worker closes the connection would have an unknown outcome.
const HEADER_TIMEOUT: Duration = Duration::from_secs(60);

/// Largest number of connections served at the same time. Further ones wait to be accepted.
const MAX_CONNECTIONS: usize = 1_024;

/// Worker with simulated tasks; see [`Worker::spawn`].
#[derive(Clone, Copy, Debug)]
pub struct Worker;

/// Handle to a running worker. Dropping it stops the worker.
#[derive(Debug)]
pub struct Handle {
    worker: WorkerId,
    addr: SocketAddr,
    boot: u64,
    input_tx: mpsc::UnboundedSender<DriverInput>,
    faults: watch::Sender<FaultInjection>,
    event_log: EventLog,
    token: CancellationToken,
}

impl Worker {
    /// Starts a worker on the current Tokio runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if the worker cannot listen on its address or read random numbers.
    pub async fn spawn(settings: Settings) -> anyhow::Result<Handle> {
        let listener = TcpListener::bind(settings.listen)
            .await
            .with_context(|| format!("listen on {}", settings.listen))?;
        let addr = listener
            .local_addr()
            .context("read the listening address")?;
        let boot = getrandom::u64().map_err(|e| anyhow::anyhow!("generate a boot number: {e}"))?;
        // Some JSON parsers lose precision above 2^53.
        let boot = boot >> 11;
        let mut agent_settings = settings.agent.clone();
        agent_settings.epoch_floor = epoch_floor(boot);
        agent_settings.seed = boot;
        let profile = WorkerProfile {
            worker: settings.worker,
            boot,
            addr: addr.to_string(),
            domain: settings.domain,
            rack: settings.rack,
            capacity: settings.capacity,
        };
        let timeout = agent_settings
            .search
            .timeout_ms
            .max(agent_settings.leases.heartbeat_ms / 2);
        let client = Client::new(Duration::from_millis(timeout));
        let (input_tx, input_rx) = mpsc::unbounded_channel();
        let (faults, faults_rx) = watch::channel(settings.faults.clone());
        let event_log = EventLog::new(settings.worker);
        let services = Services::default();
        let token = CancellationToken::new();
        event_log.add(WorkerEvent::Up { boot });
        let driver = Driver {
            agent: Agent::new(agent_settings, profile),
            client,
            input_rx,
            input_tx: input_tx.clone(),
            services: services.clone(),
            service_settings: settings.service.clone(),
            sample_interval: Duration::from_millis(settings.sample_interval_ms.max(1)),
            faults: faults_rx.clone(),
            event_log: event_log.clone(),
            token: token.clone(),
            tasks: BTreeMap::new(),
            replies: BTreeMap::new(),
            last_command: 0,
            heartbeats_paused: false,
            drain_waiters: Vec::new(),
        };
        tokio::spawn(driver.run());
        let state = ServerState {
            worker: settings.worker,
            input_tx: input_tx.clone(),
            services,
            faults: faults_rx,
            event_log: event_log.clone(),
        };
        let router = routes(state, settings.service.body_bytes);
        tokio::spawn(serve(listener, router, token.clone()));
        Ok(Handle {
            worker: settings.worker,
            addr,
            boot,
            input_tx,
            faults,
            event_log,
            token,
        })
    }
}

/// Epoch below all epochs of this boot and above those of earlier boots, so that a delayed command
/// to an earlier boot carries a stale epoch. The high bits are the wall-clock time in milliseconds.
/// The low bits are random, for boots within the same millisecond.
fn epoch_floor(boot: u64) -> Epoch {
    let elapsed = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let ms = elapsed.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(0));
    Epoch((ms << 10) | (boot & 0x3ff))
}

/// Accepts connections until the worker stops, which closes them like the end of a process would.
async fn serve(listener: TcpListener, router: axum::Router, token: CancellationToken) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let accept = async {
        loop {
            let Ok(permit) = permits.clone().acquire_owned().await else {
                return;
            };
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    tracing::warn!(%error, "failed to accept a connection");
                    tokio::time::sleep(Duration::from_millis(50)).await;
                    continue;
                }
            };
            let _ = stream.set_nodelay(true);
            let service = TowerToHyperService::new(router.clone());
            let token = token.clone();
            tokio::spawn(async move {
                let conn = http1::Builder::new()
                    .timer(TokioTimer::new())
                    .header_read_timeout(HEADER_TIMEOUT)
                    .serve_connection(TokioIo::new(stream), service);
                if let Some(Err(error)) = token.run_until_cancelled(conn).await {
                    tracing::debug!(%error, "connection failed");
                }
                drop(permit);
            });
        }
    };
    token.run_until_cancelled(accept).await;
}

impl Handle {
    /// Name of the worker.
    pub fn worker(&self) -> WorkerId {
        self.worker
    }

    /// Address on which the worker listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Random number drawn at the start of this worker.
    pub fn boot(&self) -> u64 {
        self.boot
    }

    /// Stops the worker like a killed process: all tasks and connections end at once.
    pub fn stop(&self) {
        if !self.token.is_cancelled() {
            self.token.cancel();
            self.event_log.add(WorkerEvent::Down);
        }
    }

    /// Whether the worker was stopped.
    pub fn is_stopped(&self) -> bool {
        self.token.is_cancelled()
    }

    /// Pauses or resumes announcements and heartbeats. Commands are served in either case.
    pub fn set_heartbeats_paused(&self, paused: bool) {
        let _ = self.input_tx.send(DriverInput::PauseHeartbeats(paused));
    }

    /// Makes the worker refuse starts from now on and tell its owner that it leaves.
    pub fn leave(&self) {
        let _ = self.input_tx.send(DriverInput::Leave);
    }

    /// Leaves and waits until all tasks and calls have ended and the owner has acknowledged all
    /// reports.
    ///
    /// Returns false if that takes longer than `timeout`.
    pub async fn drain(&self, timeout: Duration) -> bool {
        self.leave();
        let (tx, rx) = oneshot::channel();
        let _ = self.input_tx.send(DriverInput::WaitDrained(tx));
        matches!(tokio::time::timeout(timeout, rx).await, Ok(Ok(())))
    }

    /// Sets the faults that are injected into tasks and calls that start from now on.
    pub fn set_faults(&self, faults: FaultInjection) {
        self.faults.send_replace(faults);
    }

    /// All events so far in order of time.
    pub fn records(&self) -> Vec<EventRecord> {
        self.event_log.records()
    }

    /// State of the agent as JSON; `Null` after the worker was stopped.
    pub async fn dump(&self) -> Value {
        let (tx, rx) = oneshot::channel();
        let _ = self.input_tx.send(DriverInput::Dump(tx));
        rx.await.unwrap_or_default()
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.stop();
    }
}
