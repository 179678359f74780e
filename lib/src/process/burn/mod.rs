//! Service-level burn per class over several windows; see `docs/design/burn.md`.
