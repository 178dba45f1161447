//! Plays one case of the review: `driver CASE RECORD FOLDER`. The exit status is 0 if the rule held,
//! 1 if it was broken and 2 if the case could not run.

mod client;
mod desk;
mod engine;
mod gateways;
mod http;
mod left_server;
mod lost_answers;
mod record;
mod store;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use record::Record;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, record_path, folder] = arguments.as_slice() else {
        eprintln!("usage: driver CASE RECORD FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    // Loopback addresses of this run alone.
    let process = std::process::id();
    let net = format!("127.{}.{}", 20 + process / 250 % 200, 1 + process % 250);
    let record = match Record::create(Path::new(record_path)) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("record not created: {error}");
            return ExitCode::from(2);
        }
    };
    let play = match case.as_str() {
        "left-server" => left_server::run,
        "lost-answers" => lost_answers::run,
        _ => {
            eprintln!("unknown case {case}");
            return ExitCode::from(2);
        }
    };
    record.line(&format!("case {case}, with the disruption: {has_trouble}"));
    match play(Path::new(folder), &net, has_trouble, Arc::clone(&record)) {
        Ok(true) => {
            record.result("the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            record.result("the rule was broken");
            ExitCode::from(1)
        }
        Err(error) => {
            record.result(&format!("the case could not run: {error}"));
            ExitCode::from(2)
        }
    }
}
