//! The document: parsing of JSON with comments, validation, and jobs created from its kinds.
#![expect(clippy::unwrap_used, reason = "helpers of tests")]

use proptest::prelude::*;
use serde_json::Value;
use serde_json::json;
use zinnia_types::Class;
use zinnia_types::Document;
use zinnia_types::DomainId;
use zinnia_types::JobId;
use zinnia_types::JobRequest;
use zinnia_types::TeamId;
use zinnia_types::Urgency;
use zinnia_types::parse_jsonc;

/// Guards against a parse error that points to the wrong position, and against a misspelt field
/// that is silently ignored.
#[test]
fn parse_errors_have_positions() {
    /// Text, line, column and message of the expected error; the message is empty for a valid text.
    struct Case(&'static str, usize, usize, &'static str);
    let cases = [
        Case("{\"teams\": [], \"kinds\": []}", 0, 0, ""),
        Case(
            "// c\n{\"teams\": [], /* é\n é */ \"kinds\": [] # c\n} // c",
            0,
            0,
            "",
        ),
        Case(
            "{\"teams\": [], \"kinds\": [], \"shifts\": []} // \"end\"",
            0,
            0,
            "",
        ),
        Case("", 1, 0, "EOF"),
        Case(
            "{\"teams\": [],\n \"kinds\": [],\n \"kind\": 1}",
            3,
            7,
            "unknown field `kind`",
        ),
        Case("/* a\n b */ {\"teams\": 1}", 2, 17, "expected a sequence"),
        Case("/* é */ {\"teams\": 1}", 1, 20, "expected a sequence"),
        Case(
            "{\"teams\": [],\r\n \"kinds\": [],\r\n}",
            3,
            1,
            "trailing comma",
        ),
        Case("{\"teams\": []}", 1, 13, "missing field `kinds`"),
        Case(
            "{\"teams\": [], \"kinds\": []} {}",
            1,
            28,
            "trailing characters",
        ),
        Case("{ /* never closed", 0, 0, "comment is not closed"),
        Case(
            "{\"teams\": \"// no comment\"}",
            1,
            25,
            "expected a sequence",
        ),
    ];
    for Case(text, line, column, message) in cases {
        match parse_jsonc::<Document>(text) {
            Ok(_) => assert_eq!(message, "", "{text:?}"),
            Err(e) => {
                assert_eq!((e.line, e.column), (line, column), "{text:?}: {e}");
                assert!(
                    !message.is_empty() && e.message.contains(message),
                    "{text:?}: {e}"
                );
            }
        }
    }
}

fn sample_document() -> Value {
    json!({
        "teams": [
            {"name": "kibo", "share": 2, "limit": {"cpu": 8000, "mem": 8192, "gpu": 1}},
            {"name": "mawenzi", "share": 1, "limit": {"cpu": 8000, "mem": 8192}, "calls": 5}
        ],
        "kinds": [
            {"name": "quote", "class": "service", "urgency": "urgent", "need": {"cpu": 500, "mem": 512}},
            {"name": "layout", "class": "gang", "tasks": 4, "need": {"cpu": 1000, "mem": 512}, "runtime_ms": 60000, "retries": 1, "repeat": false, "shift": "early", "open": "kibo"}
        ],
        "shifts": [{"name": "early", "zone": "UTC", "days": ["mon"], "time": "06:00"}]
    })
}

/// Returns the sample document with the value at the JSON pointer replaced.
fn sample_with(pointer: &str, value: Value) -> Value {
    let mut document = sample_document();
    *document.pointer_mut(pointer).unwrap() = value;
    document
}

