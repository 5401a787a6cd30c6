//! Tests of a cell with hundreds of processes.

mod common;

use common::Cell;
use common::TIMEOUT;
use zinnia_peer::ClusterKey;
use zinnia_peer::Links;
use zinnia_types::VmId;

/// Number of processes that are connected to the leader at the same time.
const PROCESSES: u64 = 320;

/// Guards against a leader that rejects the connections of processes in a large cell. Callers of such
/// a process are answered only when the leader closes the connection of another one.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn leader_serves_hundreds_of_processes() {
    let cell = Cell::start().await;
    let leader = cell.seeds[cell.leader()].clone();
    let processes: Vec<Links> = (1..=PROCESSES)
        .map(|id| {
            let key = ClusterKey::new("key-of-a-test-cell").expect("a key");
            let settings = zinnia_peer::Settings {
                addr: format!("process-{id}"),
                ..zinnia_peer::Settings::new(key)
            };
            Links::new(settings, VmId(id))
        })
        .collect();
    let hello = serde_json::json!({ "peer": "process", "control": "", "member": false });
    let mut unanswered = Vec::new();
    for (id, links) in (1..).zip(&processes) {
        let answer = links
            .call_with_timeout::<_, serde_json::Value>(&leader, "hello", &hello, TIMEOUT)
            .await;
        if answer.is_err() {
            unanswered.push(id);
        }
    }
    assert_eq!(unanswered, Vec::<u64>::new());
}
