//! Protocol rules that random faults rarely exercise, tested with single messages.

mod common;

use common::START_MS;
use common::append_reply;
use common::elect;
use common::entry;
use common::follower;
use common::follower_with;
use common::leader;
use common::receive;
use common::vote_granted;
use proptest::prelude::*;
use zinnia_raft::Action;
use zinnia_raft::AppendEntries;
use zinnia_raft::Data;
use zinnia_raft::Entry;
use zinnia_raft::Event;
use zinnia_raft::Members;
use zinnia_raft::MembershipChange;
use zinnia_raft::Message;
use zinnia_raft::Node;
use zinnia_raft::Payload;
use zinnia_raft::Proposal;
use zinnia_raft::RecoveredState;
use zinnia_raft::Role;
use zinnia_raft::Settings;
use zinnia_raft::Snapshot;
use zinnia_raft::SnapshotChunk;
use zinnia_raft::sim::member;
use zinnia_types::Time;
use zinnia_types::VmId;

/// Guards against an inconsistent disk after a crash during a snapshot installation. Conflicting
/// entries must be removed before the snapshot is saved, and the commit index that the snapshot implies
/// must be written after it.
#[test]
fn truncation_is_persisted_before_snapshot_installation() {
    struct Case {
        name: &'static str,
        /// Last index and term of the snapshot.
        last: (u64, u64),
        truncate: Option<u64>,
    }
    let cases = [
        Case {
            name: "conflicting entry at the snapshot index",
            last: (2, 4),
            truncate: Some(2),
        },
        Case {
            name: "snapshot beyond the end of the log",
            last: (9, 4),
            truncate: None,
        },
    ];
    for case in cases {
        let mut node = follower();
        let (index, last_term) = case.last;
        let chunk = single_chunk(5, index, last_term, node.members());
        let actions = receive(&mut node, 2, Message::Chunk(chunk), 10);
        let [
            Action::Persist { hard, truncate, .. },
            Action::InstallSnapshot { .. },
            ..,
        ] = &actions[..]
        else {
            panic!("{}: {actions:?}", case.name);
        };
        assert_eq!(hard.map(|h| h.commit), Some(1), "{}", case.name);
        assert_eq!(*truncate, case.truncate, "{}", case.name);
        assert_eq!((node.commit_index(), node.applied_index()), (index, index));
    }
}

/// Snapshot that fits into one chunk.
fn single_chunk(term: u64, index: u64, last_term: u64, members: &Members) -> SnapshotChunk {
    SnapshotChunk {
        term,
        index,
        last_term,
        members: members.clone(),
        offset: 0,
        total: 1,
        data: Data::from("s"),
        sent: 0,
        age: 0,
    }
}

fn append(term: u64, prev: (u64, u64), entries: Vec<Entry>, commit: u64) -> Message {
    Message::Append(AppendEntries {
        term,
        prev: prev.0,
        prev_term: prev.1,
        entries,
        commit,
        sent: 0,
        age: 0,
    })
}

/// Guards against overwritten entries that stay on disk or keep their membership change in effect, and
/// against a sync reported for them that is counted for the entries that replace them.
#[test]
fn overwritten_entries_are_fully_removed() {
    let mut node = follower();
    let removal = Payload::Change(MembershipChange::Remove(VmId(3)));
    let entries = vec![entry(3, 3, removal), entry(4, 3, Payload::Noop)];
    receive(&mut node, 2, append(3, (2, 2), entries, 1), 10);
    node.step(Event::Synced { index: 4 }, Time(START_MS + 10));
    assert_eq!(node.members().len(), 2);

    let entries = vec![entry(3, 4, Payload::Noop)];
    let actions = receive(&mut node, 3, append(4, (2, 2), entries, 1), 20);
    let truncates = |a: &Action| {
        matches!(
            a,
            Action::Persist {
                truncate: Some(3),
                ..
            }
        )
    };
    assert!(actions.first().is_some_and(truncates), "{actions:?}");
    assert_eq!(node.members().len(), 3);

    node.step(Event::Synced { index: 3 }, Time(START_MS + 20));
    node.step(Event::Tick, Time(START_MS + 5_000));
    receive(&mut node, 2, vote_granted(true, 5), 5_000);
    receive(&mut node, 2, vote_granted(false, 5), 5_000);
    assert_eq!(node.role(), Role::Leader);
    let ack = Message::AppendReply {
        term: 5,
        ok: true,
        index: 4,
        hint: 0,
        sent: START_MS + 5_000,
    };
    receive(&mut node, 2, ack, 5_010);
    assert_eq!(node.commit_index(), 1, "the leader has not synced entry 4");
    node.step(Event::Synced { index: 4 }, Time(START_MS + 5_020));
    assert_eq!(node.commit_index(), 4);
}

