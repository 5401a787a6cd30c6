//! Client of the leader: finds it and sends requests to it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep;
use zinnia_peer::Links;
use zinnia_replica::clock;
use zinnia_types::Time;

use crate::Answer;
use crate::Request;
use crate::context::MemberContext;
use crate::message::Hello;
use crate::message::HelloReply;

/// Interval between two `hello` messages to the leader.
const HELLO_INTERVAL: Duration = Duration::from_millis(400);
/// Timeout of a `hello` message.
const HELLO_TIMEOUT: Duration = Duration::from_millis(400);
/// Delay before the next attempt, and interval at which a member checks whether it leads now.
const RETRY_DELAY: Duration = Duration::from_millis(40);
/// Time without an answer from the leader after which this process is not ready.
const READY_TIMEOUT_MS: u64 = 1_500;
/// Retry delay for callers while no leader is known.
const RETRY_AFTER_MS: u64 = 1_000;

#[derive(Debug, Default)]
struct KnownCell {
    /// Member addresses from the settings.
    seeds: Vec<String>,
    /// Peer addresses of the members.
    members: BTreeSet<String>,
    /// Leader's address for workers and operators.
    control_addr: Option<String>,
    /// When the leader last answered a `hello`.
    last_answer: Time,
    next_member: usize,
}

/// Client of the leader: finds it and sends requests to it.
pub struct Gateway {
    links: Links,
    hello: Hello,
    context: Option<Arc<MemberContext>>,
    known: Mutex<KnownCell>,
    leader: watch::Sender<KnownLeader>,
    /// Wakes the discovery when the leader is lost.
    leader_lost: Notify,
}

/// The leader as far as this process knows.
#[derive(Clone, Debug, Default)]
struct KnownLeader {
    /// Peer address; `None` if no leader is known.
    addr: Option<String>,
    /// Number of changes of the address. It shows that a leader was lost in the meantime even if the
    /// same one was found again.
    changes: u64,
}

impl KnownLeader {
    /// Replaces the address; returns whether it changed.
    fn set(&mut self, addr: Option<String>) -> bool {
        let changed = self.addr != addr;
        if changed {
            self.addr = addr;
            self.changes += 1;
        }
        changed
    }
}

/// An attempt to send a request that got no answer.
struct AttemptError {
    /// Whether the leader may have received the request.
    maybe_sent: bool,
    reason: String,
}

