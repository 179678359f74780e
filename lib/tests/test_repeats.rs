//! The account of repeats; see `docs/design/retries.md`.

use std::time::Duration;

use endivescale::process::repeats::Arrival;
use endivescale::process::repeats::RepeatAccount;
use endivescale::process::repeats::RepeatBound;
use endivescale::version::Criticality;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

const SEED: u64 = 47;
const WINDOW: Duration = Duration::from_secs(10);
const BOUND: RepeatBound =
    RepeatBound { ratio: 0.2, slack: 47.0, window: WINDOW, first_start: false };

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// What arrives, by time since the arrival before.
type Arrivals = Vec<(u16, bool)>;

/// What reached upstreams, with whether it was a repeat.
type Seen = Vec<(Duration, bool)>;

/// Returns the repeats that may be in the window that ends at `now`: measured by the
/// first arrivals of that window, of the one before it, or of the one half a window
/// before it, whichever has most.
fn allowed(seen: &Seen, now: Duration, slack: f64) -> f64 {
    let firsts = |ago: Duration| {
        let begin = now.checked_sub(ago + WINDOW);
        let is_in = |at: Duration| at + ago <= now && begin.is_none_or(|begin| at > begin);
        seen.iter().filter(|(at, repeat)| !repeat && is_in(*at)).count()
    };
    let most = [Duration::ZERO, WINDOW / 2, WINDOW].map(firsts).into_iter().max().unwrap();
    BOUND.ratio * most as f64 + slack
}

/// Whether some window holds more repeats than the bound allows for one of
/// `instances` alike, or one that ends with a repeat more than its own first
/// arrivals allow.
fn breaks_bound(arrivals: &Arrivals, instances: usize) -> bool {
    let mut account = RepeatAccount::new(BOUND);
    account.set_instances(instances);
    let mut now = Duration::ZERO;
    let mut seen = Seen::new();
    let mut broken = false;
    for &(gap_ms, repeats) in arrivals {
        now += ms(u64::from(gap_ms % 500));
        if !repeats {
            account.record_first(now);
        } else if !account.try_repeat(now, Arrival::Resent, Criticality::Normal, 0) {
            continue;
        }
        seen.push((now, repeats));
        let firsts = seen.iter().filter(|(at, repeat)| !repeat && *at + WINDOW > now).count();
        let slack = BOUND.slack / instances as f64;
        let by_latest = BOUND.ratio * firsts as f64 + slack;
        let held = repeats_in_window(&seen, now);
        broken |= held > allowed(&seen, now, slack) || (repeats && held > by_latest);
    }
    broken
}

fn repeats_in_window(seen: &Seen, now: Duration) -> f64 {
    seen.iter().filter(|(at, repeat)| *repeat && *at + WINDOW > now).count() as f64
}

/// Share of a service's work that each of its daemons has, by stretch of time, and how
/// much work there is.
type Stretches = Vec<([u8; 3], u8)>;

/// Replays three daemons, each of which is asked for more repeats than it has, while
/// work moves between them, grows and shrinks.
fn together_break_bound(stretches: &Stretches) -> bool {
    let mut accounts = [BOUND; 3].map(RepeatAccount::new);
    for account in &mut accounts {
        account.set_instances(3);
    }
    let mut seen = Seen::new();
    let mut now = Duration::ZERO;
    for (shares, amount) in stretches {
        for _ in 0..25 {
            now += ms(100);
            for (account, share) in accounts.iter_mut().zip(shares) {
                for _ in 0..u32::from(share % 4) * u32::from(amount % 4 + 1) {
                    account.record_first(now);
                    seen.push((now, false));
                    if account.try_repeat(now, Arrival::Resent, Criticality::Normal, 0) {
                        seen.push((now, true));
                    }
                }
            }
            if repeats_in_window(&seen, now) > allowed(&seen, now, BOUND.slack) {
                return true;
            }
        }
        let begin = now.saturating_sub(WINDOW * 3);
        seen.retain(|(at, _)| *at > begin);
    }
    false
}

#[test]
fn daemons_together_keep_the_bound() {
    fn property(stretches: Stretches) -> bool {
        !together_break_bound(&stretches)
    }
    let mut checker = QuickCheck::new().rng(Gen::from_size_and_seed(40, SEED)).tests(300);
    checker.quickcheck(property as fn(Stretches) -> bool);
}

/// Load pattern: requests fail early and make fewer calls, as soon as the service that
/// they call refuses part of its work.
#[test]
fn account_does_not_shrink_with_the_calls_that_fail_early() {
    let mut account = RepeatAccount::new(BOUND);
    account.set_instances(3);
    let mut granted = 0;
    for at in (0..25_000).step_by(5) {
        // From 20 s on, seven of ten calls are left.
        if at < 20_000 || at % 50 < 35 {
            account.record_first(ms(at));
        }
        if at >= 20_000 && account.try_repeat(ms(at), Arrival::Resent, Criticality::Critical, 0) {
            granted += 1;
        }
    }
    // All that the latest window alone would earn, of which less than all is used.
    let latest = BOUND.ratio * (1_000.0 + 700.0);
    assert!(f64::from(granted) > latest, "{granted} repeats, {latest} by the latest window");
}

