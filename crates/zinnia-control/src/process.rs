//! Starts a process, and handles the messages of other processes.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_json::value::RawValue;
use zinnia_peer::Links;
use zinnia_peer::Server;
use zinnia_plan::RelayedHeartbeat;
use zinnia_plan::StepId;
use zinnia_replica::clock;
use zinnia_types::Code;
use zinnia_types::ErrorBody;
use zinnia_types::JobId;
use zinnia_types::VmId;

use crate::Answer;
use crate::Gateway;
use crate::Member;
use crate::Request;
use crate::Settings;
use crate::Transport;
use crate::context::MemberContext;
use crate::context::PolicyClient;
use crate::heartbeat_relay::HEARTBEATS_METHOD;
use crate::message::Hello;
use crate::message::HelloReply;
use crate::message::LEAVE_METHOD;
use crate::message::LeaveReply;
use crate::message::RAFT_METHOD;

/// Time after which a caller may try again if the leader has no memory for its request.
const BUSY_RETRY_MS: u64 = 1_000;

/// A running process of the cell.
pub struct Process {
    /// Client of the leader.
    pub gateway: Arc<Gateway>,
    /// The member of the log, if the process is one.
    pub member: Option<Member>,
    _server: Server,
}

impl Process {
    /// Starts a process with the parts that the settings require.
    ///
    /// # Errors
    ///
    /// Fails if the data folder or the peer address cannot be used.
    pub async fn start(settings: Settings, transport: Transport) -> Result<Self> {
        let links = settings.link_settings()?;
        let member = match &settings.data_dir {
            Some(_) => Some(Member::start(&settings, &transport)?),
            None => None,
        };
        let context = member.as_ref().map(|m| Arc::clone(&m.context));
        let own_id = context
            .as_ref()
            .map_or_else(|| Settings::founder_id(&links.addr), |c| c.id);
        let own_links = match &context {
            Some(context) => context.links.clone(),
            None => Links::new(links.clone(), own_id),
        };
        let hello = Hello {
            peer: settings.peer_addr.to_string(),
            control: settings.control_addr.clone(),
            member: context.is_some(),
        };
        let gateway = Arc::new(Gateway::new(
            own_links,
            hello,
            settings.seeds.clone(),
            context.clone(),
            settings.plan.load.bounded,
        ));
        let handler = move |vm: VmId, method: String, value: Box<RawValue>| {
            handle(context.clone(), transport.clone(), vm, method, value)
        };
        let bind = settings.bind_addr.unwrap_or(settings.peer_addr);
        let server = match zinnia_peer::serve(bind, links, handler).await {
            Ok(server) => server,
            Err(error) => {
                // The member's tasks would hold its data folder until the process ends.
                if let Some(member) = &member {
                    member.stop().await;
                }
                return Err(error).with_context(|| format!("cannot listen on {bind}"));
            }
        };
        tokio::spawn(Arc::clone(&gateway).run_discovery());
        tokio::spawn(Arc::clone(&gateway).run_heartbeat_relay());
        Ok(Self {
            gateway,
            member,
            _server: server,
        })
    }
}

fn decode<T: DeserializeOwned>(value: &RawValue) -> Result<T, ErrorBody> {
    serde_json::from_str(value.get())
        .map_err(|e| ErrorBody::new(Code::BadRequest, "decode", e.to_string()))
}

fn encode<T: serde::Serialize>(value: &T) -> Result<Value, ErrorBody> {
    serde_json::to_value(value).map_err(|e| ErrorBody::new(Code::Internal, "encode", e.to_string()))
}

