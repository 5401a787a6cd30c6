//! Rules on requests and their answers: invariants P5 and P9, and P6 and P7 for requests.

use std::collections::BTreeMap;

use zinnia_types::Code;
use zinnia_types::ExecutionStatus;
use zinnia_types::VmId;
use zinnia_types::WorkerId;

use crate::EventKind;
use crate::Invariant;
use crate::checker::Position;
use crate::violation::Finding;

/// State of a request that a caller sent to a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ExchangeState {
    /// The caller has no answer yet.
    Open,
    /// Answered, dropped, or refused without the statement that the request was not run.
    Closed,
    /// Refused with the statement that the request was not run.
    NotRun,
}

/// Latest request that a caller sent to one VM under a request id.
#[derive(Debug)]
struct Exchange {
    /// Digest of the request.
    request: u64,
    state: ExchangeState,
    /// Index of the event with which the caller sent the request.
    call_event: usize,
    /// Index of the event with which a worker began to run the request.
    run_event: Option<usize>,
    /// Index of the event that closed the exchange.
    close_event: usize,
    /// Index of the event with which the VM began to drain while the exchange was open.
    drain_event: Option<usize>,
    /// Whether the VM was killed while the exchange was open. An answer may still arrive.
    vm_killed: bool,
}

/// One execution of a request on a worker.
#[derive(Debug)]
struct Run {
    worker: WorkerId,
    /// Digest of the request.
    request: u64,
    /// Digest of the response, once the worker has produced it.
    response: Option<u64>,
    event_index: usize,
    /// Whether the worker went down before it responded.
    worker_lost: bool,
}

/// All exchanges and runs under one request id.
#[derive(Debug, Default)]
struct Call {
    /// Index of the first event that marked the request as not to be repeated.
    at_most_once_event: Option<usize>,
    exchanges: BTreeMap<VmId, Exchange>,
    runs: Vec<Run>,
}

/// All calls in the record, by request id.
#[derive(Debug, Default)]
pub(crate) struct Calls {
    calls: BTreeMap<String, Call>,
}

impl Calls {
    pub(crate) fn observe(
        &mut self,
        position: Position,
        event_kind: &EventKind,
    ) -> Result<(), Box<Finding>> {
        match event_kind {
            EventKind::Called {
                call,
                vm,
                repeat,
                request,
            } => {
                self.on_called(position, call, *vm, *repeat, *request);
                Ok(())
            }
            EventKind::Sent {
                call,
                vm,
                worker,
                request,
            } => {
                let call_record = self.calls.entry(call.clone()).or_default();
                call_record.on_sent(position, call, *vm, *worker, *request)
            }
            EventKind::Served {
                call,
                worker,
                response,
            } => {
                let call_record = self.calls.entry(call.clone()).or_default();
                call_record.on_served(position, call, *worker, *response)
            }
            EventKind::Answered { call, vm, response } => {
                let call_record = self.calls.entry(call.clone()).or_default();
                call_record.on_answered(position, call, *vm, *response)
            }
            EventKind::Refused {
                call,
                vm,
                code,
                ran,
            } => {
                let call_record = self.calls.entry(call.clone()).or_default();
                call_record.on_refused(position, call, *vm, *code, *ran)
            }
            EventKind::Dropped { call, vm } => {
                let call_record = self.calls.entry(call.clone()).or_default();
                call_record.on_dropped(position, call, *vm)
            }
            EventKind::Drain { vm } => {
                for exchange in self.open_exchanges(*vm) {
                    exchange.drain_event = Some(position.index);
                }
                Ok(())
            }
            EventKind::Drained { vm } => self.on_drained(position, *vm),
            EventKind::Killed { vm } => {
                for exchange in self.open_exchanges(*vm) {
                    exchange.vm_killed = true;
                    exchange.drain_event = None;
                }
                Ok(())
            }
            EventKind::WorkerDown { worker, graceful } => {
                self.on_worker_down(position, *worker, *graceful)
            }
            _ => Ok(()),
        }
    }

