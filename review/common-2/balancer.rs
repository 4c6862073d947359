//! Balancer processes, started with the command of the deploy file, and their configuration.
use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Mutex;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::{Failure, Rig};

/// `run` of the deploy file.
const RUN: &str = "exec target/release/stairfront";

extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}

/// The signals of Linux that the cases send.
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
/// The option by which a process gets a signal as the one that started it ends.
const PR_SET_PDEATHSIG: i32 = 1;

/// All processes that were started and not waited for.
static STARTED: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// Ends every process that was started here.
pub fn end_all() {
    for child in STARTED.lock().unwrap().iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// A free address that is given to no outgoing connection: those come from another loopback address.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let host = NEXT.fetch_add(1, Ordering::Relaxed) as u8;
    let listener =
        TcpListener::bind(SocketAddr::from(([127, 128 + high % 64, low, host], 0))).unwrap();
    listener.local_addr().unwrap()
}

/// A server of the list, in discovery's form.
pub fn entry(name: &str, address: SocketAddr, kind: &str, status: &str) -> String {
    format!(
        r#"{{"name":"{name}","address":"{address}","zone":"a","type":"{kind}","group":0,"status":"{status}","weight":1.0,"since_ms":0}}"#
    )
}

/// A configuration of a small deployment: cache-aside, three attempts, never two at once, drains kept within 250 ms.
pub fn configuration(
    listen: SocketAddr,
    discovery: SocketAddr,
    ops: SocketAddr,
    limits: &str,
    known: &[String],
) -> String {
    format!(
        r#"{{"name":"n1","listen":"{listen}","discovery":"{discovery}","ops":"{ops}","seed":"8c1f30d27a5be964",
"limits":{limits},
"known":{{"index":1,"snapshot":true,"endpoints":[{}]}},
"settings":{{"areas":["a"],"models":["std-box","origin"],"me":0,"locality":0,"replicas_of_me":1,"tick":5.0,
"registry_mode":"push","weights":"off","over_share_worth":0.2,"layer":0,"tiers":["seat-cache"],
"family":"cache","family_info":{{"mode":"aside","origin_kind":1}},
"report":{{"fields":["throughput"],"how":"inline"}},
"profiles":[{{"name":"seat-lookup","semantics":"free","group":"all","key_ttl":5000.0,"aim":750.0,"deadline":1500.0,"worth":1.0,"late_worth":0.0,"stream":false}},
{{"name":"seat-book","semantics":"single_shot","group":"all","key_ttl":5000.0,"aim":750.0,"deadline":1500.0,"worth":1.0,"late_worth":0.0,"stream":false}}],
"tenants":[{{"name":"acme","quota_rps":1000.0,"share":1.0}}],
"caps":{{"cancel":true,"connect_timeout":250.0,"keepalive":60000.0,"max_retry_after":1500.0,"max_streams":100,"may_duplicate":false,"most_tries":3,"open_cap":20000,"peer_messages":false,"probes":false,"retry_after":true}},
"rules":{{"answer_slack":20.0,"ask_every":10000.0,"cold_from":0.12,"fall":3000.0,"fall_multiple":3.0,"stop_sending_within":250.0,"warm_up":24000.0}}}}}}
"#,
        known.join(",")
    )
}

/// A running balancer.
pub struct Balancer {
    pub ops: SocketAddr,
    pid: u32,
}

impl Balancer {
    /// Starts one with this configuration file and this address for operators. `state` is its `$TMPDIR`.
    pub fn start(
        rig: &Rig,
        name: &str,
        config: &Path,
        ops: SocketAddr,
        state: &Path,
    ) -> Result<Self, Failure> {
        let log = fs::File::create(rig.folder.join(format!("{name}.log")))?;
        let mut command = Command::new("/bin/sh");
        // SAFETY: a system call that takes two numbers. No balancer outlives its case.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            });
        }
        let child = command
            .args(["-c", RUN])
            .env("ROUTER_NAME", "n1")
            .env("ROUTER_CONFIG", config)
            .env("ROUTER_OPS", ops.to_string())
            .env("TMPDIR", state)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        let pid = child.id();
        STARTED.lock().unwrap().push(child);
        rig.record
            .note(&format!("{name}: started as process {pid}, ops {ops}"));
        Ok(Balancer { ops, pid })
    }

    /// Waits until it says that it can serve.
    pub fn wait_until_healthy(&self, limit: Duration) -> Result<(), Failure> {
        let start = Instant::now();
        while start.elapsed() < limit {
            if call(self.ops, "GET", "/admin/health") == Some(200) {
                return Ok(());
            }
            sleep(Duration::from_millis(10));
        }
        Err("a balancer was not ready in time".into())
    }

    /// Sends a signal.
    pub fn signal(&self, signal: i32) -> Result<(), Failure> {
        // SAFETY: a system call that takes two numbers; the process is a child that was not waited for.
        match unsafe { kill(self.pid as i32, signal) } {
            0 => Ok(()),
            _ => Err(format!("signal {signal} not sent").into()),
        }
    }

    /// Whether the process has ended.
    pub fn has_ended(&self) -> bool {
        let mut started = STARTED.lock().unwrap();
        let child = started.iter_mut().find(|child| child.id() == self.pid);
        child.is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))))
    }
}

/// The status of one operator's call.
pub fn call(ops: SocketAddr, method: &str, path: &str) -> Option<u16> {
    let mut socket = TcpStream::connect_timeout(&ops, Duration::from_millis(500)).ok()?;
    socket.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    socket
        .write_all(format!("{method} {path} HTTP/1.1\r\nHost: ops\r\n\r\n").as_bytes())
        .ok()?;
    let mut answer = String::new();
    let _ = socket.read_to_string(&mut answer);
    answer.split(' ').nth(1)?.parse().ok()
}
