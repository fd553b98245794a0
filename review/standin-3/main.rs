//! Runs one case of the third review: `standin-3 CASE RECORD`. Exits with 1 if the rule was broken,
//! 0 if it held, 2 if the case could not run.

mod cases;
mod executor;
mod http;
mod json;
mod store;
mod world;

fn main() {
    // A fault of this program is no broken rule.
    std::panic::set_hook(Box::new(|info| {
        eprintln!("{info}");
        std::process::exit(2);
    }));
    let args: Vec<String> = std::env::args().collect();
    let (Some(case), Some(record)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: standin-3 CASE RECORD");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let code = match case.as_str() {
        "penalty" => cases::penalty(record, has_trouble),
        "slow" => cases::slow(record, has_trouble),
        "gang" => cases::gang(record, has_trouble),
        "advice" => cases::advice(record, has_trouble),
        _ => 2,
    };
    std::process::exit(code);
}
