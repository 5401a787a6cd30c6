//! A key is withdrawn from a connected client. The client goes on to use it, at the prefix of a public queue.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use review_stand_ins_3::cell;
use review_stand_ins_3::cell::Cell;
use review_stand_ins_3::http::Call;
use review_stand_ins_3::record::Record;
use review_stand_ins_3::worker::Workers;
use review_stand_ins_3::worker::unix_ms;
use serde_json::json;

/// Key that is withdrawn, and the one that the tenant keeps.
const WITHDRAWN: &str = "key-withdrawn";
const KEPT: &str = "key-kept";
/// `configApplyMs` of the small deployments, and some time more.
const APPLY_TIME: Duration = Duration::from_millis(2_500);

fn main() {
    cell::guard();
    let args: Vec<String> = std::env::args().collect();
    let (dir, root) = (Path::new(&args[1]), Path::new(&args[2]));
    let has_trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let record = Arc::new(Record::create(dir).expect("create the record"));
    let cell = Cell::start(root);
    let workers = Workers::new(&record, cell.controls());
    for n in 0..6 {
        workers.add("desk", ["zone-a", "zone-b", "zone-c"][n % 3]);
    }
    let document = |version, keys: &[&str]| {
        cell::document(
            version,
            &[
                cell::route("plan", "desk", false),
                cell::route("watch", "desk", true),
            ],
            &[cell::service("desk")],
            &[cell::tenant("team", keys)],
        )
    };
    cell.publish(&document(1, &[WITHDRAWN, KEPT]));
    record.line("configuration 1 is acknowledged: the tenant has two keys; /plan/ needs a key, /watch/ is public");
    let frontend = cell.frontends()[0].clone();
    let ask = |method: &str, path: &str, key: &str, body: &str| {
        let call = Call {
            addr: &frontend,
            method,
            path,
            key: Some(key),
            body,
            ..Call::default()
        };
        let answer = call.send();
        record.line(format!("{method} {path} with {key}: {answer:?}"));
        answer.map_or((0, String::new()), |(s, body)| {
            (s, body["state"].as_str().unwrap_or_default().to_owned())
        })
    };
    let id = format!("{:016x}", unix_ms());
    let (own, other) = (format!("/plan/{id}"), format!("/watch/{id}"));
    let step = json!({"count": 2, "cpu": 1000, "memMb": 100, "estimateMs": 12_000});
    let body = json!({"spec": "12000", "steps": [step]}).to_string();
    let started = Instant::now();
    while ask("POST", &own, KEPT, &body).0 != 200 {
        if started.elapsed() > Duration::from_secs(20) {
            record.line("the job is not accepted in calm");
            cell.end(cell::NOT_RUN);
        }
        std::thread::sleep(Duration::from_millis(200));
    }
    if has_trouble {
        cell.publish(&document(2, &[KEPT]));
        record.line("configuration 2 is acknowledged: one key is withdrawn");
    }
    std::thread::sleep(APPLY_TIME);
    // The withdrawn key opens nothing at the queue of the job.
    let refused = has_trouble && ask("GET", &own, WITHDRAWN, "").0 == 401;
    let mut shown = false;
    if has_trouble {
        shown = ask("GET", &other, WITHDRAWN, "").0 == 200;
        ask("DELETE", &other, WITHDRAWN, "");
    }
    std::thread::sleep(Duration::from_secs(1));
    let (status, state) = ask("GET", &own, KEPT, "");
    let cancelled = state == "cancelled";
    record.line(format!(
        "refused at its own queue: {refused}; a job that nobody submitted at /watch/ is shown there (MIXED): {shown}; \
         the job is cancelled with the withdrawn key alone (CONFIG, LOST): {cancelled}"
    ));
    if status != 200 || has_trouble && !refused {
        cell.end(cell::NOT_RUN);
    }
    cell.end(i32::from(shown || cancelled))
}
