//! Admission beside the upstream: the concurrency limit, queues and shedding; see `docs/design/admission.md`.
