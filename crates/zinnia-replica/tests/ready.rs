//! When a leader may answer reads.

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

/// Longest wait for a condition.
const TIMEOUT: Duration = Duration::from_secs(10);

fn wait_until(what: &str, holds: impl Fn() -> bool) {
    let began = Instant::now();
    while !holds() {
        assert!(began.elapsed() < TIMEOUT, "{what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// Guards against a new leader that answers reads between the commit of earlier entries and their
/// application: a document older than an acknowledged one was read that way.
#[tokio::test]
async fn a_leader_is_ready_once_it_has_applied() {
    let own = VmId(1);
    let member = Member {
        id: own,
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
            // The application of each entry waits until the test lets it go on.
            let _ = gate.lock().expect("the gate is sound").recv();
            None
        }),
        install_snapshot: Box::new(|_| {}),
        take_snapshot: Box::new(|| None),
        reopen: None,
        role_changed: Box::new(|_, _, _| {}),
    };
    let settings = Settings {
        id: own,
        heartbeat_ms: 20,
        election_min_ms: 40,
        election_max_ms: 60,
        ..Settings::default()
    };
    let replica = Replica::start(settings, None, recovered, 1_000, hooks).expect("thread");
    wait_until("the node commits an entry of its term", || {
        replica.read(Node::is_ready)
    });
    assert_eq!(replica.ready_term(), None, "the entry is not applied yet");
    drop(release);
    wait_until("the leader is ready", || replica.ready_term() == Some(1));
    replica.stop().await;
}
