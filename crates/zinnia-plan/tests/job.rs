//! Queries on the state of a job.

use zinnia_plan::Job;
use zinnia_plan::JobSpec;
use zinnia_plan::Status;
use zinnia_plan::Step;

fn job(counts: &[u32], long_running: bool) -> Job {
    let step = |count: &u32| Step {
        count: *count,
        long_running,
        ..Step::default()
    };
    let spec = JobSpec {
        steps: counts.iter().map(step).collect(),
        ..JobSpec::default()
    };
    Job::new(String::new(), String::new(), spec, 0)
}

/// Guards against reads that wait although the job cannot end soon, and against reads that do not
/// wait although it can.
#[test]
fn job_may_end_soon_once_all_tasks_are_assigned() {
    struct Case {
        name: &'static str,
        long_running: bool,
        status: Status,
        /// Complete and assigned tasks of two steps with two tasks each.
        steps: [(u32, u32); 2],
        expected: bool,
    }
    let case = |name, steps, expected| Case {
        name,
        long_running: false,
        status: Status::Open,
        steps,
        expected,
    };
    let cases = [
        case("no task is assigned", [(0, 0), (0, 0)], false),
        case("the second step is waiting", [(0, 2), (0, 0)], false),
        case("one task is waiting", [(2, 0), (0, 1)], false),
        case("all incomplete tasks are assigned", [(2, 0), (0, 2)], true),
        case("the last task is assigned", [(2, 0), (1, 1)], true),
        Case {
            long_running: true,
            ..case("long-running step", [(0, 2), (0, 2)], false)
        },
        Case {
            status: Status::Cancelled,
            ..case("cancelled", [(2, 0), (0, 2)], false)
        },
    ];
    for case in cases {
        let mut job = job(&[2, 2], case.long_running);
        job.status = case.status;
        for (state, (done, assigned)) in job.rounds[0].iter_mut().zip(case.steps) {
            state.done = done;
            state.assigned = assigned;
        }
        assert_eq!(job.may_end_soon(), case.expected, "{}", case.name);
    }
}
