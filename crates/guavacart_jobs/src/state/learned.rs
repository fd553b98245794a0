//! Hands the learned model of images from one owner to the next.

use super::{State, headroom::Estimate, interference::ImageId};
use crate::{LearnedInterference, ServiceInterference};

impl State {
    /// The learned model of all service images, for the store.
    pub(super) fn learned(&self) -> LearnedInterference {
        let names = self.interference.names();
        let entry = |(index, name): (usize, &smol_str::SmolStr)| {
            let image = ImageId::from_index(index);
            let slopes = self.interference.slopes(image).into_iter();
            let slopes = slopes.filter_map(|(best_effort, slope)| {
                let best_effort = names.get(best_effort.index())?.clone();
                Some((best_effort, slope.mean, slope.variance))
            });
            let entry = ServiceInterference {
                image: name.clone(),
                min_headroom: self.headrooms.learned_min_headroom(image),
                slopes: slopes.collect(),
            };
            let is_known = entry.min_headroom.is_some() || !entry.slopes.is_empty();
            is_known.then_some(entry)
        };
        LearnedInterference {
            services: names.iter().enumerate().filter_map(entry).collect(),
        }
    }

    /// Restores the model that an earlier owner learned.
    pub(super) fn restore_learned(&mut self, learned: &LearnedInterference) {
        for known in &learned.services {
            let service = self.interference.register_image(Some(&known.image));
            if let Some(min_headroom) = known.min_headroom {
                self.headrooms.restore_min_headroom(service, min_headroom);
            }
            for (best_effort, mean, variance) in &known.slopes {
                let best_effort = self.interference.register_image(Some(best_effort));
                let slope = Estimate {
                    mean: *mean,
                    variance: *variance,
                };
                self.interference.restore_slope(service, best_effort, slope);
            }
        }
    }
}
