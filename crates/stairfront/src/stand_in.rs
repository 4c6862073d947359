//! `stairfront stand-in`: one stand-in server.
use std::net::SocketAddr;
use std::process::ExitCode;

use stairfront_emulator::cache_host::CacheSettings;
use stairfront_emulator::distributions::ServiceTime;
use stairfront_emulator::origin::OriginSettings;
use stairfront_emulator::settings_error::SettingsError;
use stairfront_lab::stand_in::{parse_server, serve, ParseServerError, StandIn};

use crate::{arguments, failure, invalid_input};

/// The seed of a server that draws no random numbers.
const NO_SEED: u64 = 1;

/// Why the arguments name no server that can be run.
#[derive(Debug, thiserror::Error)]
enum StandInError {
    /// A setting of the server is invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A server of the discovery list cannot be read.
    #[error(transparent)]
    Server(#[from] ParseServerError),
}

/// A stand-in server with its address and seed.
struct Server {
    stand_in: StandIn,
    listen: SocketAddr,
    seed: u64,
}

/// Runs a stand-in server until Ctrl-C.
pub fn stand_in(server: arguments::StandIn) -> ExitCode {
    match configure(server) {
        Ok(server) => run(server),
        Err(error) => invalid_input(&error),
    }
}

fn configure(server: arguments::StandIn) -> Result<Server, StandInError> {
    match server {
        arguments::StandIn::Cache {
            listen,
            work_ms,
            cores,
            queue,
            store,
            cold,
            seed,
        } => {
            let settings = CacheSettings {
                cores,
                max_queue: queue,
                max_keys: store,
                ..cache_settings(work_ms)
            };
            settings.validate()?;
            Ok(Server {
                stand_in: StandIn::Cache { settings, cold },
                listen,
                seed,
            })
        }
        arguments::StandIn::Origin {
            listen,
            work_ms,
            cores,
            fills,
            seed,
        } => {
            let settings = OriginSettings {
                cores,
                ..origin_settings(work_ms)
            };
            settings.validate()?;
            Ok(Server {
                stand_in: StandIn::Origin {
                    settings,
                    caches: fills,
                },
                listen,
                seed,
            })
        }
        arguments::StandIn::Discovery { listen, servers } => {
            let lines = servers
                .iter()
                .map(|server| parse_server(server))
                .collect::<Result<Vec<_>, _>>()?;
            Ok(Server {
                stand_in: StandIn::Discovery { lines, lag_ms: 0.0 },
                listen,
                seed: NO_SEED,
            })
        }
    }
}

fn cache_settings(work_ms: f64) -> CacheSettings {
    let defaults = CacheSettings::default();
    CacheSettings {
        hit: ServiceTime {
            mean_ms: work_ms,
            ..defaults.hit
        },
        ..defaults
    }
}

fn origin_settings(work_ms: f64) -> OriginSettings {
    let defaults = OriginSettings::default();
    let service = ServiceTime {
        mean_ms: work_ms,
        ..defaults.read
    };
    OriginSettings {
        read: service,
        write: service,
        ..defaults
    }
}

fn run(server: Server) -> ExitCode {
    let Server {
        stand_in,
        listen,
        seed,
    } = server;
    match serve(stand_in, listen, seed) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => failure(&format!("cannot stand in at {listen}: {error}")),
    }
}
