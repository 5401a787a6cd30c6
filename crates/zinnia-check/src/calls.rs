//! Requests and their answers: P5 and P9, and P6 and P7 for requests.

use std::collections::BTreeMap;

use zinnia_types::Code;
use zinnia_types::ExecutionStatus;
use zinnia_types::VmId;
use zinnia_types::WorkerId;

use crate::EventKind;
use crate::Invariant;
use crate::checker::Place;
use crate::violation::Found;

/// How one request of a caller to one VM stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Open,
    /// Answered, dropped or refused without a claim that it did not run.
    Closed,
    /// Refused with the claim that it did not run.
    NotRun,
}

/// The last request that a caller sent to a VM under an id.
#[derive(Debug)]
struct Exchange {
    request: u64,
    stage: Stage,
    called: usize,
    /// Event with which a worker began to run it.
    sent: Option<usize>,
    /// Event that closed it.
    closed: usize,
    /// Event with which its VM began to drain while it was open.
    drain: Option<usize>,
    /// Whether its VM was killed while it was open; an answer may still be under way.
    orphan: bool,
}

/// A run of a request on a worker.
#[derive(Debug)]
struct Run {
    worker: WorkerId,
    request: u64,
    response: Option<u64>,
    n: usize,
    /// Whether the worker went down before it had responded.
    lost: bool,
}

#[derive(Debug, Default)]
struct Call {
    /// Event that marked the request as not to be repeated.
    once: Option<usize>,
    exchanges: BTreeMap<VmId, Exchange>,
    runs: Vec<Run>,
}

#[derive(Debug, Default)]
pub(crate) struct Calls {
    calls: BTreeMap<String, Call>,
}

impl Calls {
    pub(crate) fn observe(&mut self, place: Place, fact: &EventKind) -> Result<(), Box<Found>> {
        match fact {
            EventKind::Called {
                call,
                vm,
                repeat,
                request,
            } => {
                self.called(place, call, *vm, *repeat, *request);
                Ok(())
            }
            EventKind::Sent {
                call,
                vm,
                worker,
                request,
            } => {
                let entry = self.calls.entry(call.clone()).or_default();
                entry.sent(place, call, *vm, *worker, *request)
            }
            EventKind::Served {
                call,
                worker,
                response,
            } => {
                let entry = self.calls.entry(call.clone()).or_default();
                entry.served(place, call, *worker, *response)
            }
            EventKind::Answered { call, vm, response } => {
                let entry = self.calls.entry(call.clone()).or_default();
                entry.answered(place, call, *vm, *response)
            }
            EventKind::Refused {
                call,
                vm,
                code,
                ran,
            } => {
                let entry = self.calls.entry(call.clone()).or_default();
                entry.refused(place, call, *vm, *code, *ran)
            }
            EventKind::Dropped { call, vm } => {
                let entry = self.calls.entry(call.clone()).or_default();
                entry.dropped(place, call, *vm)
            }
            EventKind::Drain { vm } => {
                for exchange in self.open_at(*vm) {
                    exchange.drain = Some(place.n);
                }
                Ok(())
            }
            EventKind::Drained { vm } => self.drained(place, *vm),
            EventKind::Killed { vm } => {
                for exchange in self.open_at(*vm) {
                    exchange.orphan = true;
                    exchange.drain = None;
                }
                Ok(())
            }
            EventKind::WorkerDown { worker, graceful } => {
                self.worker_down(place, *worker, *graceful)
            }
            _ => Ok(()),
        }
    }

    fn called(&mut self, place: Place, call: &str, vm: VmId, repeat: bool, request: u64) {
        let entry = self.calls.entry(call.to_owned()).or_default();
        if !repeat {
            entry.once.get_or_insert(place.n);
        }
        let exchange = Exchange {
            request,
            stage: Stage::Open,
            called: place.n,
            sent: None,
            closed: place.n,
            drain: None,
            orphan: false,
        };
        entry.exchanges.insert(vm, exchange);
    }

    fn open_at(&mut self, vm: VmId) -> impl Iterator<Item = &mut Exchange> {
        let calls = self.calls.values_mut();
        let exchanges = calls.filter_map(move |call| call.exchanges.get_mut(&vm));
        exchanges.filter(|exchange| exchange.stage == Stage::Open)
    }

    fn drained(&mut self, place: Place, vm: VmId) -> Result<(), Box<Found>> {
        let mut open = self.open_at(vm);
        let Some((called, drain)) = open.find_map(|e| e.drain.map(|drain| (e.called, drain)))
        else {
            return Ok(());
        };
        let message = format!("VM {vm} shut down while a request was in flight");
        Found::err(Invariant::P9, message, [called, drain, place.n])
    }

    fn worker_down(
        &mut self,
        place: Place,
        worker: WorkerId,
        graceful: bool,
    ) -> Result<(), Box<Found>> {
        let runs = self.calls.values_mut().flat_map(|call| &mut call.runs);
        let lost = runs.filter(|r| r.worker == worker && r.response.is_none() && !r.lost);
        for run in lost {
            if graceful {
                let message = format!("{worker} shut down while it ran a request");
                return Found::err(Invariant::P9, message, [run.n, place.n]);
            }
            run.lost = true;
        }
        Ok(())
    }

