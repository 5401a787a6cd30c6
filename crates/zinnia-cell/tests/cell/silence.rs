//! Silent workers: guards against task leases that count as expired while an acting owner renews
//! them, which would let a task run in two places.

use std::collections::BTreeMap;

use zinnia_cell::Cell;
use zinnia_cell::Command;
use zinnia_cell::LeaseChanges;
use zinnia_cell::Refusal;
use zinnia_cell::Reply;
use zinnia_types::VmId;
use zinnia_types::WorkerId;

use crate::build::domain;
use crate::build::join_vm;

fn worker(name: &str) -> WorkerId {
    WorkerId::new(name).unwrap()
}

/// Entries that a case applies to a cell after the claim of VM 1 at index 2 in term 1.
#[derive(Clone)]
enum Entry {
    /// Declares the worker silent.
    Stop {
        term: u64,
        from: u64,
    },
    /// Resumes the renewal.
    Resume {
        term: u64,
        from: u64,
    },
    /// VM 1 becomes acting owner again; the text of its list of silent workers.
    Claim(u64, Option<&'static [&'static str]>),
    Remove,
    /// The state passes through a snapshot.
    Snapshot,
}

struct Case {
    name: &'static str,
    entries: Vec<Entry>,
    /// Whether each entry is applied.
    applied: Vec<bool>,
    /// Index of the entry that declared the worker silent, at the end.
    silent: Option<u64>,
}

fn command(entry: &Entry) -> Option<Command> {
    let changes = |term, from, is_stop: bool| Command::Workers {
        add: Vec::new(),
        remove: Vec::new(),
        leases: Some(LeaseChanges {
            domain: domain("a"),
            term,
            from,
            stopped: BTreeMap::from_iter(is_stop.then(|| (worker("w1"), 10_000))),
            resumed: Vec::from_iter((!is_stop).then(|| worker("w1"))),
        }),
    };
    Some(match entry {
        Entry::Stop { term, from } => changes(*term, *from, true),
        Entry::Resume { term, from } => changes(*term, *from, false),
        Entry::Claim(from_term, silent) => Command::SetOwner {
            domain: domain("a"),
            vm: VmId(1),
            from_term: *from_term,
            silent: silent.map(|list| list.iter().map(|name| worker(name)).collect()),
        },
        Entry::Remove => Command::Workers {
            add: Vec::new(),
            remove: vec![worker("w1")],
            leases: None,
        },
        Entry::Snapshot => return None,
    })
}

#[test]
fn only_current_changes_of_the_acting_owner_apply() {
    let stop = Entry::Stop { term: 1, from: 2 };
    let resume = Entry::Resume { term: 1, from: 3 };
    let cases = [
        Case {
            name: "a stop",
            entries: vec![stop.clone()],
            applied: vec![true],
            silent: Some(3),
        },
        Case {
            name: "a stop that is delayed beyond a resumption",
            entries: vec![stop.clone(), resume.clone(), stop.clone()],
            applied: vec![true, true, false],
            silent: None,
        },
        Case {
            name: "a stop that a resumption overtakes",
            entries: vec![Entry::Resume { term: 1, from: 2 }, stop.clone()],
            applied: vec![true, false],
            silent: None,
        },
        Case {
            name: "a stop of an earlier term",
            entries: vec![Entry::Claim(1, Some(&[])), stop.clone()],
            applied: vec![true, false],
            silent: None,
        },
        Case {
            name: "a second stop keeps the first one",
            entries: vec![stop.clone(), Entry::Stop { term: 1, from: 3 }],
            applied: vec![true, true],
            silent: Some(3),
        },
        Case {
            name: "a new term whose owner knows of the silence",
            entries: vec![stop.clone(), Entry::Claim(1, Some(&["w1"]))],
            applied: vec![true, true],
            silent: Some(3),
        },
        Case {
            name: "a new term whose owner does not know of the silence",
            entries: vec![stop.clone(), Entry::Claim(1, Some(&[]))],
            applied: vec![true, true],
            silent: None,
        },
        Case {
            name: "a new term of an earlier build",
            entries: vec![stop.clone(), Entry::Claim(1, None)],
            applied: vec![true, true],
            silent: None,
        },
        Case {
            name: "a stop in a term of an earlier build",
            entries: vec![Entry::Claim(1, None), Entry::Stop { term: 2, from: 0 }],
            applied: vec![true, false],
            silent: None,
        },
        Case {
            name: "a worker that is removed",
            entries: vec![stop.clone(), Entry::Remove],
            applied: vec![true, true],
            silent: None,
        },
        Case {
            name: "a snapshot",
            entries: vec![stop, Entry::Snapshot, resume],
            applied: vec![true, true, true],
            silent: None,
        },
    ];
    for case in cases {
        let mut cell = Cell::default();
        cell.apply(1, &join_vm(1, "a"));
        cell.apply(2, &command(&Entry::Claim(0, Some(&[]))).unwrap());
        let mut index = 2;
        for (entry, applied) in case.entries.iter().zip(case.applied) {
            let Some(command) = command(entry) else {
                let bytes = cell.snapshot().unwrap();
                cell = Cell::default();
                cell.restore(&bytes).unwrap();
                continue;
            };
            index += 1;
            let reply = cell.apply(index, &command);
            let refused = matches!(reply, Reply::Refused(Refusal::StaleTerm { .. }));
            assert_eq!(refused, !applied, "{}: {reply:?}", case.name);
        }
        let silent = cell.silence(domain("a"), worker("w1"));
        assert_eq!(silent.map(|s| s.index), case.silent, "{}", case.name);
    }
}

/// Earlier builds must read the entries, and entries of earlier builds must be read.
#[test]
fn entries_without_lease_changes_have_the_earlier_form() {
    let texts = [
        r#"{"do":"workers","add":[],"remove":[]}"#,
        r#"{"do":"set_owner","domain":"a","vm":"0000000000000001","from_term":3}"#,
    ];
    for text in texts {
        let command: Command = serde_json::from_str(text).unwrap();
        assert_eq!(serde_json::to_string(&command).unwrap(), text);
    }
    let mut cell = Cell::default();
    cell.apply(1, &join_vm(1, "a"));
    let snapshot = String::from_utf8(cell.snapshot().unwrap()).unwrap();
    assert!(!snapshot.contains("silences"), "{snapshot}");
}