    fn on_called(&mut self, position: Position, call: &str, vm: VmId, repeat: bool, request: u64) {
        let call_record = self.calls.entry(call.to_owned()).or_default();
        if !repeat {
            call_record.at_most_once_event.get_or_insert(position.index);
        }
        let exchange = Exchange {
            request,
            state: ExchangeState::Open,
            call_event: position.index,
            run_event: None,
            close_event: position.index,
            drain_event: None,
            vm_killed: false,
        };
        call_record.exchanges.insert(vm, exchange);
    }

    /// Returns the exchanges with a VM that are still open.
    fn open_exchanges(&mut self, vm: VmId) -> impl Iterator<Item = &mut Exchange> {
        let calls = self.calls.values_mut();
        let exchanges = calls.filter_map(move |call| call.exchanges.get_mut(&vm));
        exchanges.filter(|exchange| exchange.state == ExchangeState::Open)
    }

    fn on_drained(&mut self, position: Position, vm: VmId) -> Result<(), Box<Finding>> {
        let mut open = self.open_exchanges(vm);
        let Some((call_event, drain_event)) =
            open.find_map(|e| e.drain_event.map(|drain_event| (e.call_event, drain_event)))
        else {
            return Ok(());
        };
        let message = format!("VM {vm} shut down gracefully while a request was in flight");
        Finding::error(
            Invariant::P9,
            message,
            [call_event, drain_event, position.index],
        )
    }

    fn on_worker_down(
        &mut self,
        position: Position,
        worker: WorkerId,
        graceful: bool,
    ) -> Result<(), Box<Finding>> {
        let runs = self.calls.values_mut().flat_map(|call| &mut call.runs);
        let lost = runs.filter(|r| r.worker == worker && r.response.is_none() && !r.worker_lost);
        for run in lost {
            if graceful {
                let message = format!("{worker} shut down gracefully while it ran a request");
                return Finding::error(Invariant::P9, message, [run.event_index, position.index]);
            }
            run.worker_lost = true;
        }
        Ok(())
    }

    /// Checks that every caller received an answer, unless the VM was killed.
    pub(crate) fn check_all_answered(&self) -> Result<(), Box<Finding>> {
        for (id, call) in &self.calls {
            for (vm, exchange) in &call.exchanges {
                if exchange.state == ExchangeState::Open && !exchange.vm_killed {
                    let message = format!("VM {vm} never answered call {id}");
                    return Finding::error(Invariant::P5, message, [exchange.call_event]);
                }
            }
        }
        Ok(())
    }
}

impl Call {
    fn on_sent(
        &mut self,
        position: Position,
        id: &str,
        vm: VmId,
        worker: WorkerId,
        request: u64,
    ) -> Result<(), Box<Finding>> {
        let index = position.index;
        let Some(exchange) = self.exchanges.get_mut(&vm) else {
            let message =
                format!("{worker} runs call {id} from VM {vm}, to which no caller sent it");
            return Finding::error(Invariant::P5, message, [index]);
        };
        if exchange.request != request {
            let message = format!(
                "{worker} received another request than the one that the caller sent as call {id}"
            );
            return Finding::error(Invariant::P5, message, [exchange.call_event, index]);
        }
        if exchange.state == ExchangeState::NotRun {
            let message = format!("{worker} runs call {id} after VM {vm} refused it as not run");
            return Finding::error(
                Invariant::P6,
                message,
                [exchange.call_event, exchange.close_event, index],
            );
        }
        exchange.run_event = Some(index);
        if let Some(mark_event) = self.at_most_once_event
            && let Some(run) = self.runs.first()
        {
            let message = format!("call {id} must not be repeated, but {worker} ran it again");
            return Finding::error(Invariant::P7, message, [mark_event, run.event_index, index]);
        }
        self.runs.push(Run {
            worker,
            request,
            response: None,
            event_index: index,
            worker_lost: false,
        });
        Ok(())
    }