    /// Checks that no caller is left without an answer.
    pub(crate) fn open(&self) -> Result<(), Box<Found>> {
        for (id, call) in &self.calls {
            for (vm, exchange) in &call.exchanges {
                if exchange.stage == Stage::Open && !exchange.orphan {
                    let message = format!("VM {vm} never answered call {id}");
                    return Found::err(Invariant::P5, message, [exchange.called]);
                }
            }
        }
        Ok(())
    }
}

impl Call {
    fn sent(
        &mut self,
        place: Place,
        id: &str,
        vm: VmId,
        worker: WorkerId,
        request: u64,
    ) -> Result<(), Box<Found>> {
        let n = place.n;
        let Some(exchange) = self.exchanges.get_mut(&vm) else {
            let message = format!("{worker} runs call {id}, which no caller sent to VM {vm}");
            return Found::err(Invariant::P5, message, [n]);
        };
        if exchange.request != request {
            let message = format!("{worker} got another request than the caller sent as {id}");
            return Found::err(Invariant::P5, message, [exchange.called, n]);
        }
        if exchange.stage == Stage::NotRun {
            let message = format!("{worker} runs call {id} after VM {vm} said that it did not run");
            return Found::err(
                Invariant::P6,
                message,
                [exchange.called, exchange.closed, n],
            );
        }
        exchange.sent = Some(n);
        if let Some(once) = self.once
            && let Some(run) = self.runs.first()
        {
            let message = format!("call {id} must not be repeated, but {worker} ran it again");
            return Found::err(Invariant::P7, message, [once, run.n, n]);
        }
        self.runs.push(Run {
            worker,
            request,
            response: None,
            n,
            lost: false,
        });
        Ok(())
    }

    fn served(
        &mut self,
        place: Place,
        id: &str,
        worker: WorkerId,
        response: u64,
    ) -> Result<(), Box<Found>> {
        let mut runs = self.runs.iter_mut();
        let Some(run) = runs.find(|r| r.worker == worker && r.response.is_none() && !r.lost) else {
            let message = format!("{worker} responded to call {id}, which it does not run");
            return Found::err(Invariant::P5, message, [place.n]);
        };
        run.response = Some(response);
        Ok(())
    }

    fn answered(
        &mut self,
        place: Place,
        id: &str,
        vm: VmId,
        response: u64,
    ) -> Result<(), Box<Found>> {
        let exchange = close(&mut self.exchanges, place, id, vm, Stage::Closed)?;
        let request = exchange.request;
        let own = |run: &&Run| run.request == request && run.response == Some(response);
        if self.runs.iter().any(|run| own(&run)) {
            return Ok(());
        }
        let message = format!("VM {vm} answered call {id} with what no worker responded to it");
        let events = self.runs.iter().map(|run| run.n);
        Found::err(
            Invariant::P5,
            message,
            events.chain([exchange.called, place.n]),
        )
    }

    fn refused(
        &mut self,
        place: Place,
        id: &str,
        vm: VmId,
        code: Code,
        ran: ExecutionStatus,
    ) -> Result<(), Box<Found>> {
        let stage = match ran {
            ExecutionStatus::NotRun => Stage::NotRun,
            ExecutionStatus::Ran | ExecutionStatus::Unknown => Stage::Closed,
        };
        let exchange = close(&mut self.exchanges, place, id, vm, stage)?;
        if ran == ExecutionStatus::NotRun
            && let Some(sent) = exchange.sent
        {
            let message = format!("VM {vm} said that call {id} did not run, but a worker ran it");
            return Found::err(Invariant::P6, message, [exchange.called, sent, place.n]);
        }
        if code == Code::Draining
            && let Some(drain) = exchange.drain
        {
            let message = format!("VM {vm} refused call {id}, which was in flight, to shut down");
            return Found::err(Invariant::P9, message, [exchange.called, drain, place.n]);
        }
        Ok(())
    }

    fn dropped(&mut self, place: Place, id: &str, vm: VmId) -> Result<(), Box<Found>> {
        let exchange = self.exchanges.get_mut(&vm);
        let Some(exchange) = exchange.filter(|e| e.stage == Stage::Open) else {
            // A caller may see the connection close after it has its answer.
            return Ok(());
        };
        exchange.stage = Stage::Closed;
        exchange.closed = place.n;
        if let Some(drain) = exchange.drain {
            let message = format!("VM {vm} dropped call {id}, which was in flight, to shut down");
            return Found::err(Invariant::P9, message, [exchange.called, drain, place.n]);
        }
        Ok(())
    }
}

/// Closes the open exchange of a call with a VM.
fn close<'a>(
    exchanges: &'a mut BTreeMap<VmId, Exchange>,
    place: Place,
    id: &str,
    vm: VmId,
    stage: Stage,
) -> Result<&'a Exchange, Box<Found>> {
    let Some(exchange) = exchanges.get_mut(&vm) else {
        let message = format!("VM {vm} answered call {id}, which nobody sent to it");
        return Err(Found::new(Invariant::P5, message, [place.n]));
    };
    if exchange.stage != Stage::Open {
        let message = format!("VM {vm} answered call {id} twice");
        let events = [exchange.called, exchange.closed, place.n];
        return Err(Found::new(Invariant::P5, message, events));
    }
    exchange.stage = stage;
    exchange.closed = place.n;
    Ok(exchange)
}
