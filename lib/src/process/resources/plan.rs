//! Divides the memory and descriptors of the VM.

use crate::process::settings::ResourceSettings;

/// Descriptors that are left for files.
const RESERVED_DESCRIPTORS: usize = 200;
/// Most connections of operators, or of readiness checks.
const MAX_INTERNAL_CONNECTIONS: usize = 32;
/// Least memory for each connection of a caller, in bytes.
const BYTES_PER_CONNECTION: usize = 32 * 1024;
/// Most memory for response bodies that are buffered or held, each, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// The shares of one VM. What they leave is for the daemon at rest.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ResourcePlan {
    /// Memory for what callers' connections hold, in bytes.
    pub client_bytes: usize,
    /// Memory for requests of other daemons, in bytes.
    pub sender_bytes: usize,
    /// Most bytes of bodies that one daemon's requests leave unread: the flow-control window of its
    /// connection. Small frames of a body take far more memory than their bytes, which `h2`
    /// bounds by the half of the window.
    pub request_window: usize,
    /// The same for the responses of one daemon.
    pub response_window: usize,
    /// Memory for the upstream's responses that are buffered, in bytes.
    pub response_bytes: usize,
    /// Memory for bodies that are held because of pipelined requests, in bytes.
    pub pipelined_bytes: usize,
    /// Most connections of callers.
    pub client_connections: usize,
    /// Most connections that other daemons open.
    pub peer_connections: usize,
    /// Most connections of operators, and as many of readiness checks.
    pub internal_connections: usize,
}

impl ResourcePlan {
    /// Divides what the settings state.
    pub fn new(settings: &ResourceSettings) -> Self {
        let memory = usize::try_from(settings.memory_mb).unwrap_or(usize::MAX);
        let percent = memory.saturating_mul(10_000);
        let descriptors = settings.descriptors as usize - RESERVED_DESCRIPTORS;
        let client_bytes = percent.saturating_mul(40);
        let sender_bytes = percent.saturating_mul(15);
        let body_bytes = percent.saturating_mul(10).min(MAX_BODY_BYTES);
        Self {
            client_bytes,
            sender_bytes,
            request_window: sender_bytes / 6,
            response_window: client_bytes / 4,
            response_bytes: body_bytes,
            pipelined_bytes: body_bytes,
            client_connections: (descriptors / 2).min(client_bytes / BYTES_PER_CONNECTION),
            peer_connections: descriptors / 5,
            internal_connections: (descriptors / 20).min(MAX_INTERNAL_CONNECTIONS),
        }
    }
}
