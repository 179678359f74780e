//! One request of a caller stand-in, with its resends and retries.

use std::net::SocketAddr;
use std::time::Duration;

use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use snafu::ResultExt;

use crate::error::BuildSnafu;
use crate::error::StandInError;
use crate::headers;
use crate::http::AnswerBody;
use crate::http::Client;
use crate::mark::MarkBody;
use crate::mark::MarkStream;
use crate::mark::Side;

use super::plan::Class;
use super::report::Seen;

/// Resends that answers may ask for with a fresh token within one attempt.
const MAX_TOKEN_RESENDS: u32 = 2;

/// A request as the caller intends it.
#[derive(Clone, Debug)]
pub(super) struct Intent<'a> {
    pub(super) class: &'a Class,
    pub(super) mark: &'a str,
    pub(super) entries: &'a [SocketAddr],
    pub(super) first_entry: usize,
    pub(super) hard_retries: u32,
    /// Bytes of the answer after which the caller breaks off.
    pub(super) cancel_at: Option<u64>,
    pub(super) cancel_after: Option<Duration>,
}

/// What became of a request so far.
#[derive(Debug, Default)]
pub(super) struct Course {
    pub(super) sent: u64,
    pub(super) reasons: Vec<String>,
    pub(super) told_not_run: Vec<(String, u64)>,
    attempt: u64,
    token: Option<HeaderValue>,
}

/// Makes the request until it is answered, refused for good or given up.
pub(super) async fn run(client: &Client, intent: &Intent<'_>, course: &mut Course) -> Seen {
    let deadline = Duration::from_millis(intent.class.deadline_ms);
    let work = tokio::time::timeout(deadline, attempts(client, intent, course));
    match intent.cancel_after {
        None => work.await.unwrap_or(Seen::GaveUp),
        Some(after) => tokio::select! {
            seen = work => seen.unwrap_or(Seen::GaveUp),
            () = tokio::time::sleep(after) => Seen::Cancelled,
        },
    }
}

async fn attempts(client: &Client, intent: &Intent<'_>, course: &mut Course) -> Seen {
    let mut retries = intent.hard_retries;
    loop {
        let seen = attempt(client, intent, course).await;
        let done = matches!(seen, Seen::Whole | Seen::Wrong | Seen::Cancelled | Seen::GaveUp);
        if done || retries == 0 {
            return seen;
        }
        retries -= 1;
        // Without a token the resend is another request to the daemons; under
        // the same token it is the same one.
        if course.token.is_none() {
            course.attempt += 1;
        }
    }
}

/// Sends the request, and again for as long as it is only asked for a token.
async fn attempt(client: &Client, intent: &Intent<'_>, course: &mut Course) -> Seen {
    for _ in 0..=MAX_TOKEN_RESENDS {
        let asked_for_token = course.token.is_none();
        let (seen, status) = match send(client, intent, course).await {
            Ok(answered) => answered,
            Err(err) => {
                course.reasons.push(format!("{}", ReasonOf(&err)));
                return Seen::Unknown;
            }
        };
        let only_token = status == StatusCode::PRECONDITION_REQUIRED && asked_for_token;
        if !(only_token && course.token.is_some()) {
            return seen;
        }
    }
    Seen::NotRun
}

async fn send(
    client: &Client,
    intent: &Intent<'_>,
    course: &mut Course,
) -> Result<(Seen, StatusCode), StandInError> {
    let entry = (intent.first_entry + course.sent as usize) % intent.entries.len();
    course.sent += 1;
    let req = request(intent, course)?;
    let (answer, busy) = client.send(intent.entries[entry], req).await?;
    let status = answer.status();
    if !status.is_success() {
        let seen = refused(intent, course, &answer);
        if answer.into_body().collect().await.is_ok() {
            busy.keep();
        }
        return Ok((seen, status));
    }
    let seen = read(intent, answer).await;
    if seen == Seen::Whole {
        busy.keep();
    }
    Ok((seen, status))
}

fn request(intent: &Intent<'_>, course: &Course) -> Result<Request<AnswerBody>, StandInError> {
    let class = intent.class;
    let mut req = Request::builder()
        .method(class.method.as_str())
        .uri(&class.path)
        .header("host", &class.service)
        .header(headers::MARK, intent.mark)
        .header(headers::ATTEMPT, course.attempt)
        .header(headers::ANSWER_BYTES, class.answer_bytes);
    if let Some(rate) = class.answer_rate {
        req = req.header(headers::ANSWER_RATE, rate);
    }
    if let Some(token) = &course.token {
        req = req.header(headers::TOKEN, token);
    }
    let stream = MarkStream::new(intent.mark, Side::Request);
    req.body(MarkBody::new(stream, class.request_bytes).boxed()).context(BuildSnafu)
}

/// Notes a refusal or failure and takes the token that it hands out.
fn refused(intent: &Intent<'_>, course: &mut Course, answer: &Response<Incoming>) -> Seen {
    let text = |name| answer.headers().get(name).and_then(|value| value.to_str().ok());
    let status = answer.status().as_u16();
    let reason = text(headers::REASON).unwrap_or("none");
    let outcome = text(headers::OUTCOME).unwrap_or("no-outcome");
    course.reasons.push(format!("{status} {outcome} {reason}"));
    let seen = match outcome {
        "not-run" => Seen::NotRun,
        "ran" => Seen::Ran,
        "no-outcome" => Seen::Failed,
        _ => Seen::Unknown,
    };
    if seen == Seen::NotRun {
        course.told_not_run.push((intent.mark.to_owned(), course.attempt));
        course.attempt += 1;
        course.token = None;
    }
    if let Some(token) = answer.headers().get(headers::TOKEN) {
        course.token = Some(token.clone());
    }
    seen
}

/// Reads the answer and compares each byte with the request's own stream.
async fn read(intent: &Intent<'_>, answer: Response<Incoming>) -> Seen {
    let stream = MarkStream::new(intent.mark, Side::Answer);
    let mark = answer.headers().get(headers::MARK);
    let mut own = mark.is_some_and(|mark| mark.as_bytes() == intent.mark.as_bytes());
    let mut body = answer.into_body();
    let mut offset = 0;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return if own { Seen::Broken } else { Seen::Wrong } };
        let Ok(data) = frame.into_data() else { continue };
        own &= stream.matches(offset, &data);
        offset += data.len() as u64;
        if intent.cancel_at.is_some_and(|cancel_at| offset >= cancel_at) {
            return if own { Seen::Cancelled } else { Seen::Wrong };
        }
    }
    // An answer that is shorter than asked for and yet ended well would pass
    // for whole with any caller, so it counts as wrong.
    match own && offset == intent.class.answer_bytes {
        true => Seen::Whole,
        false => Seen::Wrong,
    }
}

/// Prints the kind of a failure as one word.
struct ReasonOf<'a>(&'a StandInError);

impl std::fmt::Display for ReasonOf<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self.0 {
            StandInError::Connect { .. } => "cannot-connect",
            _ => "connection-lost",
        })
    }
}
