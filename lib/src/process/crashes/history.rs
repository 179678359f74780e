//! Decides which requests crash upstreams, from the crashes that all daemons report.

use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;

use super::AnswerNotice;
use super::BanNotice;
use super::CrashId;
use super::CrashReport;
use super::CrashUpdate;
use super::Suspect;
use super::running::TRUST_TIME;
use crate::process::InstanceId;
use crate::request::CallerDigest;
use crate::request::ContentDigest;
use crate::request::HeadDigest;

/// Number of crashes after which a content is banned if each crash had other suspects, too.
const CRASHES_FOR_BAN: usize = 3;
/// Number of crashes after which a content is banned if several requests had it and it is the
/// only one that one of the crashes shares with another. Two attempts of one request are in two
/// crashes by chance more often than copies of it are.
const CRASHES_FOR_BAN_ALONE: usize = 2;
/// Most other crashes within [`ALONE_WINDOW`] with which [`CRASHES_FOR_BAN_ALONE`] are enough.
/// While upstreams crash often for other reasons, requests are in two crashes by chance.
const OTHER_CRASHES_MAX: usize = 2;
/// See [`OTHER_CRASHES_MAX`].
const ALONE_WINDOW: Duration = Duration::from_secs(30);
/// How long a crash counts against its suspects.
const CRASH_MEMORY: Duration = Duration::from_secs(10 * 60);
/// Most crashes that are remembered; the oldest are forgotten first.
const CRASHES_MAX: usize = 64;
/// How long a first ban lasts. Each further one lasts twice as long as the one before.
const BAN_TIME: Duration = Duration::from_secs(10 * 60);
/// Most doublings of [`BAN_TIME`].
const BAN_DOUBLINGS_MAX: u32 = 4;
/// Time after a ban, relative to its length, in which one crash is enough for the next ban.
const PROBATION_FACTOR: u32 = 2;
/// Most bans that are remembered.
const BANS_MAX: usize = 256;
/// Time after which it other daemons are told that a suspect was answered once more.
const ANSWER_UPDATE_INTERVAL: Duration = Duration::from_secs(2);

/// A past moment, which may lie before the start of the process.
#[derive(Clone, Copy, Debug)]
struct Past {
    /// When this daemon heard of it.
    heard_at: Duration,
    /// How long ago it was then.
    age: Duration,
}

impl Past {
    fn age(self, now: Duration) -> Duration {
        now.saturating_sub(self.heard_at) + self.age
    }
}

#[derive(Debug)]
struct Crash {
    instance: InstanceId,
    since: Past,
    suspects: Vec<Suspect>,
}

#[derive(Clone, Copy, Debug)]
struct Ban {
    head: HeadDigest,
    caller: CallerDigest,
    level: u32,
    since: Past,
}

impl Ban {
    fn length(&self) -> Duration {
        BAN_TIME * 2_u32.pow(self.level.saturating_sub(1).min(BAN_DOUBLINGS_MAX))
    }

    /// Returns the time until the ban ends; `None` if it has ended.
    fn left(&self, now: Duration) -> Option<Duration> {
        self.length().checked_sub(self.since.age(now)).filter(|left| !left.is_zero())
    }

    fn is_remembered(&self, now: Duration) -> bool {
        self.since.age(now) < self.length() * (1 + PROBATION_FACTOR)
    }

    fn notice(&self, now: Duration, content: ContentDigest) -> BanNotice {
        let Self { head, caller, level, since } = *self;
        BanNotice { content, head, caller, level, age: since.age(now) }
    }
}

/// What counts a suspect in several crashes: its content, or its head alone while the body is
/// unknown.
type SuspectKey = (HeadDigest, Option<ContentDigest>);

fn key(suspect: &Suspect) -> SuspectKey {
    (suspect.head, suspect.content)
}

/// Crashes of upstreams and the bans that follow from them.
///
/// Load pattern: a request is sent again and again, and each upstream that runs it crashes
/// while it runs others as well. Those others are new ones each time, or have been answered in
/// between, so that the request is the one that the crashes have in common. The histories of
/// all daemons come to the same result whichever crash they hear of first.
#[derive(Debug, Default)]
pub struct CrashHistory {
    crashes: IndexMap<CrashId, Crash>,
    bans: IndexMap<ContentDigest, Ban>,
    /// Contents of all suspects and bans.
    suspected: IndexSet<ContentDigest>,
    /// When an upstream last answered a suspected content, as far as this daemon knows.
    answers: IndexMap<ContentDigest, Past>,
}

