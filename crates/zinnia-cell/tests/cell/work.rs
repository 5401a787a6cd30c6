//! Jobs, dispatch records and requests that must not be repeated.

use zinnia_cell::CallOutcome;
use zinnia_cell::CallState;
use zinnia_cell::JobFilter;
use zinnia_cell::JobState;
use zinnia_cell::Refusal::*;
use zinnia_cell::TaskEnd;
use zinnia_cell::TaskOutcome;
use zinnia_types::Outcome;

use crate::build::*;

fn accepted(repeated: bool) -> Reply {
    Reply::Accepted { repeated }
}

pub(crate) fn refused(refusal: Refusal) -> Reply {
    Reply::Refused(refusal)
}

pub(crate) fn finish(id: JobId, at_ms: i64) -> Command {
    Command::EndJob {
        job: id,
        outcome: Outcome::Done,
        at_ms,
    }
}

pub(crate) fn record(id: &str, content: &str, at_ms: i64) -> Command {
    Command::RecordCall {
        team: team("ink"),
        id: id.to_owned(),
        hash: Digest::of(content.as_bytes()),
        at_ms,
    }
}

pub(crate) fn finish_call(id: &str, body: &str) -> Command {
    Command::FinishCall {
        team: team("ink"),
        id: id.to_owned(),
        status: 200,
        body: body.to_owned(),
    }
}

pub(crate) fn finished(body: Option<&str>) -> Reply {
    Reply::Call(CallState::Finished(CallOutcome {
        status: 200,
        body: body.map(str::to_owned),
    }))
}

/// Guards against a job accepted twice, for another team, or with a key that does not open it.
#[test]
fn job_is_accepted_once() {
    let one = job("ink", "one");
    let mut later = one.clone();
    // The same request, resolved by another VM a minute later.
    later.accepted_ms = 60_000;
    later.due_ms = Some(1);
    later.domain = domain("b");
    let two = job("ink", "two");
    let stranger = job("dye", "one");
    let ended = |repeated| Reply::Ended {
        outcome: Outcome::Done,
        repeated,
    };
    let mut cell = cell();
    apply(&mut cell, &accept(&two, "2", None));
    let live = match restored(&cell).job(two.id) {
        Some(JobState::Live(live)) => live,
        other => panic!("{other:?}"),
    };
    assert_eq!(live.job, two);
    apply(&mut cell, &finish(two.id, 1));
    let two = job("ink", "other");
    let script = vec![
        step(
            "grant",
            grant("k", "zk_k_s", KeyRole::Team(team("ink"))),
            Reply::Done,
        ),
        step(
            "grant",
            grant("t", "zk_t_s", KeyRole::Team(team("tap"))),
            Reply::Done,
        ),
        step(
            "grant",
            grant("o", "zk_o_s", KeyRole::Operator),
            Reply::Done,
        ),
        step("accept", accept(&one, "1", Some("k")), accepted(false)),
        step("resend", accept(&later, "1", Some("k")), accepted(true)),
        step(
            "other content",
            accept(&one, "2", None),
            refused(JobConflict(one.id)),
        ),
        step(
            "key of a team",
            accept(&two, "1", Some("t")),
            refused(KeyRefused(key("t"))),
        ),
        step(
            "operator key",
            accept(&two, "1", Some("o")),
            refused(KeyRefused(key("o"))),
        ),
        step(
            "no such key",
            accept(&two, "1", Some("x")),
            refused(KeyRefused(key("x"))),
        ),
        step(
            "withdraw",
            Command::WithdrawKeys {
                ids: vec![key("k")],
            },
            Reply::Done,
        ),
        step(
            "withdrawn",
            accept(&two, "1", Some("k")),
            refused(KeyWithdrawn(key("k"))),
        ),
        step(
            "unknown team",
            accept(&stranger, "1", None),
            refused(UnknownTeam(team("dye"))),
        ),
        step("end", finish(one.id, 5), ended(false)),
        step("end again", finish(one.id, 9), ended(true)),
        step(
            "resend after the end",
            accept(&one, "1", None),
            accepted(true),
        ),
        step("unknown", finish(two.id, 9), refused(UnknownJob(two.id))),
    ];
    run(&mut cell, script);
    assert!(matches!(cell.job(one.id), Some(JobState::Ended(e)) if e.ended_ms == 5));
    assert_eq!(cell.live_jobs_in(domain("a")).count(), 0);
}

