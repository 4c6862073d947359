//! The same network code on a simulated network of pipes and a paused clock, without sockets.

use std::cell::RefCell;
use std::future::{poll_fn, Future};
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use rustc_hash::FxHashMap;
use stairfront_balancer::arrival::PollClock;
use stairfront_balancer::clock::{sleep, Clock, Instant};
use stairfront_balancer::configuration::config::Config;
use stairfront_balancer::lifecycle::server::{serve, ServerDependencies};
use stairfront_balancer::lifecycle::shutdown::Phase;
use stairfront_balancer::transport::{Listener, Network, Stream, Unread};
use stairfront_policy::Policy;
use stairfront_test_support::loopback::{command, config, cut_resp, get, hit, line, Step};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::sync::{mpsc, watch};
use tokio::task::{spawn_local, LocalSet};

/// One direction: bytes in flight, and whether the writer has ended.
#[derive(Default)]
struct Direction {
    bytes: Vec<u8>,
    ended: bool,
    reader: Option<Waker>,
    writes: usize,
}

impl Direction {
    fn wake(&mut self) {
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }
}

struct Pipe {
    input: Rc<RefCell<Direction>>,
    output: Rc<RefCell<Direction>>,
}

fn pipes() -> (Pipe, Pipe) {
    let (a, b) = (Rc::new(RefCell::default()), Rc::new(RefCell::default()));
    (
        Pipe {
            input: Rc::clone(&a),
            output: Rc::clone(&b),
        },
        Pipe {
            input: b,
            output: a,
        },
    )
}

impl Drop for Pipe {
    fn drop(&mut self) {
        for way in [&self.input, &self.output] {
            let mut way = way.borrow_mut();
            way.ended = true;
            way.wake();
        }
    }
}

impl AsyncRead for Pipe {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        to: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut way = self.input.borrow_mut();
        if way.bytes.is_empty() && !way.ended {
            way.reader = Some(cx.waker().clone());
            return Poll::Pending;
        }
        let n = way.bytes.len().min(to.remaining());
        to.put_slice(&way.bytes[..n]);
        way.bytes.drain(..n);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Pipe {
    fn poll_write(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        from: &[u8],
    ) -> Poll<io::Result<usize>> {
        let mut way = self.output.borrow_mut();
        if way.ended {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        way.bytes.extend_from_slice(from);
        way.writes += 1;
        way.wake();
        Poll::Ready(Ok(from.len()))
    }
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.output.borrow_mut().ended = true;
        Poll::Ready(Ok(()))
    }
}

impl Stream for Pipe {
    fn unread(&self) -> Unread {
        let way = self.input.borrow();
        match (way.bytes.is_empty(), way.ended) {
            (false, _) => Unread::Bytes,
            (true, true) => Unread::End,
            (true, false) => Unread::Nothing,
        }
    }
    fn has_ended(&self) -> bool {
        self.input.borrow().ended
    }
    async fn arrival(&self) {
        poll_fn(|cx| {
            let mut way = self.input.borrow_mut();
            if way.bytes.is_empty() && !way.ended {
                way.reader = Some(cx.waker().clone());
                return Poll::Pending;
            }
            Poll::Ready(())
        })
        .await;
    }
}

/// Listeners by address.
#[derive(Clone, Default)]
struct PipeNetwork(Rc<RefCell<FxHashMap<SocketAddr, mpsc::UnboundedSender<Pipe>>>>);

struct PipeListener(SocketAddr, RefCell<mpsc::UnboundedReceiver<Pipe>>);

impl PipeNetwork {
    fn listen(&self, at: SocketAddr) -> PipeListener {
        let (calls, ear) = mpsc::unbounded_channel();
        self.0.borrow_mut().insert(at, calls);
        PipeListener(at, RefCell::new(ear))
    }
}

impl Network for PipeNetwork {
    type Stream = Pipe;
    async fn connect(&self, to: SocketAddr) -> io::Result<Pipe> {
        let (near, far) = pipes();
        let taken = self
            .0
            .borrow()
            .get(&to)
            .is_some_and(|ear| ear.send(far).is_ok());
        if taken {
            Ok(near)
        } else {
            Err(io::ErrorKind::ConnectionRefused.into())
        }
    }
}

impl Listener for PipeListener {
    type Stream = Pipe;
    async fn accept(&self) -> io::Result<Pipe> {
        poll_fn(|cx| self.1.borrow_mut().poll_recv(cx))
            .await
            .ok_or(io::ErrorKind::NotConnected.into())
    }
    fn local_address(&self) -> io::Result<SocketAddr> {
        Ok(self.0)
    }
}

/// Answers requests on each connection with this value, and markers; an empty value means silence.
async fn host(ear: PipeListener, answer: &'static str) {
    while let Ok(mut pipe) = ear.accept().await {
        spawn_local(async move {
            let (mut piece, mut received) = ([0; 4096], Vec::new());
            while let Ok(n @ 1..) = pipe.read(&mut piece).await {
                received.extend_from_slice(&piece[..n]);
                while let Some(words) = cut_resp(&mut received) {
                    let Step::Say(bytes) = hit(answer) else {
                        return;
                    };
                    let reply = if words[0] == "SELECT" {
                        b"+OK\r\n".to_vec()
                    } else {
                        bytes
                    };
                    if !answer.is_empty() && pipe.write_all(&reply).await.is_err() {
                        return;
                    }
                }
            }
        });
    }
}

/// Runs a test on a paused clock, with a balancer at `at(1)` before a cache that answers and one that is silent.
fn virtually<F: Future<Output = ()>>(test: impl FnOnce(PipeNetwork) -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap();
    runtime.block_on(LocalSet::new().run_until(async {
        let network = PipeNetwork::default();
        spawn_local(host(network.listen(at(2)), "good"));
        spawn_local(host(network.listen(at(3)), ""));
        let lines = [line("good", at(2), "box"), line("silent", at(3), "box")];
        let config =
            Config::from_text("test", &config(at(1), at(9), &lines, 1024).to_string()).unwrap();
        let (phase, phase_receiver) = watch::channel(Phase::Running);
        let (_hangups, hangup_receiver) = mpsc::channel(1);
        let dependencies = ServerDependencies {
            network: network.clone(),
            listener: network.listen(at(1)),
            admin_listener: None,
            state_directory: None,
            predecessor: None,
            successor: Rc::default(),
            membership: None,
            clock: Clock::starting_at(0),
            polls: Rc::new(PollClock::start()),
            phase: phase_receiver,
            requested_at: Rc::default(),
            resident: Rc::default(),
            hangups: hangup_receiver,
        };
        let balancer = spawn_local(serve(config, Policy::new, dependencies));
        test(network).await;
        phase.send_replace(Phase::Last);
        balancer.await.unwrap().unwrap();
    }));
}

fn at(n: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], n))
}

