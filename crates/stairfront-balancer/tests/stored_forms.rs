//! Stored and exchanged forms of a balancer, as pinned by golden files: names in the program may change, these forms may
//! not, since other builds, scripts and people read them.

use std::path::Path;

use nix::fcntl::{fcntl, FcntlArg};
use nix::libc;
use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::json;
use stairfront_balancer::configuration::config::Config;
use stairfront_balancer::control::cordon_record::CordonRecord;
use stairfront_balancer::control::maintenance::admin::{CommittedCommand, DryRun, PublishedView};
use stairfront_balancer::control::maintenance::side_event::SideEvent;
use stairfront_balancer::control::server_list::RawList;
use stairfront_balancer::counters::Counters;
use stairfront_balancer::lifecycle::handover_socket;
use stairfront_balancer::lifecycle::handover_state::HandoverState;
use stairfront_balancer::lifecycle::id_log::{IdLogFiles, UpgradeSide};
use stairfront_balancer::stages::used_ids::IdHash;
use stairfront_maintenance::Balancer as FleetBalancer;
use stairfront_maintenance::{
    AvailabilityBudget, BlockedMachine, Command, CommandKind, CompletedBy, Fleet, Host,
    Maintenance, Plan, PlanView, Stage, View,
};
use stairfront_membership_agent::{MemberState, QuorumStatus, Report};
use stairfront_raft_node::Status;
use stairfront_settings::Names;
use stairfront_test_support::golden::GoldenFiles;
use stairfront_test_support::loopback::{
    cache, config, dead_address, hit, line, memory_folder, quiet_agent, run, Balancer, Log,
};
use tokio::net::TcpListener;

fn golden_files() -> GoldenFiles {
    GoldenFiles::of_crate(env!("CARGO_MANIFEST_DIR"))
}

/// Asserts that a value is written as pinned; returns the pinned text, read.
fn through<T: Serialize + DeserializeOwned>(name: &str, value: &T) -> T {
    let pinned = golden_files().assert_bytes(name, &serde_json::to_vec(value).unwrap());
    serde_json::from_slice(&pinned).unwrap_or_else(|problem| panic!("{name}: {problem}"))
}

fn text(word: &str) -> String {
    word.to_string()
}

/// The knowledge in it is pinned by the decision module's own test.
fn assert_handover_state_is_pinned(name: &str, list: Option<RawList>) {
    let knowledge = include_str!("../../stairfront-policy/tests/golden/knowledge_even.json");
    let state = HandoverState {
        knowledge: serde_json::from_str(knowledge).unwrap(),
        listed: vec![7, 1, u64::MAX],
        list,
    };
    let read = through(name, &state);
    assert_eq!(
        (read.knowledge, read.listed, read.list),
        (state.knowledge, state.listed, state.list)
    );
}

/// Builds before hand no list over.
#[test]
fn handover_state_has_the_pinned_form() {
    assert_handover_state_is_pinned("handover_state.json", None);
}

#[test]
fn handover_state_with_a_list_has_the_pinned_form() {
    let list = r#"{"index":7,"snapshot":true,"endpoints":[{"name":"s-1","address":"10.1.0.18:6379","zone":"b",
        "type":"m2","group":3,"status":"DRAINING","weight":1.5,"since_ms":1733443200123.5}]}"#;
    let list = serde_json::from_str(list).unwrap();
    assert_handover_state_is_pinned("handover_state_with_list.json", Some(list));
}

/// The list of the process before is used if it is newer than that of the file and can be read.
#[test]
fn an_older_or_unreadable_list_of_the_predecessor_replaces_that_of_the_file() {
    let list = |index: u64, status: &str| -> RawList {
        let server = json!({"name": "s-1", "address": "10.1.0.18:6379", "status": status});
        serde_json::from_value(json!({"index": index, "snapshot": true, "endpoints": [server]}))
            .unwrap()
    };
    let names = Names::default();
    for (inherited, used) in [
        (Some(list(8, "DRAINING")), 8),
        (Some(list(7, "DRAINING")), 7),
        (Some(list(3, "DRAINING")), 7),
        (Some(list(8, "ODD")), 7),
        (None, 7),
    ] {
        let state = HandoverState {
            list: inherited,
            ..HandoverState::default()
        };
        let known = list(7, "SERVING").read(&names).unwrap();
        let newest = state.newest_list(known.clone(), &names);
        assert_eq!(newest.index, used);
        assert_eq!(newest == known, used == 7, "{newest:?}");
    }
}

