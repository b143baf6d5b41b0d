//! Stand-ins and cases of the review. It uses the standard library only and builds with
//! `rustc` alone; `review/build.sh` does so.
//!
//! `case NAME RECORD` plays a case; `TROUBLE=0` leaves its disruption out. It exits with 1
//! if the rule was broken, 0 if it held, 2 if the case couldn't run. `worker ...` is the
//! stand-in of a worker.

mod cases;
mod http;
mod json;
mod site;
mod store;
mod worker;

use std::time::{SystemTime, UNIX_EPOCH};

use cases::Verdict;

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |now| now.as_millis() as u64)
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    match args.as_slice() {
        [
            _,
            "worker",
            id,
            zone,
            service,
            label,
            listen,
            agent,
            stop,
            hold,
        ] => worker::run(worker::Settings {
            id: (*id).to_owned(),
            zone: (*zone).to_owned(),
            service: (*service).to_owned(),
            label: (*label).to_owned(),
            listen: listen.parse().expect("an address"),
            agent: agent.parse().expect("an address"),
            cpu: 32_000,
            gpu: 8,
            stop_ms: stop.parse().expect("a time"),
            hold_max_ms: hold.parse().expect("a time"),
        }),
        [_, "case", name, record] => {
            let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
            let verdict = match *name {
                "crash" => cases::crash(record, trouble),
                "large" => cases::large(record, trouble),
                "cancel" => cases::cancel(record, trouble),
                "listed" => cases::listed(record, trouble),
                "recurring" => cases::recurring(record, trouble),
                "refused" => cases::refused(record, trouble),
                _ => Verdict::NotRun,
            };
            let (text, code) = match verdict {
                Verdict::Held => ("held", 0),
                Verdict::Broken => ("broken", 1),
                Verdict::NotRun => ("could not run", 2),
            };
            println!("{name}: {text}");
            std::process::exit(code);
        }
        _ => {
            eprintln!("usage: case NAME RECORD");
            std::process::exit(2);
        }
    }
}
