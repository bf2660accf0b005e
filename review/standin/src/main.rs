//! Stand-ins for the clients, the replicas and the platform, and the cases that use them.

mod case1;
mod case2;
mod fleet;
mod http;
mod record;
mod replica;

use record::Record;
use std::process::ExitCode;
use std::sync::Arc;

/// Runs `review-standin CASE RECORD`; `TROUBLE=0` leaves out the disruption.
fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (case, path) = (
        args.next().unwrap_or_default(),
        args.next().unwrap_or_default(),
    );
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Arc::new(Record::new());
    let result = match case.as_str() {
        "1" => case1::run(&record, trouble),
        "2" => case2::run(&record, trouble),
        _ => Err(format!("there is no case {case:?}")),
    };
    let code = match &result {
        Ok(0) => 0,
        Ok(_) => 1,
        Err(_) => 2,
    };
    match result {
        Ok(count) => record.add(&format!("verdict: {count} breaks of the rule")),
        Err(reason) => record.add(&format!("verdict: could not run: {reason}")),
    }
    for line in record.find("verdict:") {
        println!("{}", line.join(" "));
    }
    if record.write(&path).is_err() {
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}
