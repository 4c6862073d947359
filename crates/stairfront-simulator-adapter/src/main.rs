//! Reads batches on standard input, writes one reply each on standard output, ends with the input.
use std::io::{self, Write};
use std::process::ExitCode;

use stairfront_simulator_adapter::host::Host;
use stairfront_simulator_adapter::wire::{self, FrameError};

fn run() -> Result<(), FrameError> {
    let mut input = io::stdin().lock();
    let mut output = io::stdout().lock();
    let mut host = Host::default();
    let mut frame = Vec::new();
    let mut reply = wire::Reply::default();
    while wire::read_frame(&mut input, &mut frame)? {
        reply.clear();
        host.handle(&frame, &mut reply)?;
        output.write_all(reply.finish()).map_err(FrameError::Io)?;
        output.flush().map_err(FrameError::Io)?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("stairfront-wirehost: {error}");
            ExitCode::FAILURE
        }
    }
}
