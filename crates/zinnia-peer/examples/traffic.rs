//! Measures the bytes of an idle connection and of a message, TCP and IP headers not included.
//!
//! `cargo run --release -p zinnia-peer --example traffic [SECONDS]`

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

/// Messages per measurement.
const MESSAGES: u64 = 1_000;
/// Bytes of the value in each message.
const SIZE: usize = 300;

async fn answer(_: VmId, _: String, value: Box<RawValue>) -> Result<Value, ErrorBody> {
    Ok(Value::from(value.get().len()))
}

fn print(what: &str, before: PeerCounters, after: PeerCounters, per: u64) {
    let sent = (after.sent_bytes - before.sent_bytes) as f64 / per as f64;
    let received = (after.received_bytes - before.received_bytes) as f64 / per as f64;
    println!("{what}: {sent:.1} bytes sent, {received:.1} received");
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
    let server = serve("127.0.0.1:0".parse()?, settings.clone(), answer).await?;
    let addr = server.addr().to_string();
    let links = Links::new(settings, VmId(1));
    let read = || links.counters().get(&addr).copied().unwrap_or_default();
    // Quotes are part of the value.
    let value = "x".repeat(SIZE - 2);

    links.call::<_, u64>(&addr, "m", &value).await?;
    print(
        "connecting and one call",
        PeerCounters::default(),
        read(),
        1,
    );
    let before = read();
    for _ in 0..MESSAGES {
        links.call::<_, u64>(&addr, "m", &value).await?;
    }
    print("call of 300 bytes, each", before, read(), MESSAGES);
    let before = read();
    for _ in 0..MESSAGES {
        links.notify(&addr, "m", &value);
    }
    while read().sent_messages < before.sent_messages + MESSAGES {
        sleep(Duration::from_millis(10)).await;
    }
    sleep(Duration::from_millis(100)).await;
    print("notification of 300 bytes, each", before, read(), MESSAGES);
    let before = read();
    sleep(Duration::from_secs(seconds)).await;
    print("idle connection, each second", before, read(), seconds);
    Ok(())
}
