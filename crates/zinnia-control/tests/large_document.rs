//! Documents with many queues, in a file of their own: decoding them takes much processor time.

mod common;

use std::time::Duration;

use common::Cell;
use common::document;
use common::wait_for_answer;
use zinnia_control::Answer;
use zinnia_control::Request;
use zinnia_plan::Queue;

/// Guards against a valid document with many queues that never takes effect, because its log entry
/// exceeds a limit and is proposed again and again, and against an oversized one that is not refused.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn large_documents_take_effect() {
    struct Case {
        name: &'static str,
        queues: usize,
        /// Length of the document's text in bytes.
        text_bytes: usize,
        is_accepted: bool,
    }
    let cases = [
        Case {
            name: "many queues",
            queues: 1_500,
            text_bytes: 500_000,
            is_accepted: true,
        },
        Case {
            name: "as large as the interface accepts",
            queues: 12_000,
            text_bytes: 4 << 20,
            is_accepted: true,
        },
        Case {
            name: "larger than a log entry may be",
            queues: 1,
            text_bytes: 11 << 20,
            is_accepted: false,
        },
    ];
    let cell = Cell::start().await;
    for (version, case) in (2..).zip(cases) {
        let mut large = document();
        large.version = version;
        let first = large.queues.remove(0);
        let numbered = |n: usize| Queue {
            name: format!("queue-{n}"),
            prefix: format!("/{n}/"),
            ..first.clone()
        };
        large.queues = (0..case.queues).map(numbered).collect();
        let raw = "r".repeat(case.text_bytes);
        let publish = Request::Publish {
            raw: raw.clone(),
            document: large,
        };
        let gateway = &cell.client.gateway;
        let limit = Duration::from_secs(20);
        let answer = gateway.request(&publish, limit).await;
        let expected = match case.is_accepted {
            true => answer == Answer::Done,
            false => matches!(answer, Answer::Invalid(_)),
        };
        assert!(expected, "{}: {answer:?}", case.name);
        let read = gateway.request(&Request::Read, limit).await;
        let is_read = read == Answer::Document(raw);
        assert_eq!(is_read, case.is_accepted, "{}", case.name);
    }
}

/// Guards against members that run out of memory by large changes of the document: the log was compacted by the
/// number of its entries only, and keeps entries in memory until then.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn large_changes_compact_the_log() {
    const CHANGES: u64 = 60;
    const CHANGE_BYTES: usize = 1 << 20;
    /// Entries of this size that members may keep in memory: 32 MiB until the compaction, 8 MiB after it, and
    /// those that arrive meanwhile.
    const MAX_ENTRIES: u64 = 32 + 8 + 8;
    let cell = Cell::start().await;
    for version in 2..2 + CHANGES {
        let publish = Request::Publish {
            raw: version.to_string().repeat(CHANGE_BYTES / 2),
            document: zinnia_plan::Document {
                version,
                ..document()
            },
        };
        wait_for_answer(&cell.client.gateway, &publish, &Answer::Done).await;
        for member in &cell.members {
            let node = &member.dump()["member"]["log"]["node"];
            let index = |name: &str| node[name].as_u64().unwrap_or(u64::MAX);
            let kept = index("last").saturating_sub(index("base"));
            assert!(kept <= MAX_ENTRIES, "change {version}: {kept} entries");
        }
    }
}
