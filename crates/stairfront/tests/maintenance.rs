//! Balancer processes that commit maintenance plans, with faults between them. Whether a host is out of service is judged
//! by the requests that reach it, not by what a balancer reports.

use std::path::{Path, PathBuf};
use std::time::Duration;

use serde_json::{json, Value};
use stairfront_test_support::loopback::{ms, run_within};
use stairfront_test_support::loopback::{AdminAnswer, BalancerGroup};
use tokio::time::{sleep, Instant};

/// Time limit of a test.
const TEST_TIMEOUT: Duration = Duration::from_secs(90);
/// Time limit of a step that the whole group takes.
const STEP_TIMEOUT: Duration = Duration::from_secs(30);
/// Time limit within which a voter with a new store is a voter again.
const VOTER_TIMEOUT: Duration = Duration::from_secs(25);
/// Number of voters; the other members only apply what is committed.
const VOTERS: usize = 3;
const PLANS_PATH: &str = "/admin/maintenance";
/// Length of the first page of a voter's store file.
const STORE_PAGE_BYTES: usize = 4096;

/// Starts a group of which the first three vote, with stores on disk if `has_disk`.
async fn start_group(name: &str, count: usize, has_disk: bool) -> BalancerGroup {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    BalancerGroup::start_with(name, count, |member, configuration| {
        configuration["agreement"] = json!({"voters": ["b0", "b1", "b2"]});
        if has_disk && member < VOTERS {
            let file = format!("{name}-{member}-{}.redb", std::process::id());
            let path = directory.join(file);
            let _ = std::fs::remove_file(&path);
            configuration["agreement"]["store"] = json!(path);
        }
    })
    .await
}

/// Plans and consensus state as a member publishes them.
async fn maintenance_view(group: &BalancerGroup, member: usize) -> Value {
    group.call(member, "GET", PLANS_PATH).await.json()
}

/// The leader that a member knows of.
async fn leader(group: &BalancerGroup, member: usize) -> Option<usize> {
    let view = maintenance_view(group, member).await;
    view["agreement"]["leader"].as_str()?[1..].parse().ok()
}

/// Waits until a member knows a leader and has entries committed; returns the leader.
async fn wait_for_leader(group: &BalancerGroup, member: usize) -> usize {
    let start = Instant::now();
    loop {
        assert!(
            start.elapsed() < STEP_TIMEOUT,
            "no leader for 30 s: {:#}",
            maintenance_view(group, member).await
        );
        if let Some(leader) = leader(group, member).await {
            let view = maintenance_view(group, member).await;
            if view["agreement"]["settled"].as_u64() > Some(2) {
                return leader;
            }
        }
        sleep(ms(30)).await;
    }
}

/// Waits until a member knows a leader other than this one.
async fn wait_for_other_leader(group: &BalancerGroup, member: usize, old: usize) {
    while leader(group, member).await.is_none_or(|new| new == old) {
        sleep(ms(30)).await;
    }
}

async fn post(group: &BalancerGroup, member: usize, path: &str, body: &str) -> AdminAnswer {
    let length = body.len();
    let request = format!("POST {path} HTTP/1.1\r\nContent-Length: {length}\r\n\r\n{body}");
    group.send(member, &request).await
}

fn plan(machines: &[&str]) -> Value {
    json!({
        "machines": machines,
        "stay": {"zone": 0.5, "whole": 0.5},
        "reason": "new disks",
        "author": "ann",
    })
}

/// Submits a plan until it is committed, since a group between two leaders answers 503. Returns the plan's number.
async fn submit_plan(group: &BalancerGroup, member: usize, plan: &Value) -> u64 {
    loop {
        let answer = post(group, member, PLANS_PATH, &plan.to_string()).await;
        match answer.status {
            200 => return answer.json()["index"].as_u64().unwrap(),
            503 => sleep(ms(100)).await,
            status => panic!("{status} {}", answer.text),
        }
    }
}

/// Changes a plan, with retries while the group cannot commit; returns the final status.
async fn change_plan(group: &BalancerGroup, member: usize, verb: &str, query: &str) -> u16 {
    let start = Instant::now();
    loop {
        assert!(
            start.elapsed() < STEP_TIMEOUT,
            "{verb} not committed for 30 s: {:#}",
            maintenance_view(group, member).await
        );
        let path = format!("{PLANS_PATH}/{verb}?author=bob&{query}");
        match post(group, member, &path, "").await.status {
            503 => sleep(ms(100)).await,
            status => return status,
        }
    }
}

