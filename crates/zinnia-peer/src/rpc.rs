//! Hands incoming messages to the daemon's handler.

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
use zinnia_types::Ran;
use zinnia_types::VmId;

use crate::Settings;
use crate::counters::Traffic;
use crate::order::Order;

/// Header with the cluster key.
pub(crate) const KEY_HEADER: &str = "x-zinnia-key";
/// Header with the caller's VM id.
pub(crate) const VM_HEADER: &str = "x-zinnia-vm";
/// Header with the caller's own address.
pub(crate) const ADDR_HEADER: &str = "x-zinnia-addr";

/// JSON-RPC error code of a refusal by the handler; the refusal is in the error's data.
const REFUSED: i32 = -32_000;

pub(crate) type Answer = Pin<Box<dyn Future<Output = Result<Value, ErrorBody>> + Send>>;
pub(crate) type Handler = Arc<dyn Fn(VmId, String, Box<RawValue>) -> Answer + Send + Sync>;

/// The authenticated peer behind a connection.
#[derive(Clone)]
pub(crate) struct Caller {
    pub(crate) vm: VmId,
    pub(crate) addr: Arc<str>,
    pub(crate) traffic: Arc<Traffic>,
    /// Order of the one-way messages on this connection.
    pub(crate) order: Arc<Order>,
}

/// Calls the handler for every message of one connection.
#[derive(Clone)]
pub(crate) struct Dispatch<S> {
    /// Kept because its drop tells the server that no call is pending any more.
    pub(crate) _inner: S,
    pub(crate) settings: Arc<Settings>,
    pub(crate) handler: Handler,
    pub(crate) caller: Caller,
    pub(crate) stop: StopHandle,
}

fn parameters<T: DeserializeOwned>(params: Option<&RawValue>) -> Result<T, ErrorBody> {
    let text = params.map_or("[]", RawValue::get);
    serde_json::from_str(text).map_err(|e| {
        let why = format!("unexpected parameters: {e}");
        ErrorBody::new(Code::BadRequest, "decode", why)
    })
}

/// Runs the handler to its end even when the connection breaks.
///
/// The library drops the future of a message together with its connection, and a handler that stops
/// halfway would leave the daemon's state half changed.
async fn to_the_end(answer: Answer) -> Result<Value, ErrorBody> {
    tokio::spawn(answer).await.unwrap_or_else(|e| {
        let why = format!("the handler did not end: {e}");
        Err(ErrorBody::new(Code::Internal, "handle", why).ran(Ran::Unknown))
    })
}

fn refuse(id: Id<'_>, body: &ErrorBody) -> MethodResponse {
    MethodResponse::error(
        id,
        ErrorObject::owned(REFUSED, body.message.clone(), Some(body)),
    )
}

impl<S: Clone + Send + Sync + 'static> RpcServiceT for Dispatch<S> {
    type MethodResponse = MethodResponse;
    type NotificationResponse = MethodResponse;
    type BatchResponse = MethodResponse;

    fn call<'a>(&self, request: Request<'a>) -> impl Future<Output = MethodResponse> + Send + 'a {
        let this = self.clone();
        async move {
            let traffic = &this.caller.traffic;
            traffic.received_messages.add(1);
            let answer = match parameters::<(Box<RawValue>,)>(request.params.as_deref()) {
                Ok((value,)) => {
                    let method = request.method.clone().into_owned();
                    to_the_end((this.handler)(this.caller.vm, method, value)).await
                }
                Err(e) => Err(e),
            };
            if this.settings.drops_messages_to(&this.caller.addr) {
                traffic.cut.add(1);
                this.stop.clone().shutdown().await;
            }
            traffic.sent_messages.add(1);
            let limit = this.settings.max_message as usize;
            match answer {
                Ok(value) => {
                    MethodResponse::response(request.id, ResponsePayload::success(&value), limit)
                }
                Err(e) => refuse(request.id, &e),
            }
        }
    }

    fn batch<'a>(&self, _: Batch<'a>) -> impl Future<Output = MethodResponse> + Send + 'a {
        let body = ErrorBody::new(Code::BadRequest, "decode", "batches are not supported");
        async move { refuse(Id::Null, &body) }
    }

    fn notification<'a>(
        &self,
        message: Notification<'a>,
    ) -> impl Future<Output = MethodResponse> + Send + 'a {
        let this = self.clone();
        async move {
            this.caller.traffic.received_messages.add(1);
            let parsed = parameters::<(Box<RawValue>, u64)>(message.params.as_deref());
            if let Ok((value, number)) = parsed {
                let method = message.method.clone().into_owned();
                let turn = this.caller.order.turn(number).await;
                let answer = (this.handler)(this.caller.vm, method, value);
                drop(turn);
                // A one-way message has no answer, so a refusal has nowhere to go.
                let _ = to_the_end(answer).await;
            }
            MethodResponse::notification()
        }
    }
}
