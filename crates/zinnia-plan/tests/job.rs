//! Views of a job.

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

/// Guards against reads that wait although the end of the job is far off, or that do not wait when
/// it is near.
#[test]
fn the_end_is_near_once_all_that_is_left_is_on_workers() {
    struct Case {
        name: &'static str,
        long_running: bool,
        status: Status,
        /// Tasks that are done and tasks that are on workers, of two steps with two tasks each.
        steps: [(u32, u32); 2],
        near: bool,
    }
    let case = |name, steps, near| Case {
        name,
        long_running: false,
        status: Status::Open,
        steps,
        near,
    };
    let cases = [
        case("nothing is started", [(0, 0), (0, 0)], false),
        case("the second step waits", [(0, 2), (0, 0)], false),
        case("a task waits", [(2, 0), (0, 1)], false),
        case("all are on workers", [(2, 0), (0, 2)], true),
        case("the last task runs", [(2, 0), (1, 1)], true),
        Case {
            long_running: true,
            ..case("tasks that last", [(0, 2), (0, 2)], false)
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
        assert_eq!(job.may_end_soon(), case.near, "{}", case.name);
    }
}
