//! Graceful shutdown: accepted requests are answered, new connections are served for a while, then the process ends.

use std::time::Instant;

use stairfront_balancer::lifecycle::shutdown::Phase;
use stairfront_test_support::loopback::{
    bulk, cache, get, hit, line, ms, quiet_agent, run, Balancer, Client, Log, Step,
};
use tokio::io::AsyncWriteExt;
use tokio::task::spawn_local;
use tokio::time::sleep;

fn slow(wait: u64) -> impl Fn(usize, &[String]) -> Step {
    move |_, words| match hit(&words[1]) {
        Step::Say(bytes) => Step::After(ms(wait), bytes),
        step => step,
    }
}

#[test]
fn accepted_requests_are_answered_and_connections_close_between_requests() {
    run(async {
        let log = Log::default();
        let (agent, host) = (
            quiet_agent(&log).await,
            cache("cache", &log, slow(200)).await,
        );
        let balancer = Balancer::start(agent, &[line("c", host, "box")]).await;
        let mut idle = balancer.client().await;
        assert_eq!(idle.ask(&["PING"]).await, "+PONG\r\n");
        let mut busy = balancer.client().await;
        busy.send(&get("k", "1", 1400)).await;
        sleep(ms(50)).await;
        balancer.phase.send_replace(Phase::Draining);
        assert_eq!(idle.answer().await, None, "closed between requests");
        // New connections are still accepted, and their first request may be on its way.
        let mut late = balancer.client().await;
        sleep(ms(50)).await;
        late.send(&get("l", "2", 1400)).await;
        assert_eq!(busy.answer().await.unwrap(), bulk("k"));
        assert_eq!(busy.answer().await, None);
        balancer.phase.send_replace(Phase::Closing);
        assert_eq!(late.answer().await.unwrap(), bulk("l"));
        assert_eq!(late.answer().await, None);
        balancer.done.await.unwrap();
        assert!(
            Client::connect(balancer.address).await.is_err(),
            "the listener is closed"
        );
    });
}

#[test]
fn a_client_that_never_stops_sending_does_not_delay_the_end() {
    run(async {
        let log = Log::default();
        let (agent, host) = (
            quiet_agent(&log).await,
            cache("cache", &log, slow(20)).await,
        );
        let balancer = Balancer::start(agent, &[line("c", host, "box")]).await;
        let mut client = balancer.client().await;
        spawn_local(async move {
            // The next command always comes before the last one is answered.
            while client.socket.write_all(&get("k", "1", 1400)).await.is_ok() {
                sleep(ms(8)).await;
            }
        });
        sleep(ms(50)).await;
        for phase in [Phase::Draining, Phase::Closing, Phase::Last] {
            balancer.phase.send_replace(phase);
            sleep(ms(20)).await;
        }
        let start = Instant::now();
        balancer.done.await.unwrap();
        assert!(start.elapsed() < ms(2000));
    });
}

#[test]
fn a_request_in_the_kernel_is_read_before_its_connection_closes() {
    run(async {
        let log = Log::default();
        let (agent, host) = (quiet_agent(&log).await, cache("cache", &log, slow(1)).await);
        let balancer = Balancer::start(agent, &[line("c", host, "box")]).await;
        let mut client = balancer.client().await;
        assert_eq!(client.ask(&["PING"]).await, "+PONG\r\n");
        // Both happen in one turn of the loop: the request is in the kernel, and the socket has not been polled since.
        let request = get("k", "1", 1000);
        assert_eq!(client.socket.try_write(&request).unwrap(), request.len());
        balancer.phase.send_replace(Phase::Draining);
        assert_eq!(client.answer().await.unwrap(), bulk("k"));
        assert_eq!(client.answer().await, None);
    });
}

#[test]
fn a_partial_command_may_be_completed_and_does_not_delay_the_end() {
    run(async {
        let log = Log::default();
        let (agent, host) = (quiet_agent(&log).await, cache("cache", &log, slow(1)).await);
        let balancer = Balancer::start(agent, &[line("c", host, "box")]).await;
        let (mut client, mut silent) = (balancer.client().await, balancer.client().await);
        let request = get("k", "1", 1000);
        let (begun, rest) = request.split_at(20);
        for client in [&mut client, &mut silent] {
            assert_eq!(client.ask(&["PING"]).await, "+PONG\r\n");
            client.send(begun).await;
        }
        sleep(ms(20)).await;
        balancer.phase.send_replace(Phase::Draining);
        sleep(ms(20)).await;
        client.send(rest).await;
        assert_eq!(client.answer().await.unwrap(), bulk("k"));
        assert_eq!(client.answer().await, None);
        balancer.phase.send_replace(Phase::Closing);
        sleep(ms(20)).await;
        balancer.phase.send_replace(Phase::Last);
        balancer.done.await.unwrap();
    });
}
