//! Performs the steps of a scenario.

use std::collections::BTreeMap;
use std::fs;
use std::path::PathBuf;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use anyhow::bail;
use anyhow::ensure;
use serde_json::Value;
use serde_json::json;
use tokio::time::Instant;
use zinnia_check::Fact;
use zinnia_local::Client;
use zinnia_types::Code;
use zinnia_types::Document;
use zinnia_types::Ran;
use zinnia_types::Resources;
use zinnia_types::TeamId;

use super::POLL;
use super::calls;
use super::calls::Outcome;
use super::monitor::hashed;
use super::step::Step;
use super::step::VmAct;
use super::step::WorkerAct;
use super::until;
use super::world::Key;
use super::world::World;

/// Longest wait for the tasks and calls of a worker that is shut down.
const DRAIN: Duration = Duration::from_secs(20);

/// Performs one step; it fails unless all its requests were granted.
pub(crate) async fn run(world: &mut World, step: &Step) -> Result<()> {
    match step {
        Step::Expect { code, ran, step } => {
            let outcomes = Box::pin(perform(world, step)).await?;
            ensure!(!outcomes.is_empty(), "the step sends no request");
            outcomes.iter().try_for_each(|o| refused(o, *code, *ran))
        }
        Step::Eventually { step, limit } => {
            let deadline = Instant::now() + *limit;
            loop {
                let done = Box::pin(run(world, step)).await;
                if done.is_ok() || Instant::now() >= deadline {
                    return done.with_context(|| format!("not within {} s", limit.as_secs()));
                }
                tokio::time::sleep(POLL).await;
            }
        }
        _ => perform(world, step).await?.iter().try_for_each(done),
    }
}

fn done(outcome: &Outcome) -> Result<()> {
    match outcome {
        Outcome::Done => Ok(()),
        Outcome::Refused(body) => bail!("refused with {:?}: {body}", body.code),
        Outcome::Lost(why) => bail!("no answer: {why}"),
    }
}

fn refused(outcome: &Outcome, code: Code, ran: Option<Ran>) -> Result<()> {
    match outcome {
        Outcome::Refused(body) if body.code == code && ran.is_none_or(|r| r == body.ran) => Ok(()),
        Outcome::Refused(body) => bail!("refused with {:?}: {body}", body.code),
        Outcome::Done => bail!("granted and not refused"),
        Outcome::Lost(why) => bail!("no answer: {why}"),
    }
}