/// Guards against a second dispatch of a task that must not be repeated, also by a former owner,
/// and against a task end recorded twice (P2, P7).
#[test]
fn tasks_are_dispatched_and_ended_once() {
    let one = job("ink", "one");
    let dispatch = |tasks: &[u32], at: &str, term: u64| Command::Dispatch {
        job: one.id,
        tasks: tasks.to_vec(),
        domain: domain(at),
        term,
    };
    let rehome = |from: &str, to: &str, term: u64| Command::Rehome {
        job: one.id,
        from: domain(from),
        to: domain(to),
        term,
    };
    let end = |tasks: &[u32], finish: TaskOutcome| Command::EndTasks {
        ends: tasks
            .iter()
            .map(|&task| TaskEnd {
                job: one.id,
                task,
                finish,
            })
            .collect(),
    };
    let ends = |recorded, known, stray| Reply::Ends {
        recorded,
        known,
        stray,
    };
    let dispatched = |fresh: &[u32], known: &[(u32, u64)]| Reply::Dispatched {
        fresh: fresh.to_vec(),
        known: known.to_vec(),
    };
    let mut cell = cell();
    let a = cell.owner(domain("a"));
    let script = vec![
        step("accept", accept(&one, "1", None), accepted(false)),
        step(
            "dispatch",
            dispatch(&[0, 0], "a", 1),
            dispatched(&[0], &[(0, 1)]),
        ),
        step(
            "again",
            dispatch(&[0, 1], "a", 1),
            dispatched(&[1], &[(0, 1)]),
        ),
        step("no task", dispatch(&[3], "a", 1), refused(UnknownTask(3))),
        step(
            "stale",
            dispatch(&[2], "a", 9),
            refused(StaleTerm { owner: a }),
        ),
        step(
            "domain",
            dispatch(&[2], "b", 2),
            refused(OtherDomain(domain("a"))),
        ),
        step("running", rehome("a", "b", 1), refused(TaskDispatched(0))),
        step("end", end(&[0, 1, 1], TaskOutcome::Done), ends(2, 1, 0)),
        step(
            "resend",
            end(&[0, 1, 7], TaskOutcome::Failed),
            ends(0, 2, 1),
        ),
        step(
            "stale",
            rehome("a", "b", 9),
            refused(StaleTerm { owner: a }),
        ),
        step(
            "nowhere",
            rehome("a", "z", 1),
            refused(UnknownDomain(domain("z"))),
        ),
        step("rehome", rehome("a", "b", 1), Reply::Done),
        step(
            "again",
            rehome("a", "b", 1),
            refused(OtherDomain(domain("b"))),
        ),
        step(
            "left",
            dispatch(&[2], "a", 1),
            refused(OtherDomain(domain("b"))),
        ),
        step(
            "ended task",
            dispatch(&[0, 2], "b", 2),
            dispatched(&[2], &[(0, 1)]),
        ),
    ];
    run(&mut cell, script);
    let count = |at: &str| cell.live_jobs_in(domain(at)).count();
    assert_eq!((count("a"), count("b")), (0, 1));
    apply(&mut cell, &own("b", 1, 2));
    // The new acting owner sees the record and must not start the task either.
    let reply = apply(&mut cell, &dispatch(&[2], "b", 3));
    assert_eq!(reply, dispatched(&[], &[(2, 2)]));
    apply(&mut cell, &finish(one.id, 1));
    assert_eq!(
        apply(&mut cell, &end(&[2], TaskOutcome::Done)),
        ends(0, 0, 1)
    );
}

