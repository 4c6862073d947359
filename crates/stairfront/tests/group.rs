//! Balancer processes as members of one group, without the lab: an operator's call to one member holds at all of them, and
//! a member learns what it has missed before it serves.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::process::{Command, Output};

use serde_json::{json, Value};
use stairfront_test_support::loopback::{
    cache, hit, line, listing_agent, memory_folder, ms, quiet_agent, run, Client, Log,
};
use stairfront_test_support::loopback::{names, BalancerGroup};
use stairfront_test_support::loopback::{unused_address, BalancerProcess};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;

const PROGRAM: &str = env!("CARGO_BIN_EXE_stairfront");

async fn wait_for_info(group: &BalancerGroup, member: usize, line: &str) {
    while !group.info(member).await.contains(line) {
        sleep(ms(10)).await;
    }
}

/// A host under maintenance must not be used by any member, nor by one that restarts without its files.
#[test]
fn a_group_cordon_holds_at_every_member_and_after_a_restart_without_files() {
    run(async {
        let mut group = BalancerGroup::start("cordon", 3).await;
        group.wait_until_complete().await;
        assert!(group.send_to_all_hosts(1, "before").await.first > 0);
        let answer = group.post(0, "/admin/cordon/s-1?scope=group").await;
        let outcome = answer.json();
        assert_eq!(
            (answer.status, &outcome["done"]),
            (200, &json!(true)),
            "{outcome}"
        );
        assert_eq!(
            names(&outcome["confirmed"]),
            BTreeSet::from(["b0", "b1", "b2"])
        );
        for member in 0..3 {
            let salt = format!("held-{member}");
            assert_eq!(group.send_to_all_hosts(member, &salt).await.first, 0);
        }
        // A group cordon cannot be lifted at one member alone; unknown servers and scopes are errors.
        for (path, status) in [
            ("/admin/uncordon/s-1", 409),
            ("/admin/cordon/s-9?scope=group", 404),
            ("/admin/cordon/s-2?scope=all", 400),
        ] {
            assert_eq!(group.post(1, path).await.status, status, "{path}");
        }
        group.kill(2, true);
        group.spawn(2);
        group.process(2).wait_until_healthy().await;
        assert_eq!(group.send_to_all_hosts(2, "again").await.first, 0);
        assert!(group.info(2).await.contains("cordoned:1\r\n"));
        group.wait_until_complete().await;
        let answer = group.post(2, "/admin/uncordon/s-1?scope=group").await;
        assert_eq!(answer.status, 200, "{}", answer.text);
        for member in 0..3 {
            wait_for_info(&group, member, "cordoned:0\r\n").await;
        }
    });
}

#[test]
fn a_group_cordon_needs_every_confirmation_and_an_uncordon_a_majority() {
    run(async {
        let mut group = BalancerGroup::start("missing", 3).await;
        group.wait_until_complete().await;
        group.process(2).signal("-STOP");
        let answer = group.post(0, "/admin/cordon/s-1?scope=group").await;
        let outcome = answer.json();
        assert_eq!(
            (answer.status, &outcome["done"]),
            (503, &json!(false)),
            "{outcome}"
        );
        assert_eq!(
            names(&outcome["missing"]),
            BTreeSet::from(["b2"]),
            "{outcome}"
        );
        // The member that did not answer is notified again without another call.
        group.process(2).signal("-CONT");
        wait_for_info(&group, 2, "group_cordons:1\r\n").await;
        let answer = group.post(1, "/admin/cordon/s-1?scope=group").await;
        assert_eq!(answer.status, 200, "{}", answer.text);
        // A killed member may have been started again elsewhere: it is missing until it confirms.
        group.kill(2, false);
        let answer = group.post(0, "/admin/cordon/s-2?scope=group").await;
        assert_eq!(
            (answer.status, names(&answer.json()["missing"]).len()),
            (503, 1)
        );
        let uncordon = "/admin/uncordon/s-1?scope=group";
        group.kill(1, false);
        group.wait_for_quorum_status(0, "alone").await;
        assert_eq!(group.post(0, uncordon).await.status, 409);
        assert!(group.info(0).await.contains("group_cordons:2\r\n"));
        group.spawn(1);
        group.wait_for_quorum_status(0, "majority").await;
        assert_eq!(group.post(0, uncordon).await.status, 200);
    });
}

