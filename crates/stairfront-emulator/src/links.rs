//! Links between the processes of a group, as a model: what becomes of each datagram, and whether a stream's bytes go
//! on. It knows nothing of what they carry. Faults are laid over each other; a link without one only takes its time.
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::distributions::exponential;
use stairfront_common::random::SeededRng;
use stairfront_common::time::{from_ms, Micros, MS, SECOND};

/// What a link does to what goes one way over it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "link", rename_all = "kebab-case")]
pub enum LinkFault {
    /// Nothing goes through.
    Cut,
    /// Cut for half of each period.
    Flap {
        period_ms: f64,
    },
    Loss {
        chance: f64,
    },
    /// Bursts in which all is lost, begun with this chance at a datagram, so many of them long on average.
    Bursts {
        chance: f64,
        datagrams: f64,
    },
    Slow {
        latency_ms: f64,
        jitter_ms: f64,
    },
    Double {
        chance: f64,
    },
    /// Held back, so that later ones come first.
    Reorder {
        chance: f64,
    },
    /// One byte is another.
    Spoil {
        chance: f64,
    },
    /// The tail is cut off.
    Truncate {
        chance: f64,
    },
    Rate {
        bytes_per_s: f64,
    },
    /// Streams come up, and nothing comes on them; datagrams pass.
    HalfOpen,
}

impl LinkFault {
    /// Whether nothing at all gets through while it lasts.
    pub fn cuts(self) -> bool {
        matches!(self, LinkFault::Cut)
    }

    /// Whether a group has to bear it without calling anybody failed who lives: up to 10% loss and 50 ms of jitter.
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

/// What a link without a fault takes, and how far that scatters.
const LATENCY: Micros = 300;
const SCATTER: Micros = 200;
/// The longest that a datagram is held back so that others overtake it.
const HELD_BACK: Micros = 80 * MS;
/// What waits for a slow link at most; what comes beyond is lost, as in a router.
const LONGEST_QUEUE: Micros = 500 * MS;

#[derive(Clone, Debug, Default)]
struct Link {
    faults: BTreeMap<u64, (LinkFault, Micros)>,
    /// Datagrams of a burst still to be lost.
    burst: u64,
    /// A limited link is busy until then.
    busy_until: Micros,
}

/// All links between so many processes, by source and destination.
#[derive(Clone, Debug)]
pub struct Links {
    count: usize,
    links: Vec<Link>,
    dice: SeededRng,
}

/// A datagram that arrives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delivery {
    /// Time from the moment that it was sent.
    pub delay: Micros,
    /// What arrives, which a fault may have changed.
    pub bytes: Vec<u8>,
}

/// What becomes of a stream's bytes at a moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamDelivery {
    /// They go on after so long.
    Delayed(Micros),
    /// Neither bytes nor an end go on: the link is silent.
    Blocked,
}

impl Links {
    pub fn new(count: usize, seed: u64) -> Self {
        Links {
            count,
            links: vec![Link::default(); count * count],
            dice: SeededRng::for_part(seed, "links"),
        }
    }

    /// Lays a fault over links, under a number by which it is lifted.
    pub fn add_fault(
        &mut self,
        now: Micros,
        number: u64,
        pairs: &[(usize, usize)],
        fault: LinkFault,
    ) {
        for (from, to) in pairs
            .iter()
            .filter(|(from, to)| *from < self.count && *to < self.count)
        {
            self.links[from * self.count + to]
                .faults
                .insert(number, (fault, now));
        }
    }

    pub fn remove_fault(&mut self, number: u64) {
        for link in &mut self.links {
            link.faults.remove(&number);
            if link.faults.is_empty() {
                (link.burst, link.busy_until) = (0, 0);
            }
        }
    }

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
        let dice = &mut self.dice;
        let mut delay = LATENCY + dice.below(SCATTER as u64) as Micros;
        let mut bytes = bytes.to_vec();
        let mut twice = false;
        for (fault, since) in link.faults.values() {
            match *fault {
                LinkFault::Cut => return Vec::new(),
                LinkFault::Flap { period_ms } if is_down(now - since, period_ms) => {
                    return Vec::new()
                }
                LinkFault::Loss { chance } if dice.happens(chance) => return Vec::new(),
                LinkFault::Bursts { chance, datagrams } => {
                    if link.burst == 0 && dice.happens(chance) {
                        link.burst = (datagrams * exponential(dice)).ceil() as u64;
                    }
                    if link.burst > 0 {
                        link.burst -= 1;
                        return Vec::new();
                    }
                }
                LinkFault::Slow {
                    latency_ms,
                    jitter_ms,
                } => {
                    delay += from_ms(latency_ms + jitter_ms * dice.unit());
                }
                LinkFault::Double { chance } => twice |= dice.happens(chance),
                LinkFault::Reorder { chance } if dice.happens(chance) => {
                    delay += dice.below(HELD_BACK as u64) as Micros;
                }
                LinkFault::Spoil { chance } if !bytes.is_empty() && dice.happens(chance) => {
                    let at = dice.below(bytes.len() as u64) as usize;
                    bytes[at] ^= 1 + dice.below(255_u64) as u8;
                }
                LinkFault::Truncate { chance } if dice.happens(chance) => {
                    bytes.truncate(dice.below(bytes.len() as u64) as usize);
                }
                LinkFault::Rate { bytes_per_s } => {
                    let free = link.busy_until.max(now);
                    if free - now > LONGEST_QUEUE {
                        return Vec::new();
                    }
                    link.busy_until = free
                        + (bytes.len() as f64 / bytes_per_s.max(1.0) * SECOND as f64) as Micros;
                    delay += link.busy_until - now;
                }
                _ => {}
            }
        }
        let mut arrivals = vec![Delivery { delay, bytes }];
        if twice {
            let mut duplicate = arrivals[0].clone();
            duplicate.delay += dice.below(20 * MS as u64) as Micros;
            arrivals.push(duplicate);
        }
        arrivals
    }

    /// What becomes now of so many bytes of a stream. A stream is not lossy: what loses datagrams only slows it.
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
        for (fault, since) in link.faults.values() {
            match *fault {
                LinkFault::Cut | LinkFault::HalfOpen => return StreamDelivery::Blocked,
                LinkFault::Flap { period_ms } if is_down(now - since, period_ms) => {
                    return StreamDelivery::Blocked
                }
                LinkFault::Slow {
                    latency_ms,
                    jitter_ms,
                } => delay += from_ms(latency_ms + jitter_ms / 2.0),
                // Sent again after a round trip, each time that it is lost.
                LinkFault::Loss { chance } if self.dice.happens(chance) => delay += 200 * MS,
                LinkFault::Bursts { chance, .. } if self.dice.happens(chance) => delay += 400 * MS,
                LinkFault::Rate { bytes_per_s } => {
                    delay += (bytes as f64 / bytes_per_s.max(1.0) * SECOND as f64) as Micros;
                }
                _ => {}
            }
        }
        StreamDelivery::Delayed(delay)
    }
}

fn is_down(since: Micros, period_ms: f64) -> bool {
    let period = from_ms(period_ms).max(2);
    since % period < period / 2
}
