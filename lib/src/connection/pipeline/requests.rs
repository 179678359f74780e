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
use hyper::body::Body as _;
use parking_lot::Mutex;
use tokio::sync::Notify;
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
use super::pace::Pace;
use super::pause::Pauses;
use super::reader::ReadFailure;
use super::reader::Reader;
use super::stream::ReadHalf;
use super::stream::SOCKET_BUFFER_BYTES;
use crate::connection::body::RelayBody;
use crate::connection::peers::STREAM_WINDOW_BYTES;
use crate::process::resources::Account;
use crate::process::resources::Charge;
use crate::process::resources::Held;
use crate::process::resources::RequestGuard;

/// Factor by which an idle connection stays open longer than callers are told, so that it is
/// not closed while a request is in transit.
const IDLE_TIMEOUT_FACTOR: f64 = 1.25;
/// Memory that a request in progress takes beside its head and body, in bytes: its task, its place
/// in queues, and its stream to another daemon.
pub(crate) const REQUEST_BYTES: usize = 12 * 1024;
/// Copies of the head of a request in progress: decoded, as it is sent on, and in buffers.
pub(crate) const HEAD_COPIES: usize = 4;
/// Memory that the part of a long body takes which is on its way, in bytes.
const STREAMED_BODY_BYTES: usize = STREAM_WINDOW_BYTES as usize + SOCKET_BUFFER_BYTES;
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
    /// What is charged for the request until its response has been written.
    pub(super) _charge: Charge,
}

/// Counts a request as in progress until its response has been written.
pub(super) struct InProgressGuard {
    activity: Arc<Activity>,
    _request: RequestGuard,
}

impl Drop for InProgressGuard {
    fn drop(&mut self) {
        self.activity.record_end();
        if self.activity.in_progress.fetch_sub(1, Ordering::Relaxed) == 1 {
            self.activity.idle.notify_one();
        }
    }
}

/// Requests in progress on a connection, and how long it has been idle.
pub(super) struct Activity {
    in_progress: AtomicUsize,
    /// Wakes the reader when no request is in progress any more.
    idle: Notify,
    /// When the last response had been written or the last request read to its end, whichever
    /// was later; the start of the connection before the first request.
    last_end: Mutex<Instant>,
}

impl Activity {
    pub(super) fn new() -> Self {
        let (in_progress, last_end) = (AtomicUsize::new(0), Mutex::new(Instant::now()));
        Self { in_progress, idle: Notify::new(), last_end }
    }

    fn record_end(&self) {
        *self.last_end.lock() = Instant::now();
    }

    fn begin(self: &Arc<Self>, account: &Account) -> InProgressGuard {
        self.in_progress.fetch_add(1, Ordering::Relaxed);
        InProgressGuard { activity: Arc::clone(self), _request: account.begin_request() }
    }

    /// Returns when the last response had been written or the last request read to its end.
    pub(super) fn last_end(&self) -> Instant {
        *self.last_end.lock()
    }

    fn is_idle(&self) -> bool {
        self.in_progress.load(Ordering::Relaxed) == 0
    }

    /// Waits until no request is in progress.
    async fn wait_idle(&self) {
        while !self.is_idle() {
            self.idle.notified().await;
        }
    }

    /// Returns since when no request is in progress; now if one is.
    fn idle_since(&self) -> Instant {
        match self.in_progress.load(Ordering::Relaxed) {
            0 => self.last_end(),
            _ => Instant::now(),
        }
    }
}

/// Reads the requests of one connection and starts to serve them.
pub(super) struct RequestLoop<'a, S> {
    reader: Reader<'a, ReadHalf>,
    pauses: Pauses<'a>,
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
    activity: &'a Arc<Activity>,
}

