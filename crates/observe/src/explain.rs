//! Reconstructs the course of one request from the logs of several boxes.

use std::collections::BTreeSet;

/// Numbers of events that tell what a box believed, not what it did with a request.
const BELIEFS: std::ops::Range<u16> = 100..500;

/// Lines of belief that are shown before a request's first line.
const MOST_BELIEFS: usize = 8;

/// One line of a log.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LogLine {
    /// The line's timestamp, as in the log.
    pub time: String,
    /// Whose log it stands in.
    pub source: String,
    /// The event's number.
    pub number: u16,
    /// The line from the event's number on.
    pub text: String,
}

impl LogLine {
    /// Reads a line of a text or JSON log; `None` for lines that are no event.
    pub fn read(source: &str, line: &str) -> Option<Self> {
        let time = line
            .split(|sign: char| sign.is_whitespace() || sign == '"')
            .find(|word| is_time(word))?;
        let start = line.match_indices("BW").find_map(|(at, _)| {
            let digits = line.get(at + 2..at + 5)?;
            let number = digits.parse::<u16>().ok()?;
            Some((at, number))
        });
        let (at, number) = start?;
        let text = line[at..].split(['"', '\\']).next().unwrap_or_default();
        Some(Self {
            time: time.to_owned(),
            source: source.to_owned(),
            number,
            text: text.to_owned(),
        })
    }

    /// Whether the line is about the request `id`.
    pub fn is_about(&self, id: &str) -> bool {
        self.text
            .split(|sign: char| sign.is_whitespace() || sign == ',')
            .any(|word| word.strip_prefix("id=") == Some(id))
    }

    fn is_belief(&self) -> bool {
        BELIEFS.contains(&self.number)
    }
}

/// The lines about `id` in order, after the last beliefs of the boxes that they are of.
pub fn explain(mut lines: Vec<LogLine>, id: &str) -> Vec<LogLine> {
    lines.sort();
    let story: Vec<LogLine> = lines
        .iter()
        .filter(|line| line.is_about(id))
        .cloned()
        .collect();
    let Some(first) = story.first() else {
        return Vec::new();
    };
    let boxes: BTreeSet<&String> = story.iter().map(|line| &line.source).collect();
    let beliefs: Vec<LogLine> = lines
        .iter()
        .filter(|line| line.is_belief() && line.time <= first.time)
        .filter(|line| boxes.contains(&line.source))
        .cloned()
        .collect();
    let skipped = beliefs.len().saturating_sub(MOST_BELIEFS);
    beliefs.into_iter().skip(skipped).chain(story).collect()
}

/// Whether a word is a time as logs write it: 2026-01-30T14:49:02.024272+00:00.
fn is_time(word: &str) -> bool {
    let bytes = word.as_bytes();
    bytes.len() >= 19 && bytes[4] == b'-' && bytes[10] == b'T' && bytes[13] == b':'
}
