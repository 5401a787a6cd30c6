//! Client of the leader: finds it and sends requests to it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::time::Instant;
use tokio::time::sleep;
use zinnia_peer::Links;
use zinnia_plan::Heartbeat;
use zinnia_replica::clock;
use zinnia_types::Time;

use crate::Answer;
use crate::LeaderTime;
use crate::Request;
use crate::context::MemberContext;
use crate::deadline::LeaderClock;
use crate::heartbeat_relay::HEARTBEATS_METHOD;
use crate::heartbeat_relay::RELAY_INTERVAL;
use crate::heartbeat_relay::RelayBuffer;
use crate::heartbeat_relay::receiver_of;
use crate::message::Hello;
use crate::message::HelloReply;
use crate::settlement::SETTLE_TIME;

/// Interval between two `hello` messages to the leader.
const HELLO_INTERVAL: Duration = Duration::from_millis(400);
/// Timeout of a `hello` message.
const HELLO_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout of one attempt, after which another process is tried. An answer usually takes some tens
/// of milliseconds; a leader that is stalled does not answer.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(400);
/// Delay before the next attempt.
pub(crate) const RETRY_DELAY: Duration = Duration::from_millis(40);
/// Time without an answer from the leader after which this process is not ready: two `hello` messages
/// in a row had none. Callers are then sent to processes that reach the leader.
const READY_TIMEOUT_MS: u64 = 1_000;
/// Retry delay for callers while no leader is known.
const RETRY_AFTER_MS: u64 = 1_000;

/// Time in which a KiB of a document is sent, stored and decoded by a quorum. It is added to the
/// timeout of an attempt.
const DOCUMENT_TIME_PER_KIB: Duration = Duration::from_millis(2);

/// Returns the timeout of one attempt to have a request answered.
fn attempt_timeout(request: &Request) -> Duration {
    let kib = match request {
        Request::Publish { raw, .. } => u32::try_from(raw.len() / 1_024).unwrap_or(u32::MAX),
        _ => 0,
    };
    ATTEMPT_TIMEOUT.saturating_add(DOCUMENT_TIME_PER_KIB.saturating_mul(kib))
}

#[derive(Debug, Default)]
struct KnownCell {
    /// Member addresses from the settings.
    seeds: Vec<String>,
    /// Peer addresses of the members.
    members: BTreeSet<String>,
    leader: Option<String>,
    /// Leader's address for workers and operators.
    control_addr: Option<String>,
    /// Addresses of the members that receive the heartbeats of workers; empty if the leader does.
    heartbeat_addrs: Vec<String>,
    /// When the leader last answered a `hello`.
    last_answer: Time,
    leader_clock: LeaderClock,
    next_member: usize,
}

/// Client of the leader: finds it and sends requests to it.
pub struct Gateway {
    pub(crate) links: Links,
    hello: Hello,
    pub(crate) context: Option<Arc<MemberContext>>,
    known: Mutex<KnownCell>,
    relay: RelayBuffer,
    /// Whether the outcome of a submission is asked for once its deadline has passed.
    settles: bool,
}

impl Gateway {
    pub(crate) fn new(
        links: Links,
        hello: Hello,
        seeds: Vec<String>,
        context: Option<Arc<MemberContext>>,
        settles: bool,
    ) -> Self {
        let known = KnownCell {
            members: seeds.iter().cloned().collect(),
            seeds,
            ..KnownCell::default()
        };
        Self {
            links,
            hello,
            context,
            known: Mutex::new(known),
            relay: RelayBuffer::default(),
            settles,
        }
    }

    fn known(&self) -> MutexGuard<'_, KnownCell> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the seeds. The members known so far are still tried until one answers.
    pub fn set_seeds(&self, seeds: Vec<String>) {
        let mut known = self.known();
        known.members.extend(seeds.iter().cloned());
        known.seeds = seeds;
    }

    /// Whether this process leads, or the leader answered recently.
    pub fn is_ready(&self) -> bool {
        if self.context.as_ref().is_some_and(|c| c.is_leader()) {
            return true;
        }
        let last_answer = self.known().last_answer;
        last_answer > Time(0) && clock::now().since(last_answer) < READY_TIMEOUT_MS
    }

    /// Returns the leader's address for workers and operators, if known.
    pub fn control_addr(&self) -> Option<String> {
        let own = self.context.as_ref().filter(|c| c.is_leader());
        match own {
            Some(context) => Some(context.settings.control_addr.clone()),
            None => self.known().control_addr.clone(),
        }
    }

