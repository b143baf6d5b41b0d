//! Stand-ins for the platform and for a backend server.
