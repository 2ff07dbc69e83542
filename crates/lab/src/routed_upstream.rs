//! Stand-in of an upstream of a service: it answers as told, rightly or wrongly, and keeps
//! account of what reached it.
//!
//! It writes bytes itself, since most of what it does wrong no library would write.

use crate::partition::{Partition, PartitionKind, apply_to_connection, reset_on_close};
use brasswinch_edge::Dialect;
use std::collections::VecDeque;
use std::net::{IpAddr, SocketAddr};
use std::os::fd::AsFd;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};

/// Path of its health check.
const HEALTH_PATH: &str = "/health";

/// Requests that it works on at the same time where it has slots.
const SLOTS: usize = 4;

/// What long answers are made of.
const LONG_PIECE: [u8; 8 * 1024] = [b'x'; 8 * 1024];

/// What the upstream does with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Runs it and answers with this status and its own name as body.
    Answer(u16),
    /// Runs it for a while first.
    AnswerAfter(Duration),
    /// Runs it for a while in one of its slots; if none is idle, the request waits for one.
    AnswerInTurn(Duration),
    /// Refuses it and reports that it did not run it.
    Refuse,
    /// Refuses it after a while and reports that it did not run it.
    RefuseAfter(Duration),
    /// Identifies itself as another upstream.
    Misdirected,
    /// Runs it, answers, and sends a second answer with the same id behind it.
    AnswerTwice,
    /// Runs it, and answers with the id of another request.
    AnswerForAnother,
    /// Runs it, and answers success without a signature.
    AnswerUnsigned,
    /// Runs it, and breaks its answer off in the middle.
    BreakOff,
    /// Runs it, and ends its answer with the connection.
    AnswerUnframed,
    /// Runs it, and closes without an answer.
    Close,
    /// Closes without an answer when the next request comes on a kept connection.
    CloseWhenKept,
    /// Sends bytes that are no answer.
    Garbage,
    /// Answers as soon as the head is in, and reads the body afterwards.
    AnswerEarly,
    /// Reads the body only after a while, runs it and answers.
    ReadAfter(Duration),
    /// Runs it and never answers.
    Hang,
    /// Answers and announces that it closes the connection.
    AnswerAndLeave,
    /// Runs it for a while and ends under it: all its connections break and its port closes.
    CrashAfter(Duration),
    /// Runs it and answers with a body of this many bytes; breaks off if nothing of it is taken for
    /// `patience`.
    AnswerLong {
        /// The length of the body.
        bytes: usize,
        /// How long the upstream waits for the reader.
        patience: Duration,
    },
    /// Runs it and sends a body that never ends.
    AnswerEndless,
    /// Runs it and sends these bytes.
    AnswerRaw {
        /// What is sent; `{id}` stands for the request's id.
        bytes: String,
        /// What is sent behind it over and over, until the caller closes; none if empty.
        repeated: String,
        /// Whether the connection is closed behind it.
        closes: bool,
    },
}

/// A request that reached the upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seen {
    /// The request line's method and path with its query.
    pub line: String,
    /// The request's id.
    pub id: String,
    /// The remaining time that the request stated, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// The upstream that it was meant for.
    pub intended: Option<String>,
    /// Its whole head as it came.
    pub head: String,
    /// Its body.
    pub body: Vec<u8>,
    /// Whether the upstream ran it.
    pub ran: bool,
    /// When it had come whole.
    pub at: Instant,
}

#[derive(Default)]
struct State {
    script: VecDeque<Behaviour>,
    usual: Option<Behaviour>,
    /// What it does with requests whose path begins so, before all else.
    by_path: Vec<(String, Behaviour)>,
    /// The values of the limit's header in each answer.
    limits: Vec<String>,
    /// The values of the header of leaving in each answer.
    leaving: Vec<String>,
    /// The values of `Retry-After` in each refusal.
    rests: Vec<String>,
    /// How long it stays cold according to its health answers.
    cold: Option<String>,
    /// The name that it gives there, if not its own.
    other_name: Option<String>,
    /// How often it was asked.
    health_questions: usize,
    seen: Vec<Seen>,
    connections: usize,
    closed_early: usize,
    /// Long answers that it broke off because nobody took them.
    cut_off: usize,
}