    /// Returns the address to which the worker should send its heartbeats, if known.
    pub fn heartbeat_addr(&self, worker: &str) -> Option<String> {
        let own = self.context.as_ref().filter(|c| c.is_leader());
        let receivers = match own {
            Some(context) => context.heartbeat_addrs(),
            None => self.known().heartbeat_addrs.clone(),
        };
        let receiver = receiver_of(worker, &receivers).map(str::to_owned);
        receiver.or_else(|| self.control_addr())
    }

    /// Handles a heartbeat of a worker: answers it on behalf of the leader if that changes nothing, or
    /// else sends it to the leader like any request.
    pub async fn heartbeat(&self, heartbeat: Heartbeat, limit: Duration) -> Answer {
        if self.answers_heartbeat(&heartbeat) && self.relay.push(heartbeat.clone(), clock::now()) {
            return Answer::Done;
        }
        self.request(&Request::Heartbeat(heartbeat), limit).await
    }

    /// Whether this process may answer the heartbeat itself: it is another member than the leader,
    /// hears of it, and the replicated state has all that the heartbeat reports.
    fn answers_heartbeat(&self, heartbeat: &Heartbeat) -> bool {
        let Some(context) = self.context.as_ref().filter(|c| !c.is_leader()) else {
            return false;
        };
        self.is_ready() && context.cell_state().state.contains_heartbeat(heartbeat)
    }

    /// Passes answered heartbeats on to the leader until the process ends.
    pub(crate) async fn run_heartbeat_relay(self: Arc<Self>) {
        let Some(context) = &self.context else {
            return;
        };
        loop {
            sleep(RELAY_INTERVAL).await;
            let list = self.relay.take(clock::now());
            if list.is_empty() {
                continue;
            }
            metrics::counter!("zinnia_relayed_heartbeats_total").increment(list.len() as u64);
            if context.is_leader() {
                context.record_heartbeats(&list);
            } else if let Some(addr) = self.known().leader.clone() {
                self.links.notify(&addr, HEARTBEATS_METHOD, &list);
            }
        }
    }

    /// Sends a request to the leader and retries until `limit` has passed.
    ///
    /// A request answered with [`Answer::Busy`] was certainly not carried out; one answered with
    /// [`Answer::Unknown`] may have been. A change for a caller that is still on its way after `limit` is not
    /// carried out any more.
    pub async fn request(&self, request: &Request, limit: Duration) -> Answer {
        let mut request = request.clone();
        let hard_deadline = Instant::now() + limit;
        let can_settle = self.settles && request.is_submission();
        let reserve = match can_settle {
            true => SETTLE_TIME.min(limit / 4),
            false => Duration::ZERO,
        };
        let limit = limit.saturating_sub(reserve);
        let deadline = Instant::now() + limit;
        let given_up_at = clock::now().after(u64::try_from(limit.as_millis()).unwrap_or(u64::MAX));
        let mut maybe_applied = false;
        let mut clock_read = false;
        loop {
            if let Some(context) = self.context.as_ref().filter(|c| c.is_leader()) {
                let own_time = context.leader_time().filter(|_| can_settle);
                request.set_deadline(own_time.map(|t| LeaderTime {
                    at: given_up_at,
                    ..t
                }));
                match context.handle(request.clone()).await {
                    Answer::Elsewhere(_) | Answer::Expired(_) => {}
                    Answer::Unknown => maybe_applied = true,
                    Answer::Busy(_) if maybe_applied && can_settle => break,
                    answer => return request.final_answer(answer, maybe_applied),
                }
            } else if let Some(addr) = self.next_target() {
                let left = deadline.saturating_duration_since(Instant::now());
                let attempt = left.min(attempt_timeout(&request));
                let attempt_ms = u64::try_from(attempt.as_millis()).unwrap_or(u64::MAX);
                let expires_at = match request.has_exclusive_attempts() {
                    true => clock::now().after(attempt_ms).min(given_up_at),
                    false => given_up_at,
                };
                request.set_deadline(Some(self.known().leader_clock.deadline(expires_at)));
                let answer = self
                    .links
                    .call_with_timeout::<_, Answer>(&addr, "ask", &request, attempt)
                    .await;
                match answer {
                    Ok(Answer::Elsewhere(leader)) => self.update_leader(&addr, leader),
                    Ok(Answer::Expired(reading)) => {
                        self.record_leader_time(reading);
                        // The first attempt at a new leader learns its clock in this way.
                        if !std::mem::replace(&mut clock_read, true) {
                            continue;
                        }
                    }
                    Ok(Answer::Unknown) => maybe_applied = true,
                    // An earlier attempt may still be on its way.
                    Ok(Answer::Busy(_)) if maybe_applied && can_settle => break,
                    Ok(answer) => return request.final_answer(answer, maybe_applied),
                    Err(error) => {
                        maybe_applied |= error.maybe_sent;
                        // Logged at debug level, since every attempt fails while no leader is
                        // reachable. The loss of the leader and the caller's answer are logged
                        // separately.
                        tracing::debug!(event = "ask", peer = addr, %error, "no answer from a member");
                        metrics::counter!("zinnia_ask_failures_total", "peer" => addr.clone())
                            .increment(1);
                        self.update_leader(&addr, None);
                        if error.maybe_sent && request.has_exclusive_attempts() {
                            let left_ms = expires_at.since(clock::now());
                            sleep(Duration::from_millis(left_ms)).await;
                        }
                    }
                }
            }
            if Instant::now() + RETRY_DELAY >= deadline {
                break;
            }
            sleep(RETRY_DELAY).await;
        }
        match (maybe_applied, request) {
            (false, _) => Answer::Busy(RETRY_AFTER_MS),
            (true, Request::Caller(request)) if can_settle => {
                self.settle(request, given_up_at, hard_deadline).await
            }
            (true, _) => Answer::Unknown,
        }
    }

