//! The one source of chance of a voter, from its seed.
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

#[derive(Clone, Debug)]
pub struct Dice(Xoshiro256PlusPlus);

impl Dice {
    pub fn new(seed: u64) -> Self {
        Dice(Xoshiro256PlusPlus::seed_from_u64(seed))
    }

    pub fn below(&mut self, bound: i64) -> i64 {
        if bound < 1 {
            0
        } else {
            self.0.random_range(0..bound)
        }
    }
}
