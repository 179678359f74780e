//! Clients, each request on a new connection.

use std::io;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread::JoinHandle;
use std::time::Duration;

use crate::http;
use crate::record::Record;

/// Host of all routes.
pub const HOST: &str = "hulo84.example";

/// A request and its end.
#[derive(Clone)]
pub struct Sent {
    pub request: String,
    pub at: Duration,
    /// Status, or what happened instead of an answer.
    pub end: String,
}

/// Clients that send until they are stopped.
pub struct Clients {
    stop: Arc<AtomicBool>,
    sent: Arc<Mutex<Vec<Sent>>>,
    threads: Vec<JoinHandle<()>>,
}

impl Clients {
    pub fn new() -> Self {
        Self { stop: Arc::default(), sent: Arc::default(), threads: Vec::new() }
    }

    /// Starts a client of one machine that sends a request each `pause`, whether or not those
    /// before it were answered.
    pub fn start(
        &mut self,
        name: &str,
        outbound: SocketAddr,
        line: &'static str,
        pause: Duration,
        record: &Arc<Record>,
    ) {
        let (stop, sent, record) = (self.stop.clone(), self.sent.clone(), Arc::clone(record));
        let name = name.to_owned();
        self.threads.push(std::thread::spawn(move || {
            let mut threads = Vec::new();
            let mut number = 0;
            while !stop.load(Ordering::SeqCst) {
                number += 1;
                let request = format!("{name}{number:04x}");
                let (sent, record) = (Arc::clone(&sent), Arc::clone(&record));
                threads.push(std::thread::spawn(move || {
                    let at = record.now();
                    record.add(&format!("client sends {request} ({line})"));
                    let end = send(outbound, line, &request).unwrap_or_else(|err| err.to_string());
                    record.add(&format!("client has {end} for {request}"));
                    sent.lock().unwrap().push(Sent { request, at, end });
                }));
                std::thread::sleep(pause);
            }
            threads.into_iter().for_each(|thread| drop(thread.join()));
        }));
    }

    /// Stops the clients and returns what they have sent.
    pub fn stop(self) -> Vec<Sent> {
        self.stop.store(true, Ordering::SeqCst);
        self.threads.into_iter().for_each(|thread| drop(thread.join()));
        std::mem::take(&mut *self.sent.lock().unwrap())
    }
}

/// Sends a request with a short body and returns the status of its answer.
fn send(outbound: SocketAddr, line: &str, request: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&outbound, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    stream.set_nodelay(true)?;
    let body = if line.starts_with("POST") { "expression of interest" } else { "" };
    write!(
        stream,
        "{line} HTTP/1.1\r\nHost: {HOST}\r\nEndivescale-Request-Id: {request}\r\n\
         Endivescale-Deadline-Ms: 5000\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )?;
    let answer = http::read(&mut BufReader::new(stream))?;
    let answer = answer.ok_or_else(|| io::Error::other("a closed connection"))?;
    Ok(answer.second().to_owned())
}
