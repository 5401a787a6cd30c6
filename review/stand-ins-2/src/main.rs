//! Drivers of the cases of the second review, and the stand-ins that they use.
//!
//! `cases CASE FOLDER` plays a case and writes `record.txt` into the folder. It exits with 1 if the rule was
//! broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0` in the environment it does the same
//! without the disruption.

mod cases;
mod cell;
mod http;
mod json;
mod proxy;
mod record;
mod worker;

use std::path::Path;
use std::process::ExitCode;

use record::Record;

const HELD: u8 = 0;
const BROKEN: u8 = 1;
const CANNOT_RUN: u8 = 2;

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    if words.first().is_some_and(|w| w == "worker") {
        let args = worker::Args::parse(&words[1..]);
        return match args.and_then(worker::run) {
            Some(()) => ExitCode::SUCCESS,
            None => ExitCode::from(CANNOT_RUN),
        };
    }
    let [name, folder] = words.as_slice() else {
        eprintln!("usage: cases CASE FOLDER");
        return ExitCode::from(CANNOT_RUN);
    };
    let record = match Record::create(&Path::new(folder).join("record.txt")) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("cannot write the record: {error}");
            return ExitCode::from(CANNOT_RUN);
        }
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    record.line(&format!("case {name}, with the disruption: {trouble}"));
    match cases::play(name, &record, trouble) {
        Ok(broken) if broken.is_empty() => {
            record.line("verdict: the rule held");
            ExitCode::from(HELD)
        }
        Ok(broken) => {
            for text in &broken {
                record.line(&format!("broken: {text}"));
            }
            record.line("verdict: the rule was broken");
            ExitCode::from(BROKEN)
        }
        Err(why) => {
            record.line(&format!("verdict: the case could not run: {why}"));
            ExitCode::from(CANNOT_RUN)
        }
    }
}