async fn perform(world: &mut World, step: &Step) -> Result<Vec<Outcome>> {
    match step {
        Step::Workers {
            domain,
            names,
            racks,
            capacity,
            behaviour,
        } => {
            for (n, name) in names.iter().enumerate() {
                let rack = n % (*racks).max(1);
                let place = (domain.clone(), rack, *capacity);
                world.places.insert(name.clone(), place);
                let rack = format!("{domain}-r{rack}");
                world
                    .cell
                    .add_faulty_worker(name, domain, &rack, *capacity, behaviour.clone())
                    .await?;
            }
        }
        Step::Behave { workers, behaviour } => {
            for name in world.workers(workers)? {
                let handle = world.cell.worker(&name).context("no such worker")?;
                handle.set_faults(behaviour.clone());
            }
        }
        Step::Worker { workers, act } => {
            for name in world.workers(workers)? {
                worker(world, &name, *act).await?;
            }
        }
        Step::Vm { vm, act } => {
            for at in world.vms(vm)? {
                self::vm(world, at, *act).await?;
            }
        }
        Step::Cut { from, to, both } => {
            let (from, to) = (world.vms(from)?, world.vms(to)?);
            let pairs = from.iter().flat_map(|&a| to.iter().map(move |&b| (a, b)));
            cut(world, pairs, *both);
        }
        Step::Isolate { vms } => {
            let inside = world.vms(vms)?;
            let outside = (0..world.cell.len()).filter(|at| !inside.contains(at));
            let outside: Vec<usize> = outside.collect();
            let pairs = inside
                .iter()
                .flat_map(|&a| outside.iter().map(move |&b| (a, b)));
            cut(world, pairs, true);
        }
        Step::Heal => {
            world.cell.heal();
            world.cuts.clear();
            world.link();
        }
        Step::Document {
            document,
            request,
            from,
            vm,
        } => {
            let request = match request {
                Some(request) => request.clone(),
                None => world.request("document"),
            };
            let at = world.via(vm.as_deref())?;
            let one = (at, request, document.clone());
            return apply(world, vec![one], *from).await;
        }
        Step::Changes { document, count } => return changes(world, document, *count).await,
        Step::Race { documents } => return race(world, documents).await,
        Step::Grant { team, name, vm } => {
            let at = world.via(vm.as_deref())?;
            return Ok(vec![grant(world, at, team, name).await?]);
        }
        Step::Withdraw { key, vm } => {
            let at = world.via(vm.as_deref())?;
            let id = world.key(key)?.id.clone();
            let sent = world.cell.operator(at);
            let sent = sent.post("/v1/keys/withdraw", &json!({"ids": [id]})).await;
            return Ok(vec![match sent {
                Ok(_) => {
                    world.record.add(Fact::Withdrawn { key: id });
                    Outcome::Done
                }
                Err(error) => Outcome::of(error),
            }]);
        }
        Step::Probe { key } => probe(world, key)?,
        Step::Submit(submit) => return calls::submit(world, submit).await,
        Step::Cancel { team, prefix, vm } => {
            let at = world.via(vm.as_deref())?;
            let body = json!({"team": team, "prefix": prefix});
            let sent = world.cell.operator(at).post("/v1/cancel", &body).await;
            return Ok(vec![sent.map_or_else(Outcome::of, |_| Outcome::Done)]);
        }
        Step::Call(call) => return calls::call(world, call).await,
        Step::Join => return Ok(calls::join(world).await),
        Step::Until { condition, limit } => until::wait(world, condition, *limit).await?,
        Step::Expect { .. } | Step::Eventually { .. } => Box::pin(run(world, step)).await?,
    }
    Ok(Vec::new())
}

async fn worker(world: &mut World, name: &str, act: WorkerAct) -> Result<()> {
    if matches!(act, WorkerAct::Restart) {
        let (domain, rack, capacity) = world.places.get(name).cloned().context("no worker")?;
        let rack = format!("{domain}-r{rack}");
        let cell = &mut world.cell;
        return cell.add_worker(name, &domain, &rack, capacity).await;
    }
    if matches!(act, WorkerAct::Kill) {
        world.cell.kill_worker(name);
        return Ok(());
    }
    let handle = world.cell.worker(name).context("no such worker")?;
    let id = handle.worker();
    match act {
        WorkerAct::Leave => {
            handle.leave();
            world.record.add(Fact::Leaving { worker: id });
        }
        WorkerAct::Drain => {
            handle.leave();
            world.record.add(Fact::Leaving { worker: id });
            let finished = world.cell.drain_worker(name, DRAIN).await;
            ensure!(finished, "worker {name} did not finish its work");
        }
        WorkerAct::Mute => handle.set_heartbeats_paused(true),
        WorkerAct::Unmute => handle.set_heartbeats_paused(false),
        WorkerAct::Kill | WorkerAct::Restart => {}
    }
    Ok(())
}