    fn record_leader_time(&self, reading: LeaderTime) {
        self.known().leader_clock = LeaderClock::new(reading, clock::now());
    }

    /// Returns the process to try next: the leader if known, else each member in turn.
    pub(crate) fn next_target(&self) -> Option<String> {
        let mut known = self.known();
        if let Some(leader) = &known.leader {
            return Some(leader.clone());
        }
        known.next_member = known.next_member.wrapping_add(1);
        let others: Vec<&String> = known
            .members
            .iter()
            .filter(|a| **a != self.hello.peer)
            .collect();
        let index = known.next_member.checked_rem(others.len())?;
        others.get(index).map(|a| (*a).clone())
    }

    /// Records that `addr` is not the leader, and which process may be.
    fn update_leader(&self, addr: &str, leader: Option<String>) {
        let mut known = self.known();
        if known.leader.as_deref() == Some(addr) || known.leader.is_none() {
            known.leader = leader.filter(|l| l != addr);
        }
    }

    /// Sends `hello` to the leader at regular intervals until the process ends.
    pub(crate) async fn run_discovery(self: Arc<Self>) {
        let mut leader_lost = false;
        loop {
            self.send_hello().await;
            let ready = self.is_ready();
            if ready == leader_lost {
                leader_lost = !ready;
                let leader = self.known().leader.clone();
                if ready {
                    tracing::info!(event = "leader", leader, "the leader is reachable");
                } else {
                    tracing::warn!(event = "leader", "no leader is reachable");
                }
            }
            let interval = if ready {
                HELLO_INTERVAL
            } else {
                HELLO_INTERVAL / 4
            };
            sleep(interval).await;
        }
    }

    async fn send_hello(&self) {
        let Some(addr) = self.next_target() else {
            return;
        };
        if self.context.as_ref().is_some_and(|c| c.is_leader()) {
            return;
        }
        let answer = self
            .links
            .call_with_timeout::<_, HelloReply>(&addr, "hello", &self.hello, HELLO_TIMEOUT)
            .await;
        match answer {
            Ok(reply) => self.handle_hello_reply(&addr, reply),
            Err(_) => self.update_leader(&addr, None),
        }
    }

    fn handle_hello_reply(&self, addr: &str, reply: HelloReply) {
        if let Some(context) = &self.context {
            for (id, peer) in &reply.members {
                context.record_address(*id, peer);
            }
        }
        if let Some(reading) = reply.clock {
            self.record_leader_time(reading);
        }
        let mut known = self.known();
        if !reply.members.is_empty() {
            known.members = known.seeds.iter().cloned().collect();
            known
                .members
                .extend(reply.members.into_iter().map(|(_, a)| a));
        }
        if reply.ready {
            known.leader = Some(addr.to_owned());
            known.control_addr = reply.control;
            known.heartbeat_addrs = reply.heartbeat_addrs;
            known.last_answer = clock::now();
        } else {
            known.leader = reply.leader.filter(|l| l != addr);
        }
    }

    /// Data for a state dump.
    pub fn dump(&self) -> BTreeMap<&'static str, String> {
        let known = self.known();
        BTreeMap::from([
            ("leader", known.leader.clone().unwrap_or_default()),
            (
                "members",
                known.members.iter().cloned().collect::<Vec<_>>().join(" "),
            ),
        ])
    }
}
