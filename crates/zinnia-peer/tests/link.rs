//! Links whose peers restart, are cut off or do not take messages.

mod common;

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use common::ME;
use common::Seen;
use common::any;
use common::echo;
use common::settings;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::sleep;
use zinnia_peer::CallStep;
use zinnia_peer::ClusterKey;
use zinnia_peer::ClusterKeyError;
use zinnia_peer::DropFilter;
use zinnia_peer::Links;
use zinnia_peer::PingSettings;
use zinnia_peer::QueueLimits;
use zinnia_peer::Settings;
use zinnia_types::VmId;

/// Waits until `done` holds; fails after 10 s.
async fn until(what: &str, done: impl Fn() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(10);
    while !done() {
        assert!(Instant::now() < deadline, "{what} within 10 s");
        sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against a link that stays down after its peer came back, and against a refused
/// connection that is reported as possibly sent.
#[tokio::test]
async fn link_reconnects_after_the_server_restarted() {
    let seen = Seen::default();
    let server = echo(any(), settings(), seen.clone()).await;
    let listen = server.addr();
    let addr = listen.to_string();
    let links = Links::new(settings(), ME);
    let first = links.call::<_, u64>(&addr, "echo", &1).await;
    assert_eq!(first, Ok(1));
    server.stop().await;
    let deadline = Instant::now() + Duration::from_secs(10);
    loop {
        let error = links.call::<_, u64>(&addr, "echo", &2).await.unwrap_err();
        if error.step == CallStep::Connect {
            assert!(!error.maybe_sent, "{error}");
            break;
        }
        assert!(Instant::now() < deadline, "{error}");
    }
    links.notify(&addr, "echo", "kept while down");
    until("an attempt fails", || links.counters()[&addr].failures >= 1).await;
    let server = echo(listen, settings(), seen.clone()).await;
    until("the kept message arrives", || {
        seen.lock().unwrap().contains(&json!("kept while down"))
    })
    .await;
    let again = links.call::<_, u64>(&addr, "echo", &3).await;
    assert_eq!(again, Ok(3));
    assert_eq!(links.counters()[&addr].connects, 2);
    server.stop().await;
}

/// Guards against a cut that leaks messages or answers, or that also stops the other direction.
#[tokio::test]
async fn cut_stops_one_direction_only() {
    let closed = Arc::new(AtomicBool::new(true));
    let cut: DropFilter = Arc::new({
        let closed = closed.clone();
        move |_| closed.load(Ordering::Relaxed)
    });
    let cutting = Settings {
        drop_filter: Some(cut),
        call_timeout: Duration::from_millis(200),
        ..settings()
    };
    let open = Settings {
        call_timeout: Duration::from_millis(200),
        ..settings()
    };
    let near = Seen::default();
    let far = Seen::default();
    let near_server = echo(any(), cutting.clone(), near.clone()).await;
    let far_server = echo(any(), open.clone(), far.clone()).await;
    let near_addr = near_server.addr().to_string();
    let far_addr = far_server.addr().to_string();
    let near_links = Links::new(cutting, ME);
    let far_links = Links::new(open, ME);

    near_links.notify(&far_addr, "echo", "lost");
    let lost = near_links.call::<_, Value>(&far_addr, "echo", &1).await;
    let lost = lost.unwrap_err();
    assert!(lost.timed_out && lost.maybe_sent, "{lost}");
    far_links.notify(&near_addr, "echo", "arrives");
    let unanswered = far_links.call::<_, Value>(&near_addr, "echo", &2).await;
    assert!(
        unanswered.unwrap_err().timed_out,
        "the answer is cut as well"
    );
    until("the open direction delivers", || {
        near.lock().unwrap().len() == 2
    })
    .await;
    assert!(far.lock().unwrap().is_empty());
    assert_eq!(near_links.counters()[&far_addr].cut, 2);

    closed.store(false, Ordering::Relaxed);
    let healed = near_links.call::<_, u64>(&far_addr, "echo", &3).await;
    assert_eq!(healed, Ok(3));
    let healed = far_links.call::<_, u64>(&near_addr, "echo", &4).await;
    assert_eq!(healed, Ok(4));
}

struct Overflow {
    name: &'static str,
    bound: QueueLimits,
    kept: Vec<Value>,
    dropped: u64,
}

/// Guards against a queue that grows without bound, blocks, or drops the newest message.
#[tokio::test]
async fn overflow_drops_the_oldest() {
    let many = usize::MAX;
    let cases = [
        Overflow {
            name: "messages",
            bound: QueueLimits {
                max_messages: 3,
                max_bytes: many,
            },
            kept: vec![json!(7), json!(8), json!(9)],
            dropped: 7,
        },
        Overflow {
            name: "bytes",
            // Each message has 4 bytes of method and 3 of parameters.
            bound: QueueLimits {
                max_messages: many,
                max_bytes: 14,
            },
            kept: vec![json!(8), json!(9)],
            dropped: 8,
        },
        Overflow {
            name: "a single message above the bound",
            bound: QueueLimits {
                max_messages: many,
                max_bytes: 1,
            },
            kept: vec![json!(9)],
            dropped: 9,
        },
    ];
    for case in cases {
        // The port is free but nothing listens, so that messages queue up.
        let free = TcpListener::bind(any()).await.unwrap();
        let listen = free.local_addr().unwrap();
        drop(free);
        let addr = listen.to_string();
        let links = Links::new(
            Settings {
                queue: case.bound,
                ..settings()
            },
            ME,
        );
        let start = Instant::now();
        for i in 0..10 {
            links.notify(&addr, "echo", &i);
        }
        assert_eq!(start.elapsed().as_secs(), 0, "{}: notify blocks", case.name);
        assert_eq!(
            links.counters()[&addr].overflowed,
            case.dropped,
            "{}",
            case.name
        );
        let seen = Seen::default();
        let _server = echo(listen, settings(), seen.clone()).await;
        until(case.name, || seen.lock().unwrap().len() >= case.kept.len()).await;
        let mut got = seen.lock().unwrap().clone();
        got.sort_by_key(Value::as_u64);
        assert_eq!(got, case.kept, "{}", case.name);
    }
}

/// Guards against calls and notifications that wait for ever on a peer that accepts the connection
/// and then says nothing, as a paused process does.
#[tokio::test]
async fn silent_peer_is_given_up() {
    let silent = TcpListener::bind(any()).await.unwrap();
    let addr = silent.local_addr().unwrap().to_string();
    let ours = Settings {
        connect_timeout: Duration::from_millis(100),
        ..settings()
    };
    let links = Links::new(ours, ME);
    let error = links.call::<_, Value>(&addr, "echo", &1).await.unwrap_err();
    assert_eq!(
        (error.step, error.maybe_sent),
        (CallStep::Connect, false),
        "{error}"
    );
}

/// Guards against a link that keeps an established connection to a peer that vanished without
/// closing it.
#[tokio::test]
async fn vanished_peer_is_noticed_by_pings() {
    let server = echo(any(), settings(), Seen::default()).await;
    let relay = TcpListener::bind(any()).await.unwrap();
    let addr = relay.local_addr().unwrap().to_string();
    let target = server.addr();
    let hold = Arc::new(AtomicBool::new(false));
    let held = hold.clone();
    // Passes bytes on until it is told to hold them back, and keeps all sockets open.
    let task = tokio::spawn(async move {
        let mut kept = Vec::new();
        while let Ok((near, _)) = relay.accept().await {
            let far = TcpStream::connect(target).await.unwrap();
            let mut buf = [0; 4_096];
            loop {
                tokio::select! {
                    _ = near.readable() => if let Ok(n) = near.try_read(&mut buf) {
                        if n == 0 { break; }
                        let _ = far.try_write(&buf[..n]);
                    },
                    _ = far.readable() => if let Ok(n) = far.try_read(&mut buf) {
                        if n == 0 { break; }
                        let _ = near.try_write(&buf[..n]);
                    },
                }
                if held.load(Ordering::Relaxed) {
                    break;
                }
            }
            kept.push((near, far));
            if held.load(Ordering::Relaxed) {
                std::future::pending::<()>().await;
            }
        }
    });
    let ours = Settings {
        ping: PingSettings {
            interval: Duration::from_millis(50),
            timeout: Duration::from_millis(200),
        },
        ..settings()
    };
    let links = Links::new(ours, ME);
    let first = links.call::<_, u64>(&addr, "echo", &1).await;
    assert_eq!(first, Ok(1));
    hold.store(true, Ordering::Relaxed);
    let cut_off = links.call::<_, u64>(&addr, "echo", &2).await;
    let error = cut_off.unwrap_err();
    assert!(
        error.maybe_sent && !error.timed_out,
        "closed by the ping, not by the call's timeout: {error}"
    );
    task.abort();
}

/// Guards against a key that is empty, guessable or not fit for a header.
#[test]
fn keys_are_checked() {
    struct Case(&'static str, Option<ClusterKeyError>);
    let cases = [
        Case("", Some(ClusterKeyError::InvalidLength)),
        Case("short", Some(ClusterKeyError::InvalidLength)),
        Case("   0123456789abcde ", Some(ClusterKeyError::InvalidLength)),
        Case("0123456789abcdef\n", None),
        Case("0123456789 abcdef", Some(ClusterKeyError::InvalidCharacter)),
        Case("0123456789abcdeé", Some(ClusterKeyError::InvalidCharacter)),
    ];
    for Case(text, want) in cases {
        assert_eq!(ClusterKey::new(text).err(), want, "{text:?}");
    }
}

/// Guards against connections without bound, and against strangers that keep peers out by opening
/// connections and saying nothing.
#[tokio::test]
async fn connections_are_bounded() {
    let few = Settings {
        max_connections: 2,
        connect_timeout: Duration::from_millis(500),
        ..settings()
    };
    let server = echo(any(), few.clone(), Seen::default()).await;
    let addr = server.addr().to_string();
    let mut links = Vec::new();
    for vm in 0..3 {
        let link = Links::new(settings(), VmId(vm));
        let got = link.call::<_, u64>(&addr, "echo", &vm).await;
        match got {
            Ok(_) => assert!(vm < 2, "a third connection is open"),
            Err(e) => assert!(
                vm == 2 && e.step == CallStep::Connect && !e.maybe_sent,
                "{vm}: {e}"
            ),
        }
        links.push(link);
    }
    // Longer than the time for connecting, which must not end a connection that is open.
    sleep(Duration::from_millis(700)).await;
    let open = links[0].call::<_, u64>(&addr, "echo", &1).await;
    assert_eq!(open, Ok(1));
    assert_eq!(links[0].counters()[&addr].connects, 1);
    drop(links);
    let mut silent = Vec::new();
    for _ in 0..100 {
        silent.push(TcpStream::connect(&addr).await.unwrap());
    }
    let peer = Links::new(settings(), ME);
    let deadline = Instant::now() + Duration::from_secs(10);
    while let Err(e) = peer.call::<_, u64>(&addr, "echo", &1).await {
        assert!(Instant::now() < deadline, "kept out by strangers: {e}");
        sleep(Duration::from_millis(20)).await;
    }
    drop(silent);
}
