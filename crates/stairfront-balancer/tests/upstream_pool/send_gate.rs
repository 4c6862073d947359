//! Attempts whose client leaves, without any task of the balancer having read that.
use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};

use bytes::Bytes;
use stairfront_balancer::messages::{Job, Verb};
use stairfront_balancer::stages::liveness::RequestLiveness;
use stairfront_balancer::transport::{listen, Listener, Peer, Unread};
use stairfront_policy::interface::Outcome;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch};
use tokio::time::{sleep, Instant};

use super::fixture::{end, job, pool, pool_on, Late};
use stairfront_test_support::loopback::{cache, commands, hit, ms, run, until, Log};

/// A client's connection, as the balancer and as the client hold it.
async fn client_connection() -> (Rc<RefCell<TcpStream>>, TcpStream) {
    let listener = listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let client = TcpStream::connect(listener.local_address().unwrap());
    let (accepted, client) = tokio::join!(Listener::accept(&listener), client);
    (Rc::new(RefCell::new(accepted.unwrap())), client.unwrap())
}

fn job_of(id: u32, client: &Rc<RefCell<TcpStream>>) -> (Job, oneshot::Sender<()>) {
    let client: Rc<dyn Peer> = Rc::<RefCell<TcpStream>>::clone(client);
    let (job, cancel) = job(id);
    let liveness = Rc::new(RequestLiveness::of(Rc::downgrade(&client)));
    (Job { liveness, ..job }, cancel)
}

/// The end stands behind bytes that nobody reads, so that neither a read nor a look at the input shows it.
#[test]
fn an_attempt_is_not_sent_after_its_client_left_behind_unread_bytes() {
    run(async {
        let log = Log::default();
        let address = cache("cache", &log, |_, _| hit("v")).await;
        let (mut pool, mut events) = pool(address, 4);
        let (held, mut client) = client_connection().await;
        let (first, _kept) = job_of(1, &held);
        assert!(pool.dispatch(first).is_none());
        assert_eq!(
            end(&mut pool, &mut events).await.result.outcome,
            Outcome::Served
        );
        // It goes to the idle connection's task; the client leaves before that runs.
        let (second, _kept) = job_of(2, &held);
        assert!(pool.dispatch(second).is_none());
        client.write_all(b"*1\r\n$4\r\nPING\r\n").await.unwrap();
        drop(client);
        let ended = end(&mut pool, &mut events).await;
        assert_eq!(ended.result.outcome, Outcome::NeverSent);
        assert_eq!(commands(&log, "cache").len(), 1);
    });
}

#[test]
fn a_reset_behind_unread_bytes_is_an_end_at_once() {
    run(async {
        let (held, mut client) = client_connection().await;
        client.write_all(b"half a command").await.unwrap();
        assert!(!Peer::has_ended(&*held));
        client.set_zero_linger().unwrap();
        drop(client);
        // No await in between: the event loop has not looked since.
        assert!(Peer::has_ended(&*held));
    });
}

#[test]
fn an_attempt_is_not_sent_after_its_client_left_while_its_connection_was_made() {
    run(async {
        let log = Log::default();
        let address = cache("cache", &log, |_, _| hit("v")).await;
        let (open, gate) = watch::channel(false);
        let (mut pool, mut events) = pool_on(Late(gate), address, 1, ms(10_000));
        let (held, client) = client_connection().await;
        let (first, _kept) = job_of(1, &held);
        assert!(pool.dispatch(first).is_none());
        drop(client);
        open.send_replace(true);
        let ended = end(&mut pool, &mut events).await;
        assert_eq!(ended.result.outcome, Outcome::NeverSent);
        assert_eq!(commands(&log, "cache").len(), 0);
    });
}

/// A server that stops reading and goes on later would begin the command of a client that has left meanwhile.
#[test]
fn a_long_command_is_broken_off_when_its_client_leaves_while_the_server_does_not_read() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (mut pool, mut events) = pool(listener.local_addr().unwrap(), 1);
        let (held, client) = client_connection().await;
        let (mut long, _kept) = job_of(1, &held);
        long.command.verb = Verb::Set;
        long.command.value = Some(Bytes::from(vec![b'x'; 64 * 1024 * 1024]));
        long.give_up_at = Instant::now() + ms(10_000);
        assert!(pool.dispatch(long).is_none());
        let (server, _) = listener.accept().await.unwrap();
        sleep(ms(100)).await;
        drop(client);
        let mut chunk = vec![0; 1024 * 1024];
        let mut read = 0;
        loop {
            server.readable().await.unwrap();
            match server.try_read(&mut chunk) {
                Ok(0) => break,
                Ok(n) => read += n,
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(_) => break,
            }
        }
        let ended = end(&mut pool, &mut events).await;
        assert_eq!(
            ended.result.outcome,
            Outcome::NeverSent,
            "it says nothing of the server"
        );
        assert!(read < 64 * 1024 * 1024, "{read} bytes came");
    });
}

/// A client that leaves while the process stands still in the middle of the question whether it has left.
struct LeavesDuringTheQuestion(Cell<u32>);

impl Peer for LeavesDuringTheQuestion {
    fn has_ended(&self) -> bool {
        let asked = self.0.replace(self.0.get() + 1);
        std::thread::sleep(ms(if asked == 1 { 150 } else { 0 }));
        asked > 1
    }

    fn unread(&self) -> Unread {
        Unread::Nothing
    }
}

#[test]
fn a_stall_within_the_check_has_it_made_again() {
    run(async {
        let log = Log::default();
        let address = cache("cache", &log, |_, _| hit("v")).await;
        let (mut pool, mut events) = pool(address, 1);
        let client = Rc::new(LeavesDuringTheQuestion(Cell::new(0)));
        let weak: Weak<dyn Peer> = Rc::<LeavesDuringTheQuestion>::downgrade(&client);
        let (first, _kept) = job(1);
        let liveness = Rc::new(RequestLiveness::of(weak));
        assert!(pool.dispatch(Job { liveness, ..first }).is_none());
        let ended = end(&mut pool, &mut events).await;
        assert_eq!(ended.result.outcome, Outcome::NeverSent);
        until(|| client.0.get() == 3).await;
        assert_eq!(commands(&log, "cache").len(), 0);
    });
}