/// Guards against an invalid document that is accepted.
#[test]
fn invalid_fields_are_found() {
    /// JSON pointer, new value there and expected paths of the first errors.
    struct Case(&'static str, Value, &'static [&'static str]);
    let cases = [
        Case("/teams/0/share", json!(2), &[]),
        Case("/teams/1/name", json!("kibo"), &["teams[1].name"]),
        Case("/teams/0/share", json!(0), &["teams[0].share"]),
        Case("/teams/1/calls", json!(0), &["teams[1].calls"]),
        Case("/teams", json!([]), &["kinds[1].open"]),
        Case("/kinds/1/name", json!("quote"), &["kinds[1].name"]),
        Case("/kinds/1/tasks", json!(0), &["kinds[1].tasks"]),
        Case("/kinds/1/tasks", json!(10_001), &["kinds[1].tasks"]),
        Case(
            "/kinds/0/need",
            json!({"cpu": 0, "mem": 0}),
            &["kinds[0].need"],
        ),
        Case("/kinds/1/class", json!("service"), &["kinds[1].runtime_ms"]),
        Case("/kinds/1/open", json!("meru"), &["kinds[1].open"]),
        Case("/kinds/1/shift", json!("late"), &["kinds[1].shift"]),
        Case("/shifts", json!([]), &["kinds[1].shift"]),
        Case("/shifts/0/zone", json!("Mars/Base"), &["shifts[0]"]),
        Case("/shifts/0/time", json!("25:00"), &["shifts[0]"]),
        Case("/shifts/0/days", json!([]), &["shifts[0]"]),
        Case(
            "/teams",
            json!(vec![sample_document()["teams"][0].clone(); 257]),
            &["teams", "teams[1].name"],
        ),
    ];
    for Case(pointer, value, paths) in cases {
        let document: Document =
            serde_json::from_value(sample_with(pointer, value.clone())).unwrap();
        let errors = document.validate();
        let found_paths: Vec<&str> = errors
            .iter()
            .map(|e| e.path.as_str())
            .take(paths.len().max(1))
            .collect();
        assert_eq!(found_paths, paths, "{pointer} {value}: {errors:?}");
    }
}

/// Resolves a submission of team `kibo` with the sample document; returns the paths of the errors.
fn resolve(request: Value) -> Result<zinnia_types::Job, Vec<String>> {
    let document: Document = serde_json::from_value(sample_document()).unwrap();
    let request: JobRequest = serde_json::from_value(request).unwrap();
    let team = TeamId::new("kibo").unwrap();
    let domain = DomainId::new("a").unwrap();
    let paths =
        |errors: Vec<zinnia_types::ValidationError>| errors.into_iter().map(|e| e.path).collect();
    document.resolve(team, &request, domain, 0).map_err(paths)
}

/// Guards against a job that ignores a field of its submission or a default of its kind.
#[test]
fn jobs_take_defaults_from_their_kind() {
    let job = resolve(json!({"name": "j", "kind": "layout"})).unwrap();
    assert_eq!(job.id, JobId::of(TeamId::new("kibo").unwrap(), "j"));
    assert_eq!(
        (job.class, job.urgency, job.tasks),
        (Class::Gang, Urgency::Normal, 4)
    );
    assert_eq!(
        (job.runtime_ms, job.retries, job.repeat),
        (60_000, 1, false)
    );
    // 06:00 on the first Monday after the Unix epoch, which is a Thursday.
    assert_eq!(job.due_ms, Some((4 * 24 + 6) * 3_600_000));
    assert_eq!(
        (job.domain.as_str(), job.pinned, job.accepted_ms),
        ("a", false, 0)
    );
    let overrides = json!({"name": "j", "kind": "layout", "tasks": 2, "need": {"cpu": 1, "mem": 2}, "runtime_ms": 5,
        "domain": "b", "repeat": true, "payload": {"x": 1}});
    let job = resolve(overrides).unwrap();
    assert_eq!(
        (job.tasks, job.need.cpu, job.runtime_ms, job.repeat),
        (2, 1, 5, true)
    );
    assert_eq!((job.domain.as_str(), job.pinned), ("b", true));
    assert_eq!(job.payload, json!({"x": 1}));
    let round_trip: zinnia_types::Job = serde_json::from_value(json!(job)).unwrap();
    assert_eq!(round_trip, job);
}

/// Guards against an accepted submission whose job could never be run, called or displayed.
#[test]
fn invalid_submissions_are_rejected() {
    /// The submission and the expected paths of the errors.
    struct Case(Value, &'static [&'static str]);
    let oversized_payload = "x".repeat(16 * 1024);
    let cases = [
        Case(json!({"name": "", "kind": "layout"}), &["name"]),
        Case(
            json!({"name": "x".repeat(129), "kind": "layout"}),
            &["name"],
        ),
        Case(json!({"name": "a\u{1b}[2J", "kind": "layout"}), &["name"]),
        Case(json!({"name": "j", "kind": "none"}), &["kind"]),
        Case(
            json!({"name": "j", "kind": "layout", "tasks": 0}),
            &["tasks"],
        ),
        Case(
            json!({"name": "j", "kind": "layout", "tasks": 10_001}),
            &["tasks"],
        ),
        Case(
            json!({"name": "j", "kind": "layout", "need": {"cpu": 0, "mem": 0}}),
            &["need"],
        ),
        Case(
            json!({"name": "j", "kind": "layout", "shift": "late"}),
            &["shift"],
        ),
        Case(
            json!({"name": "j", "kind": "layout", "payload": oversized_payload}),
            &["payload"],
        ),
        Case(
            json!({"name": "", "kind": "none", "tasks": 0}),
            &["name", "tasks", "kind"],
        ),
        // Callers address a service by the name of its job, which must be valid in a URL path.
        Case(json!({"name": "my service", "kind": "quote"}), &["name"]),
        Case(json!({"name": "quote-desk", "kind": "quote"}), &[]),
        Case(
            json!({"name": "q", "kind": "quote", "runtime_ms": 5}),
            &["runtime_ms"],
        ),
    ];
    for Case(request, paths) in cases {
        let request_text = request.to_string();
        let found_paths = resolve(request).err().unwrap_or_default();
        assert_eq!(
            found_paths,
            paths,
            "{}",
            &request_text[..request_text.len().min(80)]
        );
    }
}

/// Guards against a job that is accepted for a team that is not in the document.
#[test]
fn unknown_team_is_rejected() {
    let document: Document = serde_json::from_value(sample_document()).unwrap();
    let request: JobRequest =
        serde_json::from_value(json!({"name": "j", "kind": "layout"})).unwrap();
    let result = document.resolve(
        TeamId::new("meru").unwrap(),
        &request,
        DomainId::new("a").unwrap(),
        0,
    );
    assert_eq!(result.unwrap_err()[0].path, "team");
}

/// Generates JSON that differs from a valid document in a few values, so that it passes the first
/// stages of parsing.
fn almost_valid_document() -> impl Strategy<Value = Value> {
    let replacement = || {
        prop_oneof![
            Just(Value::Null),
            any::<i64>().prop_map(Value::from),
            any::<f64>().prop_map(Value::from),
            "[a-z]{0,3}".prop_map(Value::from),
            Just(json!([])),
        ]
    };
    let pointers = prop::sample::select(vec![
        "/teams/0/name",
        "/teams/0/share",
        "/teams/0/limit/cpu",
        "/kinds/1/tasks",
        "/kinds/1/need",
        "/kinds/1/runtime_ms",
        "/kinds/1/shift",
        "/shifts/0/days",
        "/shifts/0/time",
        "/shifts/0/zone",
    ]);
    prop::collection::vec((pointers, replacement()), 1..4).prop_map(|edits| {
        let mut value = sample_document();
        for (pointer, replacement) in edits {
            if let Some(target) = value.pointer_mut(pointer) {
                *target = replacement;
            }
        }
        value
    })
}

proptest! {
    /// Guards against a malformed document that makes the daemon panic.
    #[test]
    fn parser_accepts_any_text_without_a_panic(text in "\\PC{0,60}|[\\[\\]{}\",:/*#\\\\a-z0-9 \\n]{0,60}") {
        let _ = parse_jsonc::<Document>(&text);
        let _ = parse_jsonc::<Value>(&text);
    }

    /// Guards against a comment that changes the parsed value.
    #[test]
    fn comments_do_not_change_the_value(comment in "[a-z\"{}é ]{0,12}") {
        let text = serde_json::to_string_pretty(&sample_document()).unwrap();
        let line_comments = text.replace('\n', &format!(" // {comment}\n"));
        let block_comments = text.replace('\n', &format!(" /* {comment} */\n"));
        for text in [line_comments, block_comments] {
            prop_assert_eq!(parse_jsonc::<Value>(&text), Ok(sample_document()));
        }
    }

    /// Guards against a document that changes when it is stored in the log as JSON and read back.
    #[test]
    fn documents_round_trip_through_json(value in almost_valid_document()) {
        if let Ok(document) = serde_json::from_value::<Document>(value) {
            let _ = document.validate();
            let json = serde_json::to_string(&document).unwrap();
            prop_assert_eq!(parse_jsonc::<Document>(&json), Ok(document));
        }
    }
}
