//! Measurements of the routing policy against baselines, and of capacity.

pub mod capacity;
pub mod routing;
