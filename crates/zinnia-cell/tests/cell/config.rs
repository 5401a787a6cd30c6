//! Documents, keys, VMs and owners.

use zinnia_cell::KeyError;
use zinnia_cell::KeyGrant;
use zinnia_cell::Owner;
use zinnia_cell::RestoreError;
use zinnia_cell::Retention;
use zinnia_cell::VersionStamp;

use crate::build::*;

fn stamp(version: u64, request: &str, document: &Document) -> VersionStamp {
    VersionStamp {
        version,
        hash: Digest::of_json(document).unwrap(),
        request: request.to_owned(),
        at_ms: 1,
    }
}

fn in_force(stamp: &VersionStamp, repeated: bool) -> Reply {
    Reply::Document {
        stamp: stamp.clone(),
        repeated,
    }
}

/// Guards against two winners of one version and against a resend that is applied twice (F9, F10).
#[test]
fn one_edit_wins_each_version() {
    let (one, two, three) = (document(1, 1), document(2, 2), document(3, 3));
    let first = stamp(1, "r1", &one);
    let second = stamp(2, "r2", &two);
    let third = stamp(3, "r4", &three);
    let conflict = |winner: &VersionStamp, current: &VersionStamp| {
        Reply::Refused(Refusal::DocumentConflict {
            winner: Some(Box::new(winner.clone())),
            current: Some(Box::new(current.clone())),
        })
    };
    let mut cell = Cell::default();
    let script = vec![
        step("first", edit("r1", 0, &one), in_force(&first, false)),
        step("second", edit("r2", 1, &two), in_force(&second, false)),
        step("loser", edit("r3", 1, &three), conflict(&second, &second)),
        step(
            "loser resent",
            edit("r3", 1, &three),
            conflict(&second, &second),
        ),
        step("resend", edit("r2", 1, &two), in_force(&second, true)),
        step("third", edit("r4", 2, &three), in_force(&third, false)),
        step("late resend", edit("r1", 0, &one), in_force(&first, true)),
        step("late loser", edit("r5", 1, &one), conflict(&second, &third)),
        step(
            "request id with other content",
            edit("r4", 2, &one),
            Reply::Refused(Refusal::RequestReused),
        ),
        step(
            "no request id",
            edit("", 3, &one),
            Reply::Refused(Refusal::BadId),
        ),
    ];
    run(&mut cell, script);
    assert_eq!(cell.document(), Some((&third, &three)));
    let versions: Vec<_> = cell.history().map(|v| v.stamp.version).collect();
    assert_eq!(versions, [3, 2, 1]);
}

/// Guards against an unbounded history and against losing the document in force.
#[test]
fn history_is_bounded() {
    let retention = Retention {
        documents: 2,
        stamps: 3,
        ..Retention::default()
    };
    let mut cell = Cell::new(retention);
    for n in 0..9 {
        apply(&mut cell, &edit(&format!("r{n}"), n, &document(n, 0)));
    }
    let versions: Vec<_> = cell.history().map(|v| v.stamp.version).collect();
    assert_eq!(versions, [9, 8]);
    assert_eq!(cell.document().unwrap().1, &document(8, 0));
    // A request that is forgotten is still not applied again.
    let reply = apply(&mut cell, &edit("r0", 0, &document(0, 0)));
    assert!(matches!(
        reply,
        Reply::Refused(Refusal::DocumentConflict { winner: None, .. })
    ));
}

/// Guards against a key that opens more than its team, and against one that comes back (P3).
#[test]
fn withdrawn_key_stays_withdrawn() {
    let text = "zk_k1_secret_with_underscore";
    let ink = KeyRole::Team(team("ink"));
    let mut cell = cell();
    let script = vec![
        step("grant", grant("k1", text, ink), Reply::Done),
        step("grant resent", grant("k1", text, ink), Reply::Done),
        step(
            "other role",
            grant("k1", text, KeyRole::Operator),
            Reply::Refused(Refusal::KeyConflict(key("k1"))),
        ),
        step(
            "operator",
            grant("op", "zk_op_s", KeyRole::Operator),
            Reply::Done,
        ),
        step(
            "withdraw early",
            Command::WithdrawKeys {
                ids: vec![key("k2")],
            },
            Reply::Done,
        ),
        step(
            "late grant",
            grant("k2", "zk_k2_s", ink),
            Reply::Refused(Refusal::KeyWithdrawn(key("k2"))),
        ),
    ];
    run(&mut cell, script);
    let good = |id: &str, role: KeyRole| Ok(KeyGrant { id: key(id), role });
    let cases = [
        (text, good("k1", ink)),
        ("zk_op_s", good("op", KeyRole::Operator)),
        ("zk_k1_other", Err(KeyError::Unknown)),
        ("zk_k3_s", Err(KeyError::Unknown)),
        ("zk_k2_s", Err(KeyError::Withdrawn)),
        ("zk_k1_", Err(KeyError::Malformed)),
        ("zk_k1", Err(KeyError::Malformed)),
        ("zk__s", Err(KeyError::Malformed)),
        ("k1_s", Err(KeyError::Malformed)),
        ("", Err(KeyError::Malformed)),
    ];
    for (text, want) in cases {
        assert_eq!(cell.check_key(text), want, "{text}");
    }
    // A withdrawal that reached only this VM holds at once and across a restore.
    let before = cell.snapshot().unwrap();
    let digest = cell.withdrawn_digest();
    assert_eq!(cell.withdraw_locally(&[key("k1"), key("k2")]), [key("k1")]);
    assert_ne!(cell.withdrawn_digest(), digest);
    assert_eq!(cell.check_key(text), Err(KeyError::Withdrawn));
    assert_eq!(cell.unlogged_withdrawals().collect::<Vec<_>>(), [key("k1")]);
    cell.restore(&before).unwrap();
    assert_eq!(cell.check_key(text), Err(KeyError::Withdrawn));
    // It is no part of the replicated state until it comes through the log.
    assert_eq!(restored(&cell).check_key(text), good("k1", ink));
    apply(
        &mut cell,
        &Command::WithdrawKeys {
            ids: vec![key("k1")],
        },
    );
    assert_eq!(cell.unlogged_withdrawals().count(), 0);
    assert_eq!(restored(&cell).check_key(text), Err(KeyError::Withdrawn));
    assert_eq!(restored(&cell).withdrawn_digest(), cell.withdrawn_digest());
}

