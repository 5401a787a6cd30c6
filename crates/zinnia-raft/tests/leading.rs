//! Protocol rules of a leader, tested with single messages.

mod common;

use common::START_MS;
use common::append_reply;
use common::leader;
use common::receive;
use zinnia_raft::Action;
use zinnia_raft::Data;
use zinnia_raft::Event;
use zinnia_raft::MembershipChange;
use zinnia_raft::Node;
use zinnia_raft::Proposal;
use zinnia_raft::RejectReason;
use zinnia_raft::Role;
use zinnia_types::Time;
use zinnia_types::VmId;

/// Guards against the commit of an entry of an earlier term, which a later leader could still
/// overwrite, and against the commit of an entry that only the leader has.
#[test]
fn commit_requires_an_entry_of_the_current_term() {
    let mut node = leader();
    receive(&mut node, 2, append_reply(2, 4_000), 4_010);
    assert_eq!(
        node.commit_index(),
        1,
        "a quorum has entry 2, but it is of an earlier term"
    );
    receive(&mut node, 2, append_reply(3, 4_000), 4_020);
    assert_eq!(node.commit_index(), 3);
}

/// Guards against a membership change while the leader does not know whether the previous one is
/// committed. The quorums of two leaders might then not overlap.
#[test]
fn membership_changes_wait_for_an_entry_of_the_current_term() {
    let mut node = leader();
    let rejection = |node: &mut Node, ms| {
        let change = MembershipChange::Remove(VmId(3));
        let actions = node.step(
            Event::ChangeMembers {
                proposal_id: 1,
                change,
            },
            Time(START_MS + ms),
        );
        actions.iter().find_map(|a| match a {
            Action::Rejected { reason, .. } => Some(*reason),
            _ => None,
        })
    };
    assert_eq!(
        rejection(&mut node, 4_010),
        Some(RejectReason::ChangePending)
    );
    receive(&mut node, 2, append_reply(3, 4_000), 4_020);
    assert_eq!(rejection(&mut node, 4_030), None);
}

/// Guards against a leader that takes a pause of its own for silence of its peers and steps down,
/// and against one that never steps down.
#[test]
fn leader_steps_down_after_silence_but_not_after_its_own_pause() {
    let mut node = leader();
    receive(&mut node, 2, append_reply(3, 4_000), 4_010);
    // The default election timeout is 2 s at least.
    let after_pause = 7_000;
    node.step(Event::Tick, Time(START_MS + after_pause));
    assert_eq!(node.role(), Role::Leader, "it has to ask its peers first");
    assert!(!node.has_quorum_contact(Time(START_MS + after_pause)));
    for ms in (after_pause..after_pause + 2_000).step_by(100) {
        node.step(Event::Tick, Time(START_MS + ms));
        assert_eq!(node.role(), Role::Leader);
    }
    node.step(Event::Tick, Time(START_MS + after_pause + 2_000));
    assert_eq!(node.role(), Role::Follower);
}

/// Guards against a leader that takes a pause of its own for silence of its voters, and would replace them.
#[test]
fn silence_of_peers_does_not_include_a_pause_of_the_leader() {
    let mut node = leader();
    receive(&mut node, 2, append_reply(3, 4_000), 4_010);
    let after_pause = 9_000;
    node.step(Event::Tick, Time(START_MS + after_pause));
    let silence = |node: &Node| node.peers().iter().map(|p| p.silent_ms).max();
    assert_eq!(silence(&node), Some(0));
    for ms in (after_pause..=after_pause + 500).step_by(100) {
        node.step(Event::Tick, Time(START_MS + ms));
    }
    assert_eq!(silence(&node), Some(500), "it counts from then on");
}

/// Guards against a slow disk of the leader that holds back its entries although a quorum can
/// commit them, and against one sync for each of many proposals in a row.
#[test]
fn leader_batches_proposals_for_a_short_time_only() {
    let mut node = leader();
    receive(&mut node, 2, append_reply(3, 4_000), 4_010);
    let mut propose = |ms| {
        let proposal = Proposal {
            proposal_id: ms,
            data: Data::from("a"),
        };
        let actions = node.step(Event::Propose(vec![proposal]), Time(START_MS + ms));
        actions.iter().any(|a| matches!(a, Action::Persist { .. }))
    };
    assert!(propose(4_020));
    assert!(
        !propose(4_025),
        "the sync of the first write is in progress"
    );
    assert!(
        propose(4_030),
        "the leader waits no longer for its own disk"
    );
}

/// Guards against a leader that counts itself toward the quorum before its own sync.
#[test]
fn leader_counts_itself_after_its_own_sync() {
    let mut node = leader();
    receive(&mut node, 2, append_reply(3, 4_000), 4_010);
    node.step(Event::Synced { index: 3 }, Time(START_MS + 4_010));
    let data = Data::from("b");
    node.step(
        Event::Propose(vec![Proposal {
            proposal_id: 1,
            data,
        }]),
        Time(START_MS + 4_020),
    );
    receive(&mut node, 2, append_reply(4, 4_020), 4_030);
    assert_eq!(
        node.commit_index(),
        3,
        "the leader has not synced, so only one follower counts"
    );
    node.step(Event::Synced { index: 4 }, Time(START_MS + 4_040));
    assert_eq!(node.commit_index(), 4);
}
