//! Sends calls to the administration API, and retries them until their outcome is known.

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

/// Maximum size of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 16_777_216;

/// Maximum number of attempts of one call.
const MAX_ATTEMPTS: u32 = 5;

/// The backoff after the first failed attempt; it doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);

/// Why an attempt failed.
enum AttemptFailure {
    /// No connection was made, so the call was not sent.
    NotSent,
    /// The call was sent, but no complete answer was received.
    AnswerLost,
    /// The API refused the call.
    Refused(Box<AdminProblem>),
    /// The answer does not follow the API.
    Malformed(String),
}

/// Why a call failed after all attempts.
pub(crate) enum CallFailure {
    /// The call did not take effect.
    NotApplied(CtlError),
    /// The call may have taken effect.
    OutcomeUnknown,
}

/// A client that makes calls with the token of an operator.
pub(crate) struct AdminClient {
    http: Client,
    addresses: Vec<SocketAddr>,
    token: OperatorToken,
}

impl AdminClient {
    /// Creates a client and reads the token file. Does not connect yet.
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

    /// Makes a read-only call and decodes its answer.
    pub(crate) async fn read<T>(&self, call: &AdminCall) -> Result<T, Report<CtlError>>
    where
        T: DeserializeOwned,
    {
        decode_answer(call, &self.read_bytes(call).await?)
    }

    /// Makes a read-only call and returns the body of its answer.
    pub(crate) async fn read_bytes(&self, call: &AdminCall) -> Result<Bytes, Report<CtlError>> {
        self.send_with_retries(call)
            .await
            .map_err(|failure| match failure {
                CallFailure::NotApplied(error) => Report::new(error),
                CallFailure::OutcomeUnknown => Report::new(self.unreachable()),
            })
    }

    /// Makes a call and returns the body of its answer. Tries the addresses in turn, with exponential
    /// backoff, until the outcome is known or `MAX_ATTEMPTS` is reached.
    pub(crate) async fn send_with_retries(&self, call: &AdminCall) -> Result<Bytes, CallFailure> {
        let mut backoff = INITIAL_BACKOFF;
        let mut outcome_unknown = false;
        let mut last_error = self.unreachable();
        for (attempt, address) in (1..=MAX_ATTEMPTS).zip(self.addresses.iter().cycle()) {
            match self.send_once(*address, call).await {
                Ok(answer) => return Ok(answer),
                Err(AttemptFailure::Refused(problem))
                    if is_final_refusal(&problem, outcome_unknown) =>
                {
                    return Err(CallFailure::NotApplied(CtlError::Refused { problem }));
                }
                Err(AttemptFailure::Refused(problem)) => {
                    outcome_unknown |= problem.outcome == RequestOutcome::Unknown;
                    last_error = CtlError::Refused { problem };
                }
                Err(AttemptFailure::NotSent) => {}
                Err(AttemptFailure::AnswerLost) => outcome_unknown = true,
                Err(AttemptFailure::Malformed(detail)) => {
                    outcome_unknown = true;
                    let call = call.name();
                    last_error = CtlError::AnswerMalformed { call, detail };
                }
            }
            warn!(target: "client", address:% = address, call:% = call.name(), count = attempt; "call failed");
            if attempt < MAX_ATTEMPTS {
                actix_rt::time::sleep(backoff).await;
                backoff *= 2;
            }
        }
        if outcome_unknown {
            return Err(CallFailure::OutcomeUnknown);
        }
        Err(CallFailure::NotApplied(last_error))
    }

    /// Makes one attempt of a call at one address.
    async fn send_once(
        &self,
        address: SocketAddr,
        call: &AdminCall,
    ) -> Result<Bytes, AttemptFailure> {
        let url = format!("http://{address}/admin/v1/{}", call.path);
        let request = self
            .http
            .request(call.method.clone(), url)
            .bearer_auth(self.token.as_str())
            .query(&call.query)
            .map_err(|_| AttemptFailure::NotSent)?;
        let sent = match &call.body {
            CallBody::Empty => request.send(),
            CallBody::Document(bytes) => request.send_body(bytes.clone()),
            CallBody::Json(value) => request.send_json(value),
        };
        let mut response = sent.await.map_err(|error| classify_send_error(&error))?;
        let body = response
            .body()
            .limit(MAX_ANSWER_BYTES)
            .await
            .map_err(|_| AttemptFailure::AnswerLost)?;
        read_response(&response, body)
    }

    /// Returns the error for a call that none of the addresses answered.
    fn unreachable(&self) -> CtlError {
        let tried: Vec<String> = self.addresses.iter().map(ToString::to_string).collect();
        CtlError::Unreachable {
            tried: tried.join(", "),
        }
    }
}

/// Decodes the JSON body of an answer.
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

/// Returns whether a refusal is final, so that the call is not retried. Refusals because of a platform
/// outage never are. If the outcome of an earlier attempt is unknown, the refusal of a retry may be
/// caused by the effect of that attempt; only a sequence number that another operation has taken is
/// final then.
fn is_final_refusal(problem: &AdminProblem, outcome_unknown: bool) -> bool {
    match problem.reason {
        AdminReason::Overtaken => true,
        AdminReason::PlatformUnavailable => false,
        _ => !outcome_unknown && problem.outcome == RequestOutcome::NotRun,
    }
}

/// Classifies a failed request by whether the call may have been sent.
fn classify_send_error(error: &SendRequestError) -> AttemptFailure {
    match error {
        SendRequestError::Connect(_) | SendRequestError::Url(_) => AttemptFailure::NotSent,
        _ => AttemptFailure::AnswerLost,
    }
}

/// Returns the body of a successful answer, otherwise the problem details in it.
fn read_response<S>(response: &ClientResponse<S>, body: Bytes) -> Result<Bytes, AttemptFailure> {
    if response.status().is_success() {
        return Ok(body);
    }
    match serde_json::from_slice(&body) {
        Ok(problem) => Err(AttemptFailure::Refused(Box::new(problem))),
        Err(_) => {
            let detail = format!("status {} without problem details", response.status());
            Err(AttemptFailure::Malformed(detail))
        }
    }
}
