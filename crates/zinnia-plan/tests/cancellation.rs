//! Cancellations of jobs whose submission has not arrived, in any order of events.

#![expect(clippy::expect_used, reason = "a test must stop if its setup fails")]

mod common;

use common::Simulation;
use common::document;
use common::job;
use common::step;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use zinnia_plan::Batch;
use zinnia_plan::JobSpec;
use zinnia_plan::Record;
use zinnia_plan::Reply;
use zinnia_plan::State;
use zinnia_plan::Status;
use zinnia_types::JobId;

/// How long an answer about a cancelled job holds: that of ended jobs.
const RETENTION_MS: i64 = 180_000;
/// Largest difference between the wall clocks of two leaders.
const MAX_SKEW_MS: i64 = 5_000;
const SEEDS: u64 = 500;
const EVENTS: usize = 60;
/// Number of cancelled unknown jobs above which the state holds no more.
const MAX_CANCELLED_IDS: u64 = 20_000;

fn spec() -> JobSpec {
    job(vec![step(1, 1_000)])
}

fn submission(id: JobId) -> Record {
    Record::Submit {
        id,
        queue: "quick".to_owned(),
        route: None,
        team: "kibo".to_owned(),
        spec: spec(),
    }
}

/// Applies a record under a leader whose wall clock shows `at_ms`.
fn apply(state: &mut State, at_ms: i64, record: Record) -> Reply {
    let batch = Batch {
        at_ms,
        records: vec![record],
        ..Batch::default()
    };
    state.apply(&batch).remove(0)
}

fn empty_state() -> State {
    Simulation::new(document(None)).state
}

fn restored(state: &State) -> State {
    let text = serde_json::to_string(state).expect("a state can be encoded");
    serde_json::from_str(&text).expect("a state can be decoded")
}

/// Guards against a job that is accepted although its cancellation was answered with the statement that it does
/// not exist, and against ids that are kept for ever.
#[test]
fn late_submissions_of_cancelled_jobs_are_refused() {
    struct Case {
        name: &'static str,
        /// Times at which the unknown job is cancelled.
        cancelled: &'static [i64],
        restored: bool,
        submitted: i64,
        reply: Reply,
    }
    let case = |name, cancelled, restored, submitted, reply| Case {
        name,
        cancelled,
        restored,
        submitted,
        reply,
    };
    let last_ms = 10_000 + RETENTION_MS - 1;
    let cases = [
        case("at once", &[10_000][..], false, 10_000, Reply::Cancelled),
        case("from a snapshot", &[10_000], true, 14_000, Reply::Cancelled),
        case(
            "a leader with a clock behind",
            &[10_000],
            false,
            5_000,
            Reply::Cancelled,
        ),
        case("last moment", &[10_000], true, last_ms, Reply::Cancelled),
        case(
            "cancelled again",
            &[10_000, 20_000],
            true,
            last_ms,
            Reply::Cancelled,
        ),
        case("after the retention", &[10_000], true, 200_000, Reply::Done),
    ];
    for case in cases {
        let mut state = empty_state();
        let id = JobId(7);
        for &at_ms in case.cancelled {
            let reply = apply(&mut state, at_ms, Record::Cancel(id));
            assert_eq!(reply, Reply::Unknown, "{}: cancelled", case.name);
        }
        if case.restored {
            state = restored(&state);
        }
        // Other requests let the time pass, too.
        apply(&mut state, case.submitted, Record::Cancel(JobId(1)));
        let reply = apply(&mut state, case.submitted, submission(id));
        assert_eq!(reply, case.reply, "{}: submitted", case.name);
        let is_accepted = state.jobs.contains_key(&id);
        assert_eq!(is_accepted, case.reply == Reply::Done, "{}", case.name);
    }
}

/// Guards against a state that grows without a bound when ids are cancelled at random, and against an answer
/// that the state cannot keep.
#[test]
fn cancellations_of_unknown_jobs_are_bounded() {
    let mut state = empty_state();
    for id in 0..MAX_CANCELLED_IDS {
        let reply = apply(&mut state, 10_000, Record::Cancel(JobId(id)));
        assert_eq!(reply, Reply::Unknown, "{id}");
    }
    let next = JobId(MAX_CANCELLED_IDS);
    let reply = apply(&mut state, 11_000, Record::Cancel(next));
    let retry_after_ms = 179_000;
    assert_eq!(reply, Reply::Busy { retry_after_ms });
    let reply = apply(&mut state, 11_000, Record::Cancel(JobId(0)));
    assert_eq!(reply, Reply::Unknown, "a repeated cancellation");
    let after_ms = 11_000 + RETENTION_MS;
    apply(&mut state, after_ms, submission(JobId(u64::MAX)));
    let reply = apply(&mut state, after_ms, Record::Cancel(next));
    assert_eq!(reply, Reply::Unknown, "the wait that was told is over");
}

/// Guards against any order of submissions, repeated submissions, cancellations, snapshots and leaders with
/// other clocks in which a job is open after its cancellation was answered.
#[test]
fn answered_cancellation_binds_all_later_submissions() {
    for seed in 0..SEEDS {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut state = empty_state();
        let mut now_ms = 1_000_000;
        let mut skew_ms = 0;
        let mut cancelled = [None; 6];
        for _ in 0..EVENTS {
            now_ms += rng.random_range(0..8_000);
            let nth = rng.random_range(0..cancelled.len());
            let id = JobId(nth as u64 + 1);
            match rng.random_range(0..8) {
                0..4 => {
                    apply(&mut state, now_ms + skew_ms, submission(id));
                }
                4 | 5 => {
                    let reply = apply(&mut state, now_ms + skew_ms, Record::Cancel(id));
                    if matches!(reply, Reply::Done | Reply::Unknown) {
                        cancelled[nth] = Some(now_ms);
                    }
                }
                6 => state = restored(&state),
                _ => skew_ms = rng.random_range(-MAX_SKEW_MS..MAX_SKEW_MS),
            }
            for (id, at) in (1..).zip(cancelled) {
                let open = state.jobs.get(&JobId(id)).map(|j| j.status) == Some(Status::Open);
                let binds = |at| now_ms - at < RETENTION_MS - 2 * MAX_SKEW_MS;
                assert!(
                    !open || !at.is_some_and(binds),
                    "seed {seed}: job {id} is open at {now_ms} ms, cancelled at {at:?}"
                );
            }
        }
    }
}
