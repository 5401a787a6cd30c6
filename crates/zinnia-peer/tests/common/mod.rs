//! Test servers on the loopback interface.
#![expect(clippy::unwrap_used, reason = "a failed fixture must stop the test")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use serde_json::value::RawValue;
use tokio::time::Instant;
use tokio::time::sleep;
use zinnia_peer::ClusterKey;
use zinnia_peer::Server;
use zinnia_peer::Settings;
use zinnia_peer::serve;
use zinnia_types::Code;
use zinnia_types::ErrorBody;
use zinnia_types::VmId;

pub(crate) const KEY: &str = "0123456789abcdef-loopback";
pub(crate) const LOCAL_VM: VmId = VmId(7);

pub(crate) fn settings() -> Settings {
    Settings {
        addr: "127.0.0.1:9".to_owned(),
        ..Settings::new(ClusterKey::new(KEY).unwrap())
    }
}

/// Values that a server received, in order.
pub(crate) type ReceivedValues = Arc<Mutex<Vec<Value>>>;

/// Starts a server that records every value. It answers `who` with the VM id of the caller, `slow`
/// with the value after that many milliseconds, `refuse` with an error, and other methods with the
/// value.
pub(crate) async fn start_server(
    listen: SocketAddr,
    settings: Settings,
    received: ReceivedValues,
) -> Server {
    let handler = move |caller: VmId, method: String, value: Box<RawValue>| {
        let value: Value = serde_json::from_str(value.get()).unwrap();
        received.lock().unwrap().push(value.clone());
        async move {
            match method.as_str() {
                "who" => Ok(json!(caller)),
                "slow" => {
                    sleep(Duration::from_millis(value.as_u64().unwrap())).await;
                    Ok(value)
                }
                "refuse" => Err(ErrorBody::new(Code::Conflict, "apply", "version conflict")),
                _ => Ok(value),
            }
        }
    };
    // Retry, because the port of a server that was just stopped may still be in use.
    let deadline = Instant::now() + Duration::from_secs(5);
    loop {
        match serve(listen, settings.clone(), handler.clone()).await {
            Ok(server) => return server,
            Err(e) => assert!(Instant::now() < deadline, "{listen}: {e}"),
        }
        sleep(Duration::from_millis(20)).await;
    }
}

/// Returns a loopback address with port 0, for which the system chooses a free port.
pub(crate) fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}
