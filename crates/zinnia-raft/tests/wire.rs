//! JSON encoding of messages and entries.

use zinnia_raft::AppendEntries;
use zinnia_raft::Data;
use zinnia_raft::Entry;
use zinnia_raft::MembershipChange;
use zinnia_raft::Message;
use zinnia_raft::Payload;
use zinnia_raft::sim::member;
use zinnia_types::VmId;

/// Guards against an encoding that changes or grows unnoticed. The VMs of a cell must be able to decode
/// each other's messages.
#[test]
fn encoded_messages_are_stable() {
    struct Case {
        message: Message,
        json: &'static str,
    }
    let append = |entries| {
        Message::Append(AppendEntries {
            term: 3,
            prev: 41,
            prev_term: 2,
            entries,
            commit: 40,
            sent: 1_000,
            age: 7,
        })
    };
    let entry = |index, payload| Entry {
        index,
        term: 3,
        payload,
    };
    let cases = [
        Case {
            message: append(Vec::new()),
            json: r#"{"append":{"term":3,"prev":41,"prev_term":2,"commit":40,"sent":1000,"age":7}}"#,
        },
        Case {
            message: append(vec![
                entry(42, Payload::Noop),
                entry(43, Payload::Data(Data::from(r#"{"n":"é"}"#))),
                entry(
                    44,
                    Payload::Change(MembershipChange::Add(member(VmId(255), false))),
                ),
                entry(45, Payload::Change(MembershipChange::Remove(VmId(255)))),
            ]),
            json: concat!(
                r#"{"append":{"term":3,"prev":41,"prev_term":2,"entries":[[42,3,null],"#,
                r#"[43,3,"{\"n\":\"é\"}"],"#,
                r#"[44,3,{"add":{"id":"00000000000000ff","peer":"10.0.0.255:7000","voter":false}}],"#,
                r#"[45,3,{"remove":"00000000000000ff"}]],"commit":40,"sent":1000,"age":7}}"#
            ),
        },
        Case {
            message: Message::VoteReply {
                term: 3,
                pre: true,
                granted: false,
            },
            json: r#"{"vote_reply":{"term":3,"pre":true,"granted":false}}"#,
        },
        Case {
            message: Message::ChunkReply {
                term: 3,
                index: 9,
                offset: 128,
                sent: 5,
            },
            json: r#"{"chunk_reply":{"term":3,"index":9,"offset":128,"sent":5}}"#,
        },
    ];
    for case in cases {
        let json = serde_json::to_string(&case.message).expect("the message is serializable");
        assert_eq!(json, case.json);
        let back: Message = serde_json::from_str(&json).expect("the JSON is a valid message");
        assert_eq!(back, case.message);
    }
}
