//! A minimal HTTP/1.1 client and the parsing that client and servers share.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Head of a request or a response.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// First line.
    pub line: String,
    /// Header names in lower case, with their values.
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Value of a header.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// Status of a response; 0 when there is none.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Path of a request, without its query.
    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).and_then(|target| target.split('?').next()).unwrap_or_default()
    }
}

/// Reads a head; `None` when the connection ended before its first byte.
pub async fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Head>> {
    loop {
        if let Some(end) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            let text = String::from_utf8_lossy(&buffer[..end]).into_owned();
            buffer.drain(..end + 4);
            let mut lines = text.split("\r\n");
            let line = lines.next().unwrap_or_default().to_owned();
            let headers = lines
                .filter_map(|line| line.split_once(':'))
                .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()))
                .collect();
            return Ok(Some(Head { line, headers }));
        }
        if stream.read_buf(buffer).await? == 0 {
            return if buffer.is_empty() { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
        }
    }
}

/// Reads the body that a head announces by its length.
pub async fn read_sized(stream: &mut TcpStream, buffer: &mut Vec<u8>, head: &Head) -> io::Result<Vec<u8>> {
    let length = head.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    while buffer.len() < length {
        if stream.read_buf(buffer).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    Ok(buffer.drain(..length).collect())
}

/// Reads a body in chunks; returns whether it was complete.
async fn read_chunks(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> bool {
    loop {
        let line_end = loop {
            if let Some(end) = buffer.windows(2).position(|bytes| bytes == b"\r\n") {
                break end;
            }
            if !matches!(stream.read_buf(buffer).await, Ok(count) if count > 0) {
                return false;
            }
        };
        let size = usize::from_str_radix(&String::from_utf8_lossy(&buffer[..line_end]), 16).unwrap_or(0);
        while buffer.len() < line_end + 2 + size + 2 {
            if !matches!(stream.read_buf(buffer).await, Ok(count) if count > 0) {
                return false;
            }
        }
        buffer.drain(..line_end + 2 + size + 2);
        if size == 0 {
            return true;
        }
    }
}

/// Request of a client.
#[derive(Clone, Debug)]
pub struct Call {
    /// Method.
    pub method: &'static str,
    /// Path.
    pub path: String,
    /// Attempt id.
    pub id: String,
    /// API key.
    pub key: String,
    /// Time in ms that the client waits.
    pub deadline_ms: u64,
    /// Further headers.
    pub headers: Vec<(&'static str, String)>,
    /// Body.
    pub body: String,
}

/// What a client saw.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// Status; 0 when no response head came.
    pub status: u16,
    /// True when the response was complete.
    pub complete: bool,
    /// Value of the server's seal.
    pub seal: String,
}

/// Sends a call on a new connection and reads the answer until the client's deadline.
pub async fn send(address: SocketAddr, call: &Call) -> Seen {
    let limit = Duration::from_millis(call.deadline_ms + 100);
    timeout(limit, exchange(address, call)).await.unwrap_or_default()
}

async fn exchange(address: SocketAddr, call: &Call) -> Seen {
    let Ok(mut stream) = TcpStream::connect(address).await else { return Seen::default() };
    let mut text = format!(
        "{} {} HTTP/1.1\r\nHost: kusweg.example\r\nCowslippier-Attempt-Id: {}\r\nCowslippier-Deadline-Ms: {}\r\n\
         Api-Key: {}\r\nConnection: close\r\nContent-Length: {}\r\n",
        call.method,
        call.path,
        call.id,
        call.deadline_ms,
        call.key,
        call.body.len()
    );
    for (name, value) in &call.headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    text.push_str(&call.body);
    if stream.write_all(text.as_bytes()).await.is_err() {
        return Seen::default();
    }
    let mut buffer = Vec::new();
    let Ok(Some(head)) = read_head(&mut stream, &mut buffer).await else { return Seen::default() };
    let chunked = head.get("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
    let complete = if chunked {
        read_chunks(&mut stream, &mut buffer).await
    } else {
        read_sized(&mut stream, &mut buffer, &head).await.is_ok()
    };
    Seen {
        status: head.status(),
        complete,
        seal: head.get("cowslippier-server-seal").unwrap_or_default().to_owned(),
    }
}
