//! Reads the requests of a connection and starts to serve each of them.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::Method;
use http::Request;
use http::Response;
use parking_lot::Mutex;
use tokio::io::AsyncRead;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio::time::timeout_at;
use tokio_util::sync::CancellationToken;
use tokio_util::task::AbortOnDropHandle;
use tower::Service;

use super::ConnectionCx;
use super::ConnectionLimits;
use super::body;
use super::body::IncomingBody;
use super::error::ReadError;
use super::framing;
use super::framing::Decoder;
use super::framing::Framing;
use super::head::Head;
use super::order::Order;
use super::order::Turn;
use super::reader::ReadFailure;
use super::reader::Reader;
use crate::connection::body::RelayBody;

/// Factor by which an idle connection stays open longer than callers are told, so that it is
/// not closed while a request is in transit.
const IDLE_TIMEOUT_FACTOR: f64 = 1.25;
/// Time for which a connection that is told to close still takes a request.
const ARRIVAL_TIME: Duration = Duration::from_millis(50);

/// An entry in the queue of responses that the writer writes in order.
pub(super) enum QueuedResponse {
    /// `100 Continue`, after which the caller sends the body.
    Continue,
    /// The response to a request that may still be in progress.
    Pending(PendingResponse),
    /// The rejection of an invalid request, after which the connection closes.
    Rejection(ReadError),
}

/// The response to a request that is being served; dropping it cancels the request.
pub(super) struct PendingResponse {
    pub(super) task: AbortOnDropHandle<Response<RelayBody>>,
    /// Whether the method is HEAD, so that the response has no body.
    pub(super) is_head_method: bool,
    /// Whether the caller supports the chunked transfer coding.
    pub(super) supports_chunked: bool,
    pub(super) in_progress: InProgressGuard,
}

/// Counts a request as in progress until its response has been written.
pub(super) struct InProgressGuard(Arc<Activity>);

