//! The commands `submit`, `status` and `cancel`.

use std::fs;

use form_urlencoded::Serializer;
use http::Method;
use serde_json::Value;
use serde_json::json;
use zinnia_types::Code;
use zinnia_types::ErrorBody;
use zinnia_types::JobId;
use zinnia_types::JobRequest;
use zinnia_types::parse_jsonc;

use crate::Failure;
use crate::api;
use crate::api::RetryPolicy;
use crate::args::Cancel;
use crate::args::Status;
use crate::args::Submit;
use crate::output;
use crate::output::Column;
use crate::request_id;
use crate::run::Session;

/// Fields of a job submission. A file with any other field is refused, since a misspelt field would
/// silently leave the default of the kind in effect.
const SUBMISSION_FIELDS: [&str; 9] = [
    "name",
    "kind",
    "tasks",
    "need",
    "runtime_ms",
    "shift",
    "domain",
    "repeat",
    "payload",
];

/// Length of a job id in hexadecimal digits.
const JOB_ID_DIGITS: usize = 16;

const JOB_COLUMNS: [Column; 11] = [
    ("ID", "id"),
    ("TEAM", "team"),
    ("NAME", "name"),
    ("KIND", "kind"),
    ("CLASS", "class"),
    ("STATE", "state"),
    ("TASKS", "tasks"),
    ("RUNNING", "running"),
    ("DONE", "done"),
    ("WHY", "why"),
    ("OUTCOME", "outcome"),
];

const ATTEMPT_COLUMNS: [Column; 4] = [
    ("TASK", "task"),
    ("ATTEMPT", "attempt"),
    ("WORKER", "worker"),
    ("STATE", "state"),
];

/// Submits a job. Retries are idempotent, since the name identifies the job within its team.
pub(crate) async fn submit(session: &mut Session<'_>, options: &Submit) -> Result<(), Failure> {
    let job = job_request(options)?;
    let name = job.name.clone();
    let request = api::json_request(Method::POST, "/v1/jobs", &job)?;
    let result = session
        .client
        .request_json(&request, RetryPolicy::Idempotent)
        .await;
    let mut response: Value = result.map_err(|e| match e {
        Failure::Unknown(reason) => {
            Failure::Unknown(format!("{reason}; repeat with --name {name}"))
        }
        other => other,
    })?;
    if session.json {
        response["name"] = json!(name);
        return output::write_json(session.out, &response);
    }
    let id = output::format_value(&response["id"]);
    let domain = output::format_value(&response["domain"]);
    let durable = output::format_value(&response["durable"]);
    let name = output::replace_control_chars(&name);
    writeln!(
        session.out,
        "job {id} ({name}) accepted in {domain}, durable: {durable}"
    )?;
    Ok(())
}

/// Builds the submission from the file, if any, and the options, which override its fields.
fn job_request(options: &Submit) -> Result<JobRequest, Failure> {
    let mut value = match &options.file {
        Some(file) => {
            let text =
                fs::read_to_string(file).map_err(|e| Failure::Local(format!("{file}: {e}")))?;
            parse_jsonc::<Value>(&text).map_err(|e| Failure::Usage(format!("{file}: {e}")))?
        }
        None => json!({}),
    };
    let Some(fields) = value.as_object_mut() else {
        return Err(Failure::Usage(
            "a submission must be a JSON object".to_owned(),
        ));
    };
    if let Some(field) = fields
        .keys()
        .find(|f| !SUBMISSION_FIELDS.contains(&f.as_str()))
    {
        let known = SUBMISSION_FIELDS.join(", ");
        let message = format!("submission: unknown field {field}, expected one of {known}");
        return Err(Failure::Usage(message));
    }
    let mut set_field = |field: &str, value: Option<Value>| {
        if let Some(value) = value {
            fields.insert(field.to_owned(), value);
        }
    };
    set_field("name", options.name.as_ref().map(|v| json!(v)));
    set_field("kind", options.kind.as_ref().map(|v| json!(v)));
    set_field("tasks", options.tasks.map(|v| json!(v)));
    set_field("shift", options.shift.as_ref().map(|v| json!(v)));
    set_field("domain", options.domain.as_ref().map(|v| json!(v)));
    set_field("runtime_ms", options.runtime_ms.map(|v| json!(v)));
    set_field("repeat", options.no_repeat.then_some(json!(false)));
    if let Some(text) = &options.payload {
        let payload = serde_json::from_str(text)
            .map_err(|e| Failure::Usage(format!("--payload is not JSON: {e}")))?;
        set_field("payload", Some(payload));
    }
    if !fields.contains_key("name") {
        fields.insert("name".to_owned(), json!(request_id::generate()?));
    }
    serde_json::from_value(value).map_err(|e| Failure::Usage(format!("submission: {e}")))
}

