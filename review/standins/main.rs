//! Stand-ins for clients, upstreams and the platform, and the cases that are played with them.

mod case_cut;
mod case_foreign_entry;
mod case_pipeline;
mod case_restored_store;
mod case_silence;
mod case_slow_download;
mod client;
mod http;
mod link;
mod machine;
mod record;
mod store;
mod upstream;

use record::Record;
use std::{
    path::{Path, PathBuf},
    process::ExitCode,
    sync::Arc,
};

/// Setting in which a case is played.
pub struct Stage {
    /// Whether the disruption takes place.
    pub has_trouble: bool,
    /// Record of the case.
    pub record: Arc<Record>,
    /// Temporary folder.
    pub folder: PathBuf,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, case_folder, folder] = arguments.as_slice() else {
        eprintln!("usage: standins CASE FOLDER TEMPORARY-FOLDER");
        return ExitCode::from(2);
    };
    let record = match Record::create(&Path::new(case_folder).join("record.txt")) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("cannot write the record: {error}");
            return ExitCode::from(2);
        }
    };
    let stage = Stage {
        has_trouble: std::env::var("TROUBLE").map_or(true, |value| value != "0"),
        record: Arc::clone(&record),
        folder: PathBuf::from(folder),
    };
    let result = match name.as_str() {
        "cut" => case_cut::play(&stage),
        "restored-store" => case_restored_store::play(&stage),
        "pipeline" => case_pipeline::play(&stage),
        "silence" => case_silence::play(&stage),
        "foreign-entry" => case_foreign_entry::play(&stage),
        "slow-download" => case_slow_download::play(&stage),
        _ => Err(std::io::Error::other("no such case")),
    };
    // All daemons have ended with the case.
    let _ = std::fs::remove_file(stage.folder.join("processes"));
    match result {
        Ok(violations) => {
            let count = violations.len();
            for violation in violations.iter().take(20) {
                record.line(&format!("BROKEN   {violation}"));
                println!("{violation}");
            }
            record.line(&format!("end      {count} violations"));
            println!("{count} violations");
            ExitCode::from(u8::from(count > 0))
        }
        Err(error) => {
            record.line(&format!("error    {error}"));
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
