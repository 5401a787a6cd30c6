//! The recorder and the checker, used together as in a scenario runner.

use zinnia_check::Checker;
use zinnia_check::Event;
use zinnia_check::EventKind;
use zinnia_check::Invariant;
use zinnia_check::Recorder;
use zinnia_check::Settings;
use zinnia_types::JobId;
use zinnia_types::Time;

fn task_finished(task: u32) -> EventKind {
    EventKind::TaskFinished {
        job: JobId(1),
        task,
    }
}

/// Guards against events that are lost when several threads record, and against a check that passes
/// because it received no events.
#[test]
fn threads_share_one_record() {
    let recorder = Recorder::default();
    std::thread::scope(|scope| {
        for thread in 0..4 {
            let recorder = recorder.clone();
            scope.spawn(move || {
                for n in 0..25 {
                    recorder.record(Time(u64::from(n)), task_finished(25 * thread + n));
                }
            });
        }
    });
    let now = Time(100);
    assert_eq!(recorder.check(Settings::default(), now), Ok(()));
    let mut checker = Checker::new(Settings::default());
    for event in recorder.events() {
        assert_eq!(checker.observe(event), Ok(()));
    }
    assert_eq!(checker.counts().get(&Invariant::P2), Some(&100));
    assert_eq!(checker.counts().len(), 1);
    recorder.record(now, task_finished(0));
    let result = recorder.check(Settings::default(), now);
    assert_eq!(result.map_err(|v| v.invariant), Err(Invariant::P2));
}

/// Guards against a later violation that replaces the first one, and against a message without the
/// events that led to the violation.
#[test]
fn first_violation_is_kept() {
    let mut checker = Checker::new(Settings::default());
    let kinds = [
        task_finished(1),
        task_finished(1),
        task_finished(2),
        task_finished(2),
    ];
    let results = (0..)
        .zip(kinds)
        .map(|(ms, kind)| checker.observe(Event::new(ms, kind)));
    let results: Vec<_> = results.collect();
    assert!(results[0].is_ok());
    assert!(results[1].is_err());
    assert_eq!(results[2], results[1]);
    assert_eq!(results[3], results[1]);
    assert_eq!(checker.finish(Time(9)), results[1]);
    let text = results[1].as_ref().map_err(ToString::to_string);
    let text = text.err().unwrap_or_default();
    let lines: Vec<_> = text.lines().collect();
    assert_eq!(lines.len(), 3, "{text}");
    assert!(lines[0].starts_with("P2 at 1 ms: "), "{text}");
    assert!(lines[1].contains("TaskFinished"), "{text}");
}