/// The upstream. Clones share their account.
#[derive(Clone)]
pub struct Upstream {
    /// Its identifier.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddr,
    dialect: Arc<Dialect>,
    state: Arc<Mutex<State>>,
    slots: Arc<Semaphore>,
    has_crashed: Arc<watch::Sender<bool>>,
    partition: Arc<watch::Sender<Partition>>,
}

impl Seen {
    /// All values of a header that came with it.
    pub fn headers(&self, name: &str) -> Vec<&str> {
        let lines = self.head.lines().skip(1);
        let pairs = lines.filter_map(|line| line.split_once(':'));
        let named = pairs.filter(|(found, _)| found.eq_ignore_ascii_case(name));
        named.map(|(_, value)| value.trim()).collect()
    }
}

impl Upstream {
    /// Starts an upstream on a port that the system chooses.
    pub async fn start(id: &str, dialect: &Dialect) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let upstream = Self {
            id: id.to_owned(),
            address: listener.local_addr()?,
            dialect: Arc::new(dialect.clone()),
            state: Arc::default(),
            slots: Arc::new(Semaphore::new(SLOTS)),
            has_crashed: Arc::new(watch::Sender::new(false)),
            partition: Arc::default(),
        };
        let serving = upstream.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = serving.accept(listener) => {}
                () = serving.crashed() => {}
            }
        });
        Ok(upstream)
    }

    async fn accept(&self, listener: TcpListener) {
        let mut partitions = self.partition.subscribe();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                Ok(()) = partitions.changed() => {
                    let partition = partitions.borrow_and_update().clone();
                    if partition.apply_to_listener(&listener).is_err() {
                        return;
                    }
                    continue;
                }
            };
            let Ok((stream, from)) = accepted else {
                return;
            };
            let is_refused = partitions.borrow().kind_for(from.ip());
            if is_refused == Some(PartitionKind::RefuseNew) {
                // Dropping it afterwards closes it, whether or not the option was taken.
                let _ = reset_on_close(&stream);
                continue;
            }
            self.lock().connections += 1;
            let upstream = self.clone();
            tokio::spawn(async move { upstream.serve_until_cut(stream, from.ip()).await });
        }
    }

    async fn serve_until_cut(&self, stream: TcpStream, from: IpAddr) {
        let Ok(connection) = stream.as_fd().try_clone_to_owned() else {
            return;
        };
        tokio::select! {
            // A caller that breaks off is counted where it matters.
            _ = self.serve(stream) => {}
            () = self.crashed() => {}
            () = apply_to_connection(self.partition.subscribe(), connection, from) => {}
        }
    }

    /// Partitions it from some addresses, or from none.
    pub fn set_partition(&self, partition: Partition) {
        self.partition.send_replace(partition);
    }

    /// Waits until a request has ended it.
    pub async fn crashed(&self) {
        let mut changes = self.has_crashed.subscribe();
        // The sender lives as long as the upstream.
        let _ = changes.wait_for(|has_crashed| *has_crashed).await;
    }

    /// Whether a request has ended it.
    pub fn has_crashed(&self) -> bool {
        *self.has_crashed.borrow()
    }

    /// Sets the behaviour for requests whose path begins with `prefix`, which overrides any other.
    pub fn on_path(&self, prefix: &str, behaviour: Behaviour) {
        self.lock().by_path.push((prefix.to_owned(), behaviour));
    }

    /// What it does with the next requests; after them it answers 200.
    pub fn script(&self, behaviours: impl IntoIterator<Item = Behaviour>) {
        self.lock().script.extend(behaviours);
    }

    /// What it does with every request that no script covers.
    pub fn always(&self, behaviour: Behaviour) {
        self.lock().usual = Some(behaviour);
    }

    /// Names `limits` in each answer from now on, each in a header of its own.
    pub fn name_limits(&self, limits: &[&str]) {
        self.lock().limits = owned(limits);
    }

    /// Announces in each answer from now on that it is leaving, with `values`, each in a header
    /// of its own.
    pub fn say_leaving(&self, values: &[&str]) {
        self.lock().leaving = owned(values);
    }

    /// Names `rests` in each refusal from now on, each in a header of its own.
    pub fn ask_for_rest(&self, rests: &[&str]) {
        self.lock().rests = owned(rests);
    }

    /// Is cold from now on, and reports it in its health answers for `cold_s` seconds.
    pub fn turn_cold(&self, cold_s: u32) {
        self.say_cold(&cold_s.to_string());
    }

    /// Reports `cold` in its health answers.
    pub fn say_cold(&self, cold: &str) {
        self.lock().cold = Some(cold.to_owned());
    }

    /// Identifies itself as another upstream in its health answers.
    pub fn answer_health_as(&self, name: &str) {
        self.lock().other_name = Some(name.to_owned());
    }

    /// How often it was asked for its health.
    pub fn health_questions(&self) -> usize {
        self.lock().health_questions
    }

    /// The requests that reached it.
    pub fn seen(&self) -> Vec<Seen> {
        self.lock().seen.clone()
    }

    /// Connections that were made to it.
    pub fn connections(&self) -> usize {
        self.lock().connections
    }

    /// Requests whose caller closed the connection before their answer was out.
    pub fn closed_early(&self) -> usize {
        self.lock().closed_early
    }

    /// Long answers that it broke off because nobody took them.
    pub fn cut_off(&self) -> usize {
        self.lock().cut_off
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn next_behaviour(&self, head: &str) -> Behaviour {
        let mut state = self.lock();
        let path = head.split(' ').nth(1).unwrap_or_default();
        let mut by_path = state.by_path.iter();
        if let Some((_, told)) = by_path.find(|(prefix, _)| path.starts_with(prefix)) {
            return told.clone();
        }
        let usual = state.usual.clone().unwrap_or(Behaviour::Answer(200));
        state.script.pop_front().unwrap_or(usual)
    }

    async fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        let mut buffer = Vec::new();
        let mut is_kept = false;
        while let Some(head) = read_head(&mut stream, &mut buffer).await? {
            let behaviour = self.next_behaviour(&head);
            if behaviour == Behaviour::CloseWhenKept && is_kept {
                return Ok(());
            }
            if !self
                .exchange(&mut stream, &mut buffer, &head, &behaviour)
                .await?
            {
                return Ok(());
            }
            is_kept = true;
        }
        Ok(())
    }

    /// Reads the rest of a request and does what it is told; says whether the connection
    /// goes on.
    async fn exchange(
        &self,
        stream: &mut TcpStream,
        buffer: &mut Vec<u8>,
        head: &str,
        behaviour: &Behaviour,
    ) -> std::io::Result<bool> {
        if head.starts_with(&format!("GET {HEALTH_PATH} ")) {
            stream.write_all(&self.health()).await?;
            return Ok(true);
        }
        let id = header(head, self.dialect.request_id.as_str()).unwrap_or_default();
        if *behaviour == Behaviour::AnswerEarly {
            stream.write_all(&self.answer(200, &id, true)).await?;
        }
        if let Behaviour::ReadAfter(time) = behaviour {
            tokio::time::sleep(*time).await;
        }
        let body = read_body(stream, buffer, head).await?;
        let ran = !matches!(
            behaviour,
            Behaviour::Refuse | Behaviour::RefuseAfter(_) | Behaviour::Misdirected
        );
        let deadline = header(head, self.dialect.deadline_ms.as_str());
        self.lock().seen.push(Seen {
            line: head.lines().next().unwrap_or_default().to_owned(),
            id: id.clone(),
            deadline_ms: deadline.and_then(|text| text.parse().ok()),
            intended: header(head, self.dialect.intended_upstream.as_str()),
            head: head.to_owned(),
            body,
            ran,
            at: Instant::now(),
        });
        self.reply(stream, &id, behaviour).await
    }

    async fn reply(
        &self,
        stream: &mut TcpStream,
        id: &str,
        behaviour: &Behaviour,
    ) -> std::io::Result<bool> {
        let whole = self.answer(200, id, true);
        match behaviour {
            Behaviour::Answer(status) => {
                stream.write_all(&self.answer(*status, id, true)).await?;
            }
            Behaviour::AnswerAfter(time) => {
                if self.leaves_within(stream, *time).await {
                    return Ok(false);
                }
                stream.write_all(&whole).await?;
            }
            Behaviour::AnswerInTurn(time) => {
                let Ok(_slot) = self.slots.acquire().await else {
                    return Ok(false);
                };
                if self.leaves_within(stream, *time).await {
                    return Ok(false);
                }
                stream.write_all(&whole).await?;
            }
            Behaviour::Refuse => stream.write_all(&self.refusal(503, id)).await?,
            Behaviour::RefuseAfter(time) => {
                if self.leaves_within(stream, *time).await {
                    return Ok(false);
                }
                stream.write_all(&self.refusal(503, id)).await?;
            }
            Behaviour::Misdirected => stream.write_all(&self.refusal(421, id)).await?,
            Behaviour::AnswerTwice => {
                stream.write_all(&[whole.clone(), whole].concat()).await?;
            }
            Behaviour::AnswerForAnother => {
                stream.write_all(&self.answer(200, "another", true)).await?;
            }
            Behaviour::AnswerUnsigned => {
                stream.write_all(&self.answer(200, id, false)).await?;
            }
            Behaviour::BreakOff => {
                stream.write_all(&whole[..whole.len() - 2]).await?;
                return Ok(false);
            }
            Behaviour::AnswerUnframed => {
                let text = String::from_utf8_lossy(&whole).into_owned();
                let length = format!("content-length: {}\r\n", self.id.len());
                stream
                    .write_all(text.replace(&length, "").as_bytes())
                    .await?;
                return Ok(false);
            }
            Behaviour::AnswerLong { bytes, patience } => {
                return self.answer_long(stream, id, *bytes, *patience).await;
            }
            Behaviour::AnswerEndless => {
                stream
                    .write_all(self.long_head(id, None).as_bytes())
                    .await?;
                loop {
                    stream.write_all(&LONG_PIECE).await?;
                }
            }
            Behaviour::AnswerRaw {
                bytes,
                repeated,
                closes,
            } => {
                stream
                    .write_all(bytes.replace("{id}", id).as_bytes())
                    .await?;
                while !repeated.is_empty() {
                    stream.write_all(repeated.as_bytes()).await?;
                }
                return Ok(!closes);
            }
            Behaviour::Close => return Ok(false),
            Behaviour::Garbage => {
                stream.write_all(b"\x00\x01 no answer\r\n\r\n").await?;
                return Ok(false);
            }
            Behaviour::AnswerEarly => {}
            Behaviour::ReadAfter(_) => stream.write_all(&whole).await?,
            Behaviour::CloseWhenKept => stream.write_all(&whole).await?,
            Behaviour::Hang => {
                self.leaves_within(stream, Duration::from_secs(60)).await;
                return Ok(false);
            }
            Behaviour::AnswerAndLeave => {
                let text = String::from_utf8_lossy(&whole).into_owned();
                let closing = text.replacen("\r\n", "\r\nconnection: close\r\n", 1);
                stream.write_all(closing.as_bytes()).await?;
                return Ok(false);
            }
            Behaviour::CrashAfter(time) => {
                tokio::time::sleep(*time).await;
                self.has_crashed.send_replace(true);
                return Ok(false);
            }
        }
        Ok(true)
    }

    /// Sends a long answer. Returns whether the connection stays open.
    async fn answer_long(
        &self,
        stream: &mut TcpStream,
        id: &str,
        bytes: usize,
        patience: Duration,
    ) -> std::io::Result<bool> {
        let head = self.long_head(id, Some(bytes));
        stream.write_all(head.as_bytes()).await?;
        let mut left = bytes;
        while left > 0 {
            let piece = &LONG_PIECE[..left.min(LONG_PIECE.len())];
            let Ok(taken) = tokio::time::timeout(patience, stream.write(piece)).await else {
                self.lock().cut_off += 1;
                return Ok(false);
            };
            left -= taken?;
        }
        Ok(true)
    }

    /// The head of a long answer; without a length it ends with the connection.
    fn long_head(&self, id: &str, bytes: Option<usize>) -> String {
        let (request_id, signature) = (&self.dialect.request_id, &self.dialect.signature);
        let length = bytes.map(|bytes| format!("content-length: {bytes}\r\n"));
        let length = length.unwrap_or_default();
        format!("HTTP/1.1 200 Said\r\n{request_id}: {id}\r\n{signature}: signed\r\n{length}\r\n")
    }

    /// Whether the caller closes the connection within `time`.
    async fn leaves_within(&self, stream: &mut TcpStream, time: Duration) -> bool {
        let mut byte = [0];
        let read = tokio::time::timeout(time, stream.read(&mut byte)).await;
        let has_left = matches!(read, Ok(Ok(0) | Err(_)));
        if has_left {
            self.lock().closed_early += 1;
        }
        has_left
    }

    fn answer(&self, status: u16, id: &str, is_signed: bool) -> Vec<u8> {
        let signature = if is_signed {
            format!("{}: signed\r\n", self.dialect.signature)
        } else {
            String::new()
        };
        let own_words = self.own_words();
        let (request_id, load) = (&self.dialect.request_id, &self.dialect.load);
        let (length, body) = (self.id.len(), &self.id);
        format!(
            "HTTP/1.1 {status} Said\r\n{request_id}: {id}\r\n{signature}{load}: 1,0,{SLOTS}\r\n{own_words}\
             content-length: {length}\r\n\r\n{body}"
        )
        .into_bytes()
    }

    /// The headers that describe it in all answers, except for its load.
    fn own_words(&self) -> String {
        let state = self.lock();
        let limits = lines(&self.dialect.limit, &state.limits);
        limits + lines(&self.dialect.leaving, &state.leaving).as_str()
    }

    fn health(&self) -> Vec<u8> {
        let mut state = self.lock();
        state.health_questions += 1;
        let (instance, remaining) = (&self.dialect.instance, &self.dialect.cold_remaining);
        let id = state.other_name.as_ref().unwrap_or(&self.id);
        let cold = state.cold.as_deref().unwrap_or("0");
        format!(
            "HTTP/1.1 200 Well\r\n{instance}: {id}\r\n{remaining}: {cold}\r\ncontent-length: 0\r\n\r\n"
        )
        .into_bytes()
    }

    fn refusal(&self, status: u16, id: &str) -> Vec<u8> {
        let (request_id, not_run) = (&self.dialect.request_id, &self.dialect.not_run);
        let own_words = self.own_words();
        let rests = lines(&http::header::RETRY_AFTER, &self.lock().rests);
        format!(
            "HTTP/1.1 {status} Refused\r\n{request_id}: {id}\r\n{not_run}: 1\r\n{own_words}{rests}\
             content-length: 0\r\n\r\n"
        )
        .into_bytes()
    }
}

