//! Property tests: random commands keep the invariants, and a restored replica equals one that
//! replayed the log.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use proptest::prelude::*;
use serde_json::json;
use zinnia_cell::CallState;
use zinnia_cell::JobFilter;
use zinnia_cell::Retention;
use zinnia_cell::TaskEnd;
use zinnia_cell::TaskOutcome;
use zinnia_types::Outcome;

use crate::build::*;

const TEAMS: [&str; 2] = ["ink", "tap"];
const DOMAINS: [&str; 2] = ["a", "b"];
const KEYS: [&str; 3] = ["k0", "k1", "k2"];

/// Random input from which a command is built. `stale` selects an outdated version, term or log
/// index where the command carries one.
#[derive(Clone, Copy, Debug)]
struct Op {
    /// Selects the command.
    kind: u8,
    /// Selects the domain, and a key, VM or task.
    x: u8,
    /// Selects the team, and a VM or task.
    y: u8,
    /// Amount, time, or suffix of an id.
    n: u64,
    stale: bool,
}

fn op() -> impl Strategy<Value = Op> {
    (
        0..17_u8,
        0..6_u8,
        0..6_u8,
        0..40_u64,
        prop::bool::weighted(0.2),
    )
        .prop_map(|(kind, x, y, n, stale)| Op {
            kind,
            x,
            y,
            n,
            stale,
        })
}

/// One of `from`, chosen by `n`.
fn pick<'a>(from: &[&'a str], n: u8) -> &'a str {
    from[usize::from(n) % from.len()]
}

fn secret(id: &str) -> String {
    format!("zk_{id}_s")
}

impl Op {
    fn command(self, cell: &Cell) -> Command {
        let Self { x, y, n, stale, .. } = self;
        let age = u64::from(stale);
        let domain_id = domain(pick(&DOMAINS, x));
        let team_id = team(pick(&TEAMS, y));
        let term = cell
            .owner(domain_id)
            .map_or(0, |o| o.term)
            .saturating_sub(age);
        let allotment = cell.allotment(domain_id, team_id);
        let from = allotment.log_index.saturating_sub(age);
        let job = job(team_id.as_str(), &format!("{}", n % 4));
        match self.kind {
            0 => {
                let version = cell.document().map_or(0, |(stamp, _)| stamp.version);
                let from = version.saturating_sub(age);
                apply_document(
                    &format!("r{}", n % 20),
                    from,
                    &document(20 * u64::from(x), 30),
                )
            }
            1 => {
                let id = pick(&KEYS, x);
                grant_key(id, &secret(id), KeyRole::Team(team_id))
            }
            2 if n < 4 => Command::WithdrawKeys {
                ids: vec![key(pick(&KEYS, x))],
            },
            3 => join_vm(u64::from(x), domain_id.as_str()),
            4 => Command::RemoveVm {
                id: VmId(u64::from(x)),
            },
            5 => set_owner(domain_id.as_str(), u64::from(y), term),
            6 | 7 => Command::Take {
                domain: domain_id,
                team: team_id,
                amount: cpu_and_mem(n),
                term,
                from,
            },
            8 => Command::Give {
                domain: domain_id,
                team: team_id,
                amount: Resources::elementwise_min(&cpu_and_mem(n), &allotment.amount),
                term,
                from,
            },
            9 | 10 => accept_job(&job, if stale { "2" } else { "1" }, None),
            11 => Command::Dispatch {
                job: job.id,
                tasks: vec![u32::from(x) % 3, u32::from(y) % 4],
                domain: domain_id,
                term,
            },
            12 => Command::EndTasks {
                ends: vec![TaskEnd {
                    job: job.id,
                    task: u32::from(x) % 4,
                    finish: [TaskOutcome::Done, TaskOutcome::Failed][usize::from(stale)],
                }],
            },
            13 if n < 10 => Command::EndJob {
                job: job.id,
                outcome: Outcome::Done,
                at_ms: 100 * n as i64,
            },
            14 => Command::Cancel {
                team: team_id,
                which: JobFilter::Matching {
                    prefix: String::new(),
                    kind: None,
                },
                at_ms: 1,
            },
            15 => Command::RecordCall {
                team: team_id,
                id: format!("c{}", n % 5),
                hash: Digest::of(&[u8::from(stale)]),
                at_ms: 100 * n as i64,
            },
            16 => Command::FinishCall {
                team: team_id,
                id: format!("c{}", n % 5),
                status: 200,
                body: json!({"n": n}).to_string(),
            },
            _ => Command::Rehome {
                job: job.id,
                from: domain_id,
                to: domain(pick(&DOMAINS, x + 1)),
                term,
            },
        }
    }
}

