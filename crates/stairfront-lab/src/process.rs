//! Balancers as processes: started with a configuration in the platform's form, signalled, and sampled from outside.
use std::collections::BTreeSet;
use std::fs::{self, File};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use serde_json::Value;
use stairfront_common::random::SeededRng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::time::{sleep, timeout};

use crate::error::RunError;

/// A balancer that is not ready after this time has failed to start.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(1);
const PING_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for a balancer that was told to stop: longer than the longest deadline of the experiments.
const STOP_TIMEOUT: Duration = Duration::from_secs(15);
/// Ports below the range from which kernels assign others, so that none is taken while its balancer is down.
const PORT_RANGE: Range<u16> = 15_000..32_000;
const MAX_PORT_ATTEMPTS: usize = 1000;

/// A program that serves as a balancer, configured by the environment variables that the platform gives.
#[derive(Clone, Debug)]
pub struct Build {
    /// Path of the program.
    pub program: PathBuf,
    /// Its arguments.
    pub arguments: Vec<String>,
}

/// A sample of a process, from the kernel's figures.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessSample {
    /// Processor time since its start, in microseconds.
    pub cpu_us: u64,
    /// Resident memory, in KiB.
    pub memory_kb: u64,
    /// Number of open descriptors.
    pub descriptors: u64,
}

/// A balancer that runs as a process, again and again with one configuration file and one log.
pub struct BalancerProcess {
    build: Build,
    name: String,
    config: PathBuf,
    log: PathBuf,
    data_folder: Option<PathBuf>,
    /// Address for clients.
    pub address: SocketAddr,
    child: Option<Child>,
    started: Instant,
    /// The process is to run: if it ends by itself, that is a crash.
    pub should_run: bool,
    /// Time from each start of the process to its first `+PONG`, in milliseconds.
    pub ready_ms: Vec<f64>,
    /// Processor time of processes that have ended.
    ended_cpu_us: u64,
    /// Largest resident memory, in KiB.
    pub max_memory_kb: u64,
    /// Largest number of open descriptors.
    pub max_descriptors: u64,
    last: ProcessSample,
}

/// A loopback address that is free now, and that this process has not assigned before: of two runs with one address, the
/// clients of both would connect to whichever balancer came first.
///
/// # Errors
///
/// No free port was found.
pub fn free_address(rng: &mut SeededRng) -> io::Result<SocketAddr> {
    static ASSIGNED: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());
    let mut assigned = ASSIGNED.lock().unwrap_or_else(PoisonError::into_inner);
    let ports = u64::from(PORT_RANGE.end - PORT_RANGE.start);
    for _ in 0..MAX_PORT_ATTEMPTS {
        let port = PORT_RANGE.start + rng.below(ports) as u16;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if assigned.insert(port) && TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(io::Error::other("no free port on loopback"))
}

impl BalancerProcess {
    /// A process that is not started yet; its configuration and log are in `folder`.
    pub fn new(build: Build, name: &str, folder: &Path, address: SocketAddr) -> Self {
        BalancerProcess {
            build,
            name: name.to_string(),
            config: folder.join(format!("{name}.json")),
            log: folder.join(format!("{name}.log")),
            data_folder: None,
            address,
            child: None,
            started: Instant::now(),
            should_run: false,
            ready_ms: Vec::new(),
            ended_cpu_us: 0,
            max_memory_kb: 0,
            max_descriptors: 0,
            last: ProcessSample::default(),
        }
    }

    /// Sets the folder for what is kept beyond the end of a process.
    pub fn set_data_folder(&mut self, folder: &Path) {
        self.data_folder = Some(folder.to_path_buf());
    }

    /// Path of the configuration.
    pub fn config(&self) -> &Path {
        &self.config
    }

    /// Name of the balancer.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Writes the configuration; a running process reads it again on SIGHUP.
    ///
    /// # Errors
    ///
    /// The file cannot be written.
    pub fn configure(&self, config: &Value) -> io::Result<()> {
        fs::write(&self.config, config.to_string())
    }

    /// Starts the process and waits until it is ready.
    ///
    /// # Errors
    ///
    /// The program cannot be started, or is not ready in time.
    pub async fn start(&mut self) -> Result<(), RunError> {
        self.launch()?;
        self.wait_until_ready().await
    }

