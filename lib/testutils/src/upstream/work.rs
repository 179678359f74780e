//! Course of one request through an upstream stand-in.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use snafu::ResultExt;
use tokio::time::Instant;

use crate::error::BuildSnafu;
use crate::error::ExchangeSnafu;
use crate::error::StandInError;
use crate::headers;
use crate::http::Answer;
use crate::http::AnswerBody;
use crate::http::full;
use crate::http::text;
use crate::mark::MarkBody;
use crate::mark::MarkStream;
use crate::mark::Side;

use super::Shared;
use super::behaviour::Behaviour;
use super::behaviour::CutPoint;
use super::behaviour::OwnCall;
use super::ledger::Entry;
use super::ledger::Running;
use super::ledger::State;
use super::reporting;

/// Longest time that a request without a deadline may take.
const LONGEST: Duration = Duration::from_secs(600);

/// What the course of a request needs of its head.
struct Job {
    mark: String,
    path: String,
    context: Option<HeaderValue>,
    attempt: Option<HeaderValue>,
    answer_bytes: Option<u64>,
    answer_rate: Option<u64>,
    deadline_ms: Option<u64>,
}

/// How the work of a request ended.
enum Worked {
    Done,
    CallFailed,
    Expired,
}

pub(super) async fn handle(shared: Arc<Shared>, req: Request<Incoming>) -> Answer {
    match req.uri().path() {
        "/health" => return reporting::health(&shared),
        "/load" => return reporting::load(&shared),
        _ => {}
    }
    let arrived = Instant::now();
    let behaviour = shared.behaviour.lock().clone();
    let (head, body) = req.into_parts();
    let job = job(&head);
    let running = shared.ledger.begin(entry(&shared, &head, &job));
    if behaviour.drain {
        running.shed();
        return Ok(refusal("draining"));
    }
    let cut = next_cut(&shared);
    if cut == CutPoint::BeforeWork {
        running.failed();
        return Err(StandInError::Cut);
    }
    if !behaviour.ignore_cancel {
        return serve(&shared, &behaviour, cut, job, running, body, arrived).await;
    }
    // The task is not aborted when hyper drops this future, so the work ends
    // although the caller has gone.
    let task =
        tokio::spawn(
            async move { serve(&shared, &behaviour, cut, job, running, body, arrived).await },
        );
    task.await.unwrap_or(Err(StandInError::Cut))
}

async fn serve(
    shared: &Shared,
    behaviour: &Behaviour,
    cut: CutPoint,
    job: Job,
    mut running: Running,
    body: Incoming,
    arrived: Instant,
) -> Answer {
    match matches(&job.mark, body).await {
        Ok((matches, bytes)) => running.body(matches, bytes),
        Err(err) => {
            running.failed();
            return Err(err);
        }
    }
    let due = due(behaviour, &job, arrived);
    let Ok(slot) = take_slot(shared, behaviour, due).await else {
        running.shed();
        return Ok(refusal("busy"));
    };
    running.work(slot);
    match work(shared, behaviour, &job, due).await {
        Worked::Done => {}
        Worked::CallFailed => {
            running.failed();
            return Ok(text(StatusCode::BAD_GATEWAY, "own call failed"));
        }
        Worked::Expired => {
            running.expired();
            return Ok(text(StatusCode::GATEWAY_TIMEOUT, "deadline passed"));
        }
    }
    if cut == CutPoint::AnswerHead {
        running.failed();
        return Err(StandInError::Cut);
    }
    answer(behaviour, cut, &job, running)
}

fn job(head: &http::request::Parts) -> Job {
    let number = |name| head.headers.get(name)?.to_str().ok()?.parse().ok();
    Job {
        mark: string(&head.headers, headers::MARK).unwrap_or_default(),
        path: head.uri.path().to_owned(),
        context: head.headers.get(headers::CONTEXT).cloned(),
        attempt: head.headers.get(headers::ATTEMPT).cloned(),
        answer_bytes: number(headers::ANSWER_BYTES),
        answer_rate: number(headers::ANSWER_RATE),
        deadline_ms: number(headers::DEADLINE_MS),
    }
}

fn string(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name).map(|value| String::from_utf8_lossy(value.as_bytes()).into_owned())
}

fn entry(shared: &Shared, head: &http::request::Parts, job: &Job) -> Entry {
    let attempt = string(&head.headers, headers::ATTEMPT).and_then(|text| text.parse().ok());
    Entry {
        mark: job.mark.clone(),
        attempt: attempt.unwrap_or(0),
        method: head.method.to_string(),
        path: job.path.clone(),
        service: string(&head.headers, "host").unwrap_or_default(),
        context: string(&head.headers, headers::CONTEXT),
        headers: head.headers.keys().map(ToString::to_string).collect(),
        deadline_ms: job.deadline_ms,
        worked: false,
        body_matches: false,
        body_bytes: 0,
        state: State::Running,
        begun_ms: shared.ledger.now_ms(),
        ended_ms: None,
    }
}