#[test]
fn a_member_that_shuts_down_gracefully_has_left_and_delays_no_cordon() {
    run(async {
        let mut group = BalancerGroup::start("leaves", 3).await;
        group.wait_until_complete().await;
        group.process(2).signal("-TERM");
        group.processes[2].as_mut().unwrap().wait_for_exit().await;
        while group.member_state(0, 2).await != "left" {
            sleep(ms(10)).await;
        }
        let answer = group.post(0, "/admin/cordon/s-1?scope=group").await;
        assert_eq!(answer.status, 200, "{}", answer.text);
        assert_eq!(group.member_state(1, 2).await, "left");
        // Its files are older than the cordon.
        group.spawn(2);
        group.process(2).wait_until_healthy().await;
        assert_eq!(group.send_to_all_hosts(2, "back").await.first, 0);
        group.wait_until_complete().await;
    });
}

/// A call in the queue of a stopped process would cordon a host that all other members use again.
#[test]
fn a_call_that_was_queued_while_its_process_was_stopped_is_rejected() {
    run(async {
        let group = BalancerGroup::start("asleep", 3).await;
        group.wait_until_complete().await;
        let admin_address = group.process(1).admin_address;
        group.process(1).signal("-STOP");
        let mut connection = TcpStream::connect(admin_address).await.unwrap();
        connection
            .write_all(b"POST /admin/cordon/s-1?scope=group HTTP/1.1\r\n\r\n")
            .await
            .unwrap();
        sleep(ms(2000)).await;
        group.process(1).signal("-CONT");
        let mut answer = String::new();
        connection.read_to_string(&mut answer).await.unwrap();
        assert!(
            answer.starts_with("HTTP/1.1 503") && answer.contains("stood still for"),
            "{answer}"
        );
        assert!(group.send_to_all_hosts(0, "awake").await.first > 0);
        // A new call is carried out.
        group.wait_until_complete().await;
        sleep(ms(1100)).await;
        let answer = group.post(1, "/admin/cordon/s-1?scope=group").await;
        assert_eq!(answer.status, 200);
    });
}

#[test]
fn both_processes_of_an_upgrade_are_one_member_and_the_new_one_has_the_group_cordons() {
    run(async {
        let mut group = BalancerGroup::start("upgrade", 3).await;
        group.wait_until_complete().await;
        let answer = group.post(0, "/admin/cordon/s-1?scope=group").await;
        assert_eq!(answer.status, 200);
        let configuration = group.configurations[2].clone();
        let directory = Some(group.directories[2].path());
        let next = BalancerProcess::spawn("upgrade-next", configuration, directory);
        next.wait_until_healthy().await;
        // Both processes run now, and both apply what the group orders.
        for path in [
            "/admin/uncordon/s-1?scope=group",
            "/admin/cordon/s-2?scope=group",
        ] {
            assert_eq!(group.post(1, path).await.status, 200, "{path}");
        }
        let mut old = group.processes[2].replace(next).unwrap();
        old.signal("-TERM");
        let mut states = BTreeSet::new();
        old.wait_for_exit().await;
        for _ in 0..40 {
            states.insert(group.member_state(0, 2).await);
            sleep(ms(50)).await;
        }
        assert_eq!(states, BTreeSet::from(["alive".to_string()]));
        let requests = group.send_to_all_hosts(2, "after").await;
        assert!(requests.first > 0 && requests.second == 0, "{requests:?}");
        group.wait_until_complete().await;
        let answer = group.post(2, "/admin/uncordon/s-2?scope=group").await;
        assert_eq!(answer.status, 200);
        assert!(group.info(2).await.contains("cordoned:0\r\n"));
    });
}

/// The configuration of a member `b9` that is not in the others' rosters, and whose discovery agent lists the first
/// host as draining.
async fn configuration_with_draining_host(group: &BalancerGroup) -> Value {
    let mut configuration = group.configurations[0].clone();
    let endpoints = &configuration["known"]["endpoints"];
    let host: SocketAddr = endpoints[0]["address"].as_str().unwrap().parse().unwrap();
    let mut draining = line("s-1", host, "box");
    draining["status"] = json!("DRAINING");
    let healthy = endpoints[1].clone();
    let agent = listing_agent("third", &group.log, 9, vec![draining, healthy]).await;
    configuration["discovery"] = json!(agent);
    configuration["listen"] = json!(unused_address());
    configuration["name"] = json!("b9");
    configuration["membership"]["listen"] = json!(unused_address());
    let roster = configuration["membership"]["roster"].as_array_mut();
    roster.unwrap().push(json!("b9"));
    configuration
}

