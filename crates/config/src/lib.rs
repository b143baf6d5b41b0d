//! INI base file and overlays, checked into typed settings.
