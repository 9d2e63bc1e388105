//! Mutual authentication of the two sides of a link with a shared key.

use std::time::Duration;

use gs_document::settings::PeerKey;
use gs_protocol::peer::{PEER_PROTOCOL_VERSION, PROOF_BYTES, PeerFrame, PeerIdentity, PeerRefusal};
use hmac::{Hmac, Mac};
use rand::RngCore;
use sha2::Sha256;

use super::PeerError;
use super::socket::PeerSocket;

/// Side of a link. It is part of the proof, so that a proof of one side cannot be replayed as the
/// other's.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum LinkSide {
    Accepting,
    Connecting,
}

/// Identity of this entry and the key that authenticates it.
#[derive(Clone, Debug)]
pub struct PeerCredentials {
    /// Identity and addresses of this entry.
    pub own: PeerIdentity,
    /// Key that all entries share.
    pub key: PeerKey,
    /// Time limit for each step.
    pub timeout: Duration,
}

impl PeerCredentials {
    /// Authenticates a link as the connecting side and returns the peer's identity.
    pub async fn connect(&self, socket: &mut PeerSocket) -> Result<PeerIdentity, PeerError> {
        let nonce = new_nonce();
        let peer = self.own.clone();
        let version = PEER_PROTOCOL_VERSION;
        socket
            .send(&PeerFrame::Hello {
                version,
                peer,
                nonce,
            })
            .await?;
        match socket.receive_within(self.timeout).await? {
            PeerFrame::Challenge {
                peer,
                nonce: peer_nonce,
                proof,
            } => {
                self.check(LinkSide::Accepting, &nonce, &peer, &proof)?;
                let proof = self.prove(LinkSide::Connecting, &peer_nonce, &self.own);
                socket.send(&PeerFrame::Proof { proof }).await?;
                Ok(peer)
            }
            PeerFrame::Refused(refusal) => Err(PeerError::RefusedByPeer(refusal)),
            _ => Err(PeerError::Refused(PeerRefusal::UnexpectedFrame)),
        }
    }

    /// Authenticates a link as the accepting side and returns the peer's identity.
    pub async fn accept(&self, socket: &mut PeerSocket) -> Result<PeerIdentity, PeerError> {
        let hello = socket.receive_within(self.timeout).await?;
        let PeerFrame::Hello {
            version,
            peer,
            nonce: peer_nonce,
        } = hello
        else {
            return Err(PeerError::Refused(PeerRefusal::UnexpectedFrame));
        };
        if version != PEER_PROTOCOL_VERSION {
            let expected = PEER_PROTOCOL_VERSION;
            let refusal = PeerRefusal::WrongVersion {
                found: version,
                expected,
            };
            return Err(PeerError::Refused(refusal));
        }
        if peer.identity.entry == self.own.identity.entry {
            return Err(PeerError::Refused(PeerRefusal::OwnName));
        }
        let nonce = new_nonce();
        let proof = self.prove(LinkSide::Accepting, &peer_nonce, &self.own);
        let own = self.own.clone();
        socket
            .send(&PeerFrame::Challenge {
                peer: own,
                nonce,
                proof,
            })
            .await?;
        let PeerFrame::Proof { proof } = socket.receive_within(self.timeout).await? else {
            return Err(PeerError::Refused(PeerRefusal::UnexpectedFrame));
        };
        self.check(LinkSide::Connecting, &nonce, &peer, &proof)?;
        Ok(peer)
    }

    fn prove(
        &self,
        side: LinkSide,
        nonce: &[u8; PROOF_BYTES],
        peer: &PeerIdentity,
    ) -> [u8; PROOF_BYTES] {
        self.proof_of(side, nonce, peer)
            .finalize()
            .into_bytes()
            .into()
    }

    fn check(
        &self,
        side: LinkSide,
        nonce: &[u8; PROOF_BYTES],
        peer: &PeerIdentity,
        proof: &[u8; PROOF_BYTES],
    ) -> Result<(), PeerError> {
        let expected = self.proof_of(side, nonce, peer);
        expected
            .verify_slice(proof)
            .map_err(|_| PeerError::Refused(PeerRefusal::WrongProof))
    }

    fn proof_of(
        &self,
        side: LinkSide,
        nonce: &[u8; PROOF_BYTES],
        peer: &PeerIdentity,
    ) -> Hmac<Sha256> {
        let mut proof = Hmac::<Sha256>::new_from_slice(self.key.as_bytes())
            .expect("HMAC accepts keys of any length");
        proof.update(match side {
            LinkSide::Accepting => b"accepting",
            LinkSide::Connecting => b"connecting",
        });
        proof.update(nonce);
        proof.update(peer.identity.to_string().as_bytes());
        proof
    }
}

fn new_nonce() -> [u8; PROOF_BYTES] {
    let mut nonce = [0; PROOF_BYTES];
    rand::thread_rng().fill_bytes(&mut nonce);
    nonce
}
