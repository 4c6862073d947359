//! The links between the processes of a group: what happens to each datagram, and whether a stream's bytes are
//! delivered. The model does not know what they carry. Several faults of a link apply together.
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use stairfront_common::random::SeededRng;
use stairfront_common::time::{from_ms, Micros, MS, SECOND};

use crate::distributions::exponential;

/// Delay of a link without a fault.
const LATENCY: Micros = 300;
/// Range of the random delay that a link without a fault adds.
const JITTER: Micros = 200;
/// Longest delay of a datagram that is reordered.
const MAX_REORDER_DELAY: Micros = 80 * MS;
/// Longest queue of a link with a limited rate; a datagram beyond it is lost, as in a router.
const MAX_QUEUE: Micros = 500 * MS;
/// Range of the random delay between a datagram and its duplicate.
const DUPLICATE_JITTER: Micros = 20 * MS;
/// Delay of a stream's bytes that are lost once and sent again.
const RETRANSMIT_DELAY: Micros = 200 * MS;
/// Delay of a stream's bytes that are lost in a burst.
const BURST_RETRANSMIT_DELAY: Micros = 400 * MS;

/// The two ends of a link in one direction, as positions of processes: from the first to the second.
pub type DirectedLink = (usize, usize);

/// A fault of a link in one direction. Chances are probabilities per datagram, between 0 and 1.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "link", rename_all = "kebab-case")]
pub enum LinkFault {
    /// Nothing is delivered.
    Cut,
    /// Nothing is delivered during the first half of each period.
    Flap {
        /// Length of the period, in milliseconds.
        period_ms: f64,
    },
    /// Datagrams are lost independently of each other.
    Loss {
        /// Probability of loss.
        chance: f64,
    },
    /// Datagrams are lost in bursts.
    Bursts {
        /// Probability that a burst begins.
        chance: f64,
        /// Mean number of datagrams of a burst.
        datagrams: f64,
    },
    /// The delay is longer.
    Slow {
        /// Additional delay, in milliseconds.
        latency_ms: f64,
        /// Range of the additional random delay, in milliseconds.
        jitter_ms: f64,
    },
    /// Datagrams are delivered twice.
    Double {
        /// Probability of a duplicate.
        chance: f64,
    },
    /// Datagrams are delayed so that later ones overtake them.
    Reorder {
        /// Probability of a delay.
        chance: f64,
    },
    /// One byte is corrupted.
    Spoil {
        /// Probability of corruption.
        chance: f64,
    },
    /// The end of a datagram is cut off.
    Truncate {
        /// Probability of truncation.
        chance: f64,
    },
    /// The rate is limited.
    Rate {
        /// Bytes per second.
        bytes_per_s: f64,
    },
    /// Streams can be opened but deliver nothing; datagrams are delivered.
    HalfOpen,
}

impl LinkFault {
    /// Whether nothing at all is delivered while it lasts.
    pub fn cuts(self) -> bool {
        matches!(self, LinkFault::Cut)
    }

    /// Whether a group has to tolerate it without reporting a live member as failed: up to 10% loss and 50 ms of jitter.
    pub fn is_mild(self) -> bool {
        match self {
            LinkFault::Loss { chance } => chance <= 0.1,
            LinkFault::Slow {
                latency_ms,
                jitter_ms,
            } => latency_ms + jitter_ms <= 60.0 && jitter_ms <= 50.0,
            LinkFault::Double { .. } | LinkFault::Reorder { .. } => true,
            LinkFault::Spoil { chance } | LinkFault::Truncate { chance } => chance <= 0.1,
            _ => false,
        }
    }
}

/// A fault that a link has now.
#[derive(Clone, Copy, Debug)]
struct ActiveFault {
    fault: LinkFault,
    since: Micros,
}

/// The state of a link between two datagrams.
#[derive(Clone, Copy, Debug, Default)]
struct LinkState {
    /// Datagrams of the present burst that are still to be lost.
    burst_remaining: u64,
    /// Until when a link with a limited rate is busy.
    busy_until: Micros,
}

/// A link in one direction.
#[derive(Clone, Debug, Default)]
struct Link {
    faults: BTreeMap<u64, ActiveFault>,
    state: LinkState,
}

/// All links between a number of processes.
#[derive(Clone, Debug)]
pub struct Links {
    count: usize,
    /// By sender and receiver.
    links: Vec<Link>,
    random: SeededRng,
}

/// A datagram that arrives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delivery {
    /// Time from the moment that it was sent.
    pub delay: Micros,
    /// Its content, which a fault may have changed.
    pub bytes: Vec<u8>,
}

/// The delivery of bytes of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamDelivery {
    /// They are delivered after this time.
    Delayed(Micros),
    /// Neither bytes nor the end of the stream are delivered now.
    Blocked,
}

/// A datagram on its way through the faults of a link.
struct InTransit {
    delay: Micros,
    bytes: Vec<u8>,
    duplicated: bool,
}

impl Links {
    /// Links without faults between `count` processes.
    pub fn new(count: usize, seed: u64) -> Self {
        Links {
            count,
            links: vec![Link::default(); count * count],
            random: SeededRng::for_part(seed, "links"),
        }
    }

    /// Adds a fault to links, under an id by which it is removed.
    pub fn add_fault(&mut self, now: Micros, id: u64, pairs: &[DirectedLink], fault: LinkFault) {
        let active = ActiveFault { fault, since: now };
        for (from, to) in pairs {
            if *from < self.count && *to < self.count {
                let link = &mut self.links[from * self.count + to];
                link.faults.insert(id, active);
            }
        }
    }

