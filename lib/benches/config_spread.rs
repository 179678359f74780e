//! Convergence, bytes, processor time, memory and platform calls of the spread
//! of configuration, for growing fleets in one process over real sockets.
//!
//! Figures and their meaning: `docs/design/configuration.md`. One figure a
//! line: `name size value unit`.

#[path = "../tests/fleet/mod.rs"]
#[allow(dead_code, reason = "the tests use the rest")]
mod fleet;

use std::time::Duration;
use std::time::Instant;

use endivescale_testutils::platform::Platform;
use fleet::Node;

const SIZES: [usize; 4] = [25, 50, 100, 200];
const CHANGES: u64 = 20;
/// Time between two changes; far more often than in operation.
const CHANGE_INTERVAL: Duration = Duration::from_millis(500);
/// Long enough for two waits of every question.
const REST: Duration = Duration::from_secs(40);
const LINES: usize = 500;
/// Clock ticks a second of the operating system's processor times.
const TICKS_PER_SECOND: f64 = 100.0;

fn main() {
    spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
    for size in SIZES {
        let runtime = tokio::runtime::Runtime::new().expect("a runtime starts");
        runtime.block_on(measure(size));
        runtime.shutdown_timeout(Duration::from_secs(1));
    }
}

async fn measure(size: usize) {
    let memory_before = resident_bytes();
    let platform = fleet::platform().await;
    platform.put_rules(Some(1), &text(0));
    let started = Instant::now();
    let nodes = fleet::fleet(size, &[&platform], None).await;
    fleet::until("all serve", || nodes.iter().all(Node::is_ready)).await;
    print("start", size, started.elapsed().as_secs_f64() * 1e3, "ms");
    fleet::until("all hold", || nodes.iter().all(|node| node.version() == 1)).await;
    let memory = (resident_bytes() - memory_before) / size as f64;
    print("memory_per_daemon", size, memory / 1024.0, "KiB");

    let rest = Snapshot::take(&platform, &nodes);
    tokio::time::sleep(REST).await;
    rest.report("rest", size, REST.as_secs_f64(), "s", &platform, &nodes);

    let busy = Snapshot::take(&platform, &nodes);
    let mut times = Vec::new();
    for change in 1..=CHANGES {
        let began = Instant::now();
        platform.put_rules(None, &text(change));
        fleet::until("all hold", || nodes.iter().all(|n| n.version() == change + 1)).await;
        times.push(began.elapsed().as_secs_f64() * 1e3);
        tokio::time::sleep(CHANGE_INTERVAL.saturating_sub(began.elapsed())).await;
    }
    busy.report("change", size, CHANGES as f64, "change", &platform, &nodes);
    times.sort_by(f64::total_cmp);
    print("convergence_p50", size, times[times.len() / 2], "ms");
    print("convergence_max", size, times[times.len() - 1], "ms");
    print("whole_texts", size, sum(&nodes, "whole_texts"), "texts");
}

struct Snapshot {
    bytes: f64,
    calls: f64,
    processor: f64,
}

impl Snapshot {
    fn take(platform: &Platform, nodes: &[Node]) -> Self {
        let bytes = sum(nodes, "bytes_sent") + sum(nodes, "bytes_received");
        let calls = platform.calls().values().sum::<u64>() as f64;
        Self { bytes, calls, processor: processor_seconds() }
    }

    fn report(
        &self,
        name: &str,
        size: usize,
        per: f64,
        unit: &str,
        platform: &Platform,
        nodes: &[Node],
    ) {
        let now = Self::take(platform, nodes);
        let daemons = size as f64;
        let line = |what: &str, value: f64, kind: &str| {
            print(&format!("{name}_{what}"), size, value / per, &format!("{kind}/{unit}"));
        };
        line("bytes_per_daemon", (now.bytes - self.bytes) / daemons, "B");
        line("platform_calls", now.calls - self.calls, "calls");
        line("processor_per_daemon", (now.processor - self.processor) / daemons * 1e6, "us");
    }
}

fn sum(nodes: &[Node], counter: &str) -> f64 {
    nodes.iter().map(|node| node.count(counter)).sum::<u64>() as f64
}

fn print(name: &str, size: usize, value: f64, unit: &str) {
    println!("{name} {size} {value:.1} {unit}");
}

/// Returns rules of which one line differs from one change to the next.
fn text(change: u64) -> String {
    let line = |n: usize| {
        let who = if n == LINES / 2 { change } else { 0 };
        format!(
            "service{n} GET /items{n}/** criticality=normal weight=1 retries=1 deadline=2s \
             # asked by desk {who}, stock records\n"
        )
    };
    (0..LINES).map(line).collect()
}

fn resident_bytes() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").expect("the system tells");
    let pages: f64 = statm.split(' ').nth(1).and_then(|n| n.parse().ok()).expect("a number");
    pages * 4096.0
}

/// Returns the processor time of the process, that of the platform's stand-in included.
fn processor_seconds() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").expect("the system tells");
    let (_, fields) = stat.rsplit_once(") ").expect("the name ends");
    let ticks = |n: usize| -> f64 {
        fields.split(' ').nth(n).and_then(|n| n.parse().ok()).expect("a number")
    };
    (ticks(11) + ticks(12)) / TICKS_PER_SECOND
}
