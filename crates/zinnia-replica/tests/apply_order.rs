//! Order in which a member applies entries while its disk is slow.

mod common;

use std::time::Duration;
use std::time::Instant;

use common::TIMEOUT;
use common::TestVoter;
use zinnia_raft::AppendEntries;
use zinnia_raft::Data;
use zinnia_raft::Entry;
use zinnia_raft::Message;
use zinnia_raft::Node;
use zinnia_raft::Payload;
use zinnia_types::VmId;

const LEADER_ID: VmId = VmId(2);
/// Index of the initial snapshot.
const SNAPSHOT_INDEX: u64 = 1;
/// Term of the leader.
const TERM: u64 = 2;

fn append(prev: u64, prev_term: u64, entries: Vec<Entry>, commit: u64) -> Message {
    Message::Append(AppendEntries {
        term: TERM,
        prev,
        prev_term,
        entries,
        commit,
        sent: commit,
        age: 0,
    })
}

fn entry(index: u64) -> Entry {
    Entry {
        index,
        term: TERM,
        payload: Payload::Data(Data::from("a")),
    }
}

fn wait_until(what: &str, is_done: impl Fn() -> bool) {
    let started_at = Instant::now();
    while !is_done() {
        assert!(started_at.elapsed() < TIMEOUT, "{what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// Guards against entries that are applied out of order, so that the state of this member differs from
/// that of the others: entries that were committed while a new term was being stored waited for a later
/// write, and entries committed after them did not.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entries_are_applied_in_order_after_a_new_term() {
    let voter = TestVoter::start();
    let replica = &voter.replica;
    let committed = |index| move || replica.read(Node::commit_index) >= index;
    voter.disk.set_paused(true);
    replica.receive(LEADER_ID, append(SNAPSHOT_INDEX, 0, Vec::new(), 0));
    voter.disk.wait_for_sync();
    // The write of the term is being synced; that of the entries is next.
    let entries = vec![entry(2), entry(3)];
    replica.receive(LEADER_ID, append(SNAPSHOT_INDEX, 0, entries, 2));
    wait_until("entry 2 is not committed", committed(2));
    voter.disk.pass_one_sync();
    voter.disk.wait_for_sync();
    replica.receive(LEADER_ID, append(3, TERM, Vec::new(), 3));
    wait_until("entry 3 is not committed", committed(3));
    voter.disk.set_paused(false);
    wait_until("the entries are not applied", || {
        voter.applied.lock().is_ok_and(|a| a.len() >= 2)
    });
    let applied = voter
        .applied
        .lock()
        .expect("the lock is not poisoned")
        .clone();
    assert_eq!(applied, [2, 3]);
    replica.stop().await;
}
