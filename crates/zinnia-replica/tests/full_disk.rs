//! Voters whose disk is full for a while.

mod common;

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use common::ABSENCE_WINDOW;
use common::TIMEOUT;
use common::TestVoter;
use common::carries_data;
use zinnia_raft::AppendEntries;
use zinnia_raft::Data;
use zinnia_raft::Entry;
use zinnia_raft::Message;
use zinnia_raft::Node;
use zinnia_raft::Payload;
use zinnia_raft::RejectReason;
use zinnia_raft::Role;
use zinnia_replica::ProposalOutcome;
use zinnia_types::VmId;

const LEADER_ID: VmId = VmId(2);
/// Index of the initial snapshot.
const SNAPSHOT_INDEX: u64 = 1;
/// Several times the interval at which the store is opened again.
const FULL_TIME: Duration = Duration::from_millis(1_800);

/// Guards against a voter on a full disk that opens its store and answers the leader although it
/// cannot store the next entry, so that it is neither replaced nor helps to commit; and against one
/// that does not return, that loses what it had synced, or that applies an entry twice.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn voter_stays_offline_while_its_disk_is_full() {
    let voter = TestVoter::start();
    let mut sent = 0;
    let mut send = |entries: Vec<Entry>, prev: u64, commit: u64| {
        sent += 1;
        let append = append(entries, prev, commit, sent);
        voter.replica.receive(LEADER_ID, append);
    };
    send(vec![entry(2), entry(3)], SNAPSHOT_INDEX, 3);
    let acks = |index| move |m: &Message| matches!(m, Message::AppendReply { ok: true, index: i, .. } if *i == index);
    assert!(voter.next_reply(TIMEOUT, acks(3)).is_some());
    voter.disk.set_full(true);
    send(vec![entry(4)], 3, 3);
    wait_for_failure(&voter);
    let began = Instant::now();
    while began.elapsed() < FULL_TIME {
        send(Vec::new(), 3, 3);
        let reply = voter.next_reply(Duration::from_millis(20), |_| true);
        assert_eq!(reply, None, "the voter answers although its disk is full");
        assert!(voter.replica.disk_error().is_some());
    }
    voter.disk.set_full(false);
    let began = Instant::now();
    loop {
        send(vec![entry(4)], 3, 4);
        if voter
            .next_reply(Duration::from_millis(20), acks(4))
            .is_some()
        {
            break;
        }
        assert!(began.elapsed() < TIMEOUT, "the voter does not return");
    }
    assert!(voter.replica.wait_applied(4, TIMEOUT).await);
    let applied = voter
        .applied
        .lock()
        .expect("the lock is not poisoned")
        .clone();
    assert_eq!(applied, [2, 3, 4]);
    voter.replica.stop().await;
}

/// Guards against a leader with a full disk that goes on to lead, and against proposals that get no
/// answer: those that were open, and those that arrive while the disk is offline.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leader_with_a_full_disk_steps_down_and_answers_proposals() {
    let voter = TestVoter::elected();
    voter.disk.set_full(true);
    let replica = Arc::clone(&voter.replica);
    let open = tokio::spawn(async move { replica.propose("open".to_owned(), TIMEOUT).await });
    assert!(voter.next_message(TIMEOUT, carries_data).is_some());
    wait_for_failure(&voter);
    let began = Instant::now();
    let outcome = open.await.expect("the task returns an outcome");
    assert!(outcome.is_none(), "{outcome:?}");
    assert_ne!(voter.replica.read(Node::role), Role::Leader);
    assert_eq!(voter.replica.read(|n| n.members().len()), 3);
    let outcome = voter.replica.propose("late".to_owned(), TIMEOUT).await;
    let is_refused = matches!(
        outcome,
        Some(ProposalOutcome::Rejected {
            reason: RejectReason::NotLeader,
            ..
        })
    );
    assert!(is_refused, "{outcome:?}");
    assert!(began.elapsed() < ABSENCE_WINDOW, "the outcomes were late");
    voter.disk.set_full(false);
    let began = Instant::now();
    while voter.replica.read(Node::role) != Role::Leader {
        voter.reply_to_all(Duration::from_millis(5));
        assert!(began.elapsed() < TIMEOUT, "the voter cannot lead again");
    }
    voter.replica.stop().await;
}

fn wait_for_failure(voter: &TestVoter) {
    let began = Instant::now();
    while voter.replica.disk_error().is_none() {
        assert!(began.elapsed() < TIMEOUT, "the write did not fail");
        std::thread::sleep(Duration::from_millis(1));
    }
}

fn entry(index: u64) -> Entry {
    Entry {
        index,
        term: 2,
        payload: Payload::Data(Data::from("a")),
    }
}

/// A message of the leader, sent at `sent`, with these entries after `prev`.
fn append(entries: Vec<Entry>, prev: u64, commit: u64, sent: u64) -> Message {
    Message::Append(AppendEntries {
        term: 2,
        prev,
        prev_term: if prev == SNAPSHOT_INDEX { 0 } else { 2 },
        entries,
        commit,
        sent,
        age: 0,
    })
}
