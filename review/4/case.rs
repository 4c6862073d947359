//! A new configuration that is short of the key `discovery`.
#[path = "../common/kit.rs"]
mod kit;
use kit::*;
use std::sync::atomic::Ordering;
use std::thread;

/// `rules.stop_sending_within`, and what sockets add.
const GRACE_MS: u64 = 250 + 50;

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
        ops: None,
        known: list_json(41, true, &entries),
        profiles: "[{\"name\":\"seat-lookup\",\"semantics\":\"free\",\"aim\":750.0,\"deadline\":1500.0,\"worth\":1.0}]".into(),
        most_tries: 3,
        family: ASIDE.into(),
    };
    let (listen, whole) = (deployment.listen, deployment.json());
    let short = Deployment {
        discovery: None,
        ..deployment
    }
    .json();
    let Ok(mut balancer) = Balancer::start(&case, "n1", listen, &whole, &[]) else {
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
    thread::sleep(ms(1500));
    let before = hosts.all().iter().filter(|got| got.host == "s-1").count();
    let told_at = agent.change(Endpoint {
        status: "DRAINING".into(),
        ..entries[0].clone()
    });
    thread::sleep(ms(2000));
    let file = if trouble() { &short } else { &whole };
    if replace_file(&balancer.config, file).is_err() {
        case.finish(COULD_NOT_RUN, "the file cannot be replaced");
    }
    let key = if trouble() {
        "without the key discovery"
    } else {
        "whole, as it was"
    };
    record.note(format!(
        "platform: the file of the configuration is replaced, {key}"
    ));
    balancer.signal("HUP");
    thread::sleep(ms(5000));
    stop.store(true, Ordering::SeqCst);
    let served = traffic.join().unwrap_or(0);
    balancer.note_log(&["configuration", "settings"]);
    let alive = !balancer.has_ended();
    balancer.kill();
    let late = hosts
        .all()
        .into_iter()
        .filter(|got| got.host == "s-1" && got.first_at > told_at + ms(GRACE_MS))
        .count();
    record.note(format!("{served} requests served; s-1 got {before} attempts before the drain and {late} after its grace"));
    if before == 0 || served < 50 || !alive {
        case.finish(
            COULD_NOT_RUN,
            "the balancer did not serve as it should in calm times",
        );
    }
    if late > 0 {
        case.finish(
            BROKEN,
            &format!(
                "{late} attempts reached s-1 later than {GRACE_MS} ms after it was told to drain"
            ),
        );
    }
    case.finish(HELD, "nothing new reached s-1 after its grace");
}
