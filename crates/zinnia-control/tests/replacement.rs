//! Members of the log that are replaced, in a cell on loopback.

mod common;

use std::time::Duration;
use std::time::Instant;

use common::Cell;
use common::TIMEOUT;
use common::caller_request;
use common::free_addr;
use common::job;
use common::wait_for_answer;
use zinnia_control::Answer;
use zinnia_control::CallerAction;
use zinnia_control::Process;

/// Time that successors have to catch up before a member is removed.
const CATCH_UP: Duration = Duration::from_secs(4);
/// Longest time for which a member that shuts down may wait.
const GRACE: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug, PartialEq)]
enum Removal {
    /// The member announces its shutdown.
    Announced,
    /// The member is gone at once.
    Sudden,
}

/// Guards against a cell that has no leader any more after planned replacements: the members that are gone still
/// count as voters, and without a quorum they cannot be removed.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn cell_survives_replacement_of_most_members() {
    struct Case {
        name: &'static str,
        removal: Removal,
        gap: Duration,
        /// Whether the leader is one of the two.
        leader: bool,
    }
    let case = |name, removal, gap_ms, leader| Case {
        name,
        removal,
        gap: Duration::from_millis(gap_ms),
        leader,
    };
    let cases = [
        case("announced, 3 s apart", Removal::Announced, 3_000, false),
        case("announced, at once", Removal::Announced, 0, true),
        case("without notice, 3 s apart", Removal::Sudden, 3_000, true),
        case("without notice, at once", Removal::Sudden, 0, false),
    ];
    for case in cases {
        let mut cell = Cell::start().await;
        for _ in 0..2 {
            cell.add_member(free_addr()).await;
        }
        tokio::time::sleep(CATCH_UP).await;
        let leader = cell.leader();
        let mut old: Vec<usize> = (0..3).collect();
        old.sort_by_key(|i| (*i == leader) != case.leader);
        let removals = old.iter().take(2).zip([Duration::ZERO, case.gap]);
        let remove = async |index: usize, after: Duration| {
            tokio::time::sleep(after).await;
            let member: &Process = &cell.members[index];
            let started = Instant::now();
            if case.removal == Removal::Announced {
                member.leave(GRACE).await;
            }
            member.stop().await;
            started.elapsed()
        };
        let mut done = removals.map(|(index, after)| remove(*index, after));
        let (first, second) = (done.next(), done.next());
        let first = first.expect("two removals");
        let second = second.expect("two removals");
        let (first, second) = tokio::join!(first, second);
        assert!(
            first.max(second) < GRACE,
            "{}: the votes are not handed over: {first:?}, {second:?}",
            case.name
        );
        let gateway = &cell.client.gateway;
        let submit = caller_request(1, CallerAction::Submit(Ok(job())));
        wait_for_answer(gateway, &submit, &Answer::Done).await;
        for member in &cell.members {
            member.stop().await;
        }
    }
}

/// Guards against members that wait in vain before they shut down, although nobody can take over their vote.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn member_without_a_successor_shuts_down_at_once() {
    let cell = Cell::start().await;
    let leader = cell.leader();
    for index in [(leader + 1) % 3, leader] {
        let started = Instant::now();
        cell.members[index].leave(TIMEOUT).await;
        let took = started.elapsed();
        assert!(took < Duration::from_secs(1), "member {index}: {took:?}");
    }
}
