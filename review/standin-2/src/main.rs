//! Cases of an independent review. Usage: `review-cases CASE RECORD REPOSITORY`; TROUBLE=0 leaves
//! the disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.

mod behind;
mod fleet;
mod history;
mod http;

use std::path::Path;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, record, repository] = args.as_slice() else {
        eprintln!("usage: review-cases CASE RECORD REPOSITORY");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let repository = Path::new(repository);
    let ran = fleet::begin(Path::new(record)).and_then(|()| match case.as_str() {
        "behind" => behind::run(repository, has_trouble),
        "history" => history::run(repository, has_trouble),
        _ => Err(format!("no case {case}")),
    });
    fleet::end_all();
    let code = match ran {
        Ok(true) => 1,
        Ok(false) => 0,
        Err(reason) => {
            fleet::note(&format!("could not run: {reason}"));
            eprintln!("{reason}");
            2
        }
    };
    let text = ["the rule held", "the rule was broken", "the case could not run"][code as usize];
    fleet::note(text);
    println!("{text}");
    std::process::exit(code);
}