/// The discovery agent of one balancer may be late, and the balancer would go on sending to a draining host.
#[test]
fn a_drain_hint_keeps_other_members_from_the_host_until_it_expires() {
    run(async {
        let group = BalancerGroup::start("hearsay", 2).await;
        group.wait_until_complete().await;
        assert!(group.send_to_all_hosts(0, "before").await.first > 0);
        // The agents of the two members report no change; the agent of a third balancer does.
        let configuration = configuration_with_draining_host(&group).await;
        let directory = memory_folder();
        let third = BalancerProcess::spawn("hearsay-third", configuration, Some(directory.path()));
        third.wait_until_healthy().await;
        wait_for_info(&group, 0, "group_hearsay_held_total:1\r\n").await;
        assert_eq!(group.send_to_all_hosts(0, "held").await.first, 0);
        // The member's own agent has not confirmed the drain, so the hint has expired. The host is not in slow start.
        sleep(ms(5500)).await;
        assert!(group.send_to_all_hosts(0, "after").await.first > 0);
        let report = group.report(1).await;
        assert_eq!(report["roster_differs"], json!(["b9"]));
    });
}

/// Number of UDP sockets that a process has open.
fn udp_sockets(process: &BalancerProcess) -> usize {
    let descriptors = std::fs::read_dir(format!("/proc/{}/fd", process.child.id())).unwrap();
    let inodes: BTreeSet<String> = descriptors
        .flatten()
        .filter_map(|descriptor| std::fs::read_link(descriptor.path()).ok())
        .filter_map(|target| {
            let inode = target.to_str()?.strip_prefix("socket:[")?;
            Some(inode.strip_suffix(']')?.to_string())
        })
        .collect();
    let is_of_process = |line: &&str| {
        let inode = line.split_whitespace().nth(9);
        inode.is_some_and(|inode| inodes.contains(inode))
    };
    let table = std::fs::read_to_string("/proc/net/udp").unwrap();
    table.lines().filter(is_of_process).count()
}

#[test]
fn without_a_membership_section_nothing_of_it_runs() {
    run(async {
        let log = Log::default();
        let host = cache("one", &log, |_, words| hit(&words[1])).await;
        let plain = BalancerProcess::start("plain", quiet_agent(&log).await, host).await;
        assert_eq!(udp_sockets(&plain), 0);
        let mut client = Client::connect(plain.address).await.unwrap();
        let info = client.ask(&["INFO"]).await;
        assert!(
            !info.contains("group_") && !info.contains("agreement_"),
            "{info}"
        );
        for (method, path) in [
            ("GET", "/admin/maintenance"),
            ("POST", "/admin/maintenance"),
            ("GET", "/admin/members"),
            ("POST", "/admin/cordon/c?scope=group"),
        ] {
            let status = plain.admin_status(method, path).await;
            assert_eq!(status, 404, "{method} {path}");
        }
        // A voter's store would run on a second thread.
        let threads = std::fs::read_dir(format!("/proc/{}/task", plain.child.id()));
        assert_eq!(threads.unwrap().count(), 1);
        let group = BalancerGroup::start("one", 1).await;
        group.wait_for_quorum_status(0, "whole").await;
        assert_eq!(udp_sockets(group.process(0)), 1);
    });
}

/// A change to a member's configuration that makes it invalid, and what `stairfront check` must print.
struct InvalidConfiguration {
    change: fn(&mut Value),
    errors: &'static [&'static str],
}

