//! Constructors of ids and events.

#![expect(clippy::unwrap_used, reason = "test helpers panic to fail the test")]

use zinnia_types::ServiceId;
use zinnia_types::TeamId;
use zinnia_types::Time;
use zinnia_types::WorkerId;

use zinnia_route::CallId;
use zinnia_route::Event;

pub(crate) fn worker(n: usize) -> WorkerId {
    WorkerId::new(&format!("w{n}")).unwrap()
}

pub(crate) fn team(n: usize) -> TeamId {
    TeamId::new(&format!("t{n}")).unwrap()
}

pub(crate) fn service(n: usize) -> ServiceId {
    ServiceId::new(&format!("s{n}")).unwrap()
}

pub(crate) fn call(id: u64, team_index: usize, retryable: bool, deadline: u64) -> Event {
    Event::Call {
        id: CallId(id),
        team: team(team_index),
        service: service(0),
        retryable,
        deadline: Time(deadline),
    }
}

pub(crate) fn endpoint(worker_index: usize, slots: u32) -> Event {
    Event::EndpointUpdated {
        service: service(0),
        worker: worker(worker_index),
        slots,
        max_connections: 64,
    }
}
