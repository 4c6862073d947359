//! A group of balancer processes, and the calls of operators to them.
use std::collections::BTreeSet;
use std::net::SocketAddr;

use serde_json::{json, Value};
use tempfile::TempDir;
use tokio::time::sleep;

use super::{
    cache, commands, config, hit, line, memory_folder, ms, quiet_agent, say, unused_address,
    BalancerProcess, Client, Log,
};

/// Number of members that the others are configured to contact first.
const MAX_SEEDS: usize = 2;

/// A group of processes, each with a directory for its files that outlives the process.
pub struct BalancerGroup {
    /// Name of the group.
    pub name: String,
    /// What the two cache hosts have received.
    pub log: Log,
    /// The configuration of each member.
    pub configurations: Vec<Value>,
    /// The directory of each member.
    pub directories: Vec<TempDir>,
    /// None for a member that is not running.
    pub processes: Vec<Option<BalancerProcess>>,
}

/// Numbers of requests that each cache host received.
#[derive(Clone, Copy, Debug)]
pub struct HostRequests {
    /// Requests to `s-1`.
    pub first: usize,
    /// Requests to `s-2`.
    pub second: usize,
}

/// A response of the admin API.
pub struct AdminAnswer {
    /// Its status.
    pub status: u16,
    /// Head and body.
    pub text: String,
}

impl AdminAnswer {
    /// The body.
    ///
    /// # Panics
    ///
    /// If it is no JSON.
    pub fn json(&self) -> Value {
        let (_, body) = self.text.split_once("\r\n\r\n").unwrap();
        serde_json::from_str(body).unwrap()
    }
}

impl BalancerGroup {
    /// Starts members `b0`, `b1` and so on, and waits until all are healthy.
    pub async fn start(name: &str, count: usize) -> Self {
        Self::start_with(name, count, |_, _| {}).await
    }

    /// As `start`, with a change to each member's configuration.
    pub async fn start_with(
        name: &str,
        count: usize,
        configure: impl Fn(usize, &mut Value),
    ) -> Self {
        let log = Log::default();
        let mut configurations = group_configurations(name, count, &log).await;
        for (member, configuration) in configurations.iter_mut().enumerate() {
            configure(member, configuration);
        }
        let mut group = BalancerGroup {
            name: name.to_string(),
            log,
            configurations,
            directories: (0..count).map(|_| memory_folder()).collect(),
            processes: (0..count).map(|_| None).collect(),
        };
        for member in 0..count {
            group.spawn(member);
        }
        for member in 0..count {
            group.process(member).wait_until_healthy().await;
        }
        group
    }

    /// Starts a member, in place of its process if it has one.
    pub fn spawn(&mut self, member: usize) {
        self.spawn_with_file_limit(member, None);
    }

    /// Starts a member that cannot write a file of more than so many blocks.
    pub fn spawn_with_file_limit(&mut self, member: usize, max_file_blocks: Option<u32>) {
        // Dropping the process before it removes its configuration file, which has the same path.
        self.processes[member] = None;
        let process = BalancerProcess::spawn_with_file_limit(
            &format!("{}-{member}", self.name),
            self.configurations[member].clone(),
            Some(self.directories[member].path()),
            max_file_blocks,
        );
        self.processes[member] = Some(process);
    }

    /// The process of a member.
    ///
    /// # Panics
    ///
    /// If it is not running.
    pub fn process(&self, member: usize) -> &BalancerProcess {
        self.processes[member].as_ref().unwrap()
    }

    /// Kills a member, which loses its files too if `lose_files`.
    pub fn kill(&mut self, member: usize, lose_files: bool) {
        self.processes[member] = None;
        if lose_files {
            self.directories[member] = memory_folder();
        }
    }

    /// The group as this member sees it.
    pub async fn report(&self, member: usize) -> Value {
        self.call(member, "GET", "/admin/members").await.json()
    }

    /// The state that the observer reports for a member.
    pub async fn member_state(&self, observer: usize, member: usize) -> String {
        let report = self.report(observer).await;
        let members = report["members"].as_array().unwrap();
        let name = format!("b{member}");
        let found = members.iter().find(|entry| entry["name"] == *name).unwrap();
        found["state"].as_str().unwrap().to_string()
    }

    /// Waits until a member reports this quorum status.
    pub async fn wait_for_quorum_status(&self, member: usize, status: &str) {
        while self.report(member).await["standing"] != *status {
            sleep(ms(30)).await;
        }
    }

    /// Waits until every member reports a complete group.
    pub async fn wait_until_complete(&self) {
        for member in 0..self.processes.len() {
            self.wait_for_quorum_status(member, "whole").await;
        }
    }

    /// Calls a member's admin API with `POST` and no body.
    pub async fn post(&self, member: usize, path: &str) -> AdminAnswer {
        self.call(member, "POST", path).await
    }

    /// Calls a member's admin API without a body.
    pub async fn call(&self, member: usize, method: &str, path: &str) -> AdminAnswer {
        self.send(member, &format!("{method} {path} HTTP/1.1\r\n\r\n"))
            .await
    }

    /// Sends a complete HTTP request to a member's admin API.
    pub async fn send(&self, member: usize, request: &str) -> AdminAnswer {
        let (status, text) = say(self.process(member).admin_address, request).await;
        AdminAnswer { status, text }
    }

    /// A member's `INFO`.
    pub async fn info(&self, member: usize) -> String {
        let address = self.process(member).address;
        let mut client = Client::connect(address).await.unwrap();
        client.ask(&["INFO"]).await
    }

    /// Sends a member requests of so many keys that each host in use receives some, and counts them by host.
    pub async fn send_to_all_hosts(&self, member: usize, salt: &str) -> HostRequests {
        let before = self.host_requests();
        let address = self.process(member).address;
        let mut client = Client::connect(address).await.unwrap();
        for i in 0..40 {
            let key = format!("{salt}-{i}");
            client.get(&key, &format!("{key}-id"), 1000).await;
        }
        let after = self.host_requests();
        HostRequests {
            first: after.first - before.first,
            second: after.second - before.second,
        }
    }

    fn host_requests(&self) -> HostRequests {
        HostRequests {
            first: commands(&self.log, "one").len(),
            second: commands(&self.log, "two").len(),
        }
    }
}

/// The configurations of a group's members over two cache hosts, `s-1` and `s-2`.
async fn group_configurations(group: &str, count: usize, log: &Log) -> Vec<Value> {
    let first = cache("one", log, |_, words| hit(&words[1])).await;
    let second = cache("two", log, |_, words| hit(&words[1])).await;
    let lines = [line("s-1", first, "box"), line("s-2", second, "box")];
    let addresses: Vec<SocketAddr> = (0..count).map(|_| unused_address()).collect();
    let seeds = &addresses[..MAX_SEEDS.min(count)];
    let roster: Vec<String> = (0..count).map(|i| format!("b{i}")).collect();
    let mut configurations = Vec::new();
    for (member, address) in addresses.iter().enumerate() {
        let agent = quiet_agent(log).await;
        let mut configuration = config(unused_address(), agent, &lines, 256);
        configuration["name"] = json!(format!("b{member}"));
        configuration["settings"]["caps"]["peer_messages"] = json!(true);
        configuration["membership"] =
            json!({"group": group, "listen": address, "seeds": seeds, "roster": roster});
        configurations.push(configuration);
    }
    configurations
}

/// Names in a list of names, or of entries that have a name.
pub fn names(value: &Value) -> BTreeSet<&str> {
    let list = value.as_array().unwrap();
    list.iter()
        .filter_map(|entry| entry["name"].as_str().or(entry.as_str()))
        .collect()
}