fn owned(values: &[&str]) -> Vec<String> {
    values.iter().map(|value| (*value).to_owned()).collect()
}

/// A header line for each value.
fn lines(name: &http::HeaderName, values: &[String]) -> String {
    let line = |value: &String| format!("{name}: {value}\r\n");
    values.iter().map(line).collect()
}

/// The next head on the connection, without its empty line.
async fn read_head(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> std::io::Result<Option<String>> {
    loop {
        if let Some(end) = buffer.windows(4).position(|four| four == b"\r\n\r\n") {
            let head: Vec<u8> = buffer.drain(..end + 4).collect();
            return Ok(Some(String::from_utf8_lossy(&head[..end]).into_owned()));
        }
        if stream.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    }
}

/// The body that belongs to `head`, framed by a length or in chunks.
async fn read_body(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    head: &str,
) -> std::io::Result<Vec<u8>> {
    let length = header(head, "content-length").and_then(|text| text.parse::<usize>().ok());
    if let Some(length) = length {
        fill(stream, buffer, length).await?;
        return Ok(buffer.drain(..length).collect());
    }
    if header(head, "transfer-encoding").is_none() {
        return Ok(Vec::new());
    }
    let mut body = Vec::new();
    loop {
        let line = read_line(stream, buffer).await?;
        let length = usize::from_str_radix(line.trim(), 16)
            .map_err(|_| std::io::Error::from(std::io::ErrorKind::InvalidData))?;
        fill(stream, buffer, length + 2).await?;
        body.extend(buffer.drain(..length));
        buffer.drain(..2);
        if length == 0 {
            return Ok(body);
        }
    }
}

async fn read_line(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> std::io::Result<String> {
    loop {
        if let Some(end) = buffer.windows(2).position(|two| two == b"\r\n") {
            let line: Vec<u8> = buffer.drain(..end + 2).collect();
            return Ok(String::from_utf8_lossy(&line).into_owned());
        }
        fill(stream, buffer, buffer.len() + 1).await?;
    }
}

async fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>, length: usize) -> std::io::Result<()> {
    while buffer.len() < length {
        if stream.read_buf(buffer).await? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
    }
    Ok(())
}

fn header(head: &str, name: &str) -> Option<String> {
    head.lines().skip(1).find_map(|line| {
        let (found, value) = line.split_once(':')?;
        found
            .eq_ignore_ascii_case(name)
            .then(|| value.trim().to_owned())
    })
}
