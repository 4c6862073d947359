//! A balancer in the process of a test, and its configuration.
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;

use serde_json::{json, Value};
use stairfront_balancer::arrival::PollClock;
use stairfront_balancer::clock::Clock;
use stairfront_balancer::configuration::config::Config;
use stairfront_balancer::lifecycle::server::{self, ServerDependencies};
use stairfront_balancer::lifecycle::shutdown::Phase;
use stairfront_balancer::stages::route::Decide;
use stairfront_balancer::transport::Tcp;
use stairfront_policy::interface::Settings;
use stairfront_policy::Policy;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::sleep;

use super::client::{say, Client};
use super::ms;

/// An entry of an endpoint list.
pub fn line(name: &str, address: SocketAddr, kind: &str) -> Value {
    json!({"name": name, "address": address.to_string(), "zone": "z", "type": kind, "group": 0,
           "status": "SERVING", "weight": 1.0, "since_ms": 0})
}

/// Settings with one class of reads, for one tenant.
pub fn settings() -> Value {
    json!({
        "areas": ["z"], "models": ["box", "origin"], "locality": 0, "me": 0, "replicas_of_me": 1, "tick": 5.0,
        "caps": {"most_tries": 3, "connect_timeout": 250.0, "keepalive": 60000.0, "open_cap": 1000,
                 "retry_after": true, "max_retry_after": 1500.0},
        "family_info": {"mode": "aside", "origin_kind": 1},
        "profiles": [{"name": "read", "aim": 750.0, "deadline": 1500.0, "semantics": "free"}],
        "tenants": [{"name": "acme", "quota_rps": 1000.0, "share": 1.0}],
        "report": {"fields": ["throughput"]},
        "rules": {"answer_slack": 20.0, "stop_sending_within": 250.0, "cold_from": 0.2, "warm_up": 10000.0,
                  "fall_multiple": 3.0, "fall": 3000.0},
        "registry_mode": "push", "weights": "rough"
    })
}

/// A configuration with these settings and endpoints.
pub fn config(listen: SocketAddr, discovery: SocketAddr, lines: &[Value], sockets: usize) -> Value {
    json!({
        "name": "b0", "listen": listen.to_string(), "discovery": discovery.to_string(), "seed": "2a",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
        "known": {"index": 1, "snapshot": true, "endpoints": lines},
        "settings": settings()
    })
}

/// A balancer in the process of the test.
pub struct Balancer {
    /// Address for clients.
    pub address: SocketAddr,
    /// Tells it how far its end has come.
    pub phase: watch::Sender<Phase>,
    /// Has it read its configuration again.
    pub hangups: mpsc::Sender<()>,
    /// Address of the admin API.
    pub admin: SocketAddr,
    /// Its task.
    pub done: JoinHandle<()>,
}

impl Balancer {
    /// Starts one that is ready.
    pub async fn start(discovery: SocketAddr, lines: &[Value]) -> Self {
        Self::start_with(discovery, lines, |_| {}).await
    }

    /// The same with a changed configuration.
    ///
    /// # Panics
    ///
    /// If the configuration is faulty.
    pub async fn start_with(
        discovery: SocketAddr,
        lines: &[Value],
        change: impl FnOnce(&mut Value),
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let mut text = config(address, discovery, lines, 1024);
        change(&mut text);
        Self::serve(
            listener,
            Config::from_text("test", &text.to_string()).unwrap(),
        )
        .await
    }

    /// Starts one at this listener that is ready.
    pub async fn serve(listener: TcpListener, config: Config) -> Self {
        Self::serve_within(None, listener, config).await
    }

    /// With a directory for the files that outlive the process.
    pub async fn serve_within(
        folder: Option<&Path>,
        listener: TcpListener,
        config: Config,
    ) -> Self {
        let balancer = Self::begin(folder, listener, config).await;
        let mut client = balancer.client().await;
        while client.ask(&["PING"]).await != "+PONG\r\n" {
            sleep(ms(5)).await;
        }
        balancer
    }

    /// Starts a balancer without waiting until it is ready.
    pub async fn begin(folder: Option<&Path>, listener: TcpListener, config: Config) -> Self {
        Self::begin_with(folder, listener, config, Policy::new).await
    }

    /// The same with another decision module.
    ///
    /// # Panics
    ///
    /// If there is no address for the admin API.
    pub async fn begin_with<D: Decide>(
        folder: Option<&Path>,
        listener: TcpListener,
        config: Config,
        build_policy: impl FnOnce(Settings, u64) -> D + 'static,
    ) -> Self {
        let address = listener.local_addr().unwrap();
        let admin_listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let admin = admin_listener.local_addr().unwrap();
        let (phase, phase_receiver) = watch::channel(Phase::Running);
        let (hangups, hangup_receiver) = mpsc::channel(1);
        let clock = Clock::start();
        let dependencies = ServerDependencies {
            network: Tcp,
            listener,
            admin_listener: Some(admin_listener),
            state_directory: folder.map(Path::to_path_buf),
            predecessor: None,
            successor: Rc::default(),
            membership: None,
            clock,
            polls: Rc::new(PollClock::start()),
            phase: phase_receiver,
            requested_at: Rc::default(),
            resident: Rc::default(),
            hangups: hangup_receiver,
        };
        let served = server::serve(config, build_policy, dependencies);
        let done = spawn_local(async move { served.await.unwrap() });
        Balancer {
            address,
            phase,
            hangups,
            admin,
            done,
        }
    }

    /// One call of the admin API: the status and the whole answer.
    pub async fn call(&self, method: &str, path: &str) -> (u16, String) {
        say(
            self.admin,
            &format!("{method} {path} HTTP/1.1\r\nHost: door\r\n\r\n"),
        )
        .await
    }

    /// A new client.
    ///
    /// # Panics
    ///
    /// If it cannot connect.
    pub async fn client(&self) -> Client {
        Client::connect(self.address).await.unwrap()
    }
}
