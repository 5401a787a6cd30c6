//! Measures the traffic of an idle connection and of a message, without TCP and IP headers.
//!
//! Usage: `cargo run --release -p zinnia-peer --example traffic [SECONDS]`

use std::time::Duration;

use serde_json::Value;
use serde_json::value::RawValue;
use tokio::time::sleep;
use zinnia_peer::ClusterKey;
use zinnia_peer::Links;
use zinnia_peer::PeerCounters;
use zinnia_peer::Settings;
use zinnia_peer::serve;
use zinnia_types::ErrorBody;
use zinnia_types::VmId;

/// Number of messages per measurement.
const MESSAGES: u64 = 1_000;
/// Size of the value in each message, in bytes.
const VALUE_BYTES: usize = 300;

/// Answers each call with the size of its value.
async fn handle(_: VmId, _: String, value: Box<RawValue>) -> Result<Value, ErrorBody> {
    Ok(Value::from(value.get().len()))
}

/// Prints the traffic between two readings of the counters, divided by `units`.
fn print_average(label: &str, before: PeerCounters, after: PeerCounters, units: u64) {
    let sent = (after.sent_bytes - before.sent_bytes) as f64 / units as f64;
    let received = (after.received_bytes - before.received_bytes) as f64 / units as f64;
    println!("{label}: {sent:.1} bytes sent, {received:.1} received");
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let seconds = std::env::args()
        .nth(1)
        .map_or(Ok(60), |text| text.parse())?;
    let settings = Settings {
        addr: "127.0.0.1:9".to_owned(),
        ..Settings::new(ClusterKey::new("0123456789abcdef")?)
    };
    let server = serve("127.0.0.1:0".parse()?, settings.clone(), handle).await?;
    let addr = server.addr().to_string();
    let links = Links::new(settings, VmId(1));
    let read_counters = || links.counters().get(&addr).copied().unwrap_or_default();
    // The two quotes of the JSON string are part of the value.
    let value = "x".repeat(VALUE_BYTES - 2);

    links.call::<_, u64>(&addr, "m", &value).await?;
    print_average(
        "connection and first call",
        PeerCounters::default(),
        read_counters(),
        1,
    );
    let before = read_counters();
    for _ in 0..MESSAGES {
        links.call::<_, u64>(&addr, "m", &value).await?;
    }
    print_average(
        "call with a value of 300 bytes",
        before,
        read_counters(),
        MESSAGES,
    );
    let before = read_counters();
    for _ in 0..MESSAGES {
        links.notify(&addr, "m", &value);
    }
    while read_counters().sent_messages < before.sent_messages + MESSAGES {
        sleep(Duration::from_millis(10)).await;
    }
    sleep(Duration::from_millis(100)).await;
    print_average(
        "one-way message with a value of 300 bytes",
        before,
        read_counters(),
        MESSAGES,
    );
    let before = read_counters();
    sleep(Duration::from_secs(seconds)).await;
    print_average(
        "idle connection, per second",
        before,
        read_counters(),
        seconds,
    );
    Ok(())
}
