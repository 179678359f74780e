//! Settings of one daemon, read from a TOML file; see `docs/settings.md`.