/// Lists jobs, or shows one job.
pub(crate) async fn status(session: &mut Session<'_>, options: &Status) -> Result<(), Failure> {
    match &options.job {
        Some(job) if is_job_id(job) => show_job(session, job).await,
        Some(name) => {
            let id = find_job_id(session, options, name).await?;
            show_job(session, &id).await
        }
        None => {
            let response = fetch_jobs(session, options, None).await?;
            output::write_rows(session, &response, "jobs", &JOB_COLUMNS)?;
            if !session.json && response["more"] == json!(true) {
                writeln!(
                    session.out,
                    "More jobs match; raise --limit or use a filter."
                )?;
            }
            Ok(())
        }
    }
}

fn is_job_id(text: &str) -> bool {
    text.len() == JOB_ID_DIGITS && text.parse::<JobId>().is_ok()
}

/// Requests the list of jobs that match the options and the name prefix.
async fn fetch_jobs(
    session: &Session<'_>,
    options: &Status,
    prefix: Option<&str>,
) -> Result<Value, Failure> {
    let mut query = Serializer::new(String::new());
    let limit = options.limit.map(|n| n.to_string());
    let filters = [
        ("team", options.team.as_deref()),
        ("state", options.state.as_deref()),
        ("kind", options.kind.as_deref()),
        ("prefix", prefix),
        ("limit", limit.as_deref()),
    ];
    for (name, value) in filters {
        if let Some(value) = value {
            query.append_pair(name, value);
        }
    }
    let query = query.finish();
    let mark = if query.is_empty() { "" } else { "?" };
    let request = api::get_request(format!("/v1/jobs{mark}{query}"));
    session
        .client
        .request_json(&request, RetryPolicy::ReadOnly)
        .await
}

/// Returns the id of the job called `name`.
async fn find_job_id(
    session: &Session<'_>,
    options: &Status,
    name: &str,
) -> Result<String, Failure> {
    let response = fetch_jobs(session, options, Some(name)).await?;
    let jobs = response["jobs"].as_array().map_or(&[][..], Vec::as_slice);
    let mut matches = jobs.iter().filter(|job| job["name"] == name);
    let refuse = |code, message: String| Failure::refused(ErrorBody::new(code, "find", message));
    match (matches.next(), matches.next()) {
        (Some(job), None) => Ok(job["id"].as_str().unwrap_or_default().to_owned()),
        (None, _) => Err(refuse(Code::NotFound, format!("no job is called {name}"))),
        (Some(_), Some(_)) => {
            let message = format!("several teams have a job called {name}; add --team");
            Err(refuse(Code::Conflict, message))
        }
    }
}

async fn show_job(session: &mut Session<'_>, id: &str) -> Result<(), Failure> {
    let request = api::get_request(format!("/v1/jobs/{id}"));
    let job: Value = session
        .client
        .request_json(&request, RetryPolicy::ReadOnly)
        .await?;
    if session.json {
        return output::write_json(session.out, &job);
    }
    for (heading, field) in JOB_COLUMNS {
        let value = output::format_value(&job[field]);
        writeln!(session.out, "{:<8} {value}", heading.to_lowercase())?;
    }
    match job["attempts"].as_array() {
        Some(attempts) if !attempts.is_empty() => {
            writeln!(session.out)?;
            output::write_table(session.out, &ATTEMPT_COLUMNS, attempts)
        }
        _ => Ok(()),
    }
}

/// Cancels jobs by name, or all jobs that match a filter.
pub(crate) async fn cancel(session: &mut Session<'_>, options: &Cancel) -> Result<(), Failure> {
    let by_filter = options.prefix.is_some() || options.kind.is_some();
    if by_filter != options.jobs.is_empty() {
        let message = "cancel takes either names or --prefix and --kind";
        return Err(Failure::Usage(message.to_owned()));
    }
    let mut body = if by_filter {
        json!({})
    } else {
        json!({"jobs": options.jobs})
    };
    let filters = [
        ("prefix", &options.prefix),
        ("kind", &options.kind),
        ("team", &options.team),
    ];
    for (name, value) in filters {
        if let Some(value) = value {
            body[name] = json!(value);
        }
    }
    // A repeated filter would also match jobs that were accepted after the first attempt.
    let policy = if by_filter {
        RetryPolicy::NotIdempotent
    } else {
        RetryPolicy::Idempotent
    };
    let request = api::json_request(Method::POST, "/v1/cancel", &body)?;
    let response: Value = session.client.request_json(&request, policy).await?;
    if session.json {
        return output::write_json(session.out, &response);
    }
    writeln!(
        session.out,
        "{} cancelled",
        output::format_value(&response["cancelled"])
    )?;
    Ok(())
}