/// Observed results of all commands so far, to check later ones against.
#[derive(Default)]
struct Observed {
    /// Hash of each accepted document version.
    versions: BTreeMap<u64, Digest>,
    terms: BTreeSet<u64>,
    withdrawn: BTreeSet<KeyId>,
    dispatched: BTreeSet<(JobId, u32)>,
    ends: BTreeMap<(JobId, u32), TaskOutcome>,
    recorded_calls: BTreeSet<String>,
    allotted_sums: BTreeMap<&'static str, Resources>,
}

impl Observed {
    /// Checks the invariants after a command.
    fn check(&mut self, cell: &Cell, command: &Command, reply: &Reply) {
        match (command, reply) {
            (_, Reply::Document { stamp, repeated }) => {
                let first = self.versions.insert(stamp.version, stamp.hash);
                assert_eq!(first.is_some(), *repeated);
                assert!(first.is_none_or(|hash| hash == stamp.hash));
            }
            (_, Reply::Owner(owner)) => {
                assert!(self.terms.last().is_none_or(|&last| owner.term > last));
                self.terms.insert(owner.term);
            }
            (Command::Dispatch { job, .. }, Reply::Dispatched { fresh, .. }) => {
                for &task in fresh {
                    assert!(self.dispatched.insert((*job, task)), "{job} {task}");
                }
            }
            (Command::RecordCall { team, id, .. }, Reply::Call(CallState::Fresh)) => {
                assert!(self.recorded_calls.insert(format!("{team} {id}")));
            }
            (Command::WithdrawKeys { ids }, _) => self.withdrawn.extend(ids),
            _ => {}
        }
        for id in &self.withdrawn {
            assert!(cell.check_key(&secret(id.as_str())).is_err());
        }
        if let Some((stamp, _)) = cell.document() {
            assert_eq!(
                self.versions.last_key_value(),
                Some((&stamp.version, &stamp.hash))
            );
        }
        for live in cell.live_jobs() {
            for (&task, &finish) in &live.ends {
                let first = self.ends.entry((live.job.id, task)).or_insert(finish);
                assert_eq!(*first, finish);
            }
        }
        self.check_sums(cell, reply);
    }

    /// Checks that allotments grow only within the limit, also after it was lowered.
    fn check_sums(&mut self, cell: &Cell, reply: &Reply) {
        for name in TEAMS {
            let amounts = cell
                .allotments(team(name))
                .map(|(_, allotment)| allotment.amount);
            let sum = amounts.fold(Resources::ZERO, |sum, amount| sum + amount);
            let last = self.allotted_sums.insert(name, sum).unwrap_or_default();
            let limit = cell.limit(team(name));
            assert!(
                sum.fits(&limit) || sum.fits(&last),
                "{name} {sum:?} {reply:?}"
            );
            let usable = DOMAINS.map(|d| cell.usable_allotment(domain(d), team(name)));
            assert!((usable[0] + usable[1]).fits(&limit));
        }
    }
}

proptest! {
    /// Guards against any order of commands that breaks an invariant of section 2 of the design
    /// page.
    #[test]
    fn random_commands_keep_the_invariants(ops in prop::collection::vec(op(), 1..200)) {
        let mut cell = Cell::default();
        let mut observed = Observed::default();
        for (index, op) in (1..).zip(ops) {
            let command = op.command(&cell);
            let reply = cell.apply(index, &command);
            observed.check(&cell, &command, &reply);
        }
    }

    /// Guards against state that a snapshot omits, and against local state that affects the
    /// replicated state. The restored replica must give the same replies from then on, also when
    /// records expire.
    #[test]
    fn restored_replica_equals_one_that_replayed(
        ops in prop::collection::vec(op(), 1..120),
        restore_at in 0..120_usize,
    ) {
        let mut first = Cell::new(Retention {
            documents: 2,
            stamps: 4,
            jobs: 3,
            jobs_ms: 500,
            calls: 8,
            calls_ms: 500,
            call_bytes: 20,
            step_ms: 300,
        });
        let mut second = first.clone();
        for (n, op) in ops.into_iter().enumerate() {
            if n == restore_at {
                second = restored(&second);
                // A local withdrawal must not affect how this VM applies the log.
                second.withdraw_locally(&[key("k0")]);
            }
            let command = op.command(&first);
            let index = n as u64 + 1;
            prop_assert_eq!(first.apply(index, &command), second.apply(index, &command));
            let repeated = second.apply(index, &command);
            prop_assert_eq!(repeated, Reply::Refused(Refusal::AlreadyApplied));
        }
        prop_assert_eq!(&first, &second);
        prop_assert_eq!(first.snapshot().unwrap(), second.snapshot().unwrap());
    }
}
