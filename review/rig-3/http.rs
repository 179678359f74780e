//! Reading and writing of HTTP/1.1 messages.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::net::TcpStream;

/// A request or response.
pub struct Message {
    /// Request line or status line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the second word of the first line: a request's target, or a response's status.
    pub fn second(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }
}

fn bad(problem: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, problem.to_owned())
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    Ok(Some(line.trim_end_matches(['\r', '\n']).to_owned()))
}

/// Reads a message; `None` at the end of the connection.
pub fn read(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let Some(line) = read_line(reader)? else { return Ok(None) };
    let mut headers = Vec::new();
    loop {
        let text = read_line(reader)?.ok_or_else(|| bad("the head breaks off"))?;
        if text.is_empty() {
            break;
        }
        let (name, value) = text.split_once(':').ok_or_else(|| bad("not a header"))?;
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
    let mut message = Message { line, headers, body: Vec::new() };
    if message.header("transfer-encoding").is_some() {
        loop {
            let size = read_line(reader)?.ok_or_else(|| bad("a chunk breaks off"))?;
            let size = usize::from_str_radix(&size, 16).map_err(|_| bad("not a size"))?;
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk)?;
            message.body.extend(chunk);
            read_line(reader)?;
            if size == 0 {
                return Ok(Some(message));
            }
        }
    }
    let length = message.header("content-length").map_or(Ok(0), str::parse);
    message.body = vec![0; length.map_err(|_| bad("not a length"))?];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// Returns the value of a parameter of a target's query.
pub fn query<'a>(target: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = target.split_once('?')?;
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value)
}
