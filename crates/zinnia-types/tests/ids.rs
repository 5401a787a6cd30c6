//! Parsing and serialisation of names, ids and error bodies, and arithmetic on resources.

use proptest::prelude::*;
use zinnia_types::AttemptId;
use zinnia_types::Code;
use zinnia_types::ErrorBody;
use zinnia_types::ExecutionStatus;
use zinnia_types::JobId;
use zinnia_types::Name;
use zinnia_types::NameError;
use zinnia_types::Resources;
use zinnia_types::TeamId;
use zinnia_types::VmId;

/// Guards against names with characters that are unsafe in URL paths, tables or logs.
#[test]
fn names_have_a_limited_length_and_alphabet() {
    /// The text and the expected error.
    struct Case(&'static str, Option<NameError>);
    let cases = [
        Case("a", None),
        Case("A-z_0.9", None),
        Case("1234567890123456789012345678901", None),
        Case("", Some(NameError::InvalidLength(0))),
        Case(
            "12345678901234567890123456789012",
            Some(NameError::InvalidLength(32)),
        ),
        Case("a b", Some(NameError::InvalidByte(1))),
        Case("a/b", Some(NameError::InvalidByte(1))),
        Case("né", Some(NameError::InvalidByte(1))),
        Case("a\n", Some(NameError::InvalidByte(1))),
    ];
    for Case(text, expected) in cases {
        assert_eq!(Name::new(text).err(), expected, "{text:?}");
        let json = serde_json::to_string(text).unwrap();
        assert_eq!(
            serde_json::from_str::<Name>(&json).is_ok(),
            expected.is_none()
        );
    }
}

/// Guards against ids that are accepted with a sign: the same id with and without it would be two
/// keys in a map keyed by text.
#[test]
fn ids_with_a_sign_are_rejected() {
    /// The text and whether it is a valid id.
    struct Case(&'static str, bool);
    let vm_ids = [
        Case("00000000000000ff", true),
        Case("ff", true),
        Case("", false),
        Case("+ff", false),
        Case("-1", false),
        Case("0x1", false),
        Case("10000000000000000", false),
    ];
    for Case(text, valid) in vm_ids {
        assert_eq!(text.parse::<VmId>().is_ok(), valid, "{text}");
    }
    let attempt_ids = [
        Case("00000000000000ff.1.2.3", true),
        Case("ff.1.2", false),
        Case("ff.1.2.3.4", false),
        Case("ff.1.2.", false),
        Case("ff.+1.2.3", false),
        Case("ff.1.2.4294967296", false),
    ];
    for Case(text, valid) in attempt_ids {
        assert_eq!(text.parse::<AttemptId>().is_ok(), valid, "{text}");
    }
}

/// Guards against two jobs with the same id because the team and the name are hashed without a
/// separator.
#[test]
fn job_ids_separate_team_and_name() {
    let job_id = |team: &str, name| JobId::of(TeamId::new(team).unwrap(), name);
    assert_eq!(job_id("kibo", "j1"), job_id("kibo", "j1"));
    assert_ne!(job_id("kibo", "j1"), job_id("kib", "oj1"));
    assert_ne!(job_id("kibo", "j1"), job_id("kibo", "j2"));
}

/// Guards against a changed JSON form or text of an error, and against an HTTP status that does not
/// match the error code.
#[test]
fn error_bodies_keep_their_form() {
    let body = ErrorBody::new(Code::OverLimit, "admit", "no room")
        .peer("w1")
        .ran(ExecutionStatus::Unknown);
    let json =
        r#"{"code":"over_limit","message":"no room","step":"admit","peer":"w1","ran":"unknown"}"#;
    assert_eq!(serde_json::to_string(&body).unwrap(), json);
    assert_eq!(serde_json::from_str::<ErrorBody>(json).unwrap(), body);
    assert_eq!(body.to_string(), "admit: no room (at w1) [may have run]");
    assert_eq!(body.code.status(), 429);
}

fn resources() -> impl Strategy<Value = Resources> {
    // The small range makes zero and equal dimensions frequent.
    let amount = || prop_oneof![0..4_u64, any::<u64>()];
    (amount(), amount(), amount()).prop_map(|(cpu, mem, gpu)| Resources { cpu, mem, gpu })
}

proptest! {
    /// Guards against parsers that panic on malformed requests, and against names and ids that
    /// change when they are parsed and formatted.
    #[test]
    fn parsers_accept_any_text_without_a_panic(text in "\\PC{0,40}|[0-9a-f.+-]{0,40}") {
        if let Ok(name) = text.parse::<Name>() {
            prop_assert_eq!(name.as_str(), &text);
            prop_assert_eq!(name.to_string(), &*text);
        }
        if let Ok(id) = text.parse::<AttemptId>() {
            prop_assert_eq!(id.to_string().parse::<AttemptId>(), Ok(id));
        }
        let _ = text.parse::<VmId>();
    }

    /// Guards against ids that lose digits when they are serialised as JSON.
    #[test]
    fn ids_round_trip_through_json(job: u64, task: u32, term: u64, number: u32) {
        let attempt = AttemptId { job: JobId(job), task, term, number };
        let json = serde_json::to_string(&attempt).unwrap();
        prop_assert_eq!(serde_json::from_str::<AttemptId>(&json).unwrap(), attempt);
        let json = serde_json::to_string(&VmId(job)).unwrap();
        prop_assert_eq!(serde_json::from_str::<VmId>(&json).unwrap(), VmId(job));
    }

    /// Guards against resource arithmetic that overflows, and against a capacity check that
    /// disagrees with the subtraction.
    #[test]
    fn resource_arithmetic_is_consistent(a in resources(), b in resources()) {
        prop_assert_eq!(a.fits(&b), b.checked_sub(&a).is_some());
        if let Some(difference) = b.checked_sub(&a) {
            prop_assert_eq!(difference + a, b);
            prop_assert_eq!(b.saturating_sub(&a), difference);
        }
        prop_assert!(Resources::elementwise_min(&a, &b).fits(&a) && Resources::elementwise_min(&a, &b).fits(&b));
        prop_assert!(a.fits(&Resources::elementwise_max(&a, &b)) && b.fits(&Resources::elementwise_max(&a, &b)));
        let count = b.count_fitting(&a);
        if count < u64::MAX && a != Resources::ZERO {
            prop_assert!(a.saturating_mul(count).fits(&b));
            prop_assert!(!a.saturating_mul(count + 1).fits(&b) || a.saturating_mul(count + 1).cpu == u64::MAX);
        }
        prop_assert!(a.dominant_share(&b) >= 0.0);
    }
}
