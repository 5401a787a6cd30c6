//! Condition under which a leader may serve reads.

use std::sync::Mutex;
use std::sync::mpsc;
use std::time::Duration;
use std::time::Instant;

use zinnia_raft::Member;
use zinnia_raft::Members;
use zinnia_raft::Node;
use zinnia_raft::RecoveredState;
use zinnia_raft::Settings;
use zinnia_raft::Snapshot;
use zinnia_replica::Hooks;
use zinnia_replica::Replica;
use zinnia_types::VmId;

/// Maximum wait for a condition.
const TIMEOUT: Duration = Duration::from_secs(10);

fn wait_until(what: &str, holds: impl Fn() -> bool) {
    let began = Instant::now();
    while !holds() {
        assert!(began.elapsed() < TIMEOUT, "{what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// Guards against a new leader that serves reads after earlier entries are committed but before they
/// are applied. Such a read once returned an older document than an acknowledged one.
#[tokio::test]
async fn a_leader_is_ready_once_it_has_applied() {
    let id = VmId(1);
    let member = Member {
        id,
        peer: "127.0.0.1:1".to_owned(),
        http: String::new(),
        voter: true,
    };
    let recovered = RecoveredState {
        snapshot: Some(Snapshot::initial(Members::from(vec![member]))),
        ..RecoveredState::default()
    };
    let (release, gate) = mpsc::channel::<()>();
    let gate = Mutex::new(gate);
    let hooks = Hooks::<()> {
        send: Box::new(|_, _| {}),
        apply: Box::new(move |_| {
            // Block each entry until the test releases it.
            let _ = gate.lock().expect("the gate is not poisoned").recv();
            None
        }),
        install_snapshot: Box::new(|_| {}),
        take_snapshot: Box::new(|| None),
        reopen: None,
        role_changed: Box::new(|_, _, _| {}),
    };
    let settings = Settings {
        id,
        heartbeat_ms: 20,
        election_min_ms: 40,
        election_max_ms: 60,
        ..Settings::default()
    };
    let replica =
        Replica::start(settings, None, recovered, 1_000, hooks).expect("the log thread starts");
    wait_until("the node did not commit an entry of its term", || {
        replica.read(Node::is_ready)
    });
    assert_eq!(
        replica.ready_term(),
        None,
        "the entry must not count as applied yet"
    );
    drop(release);
    wait_until("the leader did not become ready", || {
        replica.ready_term() == Some(1)
    });
    replica.stop().await;
}