/// The old and the new process of a balancer meet at this path.
#[test]
fn the_handover_socket_has_the_pinned_name() {
    let path = handover_socket::path(Path::new("/run/stairfront"), "b-7");
    golden_files().assert_bytes("socket.txt", format!("{}\n", path.display()).as_bytes());
}

/// The file name of the cordon record, and its text in the next line.
#[test]
fn the_cordon_record_has_the_pinned_form() {
    let folder = memory_folder();
    let record = CordonRecord::within(Some(folder.path()), "b-7");
    let names = ["s-1", "s \"2\""];
    record.write(names.into_iter()).unwrap();
    let files: Vec<_> = std::fs::read_dir(folder.path())
        .unwrap()
        .map(|file| file.unwrap().path())
        .collect();
    assert_eq!(files.len(), 1, "{files:?}");
    let name = files[0].file_name().unwrap().to_str().unwrap();
    let now = format!("{name}\n{}", std::fs::read_to_string(&files[0]).unwrap());
    let pinned =
        String::from_utf8(golden_files().assert_bytes("cordons.txt", now.as_bytes())).unwrap();
    std::fs::write(&files[0], pinned.split_once('\n').unwrap().1).unwrap();
    assert_eq!(
        CordonRecord::within(Some(folder.path()), "b-7").read(),
        names
    );
}

/// The part of each line before the colon.
fn names(info: &str) -> String {
    info.split("\r\n")
        .filter(|line| !line.is_empty())
        .map(|line| line.split(':').next().unwrap())
        .fold(String::new(), |mut names, name| {
            names.push_str(name);
            names.push('\n');
            names
        })
}

/// The values vary; the names and their order do not.
#[test]
fn counters_have_the_pinned_names_and_order() {
    let counters = Counters::default();
    counters.taken_in.set(3);
    counters.server_connections_surplus.set(4);
    let shown = counters.to_string();
    assert!(
        shown.starts_with("taken_in:3\r\n") && shown.ends_with("server_connections_surplus:4\r\n")
    );
    golden_files().assert_bytes("counters.txt", names(&shown).as_bytes());
}

/// The answer to `INFO` of a balancer in no group.
#[test]
fn the_answer_to_info_has_the_pinned_names_and_order() {
    run(async {
        let log = Log::default();
        let host = cache("c", &log, |_, _| hit("v")).await;
        let balancer = Balancer::start(quiet_agent(&log).await, &[line("s-1", host, "box")]).await;
        let said = balancer.client().await.ask(&["INFO"]).await;
        let (_, info) = said.split_once("\r\n").unwrap();
        golden_files().assert_bytes("info.txt", names(info).as_bytes());
    });
}

/// Health is a plain text, and a balancer without a group or an agreement says so.
#[test]
fn admin_pages_of_a_balancer_without_a_group_are_as_pinned() {
    run(async {
        let log = Log::default();
        let host = cache("c", &log, |_, _| hit("v")).await;
        let serves = Balancer::start(quiet_agent(&log).await, &[line("s-1", host, "box")]).await;
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let text = config(
            listener.local_addr().unwrap(),
            dead_address().await,
            &[],
            1024,
        )
        .to_string();
        let empty =
            Balancer::begin(None, listener, Config::from_text("test", &text).unwrap()).await;
        let mut pages = String::new();
        for (of, balancer, path) in [
            ("serves", &serves, "/admin/health"),
            ("without servers", &empty, "/admin/health"),
            ("no group", &serves, "/admin/members"),
            ("no agreement", &serves, "/admin/maintenance"),
        ] {
            let (_, whole) = balancer.call("GET", path).await;
            pages.push_str(&format!(
                "== {of}: {path}\n{}\n",
                whole.replace("\r\n", "\n")
            ));
        }
        golden_files().assert_bytes("pages.txt", pages.as_bytes());
    });
}

