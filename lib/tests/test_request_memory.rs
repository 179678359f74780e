//! Checks how much memory a request in progress takes beside its body; see `docs/CAPACITY.md`.

use std::sync::Arc;

use endivescale::connection::body::RelayBody;
use endivescale::process::node::Node;
use endivescale::request::serve;
use http::Request;

/// Requests that a small VM can have in progress: as many as it has descriptors.
const REQUESTS: usize = 4_100;
/// Half of the memory that a daemon may take.
const BYTES: usize = 64 << 20;

/// Returns the size of the future by which a daemon serves a request.
fn future_bytes<F>(_: impl Fn(Arc<Node>, Request<RelayBody>) -> F) -> usize {
    size_of::<F>()
}

/// Guards against wrappers that hold the future of a request twice.
macro_rules! memory_cases {
    ($($name:ident: $serve:expr;)*) => {$(
        #[test]
        fn $name() {
            let bytes = future_bytes($serve) + future_bytes(serve::serve_peer);
            assert!(bytes * REQUESTS <= BYTES, "{bytes} bytes");
        }
    )*};
}

memory_cases! {
    requests_of_callers_take_little_memory_while_they_wait: serve::serve_caller;
    calls_of_upstreams_take_little_memory_while_they_wait: serve::serve_upstream;
}