/// Takes one of the cuts that are still to be made.
fn next_cut(shared: &Shared) -> CutPoint {
    let mut behaviour = shared.behaviour.lock();
    match &mut behaviour.cut_times {
        None => behaviour.cut,
        Some(0) => CutPoint::Nowhere,
        Some(times) => {
            *times -= 1;
            behaviour.cut
        }
    }
}

async fn matches(mark: &str, mut body: Incoming) -> Result<(bool, u64), StandInError> {
    let stream = MarkStream::new(mark, Side::Request);
    let mut offset = 0;
    let mut matches = true;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.context(ExchangeSnafu)?.into_data() else { continue };
        matches &= stream.matches(offset, &data);
        offset += data.len() as u64;
    }
    Ok((matches, offset))
}

fn due(behaviour: &Behaviour, job: &Job, arrived: Instant) -> Instant {
    let left = match job.deadline_ms {
        Some(ms) if !behaviour.ignore_deadline => Duration::from_millis(ms).min(LONGEST),
        _ => LONGEST,
    };
    arrived + left
}

async fn take_slot(
    shared: &Shared,
    behaviour: &Behaviour,
    due: Instant,
) -> Result<tokio::sync::OwnedSemaphorePermit, StandInError> {
    let free = shared.free.clone();
    if behaviour.shed {
        return free.try_acquire_owned().map_err(|_| StandInError::Cut);
    }
    match tokio::time::timeout_at(due, free.acquire_owned()).await {
        Ok(Ok(slot)) => Ok(slot),
        _ => Err(StandInError::Cut),
    }
}

async fn work(shared: &Shared, behaviour: &Behaviour, job: &Job, due: Instant) -> Worked {
    let course = async {
        let time = service_time(shared, behaviour);
        if !time.is_zero() {
            tokio::time::sleep(time).await;
        }
        for call in behaviour.calls.iter().filter(|call| job.path.starts_with(&call.on)) {
            let answered = call_with_retries(shared, behaviour, job, call).await;
            if !answered && call.required {
                return Worked::CallFailed;
            }
        }
        Worked::Done
    };
    tokio::time::timeout_at(due, course).await.unwrap_or(Worked::Expired)
}

fn service_time(shared: &Shared, behaviour: &Behaviour) -> Duration {
    let cold = shared.start.elapsed() < Duration::from_millis(behaviour.cold_ms);
    let factor = if cold { behaviour.cold_factor } else { 1.0 };
    Duration::from_secs_f64(behaviour.service_ms * factor / 1e3)
}

async fn call_with_retries(
    shared: &Shared,
    behaviour: &Behaviour,
    job: &Job,
    call: &OwnCall,
) -> bool {
    for _ in 0..=call.hard_retries {
        if matches!(own_call(shared, behaviour, job, call).await, Ok(true)) {
            return true;
        }
    }
    false
}

async fn own_call(
    shared: &Shared,
    behaviour: &Behaviour,
    job: &Job,
    call: &OwnCall,
) -> Result<bool, StandInError> {
    let addr = behaviour.daemon.ok_or(StandInError::Cut)?;
    let mut req = Request::builder()
        .method(call.method.as_str())
        .uri(&call.path)
        .header("host", &call.service)
        .header(headers::MARK, &job.mark);
    if let Some(context) = &job.context {
        req = req.header(headers::CONTEXT, context);
    }
    if let Some(attempt) = &job.attempt {
        req = req.header(headers::ATTEMPT, attempt);
    }
    let req = req.body(full("")).context(BuildSnafu)?;
    let (answer, busy) = shared.client.send(addr, req).await?;
    let good = answer.status().is_success();
    let body = answer.into_body().collect().await.context(ExchangeSnafu)?.to_bytes();
    busy.keep();
    let stream = MarkStream::new(&job.mark, Side::Answer);
    Ok(good && stream.matches(0, &body))
}

fn answer(behaviour: &Behaviour, cut: CutPoint, job: &Job, running: Running) -> Answer {
    let size = job.answer_bytes.unwrap_or(behaviour.answer_bytes);
    let cut_at = (cut == CutPoint::AnswerBody).then_some(size / 2);
    let stream = MarkStream::new(&job.mark, Side::Answer);
    let body =
        MarkBody::new(stream, size).paced(job.answer_rate).cut_at(cut_at).ending(running).boxed();
    Response::builder().header(headers::MARK, &job.mark).body(body).context(BuildSnafu)
}

/// Refuses without any work, and says so in the way that the daemon believes.
fn refusal(reason: &'static str) -> Response<AnswerBody> {
    let mut refusal = text(StatusCode::SERVICE_UNAVAILABLE, reason);
    refusal.headers_mut().insert(headers::OUTCOME, HeaderValue::from_static("not-run"));
    refusal
}
