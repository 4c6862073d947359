//! A long keyed write is lost with its connection, and the cache host that gets the repeat hangs while it comes.
#[path = "../common/kit.rs"]
mod kit;
use kit::*;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

/// For so long all cache hosts drop a repeat.
const KEY_TTL_MS: u64 = 600;
/// The class's deadline, and how long the client waits.
const DEADLINE_MS: u64 = 1000;
/// How long a cache host hangs, from the first byte of the repeat on.
const HANG_MS: u64 = 700;
/// Bytes of a write.
const VALUE_BYTES: usize = 400_000;
const WRITES: usize = 5;

/// What all cache hosts remember: when each id ran. They are one group.
#[derive(Clone)]
struct Group {
    record: Record,
    runs: Arc<Mutex<BTreeMap<String, Vec<Instant>>>>,
    /// When the last write ran whose answer was lost, until its repeat comes.
    lost_at: Arc<Mutex<Option<Instant>>>,
    /// Repeats whose last byte had not come as their window ended.
    late: Arc<Mutex<usize>>,
}

impl Group {
    fn start_host(&self, name: &'static str) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port");
        let address = listener.local_addr().expect("an address");
        self.record.note(format!("{name}: cache host at {address}"));
        let group = self.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let group = group.clone();
                thread::spawn(move || group.serve(name, socket));
            }
        });
        address
    }

    fn serve(&self, name: &str, socket: TcpStream) -> std::io::Result<()> {
        socket.set_nodelay(true)?;
        let mut writer = socket.try_clone()?;
        let mut reader = BufReader::new(socket);
        loop {
            let read = reader.fill_buf()?.len();
            if read == 0 {
                return Ok(());
            }
            // Nothing but the repeat comes while an answer is lost.
            let lost_at = self.lost_at.lock().unwrap().take();
            if let Some(ran_at) = lost_at.filter(|_| trouble()) {
                self.hang(name, &writer, ran_at, read)?;
            }
            let Reply::Array(items) = read_reply(&mut reader)? else {
                return Ok(());
            };
            let word = |i: usize| match items.get(i) {
                Some(Reply::Bulk(bytes)) => String::from_utf8_lossy(bytes).into_owned(),
                _ => String::new(),
            };
            if word(0) == "SELECT" {
                writer.write_all(b"+OK\r\n")?;
                continue;
            }
            let (id, info) = (word(2), word(3));
            let now = Instant::now();
            let mut runs = self.runs.lock().unwrap();
            let earlier = runs.entry(id.clone()).or_default();
            let is_first = earlier.is_empty();
            let age = earlier
                .first()
                .map(|first| (now - *first).as_millis() as u64);
            if age.is_some_and(|age| age < KEY_TTL_MS) {
                self.record.note(format!(
                    "{name}: {id} {info} came whole {} ms after it ran: a repeat, dropped",
                    age.unwrap_or(0)
                ));
            } else {
                let text = age.map_or(String::new(), |age| format!(" {age} ms after it ran"));
                self.record
                    .note(format!("{name}: {id} {info} came whole{text}: it runs"));
                earlier.push(now);
            }
            drop(runs);
            if is_first {
                self.record.note(format!(
                    "{name}: the connection ends with no answer to {id}"
                ));
                *self.lost_at.lock().unwrap() = Some(now);
                return writer.shutdown(std::net::Shutdown::Both);
            }
            let receipt = format!("receipt:{id}");
            writer.write_all(
                format!("*3\r\n${}\r\n{receipt}\r\n$-1\r\n$-1\r\n", receipt.len()).as_bytes(),
            )?;
        }
    }

    /// Stands still with a part of a command read. As the window of the repeat ends it looks how much has come.
    fn hang(
        &self,
        name: &str,
        socket: &TcpStream,
        ran_at: Instant,
        read: usize,
    ) -> std::io::Result<()> {
        let began = Instant::now();
        self.record.note(format!(
            "{name}: hangs for {HANG_MS} ms, {read} bytes of a command read"
        ));
        sleep_until(ran_at + ms(KEY_TTL_MS));
        let come = read + socket.peek(&mut vec![0; 2 * VALUE_BYTES])?;
        self.record.note(format!(
            "{name}: as the window ends {come} bytes of the repeat have come"
        ));
        if come < VALUE_BYTES {
            *self.late.lock().unwrap() += 1;
        }
        sleep_until(began + ms(HANG_MS));
        Ok(())
    }
}

fn main() {
    let case = Case::open();
    let record = case.record.clone();
    let group = Group {
        record: record.clone(),
        runs: Arc::default(),
        lost_at: Arc::default(),
        late: Arc::default(),
    };
    let entries: Vec<Endpoint> = ["s-1", "s-2", "s-3"]
        .map(|name| Endpoint::serving(name, group.start_host(name)))
        .to_vec();
    let agent = Agent::new(&record, 41, &entries);
    let deployment = Deployment {
        name: "n1".into(),
        listen: free_address(),
        discovery: Some(agent.start()),
        ops: None,
        known: list_json(41, true, &entries),
        profiles: format!(
            concat!(
                "[{{\"name\":\"slot-read\",\"semantics\":\"free\",\"aim\":600.0,\"deadline\":2500.0,\"worth\":2.0,\"late_worth\":0.3}},",
                "{{\"name\":\"slot-book\",\"semantics\":\"guarded\",\"group\":\"all\",\"key_ttl\":{}.0,",
                "\"aim\":300.0,\"deadline\":{}.0,\"worth\":5.0,\"late_worth\":0.3}}]"
            ),
            KEY_TTL_MS, DEADLINE_MS
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
    let value = vec![b'z'; VALUE_BYTES];
    let info = format!("c=slot-book,t=acme,d={DEADLINE_MS}");
    let mut answers = 0;
    for i in 0..WRITES {
        let Ok(mut client) = Client::connect(deployment.listen) else {
            continue;
        };
        let (key, id) = (format!("{i:016x}"), format!("slot-{i}"));
        let sent = client.send(&[
            b"C.SET",
            key.as_bytes(),
            id.as_bytes(),
            info.as_bytes(),
            &value,
        ]);
        match sent.and_then(|()| client.read(ms(DEADLINE_MS + 600))) {
            Ok(reply) => {
                answers += 1;
                record.note(format!("client: {id} answered {}", reply.text()));
            }
            Err(error) => record.note(format!("client: {id} not answered ({:?})", error.kind())),
        }
        // A repeat that was not sent is not waited for.
        thread::sleep(ms(1500));
        *group.lost_at.lock().unwrap() = None;
    }
    balancer.kill();
    let runs = group.runs.lock().unwrap().clone();
    let twice: Vec<String> = runs
        .iter()
        .filter(|(_, at)| at.len() > 1)
        .map(|(id, _)| id.clone())
        .collect();
    let late = *group.late.lock().unwrap();
    record.note(format!(
        "{} writes ran twice; of {late} repeats the last byte came after the window",
        twice.len()
    ));
    if answers < WRITES || runs.len() < WRITES {
        case.finish(COULD_NOT_RUN, "the balancer did not answer as it should");
    }
    if !twice.is_empty() && late >= twice.len() {
        case.finish(
            BROKEN,
            &format!(
                "{} of {WRITES} keyed writes ran twice: {}",
                twice.len(),
                twice.join(", ")
            ),
        );
    }
    if !twice.is_empty() {
        case.finish(
            COULD_NOT_RUN,
            "a repeat had come whole within its window, and ran late by the cache host's own doing",
        );
    }
    case.finish(HELD, "no keyed write ran twice");
}
