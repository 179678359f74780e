//! An application instance, as PROTOCOL.md describes it.

use std::io;
use std::io::BufReader;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use crate::http;
use crate::http::Message;
use crate::record::Record;

/// A request that reached an instance and that it has run.
#[derive(Clone)]
pub struct Arrival {
    pub at: Duration,
    pub request: String,
    /// Whether it was answered before the instance ended.
    pub is_answered: bool,
}

pub struct Instance {
    pub id: String,
    pub address: SocketAddr,
    work: Duration,
    record: Arc<Record>,
    has_ended: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
    arrivals: Mutex<Vec<Arrival>>,
    answered: AtomicUsize,
    lost_of_ten: AtomicUsize,
}

impl Instance {
    pub fn start(
        id: &str,
        address: SocketAddr,
        work: Duration,
        record: &Arc<Record>,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let instance = Arc::new(Self {
            id: id.to_owned(),
            address,
            work,
            record: Arc::clone(record),
            has_ended: AtomicBool::new(false),
            open: Mutex::default(),
            arrivals: Mutex::default(),
            answered: AtomicUsize::new(0),
            lost_of_ten: AtomicUsize::new(0),
        });
        let served = Arc::clone(&instance);
        std::thread::spawn(move || {
            while !served.has_ended.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    std::thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                served.open.lock().unwrap().extend(stream.try_clone());
                let instance = Arc::clone(&served);
                std::thread::spawn(move || instance.serve(stream));
            }
        });
        Ok(instance)
    }

    /// Ends the process: what is in progress breaks off.
    pub fn end(&self) {
        self.has_ended.store(true, Ordering::SeqCst);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// From now on, loses the answers of so many of 10 requests that it runs.
    pub fn lose_answers(&self, of_ten: usize) {
        self.lost_of_ten.store(of_ten, Ordering::SeqCst);
    }

    fn loses_answer(&self) -> bool {
        let number = self.answered.fetch_add(1, Ordering::SeqCst);
        number * 3 % 10 < self.lost_of_ten.load(Ordering::SeqCst)
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().unwrap().clone()
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read(&mut reader) {
            if self.has_ended.load(Ordering::SeqCst) {
                return;
            }
            let mut answer = Vec::new();
            let is_whole = self.answer(&request, &mut answer).is_ok();
            if request.second() != "/healthz" && self.loses_answer() {
                self.record.add(&format!("instance {} loses its answer", self.id));
                // The connection stays open until the other end closes it.
                continue;
            }
            if !is_whole || writer.write_all(&answer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message, writer: &mut Vec<u8>) -> io::Result<()> {
        if request.second() == "/healthz" {
            let id = &self.id;
            return write!(
                writer,
                "HTTP/1.1 200 OK\r\nEndivescale-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n"
            );
        }
        let Some(name) = request.header("endivescale-request-id") else {
            return writer.write_all(
                b"HTTP/1.1 400 X\r\nEndivescale-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
            );
        };
        if request.header("endivescale-expect-instance").is_some_and(|id| id != self.id) {
            let id = &self.id;
            return write!(
                writer,
                "HTTP/1.1 421 Misdirected Request\r\nEndivescale-Request-Id: {name}\r\n\
                 Endivescale-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n"
            );
        }
        let at = self.record.now();
        let index = {
            let mut arrivals = self.arrivals.lock().unwrap();
            arrivals.push(Arrival { at, request: name.to_owned(), is_answered: false });
            arrivals.len() - 1
        };
        self.record.add(&format!("instance {} runs {name}", self.id));
        let left = request.header("endivescale-deadline-ms").and_then(|ms| ms.parse().ok());
        let left = left.map_or(self.work, Duration::from_millis);
        std::thread::sleep(self.work.min(left));
        if self.has_ended.load(Ordering::SeqCst) {
            self.record.add(&format!("instance {} has ended while it ran {name}", self.id));
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        let status = if left < self.work { "504 Gateway Timeout" } else { "200 OK" };
        let body = format!("{name} by {}", self.id);
        write!(
            writer,
            "HTTP/1.1 {status}\r\nEndivescale-Request-Id: {name}\r\n\
             Endivescale-Server-Stamp: {}.{index}\r\nContent-Length: {}\r\n\r\n{body}",
            self.id,
            body.len()
        )?;
        self.arrivals.lock().unwrap()[index].is_answered = true;
        Ok(())
    }
}
