//! The program as a process of its own.
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};

use serde_json::Value;
use tokio::net::TcpStream;
use tokio::time::sleep;

use super::{config, line, ms, say, Client};

/// The program that belongs to the running test: cargo builds it into the folder above that of the tests.
fn path_of_program() -> PathBuf {
    target_folder().join("stairfront")
}

fn target_folder() -> PathBuf {
    let test = std::env::current_exe().unwrap();
    test.ancestors().nth(2).unwrap().to_path_buf()
}

/// A running balancer, with its log on a pipe.
pub struct BalancerProcess {
    /// The process.
    pub child: Child,
    /// Address for clients.
    pub address: SocketAddr,
    /// Address of the admin API.
    pub admin_address: SocketAddr,
    /// Path of its configuration file.
    pub config_path: String,
}

/// A free port on a loopback address that no other test uses. A port freed on the common loopback address is given to
/// the next connection, and a connection made to it before the process listens can be connected to itself.
pub fn unused_address() -> SocketAddr {
    static NEXT_HOST: AtomicU8 = AtomicU8::new(1);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let host = NEXT_HOST.fetch_add(1, Ordering::Relaxed);
    let ip = [127, 64 + high % 64, low, host];
    let listener = TcpListener::bind(SocketAddr::from((ip, 0))).unwrap();
    listener.local_addr().unwrap()
}

/// The program, or a shell that runs it with a limit on the size of each file that it writes, in blocks of 512 bytes.
fn program(max_file_blocks: Option<u32>) -> Command {
    let Some(blocks) = max_file_blocks else {
        return Command::new(path_of_program());
    };
    let mut command = Command::new("sh");
    // The signal for files that are too large is ignored, since a full disk sends none.
    let script = format!("trap '' XFSZ; ulimit -f {blocks}; exec \"$0\"");
    command.args(["-c", &script]).arg(path_of_program());
    command
}

impl BalancerProcess {
    /// Starts one with a single cache host, and waits until it serves.
    pub async fn start(test: &str, agent: SocketAddr, host: SocketAddr) -> Self {
        let lines = [line("c", host, "box")];
        let configuration = config(unused_address(), agent, &lines, 1024);
        Self::start_with(test, configuration, None).await
    }

    /// Starts one with this configuration, and a directory for what outlives the process. Waits until it answers `PING`.
    pub async fn start_with(test: &str, configuration: Value, directory: Option<&Path>) -> Self {
        let process = Self::spawn(test, configuration, directory);
        process.wait_until_serving().await;
        process
    }

    /// Starts one with further environment variables, and waits until it answers `PING`.
    pub async fn start_with_environment(
        test: &str,
        configuration: Value,
        variables: &[(&str, String)],
    ) -> Self {
        let mut command = program(None);
        command.envs(variables.iter().map(|(name, value)| (name, value)));
        let process = Self::spawn_command(test, configuration, None, command);
        process.wait_until_serving().await;
        process
    }

    /// Starts one beside a running process of the same balancer, in its directory, and waits until it can serve.
    pub async fn start_successor(test: &str, configuration: &Value, directory: &Path) -> Self {
        let process = Self::spawn(test, configuration.clone(), Some(directory));
        process.wait_until_healthy().await;
        process
    }

    async fn wait_until_serving(&self) {
        let mut client = loop {
            match Client::connect(self.address).await {
                Ok(client) => break client,
                Err(_) => sleep(ms(10)).await,
            }
        };
        while client.ask(&["PING"]).await != "+PONG\r\n" {
            sleep(ms(10)).await;
        }
    }

    /// Starts one without waiting until it serves.
    pub fn spawn(test: &str, configuration: Value, directory: Option<&Path>) -> Self {
        Self::spawn_with_file_limit(test, configuration, directory, None)
    }

    /// Starts one that cannot write a file of more than so many blocks of 512 bytes: a write beyond fails, as on a full
    /// disk.
    pub fn spawn_with_file_limit(
        test: &str,
        configuration: Value,
        directory: Option<&Path>,
        max_file_blocks: Option<u32>,
    ) -> Self {
        Self::spawn_command(test, configuration, directory, program(max_file_blocks))
    }

    fn spawn_command(
        test: &str,
        mut configuration: Value,
        directory: Option<&Path>,
        mut command: Command,
    ) -> Self {
        let address = configuration["listen"].as_str().unwrap().parse().unwrap();
        let admin_address = unused_address();
        configuration["ops"] = admin_address.to_string().into();
        let config_path = format!(
            "{}/{test}-{}.json",
            target_folder().with_file_name("tmp").display(),
            std::process::id()
        );
        std::fs::write(&config_path, configuration.to_string()).unwrap();
        match directory {
            Some(directory) => command.env("TMPDIR", directory),
            None => command.env_remove("TMPDIR"),
        };
        command.env("ROUTER_CONFIG", &config_path);
        BalancerProcess {
            child: command.stderr(Stdio::piped()).spawn().unwrap(),
            address,
            admin_address,
            config_path,
        }
    }

    /// Status of one call to the admin API; 0 where nobody listens yet.
    pub async fn admin_status(&self, method: &str, path: &str) -> u16 {
        if TcpStream::connect(self.admin_address).await.is_err() {
            return 0;
        }
        let request = format!("{method} {path} HTTP/1.1\r\n\r\n");
        say(self.admin_address, &request).await.0
    }

    /// Waits until the process reports that it can serve.
    pub async fn wait_until_healthy(&self) {
        while self.admin_status("GET", "/admin/health").await != 200 {
            sleep(ms(10)).await;
        }
    }

    /// Replaces the configuration file; the process reads it on SIGHUP.
    pub fn write_configuration(&self, mut configuration: Value) {
        configuration["ops"] = self.admin_address.to_string().into();
        std::fs::write(&self.config_path, configuration.to_string()).unwrap();
    }

    /// Sends a signal such as `-TERM`.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").arg(name).arg(pid).status().unwrap();
        assert!(status.success());
    }

    /// Waits until the process has exited with success.
    pub async fn wait_for_exit(&mut self) {
        let status = loop {
            match self.child.try_wait().unwrap() {
                Some(status) => break status,
                None => sleep(ms(10)).await,
            }
        };
        assert!(status.success(), "{status}");
    }
}

impl Drop for BalancerProcess {
    fn drop(&mut self) {
        // The process has exited already unless the test has failed.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config_path);
    }
}
