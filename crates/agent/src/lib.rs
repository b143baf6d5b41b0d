//! Agent process beside a backend server.
