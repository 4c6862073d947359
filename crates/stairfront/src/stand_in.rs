//! Stand-in servers from the command line.
use std::process::ExitCode;

use stairfront_emulator::cache_host::CacheSettings;
use stairfront_emulator::distributions::ServiceTime;
use stairfront_emulator::origin::OriginSettings;
use stairfront_lab::stand_in::{parse_server, serve, StandIn};

use crate::{command_line, FAULTY};

pub fn stand_in(what: command_line::StandIn) -> ExitCode {
    let (made, listen, seed) = match what {
        command_line::StandIn::Cache {
            listen,
            work_ms,
            cores,
            queue,
            store,
            cold,
            seed,
        } => {
            let usual = CacheSettings::default();
            let hit = ServiceTime {
                mean_ms: work_ms,
                ..usual.hit
            };
            let settings = CacheSettings {
                hit,
                cores,
                max_queue: queue,
                max_keys: store,
                ..usual
            };
            (
                settings
                    .validate()
                    .map(|()| StandIn::Cache { settings, cold })
                    .map_err(|error| error.to_string()),
                listen,
                seed,
            )
        }
        command_line::StandIn::Origin {
            listen,
            work_ms,
            cores,
            fills,
            seed,
        } => {
            let usual = OriginSettings::default();
            let service = ServiceTime {
                mean_ms: work_ms,
                ..usual.read
            };
            let settings = OriginSettings {
                read: service,
                write: service,
                cores,
                ..usual
            };
            (
                settings
                    .validate()
                    .map(|()| StandIn::Origin {
                        settings,
                        caches: fills,
                    })
                    .map_err(|error| error.to_string()),
                listen,
                seed,
            )
        }
        command_line::StandIn::Discovery { listen, servers } => {
            let lines = servers
                .iter()
                .map(|server| parse_server(server).map_err(|error| error.to_string()))
                .collect::<Result<Vec<_>, _>>();
            (
                lines.map(|lines| StandIn::Discovery { lines, lag_ms: 0.0 }),
                listen,
                1,
            )
        }
    };
    let what = match made {
        Ok(what) => what,
        Err(problem) => {
            eprintln!("{problem}");
            return ExitCode::from(FAULTY);
        }
    };
    match serve(what, listen, seed) {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("cannot stand in at {listen}: {problem}");
            ExitCode::FAILURE
        }
    }
}
