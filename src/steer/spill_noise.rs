//! Random numbers for the choice among a key's targets, so that entry VMs with the same information
//! do not all choose the same one.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::ranking::Noise;

/// A random number generator with a seed of this entry VM's own.
#[derive(Clone, Debug)]
pub(super) struct SpillNoise(StdRng);

impl Default for SpillNoise {
    fn default() -> Self {
        Self::new(0)
    }
}

impl SpillNoise {
    pub(super) fn new(seed: u64) -> Self {
        Self(StdRng::seed_from_u64(seed))
    }

    /// The random numbers of one choice.
    pub(super) fn draw(&mut self) -> Noise {
        std::array::from_fn(|_| self.0.random_range(-1.0..1.0))
    }
}
