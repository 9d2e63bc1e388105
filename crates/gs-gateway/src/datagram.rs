//! Datagrams between entries: reports, and how the receiver handles them.

use gs_control::forwarding::CurrencyAnswer;
use gs_control::relay::EntryReport;

/// Maximum size of a datagram, in bytes.
pub(crate) const MAX_DATAGRAM_BYTES: usize = 8_192;

/// Maximum size of a datagram with several reports, in bytes.
const MAX_BATCH_BYTES: usize = 1_200;

/// How a datagram is handled; its first byte.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub(crate) enum DatagramKind {
    /// From an entry to all others.
    Direct = 0,
    /// From an entry to its data centre; relays there pass it on to other data centres.
    Local = 1,
    /// From a relay to one of another data centre, which passes it on to its own.
    BetweenRelays = 2,
    /// From a relay to its data centre, with reports of other data centres.
    Relayed = 3,
}

impl DatagramKind {
    fn from_byte(byte: u8) -> Option<Self> {
        [
            Self::Direct,
            Self::Local,
            Self::BetweenRelays,
            Self::Relayed,
        ]
        .into_iter()
        .find(|kind| *kind as u8 == byte)
    }
}

/// Whether a datagram carries reports that a relay passes on.
pub(crate) fn is_passed_on(bytes: &[u8]) -> bool {
    let kind = bytes.first().copied().and_then(DatagramKind::from_byte);
    matches!(
        kind,
        Some(DatagramKind::BetweenRelays | DatagramKind::Relayed)
    )
}

/// Encodes reports into datagrams of at most [`MAX_BATCH_BYTES`], or of a single report.
pub(crate) fn encode_reports(kind: DatagramKind, reports: &[EntryReport]) -> Vec<Vec<u8>> {
    let mut datagrams = Vec::new();
    let mut open: Vec<&[EntryReport]> = vec![reports];
    while let Some(batch) = open.pop() {
        if batch.is_empty() {
            continue;
        }
        let mut bytes = vec![kind as u8];
        if let Err(error) = ciborium::into_writer(&batch, &mut bytes) {
            log::warn!(target: "peers", error:%; "cannot encode the reports");
            continue;
        }
        if bytes.len() <= MAX_BATCH_BYTES || batch.len() == 1 {
            datagrams.push(bytes);
        } else {
            let (first, second) = batch.split_at(batch.len() / 2);
            open.extend([first, second]);
        }
    }
    datagrams
}

/// Decodes a datagram; `None` if it is invalid.
pub(crate) fn decode_reports(bytes: &[u8]) -> Option<(DatagramKind, Vec<EntryReport>)> {
    let (kind, body) = bytes.split_first()?;
    let reports = ciborium::from_reader(body).ok()?;
    Some((DatagramKind::from_byte(*kind)?, reports))
}

/// First byte of a question how current a peer's configuration is.
const QUESTION: u8 = 4;

/// First byte of the answer to it.
const ANSWER: u8 = 5;

/// A question how current a peer's configuration is, or the answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CurrencyMessage {
    /// The question, with its nonce.
    Question(u64),
    /// The answer.
    Answer(CurrencyAnswer),
}

/// Encodes a question or an answer into a datagram.
pub(crate) fn encode_currency(message: CurrencyMessage) -> Vec<u8> {
    let mut bytes = Vec::new();
    let encoded = match message {
        CurrencyMessage::Question(nonce) => {
            bytes.push(QUESTION);
            ciborium::into_writer(&nonce, &mut bytes)
        }
        CurrencyMessage::Answer(answer) => {
            bytes.push(ANSWER);
            ciborium::into_writer(&answer, &mut bytes)
        }
    };
    if let Err(error) = encoded {
        log::warn!(target: "peers", error:%; "cannot encode a question or an answer on the configuration");
    }
    bytes
}

/// Decodes a question or an answer; `None` if the datagram is something else.
pub(crate) fn decode_currency(bytes: &[u8]) -> Option<CurrencyMessage> {
    let (kind, body) = bytes.split_first()?;
    match *kind {
        QUESTION => ciborium::from_reader(body)
            .ok()
            .map(CurrencyMessage::Question),
        ANSWER => ciborium::from_reader(body)
            .ok()
            .map(CurrencyMessage::Answer),
        _ => None,
    }
}
