//! Balancers as processes: started with a configuration in the platform's form, signalled, looked at from outside.
use std::collections::BTreeSet;
use std::fs::{self, File};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use serde::Serialize;
use serde_json::Value;
use stairfront_common::random::SeededRng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::time::{sleep, timeout};

/// A balancer that is not ready after so long will not be.
const READY_LIMIT: Duration = Duration::from_secs(10);
/// Between two looks whether it is.
const READY_POLL: Duration = Duration::from_millis(1);
/// One told to stop has this long: longer than the longest deadline that experiments have, and a while.
const STOP_LIMIT: Duration = Duration::from_secs(15);
/// Ports below the range from which kernels give out others, so that none is taken while its balancer is down.
const PORTS: std::ops::Range<u16> = 15_000..32_000;

/// A program that serves as a balancer, told all it needs by the environment that the platform gives.
#[derive(Clone, Debug)]
pub struct Build {
    pub program: PathBuf,
    pub arguments: Vec<String>,
}

/// What the kernel says of a process.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Sample {
    /// Time on a processor since its start, in microseconds.
    pub cpu_us: u64,
    pub memory_kb: u64,
    pub descriptors: u64,
}

pub struct Balancer {
    build: Build,
    name: String,
    config: PathBuf,
    log: PathBuf,
    /// For what is to outlive a process of it.
    folder: Option<PathBuf>,
    pub address: SocketAddr,
    child: Option<Child>,
    started: Instant,
    /// It is to run: an end by itself is a crash.
    pub wanted: bool,
    /// From the start of the process to its first `+PONG`, each time.
    pub ready_ms: Vec<f64>,
    /// Processor time of processes that have ended.
    ended_cpu_us: u64,
    pub most_memory_kb: u64,
    pub most_descriptors: u64,
    last: Sample,
}

/// An address on loopback that was free just now, and that this process has not given out before. Danger: of two runs
/// with one address the clients of both would speak to whichever balancer came first.
pub fn free_address(dice: &mut SeededRng) -> io::Result<SocketAddr> {
    static GIVEN: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());
    let mut given = GIVEN.lock().unwrap_or_else(PoisonError::into_inner);
    for _ in 0..1000 {
        let port = PORTS.start + dice.below(u64::from(PORTS.end - PORTS.start)) as u16;
        let at = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if given.insert(port) && TcpListener::bind(at).is_ok() {
            return Ok(at);
        }
    }
    Err(io::Error::other("no free port on loopback"))
}

impl Balancer {
    pub fn new(build: Build, name: &str, folder: &Path, address: SocketAddr) -> Self {
        Balancer {
            build,
            name: name.to_string(),
            config: folder.join(format!("{name}.json")),
            log: folder.join(format!("{name}.log")),
            folder: None,
            address,
            child: None,
            started: Instant::now(),
            wanted: false,
            ready_ms: Vec::new(),
            ended_cpu_us: 0,
            most_memory_kb: 0,
            most_descriptors: 0,
            last: Sample::default(),
        }
    }

    /// Its own folder for what is to outlive a process.
    pub fn set_folder(&mut self, folder: &Path) {
        self.folder = Some(folder.to_path_buf());
    }

    pub fn config(&self) -> &Path {
        &self.config
    }

    pub fn name(&self) -> &str {
        &self.name
    }

    /// Writes its configuration; a running one reads it again on `hang_up`.
    pub fn configure(&self, config: &Value) -> io::Result<()> {
        fs::write(&self.config, config.to_string())
    }

    /// Starts it and waits until it is ready.
    pub async fn start(&mut self) -> io::Result<()> {
        self.launch()?;
        self.until_ready().await
    }

    /// Starts it.
    pub fn launch(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut command = Command::new(&self.build.program);
        command
            .args(&self.build.arguments)
            .env("ROUTER_CONFIG", &self.config)
            .env("ROUTER_NAME", &self.name);
        command
            .env("ROUTER_LISTEN", self.address.to_string())
            .kill_on_drop(true);
        command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        if let Some(folder) = &self.folder {
            command.env("TMPDIR", folder);
        }
        let named = |problem: io::Error| {
            io::Error::other(format!("{}: {problem}", self.build.program.display()))
        };
        self.child = Some(command.spawn().map_err(named)?);
        self.wanted = true;
        self.started = Instant::now();
        Ok(())
    }

    /// Waits until one that was started is ready.
    pub async fn until_ready(&mut self) -> io::Result<()> {
        let started = self.started;
        while !self.answers_ping().await {
            let ended = self
                .child
                .as_mut()
                .and_then(|child| child.try_wait().ok().flatten());
            if ended.is_some() || started.elapsed() > READY_LIMIT {
                let log = fs::read_to_string(&self.log).unwrap_or_default();
                let last = log
                    .lines()
                    .last()
                    .unwrap_or("no word in its log")
                    .to_string();
                return Err(io::Error::other(format!(
                    "balancer {} does not start: {last}",
                    self.name
                )));
            }
            sleep(READY_POLL).await;
        }
        self.ready_ms.push(started.elapsed().as_secs_f64() * 1e3);
        Ok(())
    }

    async fn answers_ping(&self) -> bool {
        let ask = async {
            let mut socket = TcpStream::connect(self.address).await?;
            socket.write_all(b"*1\r\n$4\r\nPING\r\n").await?;
            let mut answer = [0; 7];
            socket.read_exact(&mut answer).await?;
            Ok::<bool, io::Error>(&answer == b"+PONG\r\n")
        };
        matches!(timeout(Duration::from_secs(1), ask).await, Ok(Ok(true)))
    }

    pub fn signal(&self, signal: Signal) {
        let pid = self
            .child
            .as_ref()
            .and_then(Child::id)
            .and_then(|id| i32::try_from(id).ok());
        if let Some(pid) = pid {
            // One that has ended hears nothing, which its next start or look tells.
            let _ = kill(Pid::from_raw(pid), signal);
        }
    }

    pub fn is_running(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Ends it at once.
    pub async fn kill(&mut self) {
        self.look();
        if let Some(mut child) = self.child.take() {
            // Already over if it fails.
            let _ = child.kill().await;
        }
        self.book_end();
    }

    /// Waits for the end of one that was told to stop; killed if it does not. True for a good end.
    pub async fn wait_for_end(&mut self) -> bool {
        let Some(mut child) = self.child.take() else {
            return false;
        };
        let good = match timeout(STOP_LIMIT, child.wait()).await {
            Ok(Ok(status)) => status.success(),
            _ => {
                let _ = child.kill().await;
                false
            }
        };
        self.book_end();
        good
    }

    fn book_end(&mut self) {
        self.ended_cpu_us += std::mem::take(&mut self.last).cpu_us;
    }

    /// Asks the kernel about it.
    pub fn look(&mut self) -> Sample {
        let Some(pid) = self.child.as_ref().and_then(Child::id) else {
            return self.last;
        };
        if let Some(sample) = sample(pid) {
            self.last = sample;
            self.most_memory_kb = self.most_memory_kb.max(sample.memory_kb);
            self.most_descriptors = self.most_descriptors.max(sample.descriptors);
        }
        self.last
    }

    /// Processor time of all its processes so far, in microseconds.
    pub fn cpu_us(&self) -> u64 {
        self.ended_cpu_us + self.last.cpu_us
    }
}

/// None once the process has ended.
fn sample(pid: u32) -> Option<Sample> {
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
    Some(Sample {
        cpu_us: cpu_ns / 1000,
        memory_kb,
        descriptors,
    })
}
