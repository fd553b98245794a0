//! Runs one case of the review: `review-2 CASE RECORD`. Exits with 1 if the rule was broken, 0 if it
//! held, and 2 if the case could not run.

mod cases;
mod cluster;
mod executor;
mod http;
mod json;
mod record;
mod store;

use std::{env, panic, process, sync::Arc};

use record::Record;

fn main() {
    let mut args = env::args().skip(1);
    let (Some(case), Some(path)) = (args.next(), args.next()) else {
        eprintln!("usage: review-2 CASE RECORD");
        process::exit(2);
    };
    let has_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let Ok(record) = Record::create(&path) else {
        eprintln!("{path} cannot be written");
        process::exit(2);
    };
    let record = Arc::new(record);
    record.line(&format!("case {case}, with the disruption: {has_trouble}"));
    // The nodes are ended when the cluster is dropped, also after a panic.
    let for_case = Arc::clone(&record);
    let verdict = panic::catch_unwind(move || cases::run(&case, for_case, has_trouble));
    let code = match verdict {
        Ok(Some(broken)) => {
            record.line(&format!("the rule is {}", if broken { "broken" } else { "kept" }));
            i32::from(broken)
        }
        Ok(None) => {
            eprintln!("no such case");
            2
        }
        Err(_) => {
            record.line("the case could not run");
            2
        }
    };
    process::exit(code);
}