/// Guards against secrets in dumps, logs and errors.
#[test]
fn dump_and_debug_hide_secrets() {
    let mut cell = cell();
    let command = grant("k1", "zk_k1_secret", KeyRole::Operator);
    apply(&mut cell, &command);
    let hash = Digest::of(b"zk_k1_secret").to_string();
    let texts = [
        cell.dump().to_string(),
        format!("{cell:?}"),
        format!("{command:?}"),
    ];
    for text in texts {
        assert!(text.contains("k1"), "{text}");
        assert!(
            !text.contains(&hash[..8]) && !text.contains("secret"),
            "{text}"
        );
    }
}

/// Guards against two acting owners and against terms that two owners share.
#[test]
fn ownership_changes_by_compare_and_set() {
    let owner = |vm: u64, term: u64| Owner { vm: VmId(vm), term };
    let stale = |owner: Option<Owner>| Reply::Refused(Refusal::StaleTerm { owner });
    let mut bad = vm(9, "a");
    bad.peer = "localhost:1".to_owned();
    let mut cell = cell();
    let script = vec![
        step("second VM", join(3, "a"), Reply::Done),
        step("takeover", own("a", 3, 1), Reply::Owner(owner(3, 3))),
        step("lost race", own("a", 1, 1), stale(Some(owner(3, 3)))),
        step("other domain", own("b", 1, 2), Reply::Owner(owner(1, 4))),
        step("never owned", own("c", 1, 7), stale(None)),
        step(
            "no member",
            own("a", 8, 3),
            Reply::Refused(Refusal::UnknownVm(VmId(8))),
        ),
        step(
            "remove an acting owner",
            Command::RemoveVm { id: VmId(1) },
            Reply::Refused(Refusal::ActingOwner(domain("b"))),
        ),
        step("remove", Command::RemoveVm { id: VmId(2) }, Reply::Done),
        step(
            "remove again",
            Command::RemoveVm { id: VmId(2) },
            Reply::Done,
        ),
        step(
            "host name",
            Command::JoinVm { vm: bad },
            Reply::Refused(Refusal::BadAddress("localhost:1".to_owned())),
        ),
    ];
    run(&mut cell, script);
    let ids: Vec<_> = cell.vms().map(|vm| vm.id.0).collect();
    assert_eq!(ids, [1, 3]);
}

/// Guards against entries applied twice after a restart and against damaged snapshots.
#[test]
fn old_entries_and_bad_snapshots_change_nothing() {
    let mut cell = cell();
    let same = cell.clone();
    let reply = cell.apply(1, &edit("again", 1, &document(5, 5)));
    assert_eq!(reply, Reply::Refused(Refusal::AlreadyApplied));
    let bytes = cell.snapshot().unwrap();
    assert!(cell.restore(&bytes[..bytes.len() / 2]).is_err());
    let text = String::from_utf8(bytes).unwrap();
    let other = text.replacen("\"format\":1", "\"format\":99", 1);
    assert!(cell.restore(other.as_bytes()).is_err());
    assert_eq!(cell, same);
    apply(&mut cell, &accept(&job("ink", "one"), "1", None));
    let same = cell.clone();
    let text = String::from_utf8(cell.snapshot().unwrap()).unwrap();
    let other = text.replacen("\"t\":0", "\"t\":9", 1);
    assert!(matches!(
        cell.restore(other.as_bytes()),
        Err(RestoreError::Inconsistent)
    ));
    assert_eq!(cell, same);
}
