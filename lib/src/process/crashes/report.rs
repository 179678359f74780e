//! What daemons tell each other about crashes and bans.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use super::Suspect;
use crate::process::InstanceId;
use crate::request::CallerDigest;
use crate::request::ContentDigest;
use crate::request::HeadDigest;

/// Random identity of one crash of an upstream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct CrashId(pub u64);

/// One crash of an upstream.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashReport {
    /// Identity of the crash, by which copies of the report are recognised.
    pub id: CrashId,
    /// The instance that crashed.
    pub instance: InstanceId,
    /// Time since the crash.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age: Duration,
    /// The requests that it was running.
    pub suspects: Vec<Suspect>,
}

/// An upstream has answered a content, so that it does not crash each upstream that runs it.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AnswerNotice {
    /// The answered content.
    pub content: ContentDigest,
    /// Time since the answer.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age: Duration,
}

/// What one daemon tells another without being asked.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct CrashUpdate {
    /// Crashes of upstreams.
    pub crashes: Vec<CrashReport>,
    /// Contents that upstreams no longer run.
    pub bans: Vec<BanNotice>,
    /// Answers to suspects of crashes.
    pub answers: Vec<AnswerNotice>,
}

/// A content that no upstream runs any more because it has crashed several.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BanNotice {
    /// The banned content.
    pub content: ContentDigest,
    /// Digest of its head.
    pub head: HeadDigest,
    /// Digest of its caller.
    pub caller: CallerDigest,
    /// How often it was banned without a long pause in between.
    pub level: u32,
    /// Time since the ban began.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age: Duration,
}