const INVALID_CONFIGURATIONS: &[InvalidConfiguration] = &[
    InvalidConfiguration {
        change: |text| text["settings"]["caps"]["peer_messages"] = json!(false),
        errors: &["membership: ", "settings.caps.peer_messages"],
    },
    InvalidConfiguration {
        change: |text| text["membership"]["roster"] = json!(["b7", "b7"]),
        errors: &[
            "membership.roster: names \"b7\" twice",
            "membership.roster: does not name this balancer",
        ],
    },
    InvalidConfiguration {
        change: |text| text["membership"]["probe_ms"] = json!(5),
        errors: &["membership.probe_ms: "],
    },
    InvalidConfiguration {
        change: |text| text["agreement"] = json!({"voters": ["b0", "b9", "b0"], "store": ""}),
        errors: &[
            "agreement.voters: \"b9\" is not in",
            "agreement.voters: \"b0\" stands there twice",
            "agreement.store",
        ],
    },
    InvalidConfiguration {
        change: |text| {
            text["agreement"] = json!({"voters": ["b0"]});
            text.as_object_mut().unwrap().remove("membership");
        },
        errors: &["agreement.voters: need a [membership]"],
    },
    InvalidConfiguration {
        change: |text| text["membership"]["seed"] = json!([]),
        errors: &["membership.seed"],
    },
];

#[test]
fn invalid_membership_settings_are_reported_by_key() {
    run(async {
        let group = BalancerGroup::start("invalid", 1).await;
        for invalid in INVALID_CONFIGURATIONS {
            let mut configuration = group.configurations[0].clone();
            (invalid.change)(&mut configuration);
            let printed = check_errors(&configuration);
            for error in invalid.errors {
                assert!(printed.contains(error), "{error:?} in {printed}");
            }
        }
    });
}

/// What `stairfront check` prints for an invalid configuration.
fn check_errors(configuration: &Value) -> String {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("config.json");
    std::fs::write(&path, configuration.to_string()).unwrap();
    let mut command = Command::new(PROGRAM);
    let output = command.arg("check").arg(&path).output().unwrap();
    assert_eq!(output.status.code(), Some(2));
    String::from_utf8(output.stderr).unwrap()
}

fn members_command(group: &BalancerGroup, arguments: &[&str]) -> Output {
    let admin_address = group.process(0).admin_address.to_string();
    let mut command = Command::new(PROGRAM);
    command.args(["members", "--ops", &admin_address]);
    command.args(arguments).output().unwrap()
}

#[test]
fn the_members_table_and_its_exit_code_show_whether_the_group_is_complete() {
    run(async {
        let mut group = BalancerGroup::start("table", 2).await;
        group.wait_until_complete().await;
        let complete = members_command(&group, &[]);
        let text = String::from_utf8(complete.stdout).unwrap();
        assert_eq!(complete.status.code(), Some(0), "{text}");
        assert!(
            text.starts_with("b0 of group table: whole for ") && text.contains("\nb1 "),
            "{text}"
        );
        group.kill(1, false);
        group.wait_for_quorum_status(0, "alone").await;
        let json = members_command(&group, &["--json"]).stdout;
        let report: Value = serde_json::from_slice(&json).unwrap();
        assert_eq!(report["standing"], "alone");
        assert_eq!(members_command(&group, &[]).status.code(), Some(1));
    });
}

/// A reload must not lift a group cordon or give a member a new incarnation, and a member that was stopped meanwhile must
/// still learn of the cordon.
#[test]
fn a_reload_while_a_member_is_stopped_keeps_the_group_cordons() {
    run(async {
        let mut group = BalancerGroup::start("retune", 3).await;
        group.wait_until_complete().await;
        let cordon = "/admin/cordon/s-1?scope=group";
        group.process(2).signal("-STOP");
        assert_eq!(group.post(0, cordon).await.status, 503);
        let incarnation = |report: &Value| report["members"][0]["incarnation"].clone();
        let before = incarnation(&group.report(1).await);
        for member in 0..2 {
            let mut configuration = group.configurations[member].clone();
            configuration["settings"]["caps"]["open_cap"] = json!(999);
            group.process(member).write_configuration(configuration);
            group.process(member).signal("-HUP");
            wait_for_info(&group, member, "reloads:1\r\n").await;
        }
        assert_eq!(incarnation(&group.report(1).await), before);
        group.wait_for_quorum_status(0, "majority").await;
        for member in 0..2 {
            let salt = format!("retuned-{member}");
            let requests = group.send_to_all_hosts(member, &salt).await;
            assert!(
                requests.first == 0 && requests.second > 0,
                "b{member}: {requests:?}"
            );
        }
        group.process(2).signal("-CONT");
        group.wait_until_complete().await;
        assert_eq!(group.post(1, cordon).await.status, 200);
        assert_eq!(group.send_to_all_hosts(2, "woke").await.first, 0);
        group.kill(2, true);
    });
}
