//! What is drawn for a run.
use stairfront_common::random::SeededRng;

pub const READ_CLASS: &str = "read";
pub const PUT_CLASS: &str = "put";
pub const ONCE_CLASS: &str = "once";
/// The deadline of all classes.
pub const DEADLINE_MS: u64 = 2000;

/// How hosts behave.
#[derive(Clone, Copy, Debug)]
pub struct HostScript {
    pub work_ms: u64,
    /// Parts of the commands at which a host hangs with a part read, ends the connection once it has run, or answers an error.
    pub hangs: f64,
    pub loses_answer: f64,
    pub errs: f64,
    pub max_hang_ms: u64,
    /// Hosts without a fault, of all.
    pub sound_hosts: usize,
    /// From this time on the others hang through the rest of the run.
    pub silent_from_ms: u64,
    /// Size of the receive buffers; the kernel's where it is 0.
    pub receive_buffer: u32,
}

/// One SIGSTOP and SIGCONT, or one broken file and SIGHUP where nothing is stopped.
#[derive(Clone, Copy, Debug)]
pub struct Disruption {
    pub at_ms: u64,
    pub stop_ms: u64,
}

/// A client that sends many commands at once.
#[derive(Clone, Copy, Debug)]
pub struct Pipeline {
    pub at_ms: u64,
    pub commands: usize,
    /// Every so many of them is a `PING`; none where it is 0.
    pub ping_every: usize,
}

#[derive(Debug)]
pub struct Script {
    pub key_ttl_ms: u64,
    pub may_cancel: bool,
    pub host: HostScript,
    /// Clients that write one value after the other.
    pub writers: usize,
    /// Part of the writes whose client leaves.
    pub leaving: f64,
    pub pipelines: Vec<Pipeline>,
    pub disruptions: Vec<Disruption>,
    /// Whether another process takes over at the end.
    pub upgrade: bool,
    /// Time of SIGTERM.
    pub end_ms: u64,
}

impl Script {
    pub fn draw(seed: u64) -> Self {
        let mut random = SeededRng::for_part(seed, "hung hosts");
        let end_ms = 2000 + random.below(1500_u64);
        let host = HostScript {
            work_ms: 1 + random.below(30_u64),
            hangs: 0.1 + 0.4 * random.unit(),
            loses_answer: 0.4 * random.unit(),
            errs: 0.2 * random.unit(),
            max_hang_ms: 200 + random.below(1800_u64),
            sound_hosts: random.below(3_usize),
            silent_from_ms: if random.happens(0.5) {
                end_ms - random.below(1200_u64)
            } else {
                u64::MAX
            },
            receive_buffer: [0, 0, 4096, 16_384, 65_536][random.below(5_usize)],
        };
        let pipelines = (0..1 + random.below(4_usize)).map(|_| Pipeline {
            at_ms: end_ms.saturating_sub(random.below(1000_u64)),
            commands: [17, 32, 100, 400][random.below(4_usize)],
            ping_every: [0, 0, 2, 7][random.below(4_usize)],
        });
        let pipelines = pipelines.collect();
        let mut at_ms = 0;
        let disruptions = (0..random.below(4_usize)).map(|_| {
            at_ms += 100 + random.below(500_u64);
            let stops = random.happens(0.5);
            let stop_ms = if stops { 20 + random.below(600_u64) } else { 0 };
            let disruption = Disruption { at_ms, stop_ms };
            at_ms += stop_ms;
            disruption
        });
        let script = Script {
            disruptions: disruptions.collect(),
            pipelines,
            host,
            key_ttl_ms: 150 + random.below(1500_u64),
            may_cancel: random.happens(0.5),
            writers: 4 + random.below(12_usize),
            leaving: 0.3 * random.unit(),
            upgrade: random.happens(0.3),
            end_ms,
        };
        if random.happens(0.4) {
            script.with_sudden_silence(&mut random)
        } else {
            script
        }
    }

    /// No fault until some hosts fall silent right before the pipelines: none of them is known for an outlier yet, so that
    /// requests wait for them.
    fn with_sudden_silence(mut self, random: &mut SeededRng) -> Self {
        self.writers = 0;
        self.disruptions.clear();
        self.host.work_ms += 20;
        self.host.hangs = 0.0;
        self.host.loses_answer = 0.0;
        self.host.errs = 0.0;
        self.host.sound_hosts = 1 + random.below(2_usize);
        let before_end = 100 + random.below(500_u64);
        self.host.silent_from_ms = self.end_ms - before_end;
        for pipeline in &mut self.pipelines {
            pipeline.at_ms = self.host.silent_from_ms + 20 + random.below(before_end - 50);
        }
        self
    }
}
