//! Alert rules with the published Prometheus semantics, without I/O.