/// Guards against a task that is dispatched after its end came from another acting owner.
#[test]
fn ended_task_is_not_dispatched() {
    let one = job("ink", "one");
    let mut cell = cell();
    apply(&mut cell, &accept(&one, "1", None));
    let end = TaskEnd {
        job: one.id,
        task: 1,
        finish: TaskOutcome::Unknown,
    };
    apply(&mut cell, &Command::EndTasks { ends: vec![end] });
    let dispatch = Command::Dispatch {
        job: one.id,
        tasks: vec![1],
        domain: domain("a"),
        term: 1,
    };
    let reply = Reply::Dispatched {
        fresh: vec![],
        known: vec![(1, 0)],
    };
    assert_eq!(apply(&mut cell, &dispatch), reply);
}

/// Guards against a cancellation that hits jobs of another team, and against a moved pinned job.
#[test]
fn cancellation_hits_what_it_names() {
    let mut cell = cell();
    let mut jobs = Vec::new();
    for (owner, name, kind) in [
        ("ink", "run-1", "proof"),
        ("ink", "run-2", "render"),
        ("ink", "odd", "proof"),
        ("tap", "run-3", "proof"),
    ] {
        let mut one = job(owner, name);
        one.kind = Name::new(kind).unwrap();
        one.pinned = true;
        apply(&mut cell, &accept(&one, "1", None));
        jobs.push(one);
    }
    let mut cancel = |which: JobFilter| {
        let command = Command::Cancel {
            team: team("ink"),
            which,
            at_ms: 1,
        };
        match apply(&mut cell, &command) {
            Reply::Cancelled { jobs } => jobs,
            other => panic!("{other:?}"),
        }
    };
    let ids: Vec<_> = jobs.iter().map(|job| job.id).collect();
    let by = |prefix: &str, kind: Option<&str>| JobFilter::Matching {
        prefix: prefix.to_owned(),
        kind: kind.map(|kind| Name::new(kind).unwrap()),
    };
    assert_eq!(cancel(by("run", Some("render"))), [ids[1]]);
    assert_eq!(cancel(by("run", None)), [ids[0]]);
    assert_eq!(cancel(JobFilter::Jobs(ids.clone())), [ids[2]]);
    assert_eq!(cancel(by("", None)), []);
    let dispatch = Command::Dispatch {
        job: ids[0],
        tasks: vec![0],
        domain: domain("a"),
        term: 1,
    };
    let reply = refused(JobCancelled(ids[0]));
    assert_eq!(apply(&mut cell, &dispatch), reply);
    let rehome = Command::Rehome {
        job: ids[0],
        from: domain("a"),
        to: domain("b"),
        term: 1,
    };
    assert_eq!(apply(&mut cell, &rehome), refused(Pinned));
}

/// Guards against a second run of a request that must not be repeated (P7).
#[test]
fn recorded_call_runs_once() {
    let mut cell = cell();
    let script = vec![
        step("record", record("c", "x", 1), Reply::Call(CallState::Fresh)),
        step(
            "resend",
            record("c", "x", 2),
            Reply::Call(CallState::Unknown),
        ),
        step("other content", record("c", "y", 3), refused(CallConflict)),
        step("finish", finish_call("c", "ok"), finished(Some("ok"))),
        step("finish again", finish_call("c", "no"), finished(Some("ok"))),
        step("learn", record("c", "x", 4), finished(Some("ok"))),
        step(
            "unknown team",
            Command::RecordCall {
                team: team("dye"),
                id: "c".to_owned(),
                hash: Digest::of(b"x"),
                at_ms: 5,
            },
            refused(UnknownTeam(team("dye"))),
        ),
        step("unknown", finish_call("d", "ok"), refused(UnknownCall)),
        step("no id", record("", "x", 5), refused(BadId)),
    ];
    run(&mut cell, script);
}
