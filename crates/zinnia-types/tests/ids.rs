//! Names, ids and amounts: what parses, what does not, and round trips.

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

/// Guards against names that break paths, tables or logs.
#[test]
fn names() {
    struct Case(&'static str, Option<NameError>);
    let cases = [
        Case("a", None),
        Case("A-z_0.9", None),
        Case("1234567890123456789012345678901", None),
        Case("", Some(NameError::Length(0))),
        Case(
            "12345678901234567890123456789012",
            Some(NameError::Length(32)),
        ),
        Case("a b", Some(NameError::Byte(1))),
        Case("a/b", Some(NameError::Byte(1))),
        Case("né", Some(NameError::Byte(1))),
        Case("a\n", Some(NameError::Byte(1))),
    ];
    for Case(text, want) in cases {
        assert_eq!(Name::new(text).err(), want, "{text:?}");
        let json = serde_json::to_string(text).unwrap();
        assert_eq!(serde_json::from_str::<Name>(&json).is_ok(), want.is_none());
    }
}

/// Guards against ids with two spellings, which would be two keys in a map of texts.
#[test]
fn ids() {
    struct Case(&'static str, bool);
    let vm = [
        Case("00000000000000ff", true),
        Case("ff", true),
        Case("", false),
        Case("+ff", false),
        Case("-1", false),
        Case("0x1", false),
        Case("10000000000000000", false),
    ];
    for Case(text, ok) in vm {
        assert_eq!(text.parse::<VmId>().is_ok(), ok, "{text}");
    }
    let attempts = [
        Case("00000000000000ff.1.2.3", true),
        Case("ff.1.2", false),
        Case("ff.1.2.3.4", false),
        Case("ff.1.2.", false),
        Case("ff.+1.2.3", false),
        Case("ff.1.2.4294967296", false),
    ];
    for Case(text, ok) in attempts {
        assert_eq!(text.parse::<AttemptId>().is_ok(), ok, "{text}");
    }
}

/// Guards against two jobs under one id because team and name run into each other.
#[test]
fn job_ids_separate_team_and_name() {
    let of = |team: &str, name| JobId::of(TeamId::new(team).unwrap(), name);
    assert_eq!(of("kibo", "j1"), of("kibo", "j1"));
    assert_ne!(of("kibo", "j1"), of("kib", "oj1"));
    assert_ne!(of("kibo", "j1"), of("kibo", "j2"));
}

/// Guards against a refusal whose status says something else than its code.
#[test]
fn refusals() {
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
    // Small numbers make equal and zero dimensions frequent.
    let part = || prop_oneof![0..4_u64, any::<u64>()];
    (part(), part(), part()).prop_map(|(cpu, mem, gpu)| Resources { cpu, mem, gpu })
}

proptest! {
    /// Guards against parsers at the edge that panic, and against values that change on the way.
    #[test]
    fn texts_never_panic(text in "\\PC{0,40}|[0-9a-f.+-]{0,40}") {
        if let Ok(name) = text.parse::<Name>() {
            prop_assert_eq!(name.as_str(), &text);
            prop_assert_eq!(name.to_string(), &*text);
        }
        if let Ok(id) = text.parse::<AttemptId>() {
            prop_assert_eq!(id.to_string().parse::<AttemptId>(), Ok(id));
        }
        let _ = text.parse::<VmId>();
    }

    /// Guards against ids that lose digits in JSON.
    #[test]
    fn ids_round_trip(job: u64, task: u32, term: u64, number: u32) {
        let attempt = AttemptId { job: JobId(job), task, term, number };
        let json = serde_json::to_string(&attempt).unwrap();
        prop_assert_eq!(serde_json::from_str::<AttemptId>(&json).unwrap(), attempt);
        let json = serde_json::to_string(&VmId(job)).unwrap();
        prop_assert_eq!(serde_json::from_str::<VmId>(&json).unwrap(), VmId(job));
    }

    /// Guards against a capacity check that overflows or disagrees with the subtraction.
    #[test]
    fn amounts(a in resources(), b in resources()) {
        prop_assert_eq!(a.fits(&b), b.checked_sub(&a).is_some());
        if let Some(rest) = b.checked_sub(&a) {
            prop_assert_eq!(rest + a, b);
            prop_assert_eq!(b.saturating_sub(&a), rest);
        }
        // Called by path, since `a.min(b)` is `Ord::min`, which compares the amounts in order.
        prop_assert!(Resources::elementwise_min(&a, &b).fits(&a) && Resources::elementwise_min(&a, &b).fits(&b));
        prop_assert!(a.fits(&Resources::elementwise_max(&a, &b)) && b.fits(&Resources::elementwise_max(&a, &b)));
        let times = b.count_fitting(&a);
        if times < u64::MAX && a != Resources::ZERO {
            prop_assert!(a.saturating_mul(times).fits(&b));
            prop_assert!(!a.saturating_mul(times + 1).fits(&b) || a.saturating_mul(times + 1).cpu == u64::MAX);
        }
        prop_assert!(a.dominant_share(&b) >= 0.0);
    }
}
