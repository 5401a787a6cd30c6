//! JSON-RPC middleware that passes incoming messages to the handler of the daemon.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use jsonrpsee::core::middleware::Batch;
use jsonrpsee::core::middleware::Notification;
use jsonrpsee::core::middleware::Request;
use jsonrpsee::core::middleware::RpcServiceT;
use jsonrpsee::server::MethodResponse;
use jsonrpsee::server::ResponsePayload;
use jsonrpsee::server::StopHandle;
use jsonrpsee::types::ErrorObject;
use jsonrpsee::types::Id;
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_json::value::RawValue;
use zinnia_types::Code;
use zinnia_types::ErrorBody;
use zinnia_types::ExecutionStatus;
use zinnia_types::VmId;

use crate::Settings;
use crate::counters::PeerTraffic;
use crate::message_order::MessageOrder;

/// Header with the cluster key.
pub(crate) const KEY_HEADER: &str = "x-zinnia-key";
/// Header with the VM id of the caller.
pub(crate) const VM_HEADER: &str = "x-zinnia-vm";
/// Header with the address of the caller.
pub(crate) const ADDR_HEADER: &str = "x-zinnia-addr";

/// JSON-RPC error code of an error from the handler. The `data` field contains the [`ErrorBody`].
const HANDLER_ERROR: i32 = -32_000;

pub(crate) type HandlerFuture = Pin<Box<dyn Future<Output = Result<Value, ErrorBody>> + Send>>;
pub(crate) type Handler = Arc<dyn Fn(VmId, String, Box<RawValue>) -> HandlerFuture + Send + Sync>;

/// Authenticated peer of a connection.
#[derive(Clone)]
pub(crate) struct Caller {
    pub(crate) vm: VmId,
    pub(crate) addr: Arc<str>,
    pub(crate) traffic: Arc<PeerTraffic>,
    /// Order of the one-way messages on this connection.
    pub(crate) order: Arc<MessageOrder>,
}

/// JSON-RPC service that calls the handler for each message of one connection.
#[derive(Clone)]
pub(crate) struct HandlerService<S> {
    /// Inner service of jsonrpsee. Its drop signals that no call of the connection is pending.
    pub(crate) _inner: S,
    pub(crate) settings: Arc<Settings>,
    pub(crate) handler: Handler,
    pub(crate) caller: Caller,
    pub(crate) stop: StopHandle,
}

fn parse_params<T: DeserializeOwned>(params: Option<&RawValue>) -> Result<T, ErrorBody> {
    let text = params.map_or("[]", RawValue::get);
    serde_json::from_str(text).map_err(|e| {
        let message = format!("invalid parameters: {e}");
        ErrorBody::new(Code::BadRequest, "decode", message)
    })
}

/// Runs a handler to completion, even if the connection breaks.
///
/// jsonrpsee drops the future of a message when its connection closes. A cancelled handler could
/// leave the state of the daemon partially updated.
async fn run_to_completion(future: HandlerFuture) -> Result<Value, ErrorBody> {
    tokio::spawn(future).await.unwrap_or_else(|e| {
        let message = format!("the handler failed: {e}");
        Err(ErrorBody::new(Code::Internal, "handle", message).ran(ExecutionStatus::Unknown))
    })
}

fn error_response(id: Id<'_>, body: &ErrorBody) -> MethodResponse {
    MethodResponse::error(
        id,
        ErrorObject::owned(HANDLER_ERROR, body.message.clone(), Some(body)),
    )
}

impl<S: Clone + Send + Sync + 'static> RpcServiceT for HandlerService<S> {
    type MethodResponse = MethodResponse;
    type NotificationResponse = MethodResponse;
    type BatchResponse = MethodResponse;

    fn call<'a>(&self, request: Request<'a>) -> impl Future<Output = MethodResponse> + Send + 'a {
        let this = self.clone();
        async move {
            let traffic = &this.caller.traffic;
            traffic.received_messages.add(1);
            let result = match parse_params::<(Box<RawValue>,)>(request.params.as_deref()) {
                Ok((value,)) => {
                    let method = request.method.clone().into_owned();
                    run_to_completion((this.handler)(this.caller.vm, method, value)).await
                }
                Err(e) => Err(e),
            };
            if this.settings.drops_messages_to(&this.caller.addr) {
                traffic.cut.add(1);
                this.stop.clone().shutdown().await;
            }
            traffic.sent_messages.add(1);
            let max_bytes = this.settings.max_message as usize;
            match result {
                Ok(value) => MethodResponse::response(
                    request.id,
                    ResponsePayload::success(&value),
                    max_bytes,
                ),
                Err(e) => error_response(request.id, &e),
            }
        }
    }

    fn batch<'a>(&self, _: Batch<'a>) -> impl Future<Output = MethodResponse> + Send + 'a {
        let body = ErrorBody::new(Code::BadRequest, "decode", "batches are not supported");
        async move { error_response(Id::Null, &body) }
    }

    fn notification<'a>(
        &self,
        message: Notification<'a>,
    ) -> impl Future<Output = MethodResponse> + Send + 'a {
        let this = self.clone();
        async move {
            this.caller.traffic.received_messages.add(1);
            let parsed = parse_params::<(Box<RawValue>, u64)>(message.params.as_deref());
            if let Ok((value, sequence)) = parsed {
                let method = message.method.clone().into_owned();
                let turn = this.caller.order.wait_turn(sequence).await;
                let future = (this.handler)(this.caller.vm, method, value);
                drop(turn);
                // A one-way message has no response, so the result is ignored.
                let _ = run_to_completion(future).await;
            }
            MethodResponse::notification()
        }
    }
}
