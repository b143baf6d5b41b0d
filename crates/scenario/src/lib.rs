//! Scripted scenarios over the core with a virtual clock.
