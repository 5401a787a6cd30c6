//! Start of a worker and the handle to it.

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
use zinnia_types::worker::Profile;

use crate::EventRecord;
use crate::FaultInjection;
use crate::Settings;
use crate::WorkerEvent;
use crate::input::Input;
use crate::record::EventLog;
use crate::server::App;
use crate::server::routes;
use crate::service::Services;
use crate::shell::Shell;

/// Slowest arrival of the head of a request.
///
/// It also ends idle connections, so it exceeds the time for which clients keep theirs: a request sent
/// while the worker closes the connection would have an unknown outcome.
const HEAD_TIMEOUT: Duration = Duration::from_secs(60);

/// Connections served at the same time; more wait to be accepted.
const MAX_CONNECTIONS: usize = 1_024;

/// A stand-in worker.
#[derive(Clone, Copy, Debug)]
pub struct Worker;

/// Handle to a running worker. Dropping it stops the worker.
#[derive(Debug)]
pub struct Handle {
    worker: WorkerId,
    addr: SocketAddr,
    boot: u64,
    shell: mpsc::UnboundedSender<Input>,
    faults: watch::Sender<FaultInjection>,
    log: EventLog,
    token: CancellationToken,
}

impl Worker {
    /// Starts a worker on the present tokio runtime.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be served or no random numbers are to be had.
    pub async fn spawn(settings: Settings) -> anyhow::Result<Handle> {
        let listener = TcpListener::bind(settings.listen)
            .await
            .with_context(|| format!("listen on {}", settings.listen))?;
        let addr = listener.local_addr().context("read the own address")?;
        let boot = getrandom::u64().map_err(|e| anyhow::anyhow!("draw a boot number: {e}"))?;
        // JSON readers lose integers above 2^53.
        let boot = boot >> 11;
        let mut agent = settings.agent.clone();
        agent.floor = first_epoch(boot);
        agent.seed = boot;
        let profile = Profile {
            worker: settings.worker,
            boot,
            addr: addr.to_string(),
            domain: settings.domain,
            rack: settings.rack,
            capacity: settings.capacity,
        };
        let timeout = agent.search.timeout_ms.max(agent.leases.heartbeat_ms / 2);
        let client = Client::new(Duration::from_millis(timeout));
        let (sender, inputs) = mpsc::unbounded_channel();
        let (faults, watcher) = watch::channel(settings.faults.clone());
        let log = EventLog::new(settings.worker);
        let services = Services::default();
        let token = CancellationToken::new();
        log.add(WorkerEvent::Up { boot });
        let shell = Shell {
            agent: Agent::new(agent, profile),
            client,
            inputs,
            sender: sender.clone(),
            services: services.clone(),
            service: settings.service.clone(),
            sample_interval: Duration::from_millis(settings.sample_interval_ms.max(1)),
            faults: watcher.clone(),
            log: log.clone(),
            token: token.clone(),
            tasks: BTreeMap::new(),
            asks: BTreeMap::new(),
            asked: 0,
            muted: false,
            drained: Vec::new(),
        };
        tokio::spawn(shell.run());
        let app = App {
            worker: settings.worker,
            shell: sender.clone(),
            services,
            faults: watcher,
            log: log.clone(),
        };
        let router = routes(app, settings.service.body_bytes);
        tokio::spawn(serve(listener, router, token.clone()));
        Ok(Handle {
            worker: settings.worker,
            addr,
            boot,
            shell: sender,
            faults,
            log,
            token,
        })
    }
}

/// Epochs of this boot lie above those of earlier boots, and boots of the same millisecond differ in
/// the low digits, so that no command to an earlier boot matches.
fn first_epoch(boot: u64) -> Epoch {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let ms = since.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(0));
    Epoch((ms << 10) | (boot & 0x3ff))
}

/// Accepts connections until the worker stops, which cuts them as the end of a process would.
async fn serve(listener: TcpListener, router: axum::Router, token: CancellationToken) {
    let room = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let accept = async {
        loop {
            let Ok(permit) = room.clone().acquire_owned().await else {
                return;
            };
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    tracing::warn!(%error, "accept failed");
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
                    .header_read_timeout(HEAD_TIMEOUT)
                    .serve_connection(TokioIo::new(stream), service);
                if let Some(Err(error)) = token.run_until_cancelled(conn).await {
                    tracing::debug!(%error, "connection ended");
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

    /// Address at which the worker serves.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Boot number.
    pub fn boot(&self) -> u64 {
        self.boot
    }

    /// Ends the worker like the end of its process: at once, with all tasks and connections.
    pub fn stop(&self) {
        if !self.token.is_cancelled() {
            self.token.cancel();
            self.log.add(WorkerEvent::Down);
        }
    }

    /// Whether the worker has ended.
    pub fn is_stopped(&self) -> bool {
        self.token.is_cancelled()
    }

    /// Pauses or resumes announcements and heartbeats. Commands are served in either case.
    pub fn set_heartbeats_paused(&self, paused: bool) {
        let _ = self.shell.send(Input::Mute(paused));
    }

    /// Announces that the worker leaves; it refuses starts from now on.
    pub fn leave(&self) {
        let _ = self.shell.send(Input::Leave);
    }

    /// Leaves and waits until nothing runs and the owner knows it all, at most `limit`.
    ///
    /// Returns whether that was reached.
    pub async fn drain(&self, limit: Duration) -> bool {
        self.leave();
        let (tx, rx) = oneshot::channel();
        let _ = self.shell.send(Input::Drained(tx));
        matches!(tokio::time::timeout(limit, rx).await, Ok(Ok(())))
    }

    /// Sets the faults that are injected into tasks and calls that start from now on.
    pub fn set_faults(&self, faults: FaultInjection) {
        self.faults.send_replace(faults);
    }

    /// Everything observed so far, in order of time.
    pub fn records(&self) -> Vec<EventRecord> {
        self.log.records()
    }

    /// State of the agent; `Null` after the worker has stopped.
    pub async fn dump(&self) -> Value {
        let (tx, rx) = oneshot::channel();
        let _ = self.shell.send(Input::Dump(tx));
        rx.await.unwrap_or_default()
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.stop();
    }
}
