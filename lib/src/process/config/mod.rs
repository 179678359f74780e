//! The configuration in force and how it reaches every daemon; see `docs/design/configuration.md`.