/// Reports to a member that the work at a machine is finished.
async fn finish_machine(group: &BalancerGroup, member: usize, number: u64, machine: &str) {
    let query = format!("plan={number}&machine={machine}");
    assert_eq!(change_plan(group, member, "done", &query).await, 200);
}

/// A machine's stage in the latest plan that has it, as a member publishes it; empty if no plan has it.
async fn machine_stage(group: &BalancerGroup, member: usize, machine: &str) -> String {
    let view = maintenance_view(group, member).await;
    let plans = view["plans"].as_array().unwrap().iter().rev();
    let mut machines = plans.flat_map(|plan| plan["machines"].as_array().unwrap());
    let found = machines.find(|entry| entry["machine"] == *machine);
    found.map_or(String::new(), |entry| {
        entry["stage"].as_str().unwrap().to_string()
    })
}

async fn wait_for_stage(group: &BalancerGroup, member: usize, machine: &str, stage: &str) {
    let start = Instant::now();
    while machine_stage(group, member, machine).await != stage {
        assert!(
            start.elapsed() <= STEP_TIMEOUT,
            "{machine} not {stage} at b{member} after 30 s: {:#}",
            maintenance_view(group, member).await
        );
        sleep(ms(30)).await;
    }
}

/// Each error is reported by its key, and nothing is committed.
async fn assert_invalid_plans_are_rejected(group: &BalancerGroup, member: usize) {
    let invalid = [
        (
            json!({"machines": ["s-9"], "reason": "r", "author": "a"}),
            "machines[0]: nobody knows",
        ),
        (
            json!({"machines": ["s-1"], "reason": "r", "author": "a"}),
            "stay.whole: without s-1, 1 of 2",
        ),
        (
            json!({"kinds": ["balancers"], "at_once": 2, "reason": "r", "author": "a"}),
            "at_once: 2 of 3 voters",
        ),
        (
            json!({"machines": [], "reason": "r", "author": "a"}),
            "machines: none",
        ),
    ];
    for (plan, error) in invalid {
        let plan = plan.to_string();
        let mut answer = post(group, member, PLANS_PATH, &plan).await;
        // The list of servers is not committed yet.
        while answer.status == 503 {
            sleep(ms(50)).await;
            answer = post(group, member, PLANS_PATH, &plan).await;
        }
        let AdminAnswer { status, text } = answer;
        assert!(status == 409 && text.contains(error), "{status} {text}");
    }
    let AdminAnswer { status, text } = post(group, member, PLANS_PATH, r#"{"machine":[]}"#).await;
    assert!(
        status == 400 && text.contains("unknown field `machine`"),
        "{text}"
    );
}

/// Waits until a host is out, while the other one has this stage, checks that no member uses it, and finishes the work at
/// it.
async fn assert_machine_is_serviced(
    group: &BalancerGroup,
    number: u64,
    machine: &str,
    other_stage: &str,
) {
    wait_for_stage(group, 3, machine, "out").await;
    for member in 0..5 {
        let salt = format!("{machine}-{member}");
        let requests = group.send_to_all_hosts(member, &salt).await;
        let (to_machine, to_other) = if machine == "s-1" {
            (requests.first, requests.second)
        } else {
            (requests.second, requests.first)
        };
        assert!(
            to_machine == 0 && to_other > 0,
            "b{member} used {machine}, which is out: {requests:?}"
        );
    }
    let other = if machine == "s-1" { "s-2" } else { "s-1" };
    assert_eq!(machine_stage(group, 2, other).await, other_stage);
    // An uncordon by an operator, at one member or for the group, would have the host used while it is worked on.
    for scope in ["?scope=group", ""] {
        let path = format!("/admin/uncordon/{machine}{scope}");
        assert_eq!(group.post(1, &path).await.status, 409, "{path}");
    }
    finish_machine(group, 1, number, machine).await;
    wait_for_stage(group, 3, machine, "back").await;
}

#[test]
fn a_host_in_maintenance_is_used_by_no_member_and_hosts_are_taken_out_one_by_one() {
    run_within(TEST_TIMEOUT, async {
        let group = start_group("plan", 5, true).await;
        group.wait_until_complete().await;
        wait_for_leader(&group, 4).await;
        assert_invalid_plans_are_rejected(&group, 4).await;
        let plan = plan(&["s-1", "s-2"]);
        let dry_run = post(&group, 4, "/admin/maintenance/dry-run", &plan.to_string()).await;
        let order = dry_run.json()["order"].as_array().unwrap().len();
        assert_eq!((dry_run.status, order), (200, 2));
        let number = submit_plan(&group, 4, &plan).await;
        assert_machine_is_serviced(&group, number, "s-1", "waiting").await;
        assert_machine_is_serviced(&group, number, "s-2", "back").await;
        // A finished step cannot be finished again, and all members have the same history.
        let query = format!("plan={number}&machine=s-1");
        assert_eq!(change_plan(&group, 0, "done", &query).await, 409);
        let history = maintenance_view(&group, 0).await["history"].clone();
        assert!(history.as_array().unwrap().len() >= 11, "{history}");
        for member in 1..5 {
            while maintenance_view(&group, member).await["history"] != history {
                sleep(ms(30)).await;
            }
        }
    });
}

/// Every member uses the first host and not the second.
async fn assert_only_first_host_is_used(group: &BalancerGroup, member: usize, salt: &str) {
    let requests = group
        .send_to_all_hosts(member, &format!("{salt}-{member}"))
        .await;
    assert!(
        requests.first > 0 && requests.second == 0,
        "b{member}, {salt}: {requests:?}"
    );
}

/// A leader that was stopped and continues still takes itself for the leader, and the first host for out of service.
#[test]
fn a_stopped_leader_and_a_kill_of_all_members_change_nothing_of_what_is_out() {
    run_within(TEST_TIMEOUT, async {
        let mut group = start_group("leader", 5, true).await;
        group.wait_until_complete().await;
        let old_leader = wait_for_leader(&group, 4).await;
        let number = submit_plan(&group, 3, &plan(&["s-1", "s-2"])).await;
        wait_for_stage(&group, 4, "s-1", "out").await;
        group.process(old_leader).signal("-STOP");
        wait_for_other_leader(&group, 4, old_leader).await;
        // The plan goes on, but takes nothing more out: the stopped member may still send to the next host.
        finish_machine(&group, 4, number, "s-1").await;
        wait_for_stage(&group, 4, "s-1", "back").await;
        sleep(ms(1500)).await;
        assert_eq!(machine_stage(&group, 4, "s-2").await, "waiting");
        group.process(old_leader).signal("-CONT");
        wait_for_stage(&group, 4, "s-2", "out").await;
        for member in 0..5 {
            wait_for_stage(&group, member, "s-2", "out").await;
            assert_eq!(machine_stage(&group, member, "s-1").await, "back");
            assert_only_first_host_is_used(&group, member, "woke").await;
        }
        // All members are killed in the middle of a step and start with their files, but for one without its cordons.
        (0..5).for_each(|member| group.kill(member, member == 4));
        (0..5).for_each(|member| group.spawn(member));
        for member in 0..5 {
            group.process(member).wait_until_healthy().await;
            assert_only_first_host_is_used(&group, member, "again").await;
        }
        wait_for_leader(&group, 3).await;
        finish_machine(&group, 3, number, "s-2").await;
        wait_for_stage(&group, 3, "s-2", "back").await;
    });
}

/// Waits until a member has caught up as a voter, up to this entry.
async fn wait_until_promoted(group: &BalancerGroup, member: usize, index: u64) {
    loop {
        let agreement = maintenance_view(group, member).await["agreement"].clone();
        if agreement["role"] != "learns" && agreement["settled"].as_u64() >= Some(index) {
            return;
        }
        sleep(ms(50)).await;
    }
}

#[test]
fn a_voter_that_lost_its_store_joins_as_a_new_voter() {
    run_within(TEST_TIMEOUT, async {
        let mut group = start_group("life", 3, false).await;
        group.wait_until_complete().await;
        wait_for_leader(&group, 0).await;
        let number = submit_plan(&group, 1, &plan(&["s-1"])).await;
        wait_for_stage(&group, 1, "s-1", "out").await;
        // Its votes were in memory and are lost, so it must not continue as the same voter.
        group.kill(2, true);
        group.spawn(2);
        group.process(2).wait_until_healthy().await;
        wait_until_promoted(&group, 2, number).await;
        assert_eq!(group.send_to_all_hosts(2, "new").await.first, 0);
        finish_machine(&group, 2, number, "s-1").await;
        wait_for_stage(&group, 1, "s-1", "back").await;
        // A member that does not block the step cannot be passed over by force.
        let number = submit_plan(&group, 1, &plan(&["s-2"])).await;
        wait_for_stage(&group, 1, "s-2", "out").await;
        let query = format!("plan={number}&machine=s-2&member=b2");
        assert_eq!(change_plan(&group, 1, "force", &query).await, 409);
        // A dropped plan must not return a host to service that is being worked on.
        let query = format!("plan={number}");
        assert_eq!(change_plan(&group, 0, "drop", &query).await, 200);
        assert_eq!(machine_stage(&group, 0, "s-2").await, "out");
        assert_eq!(group.send_to_all_hosts(1, "dropped").await.second, 0);
        finish_machine(&group, 0, number, "s-2").await;
        wait_for_stage(&group, 0, "s-2", "back").await;
    });
}

/// A fault of a voter's disk.
#[derive(Clone, Copy)]
enum DiskFault {
    Full,
    Corrupt,
}

impl DiskFault {
    fn as_str(self) -> &'static str {
        match self {
            DiskFault::Full => "full",
            DiskFault::Corrupt => "corrupt",
        }
    }

    /// The reason that the voter's role states.
    fn reason(self) -> &'static str {
        match self {
            DiskFault::Full => "the disk is full or gone",
            DiskFault::Corrupt => "is spoilt",
        }
    }

    /// Changes the store of a voter that is not running.
    fn apply_to(self, store: &Path) {
        match self {
            DiskFault::Full => std::fs::remove_file(store).unwrap(),
            DiskFault::Corrupt => flip_bits(store),
        }
    }

    /// Largest file that the voter can write, in blocks.
    fn max_file_blocks(self) -> Option<u32> {
        match self {
            DiskFault::Full => Some(64),
            DiskFault::Corrupt => None,
        }
    }
}

