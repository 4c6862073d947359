//! Clients send many commands at once, the cache hosts hang, and the balancer is told to end.
#[path = "../common/kit.rs"]
mod kit;
use kit::*;
use std::collections::BTreeSet;
use std::thread;
use std::time::Instant;

/// Commands that the client sends at once.
const COMMANDS: usize = 32;
/// The class's deadline, and how long the client waits.
const DEADLINE_MS: u64 = 2000;

fn main() {
    let case = Case::open();
    let record = case.record.clone();
    // All serve at first, and half of them hang later, through the whole of the shutdown. Both kinds of run have this.
    let hanging = flag();
    let hosts = {
        let hanging = hanging.clone();
        Hosts::new(&record, move |got| {
            let hangs = hanging.load(std::sync::atomic::Ordering::SeqCst)
                && matches!(got.host.as_str(), "s-1" | "s-2");
            if hangs {
                Act::Hang
            } else {
                Act::Serve(ms(50))
            }
        })
    };
    let entries: Vec<Endpoint> = ["s-1", "s-2", "s-3", "s-4"]
        .map(|name| Endpoint::serving(name, hosts.start(name)))
        .to_vec();
    let agent = Agent::new(&record, 41, &entries);
    let deployment = Deployment {
        name: "n1".into(),
        listen: free_address(),
        discovery: Some(agent.start()),
        ops: None,
        known: list_json(41, true, &entries),
        profiles: format!(
            "[{{\"name\":\"record-read\",\"semantics\":\"free\",\"aim\":500.0,\"deadline\":{DEADLINE_MS}.0,\"worth\":1.0,\"late_worth\":0.5}}]"
        ),
        most_tries: 4,
        family: THROUGH.into(),
    };
    let Ok(mut balancer) = Balancer::start(&case, "n1", deployment.listen, &deployment.json(), &[])
    else {
        case.finish(COULD_NOT_RUN, "the balancer does not start");
    };
    if !balancer.wait_ready(ms(10_000)) {
        case.finish(COULD_NOT_RUN, "the balancer is not ready");
    }
    let Ok(mut client) = Client::connect(deployment.listen) else {
        case.finish(COULD_NOT_RUN, "no connection");
    };
    // A usual request first: the connection is in use.
    let info = format!("c=record-read,t=acme,d={DEADLINE_MS}");
    let _ = client.send(&[b"C.GET", b"00000000000000aa", b"first", info.as_bytes()]);
    if !matches!(client.read(ms(3000)), Ok(Reply::Bulk(_))) {
        case.finish(COULD_NOT_RUN, "a calm request is not served");
    }
    hanging.store(true, std::sync::atomic::Ordering::SeqCst);
    record.note("s-1 and s-2 hang from here on");

    let mut bytes = Vec::new();
    for i in 0..COMMANDS {
        let (key, id) = (format!("{i:016x}"), format!("request-{i:02}"));
        bytes.extend(command(&[
            b"C.GET",
            key.as_bytes(),
            id.as_bytes(),
            info.as_bytes(),
        ]));
    }
    if std::io::Write::write_all(&mut client.writer, &bytes).is_err() {
        case.finish(COULD_NOT_RUN, "the commands cannot be written");
    }
    let sent_at = Instant::now();
    record.note(format!(
        "client: {COMMANDS} commands sent at once on an open connection"
    ));
    thread::sleep(ms(200));
    // SIGKILL would come after the longest deadline and 0.7 s.
    if trouble() {
        balancer.signal("TERM");
    }

    // The final answer is due by the deadline and the half second after it, with 50 ms for sockets.
    let until = sent_at + ms(DEADLINE_MS + 500 + 50);
    let mut unanswered: BTreeSet<usize> = (0..COMMANDS).collect();
    for i in 0..COMMANDS {
        match client.read(until.saturating_duration_since(Instant::now())) {
            Ok(reply) => {
                record.note(format!("client: request-{i:02} answered {}", reply.text()));
                unanswered.remove(&i);
            }
            Err(error) => {
                record.note(format!(
                    "client: the connection gives no further answer ({:?})",
                    error.kind()
                ));
                break;
            }
        }
    }
    record.note(format!(
        "client: {} of {COMMANDS} without an answer",
        unanswered.len()
    ));
    // They are the first that were read, and none of the rest was sent on.
    let seen = hosts
        .all()
        .iter()
        .filter(|got| got.id.starts_with("request"))
        .count();
    record.note(format!("cache hosts: {seen} attempts seen"));
    thread::sleep(ms(500));
    record.note(format!(
        "balancer ended by itself: {}",
        balancer.has_ended()
    ));
    balancer.note_log(&["stopping", "stopped"]);
    balancer.kill();
    if unanswered.is_empty() {
        case.finish(HELD, "each request got its final answer");
    }
    let text = format!(
        "{} of {COMMANDS} requests taken before SIGTERM got no answer, their connection was ended",
        unanswered.len()
    );
    case.finish(BROKEN, &text);
}
