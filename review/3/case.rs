//! An upgrade while discovery is down: the new process starts from the known list of its file.
#[path = "../common/kit.rs"]
mod kit;
use kit::*;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Instant;

/// How long discovery is down.
const DOWN_MS: u64 = 8000;
/// `rules.stop_sending_within`, and what sockets add.
const GRACE_MS: u64 = 250 + 50;
/// Discovery's news counts as told to the new process so long after its yes.
const TOLD_AFTER_YES_MS: u64 = 2000;

fn main() {
    let case = Case::open();
    let record = case.record.clone();
    let hosts = Hosts::new(&record, |_| Act::Serve(ms(5)));
    let mut entries: Vec<Endpoint> = ["s-1", "s-2", "s-3"]
        .map(|name| Endpoint::serving(name, hosts.start(name)))
        .to_vec();
    entries.push(Endpoint::origin("ledger", start_origin(&record)));
    let agent = Agent::new(&record, 41, &entries);
    let deployment = Deployment {
        name: "n1".into(),
        listen: free_address(),
        discovery: Some(agent.start()),
        ops: Some(free_address()),
        known: list_json(41, true, &entries),
        profiles: "[{\"name\":\"seat-lookup\",\"semantics\":\"free\",\"aim\":750.0,\"deadline\":1500.0,\"worth\":1.0}]".into(),
        most_tries: 3,
        family: ASIDE.into(),
    };
    let listen = deployment.listen;
    let Ok(mut old) = Balancer::start(&case, "old", listen, &deployment.json(), &[]) else {
        case.finish(COULD_NOT_RUN, "the balancer does not start");
    };
    if !old.wait_ready(ms(10_000)) {
        case.finish(COULD_NOT_RUN, "the balancer is not ready");
    }
    let stop = flag();
    let traffic = {
        let (stop, record) = (stop.clone(), record.clone());
        thread::spawn(move || send_reads(listen, "c=seat-lookup,t=acme,d=1500", &stop, &record))
    };
    thread::sleep(ms(1500));
    let before = hosts.all().iter().filter(|got| got.host == "s-1").count();
    let told_at = agent.change(Endpoint {
        status: "DRAINING".into(),
        ..entries[0].clone()
    });
    thread::sleep(ms(1500));
    let kept = !hosts
        .all()
        .iter()
        .any(|got| got.host == "s-1" && got.first_at > told_at + ms(GRACE_MS));
    if trouble() {
        record.note(format!("discovery is down for {DOWN_MS} ms"));
        agent.down.store(true, Ordering::SeqCst);
    }
    let down_at = Instant::now();
    thread::sleep(ms(500));

    // `run` starts a second time beside the running process: same addresses, another second address, a common $TMPDIR.
    let door = free_address();
    let started = Balancer::start(
        &case,
        "new",
        listen,
        &deployment.json(),
        &[("ROUTER_OPS", &door.to_string())],
    );
    let Ok(mut new) = started else {
        case.finish(COULD_NOT_RUN, "the new process does not start");
    };
    let asked_at = Instant::now();
    while !ask_operators(door, "GET", "/admin/health", &record) {
        if asked_at.elapsed() > ms(6000) || new.has_ended() {
            case.finish(COULD_NOT_RUN, "the new process does not say yes");
        }
        thread::sleep(ms(50));
    }
    let due = Instant::now() + ms(TOLD_AFTER_YES_MS + GRACE_MS);
    old.signal("TERM");
    sleep_until(down_at + ms(DOWN_MS));
    agent.down.store(false, Ordering::SeqCst);
    record.note("discovery is there");
    thread::sleep(ms(1500));
    stop.store(true, Ordering::SeqCst);
    let served = traffic.join().unwrap_or(0);
    old.note_log(&["successor", "stopping"]);
    new.note_log(&["predecessor", "discovery"]);
    let (old_ended, alive) = (old.has_ended(), !new.has_ended());
    old.kill();
    new.kill();
    let after = |at: Instant| {
        hosts
            .all()
            .into_iter()
            .filter(|got| got.host == "s-1" && got.first_at > at)
            .count()
    };
    let (again, late) = (after(told_at + ms(GRACE_MS)), after(due));
    record.note(format!(
        "{served} requests served; s-1 got {before} attempts before the drain, {again} after its grace, {late} of them later than {} ms after the yes",
        TOLD_AFTER_YES_MS + GRACE_MS
    ));
    if before == 0 || served < 50 || !kept || !old_ended || !alive {
        case.finish(
            COULD_NOT_RUN,
            "the balancer did not serve as it should in calm times",
        );
    }
    if late > 0 {
        let text = format!("{late} attempts reached s-1 long after the balancer was told of its drain, {} ms and more after the yes", TOLD_AFTER_YES_MS + GRACE_MS);
        case.finish(BROKEN, &text);
    }
    case.finish(HELD, "nothing new reached s-1 after its grace");
}
