//! The program as a process of its own.
#![allow(dead_code)]
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};

use serde_json::Value;
use tokio::net::TcpStream;
use tokio::time::sleep;

use super::common::{config, line, ms, say, Client};

/// The program itself, with its log on a pipe.
pub struct Process {
    pub child: Child,
    pub address: SocketAddr,
    pub config: String,
    /// Where its operators call.
    pub operators: SocketAddr,
}

/// A free port on a loopback address that no other test has. Danger: a port freed on the common one is given to the next
/// connection, and one that is made to it before the process listens can be connected to itself.
pub fn own_address() -> SocketAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let ip = [
        127,
        64 + high % 64,
        low,
        NEXT.fetch_add(1, Ordering::Relaxed),
    ];
    std::net::TcpListener::bind(SocketAddr::from((ip, 0)))
        .unwrap()
        .local_addr()
        .unwrap()
}

impl Process {
    pub async fn start(test: &str, agent: SocketAddr, host: SocketAddr) -> Self {
        let text = config(own_address(), agent, &[line("c", host, "box")], 1024);
        Self::start_as(test, text, None).await
    }

    /// With this configuration, and a folder for what is to outlive it; ready once it answers `PING`.
    pub async fn start_as(test: &str, text: Value, folder: Option<&Path>) -> Self {
        let process = Self::begin(test, text, folder);
        let address = process.address;
        let mut probe = loop {
            match Client::connect(address).await {
                Ok(client) => break client,
                Err(_) => sleep(ms(10)).await,
            }
        };
        while probe.ask(&["PING"]).await != "+PONG\r\n" {
            sleep(ms(10)).await;
        }
        process
    }

    pub fn begin(test: &str, text: Value, folder: Option<&Path>) -> Self {
        Self::begin_within(test, text, folder, None)
    }

    /// With a disk on which no file grows over so many blocks of 512 bytes: a write beyond fails, as on a full one.
    pub fn begin_within(
        test: &str,
        mut text: Value,
        folder: Option<&Path>,
        blocks: Option<u32>,
    ) -> Self {
        let (address, operators) = (
            text["listen"].as_str().unwrap().parse().unwrap(),
            own_address(),
        );
        text["ops"] = operators.to_string().into();
        let path = format!(
            "{}/{test}-{}.json",
            env!("CARGO_TARGET_TMPDIR"),
            std::process::id()
        );
        std::fs::write(&path, text.to_string()).unwrap();
        let program = env!("CARGO_BIN_EXE_stairfront");
        let mut command = Command::new(if blocks.is_some() { "sh" } else { program });
        if let Some(blocks) = blocks {
            // Without the signal, which a full disk does not send.
            command.args([
                "-c",
                &format!("trap '' XFSZ; ulimit -f {blocks}; exec \"$0\""),
                program,
            ]);
        }
        match folder {
            Some(folder) => command.env("TMPDIR", folder),
            None => command.env_remove("TMPDIR"),
        };
        let child = command
            .env("ROUTER_CONFIG", &path)
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        Process {
            child,
            address,
            config: path,
            operators,
        }
    }

    /// One call at its operators' door: the status, 0 where nobody listens yet.
    pub async fn call(&self, method: &str, path: &str) -> u16 {
        match TcpStream::connect(self.operators).await {
            Ok(_) => {
                say(self.operators, &format!("{method} {path} HTTP/1.1\r\n\r\n"))
                    .await
                    .0
            }
            Err(_) => 0,
        }
    }

    /// Until the process says that it can serve.
    pub async fn healthy(&self) {
        while self.call("GET", "/admin/health").await != 200 {
            sleep(ms(10)).await;
        }
    }

    /// Puts another configuration in the place of its own.
    pub fn rewrite(&self, mut text: Value) {
        text["ops"] = self.operators.to_string().into();
        std::fs::write(&self.config, text.to_string()).unwrap();
    }

    /// Sends a signal such as `-TERM`.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill")
            .arg(name)
            .arg(pid)
            .status()
            .unwrap()
            .success());
    }

    /// Waits for a good end.
    pub async fn ended(&mut self) {
        let status = loop {
            match self.child.try_wait().unwrap() {
                Some(status) => break status,
                None => sleep(ms(10)).await,
            }
        };
        assert!(status.success(), "{status}");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Already over unless the test has failed.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}
