//! Trials of the second review: `trial NAME FOLDER` with `TROUBLE=0` for the same without the
//! disruption. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod client;
mod fleet;
mod http;
mod record;
mod replica;
mod trials;

use std::{path::PathBuf, process::ExitCode};

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder] = arguments.as_slice() else {
        eprintln!("trial NAME FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = PathBuf::from(folder);
    let record = record::Record::create(&folder.join("record.txt"));
    record.line(&format!("trial {name}, disruption: {trouble}"));
    // The processes of the trial end with it.
    std::thread::spawn(|| {
        std::thread::sleep(std::time::Duration::from_secs(114));
        trials::remove_folder();
        println!("not done after 114 s");
        std::process::exit(2);
    });
    // A stand-in that fails makes the case one that could not run; its processes end all the same.
    let result = std::panic::catch_unwind(|| run(name, &record, trouble));
    let result = result.unwrap_or_else(|_| Err("a stand-in failed".to_owned()));
    match result {
        Ok(true) => {
            record.line("verdict: the rule was broken");
            println!("{name}: broken");
            ExitCode::from(1)
        }
        Ok(false) => {
            record.line("verdict: the rule held");
            println!("{name}: held");
            ExitCode::SUCCESS
        }
        Err(cause) => {
            record.line(&format!("could not run: {cause}"));
            println!("{name}: could not run: {cause}");
            ExitCode::from(2)
        }
    }
}

fn run(name: &str, record: &record::Record, trouble: bool) -> Result<bool, String> {
    match name {
        "regions" => trials::regions(record, trouble),
        "weights" => trials::weights(record, trouble),
        "returned-store" => trials::returned_store(record, trouble),
        "long-answer" => trials::long_answer(record, trouble),
        "too-large" => trials::too_large(record, trouble),
        _ => Err(format!("no trial {name}")),
    }
}
