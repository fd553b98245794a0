//! Hands what was learned of images from owner to owner.

use super::{State, headroom::Estimate, interference::ImageId};
use crate::{Learned, LearnedImage};

impl State {
    /// What is known of all serving images, for the store.
    pub(super) fn learned(&self) -> Learned {
        let names = self.interference.names();
        let entry = |(at, name): (usize, &smol_str::SmolStr)| {
            let image = ImageId::numbered(at);
            let slopes = self.interference.slopes(image).into_iter();
            let slopes = slopes.filter_map(|(filler, slope)| {
                let filler = names.get(filler.at())?.clone();
                Some((filler, slope.mean, slope.variance))
            });
            let entry = LearnedImage {
                image: name.clone(),
                floor: self.headrooms.learned_floor(image),
                slopes: slopes.collect(),
            };
            let is_known = entry.floor.is_some() || !entry.slopes.is_empty();
            is_known.then_some(entry)
        };
        Learned {
            serving: names.iter().enumerate().filter_map(entry).collect(),
        }
    }

    /// Goes on from what an earlier owner has learned.
    pub(super) fn recall(&mut self, learned: &Learned) {
        for known in &learned.serving {
            let serving = self.interference.image(Some(&known.image));
            if let Some(floor) = known.floor {
                self.headrooms.recall(serving, floor);
            }
            for (filler, mean, variance) in &known.slopes {
                let filler = self.interference.image(Some(filler));
                let slope = Estimate {
                    mean: *mean,
                    variance: *variance,
                };
                self.interference.recall(serving, filler, slope);
            }
        }
    }
}
