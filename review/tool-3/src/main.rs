//! Cases of the third review that can't be put as a day of the bench.
//!
//! `review-3 CASE FOLDER` plays a case and writes `record.txt` into the folder. It exits
//! with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With
//! `TROUBLE=0` in the environment it leaves the disruption out.

mod large_job;
mod late_report;
mod net;
mod power_loss;
mod site;
mod withdrawn;

use std::path::PathBuf;

use site::Record;

/// Whether a rule held, with the observation that shows it.
pub struct Verdict {
    pub is_broken: bool,
    pub text: String,
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder] = args.as_slice() else {
        eprintln!("usage: review-3 CASE FOLDER");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE")
        .is_ok_and(|value| value == "0")
        .then_some(false);
    let has_trouble = has_trouble.unwrap_or(true);
    let record = Record::new();
    record.add(format!(
        "{case}, {}",
        if has_trouble {
            "with the disruption"
        } else {
            "without the disruption"
        }
    ));
    let result = match case.as_str() {
        "large-job" => large_job::play(&record, has_trouble),
        "withdrawn" => withdrawn::play(&record, has_trouble),
        "power-loss" => power_loss::play(&record, has_trouble),
        "late-report" => late_report::play(&record, has_trouble),
        _ => Err(format!("{case} is not a case").into()),
    };
    let (code, text) = match result {
        Ok(verdict) if verdict.is_broken => (1, format!("BROKEN: {}", verdict.text)),
        Ok(verdict) => (0, format!("held: {}", verdict.text)),
        Err(err) => (2, format!("could not run: {err}")),
    };
    record.add(&text);
    println!("{text}");
    if let Err(err) = record.write(&PathBuf::from(folder).join("record.txt")) {
        eprintln!("record.txt: {err}");
        std::process::exit(2);
    }
    std::process::exit(code);
}
