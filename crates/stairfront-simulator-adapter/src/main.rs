//! Reads batches on standard input, writes one reply for each on standard output, and ends with the input.
use std::io::{self, Write};
use std::process::ExitCode;

use stairfront_simulator_adapter::error::FrameError;
use stairfront_simulator_adapter::frame::read_frame;
use stairfront_simulator_adapter::host::Host;
use stairfront_simulator_adapter::reply::Reply;

fn run() -> Result<(), FrameError> {
    let mut input = io::stdin().lock();
    let mut output = io::stdout().lock();
    let mut host = Host::default();
    let mut frame = Vec::new();
    let mut reply = Reply::default();
    while read_frame(&mut input, &mut frame)? {
        reply.clear();
        host.handle(&frame, &mut reply)?;
        output.write_all(reply.finish())?;
        output.flush()?;
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
