//! Sends calls to the administration API and repeats them until they are settled.

use std::net::SocketAddr;
use std::time::Duration;

use awc::error::SendRequestError;
use awc::{Client, ClientResponse, Connector};
use bytes::Bytes;
use error_stack::Report;
use gs_protocol::admin::{AdminProblem, AdminReason};
use gs_protocol::refusal::RequestOutcome;
use log::warn;
use serde::de::DeserializeOwned;

use crate::error::CtlError;
use crate::files::{OperatorToken, read_token_file};

use super::call::{AdminCall, CallBody};
use super::options::AdminOptions;

/// Bytes of the longest answer.
const MAX_ANSWER_BYTES: usize = 16_777_216;

/// Tries of one call.
const MAX_TRIES: u32 = 5;

/// The pause after the first failed try; doubled after each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// Why one try failed.
enum TryFailure {
    /// Nothing was sent.
    NotSent,
    /// The call was sent and no whole answer came.
    Lost,
    /// The API refused.
    Refused(Box<AdminProblem>),
    /// The answer is not of the API.
    Malformed(String),
}

/// How a call ended without an answer.
pub(crate) enum CallFailure {
    /// The call certainly changed nothing.
    NothingDone(CtlError),
    /// The call may have taken effect.
    Unsettled,
}

/// A client with an operator's token.
pub(crate) struct AdminClient {
    http: Client,
    addresses: Vec<SocketAddr>,
    token: OperatorToken,
}

impl AdminClient {
    /// Reads the token; connects only when a call is made.
    pub(crate) fn open(options: &AdminOptions) -> Result<Self, Report<CtlError>> {
        let timeout = Duration::from_millis(options.timeout_ms);
        let http = Client::builder()
            .connector(Connector::new().timeout(timeout))
            .timeout(timeout)
            .finish();
        Ok(Self {
            http,
            addresses: options.admin.clone(),
            token: read_token_file(&options.token_file)?,
        })
    }

    /// Makes a call that changes nothing and decodes its answer.
    pub(crate) async fn read<T>(&self, call: &AdminCall) -> Result<T, Report<CtlError>>
    where
        T: DeserializeOwned,
    {
        decode_answer(call, &self.read_bytes(call).await?)
    }

    /// Makes a call that changes nothing and returns its answer.
    pub(crate) async fn read_bytes(&self, call: &AdminCall) -> Result<Bytes, Report<CtlError>> {
        self.send_until_settled(call)
            .await
            .map_err(|failure| match failure {
                CallFailure::NothingDone(error) => Report::new(error),
                CallFailure::Unsettled => Report::new(self.unreachable()),
            })
    }

    /// Makes a call, with repeats while its outcome is not known.
    pub(crate) async fn send_until_settled(&self, call: &AdminCall) -> Result<Bytes, CallFailure> {
        let mut pause = FIRST_PAUSE;
        let mut unsettled = false;
        let mut last = self.unreachable();
        for (count, address) in (1..=MAX_TRIES).zip(self.addresses.iter().cycle()) {
            match self.send_once(*address, call).await {
                Ok(answer) => return Ok(answer),
                Err(TryFailure::Refused(problem)) if is_final(&problem, unsettled) => {
                    return Err(CallFailure::NothingDone(CtlError::Refused { problem }));
                }
                Err(TryFailure::Refused(problem)) => {
                    unsettled |= problem.outcome == RequestOutcome::Unknown;
                    last = CtlError::Refused { problem };
                }
                Err(TryFailure::NotSent) => {}
                Err(TryFailure::Lost) => unsettled = true,
                Err(TryFailure::Malformed(detail)) => {
                    unsettled = true;
                    let call = call.name();
                    last = CtlError::AnswerMalformed { call, detail };
                }
            }
            warn!(target: "client", address:% = address, call:% = call.name(), count; "call failed");
            if count < MAX_TRIES {
                actix_rt::time::sleep(pause).await;
                pause *= 2;
            }
        }
        if unsettled {
            return Err(CallFailure::Unsettled);
        }
        Err(CallFailure::NothingDone(last))
    }

    async fn send_once(&self, address: SocketAddr, call: &AdminCall) -> Result<Bytes, TryFailure> {
        let url = format!("http://{address}/admin/v1/{}", call.path);
        let request = self
            .http
            .request(call.method.clone(), url)
            .bearer_auth(self.token.as_str())
            .query(&call.query)
            .map_err(|_| TryFailure::NotSent)?;
        let sent = match &call.body {
            CallBody::Empty => request.send(),
            CallBody::Document(bytes) => request.send_body(bytes.clone()),
            CallBody::Json(value) => request.send_json(value),
        };
        let mut response = sent.await.map_err(|error| classify(&error))?;
        let body = response
            .body()
            .limit(MAX_ANSWER_BYTES)
            .await
            .map_err(|_| TryFailure::Lost)?;
        read_response(&response, body)
    }

    fn unreachable(&self) -> CtlError {
        let tried: Vec<String> = self.addresses.iter().map(ToString::to_string).collect();
        CtlError::Unreachable {
            tried: tried.join(", "),
        }
    }
}

/// Decodes an answer.
pub(crate) fn decode_answer<T>(call: &AdminCall, bytes: &[u8]) -> Result<T, Report<CtlError>>
where
    T: DeserializeOwned,
{
    serde_json::from_slice(bytes).map_err(|error| {
        Report::new(CtlError::AnswerMalformed {
            call: call.name(),
            detail: error.to_string(),
        })
    })
}

/// Whether a refusal settles the call. After a lost answer, the refusals of a repeat may come from
/// the call's own effect, so only the loss of the sequence number to another operation is final.
fn is_final(problem: &AdminProblem, unsettled: bool) -> bool {
    match problem.reason {
        AdminReason::Overtaken => true,
        AdminReason::PlatformUnavailable => false,
        _ => !unsettled && problem.outcome == RequestOutcome::NotRun,
    }
}

fn classify(error: &SendRequestError) -> TryFailure {
    match error {
        SendRequestError::Connect(_) | SendRequestError::Url(_) => TryFailure::NotSent,
        _ => TryFailure::Lost,
    }
}

fn read_response<S>(response: &ClientResponse<S>, body: Bytes) -> Result<Bytes, TryFailure> {
    if response.status().is_success() {
        return Ok(body);
    }
    match serde_json::from_slice(&body) {
        Ok(problem) => Err(TryFailure::Refused(Box::new(problem))),
        Err(_) => {
            let detail = format!("status {} without problem details", response.status());
            Err(TryFailure::Malformed(detail))
        }
    }
}
