//! Order in which a member applies entries while its disk is slow.

mod common;

use std::sync::Arc;
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
use zinnia_replica::clock;
use zinnia_types::VmId;

const LEADER_ID: VmId = VmId(2);
/// Index of the initial snapshot.
const SNAPSHOT_INDEX: u64 = 1;
/// Time in which the disk finishes the blocked syncs after a pause.
const SYNC_TIME: Duration = Duration::from_millis(200);
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

/// Guards against entries that are applied out of order when a reply of another voter and the own sync
/// arrive together: the entries that the sync commits come after those that the reply commits.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entries_are_applied_in_order_when_a_reply_and_a_sync_arrive_together() {
    let voter = TestVoter::elected();
    let replica = &voter.replica;
    let last_index = || {
        replica
            .read(|n| n.dump()["last"].as_u64())
            .unwrap_or_default()
    };
    let first = last_index() + 1;
    let last = first + 2;
    voter.disk.set_paused(true);
    let proposals = (first..=last).map(|_| {
        let replica = Arc::clone(replica);
        tokio::spawn(async move { replica.propose("a".to_owned(), TIMEOUT).await })
    });
    let proposals: Vec<_> = proposals.collect();
    wait_until("the entries are not proposed", || last_index() >= last);
    let is_last = |m: &Message| match m {
        Message::Append(a) => a.entries.last().is_some_and(|e| e.index >= last),
        _ => false,
    };
    while let Ok((_, message)) = voter.sent.recv_timeout(TIMEOUT)
        && !is_last(&message)
    {}
    let (term, now) = (replica.read(Node::term), clock::now().0);
    let reply = |index| Message::AppendReply {
        term,
        ok: true,
        index,
        hint: 0,
        sent: now,
    };
    // Voter 2 has all entries. The own disk has none yet, and voter 3 confirms them one by one.
    replica.receive(VmId(2), reply(last));
    {
        // The log thread waits for the lock when it applies the first entry, so that it finds both
        // other inputs afterwards.
        let _applying = voter.applied.lock();
        replica.receive(VmId(3), reply(first));
        wait_until("entry 1 is not committed", || {
            replica.read(Node::commit_index) >= first
        });
        replica.receive(VmId(3), reply(first + 1));
        voter.disk.set_paused(false);
        std::thread::sleep(SYNC_TIME);
    }
    for proposal in proposals {
        let outcome = proposal.await.expect("the task returns an outcome");
        assert!(outcome.is_some(), "the proposal has no outcome");
    }
    let applied = voter
        .applied
        .lock()
        .expect("the lock is not poisoned")
        .clone();
    assert!(applied.is_sorted(), "{applied:?}");
    assert_eq!(applied.last(), Some(&last));
    replica.stop().await;
}
