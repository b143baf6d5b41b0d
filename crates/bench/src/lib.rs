//! Policy measurements beside their baselines, and measurements of capacity.

pub mod capacity;
pub mod routing;
