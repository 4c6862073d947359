//! A new configuration that is short of the key `key_ttl` of a guarded class, and gives another class another effect.
#[path = "../common/kit.rs"]
mod kit;
use kit::*;
use std::collections::BTreeMap;
use std::thread;

fn profiles(key_ttl: &str, topup: &str) -> String {
    format!(
        concat!(
            "[{{\"name\":\"template-read\",\"semantics\":\"free\",\"aim\":800.0,\"deadline\":2000.0,\"worth\":5.0}},",
            "{{\"name\":\"optout-set\",\"semantics\":\"guarded\",\"group\":\"all\",{}\"aim\":750.0,\"deadline\":1500.0,\"worth\":2.0}},",
            "{{\"name\":\"credit-topup\",\"semantics\":\"{}\",\"aim\":1200.0,\"deadline\":4000.0,\"worth\":2.0}}]"
        ),
        key_ttl, topup
    )
}

fn main() {
    let case = Case::open();
    let record = case.record.clone();
    // A cache host runs a top-up and answers it with an error: it may have run. Both kinds of run have these.
    let hosts = Hosts::new(&record, |got| {
        if got.verb == "C.SET" {
            Act::Fail
        } else {
            Act::Serve(ms(5))
        }
    });
    let entries: Vec<Endpoint> = ["s-1", "s-2", "s-3"]
        .map(|name| Endpoint::serving(name, hosts.start(name)))
        .to_vec();
    let agent = Agent::new(&record, 41, &entries);
    let mut deployment = Deployment {
        name: "n1".into(),
        listen: free_address(),
        discovery: Some(agent.start()),
        ops: None,
        known: list_json(41, true, &entries),
        profiles: profiles("\"key_ttl\":7500.0,", "single_shot"),
        most_tries: 6,
        family: THROUGH.into(),
    };
    let whole = deployment.json();
    deployment.profiles = profiles("", "free");
    let short = deployment.json();
    let listen = deployment.listen;
    let Ok(mut balancer) = Balancer::start(&case, "n1", listen, &whole, &[]) else {
        case.finish(COULD_NOT_RUN, "the balancer does not start");
    };
    if !balancer.wait_ready(ms(10_000)) {
        case.finish(COULD_NOT_RUN, "the balancer is not ready");
    }
    thread::sleep(ms(1200));
    let file = if trouble() { &short } else { &whole };
    if replace_file(&balancer.config, file).is_err() {
        case.finish(COULD_NOT_RUN, "the file cannot be replaced");
    }
    let key = if trouble() {
        "without key_ttl of optout-set, with credit-topup as free"
    } else {
        "whole, as it was"
    };
    record.note(format!(
        "platform: the file of the configuration is replaced, {key}"
    ));
    balancer.signal("HUP");
    thread::sleep(ms(1500));

    let mut answers = 0;
    for i in 0..8 {
        let Ok(mut client) = Client::connect(listen) else {
            continue;
        };
        let (key, id) = (format!("{i:016x}"), format!("topup-{i:02}"));
        let sent = client.send(&[
            b"C.SET",
            key.as_bytes(),
            id.as_bytes(),
            b"c=credit-topup,t=acme,d=4000",
            b"10 EUR",
        ]);
        match sent.and_then(|()| client.read(ms(5000))) {
            Ok(reply) => {
                answers += 1;
                record.note(format!("client: {id} answered {}", reply.text()));
            }
            Err(error) => record.note(format!("client: {id} not answered ({:?})", error.kind())),
        }
        thread::sleep(ms(300));
    }
    balancer.note_log(&["configuration", "settings"]);
    balancer.kill();
    let mut runs: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for got in hosts.all() {
        runs.entry(got.id).or_default().push(got.host);
    }
    if answers < 8 || runs.is_empty() {
        case.finish(
            COULD_NOT_RUN,
            "the balancer did not answer as it should in calm times",
        );
    }
    let twice: Vec<String> = runs
        .iter()
        .filter(|(_, at)| at.len() > 1)
        .map(|(id, at)| format!("{id} at {}", at.join(" and ")))
        .collect();
    for line in &twice {
        record.note(format!("run more than once: {line}"));
    }
    if !twice.is_empty() {
        case.finish(
            BROKEN,
            &format!(
                "{} of 8 top-ups, which must never run twice, ran more than once",
                twice.len()
            ),
        );
    }
    case.finish(HELD, "no top-up ran more than once");
}
