//! Discovery is slow: each answer comes 1.5 s after its call, or after its wait is over.
#[path = "../common/kit.rs"]
mod kit;
use kit::*;
use std::sync::atomic::Ordering;
use std::thread;

/// How late a slow answer comes.
const SLOW_MS: u64 = 1500;
/// What discovery has to tell counts as told so long after it had it, at the latest.
const TOLD_MS: u64 = 6000;
/// `rules.stop_sending_within`, and what sockets add.
const GRACE_MS: u64 = 250 + 50;
/// How much longer the run looks on.
const WATCHED_MS: u64 = 6000;

fn main() {
    let case = Case::open();
    let record = case.record.clone();
    let hosts = Hosts::new(&record, |_| Act::Serve(ms(5)));
    let mut entries: Vec<Endpoint> = ["s-1", "s-2", "s-3"]
        .map(|name| Endpoint::serving(name, hosts.start(name)))
        .to_vec();
    entries.push(Endpoint::origin("ledger", start_origin(&record)));
    let agent = Agent::new(&record, 41, &entries);
    if trouble() {
        *agent.delay.lock().unwrap() = ms(SLOW_MS);
        record.note(format!("discovery answers each call {SLOW_MS} ms late"));
    }
    let deployment = Deployment {
        name: "n1".into(),
        listen: free_address(),
        discovery: Some(agent.start()),
        ops: None,
        known: list_json(41, true, &entries),
        profiles: "[{\"name\":\"seat-lookup\",\"semantics\":\"free\",\"aim\":750.0,\"deadline\":1500.0,\"worth\":1.0}]".into(),
        most_tries: 3,
        family: ASIDE.into(),
    };
    let listen = deployment.listen;
    let Ok(mut balancer) = Balancer::start(&case, "n1", listen, &deployment.json(), &[]) else {
        case.finish(COULD_NOT_RUN, "the balancer does not start");
    };
    if !balancer.wait_ready(ms(10_000)) {
        case.finish(COULD_NOT_RUN, "the balancer is not ready");
    }
    let stop = flag();
    let traffic = {
        let (stop, record) = (stop.clone(), record.clone());
        thread::spawn(move || send_reads(listen, "c=seat-lookup,t=acme,d=1500", &stop, &record))
    };
    thread::sleep(ms(5000));
    let had_at = agent.change(Endpoint {
        status: "DRAINING".into(),
        ..entries[0].clone()
    });
    let due = had_at + ms(TOLD_MS + GRACE_MS);
    sleep_until(due + ms(WATCHED_MS));
    stop.store(true, Ordering::SeqCst);
    let served = traffic.join().unwrap_or(0);
    balancer.note_log(&["discovery"]);
    let alive = !balancer.has_ended();
    balancer.kill();
    let got: Vec<Got> = hosts
        .all()
        .into_iter()
        .filter(|got| got.host == "s-1")
        .collect();
    let before = got.iter().filter(|got| got.first_at < had_at).count();
    let late = got.iter().filter(|got| got.first_at > due).count();
    record.note(format!("{served} requests served; s-1 got {before} attempts before the drain and {late} after its grace"));
    if before == 0 || served < 50 || !alive {
        case.finish(
            COULD_NOT_RUN,
            "the balancer did not serve as it should in calm times",
        );
    }
    if late > 0 {
        let text = format!(
            "{late} attempts reached s-1 later than {} ms after discovery had its drain",
            TOLD_MS + GRACE_MS
        );
        case.finish(BROKEN, &text);
    }
    case.finish(HELD, "nothing new reached s-1 after its grace");
}
