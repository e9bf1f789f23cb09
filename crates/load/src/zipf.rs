//! A Zipf distribution over items whose ranks can be shuffled.

use rand::RngExt;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;

/// Samples items; the probability of the item of rank `r` is proportional to `1 / r^exponent`.
#[derive(Clone, Debug)]
pub struct Zipf {
    /// The cumulative weights by rank; invariant: ascending, not empty.
    sums: Vec<f64>,
    /// The item of each rank.
    items: Vec<usize>,
}

impl Zipf {
    /// Creates a distribution over `count` items; `count` must be above 0.
    pub fn new(count: usize, exponent: f64) -> Zipf {
        let mut sum = 0.0;
        let cumulative = (1..=count).map(|rank| {
            sum += (rank as f64).powf(-exponent);
            sum
        });
        Zipf { sums: cumulative.collect(), items: (0..count).collect() }
    }

    /// Assigns new random ranks to the items.
    pub fn shuffle(&mut self, rng: &mut StdRng) {
        self.items.shuffle(rng);
    }

    /// Samples an item.
    pub fn sample(&self, rng: &mut StdRng) -> usize {
        let total = self.sums.last().copied().unwrap_or(1.0);
        let point = rng.random::<f64>() * total;
        let rank = self.sums.partition_point(|sum| *sum <= point);
        self.items[rank.min(self.items.len() - 1)]
    }
}
