//! The commands `key grant`, `key withdraw` and `key list`.

use http::Method;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;

use crate::Failure;
use crate::api;
use crate::api::RetryPolicy;
use crate::args::Grant;
use crate::args::Withdraw;
use crate::output;
use crate::output::Column;
use crate::request_id;
use crate::run::Session;

const KEY_COLUMNS: [Column; 5] = [
    ("ID", "id"),
    ("TEAM", "team"),
    ("OPERATOR", "operator"),
    ("WITHDRAWN", "withdrawn"),
    ("GRANTED_MS", "granted_ms"),
];

#[derive(Deserialize)]
struct GrantedKey {
    id: String,
    key: String,
}

/// Grants a key and prints it. The cell does not return its secret again.
pub(crate) async fn grant(session: &mut Session<'_>, options: &Grant) -> Result<(), Failure> {
    let request_id = match &options.request {
        Some(id) => id.clone(),
        None => request_id::generate()?,
    };
    let body = match (&options.team, options.operator) {
        (Some(team), false) => json!({"request": request_id, "team": team}),
        (None, true) => json!({"request": request_id, "operator": true}),
        _ => {
            let message = "key grant takes either --team TEAM or --operator";
            return Err(Failure::Usage(message.to_owned()));
        }
    };
    let request = api::json_request(Method::POST, "/v1/keys", &body)?;
    let result = session
        .client
        .request_json(&request, RetryPolicy::Idempotent)
        .await;
    let granted: GrantedKey = result.map_err(|e| match e {
        Failure::Unknown(reason) => {
            Failure::Unknown(format!("{reason}; repeat with --request {request_id}"))
        }
        other => other,
    })?;
    if session.json {
        let response = json!({"id": granted.id, "key": granted.key});
        return output::write_json(session.out, &response);
    }
    writeln!(
        session.out,
        "id   {}",
        output::replace_control_chars(&granted.id)
    )?;
    writeln!(
        session.out,
        "key  {}",
        output::replace_control_chars(&granted.key)
    )?;
    writeln!(session.out, "The key is not shown again.")?;
    Ok(())
}

/// Withdraws keys. A repeated withdrawal has no further effect.
pub(crate) async fn withdraw(session: &mut Session<'_>, options: &Withdraw) -> Result<(), Failure> {
    let body = json!({"ids": options.ids});
    let request = api::json_request(Method::POST, "/v1/keys/withdraw", &body)?;
    let response: Value = session
        .client
        .request_json(&request, RetryPolicy::Idempotent)
        .await?;
    if session.json {
        return output::write_json(session.out, &response);
    }
    let count = options.ids.len();
    let durable = output::format_value(&response["durable"]);
    writeln!(session.out, "{count} withdrawn, durable: {durable}")?;
    Ok(())
}

/// Lists keys without their secrets.
pub(crate) async fn list(session: &mut Session<'_>) -> Result<(), Failure> {
    let request = api::get_request("/v1/keys");
    let response: Value = session
        .client
        .request_json(&request, RetryPolicy::ReadOnly)
        .await?;
    output::write_rows(session, &response, "keys", &KEY_COLUMNS)
}
