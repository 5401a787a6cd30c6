//! Drivers of the review's scripts, and the stand-in worker that they start.
//!
//! Exit status of a driver: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

use std::process::ExitCode;
use std::time::SystemTime;

mod cases;
mod cell;
mod http;
mod json;
mod proxy;
mod worker;

/// The time of day in milliseconds since 1970.
pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
    elapsed.as_millis() as u64
}

/// Outcome of a case.
pub enum Outcome {
    Broken(String),
    Held(String),
    NotRun(String),
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let Some((name, rest)) = args.split_first() else {
        eprintln!("review-case NAME RECORD");
        return ExitCode::from(2);
    };
    if name == "worker" {
        worker::run(rest);
        return ExitCode::SUCCESS;
    }
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = rest.first().map_or("record.txt", String::as_str);
    let (code, text) = match cases::run(name, trouble, record) {
        Outcome::Broken(why) => (1, format!("BROKEN: {why}")),
        Outcome::Held(why) => (0, format!("held: {why}")),
        Outcome::NotRun(why) => (2, format!("not run: {why}")),
    };
    println!("{text}");
    if let Ok(mut file) = std::fs::File::options()
        .create(true)
        .append(true)
        .open(record)
    {
        let _ = std::io::Write::write_all(&mut file, format!("{text}\n").as_bytes());
    }
    ExitCode::from(code)
}