impl Gateway {
    pub(crate) fn new(
        links: Links,
        hello: Hello,
        seeds: Vec<String>,
        context: Option<Arc<MemberContext>>,
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
            leader: watch::Sender::new(KnownLeader::default()),
            leader_lost: Notify::new(),
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

    /// Sends a request to the leader, and again to its successor if the leader is lost, until `limit`
    /// has passed.
    ///
    /// At most one attempt is open at a time, and it ends early only when the leader is lost: an
    /// attempt for each time that a busy leader answers late would multiply its load. Without a known
    /// leader the request waits for the discovery, which asks the members once for all requests.
    ///
    /// A request answered with [`Answer::Busy`] was certainly not carried out; one answered with
    /// [`Answer::Unknown`] may have been.
    pub async fn request(&self, request: &Request, limit: Duration) -> Answer {
        let deadline = Instant::now() + limit;
        let mut maybe_applied = false;
        loop {
            let KnownLeader { addr, changes } = self.leader.borrow().clone();
            if let Some(context) = self.context.as_ref().filter(|c| c.is_leader()) {
                match context.handle(request.clone(), 0).await {
                    Answer::Elsewhere(_) => {}
                    Answer::Unknown => maybe_applied = true,
                    answer => return request.final_answer(answer, maybe_applied),
                }
            } else if let Some(addr) = addr {
                let left = deadline.saturating_duration_since(Instant::now());
                match self.attempt(&addr, changes, request, left).await {
                    Ok(Answer::Elsewhere(leader)) => self.update_leader(&addr, leader),
                    Ok(Answer::Unknown) => maybe_applied = true,
                    Ok(answer) => return request.final_answer(answer, maybe_applied),
                    Err(error) => {
                        maybe_applied |= error.maybe_sent;
                        // Logged at debug level, since every attempt fails while no leader is
                        // reachable. The loss of the leader and the caller's answer are logged
                        // separately.
                        tracing::debug!(
                            event = "ask",
                            peer = addr,
                            error = error.reason,
                            "no answer from the leader"
                        );
                        metrics::counter!("zinnia_ask_failures_total", "peer" => addr.clone())
                            .increment(1);
                        self.update_leader(&addr, None);
                    }
                }
            } else {
                self.wait_for_leader(deadline).await;
                if Instant::now() < deadline {
                    continue;
                }
            }
            if Instant::now() + RETRY_DELAY >= deadline {
                return if maybe_applied {
                    Answer::Unknown
                } else {
                    Answer::Busy(RETRY_AFTER_MS)
                };
            }
            sleep(RETRY_DELAY).await;
        }
    }

    /// Sends a request to the process at `addr`, and waits for the answer for at most `left` while
    /// that process is the known leader, that is, `changes` is the current number of changes.
    async fn attempt(
        &self,
        addr: &str,
        changes: u64,
        request: &Request,
        left: Duration,
    ) -> Result<Answer, AttemptError> {
        let request = request.with_time_left(left);
        let call = self
            .links
            .call_with_timeout::<_, Answer>(addr, "ask", &request, left);
        let mut leader = self.leader.subscribe();
        let lost = leader.wait_for(|l| l.changes != changes);
        tokio::select! {
            biased;
            answer = call => answer.map_err(|error| AttemptError {
                maybe_sent: error.maybe_sent,
                reason: error.to_string(),
            }),
            _ = lost => Err(AttemptError {
                maybe_sent: true,
                reason: "the leader is lost".to_owned(),
            }),
        }
    }

    /// Waits until a leader is known or `deadline` has passed. A member also returns after a short
    /// time, since it may lead itself.
    async fn wait_for_leader(&self, deadline: Instant) {
        let until = match &self.context {
            Some(_) => deadline.min(Instant::now() + RETRY_DELAY),
            None => deadline,
        };
        let mut leader = self.leader.subscribe();
        let known = leader.wait_for(|l| l.addr.is_some());
        let _ = tokio::time::timeout_at(until, known).await;
    }

    /// Returns the process to ask for the leader: the leader if known, else each member in turn.
    fn next_target(&self) -> Option<String> {
        let leader = self.leader.borrow().addr.clone();
        if leader.is_some() {
            return leader;
        }
        let mut known = self.known();
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
        let leader = leader.filter(|l| l != addr);
        let lost = leader.is_none();
        let changed = self.leader.send_if_modified(|current| {
            let outdated = current.addr.as_deref().is_none_or(|a| a == addr);
            outdated && current.set(leader)
        });
        if changed && lost {
            self.leader_lost.notify_one();
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
                let leader = self.leader.borrow().addr.clone();
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
            let _ = tokio::time::timeout(interval, self.leader_lost.notified()).await;
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
        let mut known = self.known();
        if !reply.members.is_empty() {
            known.members = known.seeds.iter().cloned().collect();
            known
                .members
                .extend(reply.members.into_iter().map(|(_, a)| a));
        }
        let leader = if reply.ready {
            known.control_addr = reply.control;
            known.last_answer = clock::now();
            Some(addr.to_owned())
        } else {
            reply.leader.filter(|l| l != addr)
        };
        drop(known);
        self.leader.send_if_modified(|current| current.set(leader));
    }

    /// Data for a state dump.
    pub fn dump(&self) -> BTreeMap<&'static str, String> {
        let known = self.known();
        let leader = self.leader.borrow().addr.clone();
        BTreeMap::from([
            ("leader", leader.unwrap_or_default()),
            (
                "members",
                known.members.iter().cloned().collect::<Vec<_>>().join(" "),
            ),
        ])
    }
}
