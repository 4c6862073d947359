//! The one source of chance of a member, from its seed.
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

#[derive(Clone, Debug)]
pub struct Dice(Xoshiro256PlusPlus);

impl Dice {
    pub fn new(seed: u64) -> Self {
        Dice(Xoshiro256PlusPlus::seed_from_u64(seed))
    }

    pub fn below(&mut self, bound: usize) -> usize {
        match bound {
            0 => 0,
            _ => self.0.random_range(0..bound),
        }
    }

    pub fn happens(&mut self, chance: f64) -> bool {
        self.0.random::<f64>() < chance
    }

    pub fn shuffle<T>(&mut self, items: &mut [T]) {
        for i in (1..items.len()).rev() {
            items.swap(i, self.below(i + 1));
        }
    }

    /// Some of them, in an order of chance.
    pub fn some<T>(&mut self, mut items: Vec<T>, most: usize) -> Vec<T> {
        self.shuffle(&mut items);
        items.truncate(most);
        items
    }
}
