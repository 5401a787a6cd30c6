//! Tests of documents, keys, VMs and acting owners.

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

/// Guards against two edits that both succeed on the same base version, and against an edit that
/// is applied again when its request is resent (failures F9 and F10 of the design page).
#[test]
fn each_version_has_one_successor() {
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
        step(
            "first",
            apply_document("r1", 0, &one),
            in_force(&first, false),
        ),
        step(
            "second",
            apply_document("r2", 1, &two),
            in_force(&second, false),
        ),
        step(
            "conflicting edit",
            apply_document("r3", 1, &three),
            conflict(&second, &second),
        ),
        step(
            "conflicting edit resent",
            apply_document("r3", 1, &three),
            conflict(&second, &second),
        ),
        step(
            "resend",
            apply_document("r2", 1, &two),
            in_force(&second, true),
        ),
        step(
            "third",
            apply_document("r4", 2, &three),
            in_force(&third, false),
        ),
        step(
            "late resend",
            apply_document("r1", 0, &one),
            in_force(&first, true),
        ),
        step(
            "edit of an old version",
            apply_document("r5", 1, &one),
            conflict(&second, &third),
        ),
        step(
            "request id with other content",
            apply_document("r4", 2, &one),
            Reply::Refused(Refusal::RequestReused),
        ),
        step(
            "no request id",
            apply_document("", 3, &one),
            Reply::Refused(Refusal::BadId),
        ),
    ];
    run(&mut cell, script);
    assert_eq!(cell.document(), Some((&third, &three)));
    let versions: Vec<_> = cell.history().map(|v| v.stamp.version).collect();
    assert_eq!(versions, [3, 2, 1]);
}

/// Guards against an unbounded history and against the loss of the document in force.
#[test]
fn history_is_bounded() {
    let retention = Retention {
        documents: 2,
        stamps: 3,
        ..Retention::default()
    };
    let mut cell = Cell::new(retention);
    for n in 0..9 {
        apply(
            &mut cell,
            &apply_document(&format!("r{n}"), n, &document(n, 0)),
        );
    }
    let versions: Vec<_> = cell.history().map(|v| v.stamp.version).collect();
    assert_eq!(versions, [9, 8]);
    assert_eq!(cell.document().unwrap().1, &document(8, 0));
    // A resent request is not applied again after its version stamp has been removed.
    let reply = apply(&mut cell, &apply_document("r0", 0, &document(0, 0)));
    assert!(matches!(
        reply,
        Reply::Refused(Refusal::DocumentConflict { winner: None, .. })
    ));
}

/// Guards against a key that gives access beyond its role, and against a withdrawn key that becomes
/// valid again by a restore, a resent grant or the log (invariant P3).
#[test]
fn withdrawn_key_stays_withdrawn() {
    let text = "zk_k1_secret_with_underscore";
    let ink = KeyRole::Team(team("ink"));
    let mut cell = cell();
    let script = vec![
        step("grant", grant_key("k1", text, ink), Reply::Done),
        step("grant resent", grant_key("k1", text, ink), Reply::Done),
        step(
            "other role",
            grant_key("k1", text, KeyRole::Operator),
            Reply::Refused(Refusal::KeyConflict(key("k1"))),
        ),
        step(
            "operator",
            grant_key("op", "zk_op_s", KeyRole::Operator),
            Reply::Done,
        ),
        step(
            "withdraw before the grant",
            Command::WithdrawKeys {
                ids: vec![key("k2")],
            },
            Reply::Done,
        ),
        step(
            "grant after the withdrawal",
            grant_key("k2", "zk_k2_s", ink),
            Reply::Refused(Refusal::KeyWithdrawn(key("k2"))),
        ),
    ];
    run(&mut cell, script);
    let granted = |id: &str, role: KeyRole| Ok(KeyGrant { id: key(id), role });
    let cases = [
        (text, granted("k1", ink)),
        ("zk_op_s", granted("op", KeyRole::Operator)),
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
    // A withdrawal known only to this VM takes effect at once and survives a restore.
    let before = cell.snapshot().unwrap();
    let digest = cell.withdrawn_digest();
    assert_eq!(cell.withdraw_locally(&[key("k1"), key("k2")]), [key("k1")]);
    assert_ne!(cell.withdrawn_digest(), digest);
    assert_eq!(cell.check_key(text), Err(KeyError::Withdrawn));
    assert_eq!(cell.unlogged_withdrawals().collect::<Vec<_>>(), [key("k1")]);
    cell.restore(&before).unwrap();
    assert_eq!(cell.check_key(text), Err(KeyError::Withdrawn));
    // It is not part of the replicated state until it is in the log.
    assert_eq!(restored(&cell).check_key(text), granted("k1", ink));
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

/// Guards against key hashes and secrets in dumps and debug output.
#[test]
fn dump_and_debug_hide_secrets() {
    let mut cell = cell();
    let command = grant_key("k1", "zk_k1_secret", KeyRole::Operator);
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

/// Guards against two acting owners of one domain and against a term that is used twice.
#[test]
fn ownership_changes_by_compare_and_set() {
    let owner = |vm: u64, term: u64| Owner { vm: VmId(vm), term };
    let stale = |owner: Option<Owner>| Reply::Refused(Refusal::StaleTerm { owner });
    let mut vm_with_host_name = vm(9, "a");
    vm_with_host_name.peer = "localhost:1".to_owned();
    let mut cell = cell();
    let script = vec![
        step("second VM", join_vm(3, "a"), Reply::Done),
        step("takeover", set_owner("a", 3, 1), Reply::Owner(owner(3, 3))),
        step(
            "outdated term",
            set_owner("a", 1, 1),
            stale(Some(owner(3, 3))),
        ),
        step(
            "other domain",
            set_owner("b", 1, 2),
            Reply::Owner(owner(1, 4)),
        ),
        step("domain without an owner", set_owner("c", 1, 7), stale(None)),
        step(
            "not a member",
            set_owner("a", 8, 3),
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
            Command::JoinVm {
                vm: vm_with_host_name,
            },
            Reply::Refused(Refusal::BadAddress("localhost:1".to_owned())),
        ),
    ];
    run(&mut cell, script);
    let ids: Vec<_> = cell.vms().map(|vm| vm.id.0).collect();
    assert_eq!(ids, [1, 3]);
}

/// Guards against entries that are applied twice after a restart and against damaged snapshots that
/// change the state.
#[test]
fn old_entries_and_bad_snapshots_change_nothing() {
    let mut cell = cell();
    let before = cell.clone();
    let reply = cell.apply(1, &apply_document("again", 1, &document(5, 5)));
    assert_eq!(reply, Reply::Refused(Refusal::AlreadyApplied));
    let bytes = cell.snapshot().unwrap();
    assert!(cell.restore(&bytes[..bytes.len() / 2]).is_err());
    let text = String::from_utf8(bytes).unwrap();
    let damaged = text.replacen("\"format\":1", "\"format\":99", 1);
    assert!(cell.restore(damaged.as_bytes()).is_err());
    assert_eq!(cell, before);
    apply(&mut cell, &accept_job(&job("ink", "one"), "1", None));
    let before = cell.clone();
    let text = String::from_utf8(cell.snapshot().unwrap()).unwrap();
    let damaged = text.replacen("\"t\":0", "\"t\":9", 1);
    assert!(matches!(
        cell.restore(damaged.as_bytes()),
        Err(RestoreError::Inconsistent)
    ));
    assert_eq!(cell, before);
}
