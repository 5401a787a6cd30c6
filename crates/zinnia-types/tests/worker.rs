//! JSON form of the messages between workers and daemons.

use serde::Serialize;
use serde::de::DeserializeOwned;
use zinnia_types::Outcome;
use zinnia_types::worker::Announce;
use zinnia_types::worker::AnnounceReply;
use zinnia_types::worker::Heartbeat;
use zinnia_types::worker::HeartbeatReply;
use zinnia_types::worker::Start;
use zinnia_types::worker::StartReply;
use zinnia_types::worker::StopReply;

/// Parses a message and returns it serialised again.
fn reserialise<T: Serialize + DeserializeOwned>(json: &str) -> Result<String, serde_json::Error> {
    let message: T = serde_json::from_str(json)?;
    serde_json::to_string(&message)
}

/// [`reserialise`] for one type of message.
type Reserialise = fn(&str) -> Result<String, serde_json::Error>;

/// Guards against a change to the JSON form of a message, which older workers or daemons would
/// reject, and against numbers that lose digits.
#[test]
fn messages_keep_their_json_form() {
    struct Case(Reserialise, &'static str);
    let cases = [
        Case(
            reserialise::<Announce>,
            r#"{"profile":{"worker":"w1","boot":18446744073709551615,"addr":"127.0.0.1:1","domain":"a","rack":"r1","capacity":{"cpu":1,"mem":2,"gpu":0}},"epoch":3,"unreachable":[],"reports":[{"attempt":"00000000000000ff.1.2.3","state":{"state":"running","task":{"team":"kibo","class":"service","urgency":"urgent","repeat":true,"need":{"cpu":1,"mem":2,"gpu":0},"service":"quote","payload":{"x":[1]}},"usage":{"cpu":0,"mem":0,"gpu":0}}}],"leaving":false}"#,
        ),
        Case(
            reserialise::<AnnounceReply>,
            r#"{"answer":"accepted","owner":"00000000000000ff","owner_ms":1,"task_ms":2,"vms":[],"refuse":["00000000000000ff.1.2.3"]}"#,
        ),
        Case(
            reserialise::<AnnounceReply>,
            r#"{"answer":"redirect","addr":"127.0.0.1:1"}"#,
        ),
        Case(
            reserialise::<Heartbeat>,
            r#"{"worker":"w1","boot":7,"epoch":3,"seq":9,"reports":[{"attempt":"00000000000000ff.1.2.3","state":{"state":"ended","end":{"end":"failed","why":"exit 1"}}},{"attempt":"00000000000000ff.1.2.4","state":{"state":"refused"}}],"leaving":true}"#,
        ),
        Case(
            reserialise::<Heartbeat>,
            r#"{"worker":"w1","boot":7,"epoch":3,"seq":9}"#,
        ),
        Case(reserialise::<HeartbeatReply>, r#"{"seq":9,"renew":true}"#),
        Case(
            reserialise::<Start>,
            r#"{"epoch":3,"attempt":"00000000000000ff.1.2.3","task":{"team":"kibo","class":"gang","urgency":"low","repeat":false,"need":{"cpu":1,"mem":2,"gpu":8}}}"#,
        ),
        Case(
            reserialise::<StartReply>,
            r#"{"answer":"no_capacity","free":{"cpu":1,"mem":2,"gpu":0}}"#,
        ),
        Case(reserialise::<StartReply>, r#"{"answer":"stale_epoch"}"#),
        Case(
            reserialise::<StopReply>,
            r#"{"answer":"stopped","end":{"end":"stopped","checkpoint":true}}"#,
        ),
        Case(
            reserialise::<StopReply>,
            r#"{"answer":"stopped","end":null}"#,
        ),
        Case(
            reserialise::<Outcome>,
            r#"{"state":"never_fits","why":"9 gpu"}"#,
        ),
    ];
    for Case(reserialise, json) in cases {
        let result = reserialise(json).map_err(|e| e.to_string());
        assert_eq!(result.as_deref(), Ok(json));
        // A truncated message must be rejected, not parsed as a shorter one.
        for end in 0..json.len() {
            assert!(reserialise(&json[..end]).is_err(), "{}", &json[..end]);
        }
    }
}
