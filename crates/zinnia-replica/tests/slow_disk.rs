//! Voters whose disk does not answer for a while.

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
use zinnia_replica::ProposalOutcome;
use zinnia_replica::clock;
use zinnia_types::VmId;

const LEADER_ID: VmId = VmId(2);
/// Index of the initial snapshot.
const SNAPSHOT_INDEX: u64 = 1;

/// Guards against a leader that waits for its own disk although the disks of a quorum answer: it
/// lost its lease, so that requests were rejected, and accepted nothing until the disk answered.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leader_with_a_stalled_disk_commits_through_the_others() {
    let voter = TestVoter::elected();
    voter.disk.set_paused(true);
    for text in ["a", "b"] {
        let replica = Arc::clone(&voter.replica);
        let proposal = tokio::spawn(async move { replica.propose(text.to_owned(), TIMEOUT).await });
        let started_at = Instant::now();
        while !proposal.is_finished() {
            voter.reply_to_all(Duration::from_millis(5));
            assert!(
                started_at.elapsed() < TIMEOUT,
                "proposal {text} has no outcome"
            );
            let has_contact = voter.replica.read(|n| n.has_quorum_contact(clock::now()));
            assert!(
                has_contact,
                "the leader lost its lease while its disk stalled"
            );
        }
        let outcome = proposal.await.expect("the task returns an outcome");
        assert!(
            matches!(outcome, Some(ProposalOutcome::Applied { .. })),
            "{outcome:?}"
        );
    }
    voter.disk.set_paused(false);
    voter.replica.stop().await;
}

/// A write that a follower's disk does not answer.
struct StalledWrite {
    durable_commit: bool,
    /// Commit index that the leader sends with the entry.
    commit: u64,
}

/// Guards against a leader that loses its lease because the disks of its followers are slow, and
/// against a follower that acknowledges an entry before it has synced it. With `durable_commit`, a
/// new commit index is a part of the write; such a follower once answered nothing until the sync.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn follower_with_a_stalled_disk_answers_heartbeats() {
    let cases = [
        StalledWrite {
            durable_commit: false,
            commit: 0,
        },
        StalledWrite {
            durable_commit: false,
            commit: SNAPSHOT_INDEX + 1,
        },
        StalledWrite {
            durable_commit: true,
            commit: 0,
        },
        StalledWrite {
            durable_commit: true,
            commit: SNAPSHOT_INDEX + 1,
        },
    ];
    for case in cases {
        check_contact_during(&case).await;
    }
}

async fn check_contact_during(case: &StalledWrite) {
    let voter = TestVoter::start_with(case.durable_commit);
    // The first message makes the voter store the term, which other replies wait for.
    voter.replica.receive(LEADER_ID, append(Vec::new(), 1));
    let is_ok = |m: &Message| matches!(m, Message::AppendReply { ok: true, .. });
    assert!(voter.next_reply(TIMEOUT, is_ok).is_some());
    voter.disk.set_paused(true);
    let entry = Entry {
        index: SNAPSHOT_INDEX + 1,
        term: 2,
        payload: Payload::Data(Data::from("a")),
    };
    let write = append_with(vec![entry], case.commit, 2);
    voter.replica.receive(LEADER_ID, write);
    let started_at = Instant::now();
    let mut sent = 2;
    let mut answered = 0;
    while answered < 2 {
        assert!(started_at.elapsed() < TIMEOUT, "heartbeats get no reply");
        sent += 1;
        voter.replica.receive(LEADER_ID, append(Vec::new(), sent));
        let reply = voter.next_reply(Duration::from_millis(20), |_| true);
        if let Some(reply) = reply {
            let is_contact =
                matches!(reply, Message::AppendReply { ok: false, index: 0, sent, .. } if sent > 1);
            assert!(is_contact, "acknowledged before the sync: {reply:?}");
            answered += 1;
        }
    }
    assert_eq!(voter.replica.read(Node::leader), Some(LEADER_ID));
    voter.disk.set_paused(false);
    let is_acked = |m: &Message| matches!(m, Message::AppendReply { ok: true, index, .. } if *index > SNAPSHOT_INDEX);
    let ack = voter.next_reply(TIMEOUT, is_acked);
    assert!(ack.is_some(), "the entry is acknowledged after the sync");
    voter.replica.stop().await;
}

/// Guards against messages in a new term before the term is durable, also when they only answer a
/// heartbeat.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn follower_sends_nothing_in_a_term_that_is_not_stored() {
    for durable_commit in [false, true] {
        check_silence_in_new_term(durable_commit).await;
    }
}

async fn check_silence_in_new_term(durable_commit: bool) {
    let voter = TestVoter::start_with(durable_commit);
    voter.disk.set_paused(true);
    for sent in 1..=20 {
        voter.replica.receive(LEADER_ID, append(Vec::new(), sent));
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let early = voter.next_reply(ABSENCE_WINDOW, |_| true);
    assert_eq!(early, None, "a reply was sent before the sync");
    voter.disk.set_paused(false);
    assert!(voter.next_reply(TIMEOUT, |_| true).is_some());
    voter.replica.stop().await;
}

/// Guards against entries that are lost or acknowledged out of order when several writes wait for
/// the disk.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn waiting_proposals_commit_once_the_disk_answers() {
    let voter = TestVoter::elected();
    voter.disk.set_paused(true);
    let propose = |text: String| {
        let replica = Arc::clone(&voter.replica);
        tokio::spawn(async move { replica.propose(text, TIMEOUT).await })
    };
    let proposals: Vec<_> = (0..5).map(|n| propose(n.to_string())).collect();
    // Only voter 2 answers, so that each commit needs the own disk.
    let sent = voter.next_message(TIMEOUT, carries_data);
    voter.reply(&sent.expect("the entries are sent"));
    let _ = voter.next_message(ABSENCE_WINDOW, |_| false);
    assert!(proposals.iter().all(|p| !p.is_finished()));
    voter.disk.set_paused(false);
    let _ = voter.next_message(ABSENCE_WINDOW, |_| false);
    for proposal in proposals {
        let outcome = proposal.await.expect("the task returns an outcome");
        assert!(
            matches!(outcome, Some(ProposalOutcome::Applied { .. })),
            "{outcome:?}"
        );
    }
    voter.replica.stop().await;
}

/// A message of the leader, sent at `sent`, with these entries after the initial snapshot.
fn append(entries: Vec<Entry>, sent: u64) -> Message {
    append_with(entries, 0, sent)
}

/// The same with a commit index.
fn append_with(entries: Vec<Entry>, commit: u64, sent: u64) -> Message {
    Message::Append(AppendEntries {
        term: 2,
        prev: SNAPSHOT_INDEX,
        prev_term: 0,
        entries,
        commit,
        sent,
        age: 0,
    })
}
