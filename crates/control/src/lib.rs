//! Leases, availability zones, configuration versions and gang starts, without I/O.