async fn vm(world: &mut World, at: usize, act: VmAct) -> Result<()> {
    match act {
        VmAct::Kill => {
            let vm = world.id(at).context("the VM does not run")?;
            world.record.add(Fact::Killed { vm });
            world.monitor.stopped(vm);
            world.cell.kill_vm(at).await;
            world.link();
        }
        VmAct::Drain => {
            let vm = world.id(at).context("the VM does not run")?;
            world.record.add(Fact::Drain { vm });
            let finished = world.cell.drain_vm(at).await;
            // An answer may still be on its way from the socket to its caller.
            world.record.settle(vm).await;
            world.record.add(Fact::Drained { vm });
            world.monitor.stopped(vm);
            world.link();
            ensure!(finished, "the drain did not finish the requests in flight");
        }
        // Domains may be started as a whole.
        VmAct::Start if world.cell.daemon(at).is_some() => {}
        VmAct::Start => {
            world.cell.start_vm(at).await?;
            world.watch(at);
            world.link();
        }
        VmAct::StartFails => {
            let Err(error) = world.cell.start_vm(at).await else {
                bail!("the VM started with a corrupt journal");
            };
            let text = format!("{error:#}");
            ensure!(text.contains("journal-"), "the error names no file: {text}");
        }
        VmAct::Wipe => world.cell.wipe_vm(at)?,
        VmAct::Tear => {
            let path = journal(world, at)?;
            let mut bytes = fs::read(&path)?;
            // Fewer bytes than the frame of a record has.
            let part = bytes.get(..7).map(<[u8]>::to_vec);
            bytes.extend(part.context("the journal is empty")?);
            fs::write(&path, bytes)?;
        }
        VmAct::Corrupt => {
            let path = journal(world, at)?;
            let mut bytes = fs::read(&path)?;
            let middle = bytes.len() / 2;
            let byte = bytes.get_mut(middle).context("the journal is empty")?;
            *byte ^= 0x40;
            fs::write(&path, bytes)?;
        }
    }
    Ok(())
}

/// The newest journal file of a VM that does not run.
fn journal(world: &World, at: usize) -> Result<PathBuf> {
    ensure!(world.cell.daemon(at).is_none(), "the VM runs");
    let settings = world.cell.vm_settings(at).context("no such VM")?;
    let folder = settings.data.as_ref().context("the VM has no disk")?;
    let mut files = Vec::new();
    for entry in fs::read_dir(folder)? {
        let entry = entry?;
        if entry.file_name().to_string_lossy().starts_with("journal-") {
            files.push(entry.path());
        }
    }
    files.into_iter().max().context("the VM has no journal")
}

fn cut(world: &mut World, pairs: impl Iterator<Item = (usize, usize)>, both: bool) {
    for (from, to) in pairs {
        world.cuts.insert((from, to));
        if both {
            world.cuts.insert((to, from));
        }
    }
    // Recorded first: a VM that is about to be cut off owes nothing from then on.
    world.link();
    for &(from, to) in &world.cuts {
        world.cell.cut(from, to);
    }
}

async fn grant(world: &mut World, at: usize, team: &str, name: &str) -> Result<Outcome> {
    let body = json!({"request": format!("grant-{name}"), "team": team});
    let answer = match world.cell.operator(at).post("/v1/keys", &body).await {
        Ok(answer) => answer,
        Err(error) => return Ok(Outcome::of(error)),
    };
    let text = |field: &str| answer[field].as_str().map(str::to_owned);
    let key = Key {
        id: text("id").context("the answer has no key id")?,
        text: text("key").context("the answer has no key")?,
        team: team.parse()?,
    };
    world.record.add(Fact::Granted {
        key: key.id.clone(),
        team: Some(key.team),
    });
    world.keys.insert(name.to_owned(), key);
    Ok(Outcome::Done)
}

fn probe(world: &mut World, key: &str) -> Result<()> {
    let Key { id, team, .. } = world.key(key)?.clone();
    for at in 0..world.cell.len() {
        let Some(vm) = world.id(at) else {
            continue;
        };
        let accepted = Fact::Accepted {
            vm,
            team,
            kind: "probe".parse()?,
            key: Some(id.clone()),
        };
        let client = world.client(at, key)?;
        let probe = calls::probe(client, accepted, world.record.clone());
        world.tasks.push(tokio::spawn(probe));
    }
    Ok(())
}

fn limits(document: &Value) -> BTreeMap<TeamId, Resources> {
    let read: Option<Document> = serde_json::from_value(document.clone()).ok();
    let teams = read.map(|d| d.teams).unwrap_or_default();
    teams.into_iter().map(|t| (t.name, t.limit)).collect()
}

