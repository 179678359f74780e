//! Added latency and processor time of a hop.

use std::time::Instant;

use hdrhistogram::Histogram;

use crate::figure::Figures;
use crate::fleet::Fleet;
use crate::fleet::Process;

/// Pairs of a direct call and one through both daemons.
const PAIRS: usize = 12_000;

/// Pairs before the first that counts.
const WARM_UP: usize = 1_000;

/// Calls whose processor time is measured, and how many go on at once.
const CALLS: usize = 30_000;
const AT_ONCE: usize = 8;

/// Latency that both daemons of a hop may add to 99 calls in 100, in ms. On a
/// busy machine twice the direct call's latency is allowed instead.
const ADDED_P99_MS: f64 = 0.79;

/// Processor time of both daemons for each call, as a multiple of what the
/// stand-in upstream takes for it. Each daemon serves and sends a request.
const PROCESSOR_RATIO: f64 = 8.0;

pub(crate) async fn measure(fleet: &Fleet, figures: &mut Figures) {
    added_latency(fleet, figures).await;
    processor_time(fleet, figures).await;
}

/// Takes turns between the two ways, so that both see the same noise.
async fn added_latency(fleet: &Fleet, figures: &mut Figures) {
    let mut direct = Histogram::<u64>::new(3).expect("three digits are supported");
    let mut through = direct.clone();
    for pair in 0..WARM_UP + PAIRS {
        let ways = [(fleet.owner.upstream, &mut direct), (fleet.entry.caller, &mut through)];
        for (addr, histogram) in ways {
            let began = Instant::now();
            let answer = fleet.call(addr, "GET", "/calls", None).await;
            assert!(answer.is_ok_and(|(status, _)| status.is_success()), "a call failed");
            if pair >= WARM_UP {
                let nanos = began.elapsed().as_nanos() as u64;
                histogram.record(nanos).expect("the histogram grows");
            }
        }
    }
    let ms =
        |histogram: &Histogram<u64>, quantile| histogram.value_at_quantile(quantile) as f64 / 1e6;
    let added = |quantile| ms(&through, quantile) - ms(&direct, quantile);
    // Each daemon adds one more exchange like the direct one.
    let bound = |quantile| ADDED_P99_MS.max(2.0 * ms(&direct, quantile));
    for (name, quantile) in
        [("hop_added_p50", 0.5), ("hop_added_p99", 0.99), ("hop_added_p999", 0.999)]
    {
        figures.at_most(name, added(quantile), "ms", bound(quantile));
        println!("# direct {:.3} ms, target {ADDED_P99_MS} ms at p99", ms(&direct, quantile));
    }
}

async fn processor_time(fleet: &Fleet, figures: &mut Figures) {
    let processes = [Process::Entry, Process::Owner, Process::Upstream];
    let used = || processes.map(|process| fleet.processor_seconds(process));
    let before = used();
    let began = Instant::now();
    let each = || async {
        for _ in 0..CALLS / AT_ONCE {
            let answer = fleet.call(fleet.entry.caller, "GET", "/calls", None).await;
            assert!(answer.is_ok_and(|(status, _)| status.is_success()), "a call failed");
        }
    };
    futures_util::future::join_all((0..AT_ONCE).map(|_| each())).await;
    let rate = CALLS as f64 / began.elapsed().as_secs_f64();
    let after = used();
    let micros = |n: usize| (after[n] - before[n]) * 1e6 / CALLS as f64;
    let (entry, owner, upstream) = (micros(0), micros(1), micros(2));
    let bound = PROCESSOR_RATIO * upstream;
    figures.at_most("hop_processor_per_call", entry + owner, "us", bound);
    figures.at_least("hop_calls_per_core", 1e6 / (entry + owner), "calls/s", 1e6 / bound);
    println!(
        "# processor time per call: entry {entry:.1} owner {owner:.1} stand-in upstream {upstream:.1} us at {rate:.0} calls/s"
    );
}
