//! Seeded random numbers.
use rand::distr::uniform::SampleUniform;
use rand::{Rng, RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

/// A source of random numbers that gives the same numbers for the same seed, on every machine and with every version of
/// `rand`: the generator is named here and is not the library's current choice.
#[derive(Clone, Debug)]
pub struct SeededRng(Xoshiro256PlusPlus);

impl SeededRng {
    /// A source from a seed.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        SeededRng(Xoshiro256PlusPlus::seed_from_u64(seed))
    }

    /// The source of one part of a run, so that one more number drawn in a part changes nothing in another.
    #[must_use]
    pub fn for_part(seed: u64, part: &str) -> Self {
        SeededRng::new(seed ^ fnv1a(part))
    }

    /// A number from 0 to below `bound`; 0 where `bound` is not above 0.
    pub fn below<T>(&mut self, bound: T) -> T
    where
        T: SampleUniform + PartialOrd + Default,
    {
        let zero = T::default();
        if bound > zero {
            self.0.random_range(zero..bound)
        } else {
            zero
        }
    }

    /// A number from 0 to below 1.
    pub fn unit(&mut self) -> f64 {
        self.0.random()
    }

    /// Whether an event of this probability occurs. A probability of 0 or less draws no number.
    pub fn happens(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.unit() < probability
    }

    /// Any 64 bits.
    pub fn number(&mut self) -> u64 {
        self.0.next_u64()
    }

    /// Puts the items in a random order (Fisher and Yates).
    pub fn shuffle<T>(&mut self, items: &mut [T]) {
        for i in (1..items.len()).rev() {
            items.swap(i, self.below(i + 1));
        }
    }

    /// At most `max` of the items, in a random order.
    #[must_use]
    pub fn sample<T>(&mut self, mut items: Vec<T>, max: usize) -> Vec<T> {
        self.shuffle(&mut items);
        items.truncate(max);
        items
    }

    /// The generator itself, for distributions of other crates.
    pub fn generator(&mut self) -> &mut Xoshiro256PlusPlus {
        &mut self.0
    }
}

/// The FNV-1a hash of a name. It serves to tell names apart, not to withstand an attacker.
fn fnv1a(name: &str) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    name.bytes().fold(OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    })
}