/// Rows of `/admin/members`, one of each state.
fn member_rows() -> Vec<serde_json::Value> {
    let states = [
        ("alive", Some("127.0.0.1:7001"), 0),
        ("suspect", Some("[::1]:7002"), 12),
        ("failed", None, 13),
        ("left", Some("10.0.0.4:7004"), 1_u64 << 61),
    ];
    states
        .iter()
        .enumerate()
        .map(|(i, (state, address, incarnation))| {
            json!({"name": format!("b-{i}"), "address": address, "state": state,
                   "incarnation": incarnation, "since_ms": 100 + i})
        })
        .collect()
}

/// The body of `/admin/members`, with each word for a quorum status and a state. The types of its rows belong to another
/// crate, so that it is built from a text here and checked by its fields.
#[test]
fn the_members_page_is_as_pinned() {
    let rows = member_rows();
    let standings = [
        ("settling", QuorumStatus::Settling),
        ("whole", QuorumStatus::Whole),
        ("majority", QuorumStatus::Majority),
        ("minority", QuorumStatus::Minority),
        ("alone", QuorumStatus::Alone),
    ];
    let reports: Vec<_> = standings
        .iter()
        .enumerate()
        .map(|(i, (word, _))| {
            let rows = if i == 0 { &rows[..] } else { &[] };
            json!({"me": "b-0", "group": "g-1", "standing": word, "standing_since_ms": 21,
                   "digest": "00ff", "roster_differs": ["b-3"], "disagree_ms": 22, "namesake": i % 2 == 0,
                   "cordons": ["s-1", "s-2"], "members": rows})
        })
        .collect();
    let reports: Vec<Report> = serde_json::from_value(json!(reports)).unwrap();
    let read = through("members.json", &reports);
    assert_eq!(read, reports);
    for (i, (report, (_, standing))) in read.iter().zip(standings).enumerate() {
        assert_eq!(
            (report.name.as_str(), report.group.as_str()),
            ("b-0", "g-1")
        );
        assert_eq!((report.quorum, report.quorum_since_ms), (standing, 21));
        assert_eq!(
            (
                report.digest.as_str(),
                report.divergence_ms,
                report.name_conflict
            ),
            ("00ff", 22, i % 2 == 0)
        );
        assert_eq!(report.roster_differs, ["b-3"]);
        assert_eq!(report.cordons, ["s-1", "s-2"]);
    }
    let states: Vec<MemberState> = read[0].members.iter().map(|member| member.state).collect();
    assert_eq!(
        states,
        [
            MemberState::Alive,
            MemberState::Suspect,
            MemberState::Failed,
            MemberState::Left
        ]
    );
    let of = &read[0].members[1];
    assert_eq!(
        (of.name.as_str(), of.incarnation, of.since_ms, of.process_id),
        ("b-1", 12, 101, 0)
    );
    assert_eq!(of.address, Some("[::1]:7002".parse().unwrap()));
}

/// A view with a machine of each stage and of each kind.
fn view() -> View {
    let stages = [
        Stage::Waiting,
        Stage::Notified,
        Stage::Draining,
        Stage::Out,
        Stage::WarmingUp,
        Stage::Returned,
        Stage::Skipped,
    ];
    let rows: Vec<_> = stages
        .iter()
        .enumerate()
        .map(|(i, stage)| {
            let kind = ["cache", "balancer"][i % 2];
            let forced = if i == 1 { vec!["b-2", "b-3"] } else { vec![] };
            json!({"machine": format!("s-{i}"), "kind": kind, "stage": stage, "since_ms": 1_000 + i,
                   "forced": forced})
        })
        .collect();
    let machines = serde_json::from_value(json!(rows)).unwrap();
    let first = PlanView {
        plan: 17,
        author: text("ann"),
        reason: text("new kernel"),
        held: Some(text("storm")),
        dropped: false,
        machines,
    };
    let second = PlanView {
        plan: 18,
        author: text("bo"),
        reason: text("disks"),
        held: None,
        dropped: true,
        machines: vec![],
    };
    let history =
        json!([{"index": 31, "term": 32, "at_ms": 33, "author": "cy", "text": "plan 17 goes on"}]);
    View {
        fault: Some(text("the origin is short")),
        plans: vec![first, second],
        history: serde_json::from_value(history).unwrap(),
    }
}