impl CrashHistory {
    /// Records a crash and returns the bans that follow from it.
    pub fn record(&mut self, now: Duration, report: CrashReport) -> Vec<BanNotice> {
        self.expire(now);
        let CrashReport { id, instance, age, suspects } = report;
        if age >= CRASH_MEMORY || self.crashes.contains_key(&id) {
            return Vec::new();
        }
        let since = Past { heard_at: now, age };
        self.suspected.extend(suspects.iter().filter_map(|suspect| suspect.content));
        self.crashes.insert(id, Crash { instance, since, suspects });
        while self.crashes.len() > CRASHES_MAX {
            let ages = self.crashes.iter().map(|(id, crash)| (crash.since.age(now), *id));
            let Some((_, oldest)) = ages.max() else { break };
            self.crashes.shift_remove(&oldest);
        }
        let counts = self.counts(now);
        let Some(crash) = self.crashes.get(&id) else { return Vec::new() };
        let is_culprit = |suspect: &&Suspect| self.is_culprit(now, suspect, &counts);
        let culprits = crash.suspects.iter().filter(is_culprit);
        let culprits: Vec<Suspect> = culprits.copied().collect();
        culprits.iter().filter_map(|suspect| self.ban(now, suspect)).collect()
    }

    /// Records that an upstream has answered a content; returns whether the other daemons are
    /// to be told.
    pub fn record_answer(&mut self, now: Duration, answer: &AnswerNotice) -> bool {
        let AnswerNotice { content, age } = *answer;
        if !self.suspected.contains(&content) {
            return false;
        }
        let known = self.answers.get(&content).map(|answer| answer.age(now));
        if known.is_some_and(|known| known <= age + ANSWER_UPDATE_INTERVAL) {
            return false;
        }
        self.answers.insert(content, Past { heard_at: now, age });
        true
    }

    /// Whether a content was answered so lately before something happened, or since then, that
    /// it cannot be the cause.
    fn was_answered_about(&self, now: Duration, content: ContentDigest, event: Past) -> bool {
        let answer = self.answers.get(&content);
        answer.is_some_and(|answer| answer.age(now) <= event.age(now) + TRUST_TIME)
    }

    /// Returns how many crashes count against each suspect.
    fn counts(&self, now: Duration) -> IndexMap<SuspectKey, usize> {
        let mut counts = IndexMap::new();
        for crash in self.crashes.values() {
            for suspect in &crash.suspects {
                let was_answered = suspect
                    .content
                    .is_some_and(|content| self.was_answered_about(now, content, crash.since));
                if !was_answered {
                    *counts.entry(key(suspect)).or_default() += 1;
                }
            }
        }
        counts
    }

    fn is_culprit(
        &self,
        now: Duration,
        suspect: &Suspect,
        counts: &IndexMap<SuspectKey, usize>,
    ) -> bool {
        let Some(content) = suspect.content else { return false };
        let count = counts.get(&key(suspect)).copied().unwrap_or(0);
        let is_on_probation = || self.bans.contains_key(&content);
        match count {
            0 => false,
            CRASHES_FOR_BAN.. => true,
            CRASHES_FOR_BAN_ALONE.. if self.is_only_link(suspect, counts) => {
                self.is_of_several_requests(now, suspect)
                    && self.count_others(now, suspect) <= OTHER_CRASHES_MAX
            }
            _ => is_on_probation(),
        }
    }

    /// Whether the crashes that count against a suspect happened in different requests.
    fn is_of_several_requests(&self, now: Duration, suspect: &Suspect) -> bool {
        let of_crash = |crash: &Crash| {
            let is_same = |other: &&Suspect| key(other) == key(suspect);
            let found = crash.suspects.iter().find(is_same)?;
            let was_answered =
                found.content.is_some_and(|c| self.was_answered_about(now, c, crash.since));
            (!was_answered).then_some(found.request)
        };
        let mut requests = self.crashes.values().filter_map(of_crash);
        let first = requests.next().flatten();
        first.is_none() || requests.any(|request| request != first)
    }

    /// Returns the number of recent crashes in which a suspect was not running.
    fn count_others(&self, now: Duration, suspect: &Suspect) -> usize {
        let recent = self.crashes.values().filter(|crash| crash.since.age(now) < ALONE_WINDOW);
        recent
            .filter(|crash| !crash.suspects.iter().any(|other| key(other) == key(suspect)))
            .count()
    }

    /// Whether a suspect is the only one that some crash has in common with another.
    fn is_only_link(&self, suspect: &Suspect, counts: &IndexMap<SuspectKey, usize>) -> bool {
        let is_repeated = |other: &&Suspect| counts.get(&key(other)).is_some_and(|n| *n > 1);
        self.crashes.values().any(|crash| {
            let mut repeated = crash.suspects.iter().filter(is_repeated);
            repeated.next().map(key) == Some(key(suspect)) && repeated.next().is_none()
        })
    }

    /// Bans a content; returns `None` if it is banned already.
    fn ban(&mut self, now: Duration, suspect: &Suspect) -> Option<BanNotice> {
        let content = suspect.content?;
        let earlier = self.bans.get(&content);
        if self.ban_left(now, content).is_some() {
            return None;
        }
        let level = earlier.map_or(1, |ban| ban.level.saturating_add(1));
        let since = Past { heard_at: now, age: Duration::ZERO };
        let ban = Ban { head: suspect.head, caller: suspect.caller, level, since };
        self.insert_ban(now, content, ban);
        Some(ban.notice(now, content))
    }