/// Guards against a proposal reported as committed although no Apply will contain its entry.
#[test]
fn proposal_covered_by_a_snapshot_gets_no_outcome() {
    let mut node = leader();
    let data = Data::from("b");
    node.step(
        Event::Propose(vec![Proposal {
            proposal_id: 1,
            data,
        }]),
        Time(START_MS + 4_010),
    );
    let chunk = single_chunk(4, 4, 3, node.members());
    let mut actions = receive(&mut node, 2, Message::Chunk(chunk), 4_020);
    let entries = vec![entry(5, 4, Payload::Noop)];
    actions.extend(receive(&mut node, 2, append(4, (4, 3), entries, 5), 4_030));
    assert_eq!(node.applied_index(), 5);
    let outcome = |a: &Action| matches!(a, Action::Committed { .. } | Action::Rejected { .. });
    assert!(!actions.iter().any(outcome), "{actions:?}");
}

/// Guards against votes that allow two leaders in one term or violate the lease of a leader.
#[test]
fn voters_grant_one_vote_per_term() {
    struct Case {
        name: &'static str,
        ms: u64,
        /// Candidate, its term, and the index and term of its last entry.
        request: (u64, u64, u64, u64),
        expected: Option<bool>,
    }
    let first = (2, 3, 2, 2);
    let case = |name, ms, request, expected| Case {
        name,
        ms,
        request,
        expected,
    };
    let cases = [
        case(
            "within an election timeout after the restart",
            1_990,
            first,
            None,
        ),
        case(
            "candidate with a shorter log",
            2_000,
            (2, 3, 1, 2),
            Some(false),
        ),
        case(
            "candidate with an older last term",
            2_000,
            (2, 3, 9, 1),
            Some(false),
        ),
        case("stale term", 2_000, (2, 1, 9, 9), Some(false)),
        case("first vote in the term", 2_000, first, Some(true)),
        case("repeated request", 2_010, first, Some(true)),
        case(
            "second candidate in the term",
            2_010,
            (3, 3, 9, 3),
            Some(false),
        ),
        case(
            "candidate in the next term",
            2_010,
            (3, 4, 2, 2),
            Some(true),
        ),
    ];
    let mut node = follower();
    for case in cases {
        let (from, term, last, last_term) = case.request;
        let request = Message::Vote {
            term,
            last,
            last_term,
        };
        let actions = receive(&mut node, from, request, case.ms);
        let reply = actions.iter().find_map(|a| match a {
            Action::Send {
                message: Message::VoteReply { granted, .. },
                ..
            } => Some(*granted),
            _ => None,
        });
        assert_eq!(reply, case.expected, "{}", case.name);
        let vote =
            |a: &Action| matches!(a, Action::Persist { hard: Some(h), .. } if h.vote.is_some());
        let written = actions.iter().position(vote).unwrap_or(0);
        assert_eq!(
            written, 0,
            "{}: the vote must be written before the reply",
            case.name
        );
    }
    // After a heartbeat, a vote request of a higher term is ignored and the term does not change.
    let heartbeat = append(4, (2, 2), Vec::new(), 1);
    receive(&mut node, 3, heartbeat, 2_020);
    let request = Message::Vote {
        term: 9,
        last: 9,
        last_term: 9,
    };
    assert!(receive(&mut node, 2, request, 4_010).is_empty());
    assert_eq!(node.term(), 4);
}

fn arbitrary_message() -> impl Strategy<Value = Message> {
    let number = || prop_oneof![0..6_u64, Just(u64::MAX - 1), Just(u64::MAX)];
    let numbers = (number(), number(), number(), number(), number(), number());
    let flags = (any::<bool>(), any::<bool>(), 0..7_u8);
    (numbers, flags).prop_map(|((term, a, b, c, d, e), (one, two, kind))| match kind {
        0 => Message::PreVote {
            term,
            last: a,
            last_term: b,
        },
        1 => Message::Vote {
            term,
            last: a,
            last_term: b,
        },
        2 => Message::VoteReply {
            term,
            pre: one,
            granted: two,
        },
        3 => Message::AppendReply {
            term,
            ok: one,
            index: a,
            hint: b,
            sent: c,
        },
        4 => Message::ChunkReply {
            term,
            index: a,
            offset: b,
            sent: c,
        },
        5 => Message::Chunk(SnapshotChunk {
            term,
            index: a,
            last_term: b,
            members: if one {
                follower().members().clone()
            } else {
                Members::default()
            },
            offset: c,
            total: d,
            data: Data::from("é"),
            sent: e,
            age: e,
        }),
        _ => Message::Append(AppendEntries {
            term,
            prev: a,
            prev_term: b,
            entries: vec![Entry {
                index: if one { a.wrapping_add(1) } else { c },
                term: d,
                payload: Payload::Noop,
            }],
            commit: e,
            sent: c,
            age: d,
        }),
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::with_cases(2_000)
    })]

    /// Guards against a panic or an out-of-range term or commit index caused by a message from a faulty
    /// peer.
    #[test]
    fn arbitrary_messages_keep_numbers_in_range(messages in prop::collection::vec((arbitrary_message(), 2..5_u64), 1..20), leads in any::<bool>()) {
        let mut node = if leads { leader() } else { follower() };
        for (message, from) in messages {
            receive(&mut node, from, message, 6_500);
            node.step(Event::Synced { index: 9 }, Time(START_MS + 6_500));
            prop_assert!(node.term() <= 1 << 53 && node.commit_index() <= 1 << 53);
        }
    }
}

