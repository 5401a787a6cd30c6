//! The commands `workers`, `vms` and `dump`.

use serde_json::Value;

use crate::Failure;
use crate::api;
use crate::api::RetryPolicy;
use crate::output;
use crate::output::Column;
use crate::run::Session;

const WORKER_COLUMNS: [Column; 9] = [
    ("WORKER", "worker"),
    ("DOMAIN", "domain"),
    ("RACK", "rack"),
    ("STATE", "state"),
    ("CAPACITY", "capacity"),
    ("USED", "used"),
    ("TASKS", "tasks"),
    ("OWNER", "owner"),
    ("HEARD_MS", "heard_ms"),
];

const VM_COLUMNS: [Column; 8] = [
    ("VM", "vm"),
    ("ADDR", "addr"),
    ("DOMAIN", "domain"),
    ("ROLE", "role"),
    ("ACTING", "acting"),
    ("DISK", "disk"),
    ("VERSION", "version"),
    ("HEARD_MS", "heard_ms"),
];

/// Lists the workers of the cell.
pub(crate) async fn workers(session: &mut Session<'_>) -> Result<(), Failure> {
    let request = api::get_request("/v1/workers");
    let response: Value = session
        .client
        .request_json(&request, RetryPolicy::ReadOnly)
        .await?;
    output::write_rows(session, &response, "workers", &WORKER_COLUMNS)
}

/// Lists the VMs of the cell.
pub(crate) async fn vms(session: &mut Session<'_>) -> Result<(), Failure> {
    let request = api::get_request("/v1/vms");
    let response: Value = session
        .client
        .request_json(&request, RetryPolicy::ReadOnly)
        .await?;
    output::write_rows(session, &response, "vms", &VM_COLUMNS)
}

/// Prints the internal state of the VM at the `--server` address.
pub(crate) async fn dump(session: &mut Session<'_>) -> Result<(), Failure> {
    let request = api::get_request("/v1/dump");
    let response: Value = session
        .client
        .request_json(&request, RetryPolicy::ReadOnly)
        .await?;
    output::write_json(session.out, &response)
}