/// The body of `/admin/maintenance`, with and without what may be missing.
#[test]
fn the_maintenance_page_is_as_pinned() {
    let agreement = Status {
        role: text("leads"),
        leader: Some(text("b-1")),
        term: 41,
        committed: 42,
        voters: vec![text("b-1"), text("b-2")],
        missing_voters: vec![text("b-3")],
    };
    let blocked = vec![BlockedMachine {
        plan: 17,
        machine: text("s-0"),
        reason: text("b-2 has not confirmed"),
    }];
    let full = PublishedView {
        balancer: text("b-1"),
        agreement,
        view: view(),
        blocked,
    };
    // The view of a state machine that has committed nothing.
    let none = PublishedView {
        balancer: text("b-1"),
        agreement: Status::default(),
        view: Maintenance::default().view(),
        blocked: vec![],
    };
    let both = vec![full, none];
    assert_eq!(through("maintenance.json", &both), both);
}

/// The view of a plan that was submitted and put on hold, with the words that `stairfront-maintenance` chooses.
#[test]
fn a_submitted_plan_is_shown_as_pinned() {
    let host = Host {
        name: text("s-1"),
        zone: text("z-1"),
        deduplication_group: 0,
        is_serving: true,
        started_ms: 0,
    };
    let other = Host {
        name: text("s-2"),
        ..host.clone()
    };
    let third = Host {
        name: text("s-3"),
        ..host.clone()
    };
    let (there, left, votes, leads, run) = (true, false, true, true, 5);
    let balancer = |name: &str| FleetBalancer {
        name: text(name),
        is_present: there,
        has_left: left,
        is_voter: votes,
        is_leader: leads,
        process_id: run,
    };
    let balancers = ["b-1", "b-2", "b-3"].map(balancer).to_vec();
    let fleet = Fleet {
        hosts: vec![host, other, third],
        balancers,
        fault: Some(text("storm")),
    };
    let plan = json!({"machines": ["s-1", "b-1"], "reason": "new kernel", "author": "ann"});
    let plan = serde_json::from_value(plan).unwrap();
    let words = [
        CommandKind::Fleet(fleet),
        CommandKind::Submit(plan),
        CommandKind::Hold {
            plan: 2,
            reason: text("wait"),
        },
    ];
    let mut maintenance = Maintenance::default();
    for (i, what) in (1..).zip(words) {
        let (via, author) = (text("b-1"), text("ann"));
        let command = Command {
            id: i,
            at_ms: 10 + i,
            term: 7,
            via,
            author,
            kind: what,
        };
        assert_eq!(maintenance.apply(i, 7, &command.encode()), Some(i));
        assert_eq!(maintenance.outcome(i).unwrap().result, Ok(i));
    }
    let view = maintenance.view();
    assert_eq!(through("posted.json", &view), view);
}

/// Plans as operators submit them, with all keys and with as few as possible.
#[test]
fn plans_have_the_pinned_form() {
    let plan = Plan {
        machines: vec![text("s-1"), text("b-2")],
        zones: vec![text("z-1")],
        kinds: vec![text("caches")],
        max_out: 2,
        availability: AvailabilityBudget {
            zone: 0.25,
            fleet: 0.75,
        },
        completed_by: CompletedBy::Restart,
        confirm_timeout_s: 51,
        drain_timeout_s: 52,
        work_timeout_s: 53,
        warm_up_timeout_s: 54,
        reason: text("new kernel"),
        author: text("ann"),
    };
    let short: Plan = serde_json::from_value(json!({"reason": "disks", "author": "bo"})).unwrap();
    assert_eq!(
        (short.max_out, short.completed_by, short.confirm_timeout_s),
        (1, CompletedBy::Operator, 60)
    );
    let both = vec![plan, short];
    assert_eq!(through("plans.json", &both), both);
}