impl Drop for InProgressGuard {
    fn drop(&mut self) {
        self.0.record_end();
        self.0.in_progress.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Requests in progress on a connection, and how long it has been idle.
struct Activity {
    in_progress: AtomicUsize,
    /// When the last response had been written or the last request read to its end, whichever
    /// was later; the start of the connection before the first request.
    last_end: Mutex<Instant>,
}

impl Activity {
    fn new() -> Self {
        Self { in_progress: AtomicUsize::new(0), last_end: Mutex::new(Instant::now()) }
    }

    fn record_end(&self) {
        *self.last_end.lock() = Instant::now();
    }

    fn begin(self: &Arc<Self>) -> InProgressGuard {
        self.in_progress.fetch_add(1, Ordering::Relaxed);
        InProgressGuard(Arc::clone(self))
    }

    /// Returns since when no request is in progress; now if one is.
    fn idle_since(&self) -> Instant {
        match self.in_progress.load(Ordering::Relaxed) {
            0 => *self.last_end.lock(),
            _ => Instant::now(),
        }
    }
}

/// Reads the requests of one connection and starts to serve them.
pub(super) struct RequestLoop<'a, R, S> {
    reader: Reader<R>,
    service: S,
    cx: &'a ConnectionCx,
    /// Cancelled when no more requests are read because the connection is to be closed.
    closing: CancellationToken,
    /// Whether the writer has announced its current response as the last one.
    last_announced: &'a AtomicBool,
    order: &'a Arc<Order>,
    /// Number of requests that were started.
    started: u64,
    tx: mpsc::Sender<QueuedResponse>,
    activity: Arc<Activity>,
}

impl<'a, R, S> RequestLoop<'a, R, S>
where
    R: AsyncRead + Unpin,
    S: Service<Request<RelayBody>, Response = Response<RelayBody>, Error = Infallible>,
    S: Clone + Send + Sync + 'static,
    S::Future: Send,
{
    pub(super) fn new(
        io: R,
        service: S,
        cx: &'a ConnectionCx,
        closing: CancellationToken,
        last_announced: &'a AtomicBool,
        order: &'a Arc<Order>,
        tx: mpsc::Sender<QueuedResponse>,
    ) -> Self {
        Self {
            reader: Reader::new(io),
            service,
            cx,
            closing,
            last_announced,
            order,
            started: 0,
            tx,
            activity: Arc::new(Activity::new()),
        }
    }

    /// Reads requests until the connection is to be closed, then waits until the caller closes
    /// its side.
    pub(super) async fn run(mut self) {
        loop {
            match self.serve_next().await {
                Ok(true) => {}
                Ok(false) => return self.wait_closed().await,
                Err(ReadFailure::Closed) => return,
                Err(ReadFailure::Rejected(err)) => {
                    if err.is_callers_fault() {
                        (self.cx.on_malformed)();
                    }
                    // The send fails only if the writer has ended, which closes the connection.
                    let _ = self.tx.send(QueuedResponse::Rejection(err)).await;
                    return self.wait_closed().await;
                }
            }
        }
    }

    /// Closes the queue of responses, then waits until the caller closes the connection.
    async fn wait_closed(self) {
        let Self { mut reader, tx, cx, .. } = self;
        drop(tx);
        reader.wait_closed(&cx.discards).await;
    }

    /// Reads one request and starts to serve it; returns whether to read more requests.
    async fn serve_next(&mut self) -> Result<bool, ReadFailure> {
        let Ok(permit) = self.tx.clone().reserve_owned().await else { return Ok(false) };
        tokio::select! {
            // A request that has arrived before the connection closes is answered.
            biased;
            wait = wait_for_request(&mut self.reader, &self.activity, self.cx) => match wait? {
                WaitOutcome::Request => {}
                WaitOutcome::Idle => return Ok(false),
            },
            () = self.closing.cancelled() => {
                if !self.is_request_arriving().await {
                    return Ok(false);
                }
            }
        }
        let limits = (self.cx.limits)();
        let stop = self.cx.stop.clone();
        let (head, incoming) = tokio::select! {
            biased;
            read = self.read_request(&limits) => read?,
            () = wait_arrival_end(&stop) => return Err(ReadError::Stopping.into()),
        };
        // The previous response may have been announced as the last one in the meantime. This
        // request is then treated as one that was not read.
        if self.last_announced.load(Ordering::Relaxed) {
            return Ok(false);
        }
        let close_after = head.close_after || self.closing.is_cancelled();
        let (body, remainder) = match incoming {
            IncomingBody::Complete(body) => (body, None),
            IncomingBody::Streamed(body, remainder) => (body, Some(remainder)),
        };
        permit.send(QueuedResponse::Pending(self.start(head, body)));
        if let Some(remainder) = remainder {
            let relayed = remainder.relay(&mut self.reader, limits.body_bytes).await;
            if !self.is_relayed_whole(relayed)? {
                return Ok(false);
            }
            self.activity.record_end();
        }
        if close_after {
            self.closing.cancel();
        }
        Ok(!close_after)
    }

    /// Returns whether the rest of a body was relayed to its end. If it was rejected, no more
    /// requests are read: nobody knows where the next one begins.
    ///
    /// The request gets the response of its task and no rejection, which would be a second one.
    fn is_relayed_whole(&self, relayed: Result<(), ReadFailure>) -> Result<bool, ReadFailure> {
        match relayed {
            Err(ReadFailure::Rejected(_)) => {
                (self.cx.on_malformed)();
                self.closing.cancel();
                Ok(false)
            }
            relayed => relayed.map(|()| true),
        }
    }

    /// Reads the head of a request and a short body, or the beginning of a long one.
    async fn read_request(
        &mut self,
        limits: &ConnectionLimits,
    ) -> Result<(Head, IncomingBody), ReadFailure> {
        let head = timeout(limits.head_timeout, self.reader.read_head(limits.head_bytes)).await;
        let head = head.unwrap_or(Err(ReadError::HeadTimeout.into()))?;
        let framing = framing::from_headers(&head.parts.headers)?;
        if matches!(framing, Framing::Length(len) if len > limits.body_bytes) {
            return Err(ReadError::BodyTooLong.into());
        }
        if head.expects_continue {
            self.tx.send(QueuedResponse::Continue).await.map_err(|_| ReadFailure::Closed)?;
        }
        let incoming = body::read_beginning(&mut self.reader, Decoder::new(framing)).await?;
        Ok((head, incoming))
    }

    /// Returns whether a request arrives although the connection is told to close.
    ///
    /// A request that was sent before the listener closed may not have been noticed yet, most
    /// of all on a connection that was just accepted.
    async fn is_request_arriving(&mut self) -> bool {
        if !self.cx.stop.is_cancelled() || self.last_announced.load(Ordering::Relaxed) {
            return false;
        }
        let arriving = timeout(ARRIVAL_TIME, self.reader.wait_for_request()).await;
        matches!(arriving, Ok(Ok(())))
    }

    /// Starts a task that serves a request.
    fn start(&mut self, head: Head, body: RelayBody) -> PendingResponse {
        let in_progress = self.activity.begin();
        let is_head_method = head.parts.method == Method::HEAD;
        let supports_chunked = head.parts.version == http::Version::HTTP_11;
        let mut req = Request::from_parts(head.parts, body);
        req.extensions_mut().insert(Turn::new(self.order, self.started));
        self.started += 1;
        let mut service = self.service.clone();
        let task = tokio::spawn(async move {
            match service.call(req).await {
                Ok(rsp) => rsp,
                Err(never) => match never {},
            }
        });
        PendingResponse {
            task: AbortOnDropHandle::new(task),
            is_head_method,
            supports_chunked,
            in_progress,
        }
    }
}

/// Waits until a connection no longer takes what arrives, because its listener has stopped.
async fn wait_arrival_end(stop: &CancellationToken) {
    stop.cancelled().await;
    sleep(ARRIVAL_TIME).await;
}

/// How the wait for a request ended.
enum WaitOutcome {
    /// A request has begun to arrive.
    Request,
    /// No request arrived within the idle timeout, and none is in progress.
    Idle,
}

/// Waits for the first byte of the next request.
///
/// Of the idle timeouts in force during the wait, the longest applies, because callers may
/// already use a new one or still use an old one.
async fn wait_for_request<R: AsyncRead + Unpin>(
    reader: &mut Reader<R>,
    activity: &Activity,
    cx: &ConnectionCx,
) -> Result<WaitOutcome, ReadFailure> {
    let mut idle_timeout = Duration::ZERO;
    loop {
        let in_force = (cx.limits)().idle_timeout.mul_f64(IDLE_TIMEOUT_FACTOR);
        idle_timeout = idle_timeout.max(in_force);
        let idle_end = activity.idle_since() + idle_timeout;
        if idle_end <= Instant::now() {
            return Ok(WaitOutcome::Idle);
        }
        if let Ok(arrived) = timeout_at(idle_end, reader.wait_for_request()).await {
            return arrived.map(|()| WaitOutcome::Request);
        }
    }
}