/// Flips bits all over a store but in its first page.
fn flip_bits(store: &Path) {
    let mut bytes = std::fs::read(store).unwrap();
    let corrupt = bytes.iter_mut().skip(STORE_PAGE_BYTES).step_by(97);
    corrupt.for_each(|byte| *byte ^= 0x10);
    std::fs::write(store, bytes).unwrap();
}

async fn role(group: &BalancerGroup, member: usize) -> String {
    let view = maintenance_view(group, member).await;
    view["agreement"]["role"].as_str().unwrap().to_string()
}

async fn wait_until_voting(group: &BalancerGroup, member: usize) {
    let start = Instant::now();
    while !matches!(&role(group, member).await[..], "follows" | "leads") {
        assert!(
            start.elapsed() < VOTER_TIMEOUT,
            "{:#}",
            maintenance_view(group, member).await["agreement"]
        );
        sleep(ms(50)).await;
    }
}

/// The third voter has a faulty disk, serves clients and confirms a step, and is a voter again with a new store.
async fn assert_faulty_disk_is_survived(group: &mut BalancerGroup, fault: DiskFault, store: &Path) {
    let name = fault.as_str();
    group.kill(2, false);
    fault.apply_to(store);
    group.spawn_with_file_limit(2, fault.max_file_blocks());
    group.process(2).wait_until_healthy().await;
    while !role(group, 2).await.contains(fault.reason()) {
        sleep(ms(30)).await;
    }
    let requests = group.send_to_all_hosts(2, name).await;
    assert!(requests.first > 0, "it serves: {requests:?}");
    // The two others are a majority. A step needs the third only as a balancer, which confirms the cordon.
    let number = submit_plan(group, 0, &plan(&["s-1"])).await;
    wait_for_stage(group, 0, "s-1", "out").await;
    let requests = group.send_to_all_hosts(2, &format!("{name}-out")).await;
    assert_eq!(requests.first, 0, "the host is out at this member too");
    finish_machine(group, 0, number, "s-1").await;
    wait_for_stage(group, 0, "s-1", "back").await;
    // The remedy of the on-call page: remove the store and start again.
    group.kill(2, false);
    let _ = std::fs::remove_file(store);
    group.spawn(2);
    group.process(2).wait_until_healthy().await;
    wait_until_voting(group, 2).await;
}

/// A voter that promises what its disk does not hold could vote twice, and one that exits because of its disk serves
/// nobody.
#[test]
fn a_voter_with_a_full_or_corrupt_disk_serves_reports_it_and_votes_again_with_a_new_store() {
    run_within(TEST_TIMEOUT, async {
        let mut group = start_group("disk", 3, true).await;
        group.wait_until_complete().await;
        wait_for_leader(&group, 0).await;
        let store = group.configurations[2]["agreement"]["store"].as_str();
        let store = PathBuf::from(store.unwrap());
        for fault in [DiskFault::Full, DiskFault::Corrupt] {
            assert_faulty_disk_is_survived(&mut group, fault, &store).await;
        }
    });
}