    /// Starts the process.
    ///
    /// # Errors
    ///
    /// The log cannot be opened, or the program cannot be started.
    pub fn launch(&mut self) -> Result<(), RunError> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut command = Command::new(&self.build.program);
        command
            .args(&self.build.arguments)
            .env("ROUTER_CONFIG", &self.config)
            .env("ROUTER_NAME", &self.name)
            .env("ROUTER_LISTEN", self.address.to_string())
            .kill_on_drop(true)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        if let Some(folder) = &self.data_folder {
            command.env("TMPDIR", folder);
        }
        let child = command.spawn().map_err(|source| RunError::Spawn {
            program: self.build.program.display().to_string(),
            source,
        })?;
        self.child = Some(child);
        self.should_run = true;
        self.started = Instant::now();
        Ok(())
    }

    /// Returns when a process that was started is ready.
    ///
    /// # Errors
    ///
    /// It has ended, or is not ready in time.
    pub async fn wait_until_ready(&mut self) -> Result<(), RunError> {
        let started = self.started;
        while !self.answers_ping().await {
            if self.has_ended() || started.elapsed() > READY_TIMEOUT {
                return Err(RunError::BalancerNotStarted {
                    name: self.name.clone(),
                    last_line: self.last_log_line(),
                });
            }
            sleep(READY_POLL_INTERVAL).await;
        }
        self.ready_ms.push(started.elapsed().as_secs_f64() * 1e3);
        Ok(())
    }

    fn has_ended(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    fn last_log_line(&self) -> String {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        log.lines()
            .last()
            .unwrap_or("no word in its log")
            .to_string()
    }

    async fn answers_ping(&self) -> bool {
        let ping = async {
            let mut socket = TcpStream::connect(self.address).await?;
            socket.write_all(b"*1\r\n$4\r\nPING\r\n").await?;
            let mut answer = [0; 7];
            socket.read_exact(&mut answer).await?;
            Ok::<bool, io::Error>(&answer == b"+PONG\r\n")
        };
        matches!(timeout(PING_TIMEOUT, ping).await, Ok(Ok(true)))
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        let id = self.child.as_ref().and_then(Child::id);
        if let Some(pid) = id.and_then(|id| i32::try_from(id).ok()) {
            // A process that has ended gets no signal, which its next start or sample shows.
            let _ = kill(Pid::from_raw(pid), signal);
        }
    }

    /// Whether the process runs.
    pub fn is_running(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Ends the process at once.
    pub async fn kill(&mut self) {
        self.inspect();
        if let Some(mut child) = self.child.take() {
            // It fails only if the process has ended already.
            let _ = child.kill().await;
        }
        self.add_ended_cpu();
    }

    /// Awaits the end of a process that was told to stop, and kills it if it does not end in time. True if it ended
    /// by itself with exit code 0.
    pub async fn wait_for_end(&mut self) -> bool {
        let Some(mut child) = self.child.take() else {
            return false;
        };
        let success = match timeout(STOP_TIMEOUT, child.wait()).await {
            Ok(Ok(status)) => status.success(),
            _ => {
                // It fails only if the process has ended already.
                let _ = child.kill().await;
                false
            }
        };
        self.add_ended_cpu();
        success
    }

    fn add_ended_cpu(&mut self) {
        self.ended_cpu_us += std::mem::take(&mut self.last).cpu_us;
    }

    /// Samples the process; the last sample if it has ended.
    pub fn inspect(&mut self) -> ProcessSample {
        let Some(pid) = self.child.as_ref().and_then(Child::id) else {
            return self.last;
        };
        if let Some(sample) = sample(pid) {
            self.last = sample;
            self.max_memory_kb = self.max_memory_kb.max(sample.memory_kb);
            self.max_descriptors = self.max_descriptors.max(sample.descriptors);
        }
        self.last
    }

    /// Processor time of all its processes so far, in microseconds.
    pub fn cpu_us(&self) -> u64 {
        self.ended_cpu_us + self.last.cpu_us
    }
}

/// Samples a process; none once it has ended.
fn sample(pid: u32) -> Option<ProcessSample> {
    let tasks = fs::read_dir(format!("/proc/{pid}/task")).ok()?;
    let on_cpu = |task: fs::DirEntry| -> Option<u64> {
        let text = fs::read_to_string(task.path().join("schedstat")).ok()?;
        text.split_whitespace().next()?.parse().ok()
    };
    let cpu_ns: u64 = tasks.flatten().filter_map(on_cpu).sum();
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let resident = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))?;
    let memory_kb = resident.split_whitespace().next()?.parse().ok()?;
    let descriptors =
        fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, |files| files.count() as u64);
    Some(ProcessSample {
        cpu_us: cpu_ns / 1000,
        memory_kb,
        descriptors,
    })
}
