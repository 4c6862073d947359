//! Clients that have a balancer hold memory: each kind in its own way, drawn from a seed.
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use stairfront_common::random::SeededRng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{sleep, timeout_at, Instant};

use stairfront_test_support::loopback::peers::{read_of, write_of, PeerClient, Witness};
use stairfront_test_support::loopback::{command, ms};

/// How long clients say that they wait.
pub const WAIT_MS: u64 = 1400;
/// Sizes of values, from usual ones to the largest that is accepted.
const SIZES: [usize; 8] = [
    900,
    4_000,
    15_000,
    33_000,
    60_000,
    200_000,
    1_000_000,
    4 << 20,
];

/// What one client of a crowd does again and again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Habit {
    /// Writes one command in small pieces with pauses.
    WritesSlowly,
    /// Sends a part of a command and stays.
    StopsHalfWay,
    /// Sends a head of very many short fields.
    ManyFields,
    /// Asks for a long answer and reads it slowly.
    ReadsSlowly,
    /// Has sixteen writes open at once.
    OpenWrites,
    /// Asks for many short answers at once, and reads none for a while.
    ReadsNothing,
}

pub const HABITS: [Habit; 6] = [
    Habit::WritesSlowly,
    Habit::StopsHalfWay,
    Habit::ManyFields,
    Habit::ReadsSlowly,
    Habit::OpenWrites,
    Habit::ReadsNothing,
];

/// One client of a crowd.
pub struct CrowdMember {
    pub address: SocketAddr,
    pub number: usize,
    pub habit: Habit,
    pub seed: u64,
    pub until: Instant,
    pub witness: Rc<Witness>,
}

impl CrowdMember {
    /// Does what it does until its time is over, on ever new connections.
    pub async fn run(self) {
        let mut random = SeededRng::for_part(self.seed, &format!("member {}", self.number));
        let mut round = 0;
        while Instant::now() < self.until {
            let id = format!("m{}-{round}", self.number);
            round += 1;
            let size = SIZES[random.below(SIZES.len())];
            if let Ok(mut client) = PeerClient::connect(self.address).await {
                // A connection that the balancer ends is no fault.
                let _ = timeout_at(self.until, self.act(&mut client, &id, size, &mut random)).await;
            }
            sleep(ms(random.below(30_u64))).await;
        }
    }

    async fn act(
        &self,
        client: &mut PeerClient,
        id: &str,
        size: usize,
        random: &mut SeededRng,
    ) -> std::io::Result<()> {
        match self.habit {
            Habit::WritesSlowly => self.write_slowly(client, id, size, random).await,
            Habit::StopsHalfWay => stop_half_way(client, id, size, random).await,
            Habit::ManyFields => many_fields(client, id).await,
            Habit::ReadsSlowly => read_slowly(client, id, size, random).await,
            Habit::OpenWrites => self.open_writes(client, id, size).await,
            Habit::ReadsNothing => read_nothing(client, id, size).await,
        }
    }

    async fn write_slowly(
        &self,
        client: &mut PeerClient,
        id: &str,
        size: usize,
        random: &mut SeededRng,
    ) -> std::io::Result<()> {
        let bytes = write_of(size, id, "read", WAIT_MS);
        let pieces = 4 + random.below(12_usize);
        for piece in bytes.chunks(bytes.len().div_ceil(pieces)) {
            client.send(piece).await?;
            sleep(ms(random.below(150_u64))).await;
        }
        let written_at = Instant::now();
        let answer = client.answer().await;
        self.witness
            .note_answer(id, answer, written_at, ms(WAIT_MS));
        Ok(())
    }

    async fn open_writes(
        &self,
        client: &mut PeerClient,
        id: &str,
        size: usize,
    ) -> std::io::Result<()> {
        const OPEN: usize = 16;
        let size = size.min(60_000);
        for i in 0..OPEN {
            let bytes = write_of(size, &format!("{id}-{i}"), "read", WAIT_MS);
            client.send(&bytes).await?;
        }
        let written_at = Instant::now();
        for i in 0..OPEN {
            let answer = client.answer().await;
            let patience = ms(WAIT_MS);
            let id = format!("{id}-{i}");
            self.witness.note_answer(&id, answer, written_at, patience);
            if answer.is_none() {
                break;
            }
        }
        Ok(())
    }
}

async fn stop_half_way(
    client: &mut PeerClient,
    id: &str,
    size: usize,
    random: &mut SeededRng,
) -> std::io::Result<()> {
    let bytes = write_of(size, id, "read", WAIT_MS);
    let part = bytes.len() / 10 + random.below(bytes.len() * 8 / 10);
    client.send(&bytes[..part]).await?;
    sleep(Duration::from_secs(3)).await;
    Ok(())
}

async fn many_fields(client: &mut PeerClient, id: &str) -> std::io::Result<()> {
    const COMMANDS: usize = 60;
    let list = "x=1,".repeat(240);
    let words = vec!["a"; 31];
    for i in 0..COMMANDS {
        client.send(&command(&words)).await?;
        let id = format!("{id}-{i}");
        let list = format!("{list}c=read,t=acme,d={WAIT_MS}");
        client.send(&command(&["C.GET", "8-k", &id, &list])).await?;
    }
    while client.answer().await.is_some() {}
    Ok(())
}

async fn read_slowly(
    client: &mut PeerClient,
    id: &str,
    size: usize,
    random: &mut SeededRng,
) -> std::io::Result<()> {
    const OPEN: usize = 4;
    for i in 0..OPEN {
        let bytes = read_of(size, &format!("{id}-{i}"), WAIT_MS);
        client.send(&bytes).await?;
    }
    let mut chunk = vec![0; 16 * 1024];
    loop {
        sleep(ms(20 + random.below(200_u64))).await;
        if client.0.read(&mut chunk).await? == 0 {
            return Ok(());
        }
    }
}

async fn read_nothing(client: &mut PeerClient, id: &str, size: usize) -> std::io::Result<()> {
    const OPEN: usize = 64;
    for i in 0..OPEN {
        let bytes = read_of(size.min(64_000), &format!("{id}-{i}"), WAIT_MS);
        client.send(&bytes).await?;
        client.send(&command(&["INFO"])).await?;
    }
    client.0.get_mut().flush().await?;
    sleep(Duration::from_secs(3)).await;
    Ok(())
}