#[test]
fn an_hour_passes_on_the_paused_clock_without_a_socket() {
    let real = std::time::Instant::now();
    virtually(|network| async move {
        let start = Instant::now();
        let (mut good, mut failed) = (0, 0);
        for i in 0..200 {
            let mut client = network.connect(at(1)).await.unwrap();
            client
                .write_all(&get(&format!("k{i}"), &i.to_string(), 1500))
                .await
                .unwrap();
            let (mut answer, asked) = (vec![0; 100], Instant::now());
            let n = client.read(&mut answer).await.unwrap();
            assert!(
                asked.elapsed() <= Duration::from_millis(1550),
                "{:?}",
                asked.elapsed()
            );
            good += usize::from(answer[..n].starts_with(b"$4\r\ngood"));
            failed += usize::from(answer[..n].starts_with(b"-"));
            sleep(Duration::from_secs(18)).await;
        }
        assert_eq!(
            (good + failed, failed > 0, good > 50),
            (200, true, true),
            "{good} served, {failed} failed"
        );
        assert!(start.elapsed() >= Duration::from_secs(3600));
    });
    assert!(
        real.elapsed() < Duration::from_secs(20),
        "{:?}",
        real.elapsed()
    );
}

#[test]
fn pipelined_commands_are_answered_in_order_and_with_one_write() {
    virtually(|network| async move {
        let mut client = network.connect(at(1)).await.unwrap();
        let (ping, wrong) = (command(&["PING"]), command(&["C.GET", "k", "1", "c=other"]));
        let wanted = "+PONG\r\n-ERR unknown class\r\n".repeat(8);
        client
            .write_all(&[ping.clone(), wrong].concat().repeat(8))
            .await
            .unwrap();
        let mut answers = vec![0; wanted.len()];
        client.read_exact(&mut answers).await.unwrap();
        assert_eq!(String::from_utf8(answers).unwrap(), wanted);
        assert_eq!(client.input.borrow().writes, 1);
        // No answer overtakes that of a request that waits for its server.
        let mut key = 0;
        let good = loop {
            client
                .write_all(&get(&format!("k{key}"), &format!("probe{key}"), 100))
                .await
                .unwrap();
            let mut answer = vec![0; 64];
            let n = client.read(&mut answer).await.unwrap();
            if answer[..n].starts_with(b"$4\r\ngood") {
                break format!("k{key}");
            }
            key += 1;
        };
        client
            .write_all(&[ping.clone(), get(&good, "again", 1000), ping].concat())
            .await
            .unwrap();
        let mut answers = vec![0; "+PONG\r\n$4\r\ngood\r\n+PONG\r\n".len()];
        client.read_exact(&mut answers).await.unwrap();
        assert_eq!(answers, b"+PONG\r\n$4\r\ngood\r\n+PONG\r\n");
    });
}
