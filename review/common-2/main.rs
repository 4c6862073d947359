//! The cases from 6 on of the review. Each starts the balancer with the command of the deploy file, between stand-ins that
//! are threads of this program.
//!
//! `cases NUMBER RECORD FOLDER TROUBLE` exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run.
mod agent;
mod balancer;
mod client;
mod record;
mod servers;

#[path = "../10/scenario.rs"]
mod case10;
#[path = "../6/scenario.rs"]
mod case6;
#[path = "../7/scenario.rs"]
mod case7;
#[path = "../8/scenario.rs"]
mod case8;
#[path = "../9/scenario.rs"]
mod case9;

use std::path::PathBuf;
use std::process::exit;
use std::sync::Arc;
use std::time::Duration;

use record::Record;

/// No case runs longer.
const LIMIT: Duration = Duration::from_secs(110);

/// What a case is given.
pub struct Rig {
    /// Takes down what is sent, answered and run.
    pub record: Arc<Record>,
    /// A folder for configurations and for what outlives a process.
    pub folder: PathBuf,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

/// The rule held, or it was broken; the text says by what.
pub enum Verdict {
    Held(String),
    Broken(String),
}

/// Why a case could not run.
pub type Failure = Box<dyn std::error::Error>;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, number, record, folder, trouble] = &arguments[..] else {
        eprintln!("usage: cases NUMBER RECORD FOLDER TROUBLE");
        exit(2);
    };
    let record = match Record::create(record) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("{record}: {error}");
            exit(2);
        }
    };
    let rig = Rig {
        record: Arc::clone(&record),
        folder: PathBuf::from(folder),
        trouble: trouble != "0",
    };
    let late = Arc::clone(&record);
    std::thread::spawn(move || {
        std::thread::sleep(LIMIT);
        late.note("the case takes too long");
        balancer::end_all();
        exit(2);
    });
    record.note(&format!("case {number}, trouble {}", rig.trouble));
    let verdict = match number.as_str() {
        "6" => case6::run(&rig),
        "7" => case7::run(&rig),
        "8" => case8::run(&rig),
        "9" => case9::run(&rig),
        "10" => case10::run(&rig),
        other => Err(format!("no case {other}").into()),
    };
    balancer::end_all();
    let (code, text) = match verdict {
        Ok(Verdict::Held(text)) => (0, format!("HELD: {text}")),
        Ok(Verdict::Broken(text)) => (1, format!("BROKEN: {text}")),
        Err(error) => (2, format!("COULD NOT RUN: {error}")),
    };
    record.note(&text);
    println!("case {number}: {text}");
    exit(code);
}
