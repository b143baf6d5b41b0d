//! Timer service, telemetry, HTTP listeners and shutdown shared by the processes.