#[test]
fn no_window_holds_more_repeats_than_its_part_of_the_bound() {
    fn property(arrivals: Arrivals, instances: u8) -> bool {
        !breaks_bound(&arrivals, usize::from(instances % 8) + 1)
    }
    let mut checker = QuickCheck::new().rng(Gen::from_size_and_seed(400, SEED)).tests(2000);
    checker.quickcheck(property as fn(Arrivals, u8) -> bool);
}

/// The process before may have used up the constant part a moment ago.
#[test]
fn a_new_process_has_no_slack_until_a_window_has_passed() {
    let mut account = RepeatAccount::new(BOUND);
    assert!(!account.try_repeat(ms(9_900), Arrival::Resent, Criticality::Critical, 0));
    assert!(account.try_repeat(ms(10_000), Arrival::Resent, Criticality::Critical, 0));
}

#[test]
fn the_first_process_has_its_slack_at_once() {
    let mut account = RepeatAccount::new(RepeatBound { first_start: true, ..BOUND });
    assert!(account.try_repeat(ms(0), Arrival::Resent, Criticality::Normal, 0));
}

#[test]
fn first_arrivals_earn_repeats() {
    let mut account = RepeatAccount::new(BOUND);
    for _ in 0..100 {
        account.record_first(ms(100));
    }
    let spent = (0..100)
        .take_while(|_| account.try_repeat(ms(200), Arrival::Resent, Criticality::Critical, 0))
        .count();
    assert!((15..=20).contains(&spent), "{spent} repeats for 100 first arrivals");
}

#[test]
fn repeats_are_forgotten_after_the_window() {
    let mut account = RepeatAccount::new(BOUND);
    while account.try_repeat(ms(10_000), Arrival::Resent, Criticality::Critical, 0) {}
    assert!(!account.has_room(ms(19_900), Arrival::Resent, Criticality::Critical, 0));
    assert!(account.has_room(ms(20_200), Arrival::Resent, Criticality::Critical, 0));
}

/// What became of the requests of one criticality that an upstream refused.
#[derive(Default)]
struct Repeated {
    granted: u32,
    denied: u32,
}

/// Replays an upstream that refuses half of what reaches it, though it has slots
/// to spare, for `time` after a calm window: 200 requests a second, two of five of
/// them critical. Each is sent again until it is taken or has no repeat left.
fn replay_partial_refusal(time: Duration) -> [Repeated; 2] {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let mut account = RepeatAccount::new(BOUND);
    account.set_instances(3);
    let mut seen = [Repeated::default(), Repeated::default()];
    let calm = WINDOW * 2;
    let gap = ms(5);
    let mut now = Duration::ZERO;
    while now < calm + time {
        now += gap;
        account.record_first(now);
        let is_critical = rng.random_bool(0.4);
        let criticality = if is_critical { Criticality::Critical } else { Criticality::Normal };
        let hash = rng.random();
        while now >= calm && rng.random_bool(0.5) {
            let seen = &mut seen[usize::from(!is_critical)];
            if !account.try_repeat(now, Arrival::Resent, criticality, hash) {
                seen.denied += 1;
                break;
            }
            seen.granted += 1;
        }
    }
    seen
}

/// Load pattern: a shedding upstream beside a burst, in which the repeats of
/// critical requests alone would take the whole account.
#[test]
fn less_critical_requests_get_no_repeats_that_critical_ones_miss() {
    let [critical, normal] = replay_partial_refusal(Duration::from_secs(8));
    assert!(critical.denied > 0, "the account holds out");
    let granted = critical.granted + normal.granted;
    assert!(
        normal.granted * 20 <= granted,
        "{} of {granted} repeats went to normal requests",
        normal.granted
    );
}

/// Load pattern: a short refusal, over before a window has passed.
#[test]
fn a_short_refusal_may_use_up_what_calm_has_earned() {
    let [critical, normal] = replay_partial_refusal(Duration::from_secs(8));
    let granted = f64::from(critical.granted + normal.granted);
    let earned = BOUND.ratio * 200.0 * 8.0;
    assert!(granted >= 0.9 * earned, "{granted} repeats granted of {earned} earned");
}

/// Load pattern: single answers lost on a calm day at a quiet service.
#[test]
fn single_repeats_are_granted_whatever_their_hash() {
    let mut account = RepeatAccount::new(BOUND);
    account.set_instances(3);
    let mut now = Duration::ZERO;
    for round in 0..200_u32 {
        now += ms(100);
        account.record_first(now);
        if now > WINDOW && round % 20 == 0 {
            assert!(
                account.try_repeat(now, Arrival::Resent, Criticality::Deferrable, u16::MAX),
                "{now:?}"
            );
        }
    }
}