    fn on_served(
        &mut self,
        position: Position,
        id: &str,
        worker: WorkerId,
        response: u64,
    ) -> Result<(), Box<Finding>> {
        let mut runs = self.runs.iter_mut();
        let Some(run) = runs.find(|r| r.worker == worker && r.response.is_none() && !r.worker_lost)
        else {
            let message = format!("{worker} responded to call {id}, which it was not running");
            return Finding::error(Invariant::P5, message, [position.index]);
        };
        run.response = Some(response);
        Ok(())
    }

    fn on_answered(
        &mut self,
        position: Position,
        id: &str,
        vm: VmId,
        response: u64,
    ) -> Result<(), Box<Finding>> {
        let exchange =
            close_exchange(&mut self.exchanges, position, id, vm, ExchangeState::Closed)?;
        let request = exchange.request;
        let matches_request = |run: &&Run| run.request == request && run.response == Some(response);
        if self.runs.iter().any(|run| matches_request(&run)) {
            return Ok(());
        }
        let message = format!(
            "VM {vm} answered call {id} with a response that no worker gave to this request"
        );
        let run_events = self.runs.iter().map(|run| run.event_index);
        Finding::error(
            Invariant::P5,
            message,
            run_events.chain([exchange.call_event, position.index]),
        )
    }

    fn on_refused(
        &mut self,
        position: Position,
        id: &str,
        vm: VmId,
        code: Code,
        ran: ExecutionStatus,
    ) -> Result<(), Box<Finding>> {
        let state = match ran {
            ExecutionStatus::NotRun => ExchangeState::NotRun,
            ExecutionStatus::Ran | ExecutionStatus::Unknown => ExchangeState::Closed,
        };
        let exchange = close_exchange(&mut self.exchanges, position, id, vm, state)?;
        if ran == ExecutionStatus::NotRun
            && let Some(run_event) = exchange.run_event
        {
            let message = format!("VM {vm} refused call {id} as not run, but a worker ran it");
            return Finding::error(
                Invariant::P6,
                message,
                [exchange.call_event, run_event, position.index],
            );
        }
        if code == Code::Draining
            && let Some(drain_event) = exchange.drain_event
        {
            let message = format!(
                "VM {vm} refused call {id} because of its shutdown while the call was in flight"
            );
            return Finding::error(
                Invariant::P9,
                message,
                [exchange.call_event, drain_event, position.index],
            );
        }
        Ok(())
    }

    fn on_dropped(&mut self, position: Position, id: &str, vm: VmId) -> Result<(), Box<Finding>> {
        let exchange = self.exchanges.get_mut(&vm);
        let Some(exchange) = exchange.filter(|e| e.state == ExchangeState::Open) else {
            // The connection may also close after the caller has received its answer.
            return Ok(());
        };
        exchange.state = ExchangeState::Closed;
        exchange.close_event = position.index;
        if let Some(drain_event) = exchange.drain_event {
            let message = format!(
                "VM {vm} dropped call {id} during its graceful shutdown while the call was in flight"
            );
            return Finding::error(
                Invariant::P9,
                message,
                [exchange.call_event, drain_event, position.index],
            );
        }
        Ok(())
    }
}

/// Closes the open exchange of a call with a VM; fails if there is none.
fn close_exchange<'a>(
    exchanges: &'a mut BTreeMap<VmId, Exchange>,
    position: Position,
    id: &str,
    vm: VmId,
    state: ExchangeState,
) -> Result<&'a Exchange, Box<Finding>> {
    let Some(exchange) = exchanges.get_mut(&vm) else {
        let message = format!("VM {vm} answered call {id}, which no caller sent to it");
        return Err(Finding::new(Invariant::P5, message, [position.index]));
    };
    if exchange.state != ExchangeState::Open {
        let message = format!("VM {vm} answered call {id} twice");
        let events = [exchange.call_event, exchange.close_event, position.index];
        return Err(Finding::new(Invariant::P5, message, events));
    }
    exchange.state = state;
    exchange.close_event = position.index;
    Ok(exchange)
}
