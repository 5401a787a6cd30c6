//! Voter 1 of three, driven with single messages.

#![allow(dead_code, reason = "each test file uses only a part of this module")]

use zinnia_raft::Action;
use zinnia_raft::Data;
use zinnia_raft::Entry;
use zinnia_raft::Event;
use zinnia_raft::HardState;
use zinnia_raft::Members;
use zinnia_raft::Message;
use zinnia_raft::Node;
use zinnia_raft::Payload;
use zinnia_raft::RecoveredState;
use zinnia_raft::Role;
use zinnia_raft::Settings;
use zinnia_raft::Snapshot;
use zinnia_raft::sim::member;
use zinnia_types::Time;
use zinnia_types::VmId;

pub(crate) const START_MS: u64 = 100_000;

/// Voter 1 of three in term 2. Its log ends at index 2 with an entry of that term.
pub(crate) fn follower() -> Node {
    follower_with(true)
}

pub(crate) fn follower_with(durable_commit: bool) -> Node {
    let members: Vec<_> = (1..=3).map(|id| member(VmId(id), true)).collect();
    let last = entry(2, 2, Payload::Data(Data::from("a")));
    let recovered = RecoveredState {
        hard: HardState {
            term: 2,
            vote: None,
            commit: 1,
        },
        snapshot: Some(Snapshot::initial(Members::from(members))),
        entries: vec![last],
    };
    let settings = Settings {
        id: VmId(1),
        durable_commit,
        ..Settings::default()
    };
    let mut node = Node::new(settings, recovered);
    node.step(Event::Tick, Time(START_MS));
    node
}

pub(crate) fn receive(node: &mut Node, from: u64, message: Message, ms: u64) -> Vec<Action> {
    let from = VmId(from);
    node.step(Event::Receive { from, message }, Time(START_MS + ms))
}

pub(crate) fn vote_granted(pre: bool, term: u64) -> Message {
    Message::VoteReply {
        term,
        pre,
        granted: true,
    }
}

pub(crate) fn append_reply(index: u64, sent: u64) -> Message {
    Message::AppendReply {
        term: 3,
        ok: true,
        index,
        hint: 0,
        sent: START_MS + sent,
    }
}

/// Voter 1 as leader of term 3. The first entry of its term is at index 3.
pub(crate) fn leader() -> Node {
    elect(follower())
}

pub(crate) fn elect(mut node: Node) -> Node {
    node.step(Event::Tick, Time(START_MS + 4_000));
    receive(&mut node, 2, vote_granted(true, 3), 4_000);
    receive(&mut node, 2, vote_granted(false, 3), 4_000);
    assert_eq!((node.role(), node.term()), (Role::Leader, 3));
    node.step(Event::Synced { index: 3 }, Time(START_MS + 4_000));
    node
}

pub(crate) fn entry(index: u64, term: u64, payload: Payload) -> Entry {
    Entry {
        index,
        term,
        payload,
    }
}
