//! A group of processes of the program, and what operators ask of them.
#![allow(dead_code)]
use std::collections::BTreeSet;
use std::net::SocketAddr;

use serde_json::{json, Value};
use tempfile::TempDir;
use tokio::time::sleep;

use super::common::{
    cache, commands, config, hit, line, memory_folder, ms, quiet_agent, say, Client, Log,
};
use super::processes::{own_address, Process};

/// A group of processes whose files are kept in folders of their own.
pub struct Crowd {
    pub name: String,
    pub log: Log,
    pub texts: Vec<Value>,
    pub folders: Vec<TempDir>,
    pub processes: Vec<Option<Process>>,
}

impl Crowd {
    pub async fn start(name: &str, count: usize) -> Self {
        Self::start_with(name, count, |_, _| {}).await
    }

    pub async fn start_with(name: &str, count: usize, change: impl Fn(usize, &mut Value)) -> Self {
        let log = Log::default();
        let hosts = [
            cache("one", &log, |_, words| hit(&words[1])).await,
            cache("two", &log, |_, words| hit(&words[1])).await,
        ];
        let lines = [line("s-1", hosts[0], "box"), line("s-2", hosts[1], "box")];
        let places: Vec<SocketAddr> = (0..count).map(|_| own_address()).collect();
        let roster: Vec<String> = (0..count).map(|i| format!("b{i}")).collect();
        let mut texts = Vec::new();
        for (i, place) in places.iter().enumerate() {
            let mut text = config(own_address(), quiet_agent(&log).await, &lines, 256);
            text["name"] = json!(format!("b{i}"));
            text["settings"]["caps"]["peer_messages"] = json!(true);
            text["membership"] = json!({"group": name, "listen": place, "seeds": &places[..2.min(count)], "roster": roster});
            change(i, &mut text);
            texts.push(text);
        }
        let folders = (0..count).map(|_| memory_folder()).collect();
        let processes = (0..count).map(|_| None).collect();
        let mut crowd = Crowd {
            name: name.to_string(),
            log,
            texts,
            folders,
            processes,
        };
        for who in 0..count {
            crowd.begin(who);
        }
        for who in 0..count {
            crowd.process(who).healthy().await;
        }
        crowd
    }

    pub fn begin(&mut self, who: usize) {
        self.begin_within(who, None);
    }

    /// On a disk that is full at so many blocks, if any.
    pub fn begin_within(&mut self, who: usize, blocks: Option<u32>) {
        // The one before it takes its file along.
        self.processes[who] = None;
        let test = format!("{}-{who}", self.name);
        let folder = Some(self.folders[who].path());
        let process = Process::begin_within(&test, self.texts[who].clone(), folder, blocks);
        self.processes[who] = Some(process);
    }

    pub fn process(&self, who: usize) -> &Process {
        self.processes[who].as_ref().unwrap()
    }

    pub fn kill(&mut self, who: usize, empty: bool) {
        self.processes[who] = None;
        if empty {
            self.folders[who] = memory_folder();
        }
    }

    pub async fn report(&self, who: usize) -> Value {
        body(
            say(
                self.process(who).operators,
                "GET /admin/members HTTP/1.1\r\n\r\n",
            )
            .await
            .1,
        )
    }

    pub async fn state(&self, at: usize, of: usize) -> String {
        let report = self.report(at).await;
        let members = report["members"].as_array().unwrap();
        let name = format!("b{of}");
        members
            .iter()
            .find(|member| member["name"] == *name)
            .unwrap()["state"]
            .as_str()
            .unwrap()
            .to_string()
    }

    pub async fn until(&self, who: usize, standing: &str) {
        while self.report(who).await["standing"] != *standing {
            sleep(ms(30)).await;
        }
    }

    pub async fn all_whole(&self) {
        for who in 0..self.processes.len() {
            self.until(who, "whole").await;
        }
    }

    /// A call at one's door: status and answer.
    pub async fn call(&self, who: usize, path: &str) -> (u16, String) {
        say(
            self.process(who).operators,
            &format!("POST {path} HTTP/1.1\r\n\r\n"),
        )
        .await
    }

    pub async fn info(&self, who: usize) -> String {
        Client::connect(self.process(who).address)
            .await
            .unwrap()
            .ask(&["INFO"])
            .await
    }

    /// Requests of enough keys at one of them that each host in use gets some; how many each got.
    pub async fn use_all(&self, who: usize, salt: &str) -> (usize, usize) {
        let before = (
            commands(&self.log, "one").len(),
            commands(&self.log, "two").len(),
        );
        let mut client = Client::connect(self.process(who).address).await.unwrap();
        for i in 0..40 {
            client
                .get(&format!("{salt}-{i}"), &format!("{salt}-{i}-id"), 1000)
                .await;
        }
        (
            commands(&self.log, "one").len() - before.0,
            commands(&self.log, "two").len() - before.1,
        )
    }
}

pub fn body(answer: String) -> Value {
    serde_json::from_str(answer.split_once("\r\n\r\n").unwrap().1).unwrap()
}

pub fn names(value: &Value) -> BTreeSet<&str> {
    let list = value.as_array().unwrap();
    list.iter()
        .filter_map(|entry| entry["name"].as_str().or(entry.as_str()))
        .collect()
}
