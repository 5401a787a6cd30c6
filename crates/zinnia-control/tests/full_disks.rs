//! Members whose disks are full for a while, one after another and never two at once.

mod common;

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use common::Cell;
use common::TIMEOUT;
use common::document;
use common::free_addr;
use serde_json::Value;
use zinnia_control::Answer;
use zinnia_control::Gateway;
use zinnia_control::Process;
use zinnia_control::Request;
use zinnia_control::Settings;

/// Longest time in which a change must be accepted while the disks of a quorum work, and after the
/// last disk has room again.
const CHANGE_LIMIT: Duration = Duration::from_secs(4);

/// Whose disk becomes full.
#[derive(Clone, Copy)]
enum Target {
    /// Each member in turn.
    InTurn,
    /// The member that leads.
    Leader,
}

struct Case {
    name: &'static str,
    target: Target,
    /// Number of disks that become full, one after another.
    rounds: usize,
    full: Duration,
    /// Time between two full disks.
    pause: Duration,
    /// Whether the store cannot be opened while the disk is full.
    sync_fails: bool,
    /// Number of members beyond the three voters.
    spares: usize,
    replace_ms: u64,
    compact_entries: u64,
}

impl Default for Case {
    fn default() -> Self {
        Self {
            name: "",
            target: Target::InTurn,
            rounds: 4,
            full: Duration::from_millis(1_200),
            pause: Duration::from_millis(600),
            sync_fails: false,
            spares: 0,
            replace_ms: 4_000,
            compact_entries: 4_000,
        }
    }
}

/// Guards against members that stay out of the quorum after their disk was full, so that changes are
/// refused for good once this has happened to a majority.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn changes_are_accepted_after_disks_were_full_in_turn() {
    let cases = [
        Case {
            name: "each member",
            ..Case::default()
        },
        Case {
            name: "each member, and the store cannot be opened meanwhile",
            sync_fails: true,
            ..Case::default()
        },
        Case {
            name: "the leader",
            target: Target::Leader,
            ..Case::default()
        },
        Case {
            name: "the next disk while the store before is still closed",
            pause: Duration::ZERO,
            sync_fails: true,
            ..Case::default()
        },
        Case {
            name: "the leader's disk while the store before is still closed",
            target: Target::Leader,
            pause: Duration::ZERO,
            ..Case::default()
        },
        Case {
            name: "a disk that also lacks the room for a snapshot",
            compact_entries: 10,
            ..Case::default()
        },
        Case {
            name: "members that are replaced as voters meanwhile",
            full: Duration::from_millis(2_500),
            sync_fails: true,
            spares: 1,
            replace_ms: 800,
            compact_entries: 10,
            ..Case::default()
        },
        Case {
            name: "the next disk while a voter is being replaced",
            full: Duration::from_millis(1_000),
            pause: Duration::ZERO,
            sync_fails: true,
            spares: 1,
            replace_ms: 800,
            ..Case::default()
        },
        Case {
            name: "leaders that are replaced as voters meanwhile",
            target: Target::Leader,
            full: Duration::from_millis(2_500),
            sync_fails: true,
            spares: 1,
            replace_ms: 800,
            ..Case::default()
        },
    ];
    for case in cases {
        check(&case).await;
    }
}