    /// Removes the fault of this id from all links.
    pub fn remove_fault(&mut self, id: u64) {
        for link in &mut self.links {
            link.faults.remove(&id);
            if link.faults.is_empty() {
                link.state = LinkState::default();
            }
        }
    }

    /// Sends a datagram, and returns what arrives: nothing, the datagram, or the datagram and a duplicate.
    pub fn send_datagram(
        &mut self,
        now: Micros,
        from: usize,
        to: usize,
        bytes: &[u8],
    ) -> Vec<Delivery> {
        let Some(link) = self.links.get_mut(from * self.count + to) else {
            return Vec::new();
        };
        let random = &mut self.random;
        let mut datagram = InTransit {
            delay: LATENCY + random.below(JITTER as u64) as Micros,
            bytes: bytes.to_vec(),
            duplicated: false,
        };
        for active in link.faults.values() {
            if !link.state.passes(active, now, &mut datagram, random) {
                return Vec::new();
            }
        }
        let delivery = Delivery {
            delay: datagram.delay,
            bytes: datagram.bytes,
        };
        if !datagram.duplicated {
            return vec![delivery];
        }
        let mut duplicate = delivery.clone();
        duplicate.delay += random.below(DUPLICATE_JITTER as u64) as Micros;
        vec![delivery, duplicate]
    }

    /// Sends this number of bytes on a stream. A stream loses nothing: faults that lose datagrams only delay it.
    pub fn send_stream(
        &mut self,
        now: Micros,
        from: usize,
        to: usize,
        bytes: usize,
    ) -> StreamDelivery {
        let Some(link) = self.links.get(from * self.count + to) else {
            return StreamDelivery::Blocked;
        };
        let mut delay = LATENCY;
        for ActiveFault { fault, since } in link.faults.values() {
            match *fault {
                LinkFault::Cut | LinkFault::HalfOpen => return StreamDelivery::Blocked,
                LinkFault::Flap { period_ms } if is_down(now - since, period_ms) => {
                    return StreamDelivery::Blocked;
                }
                LinkFault::Slow {
                    latency_ms,
                    jitter_ms,
                } => delay += from_ms(latency_ms + jitter_ms / 2.0),
                LinkFault::Loss { chance } if self.random.happens(chance) => {
                    delay += RETRANSMIT_DELAY;
                }
                LinkFault::Bursts { chance, .. } if self.random.happens(chance) => {
                    delay += BURST_RETRANSMIT_DELAY;
                }
                LinkFault::Rate { bytes_per_s } => delay += transfer_time(bytes, bytes_per_s),
                _ => {}
            }
        }
        StreamDelivery::Delayed(delay)
    }
}

impl LinkState {
    /// Applies a fault to a datagram; false if the datagram is lost.
    fn passes(
        &mut self,
        active: &ActiveFault,
        now: Micros,
        datagram: &mut InTransit,
        random: &mut SeededRng,
    ) -> bool {
        match active.fault {
            LinkFault::Cut => return false,
            LinkFault::Flap { period_ms } => return !is_down(now - active.since, period_ms),
            LinkFault::Loss { chance } => return !random.happens(chance),
            LinkFault::Bursts { chance, datagrams } => {
                return !self.is_lost_in_burst(chance, datagrams, random);
            }
            LinkFault::Rate { bytes_per_s } => {
                return self.passes_rate_limit(now, bytes_per_s, datagram);
            }
            LinkFault::HalfOpen => {}
            LinkFault::Slow {
                latency_ms,
                jitter_ms,
            } => datagram.delay += from_ms(latency_ms + jitter_ms * random.unit()),
            LinkFault::Double { chance } => datagram.duplicated |= random.happens(chance),
            LinkFault::Reorder { chance } => {
                if random.happens(chance) {
                    datagram.delay += random.below(MAX_REORDER_DELAY as u64) as Micros;
                }
            }
            LinkFault::Spoil { chance } => datagram.corrupt(chance, random),
            LinkFault::Truncate { chance } => datagram.truncate(chance, random),
        }
        true
    }

    fn is_lost_in_burst(&mut self, chance: f64, mean_length: f64, random: &mut SeededRng) -> bool {
        if self.burst_remaining == 0 && random.happens(chance) {
            self.burst_remaining = (mean_length * exponential(random)).ceil() as u64;
        }
        let is_lost = self.burst_remaining > 0;
        self.burst_remaining = self.burst_remaining.saturating_sub(1);
        is_lost
    }

    fn passes_rate_limit(
        &mut self,
        now: Micros,
        bytes_per_s: f64,
        datagram: &mut InTransit,
    ) -> bool {
        let free_at = self.busy_until.max(now);
        if free_at - now > MAX_QUEUE {
            return false;
        }
        self.busy_until = free_at + transfer_time(datagram.bytes.len(), bytes_per_s);
        datagram.delay += self.busy_until - now;
        true
    }
}

impl InTransit {
    fn corrupt(&mut self, chance: f64, random: &mut SeededRng) {
        if !self.bytes.is_empty() && random.happens(chance) {
            let position = random.below(self.bytes.len() as u64) as usize;
            self.bytes[position] ^= 1 + random.below(255_u64) as u8;
        }
    }

    fn truncate(&mut self, chance: f64, random: &mut SeededRng) {
        if random.happens(chance) {
            let length = random.below(self.bytes.len() as u64) as usize;
            self.bytes.truncate(length);
        }
    }
}

fn transfer_time(bytes: usize, bytes_per_s: f64) -> Micros {
    (bytes as f64 / bytes_per_s.max(1.0) * SECOND as f64) as Micros
}

fn is_down(elapsed: Micros, period_ms: f64) -> bool {
    let period = from_ms(period_ms).max(2);
    elapsed % period < period / 2
}