/// Guards against a leader that spends its time on sending learners a message per entry, and against one
/// that delays entries for voters or never sends them to learners.
#[test]
fn learners_receive_entries_in_batches() {
    let ids = [(1, true), (2, true), (3, true), (4, false)];
    let members: Vec<_> = ids.map(|(id, votes)| member(VmId(id), votes)).to_vec();
    let recovered = RecoveredState {
        snapshot: Some(Snapshot::initial(Members::from(members))),
        ..RecoveredState::default()
    };
    let settings = Settings {
        id: VmId(1),
        learner_interval_ms: 50,
        ..Settings::default()
    };
    let mut node = Node::new(settings, recovered);
    node.step(Event::Tick, Time(START_MS));
    node.step(Event::Tick, Time(START_MS + 4_000));
    receive(&mut node, 2, vote_granted(true, 1), 4_000);
    receive(&mut node, 2, vote_granted(false, 1), 4_000);
    assert_eq!(node.role(), Role::Leader);
    let reply = |index, sent| Message::AppendReply {
        term: 1,
        ok: true,
        index,
        hint: 0,
        sent: START_MS + sent,
    };
    for id in [2, 3, 4] {
        receive(&mut node, id, reply(1, 4_000), 4_010);
    }
    node.step(Event::Synced { index: 2 }, Time(START_MS + 4_010));
    let mut sent = std::collections::BTreeMap::new();
    let mut batches: [Vec<usize>; 2] = Default::default();
    let mut record = |actions: Vec<Action>| {
        for action in actions {
            let Action::Send { to, message } = action else {
                continue;
            };
            if let Message::Append(append) = message
                && let Some(last) = append.entries.last()
            {
                sent.insert(to.0, last.index);
                match to {
                    VmId(2) => batches[0].push(append.entries.len()),
                    VmId(4) => batches[1].push(append.entries.len()),
                    _ => {}
                }
            }
        }
        sent.clone()
    };
    for ms in (4_020..4_200).step_by(10) {
        let data = Data::from("a");
        record(node.step(
            Event::Propose(vec![Proposal {
                proposal_id: ms,
                data,
            }]),
            Time(START_MS + ms),
        ));
        let index = node.dump()["last"].as_u64().unwrap_or(0);
        let mut known = record(node.step(Event::Synced { index }, Time(START_MS + ms)));
        for id in [2, 3, 4] {
            let last = known.get(&id).copied().unwrap_or(1);
            known = record(receive(&mut node, id, reply(last, ms), ms));
        }
    }
    let [voter, learner] = batches;
    assert!(voter.len() >= 15, "{voter:?}");
    assert!((2..=5).contains(&learner.len()), "{learner:?}");
    assert!(learner.iter().sum::<usize>() >= 14, "{learner:?}");
}

/// Guards against a sync per commit without `durable_commit`, and against a missing sync with it, after
/// which a restart would expose an older state.
#[test]
fn commit_syncs_only_with_durable_commit() {
    for durable in [true, false] {
        let mut node = elect(follower_with(durable));
        let actions = receive(&mut node, 2, append_reply(3, 4_000), 4_010);
        assert_eq!(node.commit_index(), 3);
        let written = |a: &Action| matches!(a, Action::Persist { .. });
        assert_eq!(actions.iter().any(written), durable, "{actions:?}");
        let shown = |a: &Action| matches!(a, Action::Apply { .. });
        assert!(actions.iter().any(shown), "{actions:?}");
    }
}

/// Guards against a leader that is not ready while it writes a new commit index to its disk. Under
/// steady load a slow disk nearly always writes one, and the cell's leases were not renewed meanwhile.
#[test]
fn leader_stays_ready_while_a_commit_is_written() {
    for durable in [true, false] {
        let mut node = elect(follower_with(durable));
        assert!(!node.is_ready(), "nothing of its own term is applied");
        receive(&mut node, 2, append_reply(3, 4_000), 4_010);
        assert!(node.is_ready());
        let data = Data::from("b");
        let proposal = Proposal {
            proposal_id: 1,
            data,
        };
        node.step(Event::Propose(vec![proposal]), Time(START_MS + 4_011));
        for id in [2, 3] {
            receive(&mut node, id, append_reply(4, 4_011), 4_012);
        }
        assert_eq!(node.commit_index(), 4);
        assert!(
            node.is_ready(),
            "durable {durable}: applied {}",
            node.applied_index()
        );
    }
}
