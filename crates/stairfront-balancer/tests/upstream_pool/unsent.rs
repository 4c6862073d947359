//! Commands that the kernel has accepted and a hung server has not: their rest must not arrive once they have lapsed.
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use socket2::SockRef;
use stairfront_balancer::messages::{Job, Verb};
use stairfront_balancer::stages::liveness::RequestLiveness;
use stairfront_balancer::transport::{listen, Listener, Network, Peer, Stream, Tcp};
use stairfront_policy::interface::Outcome;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout, Instant};

use super::fixture::{end, job, pool, pool_on, CACHE};
use stairfront_test_support::loopback::{
    cache, commands, hit, ms, run, run_within, until, Log, Step,
};

/// How long a server hangs beyond the moment at which the command has lapsed.
const HANG_AFTER: Duration = Duration::from_millis(150);
/// A value of each of these, at a server with a receive buffer of the size that is named, if one is.
const SIZES: [(usize, Option<u32>); 5] = [
    (20_000, Some(4096)),
    // A little longer than the window, so that the kernel accepts all but the byte that is withheld.
    (26_000, Some(16 * 1024)),
    (150_000, Some(16 * 1024)),
    (400_000, None),
    (3_000_000, None),
];

fn hung_server(receive_buffer: Option<u32>) -> (TcpListener, SocketAddr) {
    let socket = TcpSocket::new_v4().unwrap();
    if let Some(bytes) = receive_buffer {
        socket.set_recv_buffer_size(bytes).unwrap();
    }
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(16).unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

fn write_job(bytes: usize) -> (Job, oneshot::Sender<()>) {
    let (mut job, cancel) = job(1);
    job.command.verb = Verb::Set;
    job.command.value = Some(Bytes::from(vec![b'x'; bytes]));
    job.command.idempotent = false;
    job.give_up_at = Instant::now() + ms(5_000);
    (job, cancel)
}

/// Reads all that comes, and asserts that it is not a whole command.
async fn assert_incomplete(mut server: TcpStream, value_bytes: usize) {
    let mut received = Vec::new();
    // It ends with a reset. Whole, it is followed by nothing for a while.
    let read = timeout(ms(1_000), server.read_to_end(&mut received)).await;
    assert!(
        !is_whole(&received, value_bytes),
        "all of {value_bytes} bytes came, {read:?}"
    );
}

fn is_whole(received: &[u8], value_bytes: usize) -> bool {
    let come = received.iter().filter(|byte| **byte == b'x').count();
    come == value_bytes && received.ends_with(b"\r\n")
}

/// The cache hosts have forgotten the first attempt by then, and would run the write a second time.
#[test]
fn a_retry_that_the_kernel_holds_does_not_reach_a_hung_server_after_its_window() {
    run(async {
        for (bytes, receive_buffer) in SIZES {
            for window in [ms(40), ms(300)] {
                let (listener, address) = hung_server(receive_buffer);
                let (mut pool, mut events) = pool(address, 1);
                let (mut retry, _kept) = write_job(bytes);
                let window_end = Instant::now() + window;
                retry.window_end = Some(window_end);
                assert!(pool.dispatch(retry).is_none());
                let (server, _) = listener.accept().await.unwrap();
                let ended = end(&mut pool, &mut events).await;
                assert!(Instant::now() >= window_end, "it had all of its window");
                assert_ne!(ended.result.outcome, Outcome::Served);
                sleep(HANG_AFTER).await;
                assert_incomplete(server, bytes).await;
            }
        }
    });
}

/// Sizes around the receive window, so that the kernel holds much of some of them, little of others.
fn sizes_around_the_receive_window() -> impl Iterator<Item = usize> {
    (40_000..400_000).step_by(8_000)
}

/// The window is the server's: what is out is not stopped by a process that stands still.
#[test]
fn a_retry_does_not_reach_a_hung_server_while_the_balancer_stands_still_past_its_window() {
    run(async {
        let mut servers = Vec::new();
        for bytes in sizes_around_the_receive_window() {
            let (listener, address) = hung_server(None);
            let (mut pool, events) = pool(address, 1);
            let (mut retry, kept) = write_job(bytes);
            retry.window_end = Some(Instant::now() + ms(500));
            assert!(pool.dispatch(retry).is_none());
            let (server, _) = listener.accept().await.unwrap();
            servers.push((bytes, server, (pool, events, kept)));
        }
        sleep(ms(50)).await;
        // What has come by now as a whole has come in time.
        let had_come: Vec<u64> = servers.iter().map(|(_, server, _)| come(server)).collect();
        // Nothing of the balancer runs, the window ends, and the servers go on.
        std::thread::sleep(ms(600));
        let mut held_back = 0;
        for ((bytes, server, _), come) in servers.into_iter().zip(had_come) {
            if come > bytes as u64 {
                continue;
            }
            held_back += 1;
            let server = server.into_std().unwrap();
            server.set_nonblocking(false).unwrap();
            server.set_read_timeout(Some(ms(50))).unwrap();
            let mut received = Vec::new();
            let _ = std::io::Read::read_to_end(&mut &server, &mut received);
            assert!(!is_whole(&received, bytes), "all of {bytes} bytes came");
        }
        assert!(
            held_back > 10,
            "{held_back} were held back by a full window"
        );
    });
}

fn come(server: &TcpStream) -> u64 {
    Stream::unread_bytes(server).unwrap()
}

/// The window shuts at the very end of the command, so that its last byte is written and cannot be sent.
#[test]
fn a_retry_whose_last_byte_alone_is_held_does_not_reach_a_hung_server_after_its_window() {
    run(async {
        let receive_buffer = Some(16 * 1024);
        let mut fitting = 100_000;
        let mut had_last_byte_held = false;
        // The window of a connection depends on how its bytes came, so the right length is approached.
        for _ in 0..20 {
            let (listener, address) = hung_server(receive_buffer);
            let (mut pool, mut events) = pool(address, 1);
            let (mut retry, _kept) = write_job(fitting);
            retry.command.idempotent = true;
            retry.window_end = Some(Instant::now() + ms(120));
            let command_bytes = fitting + retry_overhead(fitting);
            assert!(pool.dispatch(retry).is_none());
            let (server, _) = listener.accept().await.unwrap();
            let ended = end(&mut pool, &mut events).await;
            let come = come(&server) as usize;
            had_last_byte_held |= ended.result.outcome == Outcome::TimedOut && come < command_bytes;
            assert_incomplete_unless_in_time(server, fitting, come >= command_bytes).await;
            if had_last_byte_held {
                return;
            }
            fitting = fitting + come + 1 - command_bytes;
        }
        panic!("no length had its last byte held");
    });
}

/// Bytes of the command beside its value.
fn retry_overhead(value_bytes: usize) -> usize {
    let head = "*5\r\n$5\r\nC.SET\r\n$1\r\nw\r\n$1\r\nw\r\n$1\r\nw\r\n$".len();
    head + value_bytes.to_string().len() + "\r\n\r\n".len()
}

async fn assert_incomplete_unless_in_time(server: TcpStream, bytes: usize, in_time: bool) {
    if !in_time {
        assert_incomplete(server, bytes).await;
    }
}

/// It would begin after another attempt, or after the answer.
#[test]
fn a_cancelled_attempt_that_the_kernel_holds_does_not_reach_a_hung_server() {
    run(async {
        for (bytes, receive_buffer) in SIZES {
            let (listener, address) = hung_server(receive_buffer);
            let (mut pool, mut events) = pool(address, 1);
            let (attempt, cancel) = write_job(bytes);
            assert!(pool.dispatch(attempt).is_none());
            let (server, _) = listener.accept().await.unwrap();
            sleep(ms(30)).await;
            cancel.send(()).unwrap();
            let ended = end(&mut pool, &mut events).await;
            assert_eq!(ended.result.outcome, Outcome::Cancelled);
            assert_incomplete(server, bytes).await;
        }
    });
}

/// The attempt's own time, after which the request is answered.
#[test]
fn an_attempt_that_the_kernel_holds_does_not_reach_a_hung_server_after_its_time() {
    run(async {
        for (bytes, receive_buffer) in SIZES {
            let (listener, address) = hung_server(receive_buffer);
            let (mut pool, mut events) = pool(address, 1);
            let (mut attempt, _kept) = write_job(bytes);
            attempt.give_up_at = Instant::now() + ms(60);
            assert!(pool.dispatch(attempt).is_none());
            let (server, _) = listener.accept().await.unwrap();
            end(&mut pool, &mut events).await;
            assert_incomplete(server, bytes).await;
        }
    });
}

/// No cancel comes where cancels are not allowed.
#[test]
fn an_attempt_that_the_kernel_holds_does_not_reach_a_hung_server_once_its_client_has_left() {
    run(async {
        for (bytes, receive_buffer) in SIZES {
            let (listener, address) = hung_server(receive_buffer);
            let (mut pool, mut events) = pool(address, 1);
            let clients = listen("127.0.0.1:0".parse().unwrap()).unwrap();
            let client = TcpStream::connect(clients.local_address().unwrap());
            let (accepted, client) = tokio::join!(Listener::accept(&clients), client);
            let held: Rc<dyn Peer> = Rc::new(RefCell::new(accepted.unwrap()));
            let (attempt, _kept) = write_job(bytes);
            let liveness = Rc::new(RequestLiveness::of(Rc::downgrade(&held)));
            let attempt = Job {
                liveness,
                ..attempt
            };
            assert!(pool.dispatch(attempt).is_none());
            let (server, _) = listener.accept().await.unwrap();
            sleep(ms(30)).await;
            drop(client);
            let left_at = Instant::now();
            let ended = end(&mut pool, &mut events).await;
            let outcome = ended.result.outcome;
            assert!(
                matches!(outcome, Outcome::NeverSent | Outcome::Cancelled),
                "{outcome:?} says something of the server"
            );
            assert!(left_at.elapsed() < ms(1_000), "{:?}", left_at.elapsed());
            assert_incomplete(server, bytes).await;
        }
    });
}

/// Without its last byte the command never runs, so another server may have it.
#[test]
fn a_command_that_is_not_written_as_a_whole_is_broken_off_when_its_server_drains() {
    run(async {
        for (bytes, receive_buffer) in SIZES {
            let (listener, address) = hung_server(receive_buffer);
            let (mut pool, mut events) = pool(address, 1);
            let (attempt, _kept) = write_job(bytes);
            assert!(pool.dispatch(attempt).is_none());
            let (server, _) = listener.accept().await.unwrap();
            sleep(ms(30)).await;
            pool.set_barred(CACHE, true);
            let ended = end(&mut pool, &mut events).await;
            assert_eq!(ended.result.outcome, Outcome::NeverSent);
            assert_incomplete(server, bytes).await;
        }
    });
}

/// The end of a process closes its connections, and a common close has the kernel deliver what it holds.
#[test]
fn an_attempt_that_the_kernel_holds_does_not_outlive_its_process() {
    for (bytes, receive_buffer) in SIZES {
        let listener = std::thread::spawn(move || {
            run(async move {
                let (listener, address) = hung_server(receive_buffer);
                let (mut pool, _events) = pool(address, 1);
                let (attempt, _kept) = write_job(bytes);
                assert!(pool.dispatch(attempt).is_none());
                let (server, _) = listener.accept().await.unwrap();
                sleep(ms(30)).await;
                server.into_std().unwrap()
            })
        });
        // All tasks have ended with their thread, as they do with their process.
        let server = listener.join().unwrap();
        run(async {
            let server = TcpStream::from_std(server).unwrap();
            assert_incomplete(server, bytes).await;
        });
    }
}

/// The guard must not cost a server that reads slowly its commands.
#[test]
fn a_long_command_reaches_a_server_that_reads_slowly() {
    run_within(ms(60_000), async {
        for (bytes, receive_buffer) in SIZES {
            let (listener, address) = hung_server(receive_buffer);
            let (mut pool, mut events) = pool(address, 1);
            let (mut attempt, _kept) = write_job(bytes);
            attempt.command.idempotent = true;
            attempt.window_end = Some(Instant::now() + ms(4_000));
            assert!(pool.dispatch(attempt).is_none());
            let (mut server, _) = listener.accept().await.unwrap();
            SockRef::from(&server).set_tcp_nodelay(true).unwrap();
            let mut chunk = vec![0; bytes / 10];
            let mut values = 0;
            let mut last = Vec::new();
            while !(values == bytes && last.ends_with(b"\r\n")) {
                sleep(ms(5)).await;
                let read = server.read(&mut chunk).await.unwrap();
                assert!(read > 0, "broken off after {values} of {bytes} bytes");
                values += chunk[..read].iter().filter(|byte| **byte == b'x').count();
                last = chunk[..read].to_vec();
                if last.len() < 2 {
                    last.insert(0, b'\r');
                }
            }
            server
                .write_all(b"*3\r\n$1\r\nr\r\n$3\r\nhit\r\n$-1\r\n")
                .await
                .unwrap();
            let ended = end(&mut pool, &mut events).await;
            assert_eq!(ended.result.outcome, Outcome::Served);
        }
    });
}

/// The kernel's TCP, with another descriptor of each connection for the test.
#[derive(Clone, Default)]
struct Observed(Rc<RefCell<Vec<socket2::Socket>>>);

impl Network for Observed {
    type Stream = TcpStream;

    async fn connect(&self, to: SocketAddr) -> std::io::Result<TcpStream> {
        let socket = Tcp.connect(to).await?;
        let other = SockRef::from(&socket).try_clone()?;
        self.0.borrow_mut().push(other);
        Ok(socket)
    }
}

impl Observed {
    fn unacknowledged_timeout(&self) -> Option<Duration> {
        self.0.borrow()[0].tcp_user_timeout().unwrap()
    }
}

/// The next attempt on the connection would be broken off by the kernel for the retry's window.
#[test]
fn the_bound_of_a_retry_on_retransmission_ends_with_it() {
    run(async {
        let log = Log::default();
        let late = |_: usize, _: &[String]| match hit("v") {
            Step::Say(bytes) => Step::After(ms(100), bytes),
            step => step,
        };
        let address = cache("cache", &log, late).await;
        let network = Observed::default();
        let (mut pool, mut events) = pool_on(network.clone(), address, 1, ms(10_000));
        let (mut retry, _kept) = job(1);
        retry.window_end = Some(Instant::now() + ms(800));
        assert!(pool.dispatch(retry).is_none());
        until(|| commands(&log, "cache").len() == 1).await;
        let during = network.unacknowledged_timeout();
        assert!(during.is_some_and(|limit| limit <= ms(800)), "{during:?}");
        let ended = end(&mut pool, &mut events).await;
        assert_eq!(ended.result.outcome, Outcome::Served);
        assert_eq!(network.unacknowledged_timeout(), None);
        // One that is not begun leaves no bound behind either.
        let (mut lapsed, _kept) = job(2);
        lapsed.window_end = Some(Instant::now() + ms(20));
        assert!(pool.dispatch(lapsed).is_none());
        std::thread::sleep(ms(30));
        let ended = end(&mut pool, &mut events).await;
        assert_eq!(ended.result.outcome, Outcome::NeverSent);
        assert_eq!(network.unacknowledged_timeout(), None);
    });
}
