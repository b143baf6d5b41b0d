//! Routing, limits, retries and idempotency claims, without I/O.
