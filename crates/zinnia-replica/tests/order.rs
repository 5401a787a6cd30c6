//! Order of messages and local disk syncs.

mod common;

use std::sync::Arc;

use common::ABSENCE_WINDOW;
use common::TIMEOUT;
use common::TestVoter;
use common::carries_data;
use zinnia_raft::Message;
use zinnia_replica::ProposalOutcome;

/// Guards against a leader that sends entries only after its own sync, which doubles the commit latency,
/// and against a candidate that requests votes before its own vote is durable.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entries_are_sent_before_the_local_sync_but_votes_are_not() {
    let voter = TestVoter::start();
    voter.disk.set_paused(true);
    let is_vote = |m: &Message| matches!(m, Message::Vote { .. });
    let early = voter.next_message(ABSENCE_WINDOW * 3, is_vote);
    assert_eq!(early, None, "a vote request was sent before the sync");
    voter.disk.set_paused(false);
    let vote = voter
        .next_message(TIMEOUT, is_vote)
        .expect("a vote request is sent");
    voter.reply(&vote);
    let is_append = |m: &Message| matches!(m, Message::Append(a) if a.commit > 0);
    let first_commit = voter
        .next_message(TIMEOUT, is_append)
        .expect("the leader sends a commit index");
    voter.reply(&first_commit);
    voter.disk.set_paused(true);
    let (tx, rx) = tokio::sync::oneshot::channel();
    let replica = Arc::clone(&voter.replica);
    tokio::spawn(async move {
        let _ = tx.send(replica.propose("a".to_owned(), TIMEOUT).await);
    });
    let entry = voter
        .next_message(TIMEOUT, carries_data)
        .expect("the entry is sent before the sync");
    voter.disk.set_paused(false);
    voter.reply(&entry);
    let _ = voter.next_message(ABSENCE_WINDOW, |_| false);
    let outcome = rx.await.expect("the task returns an outcome");
    assert!(
        matches!(outcome, Some(ProposalOutcome::Applied { .. })),
        "{outcome:?}"
    );
    voter.replica.stop().await;
}