fn record_limits(world: &World, limits: &BTreeMap<TeamId, Resources>) {
    for (&team, &limit) in limits {
        world.record.add(Fact::Limit { team, limit });
    }
}

/// Applies documents at the same time through some VMs, on top of one version.
async fn apply(
    world: &mut World,
    documents: Vec<(usize, String, Value)>,
    from: Option<u64>,
) -> Result<Vec<Outcome>> {
    // Work may start under a new limit before its answer arrives, so the largest one counts first.
    let mut most = world.limits.clone();
    for (_, _, document) in &documents {
        for (team, limit) in limits(document) {
            let entry = most.entry(team).or_insert(limit);
            *entry = Resources::max(entry, &limit);
        }
    }
    record_limits(world, &most);
    let from = match (from, documents.first()) {
        (Some(from), _) => from,
        (None, Some((at, _, _))) => version(&world.cell.operator(*at)).await?,
        (None, None) => 0,
    };
    let mut sends = tokio::task::JoinSet::new();
    for (at, request, document) in documents {
        let client = world.cell.operator(at);
        sends.spawn(async move {
            let body = json!({"request": request, "from": from, "document": document});
            (client.put("/v1/document", &body).await, document)
        });
    }
    let mut outcomes = Vec::new();
    for (answer, document) in sends.join_all().await {
        outcomes.push(match answer {
            Ok(answer) => {
                let version = answer["version"].as_u64().context("no version")?;
                let hash = answer["hash"].as_str().context("no hash")?;
                world.record.add(Fact::Document {
                    version,
                    digest: hashed(hash),
                });
                for (team, limit) in limits(&document) {
                    world.limits.insert(team, limit);
                }
                open(world, &document);
                Outcome::Done
            }
            Err(error) => Outcome::of(error),
        });
    }
    // An edit without an answer may have won, so that the largest limits remain allowed.
    if outcomes.iter().any(|o| matches!(o, Outcome::Lost(_))) {
        world.limits = most;
    }
    record_limits(world, &world.limits);
    Ok(outcomes)
}

async fn version(client: &Client) -> Result<u64> {
    let answer = client.get("/v1/document").await?;
    answer["version"].as_u64().context("no version")
}

fn open(world: &World, document: &Value) {
    let read: Option<Document> = serde_json::from_value(document.clone()).ok();
    for kind in read.map(|d| d.kinds).unwrap_or_default() {
        world.record.add(Fact::Opened {
            kind: kind.name,
            team: kind.open,
        });
    }
}

async fn race(world: &mut World, documents: &[Value]) -> Result<Vec<Outcome>> {
    let mut all = Vec::new();
    for document in documents {
        let at = world.via(None)?;
        all.push((at, world.request("race"), document.clone()));
    }
    let outcomes = apply(world, all, None).await?;
    let won = outcomes.iter().filter(|o| matches!(o, Outcome::Done));
    ensure!(won.count() == 1, "not exactly one edit won: {outcomes:?}");
    for outcome in outcomes.iter().filter(|o| !matches!(o, Outcome::Done)) {
        refused(outcome, Code::Conflict, Some(Ran::No))?;
    }
    Ok(Vec::new())
}

async fn changes(world: &mut World, document: &Value, count: u32) -> Result<Vec<Outcome>> {
    let mut outcomes = Vec::new();
    let mut document = document.clone();
    let at = world.via(None)?;
    let mut from = version(&world.cell.operator(at)).await?;
    for n in 0..count {
        document["teams"][0]["share"] = json!(1 + n % 50);
        let at = world.via(None)?;
        let request = world.request("change");
        let one = (at, request, document.clone());
        // Counted here, since a VM may lag behind the one that answered last.
        outcomes.extend(apply(world, vec![one], Some(from)).await?);
        from += 1;
    }
    Ok(outcomes)
}