    /// Adopts a ban that another daemon tells of; returns whether it is new to this one.
    pub fn adopt_ban(&mut self, now: Duration, notice: &BanNotice) -> bool {
        self.expire(now);
        let BanNotice { content, head, caller, level, age } = *notice;
        let ban = Ban { head, caller, level, since: Past { heard_at: now, age } };
        let is_new = self.bans.get(&content).is_none_or(|known| known.level < level);
        if !is_new || !ban.is_remembered(now) {
            return false;
        }
        self.insert_ban(now, content, ban);
        true
    }

    /// Adds a ban. If there are too many, the caller with the most of them loses its oldest,
    /// so that no caller can crowd out the bans of another.
    fn insert_ban(&mut self, now: Duration, content: ContentDigest, ban: Ban) {
        self.suspected.insert(content);
        self.bans.insert(content, ban);
        if self.bans.len() <= BANS_MAX {
            return;
        }
        let mut per_caller: IndexMap<CallerDigest, usize> = IndexMap::new();
        for ban in self.bans.values() {
            *per_caller.entry(ban.caller).or_default() += 1;
        }
        let most = per_caller.into_iter().max_by_key(|(_, count)| *count);
        let of_caller = self.bans.iter().filter(|(_, ban)| Some(ban.caller) == most.map(|m| m.0));
        let oldest = of_caller.max_by_key(|(_, ban)| ban.since.age(now)).map(|(digest, _)| *digest);
        if let Some(oldest) = oldest {
            self.bans.swap_remove(&oldest);
        }
    }

    /// Returns the time until requests with a content may run again; `None` if they may run
    /// now.
    pub fn ban_left(&self, now: Duration, content: ContentDigest) -> Option<Duration> {
        let ban = self.bans.get(&content)?;
        ban.left(now).filter(|_| !self.was_answered_about(now, content, ban.since))
    }

    /// Whether it depends on the body of a request with this head if it may run, or whether a
    /// crash of its upstream could be explained.
    pub fn needs_body(&self, head: HeadDigest) -> bool {
        let is_suspect = |suspect: &Suspect| suspect.head == head;
        self.bans.values().any(|ban| ban.head == head)
            || self.crashes.values().any(|crash| crash.suspects.iter().any(is_suspect))
    }

    /// Forgets crashes and bans that no longer count.
    pub fn expire(&mut self, now: Duration) {
        let remembered = self.crashes.len() + self.bans.len();
        self.crashes.retain(|_, crash| crash.since.age(now) < CRASH_MEMORY);
        self.bans.retain(|_, ban| ban.is_remembered(now));
        if self.crashes.len() + self.bans.len() < remembered {
            let suspects = self.crashes.values().flat_map(|crash| &crash.suspects);
            let contents = suspects.filter_map(|suspect| suspect.content);
            self.suspected = contents.chain(self.bans.keys().copied()).collect();
            self.answers.retain(|content, _| self.suspected.contains(content));
        }
    }

    /// Returns whether there is nothing to tell other daemons.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.bans.is_empty()
    }

    /// Returns a checksum of the crashes and bans, which is the same in histories that hold
    /// the same ones.
    pub fn checksum(&self) -> u64 {
        let crashes = self.crashes.keys().map(|id| id.0);
        let bans = self.bans.iter().map(|(content, ban)| content.0.rotate_left(ban.level));
        crashes.chain(bans).fold(0, u64::wrapping_add)
    }

    /// Returns the identities of the remembered crashes.
    pub fn crash_ids(&self) -> Vec<CrashId> {
        self.crashes.keys().copied().collect()
    }

    /// Returns the reports of the remembered crashes among `wanted`.
    pub fn reports(&self, now: Duration, wanted: &[CrashId]) -> Vec<CrashReport> {
        let known = wanted.iter().filter_map(|id| Some((*id, self.crashes.get(id)?)));
        known
            .map(|(id, crash)| CrashReport {
                id,
                instance: crash.instance.clone(),
                age: crash.since.age(now),
                suspects: crash.suspects.clone(),
            })
            .collect()
    }

    /// Returns all that is remembered but the crashes.
    pub fn bans_and_answers(&self, now: Duration) -> CrashUpdate {
        let answers = self.answers.iter();
        let answers = answers
            .map(|(content, answer)| AnswerNotice { content: *content, age: answer.age(now) });
        CrashUpdate { crashes: Vec::new(), bans: self.bans(now), answers: answers.collect() }
    }

    /// Returns all remembered bans, also those that have ended.
    pub fn bans(&self, now: Duration) -> Vec<BanNotice> {
        self.bans.iter().map(|(content, ban)| ban.notice(now, *content)).collect()
    }

    /// Returns the contents that may not run now, with the time until they may.
    pub fn active_bans(&self, now: Duration) -> Vec<(ContentDigest, Duration)> {
        let active = |content: &ContentDigest| Some((*content, self.ban_left(now, *content)?));
        self.bans.keys().filter_map(active).collect()
    }
}
