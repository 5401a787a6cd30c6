//! Mock VM that accepts every worker, and fixtures of the worker tests.

#![expect(
    clippy::unwrap_used,
    clippy::panic,
    reason = "a failed fixture must stop the test"
)]

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use axum::Json;
use axum::Router;
use axum::body::Bytes;
use axum::extract::State;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::post;
use http::Method;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use tokio::net::TcpListener;
use zinnia_http::Client;
use zinnia_types::AttemptId;
use zinnia_types::Class;
use zinnia_types::Code;
use zinnia_types::DomainId;
use zinnia_types::ErrorBody;
use zinnia_types::JobId;
use zinnia_types::RackId;
use zinnia_types::Resources;
use zinnia_types::ServiceId;
use zinnia_types::TeamId;
use zinnia_types::Urgency;
use zinnia_types::VmId;
use zinnia_types::WorkerId;
use zinnia_types::worker::Announce;
use zinnia_types::worker::AnnounceReply;
use zinnia_types::worker::Heartbeat;
use zinnia_types::worker::HeartbeatReply;
use zinnia_types::worker::Task;

use zinnia_worker::Settings;

/// Messages that a mock VM received, and settings of its answers.
#[derive(Debug, Default)]
pub(crate) struct MockVmState {
    pub(crate) announces: Vec<Announce>,
    pub(crate) heartbeats: Vec<Heartbeat>,
    /// Owner lease and task lease that the VM grants, in milliseconds; zeros stand for 10 s and 30 s.
    pub(crate) leases: (u64, u64),
    /// Whether to answer all messages with "not found", like a VM that does not own the worker.
    pub(crate) refuse_all: bool,
}

/// Mock VM that serves the routes for workers; clones share the state.
#[derive(Clone, Default)]
pub(crate) struct MockVm {
    pub(crate) addr: String,
    pub(crate) state: Arc<Mutex<MockVmState>>,
}

impl MockVm {
    pub(crate) async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let vm = Self {
            addr: listener.local_addr().unwrap().to_string(),
            state: Arc::default(),
        };
        let router = Router::new()
            .route("/v1/workers/announce", post(announce))
            .route("/v1/workers/heartbeat", post(heartbeat))
            .with_state(vm.clone());
        tokio::spawn(async move { axum::serve(listener, router).await });
        vm
    }

    /// Waits up to 5 s until `condition` holds for the received messages.
    pub(crate) async fn wait_until(&self, what: &str, condition: impl Fn(&MockVmState) -> bool) {
        for _ in 0..500 {
            if condition(&self.state.lock().unwrap()) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        panic!(
            "timed out after 5 s: {what}; received: {:?}",
            self.state.lock().unwrap()
        );
    }

    /// Epoch of the last accepted announcement.
    pub(crate) fn last_epoch(&self) -> zinnia_types::Epoch {
        self.state.lock().unwrap().announces.last().unwrap().epoch
    }
}

async fn announce(State(vm): State<MockVm>, Json(message): Json<Announce>) -> Response {
    let mut state = vm.state.lock().unwrap();
    if state.refuse_all {
        return not_found_response();
    }
    state.announces.push(message);
    let (owner_ms, task_ms) = match state.leases {
        (0, 0) => (10_000, 30_000),
        leases => leases,
    };
    let reply = AnnounceReply::Accepted {
        owner: VmId(1),
        owner_ms,
        task_ms,
        vms: vec![vm.addr.clone()],
        refuse: Vec::new(),
    };
    Json(reply).into_response()
}

/// Parses the body as JSON without a check of the content type, because heartbeats carry none.
async fn heartbeat(State(vm): State<MockVm>, body: Bytes) -> Response {
    let message: Heartbeat = serde_json::from_slice(&body).unwrap();
    let mut state = vm.state.lock().unwrap();
    if state.refuse_all {
        return not_found_response();
    }
    let reply = HeartbeatReply {
        seq: message.seq,
        renew: true,
        ..HeartbeatReply::default()
    };
    state.heartbeats.push(message);
    Json(reply).into_response()
}

fn not_found_response() -> Response {
    let body = ErrorBody::new(Code::NotFound, "heartbeat", "no such worker");
    (axum::http::StatusCode::NOT_FOUND, Json(body)).into_response()
}

/// Settings of a worker with 4 cores that knows only `vm`.
pub(crate) fn settings(vm: &MockVm) -> Settings {
    let capacity = Resources {
        cpu: 4_000,
        mem: 4_096,
        gpu: 0,
    };
    let mut settings = Settings::new(
        WorkerId::new("w1").unwrap(),
        DomainId::new("d1").unwrap(),
        RackId::new("r1").unwrap(),
        capacity,
        vec![vm.addr.clone()],
    );
    settings.agent.search.jitter_ms = 10;
    settings
}

pub(crate) fn attempt(number: u32) -> AttemptId {
    AttemptId {
        job: JobId(7),
        task: 0,
        term: 1,
        number,
    }
}

pub(crate) fn task(service: Option<&str>, payload: Value) -> Task {
    Task {
        team: TeamId::new("press").unwrap(),
        class: if service.is_some() {
            Class::Service
        } else {
            Class::Batch
        },
        urgency: Urgency::Normal,
        repeat: true,
        need: Resources {
            cpu: 1_000,
            mem: 512,
            gpu: 0,
        },
        service: service.map(|s| ServiceId::new(s).unwrap()),
        payload,
    }
}

/// Sends a POST request with `body` as JSON and decodes the answer.
pub(crate) async fn post_to<Q: Serialize, A: DeserializeOwned>(
    addr: &str,
    path: &str,
    body: &Q,
) -> Result<A, ErrorBody> {
    let client = Client::new(Duration::from_secs(5));
    let (status, bytes) = client
        .send(Method::POST, addr, path, None, body)
        .await
        .unwrap();
    zinnia_http::decode_response(status, &bytes, addr)
}
