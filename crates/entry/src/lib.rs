//! Entry process: callers, operators and scheduling duties.
