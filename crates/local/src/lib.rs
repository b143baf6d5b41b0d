//! A whole small site in one process.
