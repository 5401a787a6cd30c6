//! Calls of leaders to workers: how long they take, and which are lost or carried out late.

use rand::Rng;
use rand::rngs::SmallRng;
use zinnia_plan::Heartbeat;
use zinnia_plan::Poll;
use zinnia_plan::Record;
use zinnia_plan::Report;
use zinnia_plan::RunOrder;
use zinnia_plan::StartOrder;
use zinnia_plan::StartOutcome;
use zinnia_types::JobId;

/// Timeout of orders and of polls without a wait.
const SHORT_TIMEOUT_MS: u64 = 200;
/// Time added to the wait of a poll to get its timeout.
const POLL_MARGIN_MS: u64 = 700;
/// Time after which a connection that is not established counts as failed.
const CONNECT_TIMEOUT_MS: u64 = 120;
/// Longest time until an order without an answer is carried out.
pub(crate) const MAX_DELAY_MS: u64 = 12_000;

/// What a leader sends to a worker.
#[derive(Clone, Debug)]
pub(crate) enum Message {
    Start(StartOrder),
    Poll(Poll),
    Stop(RunOrder),
}

impl Message {
    pub(crate) fn worker(&self) -> &str {
        match self {
            Self::Start(order) => &order.common.worker,
            Self::Poll(poll) => &poll.worker,
            Self::Stop(order) => &order.worker,
        }
    }

    fn timeout_ms(&self) -> u64 {
        match self {
            Self::Poll(poll) if poll.wait_ms > 0 => POLL_MARGIN_MS + poll.wait_ms,
            Self::Start(_) | Self::Poll(_) | Self::Stop(_) => SHORT_TIMEOUT_MS,
        }
    }
}

/// A call that a leader has made.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) id: u64,
    pub(crate) member: usize,
    pub(crate) term: u64,
    pub(crate) message: Message,
}

/// What a leader learns of its call.
#[derive(Clone, Debug)]
pub(crate) enum Answer {
    Start(StartOutcome),
    Poll(Report),
    /// The connection failed, so that the worker has not received the call.
    NotSent,
    /// No answer arrives.
    Nothing,
}

/// What happens at a later time.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    /// A call arrives at its worker. Without `answered`, its leader has given it up.
    Arrive { call: Call, answered: bool },
    /// The outcome of a call is known.
    Answer { call: Call, answer: Answer },
    /// A member sends the order of a committed start.
    Order { member: usize, order: StartOrder },
    /// A late heartbeat arrives.
    Beat(Heartbeat),
    /// A submission of a job arrives.
    Submission(Record),
    /// A cancellation of a job arrives.
    Cancellation(JobId),
    /// A deregistration arrives, with the start of the incarnation if it tells it.
    Deregister { machine: usize, born: Option<i64> },
}

/// How the path to a worker is at a moment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Path {
    /// Whether the worker is up and its messages can arrive.
    pub(crate) open: bool,
    /// Whether there was a loss shortly before.
    pub(crate) troubled: bool,
    /// Whether calls without an answer may be carried out late.
    pub(crate) delays: bool,
    /// Share of the start orders that get no answer though nothing else is wrong.
    pub(crate) unanswered_share: f64,
}

pub(crate) fn latency_ms(rng: &mut SmallRng) -> u64 {
    match rng.random_bool(0.02) {
        true => rng.random_range(4..90),
        false => rng.random_range(1..4),
    }
}

/// Draws what happens to a call that is sent at `now`.
pub(crate) fn send(rng: &mut SmallRng, call: &Call, path: Path, now: u64) -> Vec<(u64, Event)> {
    let answer = |answer| Event::Answer {
        call: call.clone(),
        answer,
    };
    let timeout = (now + call.message.timeout_ms(), answer(Answer::Nothing));
    let lost_share: f64 = if path.troubled { 0.05 } else { 0.002 };
    let lost_share = match call.message {
        Message::Start(_) => lost_share.max(path.unanswered_share),
        Message::Poll(_) | Message::Stop(_) => lost_share,
    };
    let is_lost = !path.open || rng.random_bool(lost_share);
    if !is_lost {
        let arrive = Event::Arrive {
            call: call.clone(),
            answered: true,
        };
        return vec![timeout, (now + latency_ms(rng), arrive)];
    }
    if !path.open && rng.random_bool(0.4) {
        let refused_ms = match rng.random_bool(0.5) {
            true => 1,
            false => CONNECT_TIMEOUT_MS,
        };
        return vec![(now + refused_ms, answer(Answer::NotSent))];
    }
    let mut events = vec![timeout];
    let late_share = if path.unanswered_share > 0.0 {
        1.0
    } else {
        0.5
    };
    if path.delays && rng.random_bool(late_share) {
        let late = Event::Arrive {
            call: call.clone(),
            answered: false,
        };
        events.push((now + rng.random_range(1..MAX_DELAY_MS), late));
    }
    events
}
