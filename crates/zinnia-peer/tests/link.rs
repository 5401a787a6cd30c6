//! Links to peers that restart, are unreachable or stop responding.

mod common;

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use common::LOCAL_VM;
use common::ReceivedValues;
use common::any_port;
use common::settings;
use common::start_server;
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

/// Waits until `condition` holds. Panics after 10 s.
async fn wait_until(name: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(10);
    while !condition() {
        assert!(Instant::now() < deadline, "timeout after 10 s: {name}");
        sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against a server that has been stopped and still holds its address, so that a process that
/// restarts at once cannot listen there.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn stopped_server_releases_its_address() {
    for round in 0..300 {
        let server = start_server(any_port(), settings(), ReceivedValues::default()).await;
        let addr = server.addr();
        server.stop().await;
        let listener = TcpListener::bind(addr).await;
        assert!(listener.is_ok(), "round {round}: {listener:?}");
    }
}

/// Guards against a link that does not reconnect to a restarted peer, and against a refused
/// connection that is reported as possibly sent.
#[tokio::test]
async fn link_reconnects_to_restarted_peer() {
    let received = ReceivedValues::default();
    let server = start_server(any_port(), settings(), received.clone()).await;
    let listen = server.addr();
    let addr = listen.to_string();
    let links = Links::new(settings(), LOCAL_VM);
    let answer = links.call::<_, u64>(&addr, "echo", &1).await;
    assert_eq!(answer, Ok(1));
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
    links.notify(&addr, "echo", "queued while unreachable");
    wait_until("a connection attempt fails", || {
        links.counters()[&addr].failures >= 1
    })
    .await;
    let server = start_server(listen, settings(), received.clone()).await;
    wait_until("the queued message arrives", || {
        received
            .lock()
            .unwrap()
            .contains(&json!("queued while unreachable"))
    })
    .await;
    let answer = links.call::<_, u64>(&addr, "echo", &3).await;
    assert_eq!(answer, Ok(3));
    assert_eq!(links.counters()[&addr].connects, 2);
    server.stop().await;
}

/// Guards against a drop filter that lets messages or answers through, or that drops messages of
/// the other direction.
#[tokio::test]
async fn drop_filter_affects_one_direction() {
    let dropping = Arc::new(AtomicBool::new(true));
    let drop_filter: DropFilter = Arc::new({
        let dropping = dropping.clone();
        move |_| dropping.load(Ordering::Relaxed)
    });
    let near_settings = Settings {
        drop_filter: Some(drop_filter),
        call_timeout: Duration::from_millis(200),
        ..settings()
    };
    let far_settings = Settings {
        call_timeout: Duration::from_millis(200),
        ..settings()
    };
    let near_received = ReceivedValues::default();
    let far_received = ReceivedValues::default();
    let near_server = start_server(any_port(), near_settings.clone(), near_received.clone()).await;
    let far_server = start_server(any_port(), far_settings.clone(), far_received.clone()).await;
    let near_addr = near_server.addr().to_string();
    let far_addr = far_server.addr().to_string();
    let near_links = Links::new(near_settings, LOCAL_VM);
    let far_links = Links::new(far_settings, LOCAL_VM);

    near_links.notify(&far_addr, "echo", "dropped");
    let unsent = near_links.call::<_, Value>(&far_addr, "echo", &1).await;
    let error = unsent.unwrap_err();
    assert!(error.timed_out && error.maybe_sent, "{error}");
    far_links.notify(&near_addr, "echo", "delivered");
    let unanswered = far_links.call::<_, Value>(&near_addr, "echo", &2).await;
    assert!(unanswered.unwrap_err().timed_out, "the answer is dropped");
    wait_until("messages of the other direction arrive", || {
        near_received.lock().unwrap().len() == 2
    })
    .await;
    assert!(far_received.lock().unwrap().is_empty());
    assert_eq!(near_links.counters()[&far_addr].cut, 2);

    dropping.store(false, Ordering::Relaxed);
    let answer = near_links.call::<_, u64>(&far_addr, "echo", &3).await;
    assert_eq!(answer, Ok(3));
    let answer = far_links.call::<_, u64>(&near_addr, "echo", &4).await;
    assert_eq!(answer, Ok(4));
}

struct OverflowCase {
    name: &'static str,
    limits: QueueLimits,
    delivered: Vec<Value>,
    dropped: u64,
}

/// Guards against a queue that grows without limit, blocks the sender, or drops the newest message.
#[tokio::test]
async fn full_queue_drops_oldest_messages() {
    let unlimited = usize::MAX;
    let cases = [
        OverflowCase {
            name: "message limit",
            limits: QueueLimits {
                max_messages: 3,
                max_bytes: unlimited,
            },
            delivered: vec![json!(7), json!(8), json!(9)],
            dropped: 7,
        },
        OverflowCase {
            name: "size limit",
            // The queue counts 5 bytes per message: 4 of the method and 1 of the value.
            limits: QueueLimits {
                max_messages: unlimited,
                max_bytes: 14,
            },
            delivered: vec![json!(8), json!(9)],
            dropped: 8,
        },
        OverflowCase {
            name: "single message above the size limit",
            limits: QueueLimits {
                max_messages: unlimited,
                max_bytes: 1,
            },
            delivered: vec![json!(9)],
            dropped: 9,
        },
    ];
    for case in cases {
        // Nothing listens on the port, so the messages stay queued.
        let listener = TcpListener::bind(any_port()).await.unwrap();
        let listen = listener.local_addr().unwrap();
        drop(listener);
        let addr = listen.to_string();
        let links = Links::new(
            Settings {
                queue: case.limits,
                ..settings()
            },
            LOCAL_VM,
        );
        let start = Instant::now();
        for i in 0..10 {
            links.notify(&addr, "echo", &i);
        }
        assert_eq!(
            start.elapsed().as_secs(),
            0,
            "{}: notify blocked",
            case.name
        );
        assert_eq!(
            links.counters()[&addr].overflowed,
            case.dropped,
            "{}",
            case.name
        );
        let received = ReceivedValues::default();
        let _server = start_server(listen, settings(), received.clone()).await;
        wait_until(case.name, || {
            received.lock().unwrap().len() >= case.delivered.len()
        })
        .await;
        let mut delivered = received.lock().unwrap().clone();
        delivered.sort_by_key(Value::as_u64);
        assert_eq!(delivered, case.delivered, "{}", case.name);
    }
}

/// Guards against calls that wait forever for a peer that accepts the connection but does not
/// respond, such as a paused process.
#[tokio::test]
async fn connecting_to_unresponsive_peer_times_out() {
    let unresponsive = TcpListener::bind(any_port()).await.unwrap();
    let addr = unresponsive.local_addr().unwrap().to_string();
    let client_settings = Settings {
        connect_timeout: Duration::from_millis(100),
        ..settings()
    };
    let links = Links::new(client_settings, LOCAL_VM);
    let error = links.call::<_, Value>(&addr, "echo", &1).await.unwrap_err();
    assert_eq!(
        (error.step, error.maybe_sent),
        (CallStep::Connect, false),
        "{error}"
    );
}

/// Guards against a link that keeps an established connection to a peer that stopped responding
/// without closing it.
#[tokio::test]
async fn pings_detect_unresponsive_peer() {
    let server = start_server(any_port(), settings(), ReceivedValues::default()).await;
    let relay = TcpListener::bind(any_port()).await.unwrap();
    let addr = relay.local_addr().unwrap().to_string();
    let server_addr = server.addr();
    let paused = Arc::new(AtomicBool::new(false));
    let relay_paused = paused.clone();
    // Forwards bytes until it is paused. All sockets stay open.
    let relay_task = tokio::spawn(async move {
        let mut sockets = Vec::new();
        while let Ok((client, _)) = relay.accept().await {
            let upstream = TcpStream::connect(server_addr).await.unwrap();
            let mut buf = [0; 4_096];
            loop {
                tokio::select! {
                    _ = client.readable() => if let Ok(n) = client.try_read(&mut buf) {
                        if n == 0 { break; }
                        let _ = upstream.try_write(&buf[..n]);
                    },
                    _ = upstream.readable() => if let Ok(n) = upstream.try_read(&mut buf) {
                        if n == 0 { break; }
                        let _ = client.try_write(&buf[..n]);
                    },
                }
                if relay_paused.load(Ordering::Relaxed) {
                    break;
                }
            }
            sockets.push((client, upstream));
            if relay_paused.load(Ordering::Relaxed) {
                std::future::pending::<()>().await;
            }
        }
    });
    let client_settings = Settings {
        ping: PingSettings {
            interval: Duration::from_millis(50),
            timeout: Duration::from_millis(200),
        },
        ..settings()
    };
    let links = Links::new(client_settings, LOCAL_VM);
    let answer = links.call::<_, u64>(&addr, "echo", &1).await;
    assert_eq!(answer, Ok(1));
    paused.store(true, Ordering::Relaxed);
    let unanswered = links.call::<_, u64>(&addr, "echo", &2).await;
    let error = unanswered.unwrap_err();
    assert!(
        error.maybe_sent && !error.timed_out,
        "the ping must close the connection before the call times out: {error}"
    );
    relay_task.abort();
}

/// Guards against a cluster key that is empty, too short or not valid in a header.
#[test]
fn cluster_keys_are_validated() {
    struct Case(&'static str, Option<ClusterKeyError>);
    let cases = [
        Case("", Some(ClusterKeyError::InvalidLength)),
        Case("short", Some(ClusterKeyError::InvalidLength)),
        Case("   0123456789abcde ", Some(ClusterKeyError::InvalidLength)),
        Case("0123456789abcdef\n", None),
        Case("0123456789 abcdef", Some(ClusterKeyError::InvalidCharacter)),
        Case("0123456789abcdeé", Some(ClusterKeyError::InvalidCharacter)),
    ];
    for Case(text, expected) in cases {
        assert_eq!(ClusterKey::new(text).err(), expected, "{text:?}");
    }
}

/// Guards against an unlimited number of connections, and against idle unauthenticated connections
/// that prevent peers from connecting.
#[tokio::test]
async fn connections_are_limited() {
    let server_settings = Settings {
        max_connections: 2,
        connect_timeout: Duration::from_millis(500),
        ..settings()
    };
    let server = start_server(
        any_port(),
        server_settings.clone(),
        ReceivedValues::default(),
    )
    .await;
    let addr = server.addr().to_string();
    let mut links = Vec::new();
    for vm in 0..3 {
        let vm_links = Links::new(settings(), VmId(vm));
        let result = vm_links.call::<_, u64>(&addr, "echo", &vm).await;
        match result {
            Ok(_) => assert!(vm < 2, "the third connection is accepted"),
            Err(e) => assert!(
                vm == 2 && e.step == CallStep::Connect && !e.maybe_sent,
                "{vm}: {e}"
            ),
        }
        links.push(vm_links);
    }
    // Wait longer than the connect timeout. It must not close an established connection.
    sleep(Duration::from_millis(700)).await;
    let answer = links[0].call::<_, u64>(&addr, "echo", &1).await;
    assert_eq!(answer, Ok(1));
    assert_eq!(links[0].counters()[&addr].connects, 1);
    drop(links);
    let mut idle_connections = Vec::new();
    for _ in 0..100 {
        idle_connections.push(TcpStream::connect(&addr).await.unwrap());
    }
    let peer = Links::new(settings(), LOCAL_VM);
    let deadline = Instant::now() + Duration::from_secs(10);
    while let Err(e) = peer.call::<_, u64>(&addr, "echo", &1).await {
        assert!(
            Instant::now() < deadline,
            "idle connections prevent a peer from connecting: {e}"
        );
        sleep(Duration::from_millis(20)).await;
    }
    drop(idle_connections);
}