/// The answer to a committed command, and to a plan that is only tried.
#[test]
fn answers_to_plans_have_the_pinned_form() {
    let settled = CommittedCommand {
        via: text("b-2"),
        leader: Some(text("b-1")),
        index: 61,
        term: 62,
    };
    let dry_run = DryRun {
        order: vec![text("s-1"), text("s-2")],
        rounds: 71,
        max_seconds: 72,
    };
    let both = (settled, dry_run);
    assert_eq!(through("answers.json", &both), both);
}

/// Members of a group exchange these by postcard, beside the Raft messages: builds before and after must read each other.
#[test]
fn side_messages_between_members_have_the_pinned_form() {
    let host = || text("s-7");
    let blocked = BlockedMachine {
        plan: 300,
        machine: text("s-7"),
        reason: text("not quiet at b-2"),
    };
    let cases = [
        (
            "is quiet",
            SideEvent::QuietQuery {
                host: host(),
                entry: 129,
            },
        ),
        (
            "quiet",
            SideEvent::QuietReport {
                host: host(),
                entry: u64::MAX,
            },
        ),
        ("no waits", SideEvent::BlockedMachines(Vec::new())),
        ("waits", SideEvent::BlockedMachines(vec![blocked])),
    ];
    golden_files().assert_postcard("side_messages.hex", &cases);
}

#[test]
fn ids_shared_in_an_upgrade_have_the_pinned_form() {
    let folder = memory_folder();
    let files = IdLogFiles::within(Some(folder.path()), "b0");
    assert!(
        files.open(UpgradeSide::Successor).is_none(),
        "a version without these files leaves none"
    );
    let mut old = files.open(UpgradeSide::Predecessor).unwrap();
    let mut new = files.open(UpgradeSide::Successor).unwrap();
    old.append(IdHash::of(b"9b1f03aa5c7e2d41")).unwrap();
    assert_eq!(new.read_new(), [IdHash::of(b"9b1f03aa5c7e2d41")]);
    assert_eq!(new.read_new(), []);
    let path = folder.path().join("stairfront-ids-v1-aa2db7d6db9211ce.old");
    let bytes = std::fs::read(&path).unwrap();
    assert_eq!(bytes, [94, 29, 33, 13, 75, 120, 174, 78]);
    files.remove();
    assert!(!path.exists());
}

/// A claim is a lock on one byte, at a quarter of the hash of the id.
#[test]
fn claims_of_open_ids_have_the_pinned_form() {
    let folder = memory_folder();
    let files = IdLogFiles::within(Some(folder.path()), "b0");
    assert!(
        files.open_locks(UpgradeSide::Successor).is_none(),
        "a build without this file leaves none"
    );
    let old = files.open_locks(UpgradeSide::Predecessor).unwrap();
    assert!(old.claim(IdHash::of(b"9b1f03aa5c7e2d41")).unwrap());
    let path = folder
        .path()
        .join("stairfront-ids-v1-aa2db7d6db9211ce.open");
    let other = std::fs::File::open(&path).unwrap();
    let hash = u64::from_le_bytes([94, 29, 33, 13, 75, 120, 174, 78]);
    let mut found = libc::flock {
        l_type: libc::F_RDLCK as libc::c_short,
        l_whence: libc::SEEK_SET as libc::c_short,
        l_start: 0,
        l_len: 0,
        l_pid: 0,
    };
    fcntl(&other, FcntlArg::F_OFD_GETLK(&mut found)).unwrap();
    assert_eq!(i32::from(found.l_type), libc::F_WRLCK);
    assert_eq!((found.l_start as u64, found.l_len), (hash / 4, 1));
    files.remove();
    assert!(!path.exists());
}