/// Handles a message of another process.
///
/// Log messages are passed to the log thread before the future is returned, so that they keep their
/// order.
fn handle(
    context: Option<Arc<MemberContext>>,
    transport: Transport,
    vm: VmId,
    method: String,
    value: Box<RawValue>,
) -> impl Future<Output = Result<Value, ErrorBody>> + Send {
    let raft = method == RAFT_METHOD;
    if raft && let Some(replica) = context.as_ref().and_then(|c| c.replica.get()) {
        match decode(&value) {
            Ok(message) => replica.receive(vm, message),
            Err(error) => {
                tracing::warn!(event = "raft", peer = %vm, %error, "cannot decode a raft message");
            }
        }
    }
    async move {
        match (method.as_str(), context) {
            (RAFT_METHOD, _) => Ok(Value::Null),
            ("advise", _) => {
                let (job, round, step, workers): (JobId, u32, u32, Vec<String>) = decode(&value)?;
                let step = StepId { job, round, step };
                encode(&(transport.query_policy)((step, workers)).await)
            }
            ("ask", Some(context)) => {
                let length = value.get().len();
                let max = context.settings.max_open_bytes;
                let Some(_hold) = context.message_memory.hold(length, max) else {
                    return encode(&Answer::Busy(BUSY_RETRY_MS));
                };
                let request: Request = decode(&value)?;
                encode(&context.handle(request).await)
            }
            (HEARTBEATS_METHOD, Some(context)) => {
                let list: Vec<RelayedHeartbeat> = decode(&value)?;
                context.record_heartbeats(&list);
                Ok(Value::Null)
            }
            (LEAVE_METHOD, Some(context)) => {
                // Without the lead the member asks again.
                let wait = !context.is_leader() || crate::member::record_leaving(&context, vm);
                encode(&LeaveReply { wait })
            }
            ("hello", Some(context)) => {
                let hello: Hello = decode(&value)?;
                encode(&handle_hello(&context, vm, &hello))
            }
            _ => {
                let why = format!("this process does not handle the method {method}");
                Err(ErrorBody::new(Code::Unavailable, "handle", why))
            }
        }
    }
}

fn handle_hello(context: &Arc<MemberContext>, vm: VmId, hello: &Hello) -> HelloReply {
    let ready = context.is_leader();
    if hello.member {
        context.record_address(vm, &hello.peer);
    }
    if ready {
        let mut cell = context.cell_state();
        let now = clock::now();
        let client = cell.policy_clients.entry(hello.peer.clone());
        client.or_insert_with(|| PolicyClient::new(now)).last_seen = now;
        drop(cell);
        if hello.member {
            crate::member::update_member(context, vm, hello);
        }
    }
    let leader = context.leader();
    let heartbeat_addrs = match ready {
        true => context.heartbeat_addrs(),
        false => Vec::new(),
    };
    let members = context.read(|n| {
        let row = |m: &zinnia_raft::Member| (m.id, m.peer.clone());
        n.members().iter().map(row).collect()
    });
    HelloReply {
        clock: context.leader_time(),
        control: leader.as_ref().map(|(_, control)| control.clone()),
        heartbeat_addrs,
        leader: leader.map(|(peer, _)| peer),
        members: members.unwrap_or_default(),
        ready,
    }
}

impl Process {
    /// Data for a state dump.
    pub fn dump(&self) -> Value {
        let member = self.member.as_ref().map(Member::dump);
        let gateway: BTreeMap<_, _> = self.gateway.dump();
        serde_json::json!({ "gateway": gateway, "member": member })
    }

    /// Prepares the shutdown: hands the vote of the member of the log over, if there is one and another member
    /// can take it. Returns after `limit` at the latest.
    pub async fn leave(&self, limit: Duration) {
        if let Some(member) = &self.member {
            member.leave(limit).await;
        }
    }

    /// Stops the member of the log, if there is one.
    pub async fn stop(&self) {
        /// Timeout for the log thread to stop.
        const STOP_TIMEOUT: Duration = Duration::from_secs(1);
        if let Some(member) = &self.member {
            let stopped = tokio::time::timeout(STOP_TIMEOUT, member.stop()).await;
            if stopped.is_err() {
                tracing::warn!(event = "stop", "the log thread did not stop in time");
            }
        }
    }
}