impl<'a, S> RequestLoop<'a, S>
where
    S: Service<Request<RelayBody>, Response = Response<RelayBody>, Error = Infallible>,
    S: Clone + Send + Sync + 'static,
    S::Future: Send,
{
    pub(super) fn new(
        pauses: Pauses<'a>,
        service: S,
        cx: &'a ConnectionCx,
        closing: CancellationToken,
        last_announced: &'a AtomicBool,
        order: &'a Arc<Order>,
        tx: mpsc::Sender<QueuedResponse>,
    ) -> Self {
        Self {
            reader: Reader::new(pauses.stream.clone(), pauses),
            pauses,
            service,
            cx,
            closing,
            last_announced,
            order,
            started: 0,
            tx,
            activity: pauses.activity,
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
                    self.report(err);
                    // The send fails only if the writer has ended, which closes the connection.
                    let _ = self.tx.send(QueuedResponse::Rejection(err)).await;
                    return self.wait_closed().await;
                }
            }
        }
    }

    fn report(&self, err: ReadError) {
        match err {
            ReadError::BodyTimeout => self.pauses.account.cut_stalled(),
            err if err.is_callers_fault() => (self.cx.on_malformed)(),
            _ => {}
        }
    }

    /// Waits until the connection may be read although requests are in progress on it.
    async fn wait_read_ahead(&self) {
        if self.activity.is_idle() {
            return;
        }
        tokio::select! {
            biased;
            () = self.pauses.account.wait_read_ahead() => {}
            () = self.activity.wait_idle() => {}
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
        let permit = self.pauses.run(self.tx.clone().reserve_owned()).await?;
        let Ok(permit) = permit else { return Ok(false) };
        self.pauses.run(self.wait_read_ahead()).await?;
        tokio::select! {
            // A request that has arrived before the connection closes is answered.
            biased;
            wait = wait_for_request(&mut self.reader, self.activity, self.cx) => match wait? {
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
        let mut pace = Pace::new(self.cx.stall_timeout);
        let (head, incoming, charge) = tokio::select! {
            biased;
            read = self.read_request(&limits, &mut pace) => read?,
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
        permit.send(QueuedResponse::Pending(self.start(head, body, charge)));
        self.reader.end_request();
        if let Some(remainder) = remainder {
            let relayed = remainder.relay(&mut self.reader, limits.body_bytes, &mut pace).await;
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
            Err(ReadFailure::Rejected(err)) => {
                self.report(err);
                self.closing.cancel();
                Ok(false)
            }
            relayed => relayed.map(|()| true),
        }
    }

    /// Reads the head of a request and a short body, or the beginning of a long one, and reserves
    /// what it takes while it is in progress.
    async fn read_request(
        &mut self,
        limits: &ConnectionLimits,
        pace: &mut Pace,
    ) -> Result<(Head, IncomingBody, Charge), ReadFailure> {
        let head = timeout(limits.head_timeout, self.reader.read_head(limits.head_bytes)).await;
        let head = head.unwrap_or(Err(ReadError::HeadTimeout.into()))?;
        let framing = framing::from_headers(&head.parts.headers)?;
        if matches!(framing, Framing::Length(len) if len > limits.body_bytes) {
            return Err(ReadError::BodyTooLong.into());
        }
        if head.expects_continue {
            self.tx.send(QueuedResponse::Continue).await.map_err(|_| ReadFailure::Closed)?;
        }
        // The time of a body begins behind its head.
        *pace = Pace::new(self.cx.stall_timeout);
        let incoming = body::read_beginning(&mut self.reader, Decoder::new(framing), pace).await?;
        let body_len = match &incoming {
            IncomingBody::Complete(body) => body.size_hint().lower() as usize,
            IncomingBody::Streamed(body, _) => {
                body.size_hint().lower() as usize + STREAMED_BODY_BYTES
            }
        };
        let len = REQUEST_BYTES + HEAD_COPIES * head.len + body_len;
        let charge = self.pauses.run(self.pauses.account.reserve(Held::Requests, len)).await?;
        Ok((head, incoming, charge))
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
    fn start(&mut self, head: Head, body: RelayBody, charge: Charge) -> PendingResponse {
        let in_progress = self.activity.begin(self.pauses.account);
        let is_head_method = head.parts.method == Method::HEAD;
        let supports_chunked = head.parts.version == http::Version::HTTP_11;
        let mut req = Request::from_parts(head.parts, body);
        req.extensions_mut().insert(Turn::new(self.order, self.started));
        req.extensions_mut().insert(self.pauses.account.clone());
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
            _charge: charge,
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
async fn wait_for_request(
    reader: &mut Reader<'_, ReadHalf>,
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
