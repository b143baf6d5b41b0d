//! Policy measurements beside their baselines.
