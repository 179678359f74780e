//! The platform's store: `/kv-key`, `/kv-range` and `/kv-watch`, as PROTOCOL.md has them.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::io;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http;

/// How long changes are kept (`history`).
const HISTORY: Duration = Duration::from_secs(20);
/// Most items, and bytes of them, of a page.
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;

struct Item {
    json: String,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Time, revision, key and JSON of each change that is kept.
    history: VecDeque<(Instant, u64, String, String)>,
    /// Changes up to this revision are gone.
    compacted: u64,
}

pub struct Store {
    pub address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    pub fn start() -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let state = State { revision: 7, ..State::default() };
        let store = Arc::new(Self { address, state: Mutex::new(state), changed: Condvar::new() });
        let served = Arc::clone(&store);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&served);
                std::thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes an item. When this returns, the store has accepted it.
    pub fn put(&self, key: &str, value: &[u8]) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        // Keys of the cases have no other character that JSON escapes.
        let key_text = key.replace('\n', "\\n");
        let json = format!(
            r#"{{"key":"{key_text}","value":"{}","revision":{revision},"created":{revision},"lease":0}}"#,
            base64(value)
        );
        state.items.insert(key.to_owned(), Item { json: json.clone() });
        state.history.push_back((Instant::now(), revision, key.to_owned(), json));
        drop(state);
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read(&mut reader) {
            // An answer takes 4 ms.
            std::thread::sleep(Duration::from_millis(4));
            let (status, body) = self.answer(request.second());
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if writer.write_all(head.as_bytes()).is_err()
                || writer.write_all(body.as_bytes()).is_err()
            {
                return;
            }
        }
    }

    fn answer(&self, target: &str) -> (u16, String) {
        let path = target.split('?').next().unwrap_or("");
        let parameter = |name| decode(http::query(target, name).unwrap_or(""));
        match path {
            "/kv-key" => self.item(&parameter("key")),
            "/kv-range" => self.page(&parameter("path_prefix"), &parameter("after")),
            "/kv-watch" => {
                let after = parameter("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(parameter("wait_ms").parse().unwrap_or(0));
                self.watch(&parameter("path_prefix"), after, wait)
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn item(&self, key: &str) -> (u16, String) {
        let state = self.state.lock().unwrap();
        let revision = state.revision;
        match state.items.get(key) {
            Some(Item { json }) => {
                (200, format!(r#"{},"current_rev":{revision}}}"#, &json[..json.len() - 1]))
            }
            None => (404, format!(r#"{{"current_rev":{revision}}}"#)),
        }
    }

    fn page(&self, prefix: &str, after: &str) -> (u16, String) {
        let state = self.state.lock().unwrap();
        let matching: Vec<&Item> = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
            .map(|(_, item)| item)
            .collect();
        let mut bytes = 0;
        let mut taken: Vec<&str> = Vec::new();
        for item in &matching {
            bytes += item.json.len();
            if !taken.is_empty() && (bytes > PAGE_BYTES || taken.len() == PAGE_ITEMS) {
                break;
            }
            taken.push(&item.json);
        }
        let has_more = taken.len() < matching.len();
        let (items, revision) = (taken.join(","), state.revision);
        (200, format!(r#"{{"items":[{items}],"has_more":{has_more},"current_rev":{revision}}}"#))
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let end = Instant::now() + wait.min(Duration::from_secs(30));
        let mut state = self.state.lock().unwrap();
        loop {
            state.forget();
            if after < state.compacted {
                return (410, "{}".to_owned());
            }
            let newer = state.history.iter();
            let newer = newer.filter(|(_, at, key, _)| *at > after && key.starts_with(prefix));
            let events: Vec<&str> = newer.map(|(_, _, _, json)| json.as_str()).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                return (200, format!(r#"{{"events":[{events}],"current_rev":{revision}}}"#));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

impl State {
    /// Drops the changes that are older than the history.
    fn forget(&mut self) {
        while let Some((at, revision, ..)) = self.history.front() {
            if at.elapsed() < HISTORY {
                return;
            }
            self.compacted = *revision;
            self.history.pop_front();
        }
    }
}

/// Decodes a parameter of a query.
fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, others)) = rest.split_first() {
        let hex = others.get(..2).and_then(|hex| std::str::from_utf8(hex).ok());
        match hex.filter(|_| *first == b'%').and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                bytes.push(byte);
                rest = &others[2..];
            }
            None => {
                bytes.push(*first);
                rest = others;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Encodes bytes as standard base64 with padding.
fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::with_capacity(bytes.len() / 3 * 4 + 4);
    for part in bytes.chunks(3) {
        let at = |index: usize| u32::from(part.get(index).copied().unwrap_or(0));
        let group = at(0) << 16 | at(1) << 8 | at(2);
        for digit in 0..4 {
            let is_padding = digit > part.len();
            let index = (group >> (18 - 6 * digit)) as usize & 63;
            text.push(if is_padding { '=' } else { DIGITS[index] as char });
        }
    }
    text
}
