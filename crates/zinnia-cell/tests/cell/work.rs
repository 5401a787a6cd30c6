//! Tests of jobs, dispatch records and at-most-once calls.

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

pub(crate) fn end_job(id: JobId, at_ms: i64) -> Command {
    Command::EndJob {
        job: id,
        outcome: Outcome::Done,
        at_ms,
    }
}

pub(crate) fn record_call(id: &str, content: &str, at_ms: i64) -> Command {
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

/// Guards against a job that is accepted twice, for an unknown team, or with a key that gives no
/// access to its team.
#[test]
fn job_is_accepted_once() {
    let first_job = job("ink", "one");
    let mut resent = first_job.clone();
    // The same request, filled with defaults by another VM a minute resent.
    resent.accepted_ms = 60_000;
    resent.due_ms = Some(1);
    resent.domain = domain("b");
    let second_job = job("ink", "two");
    let of_unknown_team = job("dye", "one");
    let ended = |repeated| Reply::Ended {
        outcome: Outcome::Done,
        repeated,
    };
    let mut cell = cell();
    apply(&mut cell, &accept_job(&second_job, "2", None));
    let live = match restored(&cell).job(second_job.id) {
        Some(JobState::Live(live)) => live,
        other => panic!("{other:?}"),
    };
    assert_eq!(live.job, second_job);
    apply(&mut cell, &end_job(second_job.id, 1));
    let unknown_job = job("ink", "other");
    let script = vec![
        step(
            "grant",
            grant_key("k", "zk_k_s", KeyRole::Team(team("ink"))),
            Reply::Done,
        ),
        step(
            "grant",
            grant_key("t", "zk_t_s", KeyRole::Team(team("tap"))),
            Reply::Done,
        ),
        step(
            "grant",
            grant_key("o", "zk_o_s", KeyRole::Operator),
            Reply::Done,
        ),
        step(
            "accept",
            accept_job(&first_job, "1", Some("k")),
            accepted(false),
        ),
        step(
            "resend",
            accept_job(&resent, "1", Some("k")),
            accepted(true),
        ),
        step(
            "other content",
            accept_job(&first_job, "2", None),
            refused(JobConflict(first_job.id)),
        ),
        step(
            "key of a team",
            accept_job(&unknown_job, "1", Some("t")),
            refused(KeyRefused(key("t"))),
        ),
        step(
            "operator key",
            accept_job(&unknown_job, "1", Some("o")),
            refused(KeyRefused(key("o"))),
        ),
        step(
            "no such key",
            accept_job(&unknown_job, "1", Some("x")),
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
            accept_job(&unknown_job, "1", Some("k")),
            refused(KeyWithdrawn(key("k"))),
        ),
        step(
            "unknown team",
            accept_job(&of_unknown_team, "1", None),
            refused(UnknownTeam(team("dye"))),
        ),
        step("end", end_job(first_job.id, 5), ended(false)),
        step("end again", end_job(first_job.id, 9), ended(true)),
        step(
            "resend after the end",
            accept_job(&first_job, "1", None),
            accepted(true),
        ),
        step(
            "unknown",
            end_job(unknown_job.id, 9),
            refused(UnknownJob(unknown_job.id)),
        ),
    ];
    run(&mut cell, script);
    assert!(matches!(cell.job(first_job.id), Some(JobState::Ended(e)) if e.ended_ms == 5));
    assert_eq!(cell.live_jobs_in(domain("a")).count(), 0);
}

/// Guards against a second dispatch of a non-repeatable task, also by a former acting owner, and
/// against a task outcome that is recorded twice (invariants P2 and P7).
#[test]
fn tasks_are_dispatched_and_ended_once() {
    let non_repeatable_job = job("ink", "one");
    let dispatch = |tasks: &[u32], domain_name: &str, term: u64| Command::Dispatch {
        job: non_repeatable_job.id,
        tasks: tasks.to_vec(),
        domain: domain(domain_name),
        term,
    };
    let move_job = |from: &str, to: &str, term: u64| Command::Rehome {
        job: non_repeatable_job.id,
        from: domain(from),
        to: domain(to),
        term,
    };
    let end_tasks = |tasks: &[u32], finish: TaskOutcome| Command::EndTasks {
        ends: tasks
            .iter()
            .map(|&task| TaskEnd {
                job: non_repeatable_job.id,
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
    let owner_a = cell.owner(domain("a"));
    let script = vec![
        step(
            "accept",
            accept_job(&non_repeatable_job, "1", None),
            accepted(false),
        ),
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
        step(
            "unknown task",
            dispatch(&[3], "a", 1),
            refused(UnknownTask(3)),
        ),
        step(
            "stale term",
            dispatch(&[2], "a", 9),
            refused(StaleTerm { owner: owner_a }),
        ),
        step(
            "other domain",
            dispatch(&[2], "b", 2),
            refused(OtherDomain(domain("a"))),
        ),
        step(
            "move with a task in flight",
            move_job("a", "b", 1),
            refused(TaskDispatched(0)),
        ),
        step(
            "end",
            end_tasks(&[0, 1, 1], TaskOutcome::Done),
            ends(2, 1, 0),
        ),
        step(
            "resend",
            end_tasks(&[0, 1, 7], TaskOutcome::Failed),
            ends(0, 2, 1),
        ),
        step(
            "stale term",
            move_job("a", "b", 9),
            refused(StaleTerm { owner: owner_a }),
        ),
        step(
            "to an unknown domain",
            move_job("a", "z", 1),
            refused(UnknownDomain(domain("z"))),
        ),
        step("move", move_job("a", "b", 1), Reply::Done),
        step(
            "again",
            move_job("a", "b", 1),
            refused(OtherDomain(domain("b"))),
        ),
        step(
            "former domain",
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
    let count = |domain_name: &str| cell.live_jobs_in(domain(domain_name)).count();
    assert_eq!((count("a"), count("b")), (0, 1));
    apply(&mut cell, &set_owner("b", 1, 2));
    // The new acting owner gets the existing record, so it does not start the task either.
    let reply = apply(&mut cell, &dispatch(&[2], "b", 3));
    assert_eq!(reply, dispatched(&[], &[(2, 2)]));
    apply(&mut cell, &end_job(non_repeatable_job.id, 1));
    assert_eq!(
        apply(&mut cell, &end_tasks(&[2], TaskOutcome::Done)),
        ends(0, 0, 1)
    );
}

/// Guards against the dispatch of a task whose outcome was recorded without a dispatch record, by
/// another acting owner.
#[test]
fn ended_task_is_not_dispatched() {
    let non_repeatable_job = job("ink", "one");
    let mut cell = cell();
    apply(&mut cell, &accept_job(&non_repeatable_job, "1", None));
    let end = TaskEnd {
        job: non_repeatable_job.id,
        task: 1,
        finish: TaskOutcome::Unknown,
    };
    apply(&mut cell, &Command::EndTasks { ends: vec![end] });
    let dispatch = Command::Dispatch {
        job: non_repeatable_job.id,
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

/// Guards against a cancellation of jobs of another team, and against a pinned job that changes its
/// domain.
#[test]
fn cancellation_affects_only_matching_jobs() {
    let mut cell = cell();
    let mut jobs = Vec::new();
    for (team_name, name, kind) in [
        ("ink", "run-1", "proof"),
        ("ink", "run-2", "render"),
        ("ink", "odd", "proof"),
        ("tap", "run-3", "proof"),
    ] {
        let mut pinned_job = job(team_name, name);
        pinned_job.kind = Name::new(kind).unwrap();
        pinned_job.pinned = true;
        apply(&mut cell, &accept_job(&pinned_job, "1", None));
        jobs.push(pinned_job);
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
    let matching = |prefix: &str, kind: Option<&str>| JobFilter::Matching {
        prefix: prefix.to_owned(),
        kind: kind.map(|kind| Name::new(kind).unwrap()),
    };
    assert_eq!(cancel(matching("run", Some("render"))), [ids[1]]);
    assert_eq!(cancel(matching("run", None)), [ids[0]]);
    assert_eq!(cancel(JobFilter::Jobs(ids.clone())), [ids[2]]);
    assert_eq!(cancel(matching("", None)), []);
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

/// Guards against a second run of an at-most-once call (invariant P7).
#[test]
fn recorded_call_runs_once() {
    let mut cell = cell();
    let script = vec![
        step(
            "record",
            record_call("c", "x", 1),
            Reply::Call(CallState::Fresh),
        ),
        step(
            "resend",
            record_call("c", "x", 2),
            Reply::Call(CallState::Unknown),
        ),
        step(
            "other content",
            record_call("c", "y", 3),
            refused(CallConflict),
        ),
        step("finish", finish_call("c", "ok"), finished(Some("ok"))),
        step("finish again", finish_call("c", "no"), finished(Some("ok"))),
        step(
            "get the outcome",
            record_call("c", "x", 4),
            finished(Some("ok")),
        ),
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
        step("no id", record_call("", "x", 5), refused(BadId)),
    ];
    run(&mut cell, script);
}