#[expect(clippy::expect_used, reason = "a failed task must stop the test")]
async fn check(case: &Case) {
    let name = case.name;
    let mut cell = Cell::start_with(Settings {
        replace_ms: case.replace_ms,
        compact_entries: case.compact_entries,
        ..Settings::default()
    })
    .await;
    for _ in 0..case.spares {
        cell.add_member(free_addr()).await;
    }
    wait_until(name, &cell, TIMEOUT, |c| c.members.iter().all(is_member)).await;
    let progress = Arc::new(Progress::default());
    let gateway = Arc::clone(&cell.client.gateway);
    let writer = tokio::spawn(write_changes(gateway, Arc::clone(&progress)));
    let mut failures = 0;
    for round in 0..case.rounds {
        let index = match case.target {
            Target::InTurn => round % cell.members.len(),
            Target::Leader => {
                wait_until(name, &cell, TIMEOUT, |c| find_leader(c).is_some()).await;
                find_leader(&cell).unwrap_or(0)
            }
        };
        let disk = &cell.disks[index];
        disk.sync_fails.store(case.sync_fails, Ordering::SeqCst);
        disk.set_full(true);
        tokio::time::sleep(case.full).await;
        failures += usize::from(!log(&cell.members[index])["fault"].is_null());
        disk.set_full(false);
        tokio::time::sleep(case.pause).await;
    }
    // Without a pause, there may be no leader whose entries a full disk would refuse.
    assert!(
        case.pause.is_zero() || failures == case.rounds,
        "{name}: {failures} disks were offline"
    );
    // The second change from now on begins after the last disk has room.
    let last = progress.version.load(Ordering::SeqCst);
    wait_until(name, &cell, CHANGE_LIMIT, |_| {
        progress.version.load(Ordering::SeqCst) >= last + 2
    })
    .await;
    progress.stop.store(true, Ordering::SeqCst);
    let longest = writer.await.expect("the writer returns");
    let version = progress.version.load(Ordering::SeqCst);
    println!("{name}: {version} changes, the longest took {longest:?}");
    assert!(longest < CHANGE_LIMIT, "{name}: a change took {longest:?}");
    wait_until(name, &cell, TIMEOUT, |c| c.members.iter().all(is_member)).await;
    wait_until(name, &cell, TIMEOUT, |c| {
        let applied = |p: &Process| log(p)["applied"].clone();
        c.members
            .iter()
            .all(|p| applied(p) == applied(&c.members[0]))
    })
    .await;
    let answer = cell.client.gateway.request(&Request::Read, TIMEOUT).await;
    assert_eq!(answer, Answer::Document(version.to_string()), "{name}");
    for member in &cell.members {
        member.stop().await;
    }
}

/// Shared with the task that publishes changes.
#[derive(Default)]
struct Progress {
    /// Last version that was accepted.
    version: AtomicU64,
    stop: AtomicBool,
}

/// Publishes one version after another. Returns the longest time that a change took.
async fn write_changes(gateway: Arc<Gateway>, progress: Arc<Progress>) -> Duration {
    let mut longest = Duration::ZERO;
    let mut version = 1;
    while !progress.stop.load(Ordering::SeqCst) {
        version += 1;
        let mut next = document();
        next.version = version;
        let publish = Request::Publish {
            raw: version.to_string(),
            document: next,
        };
        let began = Instant::now();
        while gateway.request(&publish, Duration::from_secs(1)).await != Answer::Done {
            assert!(
                began.elapsed() < TIMEOUT,
                "change {version} is not accepted"
            );
        }
        longest = longest.max(began.elapsed());
        progress.version.store(version, Ordering::SeqCst);
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    longest
}

/// State of the member's log.
fn log(process: &Process) -> Value {
    process.dump()["member"]["log"].clone()
}

/// Whether the disk of the member works and the log lists it as a member.
fn is_member(process: &Process) -> bool {
    let log = log(process);
    let members = log["node"]["members"].as_array();
    let is_own = |m: &Value| m["id"] == log["node"]["id"];
    log["fault"].is_null() && members.is_some_and(|m| m.iter().any(is_own))
}

fn find_leader(cell: &Cell) -> Option<usize> {
    let leads = |p: &Process| {
        p.member
            .as_ref()
            .is_some_and(zinnia_control::Member::is_leader)
    };
    cell.members.iter().position(leads)
}

async fn wait_until(name: &str, cell: &Cell, limit: Duration, holds: impl Fn(&Cell) -> bool) {
    let began = Instant::now();
    while !holds(cell) {
        let logs: Vec<Value> = cell.members.iter().map(log).collect();
        assert!(began.elapsed() < limit, "{name}: {logs:#?}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
