//! The memory and the processor time of a process, as the kernel counts them.
#![allow(dead_code)] // Each test program uses a part of these helpers.
use stairfront_test_support::loopback::BalancerProcess;

/// One line of `/proc/PID/status`, in kilobytes; `None` for a process that has just ended.
fn status_kb(process: &BalancerProcess, name: &str) -> Option<usize> {
    let status = std::fs::read_to_string(format!("/proc/{}/status", process.child.id())).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix(name))?;
    let words = line.trim_start_matches(':');
    words.split_whitespace().next()?.parse().ok()
}

/// Peak resident memory, in kilobytes.
pub fn peak_kb(process: &BalancerProcess) -> usize {
    status_kb(process, "VmHWM").expect("the process has ended")
}

/// Resident memory now, in kilobytes; 0 for a process that has just ended.
pub fn resident_kb(process: &BalancerProcess) -> usize {
    status_kb(process, "VmRSS").unwrap_or(0)
}

/// Processor time used so far, in milliseconds.
pub fn processor_ms(process: &BalancerProcess) -> u64 {
    const MS_PER_TICK: u64 = 10;
    const USER_TIME: usize = 11;
    const SYSTEM_TIME: usize = 12;
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", process.child.id())).unwrap();
    // The name of the program, in brackets, may have spaces.
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap()
        .split_whitespace()
        .collect();
    let ticks = |field: usize| fields[field].parse::<u64>().unwrap();
    (ticks(USER_TIME) + ticks(SYSTEM_TIME)) * MS_PER_TICK
}
