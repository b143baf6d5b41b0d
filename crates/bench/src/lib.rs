//! Policy measurements beside their baselines.

pub mod routing;
