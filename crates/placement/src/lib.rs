//! Guarantee accounting and placement decisions, without I/O.
